#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. Needs the build of deploy/system.toml and
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
export RECORD=review/4/record.txt PROCESSES
PROCESSES=$(mktemp) || exit 2
trap 'xargs -r kill -9 < "$PROCESSES" 2> /dev/null; rm -f "$PROCESSES"' EXIT
for program in target/release/chervilwharf-platform review/harness-2/target/release/review-2; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
timeout -k 3 110 review/harness-2/target/release/review-2 left-replica
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
