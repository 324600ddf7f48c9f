#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/standin-2 ./review/standin2
