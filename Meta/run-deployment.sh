#!/usr/bin/env bash
# Functions that start a deployment from Meta/settings on loopback addresses, with an emulated fabric and emulated
# backend servers. Sourced by other scripts; stops all processes that it started when the shell exits.
# Environment: BUILD (build folder), DEPLOYMENT (folder of Meta/settings), RUN (folder for logs and data).
set -euo pipefail

BUILD=${BUILD:-Build}
DEPLOYMENT=${DEPLOYMENT:-flessenpost}
RUN=${RUN:-$BUILD/run/$DEPLOYMENT}
case $DEPLOYMENT in
    flessenpost) NETWORK=127.10 ENTRY_HOSTS="1 2 3 4" ZONES=(zone-a zone-b zone-c) LARGE=orders SMALL=gallery SLOTS=2 ;;
    derwent) NETWORK=127.20 ENTRY_HOSTS="1 2 3 4 5" ZONES=(zone-a zone-b zone-c zone-d) LARGE=bookings SMALL=packs SLOTS=3 ;;
    *) echo "unknown deployment $DEPLOYMENT" >&2; exit 64 ;;
esac
declare -A PROCESS=()
GATEWAY=$NETWORK.3.1:7300
FABRIC=$NETWORK.3.2:7400

stop_all() {
    local name
    for name in "${!PROCESS[@]}"; do kill -KILL "${PROCESS[$name]}" 2>/dev/null || true; done
    wait 2>/dev/null || true
}
trap stop_all EXIT

# start NAME COMMAND...: runs a process in the background with its output in $RUN/NAME.log.
start() {
    local name=$1
    shift
    "$@" >>"$RUN/$name.log" 2>&1 &
    PROCESS[$name]=$!
}

# stop NAME [SIGNAL]: signals a process and waits for its end.
stop() {
    kill -"${2:-TERM}" "${PROCESS[$1]}" 2>/dev/null || true
    wait "${PROCESS[$1]}" 2>/dev/null || true
    unset "PROCESS[$1]"
}

start_control() {
    start "control-$1" "$BUILD/bin/bilberryyardd" --settings "$RUN/settings/control-$1.yaml"
}

start_entry() {
    start "entry-$1" "$BUILD/bin/bilberryyardd" --settings "$RUN/settings/entry-$1.yaml"
}

# start_server SERVICE NUMBER [OPTION...]: starts an emulated backend server.
start_server() {
    local service=$1 number=$2 group=4
    shift 2
    [ "$service" = "$SMALL" ] && group=5
    local hosts=() host
    for host in $ENTRY_HOSTS; do hosts+=(--entry-host "$NETWORK.0.$host:8080"); done
    start "$service-$number" "$BUILD/bin/bilberryyard-emulator" backend --service "$service" --name "$service-$number" \
        --listen "$NETWORK.$group.$number:6080" --gateway "$GATEWAY" "${hosts[@]}" \
        --zone "${ZONES[$((number % ${#ZONES[@]}))]}" --slots "$SLOTS" \
        --execution-log "$RUN/executions-$service-$number" --drain-timeout 60000 "$@"
}

start_fabric() {
    local balancers=() host
    for host in $ENTRY_HOSTS; do balancers+=(--balancer "$NETWORK.0.$host:7000,$NETWORK.0.$host:8080"); done
    start fabric "$BUILD/bin/bilberryyard-emulator" fabric --listen "$FABRIC" "${balancers[@]}" --seed "${SEED:-1}"
}

# load OPTION...: runs the load generator in the foreground.
load() {
    "$BUILD/bin/bilberryyard-emulator" load --fabric "$FABRIC" --gateway "$GATEWAY" \
        --target "$LARGE,$NETWORK.2.1:80,3" --target "$SMALL,$NETWORK.2.2:80,1" --seed "${SEED:-1}" \
        --flow-log "$RUN/flows" "$@"
}

prepare() {
    rm -rf "$RUN"
    mkdir -p "$RUN/settings" "$RUN/data"
    local file
    for file in Meta/settings/"$DEPLOYMENT"/*.yaml; do
        sed "s|data_folder: data/$DEPLOYMENT|data_folder: $RUN/data|" "$file" >"$RUN/settings/$(basename "$file")"
        mkdir -p "$RUN/data/$(basename "$file" .yaml)"
    done
}

# wait_until SECONDS COMMAND...: polls until the command succeeds.
wait_until() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ $SECONDS -lt $end ] || { echo "timeout waiting for: $*" >&2; return 1; }
        sleep 0.1
    done
}

http_get() { curl -s --max-time 2 "http://$1"; }
is_ready() { [ "$(curl -s -o /dev/null --max-time 2 -w '%{http_code}' "http://$1/readyz")" = 200 ]; }

# has_servers HOST COUNT: whether an entry host lists at least this many servers that accept flows.
has_servers() { [ "$(http_get "$1/v1/servers" | grep -o '"condition":"accepting"' | wc -l)" -ge "$2" ]; }

bootstrap_control() { "$BUILD/bin/bilberryyardd" --settings "$RUN/settings/control-$1.yaml" --found-cluster; }

export BILBERRYYARD_ENDPOINTS=$NETWORK.1.1:8080,$NETWORK.1.2:8080,$NETWORK.1.3:8080
export BILBERRYYARD_AUTHOR=operator

# operate ARGUMENT...: runs the operator's command-line tool.
operate() { "$BUILD/bin/bilberryyard" "$@"; }

# start_deployment [LARGE_COUNT] [SMALL_COUNT]: starts all processes except the load generator.
start_deployment() {
    local large=${1:-14} small=${2:-4} number host
    prepare
    for number in 1 2 3; do bootstrap_control "$number"; done
    for number in 1 2 3; do start_control "$number"; done
    wait_until 10 operate apply --from "$RUN/settings/configuration.yaml" --base 0 --reason "first configuration" \
        --request-id first-configuration >"$RUN/apply.log" 2>&1
    for host in $ENTRY_HOSTS; do start_entry "$host"; done
    for number in $(seq "$large"); do start_server "$LARGE" "$number"; done
    for number in $(seq "$small"); do start_server "$SMALL" "$number"; done
    start_fabric
    for host in $ENTRY_HOSTS; do
        wait_until 20 is_ready "$NETWORK.0.$host:8080"
        wait_until 20 has_servers "$NETWORK.0.$host:8080" $((large + small))
    done
    # The planner collects the first announcements before it assigns buckets.
    sleep 3
}
