#!/bin/sh
# Guards against a job that is created after its cancel was answered: a write
# without an answer is carried out then, like any later submission.
name=process_cancel_unknown_job
. "$(dirname "$0")/lib.sh"

submit()	# ENTRY JOB : prints the HTTP status
{
	get -o "$out/reply" -w '%{http_code}' -d \
	    "{\"schema\":1,\"id\":\"$2\",\"team\":\"maule\",
	    \"priority\":\"normal\",\"tasks\":1,\"cpu_millis\":100,
	    \"memory_mib\":64,\"run_ms\":200,\"payload\":{}}" \
	    "http://$1/v1/jobs"
}

cancel()	# ENTRY JOB : prints the HTTP status
{
	get -X DELETE -o "$out/reply" -w '%{http_code}' "http://$1/v1/jobs/$2"
}

jobs()
{
	get "http://$e1/v1/jobs" | jq -c '[.jobs[].id] | sort'
}

job_is_done()	# JOB
{
	[ "$(get "http://$e1/v1/jobs/$1" | jq -r .state)" = done ]
}

take_ports
start_fleet 2 2 2
expect "cancel of a job that doesn't exist" "$(cancel "$e2" early)" 404
expect "jobs after it" "$(jobs)" '[]'
expect "its submission" "$(submit "$e1" early)" 410
expect "the reason" "$(jq -r .error "$out/reply")" job_cancelled
expect "another cancel" "$(cancel "$e1" early)" 404

# Jobs that exist are accepted, cancelled and found as before, also beside one
# that doesn't.
expect "another job" "$(submit "$e1" other)" 202
expect "its repetition" "$(submit "$e2" other)" 202
wait_for "its end" job_is_done other
expect "cancel of both" "$(get -d '{"ids":["other","absent"]}' \
    "http://$e1/v1/jobs/cancel" | jq -c '[.jobs[].state]')" \
    '["cancelling","unknown"]'
expect "jobs at the end" "$(jobs)" '["other"]'
expect "submission of the one that didn't exist" "$(submit "$e2" absent)" 410
check_workers
say "ok"
