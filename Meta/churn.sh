#!/usr/bin/env bash
# Runs one change of a deployment under load with real processes and prints what callers saw.
# Usage: Meta/churn.sh SCENARIO [flessenpost|derwent]; SCENARIO: none join drain restart-balancer restart-planner
# kill-balancer kill-planner freeze-balancer kill-server join-and-kill kill-leader all
# Environment: RATE (new flows a second, 1000), FEEDS (1000), SECONDS_OF_LOAD (16).
# The exit code is that of the load generator: 1 when a flow is broken.
set -euo pipefail
cd "$(dirname "$0")/.."
SCENARIO=${1:?scenario}
DEPLOYMENT=${2:-flessenpost}
source Meta/run-deployment.sh
start_deployment "${LARGE_COUNT:-13}" 4

load --duration "$((${SECONDS_OF_LOAD:-16} * 1000))" --rate "${RATE:-1000}" --feeds "${FEEDS:-1000}" \
    --feed-interval 1000 >"$RUN/load.out" 2>&1 &
LOAD=$!
sleep 4

join_server() { start_server "$LARGE" 14; }
# A draining server waits for its flows; feeds end with the load.
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
grep -v '^  ' "$RUN/load.out"
awk '$2 != "answered" { print "  " $2, $3, $4 }' "$RUN/flows" | sort | uniq -c | sort -rn | head -8
exit $status
