#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/harness3 ./review/harness3
