#!/usr/bin/env bash
# Case 8: one heartbeat of another writer, whose fields have other names. TROUBLE=0 leaves it out.
cd "$(dirname "$0")/../.."
timeout -k 5 120 target/standin-2 -case other-names -record review/8/record.txt
code=$?
# Any other end, such as a missing program or the time limit, says that the case could not run.
[ "$code" -le 1 ] || code=2
exit "$code"
