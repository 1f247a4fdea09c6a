#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "fault.h"
#include "gateway.h"
#include "reply.h"
#include "rpc.h"
#include "stream.h"
#include "watch.h"

#define PROGRESS_MS 10000
/* A value of a megabyte in base64, and several to a transaction. */
#define BODY_MAX (8UL * 1024 * 1024)
#define WHY_MAX 128

/* A call that a fault keeps waiting. */
struct held {
	TAILQ_ENTRY(held) link;
	struct gateway *gateway;
	struct httpd_request *request; /* NULL: the caller is gone */
	enum rpc_call call;
	int64_t due_ms; /* INT64_MAX: until it thaws */
	char *body;
	size_t len;
};

TAILQ_HEAD(held_list, held);

struct gateway {
	uv_loop_t *loop;
	struct httpd *httpd;
	struct rpc rpc;
	struct watches *watches;
	struct fault fault;
	uv_timer_t wake;
	int64_t progress_ms;
	int64_t progress_due_ms;
	struct held_list held;
	struct stream_list streams;
	uint64_t calls[RPC_CALLS];
	uint64_t faults;
};

static void on_request(struct httpd_request *, void *);
static void on_held_gone(struct httpd_request *, void *);
static void on_wake(uv_timer_t *);
static void on_wake_closed(uv_handle_t *);
static bool lease_is_alive(int64_t, void *);
static void on_committed(int64_t, void *);
static void on_lease_over(int64_t, void *);
static enum fault_scope scope_of(enum rpc_call);
static void run_with_fault(
    struct gateway *, struct httpd_request *, enum rpc_call, int64_t);
static void run(struct gateway *, struct httpd_request *, enum rpc_call,
    const char *, size_t, bool);
static void hold(struct gateway *, struct httpd_request *, enum rpc_call,
    const char *, size_t, int64_t);
static void release_due(struct gateway *, int64_t);
static void answer_fault(struct gateway *, struct httpd_request *);
static void answer_stats(struct gateway *, struct httpd_request *);
static void apply_fault_to_watches(struct gateway *, int64_t);
static void arm(struct gateway *, int64_t);
static enum gateway_error error_of(enum httpd_error);
static void free_gateway(struct gateway *);

struct gateway *
gateway_open(const struct gateway_options *o, enum gateway_error *error)
{
	struct httpd_options http;
	enum httpd_error http_error;
	struct kvs_options kvs;
	struct gateway *g;

	*error = GATEWAY_ERR_MEMORY;
	if ((g = calloc(1, sizeof(*g))) == NULL)
		return NULL;
	TAILQ_INIT(&g->held);
	LIST_INIT(&g->streams);
	g->loop = o->loop;
	g->progress_ms = o->progress_ms > 0 ? o->progress_ms : PROGRESS_MS;
	g->progress_due_ms = clock_now_ms() + g->progress_ms;
	memset(&kvs, 0, sizeof(kvs));
	kvs.history_max = o->history_max;
	kvs.lease_lives = lease_is_alive;
	kvs.committed = on_committed;
	kvs.ctx = g;
	g->rpc.kvs = kvs_open(&kvs);
	g->rpc.leases = leases_open(on_lease_over, g);
	if (g->rpc.kvs == NULL || g->rpc.leases == NULL ||
	    (g->watches = watches_open(g->rpc.kvs)) == NULL ||
	    fault_open(&g->fault, o->seed) == -1)
		goto fail;
	memset(&http, 0, sizeof(http));
	http.loop = o->loop;
	http.ip = o->ip;
	http.port = o->port;
	http.body_max = BODY_MAX;
	http.handler = on_request;
	http.ctx = g;
	if ((g->httpd = httpd_open(&http, &http_error)) == NULL) {
		*error = error_of(http_error);
		goto fail;
	}
	*error = GATEWAY_OK;
	uv_timer_init(g->loop, &g->wake);
	g->wake.data = g;
	arm(g, clock_now_ms());
	return g;

fail:
	free_gateway(g);
	return NULL;
}

static enum gateway_error
error_of(enum httpd_error error)
{
	switch (error) {
	case HTTPD_OK:
		return GATEWAY_OK;
	case HTTPD_ERR_ADDRESS:
		return GATEWAY_ERR_ADDRESS;
	case HTTPD_ERR_LISTEN:
		return GATEWAY_ERR_LISTEN;
	case HTTPD_ERR_MEMORY:
		break;
	}
	return GATEWAY_ERR_MEMORY;
}

const char *
gateway_strerror(enum gateway_error error)
{
	switch (error) {
	case GATEWAY_OK:
		return "no error";
	case GATEWAY_ERR_MEMORY:
		return "out of memory";
	case GATEWAY_ERR_ADDRESS:
		return "not an IP number and port";
	case GATEWAY_ERR_LISTEN:
		return "can't listen on the address";
	}
	return "unknown error";
}

static void
free_gateway(struct gateway *g)
{
	fault_close(&g->fault);
	watches_close(g->watches);
	leases_close(g->rpc.leases);
	kvs_close(g->rpc.kvs);
	free(g);
}

int
gateway_port(const struct gateway *g)
{
	return httpd_port(g->httpd);
}

void
gateway_close(struct gateway *g)
{
	struct held *h, *next;

	for (h = TAILQ_FIRST(&g->held); h != NULL; h = next) {
		next = TAILQ_NEXT(h, link);
		if (h->request != NULL)
			gateway_lose(h->request);
		free(h->body);
		free(h);
	}
	TAILQ_INIT(&g->held);
	stream_break_all(&g->streams);
	httpd_close(g->httpd);
	uv_timer_stop(&g->wake);
	uv_close((uv_handle_t *)&g->wake, on_wake_closed);
}

static void
on_wake_closed(uv_handle_t *handle)
{
	free_gateway(handle->data);
}

static bool
lease_is_alive(int64_t lease, void *ctx)
{
	struct gateway *g;

	g = ctx;
	return lease_lives(g->rpc.leases, lease);
}

static void
on_committed(int64_t revision, void *ctx)
{
	struct gateway *g;

	(void)revision;
	g = ctx;
	watches_flush(g->watches);
}

static void
on_lease_over(int64_t id, void *ctx)
{
	struct gateway *g;

	g = ctx;
	kvs_drop_lease(g->rpc.kvs, id);
}

static void
on_wake(uv_timer_t *timer)
{
	gateway_tick(timer->data, clock_now_ms());
}

void
gateway_tick(struct gateway *g, int64_t now_ms)
{
	apply_fault_to_watches(g, now_ms);
	lease_expire(g->rpc.leases, now_ms);
	release_due(g, now_ms);
	if (g->progress_due_ms <= now_ms) {
		g->progress_due_ms = now_ms + g->progress_ms;
		watches_progress(g->watches);
	}
	arm(g, now_ms);
}

static void
arm(struct gateway *g, int64_t now_ms)
{
	const struct held *h;
	int64_t due_ms;

	due_ms = lease_due_ms(g->rpc.leases);
	if (g->progress_due_ms < due_ms)
		due_ms = g->progress_due_ms;
	if (g->fault.mode != FAULT_NONE && g->fault.until_ms > now_ms &&
	    g->fault.until_ms < due_ms)
		due_ms = g->fault.until_ms;
	TAILQ_FOREACH (h, &g->held, link) {
		if (h->due_ms < due_ms)
			due_ms = h->due_ms;
	}
	/* Never 0: libuv would run it again within the same turn. */
	uv_timer_start(&g->wake, on_wake,
	    due_ms > now_ms ? (uint64_t)(due_ms - now_ms) : 1, 0);
}

static enum fault_scope
scope_of(enum rpc_call call)
{
	switch (call) {
	case RPC_WATCH:
		return FAULT_WATCH;
	case RPC_LEASE_GRANT:
	case RPC_LEASE_KEEPALIVE:
	case RPC_LEASE_REVOKE:
		return FAULT_LEASE;
	default:
		return FAULT_KV;
	}
}

static void
on_request(struct httpd_request *r, void *ctx)
{
	enum rpc_call call;
	struct gateway *g;
	int64_t now_ms;

	g = ctx;
	now_ms = clock_now_ms();
	if (strcmp(httpd_path(r), "/fault") == 0) {
		answer_fault(g, r);
		return;
	}
	if (strcmp(httpd_path(r), "/stats") == 0) {
		answer_stats(g, r);
		return;
	}
	if ((call = rpc_find(httpd_path(r))) == RPC_CALLS) {
		gateway_reply(r, 404, rpc_error(RPC_CODE_INVALID, "no path"));
		return;
	}
	g->calls[call]++;
	/* Nobody sees a key whose lease has lapsed while the loop slept. */
	lease_expire(g->rpc.leases, now_ms);
	run_with_fault(g, r, call, now_ms);
	arm(g, now_ms);
}

static void
run_with_fault(struct gateway *g, struct httpd_request *r, enum rpc_call call,
    int64_t now_ms)
{
	enum fault_mode mode;
	const char *body;
	size_t len;

	body = httpd_body(r, &len);
	mode = fault_draw(&g->fault, scope_of(call), now_ms);
	if (mode == FAULT_REFUSE_WRITES && !rpc_is_write(call, body, len))
		mode = FAULT_NONE;
	if (mode != FAULT_NONE)
		g->faults++;
	switch (mode) {
	case FAULT_NONE:
	case FAULT_LOSE_ANSWERS:
		run(g, r, call, body, len, mode == FAULT_LOSE_ANSWERS);
		break;
	case FAULT_DOWN:
		if (fault_coin(&g->fault)) {
			gateway_lose(r);
			break;
		}
		/* FALLTHROUGH */
	case FAULT_REFUSE_WRITES:
		gateway_reply(
		    r, 503, rpc_error(RPC_CODE_UNAVAILABLE, "no leader"));
		break;
	case FAULT_SLOW:
		hold(g, r, call, body, len, now_ms + g->fault.delay_ms);
		break;
	case FAULT_FREEZE:
		hold(g, r, call, body, len, INT64_MAX);
		break;
	}
}

/* The request may be gone; what it asked for happens all the same. */
static void
run(struct gateway *g, struct httpd_request *r, enum rpc_call call,
    const char *body, size_t len, bool lose_answer)
{
	struct rpc_answer answer;

	if (call == RPC_WATCH) {
		if (r != NULL && lose_answer)
			gateway_lose(r);
		else if (r != NULL)
			stream_start(&g->streams, g->watches, r, body, len);
		return;
	}
	rpc_run(&g->rpc, call, body, len, clock_now_ms(), &answer);
	if (r == NULL)
		free(answer.body);
	else if (lose_answer) {
		free(answer.body);
		gateway_lose(r);
	} else
		gateway_reply(r, answer.status, answer.body);
}

static void
hold(struct gateway *g, struct httpd_request *r, enum rpc_call call,
    const char *body, size_t len, int64_t due_ms)
{
	struct held *h;

	h = calloc(1, sizeof(*h));
	if (h == NULL || (h->body = malloc(len + 1)) == NULL) {
		free(h);
		gateway_lose(r);
		return;
	}
	memcpy(h->body, body, len);
	h->len = len;
	h->gateway = g;
	h->request = r;
	h->call = call;
	h->due_ms = due_ms;
	TAILQ_INSERT_TAIL(&g->held, h, link);
	httpd_on_disconnect(r, on_held_gone, h);
}

static void
on_held_gone(struct httpd_request *r, void *ctx)
{
	struct held *h;

	(void)r;
	h = ctx;
	h->request = NULL;
}

static void
release_due(struct gateway *g, int64_t now_ms)
{
	struct held *h, *next;
	bool due;

	for (h = TAILQ_FIRST(&g->held); h != NULL; h = next) {
		next = TAILQ_NEXT(h, link);
		if (h->due_ms == INT64_MAX)
			due = !fault_in_force(
			    &g->fault, FAULT_FREEZE, scope_of(h->call), now_ms);
		else
			due = h->due_ms <= now_ms;
		if (!due)
			continue;
		TAILQ_REMOVE(&g->held, h, link);
		if (h->request != NULL)
			httpd_on_disconnect(h->request, NULL, NULL);
		run(g, h->request, h->call, h->body, h->len, false);
		free(h->body);
		free(h);
	}
}

static void
apply_fault_to_watches(struct gateway *g, int64_t now_ms)
{
	if (fault_in_force(&g->fault, FAULT_DOWN, FAULT_WATCH, now_ms))
		stream_break_all(&g->streams);
	watches_hold(g->watches,
	    fault_in_force(&g->fault, FAULT_FREEZE, FAULT_WATCH, now_ms));
}

static void
answer_fault(struct gateway *g, struct httpd_request *r)
{
	const char *body;
	char why[WHY_MAX];
	int64_t now_ms;
	size_t len;
	json_t *o;

	now_ms = clock_now_ms();
	body = httpd_body(r, &len);
	strlcpy(why, "not a JSON object", sizeof(why));
	o = json_loadb(body, len, 0, NULL);
	if (!json_is_object(o) ||
	    fault_set(&g->fault, o, now_ms, why, sizeof(why)) == -1)
		gateway_reply(r, 400, rpc_error(RPC_CODE_INVALID, why));
	else
		gateway_reply(r, 200, strdup("{}"));
	json_decref(o);
	gateway_tick(g, now_ms);
}

static void
answer_stats(struct gateway *g, struct httpd_request *r)
{
	json_t *calls, *o;
	uint64_t total;
	int i;

	calls = json_object();
	total = 0;
	for (i = 0; i < RPC_CALLS; i++) {
		total += g->calls[i];
		json_object_set_new(calls, rpc_name((enum rpc_call)i),
		    json_integer((json_int_t)g->calls[i]));
	}
	o = json_pack("{s:o,s:I,s:I,s:I,s:I}", "calls", calls, "total",
	    (json_int_t)total, "faults", (json_int_t)g->faults, "watches",
	    (json_int_t)watches_count(g->watches), "revision",
	    (json_int_t)kvs_revision(g->rpc.kvs));
	gateway_reply(r, 200, json_dumps(o, JSON_COMPACT));
	json_decref(o);
}
