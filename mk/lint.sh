#!/bin/sh
# Formatter, linter and manual pages; any finding fails.
set -eu
sources=$(git ls-files '*.c' '*.h' '*.cc')
# The lists are meant to be split into words.
# shellcheck disable=SC2086
clang-format --dry-run --Werror $sources
flags="-std=gnu11 -D_GNU_SOURCE -Ilib -Icore -Ientry -Iplatform -I. $(pkg-config --cflags \
    libbsd-overlay libh2o libuv libzmq jansson msgpack libxxhash libcurl gsl)"
git ls-files '*.c' | xargs -P "$(nproc)" -n 4 sh -c '
	flags=$1
	shift
	exec clang-tidy --quiet "$@" -- $flags 2>/dev/null' sh "$flags"
pages=$(git ls-files '*.1' '*.8')
if [ -n "$pages" ]; then
	mandoc -Tlint -Wwarning $pages
fi
echo "lint: clean"
