#!/usr/bin/env bash
# With TROUBLE=0 the case is played without its disruption and has to hold.
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec bash "$(dirname "$0")/../play-3.sh" 11 roll "$trouble"
