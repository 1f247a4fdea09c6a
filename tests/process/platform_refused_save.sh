#!/bin/sh
# Guards against a job whose record the store refuses blocking all other jobs.
name=platform_refused_save
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform.sh"

submit()	# ID COUNT CPU RUN-MS
{
	get -f -o /dev/null -H "Host: $host" -H 'X-Deadline-Ms: 3000' \
	    -d "{\"spec\":\"$3 16 $4\",\"phases\":[{\"count\":$2,\"cpu\":$3,
	    \"mem_mb\":16,\"estimated_ms\":$4}]}" \
	    "http://$(front_of 1)$prefix$1" || fail "job $1 wasn't accepted"
}

state_of()	# ID
{
	get -H "Host: $host" -H 'X-Deadline-Ms: 3000' \
	    "http://$(front_of 1)$prefix$1" | jq -r .state
}

done_at_least()
{
	[ "$(get "$workers/stats" | jq .done)" -ge "$1" ]
}

take_ports
# Large enough for the record of about 250 completed tasks.
start_platform_store --value-bytes 2500
write_config 1 1000
start_platform_workers 6
start_platform_entries 1
submit 00000000000000aa 1500 7000 20
wait_for "tasks done" done_at_least 400
submit 00000000000000bb 1 500 20
sleep 2
expect "the small job" "$(state_of 00000000000000bb)" completed
expect "the wide job" "$(state_of 00000000000000aa)" running
