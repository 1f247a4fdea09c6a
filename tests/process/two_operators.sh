#!/bin/sh
# Two operators concurrently change the same service through two entries,
# both based on the same revision.  One change is accepted, the other refused
# as a whole with the record in force, and every entry comes to have the
# accepted one in force.  While the store is unavailable, a change is refused
# and has no effect.  Responses lost by the store never apply a change twice
# or lose an accepted one.
name=process_two_operators
. "$(dirname "$0")/lib.sh"

service()	# DEADLINE-MS
{
	echo "{\"schema\":1,\"name\":\"custodio\",\"deadline_ms\":$1,
	    \"slots_per_call\":1}"
}

race()	# REVISION DEADLINE-MS DEADLINE-MS : prints "STATUS STATUS"
{
	put "$e1" services/custodio "$1" "$(service "$2")" >"$out/race1" &
	p_one=$!
	put "$e2" services/custodio "$1" "$(service "$3")" >"$out/race2" &
	wait $p_one $!
	echo "$(cat "$out/race1") $(cat "$out/race2")"
}

deadline()
{
	get "$1/v1/services/custodio" | jq .record.deadline_ms
}

revision()
{
	get "$e3/v1/services/custodio" | jq .revision
}

take_ports
start_store
start_vmstand
for number in 1 2 3; do
	start_entry $number
done
for address in $e1 $e2 $e3; do
	wait_for "entry $address" answers "$address/metrics"
	wait_for "its configuration" sh -c \
	    "curl -s $address/v1/config | jq -e .loaded >/dev/null"
done
expect "create" "$(put "$e1" services/custodio 0 "$(service 1)")" 200
wait_for "it in force everywhere" in_force services/custodio \
    .record.deadline_ms 1

round=1
while [ $round -le 10 ]; do
	first=$((round * 10 + 1))
	second=$((round * 10 + 2))
	case $(race "$(revision)" $first $second) in
	"200 409") winner=$first ;;
	"409 200") winner=$second ;;
	*) fail "round $round: $(cat "$out"/race1 "$out"/race2)" ;;
	esac
	wait_for "the winner's change everywhere" in_force services/custodio \
	    .record.deadline_ms $winner
	round=$((round + 1))
done

get "$store/fault" -d '{"mode":"down"}' >/dev/null
expect "change without the store" \
    "$(put "$e2" services/custodio "$(revision)" "$(service 777)")" 503
expect "deadline in force" "$(deadline "$e2")" $winner
get "$store/fault" -d '{"mode":"none"}' >/dev/null

get "$store/fault" -d \
    '{"mode":"lose_answers","only":"kv","probability_percent":60}' >/dev/null
seen=$(revision)
status=$(put "$e3" services/custodio "$seen" "$(service 888)")
get "$store/fault" -d '{"mode":"none"}' >/dev/null
case $status in
200) wanted=888 ;;
503 | 504) wanted=$(deadline "$e3") ;;
*) fail "status of a change with lost responses: $status" ;;
esac
wait_for "one record in force" in_force services/custodio \
    .record.deadline_ms "$wanted"
wait_for "one revision" in_force services/custodio .revision "$(revision)"
say "ok"
