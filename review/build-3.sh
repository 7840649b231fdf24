#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. The project's store for tests is part of them.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-third ./review/third/platform
