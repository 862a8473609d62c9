#!/bin/sh
# Builds the stand-ins that the scripts of review/11 and later start, beside the program that the deploy file builds.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/_standin3
