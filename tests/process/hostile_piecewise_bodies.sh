#!/bin/sh
# Guards against holding more large bodies of legal size, which all arrive piece
# by piece, than the memory has room for.  A single one must be accepted.
name=hostile_piecewise_bodies
. "$(dirname "$0")/hostile.sh"

start_hostile_entry
check_large_job
face_crowd announced-body $((body_max - 100))
check_large_job_again
end_hostile
