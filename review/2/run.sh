#!/usr/bin/env bash
exec bash "$(dirname "$0")/../play.sh" 2 unreadable-id
