#!/bin/sh
# Guards against holding more large bodies of legal size, each sent at once, than
# the memory has room for.  A single one must be accepted.
name=hostile_whole_bodies
. "$(dirname "$0")/hostile.sh"

start_hostile_entry
check_large_job
face_crowd whole-body $((body_max - 100))
check_large_job_again
end_hostile
