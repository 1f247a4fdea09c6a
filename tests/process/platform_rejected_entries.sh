#!/bin/sh
# Guards against an entry that goes on answering by an old configuration while
# the store rejects it and serves its peers, and against one that goes back.
name=platform_rejected_entries
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform.sh"

# Routes come and go; each entry has to follow though some are rejected.
change_routes()	# MODE
{
	added=added$version
	version=$((version + 2))
	write_config "$version" 1000 "$added"
	wait_everywhere 3 "$added" 200
	version=$((version + 1))
	write_config "$version" 1000
	wait_everywhere 3 "$added" 404
	for entry in 1 2 3; do
		expect "entry $entry afterwards, $1" \
		    "$(queue_status "$entry" "$added")" 404
	done
}

take_ports
start_platform_store
write_config 1 1000
start_platform_workers 2
entry_2_store=$second_store
entry_3_store=$second_store
start_platform_entries 3
# Entries are ready before they have heard of a leader; then they count jobs.
wait_everywhere 3 q 200
version=1
for mode in busy reset silent watches none; do
	reject_calls "$mode"
	change_routes "$mode"
done
reject_calls busy
kill -KILL "$entry_3_pid"
wait "$entry_3_pid"
start_platform_entry 3
change_routes restarted

# Without the store nobody can tell that a queue doesn't exist; what is known
# is served on.
set_store_fault busy
wait_everywhere 3 missing 503
wait_everywhere 3 q 200
set_store_fault none
wait_everywhere 3 missing 404
