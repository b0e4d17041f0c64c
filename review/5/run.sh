#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec review/standins/bin/stale_order "$(pwd)/review/5"
