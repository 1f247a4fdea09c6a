#!/bin/sh
# Guards against starts on workers that shrink while the store is down, and
# take what they have no room for.
name=platform_unguarded_rooms
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform.sh"

take_ports
start_platform_store
write_config 1 1000
start_platform_workers 3 --cpu-millis 4000 --unguarded 3
start_platform_entries 3
# More than the workers can run, so that tasks wait all the while.
start_callers --jobs 40 --every-ms 20
sleep 1.2
set_store_fault down
sleep 0.3
set_room 1 300
set_room 2 300
sleep 8
set_store_fault none
sleep 4
set_room 1 4000
set_room 2 4000
check_platform
say "clean"
