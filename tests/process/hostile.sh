# Functions shared by the tests of untrusted clients: a crowd of connections to
# the address for callers, whose bytes are several times the memory that the
# entry may use and whose number is over its limit of descriptors.  While the
# crowd is open and after it, the entry must serve ordinary requests on new
# connections, and it must stay within both limits all the time.  How long
# anything takes and how much of the crowd is served is not checked.
#
# Sourced with $name set.  Shell variables starting with p_ are private.

. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform.sh"

connections=400
memory_mb=48
max_fds=300
body_max=262144
entry_limits="\"memory_mb\":$memory_mb,\"max_fds\":$max_fds"
config_limits="\"max_header_bytes\":16384,\"max_body_bytes\":$body_max,
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000"
# An entry may leave new connections waiting until it has closed others, so the
# deadline is several times the above time-outs.
deadline_ms=60000
answer_s=70
limit_s=120
broken=0

# Reports what doesn't hold and goes on, so that a run tells all of it.
check()	# WHAT COMMAND...
{
	p_what=$1
	shift
	"$@" && return
	say "broken: $p_what" >&2
	broken=1
}

entry_lives()
{
	grep -q '^State:[[:space:]]*[^ZX]' "/proc/$entry_1_pid/status" \
	    2>/dev/null
}

memory_kb()	# FIELD of /proc/PID/status
{
	awk -v field="$1:" '$1 == field { print $2 }' \
	    "/proc/$entry_1_pid/status"
}

# Records the number of open descriptors and the resident kB.
sample()
{
	p_kb=$(memory_kb VmRSS)
	set -- "/proc/$entry_1_pid/fd"/*
	echo "$# ${p_kb:-0}" >>"$out/samples"
}

watch_entry()
{
	while entry_lives; do
		sample
		sleep 0.05
	done
}

most()	# COLUMN of the samples
{
	awk -v column="$1" '$column > most { most = $column }
	    END { print most + 0 }' "$out/samples"
}

submit()	# ID FILE : prints the status
{
	curl -s -m "$answer_s" -o "$out/submit.json" -w '%{http_code}' \
	    -H "Host: $host" -H "X-Deadline-Ms: $deadline_ms" \
	    --data-binary "@$2" "http://$(front_of 1)$prefix$1"
}

query()	# ID : prints the status
{
	curl -s -m "$answer_s" -o "$out/query.json" -w '%{http_code}' \
	    -H "Host: $host" -H "X-Deadline-Ms: $deadline_ms" \
	    "http://$(front_of 1)$prefix$1"
}

state_is_right()
{
	jq -e '.state == "queued" or .state == "running" or
	    .state == "completed"' "$out/query.json" >/dev/null
}

# check_service WHEN ID JOB : submits the job and queries its state, each on a
# new connection.
check_service()
{
	p_submitted=$(submit "$2" "$3")
	check "$1: submit answered $p_submitted" [ "$p_submitted" = 200 ]
	p_queried=$(query "$2")
	check "$1: state query answered $p_queried" [ "$p_queried" = 200 ]
	check "$1: state $(cat "$out/query.json")" state_is_right
}

accepts_job()
{
	[ "$(submit 00000000000000aa "$out/small.json")" = 200 ]
}

# A job of the most steps, each after all before it; blanks fill it up to
# nearly the longest body.
write_large_job()
{
	jq -nc '{ spec: ("x" * 4000), phases: [ range(256) as $i | {
	    count: 1, cpu: 100, mem_mb: 16, estimated_ms: 100,
	    after: [ range($i) ] } ] }' >"$out/steps.json"
	p_blanks=$((body_max - 100 - $(wc -c <"$out/steps.json")))
	printf "%s%${p_blanks}s" "$(cat "$out/steps.json")" "" \
	    >"$out/large.json"
}

start_hostile_entry()
{
	echo '{"spec":"","phases":[{"count":1,"cpu":100,"mem_mb":16,
	    "estimated_ms":100}]}' >"$out/small.json"
	take_ports
	# The rate of the store mustn't decide whether a job is accepted.
	start_platform_store --writes-per-s 100000 --reads-per-s 100000
	write_config 1 1000
	start_platform_entries 1
	wait_for "a job to be accepted" accepts_job
	say "memory before the crowd: $(memory_kb VmRSS) kB"
	watch_entry 9>&- &
	pids="$pids $!"
}

crowd_has_settled()
{
	grep -q event=settled "$out/crowd.log"
}

check_limits()
{
	p_hwm=$(memory_kb VmHWM)
	p_fds=$(most 1)
	p_most=$(most 2)
	say "peak memory $p_hwm kB (sampled: $p_most kB) of" \
	    "$((memory_mb * 1024)) kB, peak descriptors $p_fds of $max_fds"
	check "peak descriptors: $p_fds" [ "$p_fds" -lt "$max_fds" ]
	# Under the address sanitizer the memory includes the shadow and up to
	# 256 MB of freed blocks.
	[ "$tree" = build ] || return 0
	check "peak memory: $p_hwm kB" [ "$p_hwm" -lt $((memory_mb * 1024)) ]
	check "sampled memory: $p_most kB" \
	    [ "$p_most" -lt $((memory_mb * 1024)) ]
}

# face_crowd KIND BYTES : the crowd sends so many bytes on each connection.
face_crowd()
{
	start crowd platstand crowd --entry "$(front_of 1)" --host "$host" \
	    --prefix "$prefix" --kind "$1" --count "$connections" --bytes "$2" \
	    --limit-ms 400000
	crowd_pid=$started
	wait_for "the crowd to have sent its part" crowd_has_settled
	sample
	check_service "beside the crowd" 00000000000000bb "$out/small.json"
	check "the entry exited beside the crowd" entry_lives
	kill -TERM "$crowd_pid"
	wait "$crowd_pid" || fail "the crowd exited with status $?"
	say "crowd: $(cat "$out/crowd.out")"
	check_service "after the crowd" 00000000000000cc "$out/small.json"
	check "the entry exited after the crowd" entry_lives
	check_limits
}

# A single job nearly as long as a body may be, without a crowd.
check_large_job()
{
	write_large_job
	check_service "large job before the crowd" 00000000000000dd \
	    "$out/large.json"
}

accepts_large_job()
{
	[ "$(submit 00000000000000ee "$out/large.json")" = 200 ]
}

# The entry may notice only after some requests that the crowd is gone.
check_large_job_again()
{
	wait_for "a large job to be accepted after the crowd" accepts_large_job
}

end_hostile()
{
	[ "$broken" = 0 ] || fail "see the lines marked broken"
}
