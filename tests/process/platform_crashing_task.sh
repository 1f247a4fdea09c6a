#!/bin/sh
# Guards against a task that crashes one worker after another, and against
# starts on workers whose free capacity has shrunk.
name=platform_crashing_task
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform.sh"

submit()	# ID PAYLOAD STEP
{
	get -f -o /dev/null -H "Host: $host" -H 'X-Deadline-Ms: 3000' \
	    -d "{\"spec\":\"$2\",\"phases\":[$3]}" \
	    "http://$(front_of 1)$prefix$1" || fail "job $1 wasn't accepted"
}

state_is()	# ID STATE
{
	[ "$(get -H "Host: $host" -H 'X-Deadline-Ms: 3000' \
	    "http://$(front_of 1)$prefix$1" | jq -r .state)" = "$2" ]
}

stat_of()	# FIELD
{
	get "$workers/stats" | jq ".$1"
}

take_ports
start_platform_store
write_config 1 1000
start_platform_workers 6
start_platform_entries 2
submit 00000000000000aa "1000 16 0" \
    '{"count":6,"cpu":1000,"mem_mb":16,"long_running":true}'
sleep 2
submit 00000000000000bb "1000 16 -1" \
    '{"count":1,"cpu":1000,"mem_mb":16,"estimated_ms":100}'
wait_for "the job to be given up" state_is 00000000000000bb failed
crashes=$(stat_of crashes)
[ "$crashes" -ge 2 ] || fail "given up after $crashes crashes"
[ "$crashes" -le 5 ] || fail "$crashes workers crashed"
state_is 00000000000000aa running || fail "the other job was given up"

for worker in 1 2 3 4 5 6; do
	set_room "$worker" 2500
done
sleep 1.5
refused=$(stat_of no_room)
submit 00000000000000cc "1000 16 300" \
    '{"count":30,"cpu":1000,"mem_mb":16,"estimated_ms":300}'
wait_for "the job in the shrunk rooms" state_is 00000000000000cc completed
expect "starts without room" "$(stat_of no_room)" "$refused"
expect "starts that can't be read" "$(stat_of bad)" 0
expect "runs in two places" "$(stat_of two_places)" 0
