#!/usr/bin/env bash
# Case 6: all seeds lose their logs while the group goes on; later one disk is lost. TROUBLE=0 leaves all losses out,
# ONLY_LAST=1 all but the last one.
cd "$(dirname "$0")/../.."
timeout -k 5 120 target/standin-2 -case empty-seeds -record review/6/record.txt
code=$?
# Any other end, such as a missing program or the time limit, says that the case could not run.
[ "$code" -le 1 ] || code=2
exit "$code"
