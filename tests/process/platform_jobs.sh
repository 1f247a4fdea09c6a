#!/bin/sh
# Callers submit jobs to three entries on the platform's protocols, while one
# after another is killed, shut down gracefully and paused, and the store is
# briefly unavailable.  Each job ends as expected, and no task runs twice: a
# new leader polls the workers for their tasks before it starts any.
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
wait "$entry_2_pid" || fail "entry 2 exited with status $?"
start_platform_entry 2
kill -STOP "$entry_3_pid"
sleep 2
kill -CONT "$entry_3_pid"
set_store_fault down
sleep 1
set_store_fault none

check_platform
