#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/daisylever ] && [ -f build/test/platform/stand-in-store.js ] || exit 2
exec node review/3/case.js
