#!/bin/sh
# Builds the stand-ins of the cases of the second review. The deploy file builds the program itself.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-2 ./review/second/platform
