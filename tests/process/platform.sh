# Functions shared by tests on the platform's protocols: start the stand-ins
# and the entries with their settings files, and check the invariants.
#
# Sourced after lib.sh.  Shell variables starting with p_ are private.
# entry_limits and config_limits: further fields of "limits" in the settings
# files and in the configuration.

host=jobs.example
prefix=/q/

# The second address serves the same items; see reject_calls.
start_platform_store()	# ARG...
{
	store=127.0.0.1:$base
	second_store=127.0.0.1:$((base + 39))
	start store platstand store --listen "$store" --second-port \
	    "$((base + 39))" --seed "$fleet_seed" "$@"
	wait_for "the store" answers "$store/stats"
}

# start_platform_workers COUNT ARG... : ports start at base+40.
start_platform_workers()
{
	p_count=$1
	shift
	workers=127.0.0.1:$((base + 40))
	start workers platstand workers --store "$store" --count "$p_count" \
	    --port-base $((base + 40)) --zones sala-norte,sala-sur "$@"
	wait_for "$p_count workers in the store" entered "$p_count"
}

entered()
{
	[ "$(get "$store/kv-range?prefix=servers/" |
	    jq '.items | length')" = "$1" ]
}

# put_config VERSION TARGET-MS ROUTE... : writes it as an operator does, with a
# route of prefix /ROUTE/ for each further argument.  Fails unless the store
# acknowledged it.
put_config()
{
	p_version=$1
	p_target=$2
	shift 2
	p_routes=$(printf '{"name":"q","host":"%s","prefix":"%s",
	    "service":"custodio","max_attempts":4,"stretch":2,
	    "target_latency_ms":%s}' "$host" "$prefix" "$p_target")
	for p_route; do
		p_routes=$p_routes$(printf ',{"name":"%s","host":"%s",
		    "prefix":"/%s/","service":"custodio"}' \
		    "$p_route" "$host" "$p_route")
	done
	p_config=$(printf '{"version":%s,"routes":[%s],
	    "services":[{"name":"custodio"}]%s}' "$p_version" "$p_routes" \
	    "${config_limits:+,\"limits\":{$config_limits\}}" |
	    base64 -w0)
	get -f -o /dev/null -H 'X-Platform-Writer: 1' -d \
	    "{\"writes\":[{\"key\":\"op/config\",\"value\":\"$p_config\"}]}" \
	    "$store/kv-txn"
}

write_config()	# as put_config
{
	put_config "$@" || fail "the store refused the configuration"
}

queue_status()	# ENTRY ROUTE : of a request that counts its waiting jobs
{
	get -o /dev/null -w '%{http_code}' -H "Host: $host" \
	    "http://$(front_of "$1")/$2/"
}

has_status()	# ENTRY ROUTE STATUS
{
	[ "$(queue_status "$1" "$2")" = "$3" ]
}

# wait_everywhere ENTRIES ROUTE STATUS : all entries answer so for the route.
wait_everywhere()
{
	p_entry=1
	while [ "$p_entry" -le "$1" ]; do
		wait_for "$3 for route $2 at entry $p_entry" \
		    has_status "$p_entry" "$2" "$3"
		p_entry=$((p_entry + 1))
	done
}

set_store_fault()	# MODE [SHARE]
{
	get -f -o /dev/null -d "{\"mode\":\"$1\",\"share\":${2:-1.0}}" \
	    "$store/fault" || fail "the store refused the fault $1"
}

# reject_calls MODE : how calls to the second address of the store are rejected
# while the first one serves: busy, reset, silent, watches, or none.
reject_calls()
{
	get -f -o /dev/null -d "{\"mode\":\"$1\"}" "$second_store/reject" ||
	    fail "the store refused to reject calls: $1"
}

# cut_worker NUMBER MS : makes it unreachable for MS; its tasks continue.
cut_worker()
{
	get -f -o /dev/null -d "{\"cut_ms\":$2}" \
	    "http://127.0.0.1:$((base + 39 + $1))/fault" ||
	    fail "worker $1 refused the fault"
}

# crash_worker NUMBER DOWN-MS STORE-CUT-MS : restarts it after DOWN-MS; it
# reaches the store again after STORE-CUT-MS.
crash_worker()
{
	get -f -o /dev/null -d "{\"crash_ms\":$2,\"store_cut_ms\":$3}" \
	    "http://127.0.0.1:$((base + 39 + $1))/fault" ||
	    fail "worker $1 refused the crash"
}

set_room()	# WORKER CPU-MILLIS
{
	get -f -o /dev/null -d "{\"cpu_millis\":$2}" \
	    "http://127.0.0.1:$((base + 39 + $1))/fault" ||
	    fail "worker $1 refused its capacity"
}

# close_data_center ZONE BOUND-MS WORKER... : closes it to new work, as an
# operator does; starts on these workers count as wrong from BOUND-MS on.
close_data_center()
{
	p_zone=$1
	p_bound=$2
	shift 2
	write_operators "{\"writes\":[{\"key\":\"op/evacuate/$p_zone\",
	    \"value\":\"e30=\"}]}"
	for p_worker; do
		set_closed "$p_worker" "$p_bound"
	done
}

# open_data_center ZONE WORKER...
open_data_center()
{
	p_zone=$1
	shift
	for p_worker; do
		set_closed "$p_worker" -1
	done
	write_operators "{\"remove\":[\"op/evacuate/$p_zone\"]}"
}

set_closed()	# WORKER IN-MS
{
	get -f -o /dev/null -d "{\"closed_in_ms\":$2}" \
	    "http://127.0.0.1:$((base + 39 + $1))/fault" ||
	    fail "worker $1 refused to be closed"
}

# write_foreign KIND : an entry of another writer that names no worker to use.
# Not written while the store refuses it.
write_foreign()
{
	p_key=foreign
	p_value='{"service":"custodio","address":"127.0.0.1:1","zone":"z",
	    "version":"1","state":"ready","capacity":{"cpu":8,"mem_mb":64}}'
	case $1 in
	0) p_key='line\nend' ;;
	1) p_key='control\u0001' ;;
	2) p_key='quote\"' ;;
	3) p_key='high\u00ff' ;;
	4) p_value='no JSON' ;;
	5) p_value='{"service":"custodio","address":"127.0.0.1 :1\n",
	    "zone":"z","version":"1","state":"ready"}' ;;
	6) p_value='{"service":7,"address":[],"state":null}' ;;
	esac
	get -f -o /dev/null -H 'X-Platform-Writer: 1' -d \
	    "{\"writes\":[{\"key\":\"servers/$p_key\",\"value\":\"$(
		printf '%s' "$p_value" | base64 -w0)\"}]}" "$store/kv-txn" ||
	    say "the entry of another writer ($1) wasn't written"
}

write_operators()	# TRANSACTION
{
	get -f -o /dev/null -H 'X-Platform-Writer: 1' -d "$1" \
	    "$store/kv-txn" || fail "the store refused $1"
}

settings_of()	# NUMBER : prints the settings file of an entry
{
	p_port=$((base + 3 * $1))
	p_zone=sala-norte
	[ $(($1 % 2)) -eq 1 ] || p_zone=sala-sur
	cat <<-EOF
	{"node_name":"entry-$1","ip":"127.0.0.1","zone":"$p_zone",
	 "listen":{"front":"127.0.0.1:$p_port",
	  "ready_addr":"127.0.0.1:$((p_port + 1))"},
	 "internal_ports":[$((p_port + 2)),$((p_port + 2))],
	 "limits":{"cpu_share":0.5,"link_mbps":200${entry_limits:+,$entry_limits}},
	 "bounds":{"max_hold_ms":6000,"grace_s":${grace_s:-6},"status_s":120,
	  "evacuate_ms":${closure_ms:-0},"max_stretch_ms":${stretch_ms:-0}},
	 "platform":{"address":"$(eval "echo \${entry_$1_store:-$store}")"}}
	EOF
}

# start_platform_entry NUMBER : starts or restarts it with the same name and
# address.
start_platform_entry()
{
	settings_of "$1" >"$out/entry-$1.json"
	p_starts=$(($(eval "echo \${entry_$1_starts:-0}") + 1))
	eval "entry_$1_starts=$p_starts"
	LAGOONPIN_CONFIG=$out/entry-$1.json
	export LAGOONPIN_CONFIG
	start "entry-$1.$p_starts" lagoonpind
	eval "entry_$1_pid=$started"
}

front_of()	# NUMBER
{
	echo "127.0.0.1:$((base + 3 * $1))"
}

is_ready()	# NUMBER
{
	get -f -o /dev/null "http://127.0.0.1:$((base + 3 * $1 + 1))/ready"
}

# start_platform_entries COUNT : sets $fronts to their addresses for callers.
start_platform_entries()
{
	fronts=
	p_entry=1
	while [ "$p_entry" -le "$1" ]; do
		start_platform_entry "$p_entry"
		fronts=$fronts${fronts:+,}$(front_of "$p_entry")
		p_entry=$((p_entry + 1))
	done
	p_entry=1
	while [ "$p_entry" -le "$1" ]; do
		wait_for "entry $p_entry to be ready" is_ready "$p_entry"
		p_entry=$((p_entry + 1))
	done
}

# start_callers ARG... : their report is written to callers.out at the end.
start_callers()
{
	start callers platstand callers --entries "$fronts" --host "$host" \
	    --prefix "$prefix" --seed "$fleet_seed" "$@"
	callers_pid=$started
}

# Checks the reports of callers and workers: each job ended as expected, no
# task ran in two places or was done twice, and each task of a completed job
# was done.
check_platform()
{
	wait "$callers_pid" ||
	    fail "jobs didn't end as expected: $(cat "$out/callers.out")"
	p_stats=$(get "$workers/stats")
	say "callers: $(cat "$out/callers.out")"
	say "workers: $p_stats"
	for p_field in two_places done_again bad no_room_late over_room_late \
	    closed_starts; do
		[ "$(echo "$p_stats" | jq ".$p_field")" = 0 ] ||
		    fail "$p_field: $p_stats"
	done
	[ "$(echo "$p_stats" | jq .done)" = \
	    "$(jq .tasks "$out/callers.out")" ] ||
	    fail "number of tasks done by the workers differs from that of the jobs"
}
