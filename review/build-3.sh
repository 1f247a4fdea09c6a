#!/bin/sh
# Builds what the scripts of cases 9 to 12 start, beside the daemon: the
# project's stand-in for the store, and the workers, clients and proxies of
# these cases.  Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 daemon BUILD=target
for dir in kvstand workstand platform/stand; do
	make -s -j8 -C "$dir" BUILD=target all
done
packages="libbsd-overlay libh2o libuv libzmq jansson msgpack libxxhash libcurl
gsl libcrypto"
mkdir -p target/review-3
for source in 9/stand 9/call 10/proxy; do
	# The lists of flags are meant to be split into words.
	# shellcheck disable=SC2046,SC2086
	cc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Ilib \
	    $(pkg-config --cflags $packages) -o "target/review-3/${source#*/}" \
	    "review/$source.c" target/libcore.a target/liblib.a \
	    $(pkg-config --libs $packages) -lm
done
