#!/bin/sh
# The last task of a draining worker ends, and the leader is killed before it
# has saved that end.  Guards against a next leader that finds the worker
# recorded as empty and starts the task, which is done, a second time.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"

job=0000000000000001

take_ports
start_store
write_config 1
start_workers 16
start_entries 3

number=$(leader)
eval "leader_pid=\${entry_$number:?no leader}"
other=$((number % 3 + 1))
say "the leader is entry $number"

# One task of the first step on each worker.
ask POST "$(front_of "$other")" "/q/$job" \
    '{"spec":"3000","phases":[{"count":16,"cpu":500,"mem_mb":64,"estimated_ms":3000,"anti_affinity":1},{"count":1,"cpu":500,"mem_mb":64,"estimated_ms":3000,"after":[0]}]}'
need_accepted
sleep 1

# The worker answers the next leader 50 ms late; the leader dies 20 ms after it
# was told of the worker's last end.
more=
[ "${TROUBLE:-1}" = 0 ] ||
    more=",\"slow_ms\":50,\"kill_pid\":$leader_pid,\"kill_after_ms\":20"
call POST "127.0.0.1:$first_worker" /trouble "{\"drain_ms\":8000$more}" \
    >/dev/null
if [ "${TROUBLE:-1}" != 0 ]; then
	sleep 5
	forget "$leader_pid"
	start_entry "$number"
fi

is_completed()
{
	call GET "$(front_of "$other")" "/q/$job" | grep -q '"completed"'
}

wait_for 25 is_completed || say "the job is not completed"
ask GET "$(front_of "$other")" "/q/$job"
sleep 1
keep_logs
[ "${TROUBLE:-1}" = 0 ] || need_in_record "killed the leader"
count_faults
echo "TWICE broken $count times"
[ "$count" = 0 ] || exit 1
