#!/usr/bin/env bash
# Starts one region on this machine: a control process, two gateways, a fake
# model engine and a fake booking service. Sends requests, prints the answers
# and stops everything. usage: demo.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
work=$(mktemp -d)
pids=()

finish() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap finish EXIT

free_port() {
    local port
    while :; do
        port=$((20000 + RANDOM % 20000))
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            echo "$port"
            return
        fi
    done
}

start() {
    local name=$1
    shift
    "$build/$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}

show() {
    echo
    echo "== $1"
    shift
    curl -sS -m 10 "$@"
    echo
}

wait_for() {
    for _ in $(seq 200); do
        if curl -sf -m 1 -o /dev/null "$@"; then return; fi
        sleep 0.1
    done
    echo "timed out waiting for $*" >&2
    tail -n 5 "$work"/*.log >&2
    exit 1
}

control_http=$(free_port) control=127.0.0.1:$(free_port)
a=127.0.0.1:$(free_port) a_peer=127.0.0.1:$(free_port)
b=127.0.0.1:$(free_port) b_peer=127.0.0.1:$(free_port)
model=127.0.0.1:$(free_port) booking=127.0.0.1:$(free_port)
mkdir "$work/control"

common=(--region=istra --zone=istra-a --control="$control"
    --peers="$a_peer,$b_peer")
start control ebonyyard-control --id=control "${common[@]}" \
    --listen="127.0.0.1:$control_http" --peer-listen="$control" \
    --data-dir="$work/control"
start gateway-a ebonyyard-gateway --id=gateway-a "${common[@]}" \
    --listen="$a" --peer-listen="$a_peer"
start gateway-b ebonyyard-gateway --id=gateway-b "${common[@]}" \
    --listen="$b" --peer-listen="$b_peer"
start model fake-model --listen="$model" --announce="$a" --id=engine-1 \
    --region=istra --zone=istra-a --models=visit-plan
start booking fake-service --listen="$booking" --announce="$b" \
    --id=booking-1 --region=istra --zone=istra-a --services=booking

plan='{"model":"visit-plan","max_tokens":6,"messages":[{"role":"user",
"content":"a day for thirty pupils"}]}'
stream=${plan/\"max_tokens\"/\"stream\":true,\"max_tokens\"}
buy=(-X POST -H "Idempotency-Key: class-4b" -H "Ebonyyard-Home: istra"
    -d '{"seats":30}')

wait_for "http://$a/readyz"
wait_for "http://$b/readyz"
wait_for -d "$plan" "http://$b/v1/chat/completions"
wait_for -X POST -H "Idempotency-Key: first" -H "Ebonyyard-Home: istra" \
    "http://$a/v1/services/booking/purchases"

show "the instances that callers may use" "http://$a/v1/instances"
show "an itinerary (the engine announced itself to gateway a only)" \
    -d "$plan" "http://$b/v1/chat/completions"
show "the same as a stream" -d "$stream" "http://$a/v1/chat/completions"
show "a purchase at gateway a" -i "${buy[@]}" \
    "http://$a/v1/services/booking/purchases"
show "its retry at gateway b: the same answer, not run again" "${buy[@]}" \
    "http://$b/v1/services/booking/purchases"
show "the same key with another body: rejected" -i "${buy[@]}" \
    -d '{"seats":31}' "http://$b/v1/services/booking/purchases"
show "a purchase without a key: rejected, not run" -X POST \
    "http://$a/v1/services/booking/purchases"
show "data bound to another region: rejected before the body is read" -i -d "$plan" \
    -H "Ebonyyard-Home: zagreb" "http://$a/v1/chat/completions"

echo
echo "== an operator's change"
ctl=("$build/ebonyyardctl" --server "$a")
"${ctl[@]}" set routing.queue_max 200
"${ctl[@]}" exception add routing.queue_max region:istra 100 \
    --reason "the aquarium's small hall is closed"
"${ctl[@]}" exception list
sleep 1
echo "-- the value at gateway b"
"$build/ebonyyardctl" --server "$b" get routing.queue_max
"${ctl[@]}" history

echo
echo "== runs of each key at the booking server"
curl -sS "http://$booking/v1/fake"
echo
