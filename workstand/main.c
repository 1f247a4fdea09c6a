#include <err.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "enroll.h"
#include "log.h"
#include "node.h"
#include "settings.h"

#define TICK_MS 5
#define TASKS_KEPT 200000
#define REQUESTS_KEPT 500000
#define DATA_CENTERS_MAX 16

struct settings_values {
	const char *ip;
	int64_t port_base;
	int64_t count;
	int64_t first;
	int64_t per_rack;
	const char *data_centers;
	const char *prefix;
	const char *services;
	struct worker_room room;
	int64_t call_us;
	int64_t call_sigma_percent;
	int64_t watch_interval_ms;
	int64_t lag_ms;
	int64_t body_max;
	int64_t seed;
	bool accept_over;
	struct setting_addresses vmstand;
};

struct program {
	struct settings_values values;
	struct stand stand;
	struct httpc *httpc;
	struct enroll *enroll;
	uv_timer_t tick;
	uv_signal_t sigterm;
	uv_signal_t sigint;
};

static void parse(struct settings_values *, int, char **);
static void place(
    const struct settings_values *, size_t index, struct node_options *);
static void open_stand(struct program *);
static void open_nodes(struct program *);
static void ticked(uv_timer_t *);
static void stopped(uv_signal_t *, int);
static void close_all(struct program *);

static char data_center_names[DATA_CENTERS_MAX][NODE_NAME_SIZE];
static size_t ndata_centers;

static void
parse(struct settings_values *v, int argc, char **argv)
{
	struct setting table[] = {
		{ "ip", "WORKSTAND_IP", "address to listen on", NULL,
		    SETTING_IP, &v->ip, 0, 0, "127.0.0.1", NULL, NULL },
		{ "port-base", "WORKSTAND_PORT_BASE",
		    "control port of the first worker, its endpoint is the "
		    "next one; 0 is any",
		    NULL, SETTING_INTEGER, &v->port_base, 0, 65000, "0", NULL,
		    NULL },
		{ "count", "WORKSTAND_COUNT", "workers to play", NULL,
		    SETTING_INTEGER, &v->count, 1, 2000, "1", NULL, NULL },
		{ "first", "WORKSTAND_FIRST", "number of the first worker",
		    NULL, SETTING_INTEGER, &v->first, 0, 100000, "1", NULL,
		    NULL },
		{ "per-rack", "WORKSTAND_PER_RACK", "workers in a rack", NULL,
		    SETTING_INTEGER, &v->per_rack, 1, 2000, "11", NULL, NULL },
		{ "data-centers", "WORKSTAND_DATA_CENTERS",
		    "names, filled in turn rack by rack", NULL, SETTING_STRING,
		    &v->data_centers, 1, 256, "dc1", NULL, NULL },
		{ "prefix", "WORKSTAND_PREFIX", "start of the workers' ids",
		    NULL, SETTING_STRING, &v->prefix, 1, 32, "w", NULL, NULL },
		{ "services", "WORKSTAND_SERVICES",
		    "services of the endpoints, comma separated", NULL,
		    SETTING_STRING, &v->services, 1, 256, "custodio", NULL,
		    NULL },
		{ "cpu-millis", NULL, "processors of a worker", "1/1000 core",
		    SETTING_INTEGER, &v->room.cpu_millis, 0, 10000000, "32000",
		    NULL, NULL },
		{ "memory-mib", NULL, "memory of a worker", "MiB",
		    SETTING_INTEGER, &v->room.memory_mib, 0, 100000000,
		    "125000", NULL, NULL },
		{ "accelerators", NULL, "accelerators of a worker", NULL,
		    SETTING_INTEGER, &v->room.accelerators, 0, 1024, "0", NULL,
		    NULL },
		{ "slots", NULL, "calls at a time of an endpoint", NULL,
		    SETTING_INTEGER, &v->room.slots, 0, 10000, "8", NULL,
		    NULL },
		{ "connections", NULL, "calls and watches of an endpoint", NULL,
		    SETTING_INTEGER, &v->room.connections, 0, 10000, "64", NULL,
		    NULL },
		{ "call-us", "WORKSTAND_CALL_US", "work of a call", "us",
		    SETTING_INTEGER, &v->call_us, 0, 60000000, "2000", NULL,
		    NULL },
		{ "call-sigma", NULL, "spread of a call's work", "percent",
		    SETTING_INTEGER, &v->call_sigma_percent, 0, 300, "0", NULL,
		    NULL },
		{ "watch-interval-ms", NULL, "between lines of a watch", "ms",
		    SETTING_INTEGER, &v->watch_interval_ms, 1, 60000, "200",
		    NULL, NULL },
		{ "lag-ms", "WORKSTAND_LAG_MS", "age of reported usage", "ms",
		    SETTING_INTEGER, &v->lag_ms, 0, 600000, "2000", NULL,
		    NULL },
		{ "body-max", NULL, "longest request", "bytes", SETTING_INTEGER,
		    &v->body_max, 1, 1LL << 30, "16777216", NULL, NULL },
		{ "seed", "WORKSTAND_SEED", "of the random numbers", NULL,
		    SETTING_INTEGER, &v->seed, 0, INT32_MAX, "1", NULL, NULL },
		{ "accept-over", NULL,
		    "take and record work beyond the capacity", NULL,
		    SETTING_BOOL, &v->accept_over, 0, 0, "no", NULL, NULL },
		{ "vmstand", "WORKSTAND_VMSTAND", "list of VMs to enroll at",
		    NULL, SETTING_IP_PORTS, &v->vmstand, 1, 0, "", NULL, NULL },
	};
	struct settings_options so;
	struct settings_args args;

	memset(&so, 0, sizeof(so));
	so.program = "workstand";
	so.doc = "Play workers of the platform and their endpoints.";
	so.table = table;
	so.n = sizeof(table) / sizeof(table[0]);
	settings_parse(&so, argc, argv, &args);
}

/* Racks are dealt to the data centres in turn. */
static void
place(const struct settings_values *v, size_t index, struct node_options *no)
{
	static char id[NODE_NAME_SIZE], rack[NODE_NAME_SIZE];
	size_t number, rack_number;

	number = (size_t)v->first + index;
	rack_number = (number - (number > 0)) / (size_t)v->per_rack;
	snprintf(id, sizeof(id), "%s%zu", v->prefix, number);
	snprintf(rack, sizeof(rack), "r%zu", rack_number / ndata_centers + 1);
	no->index = number;
	no->id = id;
	no->data_center = data_center_names[rack_number % ndata_centers];
	no->rack = rack;
	no->control_port =
	    v->port_base == 0 ? 0 : (int)(v->port_base + 2 * (int64_t)index);
	no->endpoint_port = no->control_port == 0 ? 0 : no->control_port + 1;
}

static void
open_stand(struct program *p)
{
	struct witness_options wo = { TASKS_KEPT, REQUESTS_KEPT };
	const char *at, *end;

	at = p->values.data_centers;
	for (; *at != '\0' && ndata_centers < DATA_CENTERS_MAX;
	     at = *end == ',' ? end + 1 : end) {
		end = at + strcspn(at, ",");
		snprintf(data_center_names[ndata_centers++], NODE_NAME_SIZE,
		    "%.*s", (int)(end - at), at);
	}
	p->stand.loop = uv_default_loop();
	p->stand.ip = p->values.ip;
	TAILQ_INIT(&p->stand.nodes);
	p->stand.services = p->values.services;
	p->stand.call_us = p->values.call_us;
	p->stand.call_sigma_percent = p->values.call_sigma_percent;
	p->stand.watch_interval_ms = p->values.watch_interval_ms;
	p->stand.lag_ms = p->values.lag_ms;
	p->stand.body_max = p->values.body_max;
	p->stand.witness = witness_open(&wo);
	p->stand.rng = gsl_rng_alloc(gsl_rng_taus);
	if (p->stand.witness == NULL || p->stand.rng == NULL)
		err(1, "witness");
	gsl_rng_set(p->stand.rng, (unsigned long)p->values.seed);
}

static void
open_nodes(struct program *p)
{
	struct node_options no;
	struct node *n;
	int64_t i;

	for (i = 0; i < p->values.count; i++) {
		memset(&no, 0, sizeof(no));
		no.stand = &p->stand;
		no.capacity = p->values.room;
		no.accept_over = p->values.accept_over;
		place(&p->values, (size_t)i, &no);
		if ((n = node_open(&no)) == NULL)
			errx(1, "worker %s: not started", no.id);
		TAILQ_INSERT_TAIL(&p->stand.nodes, n, link);
		p->stand.nnodes++;
		log_info("worker_started",
		    "worker=%s data_center=%s rack=%s control=%d endpoint=%d",
		    n->id, n->data_center, n->rack, control_port(n->control),
		    endpoint_port(n->endpoint));
	}
}

static void
ticked(uv_timer_t *timer)
{
	struct program *p;
	struct node *n;
	int64_t now_ms;

	p = timer->data;
	now_ms = clock_now_ms();
	TAILQ_FOREACH (n, &p->stand.nodes, link)
		node_tick(n, now_ms);
}

static void
stopped(uv_signal_t *handle, int signum)
{
	struct program *p;

	(void)signum;
	p = handle->data;
	uv_stop(p->stand.loop);
}

static void
close_all(struct program *p)
{
	struct node *n;

	enroll_close(p->enroll);
	if (p->httpc != NULL)
		httpc_close(p->httpc);
	uv_close((uv_handle_t *)&p->tick, NULL);
	uv_close((uv_handle_t *)&p->sigterm, NULL);
	uv_close((uv_handle_t *)&p->sigint, NULL);
	while ((n = TAILQ_FIRST(&p->stand.nodes)) != NULL) {
		TAILQ_REMOVE(&p->stand.nodes, n, link);
		node_close(n);
	}
	uv_run(p->stand.loop, UV_RUN_NOWAIT);
	uv_run(p->stand.loop, UV_RUN_NOWAIT);
	witness_close(p->stand.witness);
	gsl_rng_free(p->stand.rng);
}

int
main(int argc, char **argv)
{
	static struct program p;
	struct enroll_options eo;
	struct httpc_options co;

	signal(SIGPIPE, SIG_IGN);
	parse(&p.values, argc, argv);
	open_stand(&p);
	open_nodes(&p);
	if (p.values.vmstand.n > 0) {
		memset(&co, 0, sizeof(co));
		co.loop = p.stand.loop;
		if ((p.httpc = httpc_open(&co)) == NULL)
			errx(1, "HTTP client: no memory");
		memset(&eo, 0, sizeof(eo));
		eo.stand = &p.stand;
		eo.httpc = p.httpc;
		eo.ip = p.values.vmstand.at[0].ip;
		eo.port = p.values.vmstand.at[0].port;
		if ((p.enroll = enroll_open(&eo)) == NULL)
			errx(1, "enroll: no memory");
	}
	uv_timer_init(p.stand.loop, &p.tick);
	p.tick.data = &p;
	uv_timer_start(&p.tick, ticked, TICK_MS, TICK_MS);
	uv_signal_init(p.stand.loop, &p.sigterm);
	uv_signal_init(p.stand.loop, &p.sigint);
	p.sigterm.data = p.sigint.data = &p;
	uv_signal_start(&p.sigterm, stopped, SIGTERM);
	uv_signal_start(&p.sigint, stopped, SIGINT);
	uv_run(p.stand.loop, UV_RUN_DEFAULT);
	close_all(&p);
	return 0;
}
