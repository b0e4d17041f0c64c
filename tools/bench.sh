#!/usr/bin/env bash
# Starts a gateway, a fake model engine and a fake service, measures the
# gateway's overhead, and stops them. usage: bench.sh BUILD_DIR [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
seconds=${2:-5}
folder=$(mktemp -d "$build/bench-XXXXXX")
pids=()

finish() {
    local pid
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait "${pids[@]}" 2>/dev/null || true
    rm -rf "$folder"
}
trap finish EXIT

# Prints a port of 127.0.0.1 on which nothing listens.
free_port() {
    local port
    while port=$((20000 + RANDOM % 12000)); do
        (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || break
    done
    echo "$port"
}

# Waits until GET of path $2 on port $1 answers with status 200.
await() {
    local i
    for ((i = 0; i < 200; i++)); do
        exec 3<>"/dev/tcp/127.0.0.1/$1" && {
            printf 'GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n' \
                "$2" >&3
            read -r line <&3 || line=
            exec 3>&-
            case $line in *" 200 "*) return 0 ;; esac
        }
        sleep 0.05
    done 2>/dev/null
    echo "timed out: no 200 from port $1 for $2" >&2
    return 1
}

gateway_port=$(free_port)
peer_port=$(free_port)
service_port=$(free_port)
model_port=$(free_port)
place="--region=istra --zone=istra-a"

"$build/ebonyyard-gateway" --id=gw-1 $place --standalone \
    --listen=127.0.0.1:"$gateway_port" --peer-listen=127.0.0.1:"$peer_port" \
    --data-dir="$folder" --log-level=warning 2>"$folder/gateway.log" &
pids+=($!)
gateway_pid=$!
await "$gateway_port" /readyz
"$build/fake-service" --id=service-1 $place --services=booking --slots=1000 \
    --listen=127.0.0.1:"$service_port" \
    --announce=127.0.0.1:"$gateway_port" 2>/dev/null &
pids+=($!)
"$build/fake-model" --id=model-1 $place --models=visit-plan --slots=1000 \
    --listen=127.0.0.1:"$model_port" \
    --announce=127.0.0.1:"$gateway_port" 2>/dev/null &
pids+=($!)
await "$gateway_port" /v1/services/booking/seats
"$build/gateway-overhead" "$gateway_port" "$service_port" "$gateway_pid" \
    "$seconds"
