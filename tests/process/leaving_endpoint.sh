#!/bin/sh
# A worker's VM is reported as leaving by a VM list that lags.  Calls sent
# there before the entries read the change are answered; after that no call or
# task is sent there, calls in flight finish, and watches are moved to another
# endpoint without losing a line.  Callers see no fault.
name=process_leaving_endpoint
. "$(dirname "$0")/lib.sh"

arrivals()
{
	get "$(control_of 1)/stats" | \
	    jq '.calls_while_leaving + .starts_while_leaving'
}

quiet()
{
	p_before=$(arrivals)
	sleep 1
	[ "$p_before" = "$(arrivals)" ]
}

take_ports
start_fleet 3 4 2
start_load load --rate 100 --duration-ms 9000 --watch 5 --watch-lines 8 \
    --jobs 8 --jobs-rate 1 --job-tasks 4 --job-run-ms 500 --team maule
wait_for "calls running" sh -c \
    "curl -s $workers/stats/all | jq -e '.totals.calls > 40' >/dev/null"
get "$(control_of 1)/leave" -d '{"leaving":true}' >/dev/null
get "$vms/v1/vm/w1" -d '{"state":"leaving"}' >/dev/null
wait_for "no more work for the leaving worker" quiet
before=$(arrivals)
sleep 3
expect "work sent to it later" "$(arrivals)" "$before"
end_load
expect "calls not answered" \
    "$(value "$report" '[.kinds[] | .sent - .answered] | add')" 0
expect "jobs finished" "$(value "$report" .counts.jobs_finished)" 8
check_workers
say "ok, the last work came $(get "$(control_of 1)/stats" | \
    jq .last_while_leaving_ms) ms after it began to leave"
