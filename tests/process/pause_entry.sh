#!/bin/sh
# An entry is stopped (SIGSTOP) for longer than its leases last, and when it
# resumes it still acts as owner of its shards, which other entries now own at
# a higher epoch.  Its writes fail their comparison with the ledger's revision
# and its messages are refused by the workers; then it learns of the new
# owners.  No task runs in two places, is done twice or is lost.
name=process_pause_entry
. "$(dirname "$0")/lib.sh"

take_ports
start_fleet 3 4 2
start_load load --rate 20 --duration-ms 5000 --non-idempotent 20 --jobs 6 \
    --jobs-rate 3 --job-tasks 4 --job-run-ms 2500 --team maule
wait_for "tasks running" sh -c \
    "curl -s $workers/stats/all | jq -e '.totals.starts > 4' >/dev/null"
owner=$(owners "$e1" | head -1 | cut -d' ' -f2)
eval "owner_pid=\$${owner}_pid owner_address=\$$owner"
witness=$e1
[ "$owner" = e1 ] && witness=$e2
kill -STOP "$owner_pid"
wait_for "another owner for its shards" none_owned_by "$witness" "$owner"
kill -CONT "$owner_pid"
# The resumed entry learns of the current owners.
wait_for "the woken entry knows the new owners" sh -c "
    [ \"\$(curl -s -m 5 $owner_address/v1/shards | jq -cS '[.shards[] |
    {shard, owner, epoch}] | sort_by(.shard)')\" = \"\$(curl -s -m 5 \
    $witness/v1/shards | jq -cS '[.shards[] | {shard, owner, epoch}] |
    sort_by(.shard)')\" ]"
end_load
expect "jobs finished" "$(value "$report" .counts.jobs_finished)" 6
check_workers
check_tasks 24
say "ok"
