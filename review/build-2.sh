#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. Runs after the build of the deploy file, which installs the dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/standins-2/shared.ts --bundle --platform=node --target=node20 --format=esm --log-level=warning --outfile=target/review-2/shared.mjs
