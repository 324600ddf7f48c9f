#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. The programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/standin-3 ./review/standin3
