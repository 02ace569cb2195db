#!/usr/bin/env bash
# Regenerates the committed protobuf code of src/protocol. Only needed after a
# change of a .proto file; needs the package protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --cpp_out=. src/protocol/*.proto
