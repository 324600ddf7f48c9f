#!/usr/bin/env bash
# Case 10: entry machines freeze and wake with old SYNs in their sockets. TROUBLE=0 leaves the freezes out.
cd "$(dirname "$0")/../.."
timeout -k 5 120 target/standin-2 -case late-syn -record review/10/record.txt
code=$?
# Any other end, such as a missing program or the time limit, says that the case could not run.
[ "$code" -le 1 ] || code=2
exit "$code"
