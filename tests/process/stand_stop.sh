#!/bin/sh
# The stand-ins get SIGTERM with responses pending: a slow VM list, a frozen
# worker, and a renewal, a watch and a call that wait.  Each closes its
# connections and exits with status 0.  Guards against a use after free: the
# end of a connection was reported to an object that had been freed (seen in
# the sanitized build).
name=process_stand_stop
. "$(dirname "$0")/lib.sh"

hold()	# ARG-OF-CURL... : sends a request that gets no response
{
	curl -s -m 20 -o /dev/null "$@" 9>&- &
	pids="$pids $!"
}

take_ports
start_vmstand
vmstand_pid=$started
start_workers 2 2
endpoint=127.0.0.1:$((base + worker_base + 1))
get "$vms/fault" -d '{"mode":"slow","delay_ms":30000}' >/dev/null
hold "$vms/v1/vms"
hold "$workers/v1/renew" -d \
    '{"shard":"s","epoch":1,"lease_ms":1000,"wait_ms":30000,"acked":[]}'
hold "$endpoint/call/custodio" -H 'lagoonpin-shard: s' \
    -H 'lagoonpin-epoch: 1' -d '!run_ms=30000'
hold "$endpoint/call/custodio" -H 'lagoonpin-shard: s' \
    -H 'lagoonpin-epoch: 1' -H 'lagoonpin-watch: yes' -d '!lines=1000'
wait_for "both calls" sh -c \
    "[ \$(curl -s $workers/stats | jq .used.connections) = 2 ]"
get "$(control_of 2)/fault" -d '{"mode":"freeze"}' >/dev/null
hold "$(control_of 2)/v1/fence" -d '{"shard":"s","epoch":1}'
sleep 0.3
for pid in $vmstand_pid $workers_pid; do
	kill -TERM "$pid"
	wait "$pid" || fail "process $pid exited with status $?"
done
say "ok"
