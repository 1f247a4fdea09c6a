#!/bin/sh
# Show lagoonpin on this machine: the platform's stand-ins, three entries, a
# call, a payout that runs once, a watch, a batch job, a configuration
# change, an entry killed in the middle, a graceful shutdown.  Ends by itself
# and fails when a step does.
name=demo
. "$(dirname "$0")/../tests/process/lib.sh"

step()	# WHAT RESULT
{
	printf '%-46s %s\n' "$1" "$2"
}

outcome()	# ENTRY ARG-OF-CURL... : "OUTCOME REASON" of a call
{
	p_entry=$1
	shift
	get -D - -o /dev/null "$@" "http://$p_entry/v1/call/custodio" |
	    tr -d '\r' | awk 'tolower($1) == "lagoonpin-outcome:" { o = $2 }
		tolower($1) == "lagoonpin-reason:" { r = $2 }
		END { print o, r }'
}

job()	# ID TASKS RUN-MS : submit through the first entry that answers
{
	get -f -H 'content-type: application/json' -o /dev/null -d \
	    "{\"schema\":1,\"id\":\"$1\",\"team\":\"maule\",
	    \"priority\":\"normal\",\"tasks\":$2,\"cpu_millis\":1000,
	    \"memory_mib\":512,\"run_ms\":$3,
	    \"payload\":{\"run_ms\":$3,\"checkpoint_ms\":20}}" \
	    "http://$e1/v1/jobs" || fail "job $1 was refused"
}

job_done()	# ENTRY ID TASKS
{
	[ "$(get "http://$1/v1/jobs/$2" | jq -r .tasks.done)" = "$3" ]
}

change_service()	# through lagoonpinctl, then wait until all have it
{
	p_revision=$(ctl "$e2" --json service set custodio deadline_ms=1800 |
	    jq .revision)
	ctl "$e3" config wait "$p_revision" >"$out/wait.out" ||
	    fail "the change isn't in force: $(cat "$out/wait.out")"
	changed="revision $p_revision in force on all entries"
}

ran()	# REQUEST-ID
{
	get "$workers/ran" -d "{\"ids\":[\"$1\"]}" | jq '.runs[0]'
}

exec 9>/tmp/lagoonpin-demo.lock
flock -w 120 9 || fail "another demo is running"
base=7398

started_s=$(date +%s)
start_fleet 3 3 2 --services custodio --watch-interval-ms 100
step "entries, workers, racks" "3, 3, 2: $(owners "$e1" |
    awk '{ printf "%s%s owns %s", sep, $2, $1; sep = ", " }')"

got=$(outcome "$e1" -H 'lagoonpin-idempotent: yes' -d '{"deposit":17}')
step "balance check through e1" "$got"
[ "${got% *}" = answered ] || fail "the call wasn't answered"

first=$(outcome "$e1" -H 'lagoonpin-request-id: n-payout-17' -d '{"pay":17}')
again=$(outcome "$e2" -H 'lagoonpin-request-id: n-payout-17' -d '{"pay":17}')
step "payout through e1, repeated through e2" \
    "$first; $again; ran $(ran n-payout-17) time"
[ "${first% *}" = answered ] || fail "the payout wasn't answered"
expect "runs of the payout" "$(ran n-payout-17)" 1

lines=$(get -N -H 'lagoonpin-watch: yes' -H 'lagoonpin-idempotent: yes' \
    -H 'lagoonpin-request-id: w-17' -H 'lagoonpin-deadline-ms: 5000' \
    -d '!lines=4' "http://$e3/v1/call/custodio" | wc -l)
step "standing watch through e3" "$lines lines"
expect "lines of the watch" "$lines" 4

job settlement-1 6 800
wait_for "job settlement-1 done" job_done "$e2" settlement-1 6
step "job settlement-1 accepted by e1, seen by e2" "done"

change_service
step "change of the service through e2" "$changed"

job survey-1 9 2500
wait_for "its tasks to run" sh -c "[ \$(curl -s $workers/stats/all |
    jq '[.workers[].used.cpu_millis] | add') -gt 0 ]"
victim=$(owners "$e1" | head -1 | cut -d' ' -f2)
eval "kill -KILL \$${victim}_pid"
survivor=$e1
[ "$victim" = e1 ] && survivor=$e2
step "owner of the first shard killed" "$victim, while survey-1 runs"
wait_for "new owners" none_owned_by "$survivor" "$victim"
step "its shards" "$(owners "$survivor" |
    awk '{ printf "%s%s owns %s", sep, $2, $1; sep = ", " }')"
wait_for "job survey-1 done" job_done "$survivor" survey-1 9
check_tasks 15
step "job survey-1" "done, 15 of 15 tasks of both jobs ran once"
check_workers
step "workers over capacity, work done twice" "0, 0"

for entry in e1 e2 e3; do
	[ "$entry" = "$victim" ] && continue
	eval "kill -TERM \$${entry}_pid; wait \$${entry}_pid" ||
	    fail "$entry left with status $?"
done
step "graceful shutdown of the other two" "status 0"
step "took" "$(($(date +%s) - started_s)) s"
