#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. It runs in the repository's root, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/_standin2
