#!/bin/sh
# Guards against receiving request heads far over the limit until the memory is
# used up.
name=hostile_long_head
. "$(dirname "$0")/hostile.sh"

start_hostile_entry
face_crowd long-head 400000
end_hostile
