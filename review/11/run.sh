#!/usr/bin/env bash
exec bash "$(dirname "$0")/../play-3.sh" 11 roll
