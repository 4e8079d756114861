#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10, which need no compilation.
set -euo pipefail
cd "$(dirname "$0")"
node --check lib-2.mjs
for file in 6/*.mjs 7/*.mjs; do
  node --check "$file"
done
test -f ../target/persimmonwick.mjs
