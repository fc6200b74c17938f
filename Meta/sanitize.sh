#!/usr/bin/env bash
# Runs the tests with AddressSanitizer and UndefinedBehaviorSanitizer (the default; clang, in the build of the fuzz
# targets), or with ThreadSanitizer. Usage: Meta/sanitize.sh [address,undefined|thread]...
# Excludes the schedule shards 1 to 3 of the replicated log (shard 0 runs) and the replays, because they take several
# times as long and cover no further code. The thread run also excludes every test that opens a ZeroMQ socket, because
# ThreadSanitizer does not see the locks of Debian's ZeroMQ, which is not instrumented.
set -euo pipefail
cd "$(dirname "$0")/.."
JOBS=${JOBS:-$(nproc)}
kinds=("${@:-address,undefined}")
for kind in "${kinds[@]}"; do
    folder=Build-$kind
    case $kind in
        thread) targets=(test_kernel test_operator_interface test_trace) ;;
        address,undefined) folder=Build-fuzz targets=(test_base test_kernel test_packet test_membership test_routing test_coordination test_coordination_codec
            test_control_messages test_placement test_platform test_fleet test_forwarding test_configuration test_operator_interface test_trace) ;;
        *)
            echo "unknown sanitizer $kind" >&2
            exit 64
            ;;
    esac
    echo "sanitizer $kind: ${targets[*]}"
    if [ "$kind" = thread ]; then
        cmake -S . -B "$folder" -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" -DBILBERRYYARD_SANITIZE=thread \
            >"$folder.configure.log" 2>&1 || { cat "$folder.configure.log"; exit 1; }
        rm -f "$folder.configure.log"
        cmake --build "$folder" --parallel "$JOBS" --target "${targets[@]}"
    else
        Meta/build-instrumented.sh "$folder" "${targets[@]}"
    fi
    pattern=$(IFS='|'; echo "${targets[*]}")
    # Meta/test.sh runs and prints the tests of KNOWN-RED.txt.
    known=$(grep -v '^#' KNOWN-RED.txt | awk -F'|' 'NF { gsub(/ /, "", $1); print $1 }' | paste -sd'|')
    ctest --test-dir "$folder" --output-on-failure --parallel "$JOBS" -L "^($pattern)\$" --timeout 600 \
        ${known:+-E "^($known)\$"}
done
