#!/bin/sh
# Guards against receiving empty lines in place of a request until the memory is
# used up.
name=hostile_empty_lines
. "$(dirname "$0")/hostile.sh"

start_hostile_entry
face_crowd empty-lines 400000
end_hostile
