#!/bin/sh
# Callers hand jobs in at three entries on the platform's protocols, one after
# the other is killed, stopped in order and paused meanwhile, and the store is
# away for a moment.  Each job ends as wanted, and no task runs twice: the
# next leader asks the workers what runs there before it starts anything.
name=platform_jobs
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform.sh"

take_ports
start_platform_store
write_config 1 1000
start_platform_workers 6
start_platform_entries 3
start_callers --jobs 60 --every-ms 120

sleep 1
kill -KILL "$entry_1_pid"
sleep 1
start_platform_entry 1
sleep 1
kill -TERM "$entry_2_pid"
wait "$entry_2_pid" || fail "entry 2 left with status $?"
start_platform_entry 2
kill -STOP "$entry_3_pid"
sleep 2
kill -CONT "$entry_3_pid"
set_store_fault down
sleep 1
set_store_fault none

check_platform
