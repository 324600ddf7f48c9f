#!/usr/bin/env bash
# Case 10: entry machines freeze and wake with old SYNs in their sockets. TROUBLE=0 leaves the freezes out.
cd "$(dirname "$0")/../.."
exec timeout -k 5 120 target/standin-2 -case late-syn -record review/10/record.txt
