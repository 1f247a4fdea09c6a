#!/bin/sh
# Guards against receiving bodies whose Content-Length is far over the limit
# until the memory is used up.
name=hostile_announced_body
. "$(dirname "$0")/hostile.sh"

start_hostile_entry
face_crowd announced-body 1048576
end_hostile
