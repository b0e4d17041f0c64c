#!/usr/bin/env bash
# Runs the property tests with random seeds for SOAK_SECONDS (default 300), each
# property with SOAK_CASES cases (default 200), and prints how many cases
# passed. Stops at the first failure and prints its seed. Failures of tests
# that are listed in KNOWN-RED.txt are ignored. usage: soak.sh BUILD_DIR
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
end=$((SECONDS + ${SOAK_SECONDS:-300}))
cases=${SOAK_CASES:-200}
total=0
rounds=0
log=$(mktemp)
trap 'rm -f "$log"' EXIT

known_red() {
    [ -f KNOWN-RED.txt ] && grep -qF -- "$1" KNOWN-RED.txt
}

while [ "$SECONDS" -lt "$end" ]; do
    seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
    RC_PARAMS="seed=$seed max_success=$cases" "$build/property-tests" \
        --timeout 600 >"$log" 2>&1
    while read -r name; do
        known_red "$name" && continue
        echo "FAILED: $name at RC_PARAMS=\"seed=$seed max_success=$cases\""
        grep -A20 "$name" "$log" | head -40
        exit 1
    done < <(sed -nE 's/^\[FAIL\] ([A-Za-z0-9_]+::[A-Za-z0-9_]+).*/\1/p' "$log")
    held=$(awk '/^OK, passed/ {sum += $3} END {print sum + 0}' "$log")
    total=$((total + held))
    rounds=$((rounds + 1))
    echo "seed $seed: $held cases passed"
done
echo "$total cases passed in $rounds rounds"
