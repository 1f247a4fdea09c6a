#!/bin/sh
# Guards against receiving chunked bodies far over the limit, whose length isn't
# announced, until the memory is used up.
name=hostile_sent_body
. "$(dirname "$0")/hostile.sh"

start_hostile_entry
face_crowd sent-body 1048576
end_hostile
