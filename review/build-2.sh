#!/bin/sh
# Builds the stand-ins of the cases from 4 on. They are plain programs for Node.js without dependencies: nothing is compiled, only checked.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.js [4-8]/*.js; do
	node --check "$file"
done
