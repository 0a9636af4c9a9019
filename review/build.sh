#!/bin/sh
# The stand-ins are plain modules for Node.js without dependencies; there is nothing to compile. This checks that they can be parsed.
set -e
cd "$(dirname "$0")"
for file in standins/*.mjs */case.mjs; do node --check "$file"; done
