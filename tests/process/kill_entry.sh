#!/bin/sh
# An entry is killed under load, while batch jobs run.  Callers with a call in
# flight lose the connection; they repeat the call with the same id through
# another entry and get a response, or for a non-idempotent call "unknown" if
# it may have run.  The other entries acquire its shards at a higher epoch and
# learn from the workers which tasks run; every accepted job completes with
# each task done once.
name=process_kill_entry
. "$(dirname "$0")/lib.sh"

take_ports
start_fleet 3 4 2
start_load load --rate 80 --poisson --duration-ms 6000 --non-idempotent 20 \
    --watch 5 --jobs 6 --jobs-rate 2 --job-tasks 4 --job-run-ms 1500 --team maule \
    --tries 20
wait_for "tasks running" sh -c \
    "curl -s $workers/stats/all | jq -e '.totals.starts > 4' >/dev/null"
kill -KILL "$e2_pid"
wait_for "another owner for its shards" none_owned_by "$e1" e2
end_load
expect "idempotent calls not answered" \
    "$(value "$report" '.kinds.idempotent | .sent - .answered')" 0
expect "jobs finished" "$(value "$report" .counts.jobs_finished)" 6
check_workers
check_tasks 24
say "ok"
