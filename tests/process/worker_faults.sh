#!/bin/sh
# Workers close connections, lose responses, and send truncated responses,
# malformed ones or those of another request.  The caller gets the complete
# response to its own request or an unknown outcome, never a truncated or
# wrong response; a request that ran is not reported as "not run", and a
# non-idempotent one is not retried.
name=process_worker_faults
. "$(dirname "$0")/lib.sh"

take_ports
start_fleet 3 4 2
start_load load --rate 80 --duration-ms 7000 --non-idempotent 30 --watch 5 \
    --answer-bytes 3000 --deadline-ms 1500 --jobs 4 --job-tasks 4 \
    --job-run-ms 500 --team maule --tries 6
for mode in cut lose_answers cut_answers rubbish; do
	get "$workers/fault/all" -d \
	    "{\"mode\":\"$mode\",\"probability_percent\":20}" >/dev/null
	sleep 1.5
done
get "$workers/fault/all" -d '{"mode":"none"}' >/dev/null
end_load
expect "jobs finished" "$(value "$report" .counts.jobs_finished)" 4
[ "$(value "$report" '[.kinds[].answered] | add')" -gt 300 ] ||
    fail "too few calls were answered: $(value "$report" '.kinds | tostring')"
check_workers
check_tasks 16
say "ok"
