#!/usr/bin/env bash
# Plays the fault soak with COUNT seeds from FIRST on, two at a time, SECONDS
# each, and prints one line for each. Logs of seeds that broke a rule stay in
# the folder LOGS. usage: fault_soak.sh BUILD_DIR FIRST COUNT SECONDS LOGS
set -uo pipefail
build=$1
first=$2
count=$3
seconds=$4
logs=$5

play() {
    local folder=$logs/seed-$1
    mkdir -p "$folder"
    timeout $((seconds + 90)) "$build/fault-soak" --seed "$1" \
        --seconds "$seconds" --logs "$folder" >"$folder/output.txt" 2>&1
    local code=$?
    echo "seed $1: $code $(grep '^calls' "$folder/output.txt")"
    [ "$code" -ne 0 ] || rm -rf "$folder"
    return "$code"
}

failed=0
for ((seed = first; seed < first + count; seed += 2)); do
    play "$seed" &
    one=$!
    other=
    if [ $((seed + 1)) -lt $((first + count)) ]; then
        play $((seed + 1)) &
        other=$!
    fi
    wait "$one" || failed=$((failed + 1))
    [ -z "$other" ] || wait "$other" || failed=$((failed + 1))
done
echo "$count seeds, $failed failed"
[ "$failed" -eq 0 ]
