#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review ] || sh review/build.sh || exit 2
PYTHONPATH=target/review:target/deps timeout -k 5 110 python3 review/1/case.py &
pid=$!
trap 'kill $pid' TERM INT
wait $pid
case $? in
0) exit 0 ;;
10) exit 1 ;; # Not 1, with which Python ends after any error.
*) exit 2 ;;
esac
