#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
sidecar=target/platform/crocusdoor-sidecar
test=build-review-2/case-10
[ -x "$sidecar" ] && [ -x "$test" ] || exit 2
set -m
timeout -s KILL 110 "$test" "$sidecar" review/10 &
group=$!
wait "$group"
code=$?
kill -KILL -- "-$group" 2> /dev/null  # Sidecars that are left, if the test was cut off.
[ "$code" -le 2 ] && exit "$code"
exit 2
