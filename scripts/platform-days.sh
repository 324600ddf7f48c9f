#!/usr/bin/env bash
# Plays the regression days of the users' platform and prints one table: site, days, broken rules, gate, worth.
#
#   scripts/platform-days.sh BENCH SITES_DIR JOBS SITE:DAYS...
#
# BENCH is the bench's program and SITES_DIR the folder with its pages. Each SITE, a path below that folder
# without its extension, is scored and then hunted for DAYS days.
#
#   scripts/platform-days.sh fleetbench sites 6 sites/kbr-floor:40 grown/kbr-floor-grown:8
set -euo pipefail
if [ $# -lt 4 ]; then
  sed -n '4p' "$0" >&2
  exit 2
fi
bench=$1 sites=$2 jobs=$3
shift 3
cd "$(dirname "$0")/.."
commit=$(git log -1 --format=%h)
printf '%-28s %5s %7s %-7s %s\n' site days broken gate worth
for entry in "$@"; do
  site=${entry%:*} days=${entry##*:}
  score=$("$bench" score "$sites/$site.toml" --jobs "$jobs" --why "regression days of $commit" || true)
  hunt=$("$bench" hunt "$sites/$site.toml" --days "$days" --jobs "$jobs" --why "regression hunt of $commit" || true)
  gate=$(grep -oE '^GATE [a-z]+' <<<"$score" | cut -d' ' -f2 || true)
  broken=$(grep -oE '[0-9]+ with a rule broken' <<<"$hunt" | cut -d' ' -f1 || true)
  worth=$(awk '$1 ~ /^(quiet|trouble|scale)-[0-9]$/ && $4 ~ /^[0-9.]+$/ {printf "%s ", $4}' <<<"$score")
  printf '%-28s %5s %7s %-7s %s\n' "$(basename "$site")" "$days" "${broken:-?}" "${gate:-none}" "$worth"
done
