#!/bin/sh
# Plays the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruptions.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/hawthorncourse ] && [ -x target/standin2 ] || { echo "not built: run the build of deploy/system.toml and review/build-2.sh" >&2; exit 2; }
exec target/standin2 planned "$here/record.txt"
