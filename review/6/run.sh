#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/drain_case ] && [ -x target/tealspar ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 5 115 target/review-2/drain_case frozen-watcher review/6/record.txt "$folder"
code=$?
rm -r "$folder"
[ "$code" -le 1 ] || code=2
exit "$code"
