#!/usr/bin/env bash
# play.sh N CASE TROUBLE plays a case, with its disruption if TROUBLE is true and without it if it is false: exit 1 if the
# rule was broken, 0 if it held, 2 if the case could not run.
folder="review/$1" name="$2" trouble="$3"
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/rosemarygate ] || [ ! -x target/review/lab ]; then
  echo "build the system as deploy/system.toml says, then run review/build.sh" >&2
  exit 2
fi
timeout -k 4 112 target/review/lab --case "$name" --record "$folder/record.txt" --trouble="$trouble"
code=$?
case $code in 0 | 1) exit $code ;; esac
exit 2
