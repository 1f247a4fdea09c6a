#!/bin/sh
# Builds the stand-ins of the cases into target/review, after the build of the
# deploy file.  Needs that file's packages only, and no network.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p $out
for dir in lib core kvstand workstand platform/stand; do
	up=$(echo "$dir" | sed 's|[^/]*|..|g')
	make -s -C "$dir" BUILD=target OUT="$up/target" all
done
cp target/bin/platstand $out/
pkgs="libbsd-overlay libh2o libuv jansson libcurl libcrypto libxxhash"
for program in fleet call; do
	more=
	[ $program = call ] || more=review/stand/serve.c
	# The flags must be split into words.
	# shellcheck disable=SC2046
	cc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror -Ilib \
	    -Icore $(pkg-config --cflags $pkgs) -o $out/$program \
	    review/stand/$program.c $more target/liblib.a target/libcore.a \
	    target/liblib.a \
	    $(pkg-config --libs $pkgs libzmq msgpack gsl) -lm
done
