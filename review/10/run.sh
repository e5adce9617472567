#!/bin/sh
# Exits with 1 if BUDGET was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/crocusspread && test -x target/lab2 || exit 2
timeout 118 target/lab2 crashes review/10/record.txt
code=$?
test $code -le 1 || exit 2
exit $code
