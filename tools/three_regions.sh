#!/usr/bin/env bash
# Runs the regions Dalmacija, Istra and Zagreb on this machine until it is
# interrupted, each with two gateways, a control process, a fake model engine
# and a fake booking service. usage: three_regions.sh BUILD_DIR [FOLDER]
set -euo pipefail
build=$(realpath "$1")
folder=${2:-$(mktemp -d)}
pids=()

finish() {
    trap - EXIT INT TERM
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    wait
    echo "logs are in $folder"
}
trap finish EXIT INT TERM

start() {
    local name=$1
    shift
    "$build/$@" >"$folder/$name.log" 2>&1 &
    pids+=($!)
}

regions=(dalmacija istra zagreb)
controls=127.0.0.1:7103,127.0.0.1:7203,127.0.0.1:7303
peers=127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7201,127.0.0.1:7202
peers=$peers,127.0.0.1:7301,127.0.0.1:7302

for i in 1 2 3; do
    region=${regions[$((i - 1))]}
    common=(--region="$region" --control="$controls" --peers="$peers")
    mkdir -p "$folder/$region"
    # The processes of this region drop messages of the instances whose ids are
    # listed in this file, which simulates a partition.
    export EBONYYARD_TEST_CUT_FILE=$folder/$region/cut
    start "$region-control" ebonyyard-control --id="$region-control" \
        --zone="$region-a" --listen="127.0.0.1:8${i}03" \
        --peer-listen="127.0.0.1:7${i}03" --data-dir="$folder/$region" \
        "${common[@]}"
    for g in 1 2; do
        start "$region-$g" ebonyyard-gateway --id="$region-$g" \
            --zone="$region-$g" --listen="127.0.0.1:8${i}0$g" \
            --peer-listen="127.0.0.1:7${i}0$g" "${common[@]}"
    done
    start "$region-model" fake-model --listen="127.0.0.1:9${i}01" \
        --announce="127.0.0.1:8${i}01" --id="$region-model" \
        --region="$region" --zone="$region-1" --models=visit-plan
    start "$region-booking" fake-service --listen="127.0.0.1:9${i}02" \
        --announce="127.0.0.1:8${i}02" --id="$region-booking" \
        --region="$region" --zone="$region-2" --services=booking
    echo "$region: gateways 127.0.0.1:8${i}01 and 127.0.0.1:8${i}02"
done
echo "logs and data are in $folder; press Ctrl-C to stop"
wait
