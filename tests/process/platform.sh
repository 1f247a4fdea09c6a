# Functions shared by tests on the platform's protocols: start the stand-ins
# and the entries with their settings files, and check the invariants.
#
# Sourced after lib.sh.  Shell variables starting with p_ are private.

host=jobs.example
prefix=/q/

start_platform_store()	# ARG...
{
	store=127.0.0.1:$base
	start store platstand store --listen "$store" --seed "$fleet_seed" "$@"
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

write_config()	# VERSION TARGET-MS : writes it as an operator does
{
	p_config=$(printf '{"version":%s,"routes":[{"name":"q","host":"%s",
	    "prefix":"%s","service":"custodio","max_attempts":4,"stretch":2,
	    "target_latency_ms":%s}],"services":[{"name":"custodio"}]}' \
	    "$1" "$host" "$prefix" "$2" | base64 -w0)
	get -f -o /dev/null -H 'X-Platform-Writer: 1' -d \
	    "{\"writes\":[{\"key\":\"op/config\",\"value\":\"$p_config\"}]}" \
	    "$store/kv-txn" || fail "the store refused the configuration"
}

set_store_fault()	# MODE [SHARE]
{
	get -f -o /dev/null -d "{\"mode\":\"$1\",\"share\":${2:-1.0}}" \
	    "$store/fault" || fail "the store refused the fault $1"
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
	 "limits":{"cpu_share":0.5,"link_mbps":200},
	 "bounds":{"max_hold_ms":6000,"grace_s":${grace_s:-6},"status_s":120},
	 "platform":{"address":"$store"}}
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
	for p_field in two_places done_again bad no_room_late; do
		[ "$(echo "$p_stats" | jq ".$p_field")" = 0 ] ||
		    fail "$p_field: $p_stats"
	done
	[ "$(echo "$p_stats" | jq .done)" = \
	    "$(jq .tasks "$out/callers.out")" ] ||
	    fail "number of tasks done by the workers differs from that of the jobs"
}
