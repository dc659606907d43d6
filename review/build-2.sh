#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the program: their stand-ins are plain JavaScript in
# review/common-2, so that they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-2/*.js 6/case.js 7/case.js 8/case.js 9/case.js 10/case.js; do
	node --check "$file"
done
