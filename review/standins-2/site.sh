# Functions of the scripts of the cases 6 to 10: a deployment of three regions
# on loopback addresses, as deploy/system.toml starts it. Sourced by run.sh,
# which sets case_dir.
#
# Each machine has an address of its own, 127.NET.REGION.NUMBER; the ports are
# the same on all machines.

top=$(cd "$case_dir/../.." && pwd)
standin=$top/target/review-2/standin
record=$case_dir/record.txt
work=$(mktemp -d)
net=$((RANDOM % 200 + 30))
front_port=8144
ready_port=8140
control_port=8146
directory_port=8143
peer_port=7660
regions=(north south east)
zones=north-a=north,south-a=south,east-a=east
declare -A pid=() address=() region_of=() role_of=()
fronts=()
cores=()
helpers=()
begun_ms=0

now_ms() { local s; read -r s _ </proc/uptime; echo "${s/./}0"; }

# Writes a line to the record, with the seconds since the start.
note() {
    printf '%8.2f %s\n' "$(awk -v a="$(now_ms)" -v b="$begun_ms" \
        'BEGIN { print (a - b) / 1000 }')" "$*" | tee -a "$record"
}

cannot_run() {
    echo "can't run: $*" | tee -a "$record"
    exit 2
}

stop_all() {
    local each
    touch "$work/done"
    for each in "${helpers[@]}" "${pid[@]}" \
        $(cat "$work/restarted" 2>/dev/null); do
        kill -KILL "$each" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

# machine ROLE NAME REGION NUMBER
machine() {
    local index
    for index in "${!regions[@]}"; do
        [ "${regions[index]}" = "$3" ] && break
    done
    address[$2]=127.$net.$((index + 1)).$4
    region_of[$2]=$3
    role_of[$2]=$1
    if [ "$1" = front ]; then fronts+=("$2"); else cores+=("$2"); fi
}

# Six machines for callers and five with a disk, of which the last region has
# one: the numbers of the site.
lay_out() {
    local region
    for region in "${regions[@]}"; do
        machine front "front-$region-1" "$region" 11
        machine front "front-$region-2" "$region" 12
        machine core "core-$region-1" "$region" 21
    done
    machine core core-north-2 north 22
    machine core core-south-2 south 22
    seeds=${address[core-north-1]}:$control_port
    seeds+=,${address[core-south-1]}:$control_port
    seeds+=,${address[core-east-1]}:$control_port
}

# start NAME BOOTSTRAP: with the settings of deploy/system.toml.
start() {
    local name=$1 ip=${address[$1]} common
    common=(PATH="$PATH" HOME=/tmp LANG=C
        EBONYYARD_ID="$name" EBONYYARD_REGION="${region_of[$name]}"
        EBONYYARD_ZONE="${region_of[$name]}-a"
        EBONYYARD_PEER_LISTEN="$ip:$peer_port" EBONYYARD_CONTROL="$seeds"
        EBONYYARD_CONTROL_PORT=$peer_port EBONYYARD_ZONES="$zones"
        EBONYYARD_INSECURE_PEERS=1 EBONYYARD_LOG_FORMAT=json
        EBONYYARD_HEADERS=platform EBONYYARD_BACKEND_TTL_MS=6000
        EBONYYARD_TAKES_JOINERS=1 EBONYYARD_STRICT_REVOCATION=0
        EBONYYARD_REVOKE_MS=5000 EBONYYARD_STOP_LINGER_MS=2500
        EBONYYARD_QUOTA_WINDOW_S=8 EBONYYARD_QUOTA_OVERAGE=0.1
        EBONYYARD_QUOTA_SLACK=0)
    if [ "${role_of[$name]}" = front ]; then
        env -i "${common[@]}" EBONYYARD_MEMORY_MIB=260 \
            EBONYYARD_LISTEN="$ip:$ready_port,$ip:9464" \
            EBONYYARD_ROUTED_LISTEN="$ip:$front_port" \
            EBONYYARD_PREDICTIVE=auto EBONYYARD_STOP_GRACE_S=8 \
            EBONYYARD_RETRY_RATIO=0.2 EBONYYARD_RETRY_SLACK=52 \
            EBONYYARD_RETRY_WINDOW_S=10 \
            "$top/target/ebonyyard-gateway" >>"$work/$name.log" 2>&1 &
    else
        mkdir -p "$work/$name"
        env -i "${common[@]}" EBONYYARD_MEMORY_MIB=256 \
            EBONYYARD_LISTEN="$ip:$control_port,$ip:$directory_port,$ip:9464" \
            EBONYYARD_DATA_DIR="$work/$name" EBONYYARD_MAY_FOUND="$2" \
            EBONYYARD_CONTROL_LOSSES=2 \
            "$top/target/ebonyyard-control" >>"$work/$name.log" 2>&1 &
    fi
    pid[$name]=$!
    disown
}

start_all() {
    local name
    [ -x "$standin" ] || cannot_run "review/build-2.sh wasn't run"
    [ -x "$top/target/ebonyyard-gateway" ] || cannot_run "nothing is built"
    : >"$record"
    begun_ms=$(now_ms)
    lay_out
    for name in "${cores[@]}" "${fronts[@]}"; do
        start "$name" true
    done
    sleep 2
    for name in "${cores[@]}" "${fronts[@]}"; do
        kill -0 "${pid[$name]}" 2>/dev/null ||
            cannot_run "$name ended: $(tail -1 "$work/$name.log")"
    done
}

# The control addresses of a region, for its replicas.
controls_of() {
    local name
    for name in "${cores[@]}"; do
        [ "${region_of[$name]}" = "$1" ] &&
            echo "${address[$name]}:$control_port"
    done
}

# replica NAME SERVICE REGION NUMBER WORK_MS: a stand-in, logged to runs.log.
replica() {
    local index
    for index in "${!regions[@]}"; do
        [ "${regions[index]}" = "$3" ] && break
    done
    address[$1]=127.$net.$((index + 1)).$4
    region_of[$1]=$3
    # Its addresses may be taken; it then ends at once.
    # shellcheck disable=SC2046
    "$standin" replica "${address[$1]}:8080" "$1" "$2" "$3-a" "$5" \
        "$work/runs.log" $(controls_of "$3") 2>>"$work/standins.log" &
    pid[$1]=$!
    disown
    sleep 0.2
    kill -0 "${pid[$1]}" 2>/dev/null ||
        cannot_run "$1 ended: $(tail -1 "$work/standins.log")"
}

# configure JSON: sends a configuration as the operator does.
configure() {
    local try answer
    for try in 1 2 3 4 5 6 7 8 9 10; do
        answer=$("$standin" call PUT "${address[core-north-1]}:$control_port" \
            /v1/config/routes "$1")
        [ "${answer%% *}" = 200 ] && return
        sleep 0.5
    done
    cannot_run "the configuration wasn't acknowledged: $answer ($try tries)"
}

# Adds a log of a stand-in to the record, with seconds since the start.
add_log() {
    [ -f "$work/$1" ] || return 0
    awk -v b="$begun_ms" '{ at = $1; $1 = ""; printf "%8.2f%s\n",
        (at - b) / 1000, $0 }' "$work/$1" >>"$record"
}
