#!/bin/bash
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export REPOSITORY="$PWD" RECORD="$PWD/review/5/record.txt"
[ -f build/review/5/case.mjs ] && [ -f target/vanillaspool.mjs ] || exit 2
exec node build/review/5/case.mjs
