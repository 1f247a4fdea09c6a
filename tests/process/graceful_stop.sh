#!/bin/sh
# An entry gets SIGTERM under load.  It accepts no new connections, hands over
# its shards and credits, finishes every call in flight and exits.  Callers
# are refused a connection and use another entry; none gets a broken
# connection or an unknown outcome.
name=process_graceful_stop
. "$(dirname "$0")/lib.sh"

take_ports
start_fleet 3 4 2
start_load load --rate 60 --poisson --duration-ms 6000 --run-ms 200 \
    --non-idempotent 10 --watch 5 --watch-lines 6 --jobs 4 --job-tasks 4 \
    --job-run-ms 1500 --team maule --tries 20
wait_for "calls running" sh -c \
    "curl -s $workers/stats/all | jq -e '.totals.calls > 40' >/dev/null"
kill -TERM "$e2_pid"
wait "$e2_pid" || fail "the entry exited with status $?"
wait_for "another owner for its shards" none_owned_by "$e1" e2
end_load
expect "calls with an unknown outcome" \
    "$(value "$report" '[.kinds[].unknown] | add')" 0
expect "calls cut" "$(value "$report" '[.reasons | to_entries[] |
    select(.key | startswith("no-answer/")) | select(.key |
    contains("connect") | not) | .value] | add // 0')" 0
expect "calls not answered" \
    "$(value "$report" '[.kinds[] | .sent - .answered] | add')" 0
expect "jobs finished" "$(value "$report" .counts.jobs_finished)" 4
check_workers
check_tasks 16
say "ok"
