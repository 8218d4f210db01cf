#!/bin/bash
# Builds the stand-ins of the scripts into build/review.
set -eu
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent
npx esbuild review/*/*.mts --platform=node --format=esm --outbase=review \
  --outdir=build/review --out-extension:.js=.mjs --log-level=warning
