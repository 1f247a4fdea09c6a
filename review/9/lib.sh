# Functions of the scripts of cases 9 to 12: start a small deployment on
# loopback, call it, and end all that was started.  Sourced with $here set to
# the folder of the case.  Exits with 2 if something can't be started.

set -u
# A run is ended after this time, with 2: a script may take 120 s at most.
limit_s=${LIMIT_S:-110}
if [ -z "${LIMITED:-}" ]; then
	LIMITED=1
	export LIMITED
	exec timeout --preserve-status -k 5 "$limit_s" sh "$0"
fi
top=$(cd "$here/../.." && pwd)
tools=$top/target/review-3
record=$here/record.txt
work=$(mktemp -d)
pids=
host=jobs.example

say()
{
	echo "$(date +%s%3N) $*" >>"$record"
	echo "$*"
}

# impossible WHAT : the case couldn't run.
impossible()
{
	say "could not run: $*"
	exit 2
}

end_all()
{
	status=$?
	trap - EXIT INT TERM
	for pid in $pids; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	for pid in $pids; do
		wait "$pid" 2>/dev/null
	done
	rm -rf "$work"
	exit "$status"
}
trap end_all EXIT
trap 'exit 2' INT TERM

call()	# METHOD ADDRESS PATH MS [BODY]
{
	"$tools/call" "$@"
}

wait_until()	# SECONDS WHAT COMMAND...
{
	limit=$(($(date +%s) + $1))
	what=$2
	shift 2
	until "$@"; do
		[ "$(date +%s)" -lt "$limit" ] || return 1
		sleep 0.1
	done
}

is_ok()	# METHOD ADDRESS PATH
{
	case $(call "$@" 1000) in
	200*) return 0 ;;
	esac
	return 1
}

# start_store
start_store()
{
	base=$("$tools/call" ports 90) || impossible "no free ports"
	store=127.0.0.1:$base
	control=127.0.0.1:$((base + 30))
	"$top/target/bin/platstand" store --listen "$store" \
	    >"$work/store.log" 2>&1 &
	pids="$pids $!"
	wait_until 10 "the store" is_ok GET "$store" /stats ||
	    impossible "the store doesn't answer"
}

# write_config VERSION MAX-ATTEMPTS
write_config()
{
	case $("$tools/call" config "$store" "{\"version\":$1,
	    \"routes\":[{\"name\":\"q\",\"host\":\"$host\",\"prefix\":\"/q/\",
	    \"service\":\"custodio\",\"max_attempts\":$2,\"stretch\":2,
	    \"target_latency_ms\":1000}],
	    \"services\":[{\"name\":\"custodio\",\"admission_check\":false}]}") in
	200*) ;;
	*) impossible "the store refused the configuration" ;;
	esac
}

# start_workers COUNT CPU : numbered from 0.
start_workers()
{
	"$tools/stand" "$store" "$record" $((base + 30)) "$1" "$2" \
	    >"$work/workers.log" 2>&1 &
	workers_pid=$!
	pids="$pids $workers_pid"
	wait_until 10 "the workers" is_ok GET "$control" / ||
	    impossible "the workers don't answer"
}

front_of()	# ENTRY
{
	echo "127.0.0.1:$((base + 3 * $1))"
}

# start_entry NUMBER : with settings like those of a small deployment.  Set
# entry_store to the address at which it shall meet the store, if another.
start_entry()
{
	port=$((base + 3 * $1))
	cat >"$work/entry-$1.json" <<-EOF
	{"node_name":"front-$1","role":"entry","machine_class":"front",
	 "serves":["front"],"ip":"127.0.0.1","zone":"sala-norte",
	 "listen":{"front":"127.0.0.1:$port",
	  "ready_addr":"127.0.0.1:$((port + 1))"},
	 "internal_ports":[$((port + 2)),$((port + 2))],"heartbeat_ms":1000,
	 "limits":{"cpu_share":0.25,"memory_mb":260,"max_fds":4100,
	  "link_mbps":1000.0},
	 "bounds":{"contact_ms":3000,"ack_timeout_ms":4000,"catch_up_s":4,
	  "drain_ms":2000,"grace_s":6,"config_apply_ms":2000,
	  "max_hold_ms":6000,"stop_timeout_ms":200,"gang_timeout_ms":3000,
	  "cancel_ms":3000,"visible_ms":3000,"finish_s":14,"status_s":120,
	  "lease_ms":3000,"harm_ms":4000},
	 "orders":"call","platform":{"address":"${entry_store:-$store}","form":"kv",
	  "writes_per_s":400,"reads_per_s":2000,"value_bytes":1048576}}
	EOF
	(cd "$top" && LAGOONPIN_CONFIG="$work/entry-$1.json" \
	    exec target/bin/lagoonpind) >>"$work/entry-$1.log" 2>&1 &
	eval "entry_$1=$!"
	pids="$pids $!"
}

is_ready()	# NUMBER
{
	is_ok GET "127.0.0.1:$((base + 3 * $1 + 1))" /ready
}

# start_entries COUNT
start_entries()
{
	entries=$1
	n=1
	while [ "$n" -le "$entries" ]; do
		start_entry "$n"
		n=$((n + 1))
	done
	n=1
	while [ "$n" -le "$entries" ]; do
		wait_until 15 "entry $n" is_ready "$n" ||
		    impossible "entry $n isn't ready"
		n=$((n + 1))
	done
}

# leader : the number of the entry that leads, as its log says.
leader()
{
	grep -h 'event=lead_begin' "$work"/entry-*.log | sort |
	    sed -n 's/.*time=\([^ ]*\).*entry="front-\([0-9]*\)".*/\1 \2/p' |
	    sort | tail -1 | cut -d' ' -f2
}

# submit ENTRY JOB SPEC STEPS : until it is accepted.
submit()
{
	tries=0
	while [ "$tries" -lt 20 ]; do
		reply=$(call POST "$(front_of "$1")" "/q/$2" 3000 \
		    "{\"spec\":\"$3\",\"phases\":[$4]}")
		say "POST job=$2 entry=$1 answer=$reply"
		case $reply in
		2*) return 0 ;;
		esac
		tries=$((tries + 1))
		sleep 0.2
	done
	impossible "job $2 wasn't accepted"
}

# state ENTRY JOB : the state that is shown, or the status of the refusal.
state()
{
	reply=$(call GET "$(front_of "$1")" "/q/$2" 3000)
	echo "$(date +%s%3N) GET job=$2 entry=$1 answer=$reply" >>"$record"
	case $reply in
	200*) echo "$reply" | sed 's/.*"state":"\([a-z]*\)".*/\1/' ;;
	*) echo "${reply%% *}" ;;
	esac
}

# cancel ENTRY JOB : until it is acknowledged.
cancel()
{
	tries=0
	while [ "$tries" -lt 10 ]; do
		reply=$(call DELETE "$(front_of "$1")" "/q/$2" 3000)
		say "DELETE job=$2 entry=$1 answer=$reply"
		case $reply in
		2* | 410*) return 0 ;;
		esac
		tries=$((tries + 1))
		sleep 0.2
	done
	impossible "the cancel of job $2 wasn't acknowledged"
}

# count PATTERN : lines of the record that have it.
count()
{
	grep -c -- "$1" "$record"
}
