#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/jaytrack-entry ] && [ -x target/review/case-3 ] || exit 2
target/review/case-3 &
# The program ends the processes that it started, by their ids, also when it is told to end.
trap 'kill "$!"' TERM INT HUP
wait "$!"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
