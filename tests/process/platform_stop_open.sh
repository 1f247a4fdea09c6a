#!/bin/sh
# A caller queries a job while the store is unavailable and there is no leader,
# so the request stays open until its deadline.  The entry is shut down
# gracefully, and the time limit for that ends first: the caller gets a
# response, and the entry exits with status 0.
name=platform_stop_open
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform.sh"
grace_s=2

take_ports
start_platform_store
write_config 1 1000
start_platform_entries 1
set_store_fault down
sleep 3
get -o /dev/null -w '%{http_code}' -H "Host: $host" \
    -H 'X-Deadline-Ms: 60000' \
    "http://$(front_of 1)${prefix}0123456789abcdef" >"$out/status" &
caller_pid=$!
sleep 1
kill -TERM "$entry_1_pid"
wait "$entry_1_pid" || fail "the entry exited with status $?"
wait "$caller_pid"
expect "status of the open request" "$(cat "$out/status")" 504
