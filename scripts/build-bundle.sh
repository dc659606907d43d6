#!/usr/bin/env bash
# Bundles the program into one minified file. Usage: build-bundle.sh OUTPUT
set -euo pipefail
cd "$(dirname "$0")/.."
npx esbuild src/program/main.ts --bundle --platform=node --target=node20 --format=cjs \
	--minify-whitespace --minify-syntax --alias:node:assert=./src/base/node/bundled-assert.cts \
	--outfile="$1" --log-level=warning
