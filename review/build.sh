#!/usr/bin/env bash
# Builds the stand-in of the store that the scripts start. The other stand-ins need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent build
