#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 it could not run.
# TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
n=$(basename "$here")
[ -x "target/review-2/case-$n" ] && [ -x target/kingcupforkd ] || { echo "not built: see review/build-2.sh"; exit 2; }
exec timeout -s TERM -k 5 115 "target/review-2/case-$n" "$here/record.txt"
