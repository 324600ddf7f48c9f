#!/usr/bin/env bash
# Plays the regression days of the users' platform and prints one table: site, days, broken rules, gate, worth.
#
#   scripts/platform-days.sh BENCH SITES_DIR [JOBS]
#
# BENCH is the bench's program and SITES_DIR the folder with its pages. Small sites are scored and hunted for
# 40 days, those of 60 machines or more for 8. It takes about 40 minutes with 3 jobs.
set -euo pipefail
bench=$1 sites=$2 jobs=${3:-3}
cd "$(dirname "$0")/.."
commit=$(git log -1 --format=%h)
printf '%-28s %5s %7s %-7s %s\n' site days broken gate worth
for entry in further/magnolia-slate:40 further-grown/magnolia-slate-grown:8 large/kbr-floor-large:8 \
  grown/kbr-floor-grown:8 grown/guild-gate-grown:8 sites/guild-gate:40; do
  site=${entry%:*} days=${entry#*:}
  score=$("$bench" score "$sites/$site.toml" --jobs "$jobs" --why "regression days of $commit" || true)
  hunt=$("$bench" hunt "$sites/$site.toml" --days "$days" --jobs "$jobs" --why "regression hunt of $commit" || true)
  gate=$(grep -oE '^GATE [a-z]+' <<<"$score" | cut -d' ' -f2 || true)
  broken=$(grep -oE '[0-9]+ with a rule broken' <<<"$hunt" | cut -d' ' -f1 || true)
  worth=$(awk '$1 ~ /^(quiet|trouble|scale)-[0-9]$/ {printf "%s ", $4}' <<<"$score")
  printf '%-28s %5s %7s %-7s %s\n' "$(basename "$site")" "$days" "${broken:-?}" "${gate:-none}" "$worth"
done
