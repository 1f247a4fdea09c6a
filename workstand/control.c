#include <err.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "node.h"
#include "report.h"

/* A message of an owner, parsed. */
struct message {
	json_t *root;
	struct worker_task_ref ref;
};

/* An owner that waits: a renew for news, or for a checkpoint. */
struct wait {
	TAILQ_ENTRY(wait) link;
	struct control *control;
	struct exchange *exchange;
	char *shard; /* renew */
	int64_t epoch;
	bool older; /* calls of lower epochs held slots when it came */
	int64_t due_ms;
	char *task; /* checkpoint */
	int64_t attempt;
};

TAILQ_HEAD(wait_list, wait);

struct control {
	struct node *node;
	struct httpd *httpd;
	struct wait_list renews;
	struct wait_list checkpoints;
};

typedef void route_handler(
    struct control *, struct exchange *, struct message *, int64_t now_ms);

struct route {
	const char *path;
	bool task; /* names a task and attempt */
	route_handler *handler;
};

static void arrived(struct httpd_request *, void *);
static void handle(struct exchange *, void *);
static int parse(struct exchange *, bool task, struct message *);
static void reply_json(struct exchange *, int status, json_t *);
static void reply_error(
    struct control *, struct exchange *, const char *shard, enum worker_error);
static void reply_state(struct exchange *, const char *state);
static void fence(
    struct control *, struct exchange *, struct message *, int64_t);
static void start(
    struct control *, struct exchange *, struct message *, int64_t);
static void stop(
    struct control *, struct exchange *, struct message *, int64_t);
static void checkpoint(
    struct control *, struct exchange *, struct message *, int64_t);
static void throttle(
    struct control *, struct exchange *, struct message *, int64_t);
static void renew(
    struct control *, struct exchange *, struct message *, int64_t);
static void acknowledge(struct control *, json_t *acked);
static void reply_renew(
    struct control *, struct exchange *, const char *shard, int64_t now_ms);
static struct wait *wait_new(struct control *, struct exchange *);
static void wait_free(struct wait *);
static void renew_gone(struct exchange *, void *);
static void checkpoint_gone(struct exchange *, void *);
static json_int_t number(json_t *, const char *key);

static const struct route routes[] = { { "/v1/fence", false, fence },
	{ "/v1/start", true, start }, { "/v1/stop", true, stop },
	{ "/v1/checkpoint", true, checkpoint },
	{ "/v1/throttle", true, throttle }, { "/v1/renew", false, renew } };
#define NROUTES (sizeof(routes) / sizeof(routes[0]))

struct control *
control_open(struct node *node, int port)
{
	struct control *c;

	if ((c = calloc(1, sizeof(*c))) == NULL)
		return NULL;
	c->node = node;
	TAILQ_INIT(&c->renews);
	TAILQ_INIT(&c->checkpoints);
	c->httpd = node_listen(node, "control", port, arrived, c);
	if (c->httpd == NULL) {
		free(c);
		return NULL;
	}
	return c;
}

void
control_close(struct control *c)
{
	struct wait *w;

	if (c == NULL)
		return;
	httpd_close(c->httpd);
	while ((w = TAILQ_FIRST(&c->renews)) != NULL) {
		TAILQ_REMOVE(&c->renews, w, link);
		exchange_on_gone(w->exchange, NULL, NULL);
		wait_free(w);
	}
	while ((w = TAILQ_FIRST(&c->checkpoints)) != NULL) {
		TAILQ_REMOVE(&c->checkpoints, w, link);
		exchange_on_gone(w->exchange, NULL, NULL);
		wait_free(w);
	}
	free(c);
}

int
control_port(const struct control *c)
{
	return httpd_port(c->httpd);
}

static void
arrived(struct httpd_request *request, void *ctx)
{
	struct control *c;

	c = ctx;
	/* What a test asks or sets isn't hit by the faults it sets. */
	if (report_handle(c->node, request))
		return;
	gate_enter(c->node->gate, request, handle, c, clock_now_ms());
}

static void
handle(struct exchange *x, void *ctx)
{
	const struct route *r;
	struct control *c;
	struct message m;
	int64_t now_ms;

	c = ctx;
	for (r = routes; r < routes + NROUTES; r++) {
		if (strcmp(r->path, httpd_path(exchange_request(x))) == 0)
			break;
	}
	if (r == routes + NROUTES) {
		reply_json(x, 404, json_pack("{s:s}", "error", "unknown_path"));
		return;
	}
	if (parse(x, r->task, &m) == -1) {
		reply_json(x, 400, json_pack("{s:s}", "error", "bad_request"));
		return;
	}
	now_ms = clock_now_ms();
	worker_tick(c->node->worker, now_ms);
	r->handler(c, x, &m, now_ms);
	json_decref(m.root);
	control_flush(c, now_ms);
}

static int
parse(struct exchange *x, bool task, struct message *m)
{
	const char *body;
	json_int_t epoch, attempt;
	size_t len;

	memset(m, 0, sizeof(*m));
	body = httpd_body(exchange_request(x), &len);
	if ((m->root = json_loadb(body, len, 0, NULL)) == NULL)
		return -1;
	attempt = 0;
	if (json_unpack(m->root, "{s:s,s:I}", "shard", &m->ref.shard, "epoch",
		&epoch) == -1)
		goto fail;
	if (task &&
	    json_unpack(m->root, "{s:s,s:I}", "task", &m->ref.task, "attempt",
		&attempt) == -1)
		goto fail;
	m->ref.epoch = epoch;
	m->ref.attempt = attempt;
	return 0;

fail:
	json_decref(m->root);
	return -1;
}

static void
reply_json(struct exchange *x, int status, json_t *root)
{
	struct httpd_header headers[] = { { "content-type",
	    "application/json" } };
	char *text;

	text = json_dumps(root, JSON_COMPACT);
	exchange_reply(x, status, headers, 1, text == NULL ? "" : text,
	    text == NULL ? 0 : strlen(text));
	free(text);
	json_decref(root);
}

static void
reply_error(struct control *c, struct exchange *x, const char *shard,
    enum worker_error error)
{
	json_t *root;
	int status;

	root = json_pack("{s:s}", "error", worker_strerror(error));
	if (error == WORKER_ERR_FENCED)
		json_object_set_new(root, "epoch",
		    json_integer(worker_epoch(c->node->worker, shard)));
	status = error == WORKER_ERR_UNKNOWN ? 404 :
	    error == WORKER_ERR_MEMORY	     ? 500 :
					       409;
	reply_json(x, status, root);
}

static void
reply_state(struct exchange *x, const char *state)
{
	reply_json(x, 200, json_pack("{s:s}", "state", state));
}

static json_int_t
number(json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static void
fence(struct control *c, struct exchange *x, struct message *m, int64_t now_ms)
{
	enum worker_error error;
	json_t *root;

	(void)now_ms;
	error = worker_fence(c->node->worker, m->ref.shard, m->ref.epoch);
	if (error != WORKER_OK) {
		reply_error(c, x, m->ref.shard, error);
		return;
	}
	root = report_shard(c->node, m->ref.shard);
	json_object_set_new(root, "epoch", json_integer(m->ref.epoch));
	reply_json(x, 200, root);
}

static void
start(struct control *c, struct exchange *x, struct message *m, int64_t now_ms)
{
	struct worker_start s;
	enum worker_error error;
	json_t *payload;

	memset(&s, 0, sizeof(s));
	payload = json_object_get(m->root, "payload");
	s.ref = m->ref;
	s.lease_ms = number(m->root, "lease_ms");
	s.cpu_millis = number(m->root, "cpu_millis");
	s.memory_mib = number(m->root, "memory_mib");
	s.accelerators = number(m->root, "accelerators");
	s.checkpoint =
	    json_string_value(json_object_get(m->root, "checkpoint"));
	s.run_ms = number(payload, "run_ms");
	s.noise = json_number_value(json_object_get(payload, "noise"));
	s.fail = json_is_true(json_object_get(payload, "fail"));
	s.cpu_used_millis = number(payload, "cpu_used_millis");
	s.memory_used_mib = number(payload, "memory_used_mib");
	s.checkpoint_ms = number(payload, "checkpoint_ms");
	error = worker_start_task(c->node->worker, &s, now_ms);
	if (error != WORKER_OK)
		reply_error(c, x, m->ref.shard, error);
	else
		reply_state(x, "running");
}

static void
stop(struct control *c, struct exchange *x, struct message *m, int64_t now_ms)
{
	enum worker_error error;

	error = worker_stop(c->node->worker, &m->ref, now_ms);
	if (error != WORKER_OK)
		reply_error(c, x, m->ref.shard, error);
	else
		reply_state(x, "stopped");
}

static void
throttle(
    struct control *c, struct exchange *x, struct message *m, int64_t now_ms)
{
	enum worker_error error;
	json_int_t percent;

	percent = number(m->root, "percent");
	if (percent < 1 || percent > 100) {
		reply_json(x, 400, json_pack("{s:s}", "error", "bad_percent"));
		return;
	}
	error = worker_throttle(c->node->worker, &m->ref, (int)percent, now_ms);
	if (error != WORKER_OK)
		reply_error(c, x, m->ref.shard, error);
	else
		reply_state(x, "running");
}

static struct wait *
wait_new(struct control *c, struct exchange *x)
{
	struct wait *w;

	if ((w = calloc(1, sizeof(*w))) == NULL)
		return NULL;
	w->control = c;
	w->exchange = x;
	return w;
}

static void
wait_free(struct wait *w)
{
	free(w->shard);
	free(w->task);
	free(w);
}

static void
renew_gone(struct exchange *x, void *ctx)
{
	struct wait *w;

	(void)x;
	w = ctx;
	TAILQ_REMOVE(&w->control->renews, w, link);
	wait_free(w);
}

static void
checkpoint_gone(struct exchange *x, void *ctx)
{
	struct wait *w;

	(void)x;
	w = ctx;
	TAILQ_REMOVE(&w->control->checkpoints, w, link);
	wait_free(w);
}

static void
checkpoint(
    struct control *c, struct exchange *x, struct message *m, int64_t now_ms)
{
	enum worker_error error;
	struct wait *w;

	if ((w = wait_new(c, x)) == NULL ||
	    (w->task = strdup(m->ref.task)) == NULL)
		err(1, "checkpoint");
	w->attempt = m->ref.attempt;
	TAILQ_INSERT_TAIL(&c->checkpoints, w, link);
	exchange_on_gone(x, checkpoint_gone, w);
	error = worker_checkpoint(c->node->worker, &m->ref, now_ms);
	if (error == WORKER_OK)
		return;
	TAILQ_REMOVE(&c->checkpoints, w, link);
	wait_free(w);
	reply_error(c, x, m->ref.shard, error);
}

void
control_checkpointed(
    struct control *c, const char *task, int64_t attempt, int64_t progress_ms)
{
	struct wait *w, *next;
	char token[32];

	snprintf(token, sizeof(token), "p%lld", (long long)progress_ms);
	TAILQ_FOREACH_SAFE(w, &c->checkpoints, link, next)
	{
		if (w->attempt != attempt || strcmp(w->task, task) != 0)
			continue;
		TAILQ_REMOVE(&c->checkpoints, w, link);
		reply_json(w->exchange, 200,
		    json_pack("{s:s,s:I}", "checkpoint", token, "progress_ms",
			(json_int_t)progress_ms));
		wait_free(w);
	}
}

static void
acknowledge(struct control *c, json_t *acked)
{
	const char *task;
	json_int_t attempt;
	json_t *item;
	size_t i;

	json_array_foreach(acked, i, item)
	{
		if (json_unpack(item, "{s:s,s:I}", "task", &task, "attempt",
			&attempt) == 0)
			worker_ack(c->node->worker, task, attempt);
	}
}

static void
reply_renew(
    struct control *c, struct exchange *x, const char *shard, int64_t now_ms)
{
	json_t *root;

	root = report_shard(c->node, shard);
	report_usage(c->node, shard, root, now_ms);
	reply_json(x, 200, root);
}

static void
renew(struct control *c, struct exchange *x, struct message *m, int64_t now_ms)
{
	enum worker_error error;
	json_int_t wait_ms;
	struct wait *w;

	error = worker_renew(c->node->worker, m->ref.shard, m->ref.epoch,
	    number(m->root, "lease_ms"), now_ms);
	if (error != WORKER_OK) {
		reply_error(c, x, m->ref.shard, error);
		return;
	}
	acknowledge(c, json_object_get(m->root, "acked"));
	wait_ms = number(m->root, "wait_ms");
	if (wait_ms <= 0 || worker_has_end(c->node->worker, m->ref.shard)) {
		reply_renew(c, x, m->ref.shard, now_ms);
		return;
	}
	if ((w = wait_new(c, x)) == NULL ||
	    (w->shard = strdup(m->ref.shard)) == NULL)
		err(1, "renew");
	w->epoch = m->ref.epoch;
	w->due_ms = now_ms + wait_ms;
	w->older = worker_older_calls(c->node->worker, m->ref.shard).slots > 0;
	TAILQ_INSERT_TAIL(&c->renews, w, link);
	exchange_on_gone(x, renew_gone, w);
}

void
control_flush(struct control *c, int64_t now_ms)
{
	struct wait *w, *next;
	struct worker *worker;
	bool fenced, freed;

	worker = c->node->worker;
	TAILQ_FOREACH_SAFE(w, &c->renews, link, next)
	{
		fenced = w->epoch < worker_epoch(worker, w->shard);
		freed =
		    w->older && worker_older_calls(worker, w->shard).slots == 0;
		if (!fenced && !freed && now_ms < w->due_ms &&
		    !worker_has_end(worker, w->shard))
			continue;
		TAILQ_REMOVE(&c->renews, w, link);
		if (fenced)
			reply_error(
			    c, w->exchange, w->shard, WORKER_ERR_FENCED);
		else
			reply_renew(c, w->exchange, w->shard, now_ms);
		wait_free(w);
	}
}
