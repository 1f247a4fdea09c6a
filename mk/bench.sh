#!/bin/sh
# Build and run the benchmarks, or those named, and print their tables.
# Figures hold for the machine and its load at the time, both printed.
set -eu
cd "$(dirname "$0")/.."
make -s -C bench
echo "machine: $(nproc) cores, load $(cut -d' ' -f1-3 /proc/loadavg)," \
    "$(git rev-parse --short HEAD) $(date -u +%Y-%m-%dT%H:%MZ)"
status=0
for b in bench/*.c bench/*.sh; do
	[ -e "$b" ] || continue
	label=$(basename "${b%.*}")
	[ "$label" != measure ] || continue
	if [ $# -gt 0 ]; then
		case " $* " in
		*" $label "*) ;;
		*) continue ;;
		esac
	fi
	printf '\n== %s\n' "$label"
	case $b in
	*.c) "build/bench/$label" || status=1 ;;
	*) sh "$b" || status=1 ;;
	esac
done
exit "$status"
