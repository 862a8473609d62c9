#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt, and prints that list.
set -euo pipefail
cd "$(dirname "$0")"
skip=()
if [ -f KNOWN-RED.txt ]; then
	# Anchor the pattern at each level of a test name, so that no other test is skipped.
	pattern=$(sed -n 's/^test: //p' KNOWN-RED.txt | sed 's/\//$\/^/g; s/^/^/; s/$/$/' | paste -sd '|')
	if [ -n "$pattern" ]; then
		echo "known red, passed over:"
		cat KNOWN-RED.txt
		skip=(-skip "$pattern")
	fi
fi
exec go test -count=1 -p 1 -parallel 3 -timeout 20m "${skip[@]}" ./...
