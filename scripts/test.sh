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
# Packages whose tests run daemons in real time. They run one after the other, after the
# rest: beside the computations of other packages their deadlines pass for want of a core.
live='^\./(pkg/(cli|daemon|demo|load|load/flowbench|load/relaybench))$'

packages=() live_packages=()
for package in $(go list -f '{{.ImportPath}}' ./... | sed 's#^rosemarygate#.#'); do
  [ -z "${skip[$package]:-}" ] || continue
  if [[ $package =~ $live ]]; then
    live_packages+=("$package")
  else
    packages+=("$package")
  fi
done
go test -count=1 -timeout "$timeout" "${packages[@]}"
go test -count=1 -timeout "$timeout" -p 1 "${live_packages[@]}"
for package in "${!skip[@]}"; do
  go test -count=1 -timeout "$timeout" -skip "${skip[$package]}" "$package"
done
