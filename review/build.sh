#!/bin/sh
# Builds the stand-ins that the scripts start, into target/. The program under test is built by
# the line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-stand ./review/platform
