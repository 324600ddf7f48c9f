#!/usr/bin/env bash
# Runs every test, except exactly those listed in KNOWN-RED.txt, which it prints.
# An entry is a line "red: ./pkg/name TestName"; other lines explain it.
set -euo pipefail
cd "$(dirname "$0")/.."
timeout=20m
declare -A skip=()
if [ -f KNOWN-RED.txt ]; then
  while read -r _ package name; do
    echo "known red, not run: $package $name"
    skip[$package]="${skip[$package]:+${skip[$package]}|}^$name\$"
  done < <(grep '^red: ' KNOWN-RED.txt || true)
fi
packages=()
for package in $(go list -f '{{.ImportPath}}' ./... | sed 's#^rosemarygate#.#'); do
  [ -n "${skip[$package]:-}" ] || packages+=("$package")
done
go test -count=1 -timeout "$timeout" "${packages[@]}"
for package in "${!skip[@]}"; do
  go test -count=1 -timeout "$timeout" -skip "${skip[$package]}" "$package"
done
