#!/usr/bin/env bash
# Bundles the program and injects it into a copy of the Node.js executable as build/daisylever.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build
npx esbuild src/program/main.ts --bundle --platform=node --target=node20 --format=cjs \
	--outfile=build/daisylever.cjs --log-level=warning
cat > build/single-executable.json <<'JSON'
{
	"main": "build/daisylever.cjs",
	"output": "build/daisylever.blob",
	"disableExperimentalSEAWarning": true
}
JSON
node --experimental-sea-config build/single-executable.json
rm -f build/daisylever
cp "$(node --print process.execPath)" build/daisylever
npx postject build/daisylever NODE_SEA_BLOB build/daisylever.blob \
	--sentinel-fuse NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2
