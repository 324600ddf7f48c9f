#!/usr/bin/env bash
# Builds the stand-ins of the review. The system itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOFLAGS="${GOFLAGS:--buildvcs=false}" GOTOOLCHAIN=local go build -o ../../target/review/lab .
