#!/usr/bin/env bash
# Plays the case; with TROUBLE=0 without the disruption.
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec bash "$(dirname "$0")/../play.sh" 1 replaced-machine-then-disk "$trouble"
