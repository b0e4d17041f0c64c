#!/usr/bin/env bash
# How long forwarded requests and their answers travel between gateways of two
# regions, from the gateways' logs in JSON: out from the home gateway's
# "forward" line to the remote gateway's first line on the request, back from
# the remote gateway's "answer" line to the home gateway's next line. If each
# line starts with a number, that is taken as its time in seconds, else the
# field time_ms. Requests that are forwarded twice count twice.
# usage: forward_latency.sh [FROM_S [TO_S]] <LOG
#   FROM_S, TO_S: only lines of that span of time
set -euo pipefail
from=${1:--1e18}
to=${2:-1e18}

awk -v from="$from" -v to="$to" '
function field(name) {
    if (!match($0, "\"" name "\":\"?[^\",}]*")) {
        return ""
    }
    text = substr($0, RSTART, RLENGTH)
    sub(/^"[^:]*":"?/, "", text)
    return text
}
index($0, "\"request_id\"") == 0 { next }
{
    id = field("request_id")
    source = field("source")
    event = field("event")
    t = $1 ~ /^-?[0-9.]+$/ ? $1 * 1000 : field("time_ms")
    if (t < from * 1000 || t > to * 1000) {
        next
    }
    if (id in sent && source != home[id]) {
        print "out", t - sent[id]
        remote[id] = source
        delete sent[id]
    }
    if (id in answered && source == home[id]) {
        print "back", t - answered[id]
        delete answered[id]
    }
    if (event == "forward") {
        home[id] = source
        sent[id] = t
    }
    if (event == "answer" && id in remote && source == remote[id]) {
        answered[id] = t
    }
}' | sort -k1,1 -k2,2n | awk '
function report(way) {
    if (n == 0) {
        return
    }
    printf "%-4s %6d requests, ms: 50%% %.0f  90%% %.0f  95%% %.0f  99%% %.0f  most %.0f\n",
        way, n, v[at(0.5)], v[at(0.9)], v[at(0.95)], v[at(0.99)], v[n]
}
function at(share) {
    i = int(n * share + 0.999999)
    return i < 1 ? 1 : i
}
$1 != way { report(way); way = $1; n = 0 }
{ v[++n] = $2 }
END { report(way) }'
