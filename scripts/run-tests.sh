#!/usr/bin/env bash
# Runs every compiled test file with the test runner of Node.js.
set -euo pipefail
mapfile -t files < <(find build/test -name '*.test.js' | sort)
exec node --test --test-concurrency=4 "${files[@]}"
