#!/usr/bin/env bash
# Kills and suspends real control processes, loses a disk and makes concurrent changes, and checks that accepted changes
# are kept and take effect on every balancer. Prints one line for each check and fails if a check fails.
# Environment: CHANGES (number of changes in the catch-up check, default 1000).
set -euo pipefail
cd "$(dirname "$0")/.."
DEPLOYMENT=flessenpost
source Meta/run-deployment.sh
failures=0
check() {
    local name=$1
    shift
    if "$@"; then echo "passed: $name"; else
        echo "FAILED: $name"
        failures=$((failures + 1))
    fi
}
milliseconds() { echo $(($(date +%s%N) / 1000000)); }
revision_of() { http_get "$1/v1/configuration?stale=allow" | grep -o '"revision":[0-9]*' | head -1 | cut -d: -f2; }
active_revision() { http_get "$NETWORK.0.$1:8080/metrics" | awk '$1 == "bilberryyard_configuration_revision" { print $2 }'; }
change() { operate exception add "server/$NETWORK.4.$1:6080" weight 0.5 --reason "check $1" "${@:2}" >"$RUN/change.log" 2>&1; }
current() { operate get --output yaml | awk '$1 == "revision:" { print $2; exit }'; }
condition_is() { [ "$(operate status --output text 2>/dev/null | awk -v host="$1" '$1 == host { print $4 }')" = "$2" ]; }
leader() {
    local found=
    until [ -n "$found" ]; do found=$(operate status --output text 2>/dev/null | awk '$4 == "leader" { print $1 - 100; exit }') || true; done
    echo "$found"
}
exits_with() {
    local expected=$1 status=0
    shift
    "$@" >"$RUN/exit.log" 2>&1 || status=$?
    [ "$status" -eq "$expected" ]
}
has_revision() { [ "$(revision_of "$1")" = "$2" ]; }
balancer_has() { [ "$(active_revision "$1")" = "$2" ]; }

start_deployment 1 1

# Concurrent changes: of two changes with the same base, one is accepted and the other gets a conflict.
base=$(current)
change 1 --base "$base" &
first=$!
status=0
change 2 --base "$base" || status=$?
other=0
wait $first || other=$?
check "exactly one of two concurrent changes gets a conflict (exit codes $status and $other)" test $((status + other)) -eq 73

# A resend with the same request id gets the first result and makes no second change.
base=$(current)
change 3 --base "$base" --request-id resend-1
change 3 --base "$base" --request-id resend-1 || true
check "a resent change makes one revision" test "$(current)" -eq $((base + 1))
check "an exception without a reason is rejected" exits_with 64 operate exception add "server/$NETWORK.4.9:6080" weight 0.5 --reason ""

# Kills the leader after an accepted change.
accepted=$(current)
victim=$(leader)
stop "control-$victim" KILL
wait_until 5 change 4
check "no accepted change is lost when the leader is killed" test "$(current)" -gt "$accepted"
start_control "$victim"
wait_until 10 has_revision "$NETWORK.1.$victim:8080" "$(current)"
echo "passed: the killed leader catches up"

# A suspended leader is replaced. After it resumes, it must not return a stale configuration as current.
victim=$(leader)
kill -STOP "${PROCESS[control-$victim]}"
others=$(echo "$BILBERRYYARD_ENDPOINTS" | tr , '\n' | grep -v "$NETWORK.1.$victim:" | paste -sd,)
BILBERRYYARD_ENDPOINTS=$others wait_until 6 change 5
accepted=$(BILBERRYYARD_ENDPOINTS=$others current)
kill -CONT "${PROCESS[control-$victim]}"
stale=0
for attempt in $(seq 20); do
    response=$(http_get "$NETWORK.1.$victim:8080/v1/configuration" || true)
    revision=$(echo "$response" | grep -o '"revision":[0-9]*' | head -1 | cut -d: -f2)
    if echo "$response" | grep -q '"current":true' && [ "${revision:-0}" -lt "$accepted" ]; then stale=$((stale + 1)); fi
done
check "a resumed leader returns no stale configuration as current" test "$stale" -eq 0
wait_until 5 has_revision "$NETWORK.1.$victim:8080" "$accepted"

# A member loses its disk and is added with a new identity. A second host fails right after that repair.
leading=$(leader)
lost=$((leading % 3 + 1))
second=$((lost % 3 + 1))
accepted=$(current)
stop "control-$lost" KILL
rm -rf "$RUN/data/control-$lost"
mkdir -p "$RUN/data/control-$lost"
start_control "$lost"
sleep 1
check "a host without its disk waits to be added" grep -q waiting_to_be_added "$RUN/control-$lost.log"
wait_until 10 operate member remove "10$lost" --reason "lost disk" >"$RUN/member.log" 2>&1
wait_until 10 operate member add "10$lost" "$NETWORK.1.$lost:7200" "$NETWORK.1.$lost:7201" --reason "new disk" >"$RUN/member.log" 2>&1
wait_until 10 condition_is "10$lost" follower
echo "passed: the host with a new disk is a follower again"
stop "control-$second" KILL
wait_until 8 change 6
check "no accepted change is lost when a second host fails after the repair" test "$(current)" -gt "$accepted"
start_control "$second"

# A member catches up on many changes, and a balancer starts while all control hosts are down.
behind=$(($(leader) % 3 + 1))
stop "control-$behind" KILL
changes=${CHANGES:-1000}
target=http://$NETWORK.1.$(leader):8080/v1/changes
base=$(current)
for ((number = 0; number < changes; number++)); do
    if ((number % 2 == 0)); then
        body="\"add_exception\":{\"target\":\"server/$NETWORK.4.7:6080\",\"key\":\"connection_limit\",\"value\":$((1000 + number)),\"reason\":\"catch-up\",\"author\":\"operator\"}"
    else
        body="\"remove_exception\":{\"target\":\"server/$NETWORK.4.7:6080\",\"key\":\"connection_limit\"}"
    fi
    echo "url = \"$target\""
    echo "data = \"$(echo "{\"request_id\":\"catch-up-$number\",\"base_revision\":$((base + number)),\"author\":\"operator\",\"reason\":\"catch-up\",$body}" | sed 's/"/\\"/g')\""
    echo 'output = "/dev/null"'
    ((number + 1 < changes)) && echo next
done >"$RUN/changes.curl"
curl -s --config "$RUN/changes.curl"
accepted=$(current)
check "$changes changes were accepted" test "$accepted" -eq $((base + changes))
from=$(milliseconds)
start_control "$behind"
wait_until 10 has_revision "$NETWORK.1.$behind:8080" "$accepted"
took=$(($(milliseconds) - from))
check "catch-up after $changes changes took $took ms (target 5000)" test "$took" -le 5000
for host in $ENTRY_HOSTS; do wait_until 5 balancer_has "$host" "$accepted"; done
echo "passed: the last revision is active on every balancer"

for number in 1 2 3; do stop "control-$number" KILL; done
stop entry-2 KILL
start_entry 2
wait_until 10 balancer_has 2 "$accepted"
echo "passed: a balancer starts from its saved configuration while all control hosts are down"
wait_until 15 is_ready "$NETWORK.0.2:8080"
echo "passed: that balancer becomes ready"
for number in 1 2 3; do start_control "$number"; done
reads_current() { [ "$(current 2>/dev/null)" = "$1" ]; }
wait_until 10 reads_current "$accepted"
echo "passed: all control hosts restart with the last accepted revision"
entries=$(operate audit --limit 1 --output yaml | awk '$1 == "next:" { print $2 }')
check "the audit trail contains every attempt (next entry $entries)" test "$entries" -gt "$accepted"
exit $((failures > 0))
