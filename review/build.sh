#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -buildvcs=false -o bin/ ./standin
