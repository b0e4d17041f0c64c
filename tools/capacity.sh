#!/usr/bin/env bash
# Measures the figures from which docs/CAPACITY.md is calculated: CPU time and
# memory of a gateway and a control process when idle, per backend server that
# announces itself, and per configuration change; then runs the programs that
# measure the costs of membership and routing.
# usage: capacity.sh BUILD_DIR [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "$1")
seconds=${2:-10}
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
    while port=$((10000 + RANDOM % 20000)); do
        (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || break
    done
    echo "$port"
}

start() {
    "$build/$@" >>"$work/log" 2>&1 &
    pids+=($!)
    pid=$!
}

wait_for() {
    for _ in $(seq 200); do
        curl -sf -m 1 -o /dev/null "$@" && return
        sleep 0.1
    done
    echo "timed out waiting for $*" >&2
    exit 1
}

# CPU time of a process in milliseconds, and its resident memory in kB.
cpu_ms() { awk '{print ($14 + $15) * 10}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }

# Prints the CPU load of a process, averaged over $seconds, and its memory.
report() {
    local name=$1 pid=$2 before after
    before=$(cpu_ms "$pid")
    sleep "$seconds"
    after=$(cpu_ms "$pid")
    printf '%-44s %6.2f %% of a core %7d kB\n' "$name" \
        "$(awk "BEGIN {print ($after - $before) / ($seconds * 10)}")" \
        "$(rss_kb "$pid")"
}

control_http=127.0.0.1:$(free_port) control=127.0.0.1:$(free_port)
http=127.0.0.1:$(free_port) peer=127.0.0.1:$(free_port)
http2=127.0.0.1:$(free_port) peer2=127.0.0.1:$(free_port)
mkdir "$work/data"
common=(--region=istra --zone=a --control="$control" --peers="$peer,$peer2"
    --log-level=warning)
start ebonyyard-control --id=control "${common[@]}" \
    --listen="$control_http" --peer-listen="$control" --data-dir="$work/data"
control_pid=$pid
start ebonyyard-gateway --id=g1 "${common[@]}" --listen="$http" \
    --peer-listen="$peer"
gateway_pid=$pid
start ebonyyard-gateway --id=g2 "${common[@]}" --listen="$http2" \
    --peer-listen="$peer2"
second_pid=$pid
wait_for "http://$http/readyz"
wait_for "http://$http2/readyz"
sleep 3

echo "== idle"
report "control" "$control_pid"
report "gateway" "$gateway_pid"

announce() {
    local count=$1 i
    for ((i = 0; i < count; i++)); do
        [ "$i" -eq 0 ] || echo next
        printf 'url = "http://%s/v1/backends"\noutput = /dev/null\n' "$http"
        printf 'data = "{\\"id\\":\\"b%d\\",\\"address\\":\\"127.0.0.1:9\\",' \
            "$i"
        printf '\\"region\\":\\"istra\\",\\"zone\\":\\"a\\",'
        printf '\\"kind\\":\\"model\\",\\"models\\":[\\"m%d\\"],' $((i % 23))
        printf '\\"slots\\":8,\\"ttl_ms\\":5000,\\"load\\":{\\"running\\":1,'
        printf '\\"at\\":%d}}"\n' "$SECONDS"
    done
}

for count in 50 100 200 400; do
    echo "== $count backend servers, each announced once a second to one gateway"
    (
        end=$((SECONDS + seconds + 5))
        while [ "$SECONDS" -lt "$end" ]; do
            announce "$count" >"$work/curl.$count"
            curl -s -K "$work/curl.$count" >/dev/null 2>&1 &
            curl_pid=$!
            sleep 1
            wait "$curl_pid" || true
        done
    ) &
    feeder=$!
    sleep 3
    report "gateway that receives the announcements" "$gateway_pid"
    report "gateway that gets them by gossip" "$second_pid" &
    reporter=$!
    wait "$reporter" "$feeder" || true
    sleep 6
done

echo "== 300 configuration changes, one after another"
change() {
    curl -s -o /dev/null -X PUT "http://$http/v1/config/defaults/routing.queue_max" \
        -d "{\"value\":$((100 + $1 % 50)),\"version\":$1,\"change_id\":\"c$1\",\"author\":\"bench\"}"
}
for name in control:$control_pid gateway:$gateway_pid gateway2:$second_pid; do
    eval "before_${name%%:*}=$(cpu_ms "${name##*:}")"
done
began=$(date +%s%N)
for ((i = 0; i < 300; i++)); do change "$i"; done
took_ms=$((($(date +%s%N) - began) / 1000000))
idle_note="idle cost included"
printf 'took %d ms; milliseconds of CPU time per change (%s):\n' \
    "$took_ms" "$idle_note"
for name in control:$control_pid gateway:$gateway_pid gateway2:$second_pid; do
    before=before_${name%%:*}
    printf '  %-10s %6.3f\n' "${name%%:*}" \
        "$(awk "BEGIN {print ($(cpu_ms "${name##*:}") - ${!before}) / 300}")"
done
printf 'control.log %d bytes, control %d kB\n' \
    "$(stat -c %s "$work/data/control.log")" "$(rss_kb "$control_pid")"

echo "== membership"
"$build/membership-cost" 20
echo "== routing"
"$build/routing-cost"
