#!/usr/bin/env bash
# Has one worker of a service refuse all starts while the others are full, and asks how many jobs are pending. Takes about 30 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sapphiresail ] && [ -x target/harness3 ] || { echo "build the program and review/build-3.sh first"; exit 2; }
exec target/harness3 -scenario pending -program target/sapphiresail -record review/14/record.txt
