#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt, and prints the excluded ones.
# An entry is a line "red: ./pkg/name TestName"; other lines explain it.
set -euo pipefail
cd "$(dirname "$0")/.."
timeout=20m
# Without this flag the compiler fuses multiplications and additions on arm64, which changes the last
# bit of results and thus the course of a simulation with a given seed.
no_fused_multiply_add=-gcflags=all=-d=fmahash=qn
flags=$(go env GOFLAGS)
[[ $flags == *fmahash* ]] || export GOFLAGS="${flags:+$flags }$no_fused_multiply_add"
declare -A skip=()
if [ -f KNOWN-RED.txt ]; then
  while read -r _ package name; do
    echo "known red, not run: $package $name"
    skip[$package]="${skip[$package]:+${skip[$package]}|}^$name\$"
  done < <(grep '^red: ' KNOWN-RED.txt || true)
fi
# Packages whose tests run daemons in real time. They run one after the other, after all other
# packages, because their deadlines pass if other tests use the cores meanwhile.
live='^\./(platform|pkg/(cli|controlhost|daemon|demo|edge|load|load/flowbench|load/relaybench))$'

# Tests keep their files in memory if there is enough space. Syncs of a shared disk stalled for up to
# 34 s, which is longer than the time in which a control replica has to decide.
memory=/dev/shm
memory_needed=2097152 # KiB
if [ -w "$memory" ] && [ "$(df --output=avail "$memory" | tail -n 1)" -gt "$memory_needed" ]; then
  export GOTMPDIR="${GOTMPDIR:-${TMPDIR:-/tmp}}" # build files stay on the disk
  TMPDIR=$(mktemp -d "$memory/rosemarygate-test.XXXXXX")
  export TMPDIR
  trap 'rm -rf "$TMPDIR"' EXIT
fi

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
