#!/bin/sh
# Builds the stand-ins of the review's scripts into review/standins/bin.
set -eu
cd "$(dirname "$0")/standins"
mkdir -p bin
for name in $(ls *.c | grep -v '^rig\.c$' | sed 's/\.c$//'); do
    ${CC:-cc} -O1 -g -Wall -pthread -o "bin/$name" "$name.c" rig.c
done
