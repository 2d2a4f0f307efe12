#!/bin/bash
# Generates the wire types of schema/cowsliphinge.proto into the given folder.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$1"
bin="$(mktemp -d)"
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp)
mkdir -p "$out"
PATH="$bin:$PATH" protoc -I schema --go_out="$out" --go_opt=paths=source_relative \
  --twirp_out="$out" --twirp_opt=paths=source_relative schema/cowsliphinge.proto
