#!/usr/bin/env bash
# Regenerates the committed protobuf code. Requires protoc; the Go plug-ins are built from go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative $(find api -name '*.proto')
gofmt -w api
