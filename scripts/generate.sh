#!/usr/bin/env bash
# Regenerates the Go code of the schemas in api/. Needs protoc (Debian's
# protobuf-compiler); go.mod pins the versions of its plug-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$bin/protoc-gen-go-grpc" google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc -I api \
  --go_out=. --go_opt=module=siskinloom.example/siskinloom \
  --go-grpc_out=. --go-grpc_opt=module=siskinloom.example/siskinloom \
  api/*.proto
