#!/usr/bin/env bash
# Runs one scenario of changes or failures in a deployment of real processes under load, and prints the outcomes that
# callers observed.
# Usage: Meta/churn.sh SCENARIO [flessenpost|derwent]; SCENARIO: none join drain restart-balancer restart-planner
# kill-balancer kill-planner freeze-balancer kill-server join-and-kill kill-leader all
# Environment: RATE (new flows per second, default 1000), FEEDS (default 1000), SECONDS_OF_LOAD (default 16).
# Exits with the code of the load generator, which is 1 if a flow is broken; also fails on too much control traffic or
# on orders that were executed twice. For kill-server, broken flows of the killed server do not count, and too much
# control traffic is reported without failing the run.
set -euo pipefail
cd "$(dirname "$0")/.."
SCENARIO=${1:?scenario}
DEPLOYMENT=${2:-flessenpost}
source Meta/run-deployment.sh
start_deployment "${LARGE_COUNT:-13}" "${SMALL_COUNT:-4}"

load --duration "$((${SECONDS_OF_LOAD:-16} * 1000))" --rate "${RATE:-1000}" --feeds "${FEEDS:-1000}" \
    --feed-interval 1000 >"$RUN/load.out" 2>&1 &
LOAD=$!

# Samples every second the bytes of control messages that each balancer has sent.
while sleep 1; do
    for host in $ENTRY_HOSTS; do
        bytes=$(http_get "$NETWORK.0.$host:8080/metrics" | awk '$1 == "bilberryyard_peer_sent_bytes" { print $2 }') || true
        [ -z "$bytes" ] || echo "$host $bytes"
    done
done >"$RUN/control-bytes" &
SAMPLER=$!
sleep 4

join_server() { start_server "$LARGE" 14; }
# Does not wait for the process to end: a draining server stops after its last flow, and feeds last as long as the load.
drain_server() { kill -TERM "${PROCESS[$LARGE-5]}"; }
restart_balancer() { stop "entry-$1" TERM; start_entry "$1"; }
kill_balancer() { stop "entry-$1" KILL; }
freeze_balancer() {
    kill -STOP "${PROCESS[entry-$1]}"
    sleep 4
    kill -CONT "${PROCESS[entry-$1]}"
}
leader() { operate status --output text | awk '$4 == "leader" { print $1 - 100 }'; }

case $SCENARIO in
    none) ;;
    join) join_server ;;
    drain) drain_server ;;
    restart-balancer) restart_balancer 3 ;;
    restart-planner) restart_balancer 1 ;;
    kill-balancer) kill_balancer 3; sleep 3; start_entry 3 ;;
    kill-planner) kill_balancer 1; sleep 3; start_entry 1 ;;
    freeze-balancer) freeze_balancer 3 ;;
    kill-server) stop "$LARGE-5" KILL ;;
    join-and-kill) join_server; sleep 0.3; kill_balancer 3 ;;
    kill-leader) stop "control-$(leader)" KILL ;;
    all) join_server; sleep 2; drain_server; sleep 1; restart_balancer 3; restart_balancer 1 ;;
    *) echo "unknown scenario $SCENARIO" >&2; exit 64 ;;
esac
status=0
wait "$LOAD" || status=$?
kill "$SAMPLER" 2>/dev/null || true
grep -v '^  ' "$RUN/load.out"
awk '$2 != "answered" { print "  " $2, $3, $4 }' "$RUN/flows" | sort | uniq -c | sort -rn | head -8

# Control traffic: the highest rate of each balancer over 10 s, and the target of the design.
awk -v limit=4096 '
    { count[$1]++; bytes[$1, count[$1]] = $2 }
    END {
        for (host in count) {
            worst = 0
            for (i = 11; i <= count[host]; i++) {
                rate = (bytes[host, i] - bytes[host, i - 10]) / 10
                if (rate > worst) worst = rate
            }
            printf "control traffic  host %s sent at most %.0f B/s over 10 s (target %d)\n", host, worst, limit
            if (worst > limit) over = 1
        }
        exit over
    }' "$RUN/control-bytes" || { echo "control traffic exceeds its target"; status=1; }

if [ "$SCENARIO" = kill-server ]; then
    # The flows of the killed server are lost; the flows of the other servers must not break.
    broken=$(awk -v lost="$LARGE-5" '$2 == "broken" && $4 != lost' "$RUN/flows" | wc -l)
    echo "broken flows on surviving servers $broken"
    [ "$broken" -eq 0 ] && status=0
fi
# No order may be executed twice. Each server writes the ids of its executed orders when it stops.
for name in "${!PROCESS[@]}"; do
    case $name in "$LARGE"-* | "$SMALL"-*) kill -TERM "${PROCESS[$name]}" 2>/dev/null || true ;; esac
done
for name in "${!PROCESS[@]}"; do
    case $name in "$LARGE"-* | "$SMALL"-*) wait "${PROCESS[$name]}" || true ;; esac
done
executed=$(cat "$RUN"/executions-* | wc -l)
doubled=$(cat "$RUN"/executions-* | sort | uniq -d | wc -l)
echo "orders executed $executed, of these twice $doubled"
[ "$executed" -gt 0 ] || status=1
[ "$doubled" -eq 0 ] || status=1
exit $status
