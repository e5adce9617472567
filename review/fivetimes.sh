#!/bin/sh
# Runs the script of case $1 five times and once with TROUBLE=0, and prints the exit codes.
cd "$(dirname "$0")"
for i in 1 2 3 4 5; do "./$1/run.sh" >/dev/null; echo "case $1 run $i: exit $?"; done
TROUBLE=0 "./$1/run.sh" >/dev/null; echo "case $1 with TROUBLE=0: exit $?"
