#include <err.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_randist.h>
#include <jansson.h>
#include <xxhash.h>

#include "clock.h"
#include "node.h"

#define CALL_PREFIX "/call/"
#define ID_SIZE 128
#define LINE_SIZE 512
#define US_PER_MS 1000.0

/* A call or standing watch in flight. */
struct call {
	LIST_ENTRY(call) link;
	struct endpoint *endpoint;
	struct exchange *exchange; /* NULL once the caller is gone */
	uv_timer_t timer;
	bool watch;
	char id[ID_SIZE];
	char attempt[32];
	char service[NODE_NAME_SIZE];
	char shard[ID_SIZE];
	int64_t epoch;
	size_t size; /* of the request's body */
	unsigned long long hash; /* of the request's body */
	int64_t started_ms;
	int64_t deadline_ms; /* absolute; 0: none */
	double run_ms;
	int64_t answer_bytes; /* pad the answer to this size */
	int64_t lines; /* sent so far */
	int64_t lines_max; /* 0: until the deadline */
};

LIST_HEAD(call_list, call);

struct endpoint {
	struct node *node;
	struct httpd *httpd;
	struct call_list calls;
};

static void arrived(struct httpd_request *, void *);
static void handle(struct exchange *, void *);
static void refuse(struct exchange *, enum worker_error);
static const char *header_or(struct exchange *, const char *, const char *);
static int64_t header_number(struct exchange *, const char *);
static struct call *call_new(struct endpoint *, struct exchange *, bool watch);
static int64_t directive(const char *body, const char *key);
static void plan_call(struct call *, const char *body, size_t len);
static void run_call(struct call *);
static void start_watch(struct call *);
static void caller_gone(struct exchange *, void *);
static void call_over(uv_timer_t *);
static void watch_line(uv_timer_t *);
static void finish(struct call *);
static void timer_closed(uv_handle_t *);
static void answer(struct call *, int status);

struct endpoint *
endpoint_open(struct node *node, int port)
{
	struct endpoint *e;

	if ((e = calloc(1, sizeof(*e))) == NULL)
		return NULL;
	e->node = node;
	LIST_INIT(&e->calls);
	e->httpd = node_listen(node, "endpoint", port, arrived, e);
	if (e->httpd == NULL) {
		free(e);
		return NULL;
	}
	return e;
}

void
endpoint_close(struct endpoint *e)
{
	struct call *c;

	if (e == NULL)
		return;
	httpd_close(e->httpd);
	while ((c = LIST_FIRST(&e->calls)) != NULL) {
		if (c->exchange != NULL)
			exchange_on_gone(c->exchange, NULL, NULL);
		c->exchange = NULL;
		finish(c);
	}
	free(e);
}

int
endpoint_port(const struct endpoint *e)
{
	return httpd_port(e->httpd);
}

static void
arrived(struct httpd_request *request, void *ctx)
{
	struct endpoint *e;

	e = ctx;
	gate_enter(e->node->gate, request, handle, e, clock_now_ms());
}

static const char *
header_or(struct exchange *x, const char *name, const char *otherwise)
{
	const char *value;

	value = httpd_request_header(exchange_request(x), name);
	return value == NULL ? otherwise : value;
}

static int64_t
header_number(struct exchange *x, const char *name)
{
	const char *problem;
	long long value;

	value = strtonum(header_or(x, name, "0"), 0, INT64_MAX, &problem);
	return problem != NULL ? 0 : value;
}

/* Refused before it ran, in a way that says so. */
static void
refuse(struct exchange *x, enum worker_error error)
{
	struct httpd_header headers[] = { { "lagoonpin-not-run",
	    worker_strerror(error) } };

	exchange_reply(x, 409, headers, 1, "", 0);
}

static void
handle(struct exchange *x, void *ctx)
{
	enum worker_error error;
	struct endpoint *e;
	struct call *c;
	const char *body, *path;
	size_t len;
	bool watch;

	e = ctx;
	path = httpd_path(exchange_request(x));
	if (strncmp(path, CALL_PREFIX, strlen(CALL_PREFIX)) != 0) {
		exchange_reply(x, 404, NULL, 0, "", 0);
		return;
	}
	watch = strcmp(header_or(x, "lagoonpin-watch", "no"), "yes") == 0;
	error = worker_call_begin(e->node->worker,
	    header_or(x, "lagoonpin-shard", ""),
	    header_number(x, "lagoonpin-epoch"), watch, clock_now_ms());
	control_flush(e->node->control, clock_now_ms());
	if (error != WORKER_OK) {
		refuse(x, error);
		return;
	}
	c = call_new(e, x, watch);
	strlcpy(c->service, path + strlen(CALL_PREFIX), sizeof(c->service));
	witness_request_ran(e->node->stand->witness, c->id,
	    strcmp(header_or(x, "lagoonpin-idempotent", "yes"), "no") == 0);
	body = httpd_body(exchange_request(x), &len);
	plan_call(c, body, len);
	if (watch)
		start_watch(c);
	else
		run_call(c);
}

static struct call *
call_new(struct endpoint *e, struct exchange *x, bool watch)
{
	struct call *c;
	int64_t left_ms;

	if ((c = calloc(1, sizeof(*c))) == NULL)
		err(1, "call");
	c->endpoint = e;
	c->exchange = x;
	c->watch = watch;
	c->started_ms = clock_now_ms();
	left_ms = header_number(x, "lagoonpin-deadline-ms");
	c->deadline_ms = left_ms == 0 ? 0 : c->started_ms + left_ms;
	strlcpy(c->id, header_or(x, "lagoonpin-request-id", ""), sizeof(c->id));
	strlcpy(
	    c->shard, header_or(x, "lagoonpin-shard", ""), sizeof(c->shard));
	c->epoch = header_number(x, "lagoonpin-epoch");
	strlcpy(c->attempt, header_or(x, "lagoonpin-attempt", "0"),
	    sizeof(c->attempt));
	uv_timer_init(e->node->stand->loop, &c->timer);
	c->timer.data = c;
	LIST_INSERT_HEAD(&e->calls, c, link);
	exchange_on_gone(x, caller_gone, c);
	return c;
}

/* A body may start with "!run_ms=20 answer_bytes=4000 lines=3" to say how
 * the call behaves; -1: not said. */
static int64_t
directive(const char *body, const char *key)
{
	const char *at;

	if (body[0] != '!' || (at = strstr(body, key)) == NULL)
		return -1;
	return strtoll(at + strlen(key), NULL, 10);
}

static void
plan_call(struct call *c, const char *body, size_t len)
{
	struct stand *stand;
	char head[128];
	int64_t said;
	double spread;

	stand = c->endpoint->node->stand;
	c->size = len;
	c->hash = XXH64(body, len, 0);
	memset(head, 0, sizeof(head));
	memcpy(head, body, len < sizeof(head) ? len : sizeof(head) - 1);
	spread = exp(
	    gsl_ran_gaussian(stand->rng, stand->call_sigma_percent / 100.0));
	c->run_ms = stand->call_us / US_PER_MS * spread;
	if ((said = directive(head, "run_ms=")) >= 0)
		c->run_ms = (double)said;
	c->run_ms *= worker_slowdown(c->endpoint->node->worker);
	if ((said = directive(head, "answer_bytes=")) > 0)
		c->answer_bytes = said;
	if ((said = directive(head, "lines=")) > 0)
		c->lines_max = said;
}

static void
run_call(struct call *c)
{
	double left_ms;

	left_ms = c->run_ms;
	/* Nobody waits for the answer after the deadline. */
	if (c->deadline_ms != 0 &&
	    left_ms > (double)(c->deadline_ms - c->started_ms))
		left_ms = (double)(c->deadline_ms - c->started_ms);
	if (left_ms < 0.5) {
		call_over(&c->timer);
		return;
	}
	uv_update_time(c->endpoint->node->stand->loop);
	uv_timer_start(&c->timer, call_over, (uint64_t)(left_ms + 0.5), 0);
}

static void
caller_gone(struct exchange *x, void *ctx)
{
	struct call *c;

	(void)x;
	c = ctx;
	c->exchange = NULL;
	/* A call runs on, since its work can't be undone; a watch ends. */
	if (c->watch)
		finish(c);
}

static void
call_over(uv_timer_t *timer)
{
	struct call *c;
	int64_t now_ms;

	c = timer->data;
	now_ms = clock_now_ms();
	usage_call(c->endpoint->node->usage, c->service, c->run_ms, now_ms);
	if (c->exchange != NULL)
		answer(c,
		    c->deadline_ms != 0 && now_ms > c->deadline_ms ? 504 : 200);
	finish(c);
}

static void
answer(struct call *c, int status)
{
	struct httpd_header headers[] = { { "lagoonpin-request-id", c->id },
		{ "lagoonpin-attempt", c->attempt },
		{ "content-type", "application/json" } };
	struct exchange *x;
	char line[LINE_SIZE], *text;
	size_t len;

	snprintf(line, sizeof(line),
	    "{\"request\":\"%s\",\"attempt\":\"%s\",\"service\":\"%s\","
	    "\"worker\":\"%s\",\"size\":%zu,\"hash\":\"%016llx\"}\n",
	    c->id, c->attempt, c->service, c->endpoint->node->id, c->size,
	    c->hash);
	len = strlen(line);
	if (c->answer_bytes > (int64_t)len)
		len = (size_t)c->answer_bytes;
	if ((text = malloc(len + 1)) == NULL)
		err(1, "answer");
	memset(text, ' ', len);
	memcpy(text, line, strlen(line));
	x = c->exchange;
	c->exchange = NULL;
	exchange_reply(x, status, headers, 3, text, len);
	free(text);
}

static void
start_watch(struct call *c)
{
	struct httpd_header headers[] = { { "lagoonpin-request-id", c->id },
		{ "lagoonpin-attempt", c->attempt },
		{ "content-type", "application/x-ndjson" } };

	exchange_begin(c->exchange, 200, headers, 3);
	uv_timer_start(&c->timer, watch_line, 0,
	    (uint64_t)c->endpoint->node->stand->watch_interval_ms);
}

static void
watch_line(uv_timer_t *timer)
{
	struct exchange *x;
	struct call *c;
	char line[LINE_SIZE];
	bool last;

	c = timer->data;
	c->lines++;
	last = c->lines == c->lines_max ||
	    (c->deadline_ms != 0 && clock_now_ms() >= c->deadline_ms);
	snprintf(line, sizeof(line),
	    "{\"request\":\"%s\",\"line\":%lld,\"worker\":\"%s\","
	    "\"hash\":\"%016llx\",\"last\":%s}\n",
	    c->id, (long long)c->lines, c->endpoint->node->id, c->hash,
	    last ? "true" : "false");
	exchange_send(c->exchange, line, strlen(line));
	if (!last)
		return;
	x = c->exchange;
	c->exchange = NULL;
	exchange_end(x);
	finish(c);
}

static void
finish(struct call *c)
{
	worker_call_end(
	    c->endpoint->node->worker, c->shard, c->epoch, c->watch);
	LIST_REMOVE(c, link);
	uv_close((uv_handle_t *)&c->timer, timer_closed);
}

static void
timer_closed(uv_handle_t *handle)
{
	free(handle->data);
}
