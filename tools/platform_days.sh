#!/usr/bin/env bash
# Scores each deployment (SITE.toml) on the standard days of the benchmark
# program and prints a Markdown table for docs/CAPACITY.md. WHY is passed on as
# the reason of the runs.
# usage: FLEETBENCH=PROGRAM platform_days.sh WHY SITE.toml...
set -uo pipefail
why=$1
shift
echo "| site | day | score | worth | served | refused | failed | weakest part |"
echo "|---|---|---|---|---|---|---|---|"
for site in "$@"; do
    name=$(basename "$site" .toml)
    "${FLEETBENCH:?set it to the path of the benchmark program}" score "$site" --why "$why" |
        awk -v site="$name" '
            /^[a-z]+-[0-9a-f]+ / && NF > 6 && $3 ~ /^[0-9.]+$/ {
                rest = ""
                for (i = 8; i <= NF; i++) {
                    rest = rest (i > 8 ? " " : "") $i
                }
                printf "| %s | %s | %s | %s | %s | %s | %s | %s |\n", \
                    site, $1, $3, $4, $5, $6, $7, rest
            }
            /^GATE/ { gate = $0 }
            END { print "| " site " | gate | | | | | | " gate " |" }'
done
