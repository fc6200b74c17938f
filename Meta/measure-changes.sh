#!/usr/bin/env bash
# Measures how long an accepted change takes to become active on every balancer, over many changes during which leaders
# of the control hosts are killed, and how long the election of a new leader takes. Runs real processes on loopback.
# Usage: Meta/measure-changes.sh [flessenpost|derwent]; environment: CHANGES (default 200).
# Prints the measurements with their targets and fails if a target is missed.
set -euo pipefail
cd "$(dirname "$0")/.."
DEPLOYMENT=${1:-flessenpost}
source Meta/run-deployment.sh
start_deployment 2 1
changes=${CHANGES:-200}
milliseconds() { echo $(($(date +%s%N) / 1000000)); }
active_revision() {
    http_get "$NETWORK.0.$1:8080/metrics" | awk '$1 == "bilberryyard_configuration_revision" { print $2 }'
}
active_everywhere() {
    local host
    for host in $ENTRY_HOSTS; do
        [ "$(active_revision "$host")" -ge "$1" ] || return 1
    done
}
# Excludes the killed leader, because the status shows the last report of a killed host for some seconds.
leader() { operate status --output text | awk -v without="${1:-0}" '$4 == "leader" && $1 - 100 != without { print $1 - 100; exit }'; }

slowest_leader=0
: >"$RUN/delays"
for ((number = 1; number <= changes; number++)); do
    if ((number % 100 == 50)); then
        victim=$(leader)
        from=$(milliseconds)
        stop "control-$victim" KILL
        until [ -n "$(leader "$victim" 2>/dev/null)" ]; do sleep 0.02; done
        took=$(($(milliseconds) - from))
        ((took > slowest_leader)) && slowest_leader=$took
        start_control "$victim"
    fi
    if ((number % 2)); then action=add; else action=remove; fi
    arguments=(exception "$action" "server/$NETWORK.4.1:6080" connection_limit)
    [ "$action" = add ] && arguments+=("$((1000 + number))")
    operate "${arguments[@]}" --reason "measurement $number" >"$RUN/change.log" 2>&1 || { cat "$RUN/change.log"; exit 1; }
    accepted=$(milliseconds)
    wait_until 20 active_everywhere $((number + 1))
    echo $(($(milliseconds) - accepted)) >>"$RUN/delays"
done
sort -n "$RUN/delays" | awk -v leader="$slowest_leader" '
    { delay[NR] = $1 }
    END {
        p99 = delay[int(NR * 0.99)]
        printf "changes %d: in force everywhere p50 %d ms, p99 %d ms, slowest %d ms (target p99 2000 ms)\n", NR, delay[int(NR / 2)], p99, delay[NR]
        printf "new leader after a kill: at most %d ms (target 3000 ms)\n", leader
        exit p99 > 2000 || leader > 3000
    }'
