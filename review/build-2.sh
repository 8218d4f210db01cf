#!/bin/sh
# Builds the scripts of the cases 6 to 10 with the stand-ins that they start.
# Needs the build of the deploy file: its libraries and target/vanillaspool.mjs.
set -eu
cd "$(dirname "$0")/.."
rm -rf build/review-2
node_modules/.bin/esbuild review/harness-2/*.mts --bundle --platform=node \
  --target=node20 --format=esm --outdir=build/review-2 \
  --out-extension:.js=.mjs --log-level=warning
