#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build.sh. Writes record.txt in this folder.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
run="$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)"
program="target/review/case_memory"
[ -n "$run" ] && [ -x "$program" ] || { echo "not built: see review/build.sh"; exit 2; }
# The case and all that it starts are one process group, which is ended in any event.
set -m
"$program" "$run" "$here/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
trap 'exit 2' TERM INT HUP
wait "$group"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
