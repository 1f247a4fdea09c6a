#!/bin/sh
# A grey worker loses the answer to a start, which it has carried out, and
# refuses the next call with 503.  Guards against a task that is then started
# on a second worker while it runs on the first.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"

take_ports
start_store
write_config 1
start_workers 12
start_entries 3

submit_jobs()	# COUNT
{
	n=0
	while [ "$n" -lt "$1" ]; do
		jobs=$((${jobs:-0} + 1))
		ask POST "$(front_of $((jobs % 3 + 1)))" \
		    "/q/$(printf '%016x' $jobs)" \
		    '{"spec":"1500","phases":[{"count":12,"cpu":300,"mem_mb":64,"estimated_ms":1500}]}'
		n=$((n + 1))
		sleep 0.03
	done
}

all_completed()
{
	job=1
	while [ "$job" -le "$jobs" ]; do
		call GET "$(front_of 1)" "/q/$(printf '%016x' $job)" |
		    grep -q completed || return 1
		job=$((job + 1))
	done
}

submit_jobs 40
need_accepted
[ "${TROUBLE:-1}" = 0 ] ||
    call POST "127.0.0.1:$first_worker" /trouble '{"grey_ms":5500}' >/dev/null
submit_jobs 140
wait_for 20 all_completed || say "not all jobs completed"
keep_logs
[ "${TROUBLE:-1}" = 0 ] || need_in_record answer_lost
count_faults
echo "TWICE broken $count times"
[ "$count" = 0 ] || exit 1
