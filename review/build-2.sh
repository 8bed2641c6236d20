#!/bin/sh
# Builds the stand-in that the scripts of the cases 6 to 10 start, after the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
go build -C review/standin-2 -o ../../target/review-standin-2 .
