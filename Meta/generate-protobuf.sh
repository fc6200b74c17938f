#!/usr/bin/env bash
# Generates the committed protobuf code of Libraries/Messages. Run it after changing a .proto file.
set -euo pipefail
cd "$(dirname "$0")/../Libraries"
for schema in */*.proto; do
    protoc --proto_path=. --cpp_out=. "$schema"
done
