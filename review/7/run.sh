#!/bin/bash
# Case 7: a backend server begins an order, fails and says 503; the client is told that it has not run.
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the failures.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/guavacrankd ] && [ -x target/review2-refused ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
mode=trouble
[ "${TROUBLE:-1}" = 0 ] && mode=calm
timeout -k 5 90 target/review2-refused target/guavacrankd review/7/record.txt $mode
code=$?
[ $code -le 2 ] && exit $code
exit 2
