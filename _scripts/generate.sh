#!/usr/bin/env bash
# Makes the Go code under api/ again from the .proto files. Needs protoc on the
# PATH (Debian: protobuf-compiler); the plug-ins come from tools/go.mod. The
# result is committed, so that no build needs this script.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go)
PATH="$bin:$PATH" protoc -I api \
  --go_out=. --go_opt=module=github.com/cobaltcroft/cobaltcroft \
  --connect-go_out=. --connect-go_opt=module=github.com/cobaltcroft/cobaltcroft \
  api/cobaltcroft/v1/*.proto
