#!/usr/bin/env bash
# Runs all compiled test files with the Node.js test runner. Tests listed in KNOWN-RED.txt may fail and are
# printed; any other failure fails the run. DAISYLEVER_TESTS is a regular expression that selects test files.
set -uo pipefail
cd "$(dirname "$0")/.."

# Keeps a test that never ends from blocking CI. The timeout also applies to whole files; the longest one waits
# several times until a dead host is considered gone and takes about two minutes.
readonly test_timeout_ms=270000

# Crowds of clients need the processor and the memory of the machine, and single clients are to meet a calm host, so their files run one after the other after the others.
readonly alone='/(uncontrolled-clients|crowd-aftermath|calm-clients)\.test\.js$'

mapfile -t selected < <(find build/test -name '*.test.js' | grep -E "${DAISYLEVER_TESTS:-.}" | sort)
mapfile -t together < <(printf '%s\n' "${selected[@]}" | grep -vE "$alone")
mapfile -t separate < <(printf '%s\n' "${selected[@]}" | grep -E "$alone")
output=$(mktemp)
trap 'rm -f "$output"' EXIT
status=0

run_tests() {
	local concurrency=$1
	shift
	[ "$#" -gt 0 ] || return 0
	node --test --test-reporter=tap --test-concurrency="$concurrency" --test-timeout="$test_timeout_ms" "$@" | tee -a "$output"
	local result=${PIPESTATUS[0]}
	[ "$result" -eq 0 ] || status=$result
}

run_tests 4 "${together[@]}"
run_tests 1 "${separate[@]}"
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
# The run also fails if the test runner failed without reporting a failed test.
[ -n "$failed" ] || unexpected=1
exit "$unexpected"
