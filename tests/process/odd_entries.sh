#!/bin/sh
# Another writer leaves odd entries below lp/w/: a record in the registry for
# the id of a running entry, with the largest number there is as its
# incarnation, and a key with a NUL.  The entry must neither end nor stop
# following the other entries, and an entry that starts then must read them all.
name=process_odd_entries
. "$(dirname "$0")/lib.sh"

put_raw()	# KEY VALUE, each in base64
{
	expect "put of an odd entry" "$(get -o /dev/null -w '%{http_code}' \
	    -d "{\"success\":[{\"request_put\":{\"key\":\"$1\",\"value\":\"$2\"}}]}" \
	    "$store/v3/kv/txn")" 200
}

counts()	# ADDRESS SERIES : whether the series is there
{
	get "$1/metrics" | grep -qF "$2"
}

take_ports
start_fleet 1 3 2
record="{\"schema\":1,\"id\":\"e1\",\"peer\":\"127.0.0.1:9\",\"data_center\":\"x\",
\"listen\":\"127.0.0.1:9\",\"incarnation\":9223372036854775807}"
put_raw "$(printf lp/w/entry/e1 | base64)" "$(printf '%s' "$record" | base64 -w 0)"
put_raw "$(printf 'lp/w/entry/x\000y' | base64)" "$(printf '{}' | base64)"
wait_for "the odd record" counts "$e1" \
    'lagoonpin_registry_refused{reason="incarnation"}'
wait_for "the odd key" counts "$e1" \
    'lagoonpin_store_entry_refused{reason="key"}'
make_team after
kill -0 "$e1_pid" || fail "the entry ended"
start_entry 2
wait_for "an entry that starts then" answers "$e2/metrics"
wait_for "its configuration" in_force teams/after .record.name after
wait_for "a call through it" call_works "$e2"
kill -0 "$e1_pid" || fail "the entry ended"
check_workers
say "ok"
