#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "batch.h"
#include "clock.h"
#include "counter.h"
#include "log.h"

/* Sends calls to the control API of workers. */

#define CONNECT_TIMEOUT_MS 1000
#define RESPONSE_MAX_BYTES (4 << 20)

static const char *const paths[] = { "fence", "renew", "start", "stop",
	"checkpoint", "throttle", "stop" };

static struct worker_call *call_new(struct batch_shard *, enum worker_call_kind,
    struct ledger_worker *, const char *, uint32_t);
static void call_free(struct worker_call *);
static bool send_call(struct worker_call *, json_t *, int64_t);
static void on_done(const struct httpc_result *, void *);
static enum call_result parse_result(
    const struct httpc_result *, json_t **, uint64_t *);
static enum call_result parse_refusal(const json_t *, uint64_t *);
static void dispatch_result(
    struct worker_call *, enum call_result, json_t *, uint64_t, int64_t);

static struct worker_call *
call_new(struct batch_shard *s, enum worker_call_kind kind,
    struct ledger_worker *w, const char *task, uint32_t attempt)
{
	struct worker_call *c;

	if ((c = calloc(1, sizeof(*c))) == NULL)
		return NULL;
	c->batch = s->batch;
	c->kind = kind;
	strlcpy(c->shard, s->name, sizeof(c->shard));
	c->epoch = s->ledger->epoch;
	strlcpy(c->worker, w->id, sizeof(c->worker));
	strlcpy(c->task, task, sizeof(c->task));
	c->attempt = attempt;
	TAILQ_INSERT_TAIL(&s->batch->calls, c, link);
	return c;
}

static void
call_free(struct worker_call *c)
{
	TAILQ_REMOVE(&c->batch->calls, c, link);
	free(c);
}

static bool
send_call(struct worker_call *c, json_t *body, int64_t timeout_ms)
{
	static const struct httpc_header header = { "content-type",
		"application/json" };
	struct httpc_request request = { 0 };
	struct entry *e;
	struct vm *v;
	char url[FLEET_IP_MAX + 64];
	char *text;

	e = c->batch->entry;
	v = fleet_find(e->fleet, c->worker);
	if (v == NULL || v->info.control_port == 0)
		return false;
	if ((text = json_dumps(body, JSON_COMPACT)) == NULL)
		return false;
	snprintf(url, sizeof(url), "http://%s:%d/v1/%s", v->info.ip,
	    v->info.control_port, paths[c->kind]);
	request.method = "POST";
	request.url = url;
	request.headers = &header;
	request.nheaders = 1;
	request.body = text;
	request.body_len = strlen(text);
	request.connect_timeout_ms = CONNECT_TIMEOUT_MS;
	request.timeout_ms = timeout_ms;
	request.body_max = RESPONSE_MAX_BYTES;
	request.on_done = on_done;
	request.ctx = c;
	c->http = httpc_start(e->worker_http, &request);
	free(text);
	return c->http != NULL;
}

void
call_worker(struct batch_shard *s, enum worker_call_kind kind,
    struct ledger_worker *w, const char *task, uint32_t attempt, json_t *body,
    int64_t timeout_ms)
{
	struct worker_call *c;

	c = call_new(s, kind, w, task, attempt);
	if (c == NULL || body == NULL)
		goto out;
	json_object_set_new(body, "shard", json_string(s->name));
	json_object_set_new(body, "epoch", json_integer((json_int_t)c->epoch));
	if (task[0] != '\0') {
		json_object_set_new(body, "task", json_string(task));
		json_object_set_new(body, "attempt", json_integer(attempt));
	}
	if (!send_call(c, body, timeout_ms))
		c->failure = RESULT_NOT_SENT;
out:
	if (c != NULL && c->http == NULL)
		c->failure = RESULT_NOT_SENT;
	json_decref(body);
}

void
call_not_ready(struct batch_shard *s, enum worker_call_kind kind,
    struct ledger_worker *w, const char *task, uint32_t attempt)
{
	struct worker_call *c;

	if ((c = call_new(s, kind, w, task, attempt)) != NULL)
		c->failure = RESULT_NOT_READY;
}

/*
 * Fails the calls that couldn't be sent.  That is left to the tick because a
 * ledger action must not report a result itself.
 */
void
call_tick(struct batch *b, int64_t now_ms)
{
	struct worker_calls failed;
	struct worker_call *c, *next;

	TAILQ_INIT(&failed);
	TAILQ_FOREACH_SAFE(c, &b->calls, link, next)
	{
		if (c->http != NULL)
			continue;
		TAILQ_REMOVE(&b->calls, c, link);
		TAILQ_INSERT_TAIL(&failed, c, link);
	}
	while ((c = TAILQ_FIRST(&failed)) != NULL) {
		TAILQ_REMOVE(&failed, c, link);
		TAILQ_INSERT_TAIL(&b->calls, c, link);
		dispatch_result(c, c->failure, NULL, 0, now_ms);
	}
}

void
call_cancel(struct batch *b, const char *shard)
{
	struct worker_call *c, *next;

	TAILQ_FOREACH (c, &b->calls, link) {
		/* Epoch 0 marks the call, and its result is ignored. */
		if (strcmp(c->shard, shard) == 0)
			c->epoch = 0;
	}
	TAILQ_FOREACH_SAFE(c, &b->calls, link, next)
	{
		if (c->epoch != 0)
			continue;
		if (c->http != NULL)
			httpc_cancel(c->http);
		else
			call_free(c);
	}
}

static enum call_result
parse_refusal(const json_t *body, uint64_t *epoch)
{
	const char *error;

	error = json_string_value(json_object_get(body, "error"));
	if (error == NULL)
		return RESULT_REFUSED;
	if (strcmp(error, "fenced") == 0)
		*epoch = (uint64_t)json_integer_value(
		    json_object_get(body, "epoch"));
	if (strcmp(error, "no_room") == 0)
		return RESULT_NO_ROOM;
	if (strcmp(error, "stale_attempt") == 0)
		return RESULT_STALE;
	if (strcmp(error, "unknown_task") == 0)
		return RESULT_UNKNOWN_TASK;
	return RESULT_REFUSED;
}

static enum call_result
parse_result(const struct httpc_result *result, json_t **body, uint64_t *epoch)
{
	*body = NULL;
	*epoch = 0;
	if (result->error != HTTPC_OK)
		return result->sent ? RESULT_NO_ANSWER : RESULT_NOT_SENT;
	if (result->status >= 500)
		return RESULT_NO_ANSWER;
	*body = json_loadb(result->body, result->body_len, 0, NULL);
	if (result->status == 200)
		return json_is_object(*body) ? RESULT_OK : RESULT_NO_ANSWER;
	return parse_refusal(*body, epoch);
}

static void
on_done(const struct httpc_result *result, void *ctx)
{
	enum call_result answer;
	struct worker_call *c;
	uint64_t epoch;
	json_t *body;

	c = ctx;
	c->http = NULL;
	answer = parse_result(result, &body, &epoch);
	dispatch_result(c, answer, body, epoch, clock_now_ms());
	json_decref(body);
}

static void
dispatch_result(struct worker_call *c, enum call_result answer, json_t *body,
    uint64_t fenced, int64_t now_ms)
{
	static const char *const names[] = { "ok", "no_answer", "not_sent",
		"not_ready", "no_room", "stale_attempt", "unknown_task",
		"refused" };
	struct batch_shard *s;
	char labels[96];

	snprintf(labels, sizeof(labels), "call=\"%s\",result=\"%s\"",
	    paths[c->kind], fenced != 0 ? "fenced" : names[answer]);
	counter_inc("lagoonpin_worker_calls", labels);
	s = batch_shard_find(c->batch, c->shard);
	if (s == NULL || s->ledger == NULL || s->ledger->epoch != c->epoch) {
		call_free(c);
		return;
	}
	if (fenced > c->epoch) {
		log_warn("fenced", "worker=%s shard=%s epoch=%llu seen=%llu",
		    c->worker, c->shard, (unsigned long long)c->epoch,
		    (unsigned long long)fenced);
		ledger_fenced(s->ledger, fenced, now_ms);
	} else if (c->kind == WORKER_FENCE || c->kind == WORKER_RENEW)
		watch_answered(s, c, answer, body, now_ms);
	else if (c->kind != WORKER_STOP_STRAY)
		start_answered(s, c, answer, body, now_ms);
	call_free(c);
	batch_step(s, now_ms);
}
