#!/usr/bin/env bash
# Formatter, vet and linters over the whole tree. The tools are declared in
# tools/go.mod. Prints what is wrong and exits 1 if anything is.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin/" mvdan.cc/gofumpt honnef.co/go/tools/cmd/staticcheck github.com/mgechev/revive)
sources=$(git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$' | grep -v '\.connect\.go$')
unformatted=$("$bin/gofumpt" -l $sources)
if [ -n "$unformatted" ]; then
  echo "not formatted (run gofumpt -w):"
  echo "$unformatted"
  exit 1
fi
go vet ./...
"$bin/staticcheck" ./...
"$bin/revive" -set_exit_status -config _scripts/revive.toml ./...
echo "lint: clean"
