#!/usr/bin/env bash
# The stand-ins of the scripts need no build; this checks that each can be read. The
# program itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.mjs */main.mjs; do
  node --check "$file"
done
test -f ../target/persimmonwick.mjs
