#!/bin/sh
# Guards against two long-running jobs that can never be done taking all workers
# from the jobs of all other callers: their failures let each worker rest, and
# the one task that is tried after a rest is always one of theirs.
here=$(cd "$(dirname "$0")" && pwd)
: >"$here/record.txt"
. "$here/lib.sh"
trouble=${TROUBLE:-1}

id_of()	# NUMBER
{
	printf '%016x' $((4096 + $1))
}

# Six tasks that last.  Those of a job that can't be done fail after 100 ms.
lasting()	# JOB FAIL-MS
{
	submit 1 "$1" "6400 100 0 $2 -1" '{"count":6,"cpu":6400,
	    "mem_mb":100,"estimated_ms":320,"long_running":true}'
}

# Six tasks of 0.8 s.
short()	# NUMBER
{
	submit 2 "$(id_of "$1")" "1000 100 800 0 0" '{"count":6,"cpu":1000,
	    "mem_mb":100,"estimated_ms":800}' >/dev/null
}

start_store
write_config 1 3
start_workers 8 32000
start_entries 3

# 40 jobs come within 3 s; 2 of them, a twentieth, can never be done.
fail_ms=0
[ "$trouble" = 1 ] && fail_ms=100
jobs=0
while [ "$jobs" -lt 38 ]; do
	jobs=$((jobs + 1))
	short $jobs
	[ "$jobs" = 30 ] && lasting 00000000000000b1 $fail_ms
	[ "$jobs" = 31 ] && lasting 00000000000000b2 $fail_ms
	sleep 0.05
done
say "a pause of 8 s"
sleep 8
# Then two each second, all of which can be done.
while [ "$jobs" -lt 78 ]; do
	jobs=$((jobs + 1))
	short $jobs
	sleep 0.45
done
say "the traffic ends: $jobs short jobs were accepted"

# finish_s after the end of the traffic the jobs are asked for; from then on no
# job may have nothing running for 3 s while there is room for it.
sleep 14
before=$(count ' worker=.* task=00000000000010')
sleep 3
after=$(count ' worker=.* task=00000000000010')
missing=0
n=$jobs
while [ "$n" -gt 0 ]; do
	job=$(id_of $n)
	seen=$(state 2 "$job")
	[ "$seen" = completed ] || missing=$((missing + 1))
	n=$((n - 1))
done
say "short jobs that aren't completed: $missing of $jobs;" \
    "starts and ends of their tasks within 3 s: $((after - before));" \
    "failed runs of the other two jobs: $(count 'how=failed')"
[ "$missing" = 0 ] && exit 0
[ "$after" = "$before" ] || impossible "some of the jobs still run"
say "LOST: accepted jobs have nothing running, with room for them"
exit 1
