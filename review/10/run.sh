#!/bin/sh
# Guards against a job that is shown as failed though none of its runs has
# failed: one worker goes down and up by turns, is the only one with room for
# the job's task, and the task is blamed for the crashes.
here=$(cd "$(dirname "$0")" && pwd)
: >"$here/record.txt"
. "$here/../9/lib.sh"
trouble=${TROUBLE:-1}

others=00000000000000a1
job=00000000000000b1

start_store
write_config 1 3
start_workers 10 8000
start_entries 3

# One task of 4 cores on each of nine workers: the tenth has room for 6.
submit 1 $others "4000 1000 0 0 0 0" '{"count":9,"cpu":4000,"mem_mb":1000,
    "estimated_ms":1000,"anti_affinity":1,"long_running":true}'
has_nine()
{
	[ "$(count "start .*task=$others")" -ge 9 ]
}
wait_until 10 "nine tasks" has_nine || impossible "the other job doesn't run"
free=0
while grep -q "start worker=i-$free-1 task=$others" "$record"; do
	free=$((free + 1))
done

# It runs for 6 s, and takes no harm but from crashes of its worker.
submit 2 $job "6000 1000 6000 0 0 0" '{"count":1,"cpu":6000,"mem_mb":1000,
    "estimated_ms":6000}'
if [ "$trouble" = 1 ]; then
	sleep 0.5
	say "worker $free goes down and up by turns, 1 s each, for 6.5 s"
	call GET "$control" "/crash?worker=$free&down_ms=1000" 1000 >/dev/null
	call GET "$control" "/flap?worker=$free&up_ms=1000&down_ms=1000" 1000 \
	    >/dev/null
	sleep 6.5
	call GET "$control" "/flap?worker=$free&up_ms=0" 1000 >/dev/null
	say "worker $free stays up"
fi

seen=
limit=$(($(date +%s) + 40))
while [ "$(date +%s)" -lt "$limit" ]; do
	seen=$(state 3 $job)
	case $seen in
	completed | failed) break ;;
	esac
	sleep 0.5
done
failures=$(count "task=$job.*how=failed")
say "job=$job state=$seen ends_failed=$failures" \
    "lost=$(count "task=$job.*how=crash") max_attempts=3"
case $seen in
completed) exit 0 ;;
failed) ;;
*) impossible "the job hasn't ended" ;;
esac
[ "$failures" -ge 3 ] && exit 0
say "LOST: an accepted job that could be done is shown as failed"
exit 1
