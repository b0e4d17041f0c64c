#!/usr/bin/env bash
# Installs those packages for the build and the tests that are missing.
set -euo pipefail

packages=(gcc g++ make cmake pkg-config clang-format clang-tidy
    libtalloc-dev libtevent-dev libzmq3-dev libmicrohttpd-dev
    libcurl4-openssl-dev libpopt-dev libglib2.0-dev libcriterion-dev
    librapidcheck-dev libjansson-dev libmsgpack-dev libxxhash-dev libck-dev)

missing=()
for package in "${packages[@]}"; do
    state=$(dpkg-query -W -f '${Status}' "$package" 2>/dev/null || true)
    [ "$state" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

export DEBIAN_FRONTEND=noninteractive
apt-get update >/dev/null
apt-get install -y --no-install-recommends "${missing[@]}" >/dev/null
