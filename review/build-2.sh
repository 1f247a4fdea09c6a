#!/bin/sh
# Builds what the cases review/4 to review/8 start beside the daemon: the
# project's stand-in for the store, and the workers and client of review/4.
# Run in the repository's root, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
for dir in lib core entry platform kvstand workstand platform/stand; do
	make -s -C "$dir" BUILD=target all
done
packages="libbsd-overlay libh2o libuv libzmq jansson msgpack libxxhash libcurl
gsl libcrypto"
# The lists are meant to be split into words.
# shellcheck disable=SC2046,SC2086
cc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror -Ilib \
    $(pkg-config --cflags $packages) -o target/bin/reviewfleet \
    review/4/fleet.c target/libcore.a target/liblib.a \
    $(pkg-config --libs $packages) -lm
