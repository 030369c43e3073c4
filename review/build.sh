#!/bin/sh
# The stand-ins of the cases are plain Node.js modules in review/lib and need no build. The entry host
# is built by the build line of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
for module in review/lib/*.mjs review/[1-9]/*.mjs; do
  node --check "$module" || exit 1
done
