#!/bin/sh
# The key-value service becomes unavailable under load, is slow when it
# returns, and then loses responses to writes that took effect.  Idempotent
# calls are unaffected; non-idempotent ones are refused as "not run" with
# Retry-After and run once when repeated later.  Tasks bound ahead continue.
# An entry whose write got no response first reads it back, so that no task
# starts twice.
name=process_store_outage
. "$(dirname "$0")/lib.sh"

take_ports
start_fleet 3 4 2
start_load load --rate 60 --duration-ms 9000 --non-idempotent 20 --jobs 8 \
    --jobs-rate 2 --job-tasks 3 --job-run-ms 1000 --team maule --tries 30
wait_for "tasks running" sh -c \
    "curl -s $workers/stats/all | jq -e '.totals.starts > 4' >/dev/null"
get "$store/fault" -d '{"mode":"down","for_ms":4000}' >/dev/null
wait_for "a refusal for want of the store" sh -c "
    curl -s -o /dev/null -D - -m 5 -H 'lagoonpin-request-id: n-probe' \
    -d probe http://$e1/v1/call/custodio | grep -qi 'outcome: not-run'"
sleep 4
get "$store/fault" -d '{"mode":"slow","delay_ms":700,"for_ms":2000}' >/dev/null
sleep 2
get "$store/fault" -d \
    '{"mode":"lose_answers","probability_percent":30,"for_ms":4000}' >/dev/null
end_load
expect "idempotent calls not answered" \
    "$(value "$report" '.kinds.idempotent | .sent - .answered')" 0
expect "idempotent calls repeated" \
    "$(value "$report" .kinds.idempotent.repeats)" 0
expect "jobs finished" "$(value "$report" .counts.jobs_finished)" 8
check_workers
check_tasks 24
say "ok"
