#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript and use nothing but Node.js: there is nothing to compile, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js ./*/case.js; do
	node --check "$file"
done
