#!/usr/bin/env bash
# play-3.sh N CASE TROUBLE plays a case of the third review, with its disruption if TROUBLE is true and without it if it is
# false: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/rosemarygate ] || [ ! -x target/standin-3 ]; then
  echo "build the system as deploy/system.toml says, then run review/build-3.sh" >&2
  exit 2
fi
timeout -k 5 110 target/standin-3 --case "$2" --record "review/$1/record.txt" --trouble="$3"
code=$?
case $code in 0 | 1) exit $code ;; esac
exit 2
