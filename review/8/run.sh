#!/usr/bin/env bash
# Runs the case; needs the build of the deploy file and review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/bin/jaytrack-entry ] && [ -x target/review-2/garbled ] || exit 2
target/review-2/garbled 200 "$here/record.txt" &
case=$!
trap 'kill "$case" 2>/dev/null; wait "$case"; exit 2' TERM INT HUP
wait "$case"
verdict=$?
[ "$verdict" -le 1 ] || verdict=2
exit "$verdict"
