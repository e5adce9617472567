#!/bin/sh
# Exits with 1 if DENIED was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/crocusspread && test -x target/lab2 || exit 2
timeout 100 target/lab2 denied review/7/record.txt
code=$?
test $code -le 1 || exit 2
exit $code
