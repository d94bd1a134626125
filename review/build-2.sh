#!/usr/bin/env bash
# Builds the stand-ins of the second review (cases 6 to 10) into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/harness2
