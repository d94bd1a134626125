#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOFLAGS=-buildvcs=false go build -o ../../target/review .
