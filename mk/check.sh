#!/bin/sh
# Run every test program once.  A test named in KNOWN-RED.txt may fail, is
# printed, and does not fail the run; any other failure does.
set -u
tree=${1:-build}
passed=0
failed=0
red=0
logs=$tree/logs
mkdir -p "$logs"
# Tests of whole processes, in tests/process; their names start with process_.
processes="graceful_stop kill_entry leaving_endpoint pause_entry platform_jobs
    platform_crashing_task platform_refused_save platform_rejected_entries platform_restarted_worker platform_soak platform_stop_open
    platform_closed_data_center platform_unguarded_rooms stand_stop start_without_store store_outage two_operators worker_faults"

run()
{
	case $1 in
	*.sh) TREE=$tree sh "$1" ;;
	*) "$1" ;;
	esac
}

for t in "$tree"/tests/test_* $(printf 'tests/process/%s.sh ' $processes); do
	name=$(basename "$t" .sh)
	case $t in
	*.sh) name=process_$name ;;
	esac
	if run "$t" >"$logs/$name.log" 2>&1; then
		passed=$((passed + 1))
		echo "ok      $name"
	elif [ -f KNOWN-RED.txt ] && grep -q "^$name[: ]" KNOWN-RED.txt; then
		red=$((red + 1))
		echo "KNOWN   $(grep "^$name[: ]" KNOWN-RED.txt)"
	else
		failed=$((failed + 1))
		echo "FAILED  $name"
		tail -n 60 "$logs/$name.log"
	fi
done
[ "$red" -eq 0 ] || echo "known red: $red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
