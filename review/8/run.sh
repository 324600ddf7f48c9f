#!/usr/bin/env bash
# Case 8: one heartbeat of another writer, whose fields have other names. TROUBLE=0 leaves it out.
cd "$(dirname "$0")/../.."
exec timeout -k 5 120 target/standin-2 -case other-names -record review/8/record.txt
