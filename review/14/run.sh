#!/usr/bin/env bash
# Has the starts of two subtasks that last get no answer, and one of them carried out 5 s later. Takes about 65 s.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sapphiresail ] && [ -x target/harness3 ] || { echo "build the program and review/build-3.sh first"; exit 2; }
exec target/harness3 -scenario begun -program target/sapphiresail -record review/14/record.txt
