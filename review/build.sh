#!/bin/sh
# Builds what the scripts start: the programs under test as the deploy file does. The stand-ins need no build.
set -e
cd "$(dirname "$0")/.."
[ node_modules -nt package-lock.json ] || npm ci --silent
node scripts/bundle.mjs
for file in review/harness/*.mjs review/*/run.mjs; do node --check "$file"; done
