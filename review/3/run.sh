#!/usr/bin/env bash
# Runs the case late-write: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
for program in target/hawthorncourse target/review-standin; do
	[ -x "$program" ] || { echo "$program is missing: build the deploy file's program, then review/build.sh"; exit 2; }
done
# The stand-in and all that it starts form one process group, which is ended in any case.
set -m
target/review-standin -case late-write -binary target/hawthorncourse -record review/3/record.txt &
pid=$!
trap 'kill -KILL -- "-$pid" 2>/dev/null' EXIT
wait "$pid"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
