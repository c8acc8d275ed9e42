#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# out the disruption. Needs the deploy file's build and review/build-3.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/guavacrankd ] && [ -x target/review3-stoppipe ] || exit 2
exec timeout -k 5 110 target/review3-stoppipe -command target/guavacrankd -record "$here/record.txt"
