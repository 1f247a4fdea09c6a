#include <err.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "clock.h"
#include "counter.h"
#include "lagoonpind.h"
#include "log.h"
#include "platform.h"

/*
 * Bodies that exceed the limit of a record or a call by at most this much
 * are read and refused with a specific error; h2o refuses larger ones.
 */
#define HEAD_MAX_BYTES (64 << 10)
#define BODY_SLACK_BYTES (256 << 10)
/*
 * By default libcurl keeps four idle connections for each call in flight: an
 * entry with few calls would open a connection, which costs a round trip, for
 * nearly every call.
 */
#define ENDPOINT_IDLE_MAX 2048
#define STORE_URL_SIZE (SETTING_IP_SIZE + 24)

static void open_clients(struct entry *);
static void open_store(struct entry *);
static void open_modules(struct entry *);
static void open_server(struct entry *);
static void start_tick(struct entry *);
static void on_tick(uv_timer_t *);
static void on_signal(uv_signal_t *, int);
static void on_http(struct httpd_request *, void *);
static void check_drained(struct entry *, int64_t);
static void close_entry(struct entry *);
static void serve_metrics(struct httpd_request *);

int
main(int argc, char **argv)
{
	static struct entry entry;
	struct entry *e;

	if (platform_is_configured())
		return platform_run();
	e = &entry;
	options_parse(&e->opt, argc, argv);
	log_set_level((enum log_level)e->opt.log_level);
	log_set_identity("entry", e->opt.id);
	e->incarnation = (uint64_t)clock_wall_ms();
	if (e->opt.seed == 0)
		e->opt.seed = (int64_t)(XXH64(e->opt.id, strlen(e->opt.id),
					    e->incarnation) >>
		    1);
	if (uv_loop_init(&e->loop) != 0)
		errx(1, "can't initialize the event loop");
	open_clients(e);
	open_store(e);
	open_modules(e);
	open_server(e);
	start_tick(e);
	log_info("started", "listen=%s:%d incarnation=%llu", e->opt.listen.ip,
	    httpd_port(e->httpd), (unsigned long long)e->incarnation);
	uv_run(&e->loop, UV_RUN_DEFAULT);
	log_info(
	    "stopped", "incarnation=%llu", (unsigned long long)e->incarnation);
	return 0;
}

static void
open_clients(struct entry *e)
{
	struct httpc_options options = {
		.loop = &e->loop,
		.keepalive_s = e->opt.tcp_keepalive_s,
	};

	e->store_http = httpc_open(&options);
	e->worker_http = httpc_open(&options);
	options.max_idle_connections = ENDPOINT_IDLE_MAX;
	e->endpoint_http = httpc_open(&options);
	if (e->store_http == NULL || e->worker_http == NULL ||
	    e->endpoint_http == NULL)
		errx(1, "HTTP clients: out of memory");
}

static void
open_store(struct entry *e)
{
	char urls[SETTING_ADDRESSES_MAX][STORE_URL_SIZE];
	const char *endpoints[SETTING_ADDRESSES_MAX];
	char address[STORE_URL_SIZE];
	struct store_options options = {
		.loop = &e->loop,
		.httpc = e->store_http,
		.endpoints = endpoints,
		.nendpoints = e->opt.store.n,
		.calls_per_s = (double)e->opt.store_calls_per_s,
		.seed = (unsigned long)e->opt.seed,
	};
	size_t i;

	for (i = 0; i < e->opt.store.n; i++) {
		snprintf(urls[i], sizeof(urls[i]), "http://%s",
		    settings_address_text(
			&e->opt.store.at[i], address, sizeof(address)));
		endpoints[i] = urls[i];
	}
	if ((e->store = store_open(&options)) == NULL)
		errx(1, "store client: out of memory");
}

static void
open_modules(struct entry *e)
{
	size_t i;

	for (i = 0; i < nmodules; i++) {
		if (modules[i]->open != NULL && modules[i]->open(e) == -1)
			errx(1, "%s: can't open the module", modules[i]->name);
	}
}

static void
open_server(struct entry *e)
{
	struct httpd_options options = {
		.loop = &e->loop,
		.ip = e->opt.listen.ip,
		.port = e->opt.listen.port,
		.body_max = (size_t)e->opt.body_max_bytes + BODY_SLACK_BYTES,
		.head_max = HEAD_MAX_BYTES,
		.receive_max = (size_t)e->opt.receive_max_bytes,
		.connections_max = (size_t)e->opt.connections_max,
		.handler = on_http,
		.ctx = e,
	};
	enum httpd_error error;

	if ((e->httpd = httpd_open(&options, &error)) == NULL)
		errx(1, "%s:%d: %s", e->opt.listen.ip, e->opt.listen.port,
		    httpd_strerror(error));
}

static void
start_tick(struct entry *e)
{
	uv_timer_init(&e->loop, &e->tick);
	e->tick.data = e;
	uv_timer_start(&e->tick, on_tick, 0, (uint64_t)e->opt.tick_ms);
	uv_signal_init(&e->loop, &e->on_term);
	e->on_term.data = e;
	uv_signal_start(&e->on_term, on_signal, SIGTERM);
	uv_signal_init(&e->loop, &e->on_int);
	e->on_int.data = e;
	uv_signal_start(&e->on_int, on_signal, SIGINT);
}

static void
on_tick(uv_timer_t *timer)
{
	struct entry *e;
	int64_t now_ms;
	size_t i;

	e = timer->data;
	now_ms = clock_now_ms();
	for (i = 0; i < nmodules; i++) {
		if (modules[i]->tick != NULL)
			modules[i]->tick(e, now_ms);
	}
	if (e->phase == ENTRY_DRAINING)
		check_drained(e, now_ms);
}

/* The first signal starts a graceful shutdown, the second one cuts it short. */
static void
on_signal(uv_signal_t *handle, int signum)
{
	struct entry *e;

	e = handle->data;
	log_info("signal", "number=%d", signum);
	if (e->phase == ENTRY_RUNNING) {
		entry_drain(e);
		return;
	}
	if (e->phase == ENTRY_DRAINING) {
		log_warn("shutdown_cut_short", "number=%d", signum);
		close_entry(e);
	}
}

void
entry_drain(struct entry *e)
{
	int64_t now_ms;
	size_t i;

	if (e->phase != ENTRY_RUNNING)
		return;
	now_ms = clock_now_ms();
	e->phase = ENTRY_DRAINING;
	e->drain_since_ms = now_ms;
	log_info("draining", "drain_ms=%lld", (long long)e->opt.drain_ms);
	for (i = nmodules; i > 0; i--) {
		if (modules[i - 1]->drain != NULL)
			modules[i - 1]->drain(e, now_ms);
	}
}

static void
check_drained(struct entry *e, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < nmodules; i++) {
		if (modules[i]->drained == NULL || modules[i]->drained(e))
			continue;
		if (now_ms - e->drain_since_ms < e->opt.drain_ms)
			return;
		log_warn("drain_timeout", "part=%s", modules[i]->name);
		counter_inc_reason(
		    "lagoonpin_drain_timeouts", modules[i]->name);
	}
	log_info(
	    "drained", "took_ms=%lld", (long long)(now_ms - e->drain_since_ms));
	close_entry(e);
}

static void
close_entry(struct entry *e)
{
	size_t i;

	e->phase = ENTRY_CLOSING;
	uv_close((uv_handle_t *)&e->tick, NULL);
	uv_close((uv_handle_t *)&e->on_term, NULL);
	uv_close((uv_handle_t *)&e->on_int, NULL);
	httpd_close(e->httpd);
	for (i = nmodules; i > 0; i--) {
		if (modules[i - 1]->close != NULL)
			modules[i - 1]->close(e);
	}
	store_close(e->store);
	httpc_close(e->endpoint_http);
	httpc_close(e->worker_http);
	httpc_close(e->store_http);
}

static void
on_http(struct httpd_request *r, void *ctx)
{
	struct entry *e;
	size_t i;

	e = ctx;
	if (strcmp(httpd_path(r), "/metrics") == 0) {
		serve_metrics(r);
		return;
	}
	for (i = 0; i < nmodules; i++) {
		if (modules[i]->http != NULL && modules[i]->http(e, r))
			return;
	}
	counter_inc_reason("lagoonpin_http_refused", "unknown_path");
	reply_error(r, 404, "unknown_path", NULL, "no such path");
}

static void
serve_metrics(struct httpd_request *r)
{
	static const struct httpd_header header = { "content-type",
		"text/plain; version=0.0.4" };
	char *text;
	size_t len;

	if ((text = counter_text(&len)) == NULL) {
		reply_error(r, 500, "out_of_memory", NULL, "out of memory");
		return;
	}
	httpd_reply(r, 200, &header, 1, text, len);
	free(text);
}
