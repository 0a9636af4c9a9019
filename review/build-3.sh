#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they start, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/1[1-5]; do
  [ -f "$case/case.ts" ] || continue
  node_modules/.bin/esbuild "$case/case.ts" --bundle --platform=node --format=esm --target=node20 --log-level=warning \
    --banner:js="import { createRequire } from 'node:module'; const require = createRequire(import.meta.url)" \
    --outfile="target/review-3/$(basename "$case").mjs"
done
