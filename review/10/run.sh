#!/bin/sh
# Guards against a job that runs although its cancel was acknowledged: the write
# that hands it in gets no answer and reaches the store 6 s later, and the cancel
# in between is answered with 410 and leaves nothing behind that stops the write.
here=$(cd "$(dirname "$0")" && pwd)
: >"$here/record.txt"
. "$here/../9/lib.sh"
trouble=${TROUBLE:-1}

job=00000000000000b1
cancel_ms=3000
contact_ms=3000

start_store
write_config 1 4
start_workers 4 8000
# Entries 2 and 3 meet the store itself, and one of them leads.
start_entry 2
start_entry 3
wait_until 15 "entry 2" is_ready 2 || impossible "entry 2 isn't ready"
wait_until 15 "entry 3" is_ready 3 || impossible "entry 3 isn't ready"
if [ "$trouble" = 1 ]; then
	entry_store=127.0.0.1:$((base + 60))
	"$tools/proxy" $((base + 60)) "$base" "$job" 6000 >>"$record" 2>&1 &
	pids="$pids $!"
	sleep 0.3
fi
start_entry 1
wait_until 15 "entry 1" is_ready 1 || impossible "entry 1 isn't ready"
sleep 2

# Eight steps of 1.5 s, one after the other.
steps='{"count":1,"cpu":1000,"mem_mb":10,"estimated_ms":1500}'
spec='1000 10 1500 0 0'
n=0
while [ "$n" -lt 7 ]; do
	steps=$steps',{"count":1,"cpu":1000,"mem_mb":10,"estimated_ms":1500,
	    "after":['$n']}'
	spec="$spec;1000 10 1500 0 0"
	n=$((n + 1))
done
reply=$(call POST "$(front_of 1)" "/q/$job" 3000 \
    "{\"spec\":\"$spec\",\"phases\":[$steps]}")
say "POST job=$job entry=1 answer=$reply"
case "$trouble$reply" in
12* | 1429* | 1503*) impossible "the write had an answer" ;;
02*) ;;
0*) impossible "the job wasn't accepted" ;;
esac
# The client doesn't want the job any more.
cancel 2 $job
acked_ms=$(date +%s%3N)
sleep 16

# Tasks that a machine in touch has started too late: more than cancel_ms after
# the answer to the cancel, and more than contact_ms after the last lost write
# has reached the store.
last_ms=$(sed -n 's/^\([0-9]*\) the write reaches the store/\1/p' "$record" |
    tail -1)
late=$(awk -v job="$job" -v acked="$((acked_ms + cancel_ms))" \
    -v calm="$((${last_ms:-0} + contact_ms))" \
    '$2 == "start" && index($4, "task=" job) && $1 > acked && $1 > calm' \
    "$record" | wc -l)
say "starts of the cancelled job, too late: $late;" \
    "in all: $(count "start .*task=$job"); state=$(state 3 $job)"
[ "$late" = 0 ] && exit 0
say "UNASKED: tasks of a job start after its cancel was acknowledged"
exit 1
