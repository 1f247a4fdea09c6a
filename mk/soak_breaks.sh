#!/bin/sh
# Show that the soak finds what it is there for: each patch in tests/breaks
# takes one safeguard out of the product, and a seed up to SEEDS must fail on
# it.  Arguments: only these patches.  The broken copies are built under build/breaks.
set -u
cd "$(dirname "$0")/.."
seeds=${SEEDS:-20}
missed=0

# find_break PATCH : copy the sources, break them, play seeds until one fails.
find_break()
{
	break_name=$(basename "$1" .patch)
	copy=build/breaks/$break_name
	rm -rf "$copy"
	mkdir -p "$copy"
	git ls-files -c -o --exclude-standard | grep -v '^journal/' |
	    tar cf - -T - | tar xf - -C "$copy"
	patch -s -d "$copy" -p1 <"$1" || return 1
	make -s -C "$copy" all >"$copy/build.log" 2>&1 || return 1
	seed=1
	while [ "$seed" -le "$seeds" ]; do
		if ! SEED=$seed sh "$copy/mk/soak.sh" \
		    >"$copy/seed-$seed.log" 2>&1; then
			echo "found   $break_name: seed $seed:" \
			    "$(grep '^FAIL' "$copy/seed-$seed.log" | cut -c1-160)"
			return 0
		fi
		seed=$((seed + 1))
	done
	return 1
}

[ $# -gt 0 ] || set -- tests/breaks/*.patch
for patch_file; do
	find_break "$patch_file" && continue
	echo "MISSED  $patch_file"
	missed=1
done
exit "$missed"
