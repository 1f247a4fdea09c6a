#!/bin/sh
# Guards against receiving request heads that never end until the memory is used
# up.
name=hostile_endless_head
. "$(dirname "$0")/hostile.sh"

start_hostile_entry
face_crowd endless-head 400000
end_hostile
