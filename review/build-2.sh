#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start, into target/review-2.
# Needs a C compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
${CC:-cc} -std=gnu11 -O2 -Wall -Wextra -Werror -pthread \
    -o target/review-2/standin review/standins-2/standin.c
