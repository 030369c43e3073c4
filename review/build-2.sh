#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain programs; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in shared-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -f "$file" ]; then
    node --check "$file"
  fi
done
