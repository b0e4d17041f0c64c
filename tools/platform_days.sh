#!/usr/bin/env bash
# Prints the standard days of deployments as a table for docs/CAPACITY.md.
# usage: FLEETBENCH=PROGRAM platform_days.sh WHY SITE.toml...
set -uo pipefail
why=$1
shift
echo "| site | day | score | worth | served | refused | failed | weakest part |"
echo "|---|---|---|---|---|---|---|---|"
for site in "$@"; do
    name=$(basename "$site" .toml)
    "${FLEETBENCH:?the bench program}" score "$site" --why "$why" |
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
