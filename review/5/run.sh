#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=review/standins/bin/stale_order
[ -x "$program" ] && [ -x target/ebonyyard-gateway ] || exit 2
exec "$program" "$(pwd)/review/5"
