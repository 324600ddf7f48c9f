#!/usr/bin/env bash
exec bash "$(dirname "$0")/../play-3.sh" 13 late-order
