#!/bin/sh
# An entry starts while the store is down.  Without the store it would know no
# service and no peer and refuse every call, and other entries could not find
# it in the registry.  It contacts the entries given by --peers, gets the
# configuration in force from them, and serves calls.
name=process_start_without_store
. "$(dirname "$0")/lib.sh"

take_ports
start_fleet 2 3 2
revision=$(get "$e1/v1/config" | jq .revision)
get -o /dev/null -d '{"mode":"down"}' "$store/fault"
start_entry 3 --peers "127.0.0.1:$((base + 3))"
wait_for "the new entry" answers "$e3/metrics"
has_revision()
{
	[ "$(get "$e3/v1/config" | jq .revision)" -ge "$revision" ]
}
wait_for "the configuration in force" has_revision
wait_for "a call through the new entry" call_works "$e3"
check_workers
say "ok"
