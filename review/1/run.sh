#!/usr/bin/env bash
exec bash "$(dirname "$0")/../play.sh" 1 replaced-machine-then-disk
