#!/usr/bin/env bash
# Bundles the program and injects the bundle and its V8 code cache into a copy of the Node.js executable.
# Usage: build-binary.sh [OUTPUT], where OUTPUT defaults to build/daisylever.
set -euo pipefail
cd "$(dirname "$0")/.."
output=${1:-build/daisylever}
directory=$(dirname "$output")
mkdir -p "$directory"
bash scripts/build-bundle.sh "$output.cjs"
# Compiling the bundle takes most of the time from start to readiness; the code cache avoids it.
cat > "$output.json" <<JSON
{
	"main": "$output.cjs",
	"output": "$output.blob",
	"disableExperimentalSEAWarning": true,
	"useCodeCache": true
}
JSON
node --experimental-sea-config "$output.json"
rm -f "$output"
cp "$(node --print process.execPath)" "$output"
npx postject "$output" NODE_SEA_BLOB "$output.blob" \
	--sentinel-fuse NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2
