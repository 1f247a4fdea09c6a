#!/bin/sh
# Guards against starts in a data centre that operators have closed, also while
# the store rejects the leader, drops its history, or a next leader begins.
name=platform_closed_data_center
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform.sh"

closure_ms=2000
stretch_ms=2000
# Workers 2 and 4 are in sala-sur.
bound_ms=$((closure_ms + stretch_ms))
take_ports
start_platform_store
write_config 1 1000
start_platform_workers 4 --cpu-millis 4000
entry_1_store=$second_store
start_platform_entries 3
start_callers --jobs 60 --every-ms 150
sleep 1.2
close_data_center sala-sur "$closure_ms" 2 4
sleep 4
open_data_center sala-sur 2 4
sleep 0.5
reject_calls silent
close_data_center sala-sur "$bound_ms" 2 4
sleep 1
kill -KILL "$entry_2_pid"
sleep 6
reject_calls none
start_platform_entry 2
open_data_center sala-sur 2 4
sleep 1
check_platform
say "clean"
