#!/usr/bin/env bash
# Generates the committed protobuf code of Libraries/Messages. Run after a change of a .proto file.
set -euo pipefail
cd "$(dirname "$0")/../Libraries"
for schema in */*.proto; do
    protoc --proto_path=. --cpp_out=. "$schema"
done
