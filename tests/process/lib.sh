# Functions shared by the process tests, the demo and the benchmarks: start
# programs on a free block of ports, wait for events, kill what was started.
# The exit status is the result of a test.  Tests wait for events up to a
# generous limit and never assert how long something took.
#
# Sourced with $name set.  Shell variables starting with p_ are private.

set -u
top=$(cd "$(dirname "$0")/.." && pwd)
[ -f "$top/mk/flags.mk" ] || top=$(dirname "$top")
tree=${TREE:-build}
bin=$top/$tree/bin
out=$top/$tree/logs/$name
rm -rf "$out"
mkdir -p "$out"

pids=""
entries=""		# ip:port,... of the started entries
fleet_seed=${SEED:-1}
limit_s=60		# for each event

fail()
{
	echo "FAIL $name: $*" >&2
	exit 1
}

say()
{
	echo "$name: $*"
}

# Locks a block of ports, as several checkouts may run tests on one machine.
take_ports()	# [FIRST-BLOCK STEP COUNT], blocks of 100 ports
{
	p_block=${1:-270}
	p_step=${2:-1}
	p_last=$((p_block + (${3:-10} - 1) * p_step))
	while [ "$p_block" -le "$p_last" ]; do
		exec 9>"/tmp/lagoonpin-ports-$p_block.lock"
		if flock -n 9; then
			base=$((p_block * 100))
			return 0
		fi
		p_block=$((p_block + p_step))
	done
	fail "no free block of ports"
}

cleanup()
{
	p_status=$?
	trap - EXIT INT TERM
	for p_pid in $pids; do
		kill -CONT "$p_pid" 2>/dev/null
		kill -KILL "$p_pid" 2>/dev/null
	done
	for p_pid in $pids; do
		wait "$p_pid" 2>/dev/null
	done
	if grep -lE 'ERROR: AddressSanitizer|runtime error:' \
	    "$out"/*.log >&2; then
		echo "FAIL $name: a sanitizer reported the above logs" >&2
		p_status=1
	fi
	exit "$p_status"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# start LOG PROGRAM ARG... : runs it in the background; its pid is in $started.
start()
{
	p_log=$1
	shift
	p_program=$1
	shift
	"$bin/$p_program" "$@" >"$out/$p_log.out" 2>"$out/$p_log.log" 9>&- &
	started=$!
	pids="$pids $started"
}

get()
{
	curl -s -m 10 "$@"
}

# wait_for WHAT COMMAND... : repeats the command until it succeeds.
wait_for()
{
	p_what=$1
	shift
	p_end=$(($(date +%s) + limit_s))
	until "$@"; do
		[ "$(date +%s)" -lt "$p_end" ] || fail "timed out waiting for: $p_what"
		sleep 0.1
	done
}

answers()
{
	get -o /dev/null "http://$1"
}

start_store()
{
	store=127.0.0.1:$base
	start store kvstand --port "$base" --progress-ms 1000
	store_pid=$started
	wait_for "the store" answers "$store/stats"
}

start_vmstand()
{
	vms=127.0.0.1:$((base + 1))
	start vmstand vmstand --listen "$vms" --lag-ms "${1:-300}"
	wait_for "the list of VMs" answers "$vms/stats"
}

# start_workers COUNT PER_RACK ARG... : control ports start at base+20.
worker_base=20		# offset of the ports from base

start_workers()
{
	p_count=$1
	p_per_rack=$2
	shift 2
	workers=127.0.0.1:$((base + worker_base))
	start workers workstand --port-base $((base + worker_base)) --count "$p_count" \
	    --per-rack "$p_per_rack" --data-centers sala-norte,sala-sur \
	    --lag-ms 300 --vmstand "$vms" "$@"
	workers_pid=$started
	wait_for "$p_count workers on the list" workers_listed "$p_count"
}

workers_listed()
{
	[ "$(get "$vms/v1/vms" | jq '.vms | length')" = "$1" ]
}

control_of()	# control port of worker number $1
{
	echo 127.0.0.1:$((base + worker_base - 2 + 2 * $1))
}

# Leases and heartbeat intervals are short, so that leases expire within a
# test; benchmarks set timing to the empty string to use the defaults.
timing="--heartbeat-ms 200 --silence-ms 1500 --registry-ttl-s 2 --vm-list-ms 300
--commit-ms 50 --lease-ms 4000 --renew-ms 1000 --margin-ms 300"

start_entry()	# NUMBER ARG...
{
	p_number=$1
	shift
	p_dc=sala-norte
	[ $((p_number % 2)) -eq 1 ] || p_dc=sala-sur
	p_listen=127.0.0.1:$((base + 2 * p_number))
	# The flags in timing must be split into words.
	# shellcheck disable=SC2086
	start "e$p_number" lagoonpind --id "e$p_number" --data-center $p_dc \
	    --listen "$p_listen" --peer 127.0.0.1:$((base + 2 * p_number + 1)) \
	    --store "$store" --vm-list "$vms" --seed "$fleet_seed" $timing "$@"
	eval "e${p_number}_pid=$started"
	eval "e${p_number}=$p_listen"
	entries=$entries${entries:+,}$p_listen
}

# Starts store, VM list, workers and entries, and waits until calls work.
start_fleet()	# ENTRIES WORKERS PER_RACK ARG-OF-WORKSTAND...
{
	p_entries=$1
	shift
	start_store
	start_vmstand
	start_workers "$@"
	p_next=1
	while [ "$p_next" -le "$p_entries" ]; do
		start_entry "$p_next"
		p_next=$((p_next + 1))
	done
	p_next=1
	while [ "$p_next" -le "$p_entries" ]; do
		eval "p_address=\$e$p_next"
		wait_for "entry $p_next" answers "$p_address/metrics"
		p_next=$((p_next + 1))
	done
	make_service custodio
	make_team maule
	wait_for "an owner for every shard" all_owned "$e1"
	for p_address in $(echo "$entries" | tr , ' '); do
		wait_for "a call through $p_address" call_works "$p_address"
	done
}

# put ADDRESS KIND/NAME REVISION-SEEN RECORD : prints the HTTP status; the body
# is in the file $put_body.
put()
{
	put_body=$out/put.$1.$$
	get -X PUT -o "$put_body" -w '%{http_code}' -d \
	    "{\"revision\":$3,\"record\":$4}" "http://$1/v1/$2"
}

# in_force PATH FILTER VALUE : true if every entry has the value in force.
in_force()
{
	for p_address in $(echo "$entries" | tr , ' '); do
		[ "$(get "$p_address/v1/$1" | jq -r "$2")" = "$3" ] || return 1
	done
}

make_service()	# NAME
{
	expect "creating service $1" "$(put "$e1" "services/$1" 0 \
	    "{\"schema\":2,\"name\":\"$1\",\"deadline_ms\":2000,
	    \"class\":\"tail\",\"target_p99_ms\":50,
	    \"max_body_bytes\":65536,\"hedge\":{\"percent\":0}}")" 200
	wait_for "service $1 in force" in_force "services/$1" .record.name "$1"
}

make_team()	# NAME
{
	expect "creating team $1" "$(put "$e1" "teams/$1" 0 \
	    "{\"schema\":1,\"name\":\"$1\"}")" 200
	wait_for "team $1 in force" in_force "teams/$1" .record.name "$1"
}

call_works()
{
	get -o /dev/null -f -H 'lagoonpin-idempotent: yes' \
	    -H 'lagoonpin-deadline-ms: 2000' -d probe \
	    "http://$1/v1/call/custodio"
}

ctl()	# ADDRESS ARG...
{
	p_address=$1
	shift
	"$bin/lagoonpinctl" --entry "$p_address" "$@"
}

# owners ADDRESS : prints "SHARD OWNER EPOCH" lines, as that entry knows them.
owners()
{
	get "$1/v1/shards" | jq -r '.shards[] | "\(.shard) \(.owner) \(.epoch)"'
}

all_owned()
{
	p_shards=$(get "$vms/v1/vms" | jq -r '[.vms[] | select(.kind=="worker")
	    | .data_center + "." + .rack] | unique | .[]' | sort)
	p_owned=$(owners "$1" 2>/dev/null | awk '$2 != "" && $2 != "null" {
	    print $1 }' | sort)
	[ -n "$p_shards" ] && [ "$p_shards" = "$p_owned" ]
}

# True if, as entry $1 knows, all shards are owned, none of them by entry $2.
none_owned_by()
{
	all_owned "$1" && ! owners "$1" | awk '{ print $2 }' | grep -qx "$2"
}

# start_load LABEL ARG... : sets $load_pid; the report goes to LABEL.json.
start_load()
{
	load_label=$1
	shift
	"$bin/lagoonload" --entry "$entries" --audit "${audit:-$workers}" --json "$@" \
	    >"$out/$load_label.json" 2>"$out/$load_label.log" 9>&- &
	load_pid=$!
	pids="$pids $load_pid"
}

# Waits for the load tool and checks its status; its report is in $report.
end_load()
{
	report=$out/$load_label.json
	wait "$load_pid" || fail "load $load_label:" \
	    "$(grep event=fault "$out/$load_label.log" | head -5)" \
	    "$(jq -c .faults "$report")"
}

value()	# FILE JQ-FILTER
{
	jq -r "$2" "$1"
}

stats()	# JQ-FILTER, applied to /stats/all of the workers
{
	get "$workers/stats/all" | jq -r "$1"
}

# Checks the invariants under any fault: no worker over its capacity, no task
# in two places or done twice, no at-most-once request run twice.
check_workers()
{
	p_sum=$(stats '.violations | add')
	[ "$p_sum" = 0 ] || fail "workers: $(stats '.violations | tostring')"
}

# Checks that each task of the jobs completed exactly once.
check_tasks()	# EXPECTED-NUMBER-OF-TASKS
{
	get "$workers/stats/tasks" >"$out/tasks.json"
	p_done=$(value "$out/tasks.json" '[.tasks[] | select(.done == 1)] | length')
	[ "$p_done" = "$1" ] || fail "tasks done once: $p_done of $1"
}

expect()	# WHAT VALUE EXPECTED
{
	[ "$2" = "$3" ] || fail "$1: $2, expected $3"
}
