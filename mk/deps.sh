#!/bin/sh
# Install the libraries and tools that lagoonpin declares, once a machine.
set -eu
packages="gcc g++ make pkg-config curl libh2o-dev libuv1-dev libzmq3-dev
libjansson-dev libmsgpack-dev libbsd-dev libxxhash-dev
libcurl4-openssl-dev libssl-dev libgsl-dev libgtest-dev
clang-format clang-tidy mandoc jq"

missing=""
for p in $packages; do
	state=$(dpkg-query -W -f='${Status}' "$p" 2>/dev/null || true)
	[ "$state" = "install ok installed" ] || missing="$missing $p"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing" >&2
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# The list is meant to be split into words.
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing >/dev/null
