#!/bin/sh
# Builds the stand-in of the cases 6 to 10 into review/bin.
set -e
cd "$(dirname "$0")"
GOWORK=off go build -C standin-2 -buildvcs=false -o ../bin/standin-2 .
