#!/bin/sh
# Run every test program once.  A test named in KNOWN-RED.txt may fail, is
# printed, and does not fail the run; any other failure does.
#
# The programs of the modules run JOBS at a time: they pause and advance the
# clock or have generous time limits.  Tests of whole processes run one after
# the other, as they measure times.
set -u
tree=${1:-build}
JOBS=${JOBS:-4}
# A test that hangs fails by its name, long before the whole run would be ended.
LIMIT_S=${LIMIT_S:-600}
export LIMIT_S
passed=0
failed=0
red=0
logs=$tree/logs
mkdir -p "$logs"
# Tests of whole processes, in tests/process; their names start with process_.
processes="graceful_stop kill_entry leaving_endpoint pause_entry platform_jobs
    platform_crashing_task platform_crashing_task_kills platform_refused_save platform_rejected_entries platform_restarted_worker platform_soak platform_stop_open
    hostile_announced_body hostile_sent_body hostile_long_head hostile_endless_head
    hostile_empty_lines hostile_whole_bodies hostile_piecewise_bodies hostile_unfinished_bodies
    cancel_unknown_job odd_entries platform_closed_data_center platform_unguarded_rooms stand_stop start_without_store store_outage two_operators worker_faults"

report()	# NAME STATUS
{
	if [ "$2" = 0 ]; then
		passed=$((passed + 1))
		echo "ok      $1"
	elif [ -f KNOWN-RED.txt ] && grep -q "^$1[: ]" KNOWN-RED.txt; then
		red=$((red + 1))
		echo "KNOWN   $(grep "^$1[: ]" KNOWN-RED.txt)"
	else
		failed=$((failed + 1))
		echo "FAILED  $1 (status $2)"
		tail -n 60 "$logs/$1.log"
	fi
}

rm -f "$logs"/test_*.status
# shellcheck disable=SC2016 # expanded by the shells that xargs starts
printf '%s\n' "$tree"/tests/test_* |
    xargs -P "$JOBS" -n 1 sh -c '
	name=$(basename "$2")
	timeout -k 10 "$LIMIT_S" "$2" >"$1/$name.log" 2>&1
	echo $? >"$1/$name.status"' sh "$logs"
for t in "$tree"/tests/test_*; do
	name=$(basename "$t")
	report "$name" "$(cat "$logs/$name.status" 2>/dev/null || echo none)"
done
for p in $processes; do
	TREE=$tree timeout -k 10 "$LIMIT_S" sh "tests/process/$p.sh" \
	    >"$logs/process_$p.log" 2>&1
	report "process_$p" $?
done
[ "$red" -eq 0 ] || echo "known red: $red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
