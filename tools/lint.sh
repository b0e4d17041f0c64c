#!/usr/bin/env bash
# Checks every source file that git does not ignore with clang-format, and the C
# files with clang-tidy; changes nothing.
# usage: lint.sh BUILD_DIR
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
status=0

git ls-files --cached --others --exclude-standard '*.c' '*.h' '*.cc' |
    xargs -r clang-format --dry-run -Werror || status=1
git ls-files --cached --others --exclude-standard 'src/*.c' 'platform/*.c' \
    'tests/*.c' |
    xargs -r -P "$(nproc)" -n 4 clang-tidy -p "$build" --quiet \
        2>/dev/null || status=1
[ $status -eq 0 ] && echo "lint: clean"
exit $status
