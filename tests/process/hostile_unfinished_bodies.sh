#!/bin/sh
# Guards against holding more large bodies of legal size than the memory has room
# for, most of which stop just short of their end while their connections stay
# open.  A single one must be accepted.
name=hostile_unfinished_bodies
. "$(dirname "$0")/hostile.sh"

start_hostile_entry
check_large_job
face_crowd unfinished-body $((body_max - 100))
check_large_job_again
end_hostile
