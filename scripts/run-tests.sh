#!/usr/bin/env bash
# Runs every compiled test file with the test runner of Node.js. Tests that KNOWN-RED.txt lists may
# fail; they are printed. Any other failure fails the run. DAISYLEVER_TESTS narrows the files.
set -uo pipefail
cd "$(dirname "$0")/.."

# A test that waits for ever must not block CI. The limit also holds for whole files; the longest one waits
# several times for a dead host to count as gone and takes about two minutes.
readonly test_timeout_ms=270000

mapfile -t files < <(find build/test -name '*.test.js' | grep -E "${DAISYLEVER_TESTS:-.}" | sort)
output=$(mktemp)
trap 'rm -f "$output"' EXIT
node --test --test-reporter=tap --test-concurrency=4 --test-timeout="$test_timeout_ms" "${files[@]}" | tee "$output"
status=${PIPESTATUS[0]}
[ "$status" -eq 0 ] && exit 0

failed=$(sed -n 's/^not ok [0-9]* - //p' "$output" | sed 's/ # .*$//')
unexpected=0
while IFS= read -r name; do
	[ -n "$name" ] || continue
	if grep -qxF "test: $name" KNOWN-RED.txt 2>/dev/null; then
		echo "known red, see KNOWN-RED.txt: $name"
	else
		echo "failed: $name"
		unexpected=1
	fi
done <<<"$failed"
# A runner that failed without naming a test is a failure too.
[ -n "$failed" ] || unexpected=1
exit "$unexpected"
