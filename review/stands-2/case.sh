#!/usr/bin/env bash
# Runs one scenario: `case.sh FOLDER SCENARIO`. FOLDER gets the file record.txt. Exit code: 1 if the rule was broken, 0
# if it held, 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
scenario=$root/target/review-2/release/$2
if [ ! -x "$scenario" ] || [ ! -x "$root/target/release/edge-proxy" ]; then
  echo "not built: run the build of deploy/balancer.toml and then review/build-2.sh"
  exit 2
fi
work=$(mktemp -d)
export ROOT=$root WORK=$work RECORD=$folder/record.txt TROUBLE=${TROUBLE:-1}
# `timeout` makes a process group of the scenario and the processes that it starts, and ends all of it.
timeout --signal=KILL 110 "$scenario"
code=$?
rm -rf "$work"
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
