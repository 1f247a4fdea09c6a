#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node_int.h"

/*
 * Callers' requests to the leader.  They are idempotent, so each is resent
 * until it is answered, also to a new leader.  While no leader answers, the
 * state of a job is read from the store.
 */

#define RESEND_MS 300
/* The store is read if no leader has answered for this long. */
#define STORE_AFTER_MS 600
/* The caller is answered this long before its deadline. */
#define DEADLINE_MARGIN_MS 100
/* Retry-after time for callers; a new leader is expected by then. */
#define NO_LEADER_RETRY_AFTER_MS 1000

static const char *const kind_names[] = { "state", "cancel", "job", "store" };

static void request_send(struct leader_request *, int64_t);

static void
request_free(struct leader_request *req)
{
	TAILQ_REMOVE(&req->node->leader_requests, req, link);
	free(req->body);
	free(req);
}

/*
 * Answer the caller, and free the request unless a read of the store is in
 * flight.  A reply that the job was not stored is certain only if the request
 * was sent once: otherwise another entry may still store the job.
 */
static void
request_finish(struct leader_request *req, const struct node_reply *reply)
{
	struct node_reply unknown;
	node_replied *replied;

	if (req->kind == LEADER_REQUEST_STORE && req->sent > 1 &&
	    reply->outcome == NODE_NOT_DONE) {
		unknown = *reply;
		unknown.outcome = NODE_NO_ANSWER;
		reply = &unknown;
	}
	replied = req->replied;
	req->replied = NULL;
	req->dead = true;
	if (replied != NULL)
		replied(reply, req->ctx);
	if (!req->reading)
		request_free(req);
}

struct leader_request *
leader_request_new(struct node *node, enum leader_request_kind kind,
    const char *job, int64_t deadline_ms, node_replied *replied, void *ctx)
{
	struct leader_request *req;

	if ((req = calloc(1, sizeof(*req))) == NULL)
		return NULL;
	req->node = node;
	req->id = exchange_next(node);
	req->kind = kind;
	strlcpy(req->job, job, sizeof(req->job));
	req->created_ms = clock_now_ms();
	req->deadline_ms = deadline_ms;
	req->replied = replied;
	req->ctx = ctx;
	TAILQ_INSERT_TAIL(&node->leader_requests, req, link);
	return req;
}

static struct leader_request *
request_find(struct node *node, const struct exchange_id *id)
{
	struct leader_request *req;

	TAILQ_FOREACH (req, &node->leader_requests, link) {
		if (exchange_equal(&req->id, id) && !req->dead)
			return req;
	}
	return NULL;
}

static void
on_local_answer(const struct node_reply *reply, const struct exchange_id *id,
    const char *from, void *ctx)
{
	struct leader_request *req;

	(void)from;
	if ((req = request_find(ctx, id)) != NULL)
		request_finish(req, reply);
}

static void
request_send(struct leader_request *req, int64_t now_ms)
{
	struct stored_job stored;
	struct node *node;
	json_t *message;

	node = req->node;
	req->resend_ms = now_ms + RESEND_MS;
	if (node->lead != NULL) {
		req->sent++;
		stored.text = req->body;
		stored.len = req->body_len;
		stored.revision = req->revision;
		lead_request(node->lead, req->kind, req->job, &stored, &req->id,
		    "", on_local_answer, node);
		return;
	}
	if (node->elect.leader.id[0] == '\0' ||
	    strcmp(node->elect.leader.id, node->id) == 0)
		return;
	message = json_pack("{ss ss ss ss ss sI}", "t", "request", "id",
	    node->id, "address", node->address, "kind", kind_names[req->kind],
	    "job", req->job, "config", (json_int_t)node->confsync.version);
	exchange_put(message, &req->id);
	if (req->body != NULL) {
		json_object_set_new(
		    message, "body", json_stringn(req->body, req->body_len));
		json_object_set_new(
		    message, "revision", json_integer(req->revision));
	}
	if (members_send(node, node->elect.leader.id, message))
		req->sent++;
	else
		req->resend_ms = now_ms;
}

/* The leader's side: requests from other entries. */

static void
send_reply(const struct node_reply *reply, const struct exchange_id *id,
    const char *from, void *ctx)
{
	struct node *node;
	json_t *message;

	node = ctx;
	if (from[0] == '\0')
		return;
	message = json_pack("{ss sI si si sI ss}", "t", "answer", "term",
	    (json_int_t)node->elect.leader.term, "outcome", (int)reply->outcome,
	    "state", (int)reply->state, "retry_after_ms",
	    (json_int_t)reply->retry_after_ms, "reason", reply->reason);
	exchange_put(message, id);
	members_send(node, from, message);
}

void
leader_requests_handle_request(struct node *node, const json_t *message)
{
	const char *from, *address, *kind, *job;
	struct stored_job stored;
	struct exchange_id id;
	size_t i;

	from = json_string_value(json_object_get(message, "id"));
	address = json_string_value(json_object_get(message, "address"));
	kind = json_string_value(json_object_get(message, "kind"));
	job = json_string_value(json_object_get(message, "job"));
	stored.text = json_string_value(json_object_get(message, "body"));
	stored.len = stored.text != NULL ? strlen(stored.text) : 0;
	stored.revision =
	    json_integer_value(json_object_get(message, "revision"));
	if (node->lead == NULL || from == NULL || address == NULL ||
	    kind == NULL || job == NULL || !exchange_get(message, &id) ||
	    peer_connect(node->peer, from, address) != PEER_OK)
		return;
	/*
	 * What follows from a newer version mustn't be started while our own
	 * callers are answered by an older one.
	 */
	config_handle_version(node, message, from, clock_now_ms());
	for (i = 0; i < sizeof(kind_names) / sizeof(kind_names[0]); i++) {
		if (strcmp(kind, kind_names[i]) != 0)
			continue;
		lead_request(node->lead, (enum leader_request_kind)i, job,
		    &stored, &id, from, send_reply, node);
	}
}

/* The request that the answer belongs to; NULL: it is dropped. */
static struct leader_request *
answered_request(struct node *node, const json_t *message)
{
	struct leader_request *req;
	enum exchange_fault fault;
	struct exchange_id id;
	int64_t term;

	req = NULL;
	term = json_integer_value(json_object_get(message, "term"));
	fault = exchange_check(node, message, &id);
	/* The present leader is asked again. */
	if (fault == EXCHANGE_OK && term < (int64_t)node->elect.leader.term)
		fault = EXCHANGE_FORMER_LEADER;
	if (fault == EXCHANGE_OK && (req = request_find(node, &id)) == NULL)
		fault = EXCHANGE_LATE;
	if (fault != EXCHANGE_OK)
		exchange_drop("answer", fault);
	return req;
}

void
leader_requests_handle_answer(struct node *node, const json_t *message)
{
	struct node_reply reply;
	struct leader_request *req;

	if ((req = answered_request(node, message)) == NULL)
		return;
	memset(&reply, 0, sizeof(reply));
	reply.outcome = (enum node_outcome)json_integer_value(
	    json_object_get(message, "outcome"));
	reply.state = (enum sched_job_state)json_integer_value(
	    json_object_get(message, "state"));
	reply.retry_after_ms =
	    json_integer_value(json_object_get(message, "retry_after_ms"));
	reply.reason = "leader";
	request_finish(req, &reply);
}

void
leader_requests_leader_changed(struct node *node)
{
	struct leader_request *req;

	TAILQ_FOREACH (req, &node->leader_requests, link)
		req->resend_ms = 0;
}

/* Reading a job's state from the store while no leader answers. */

static void
finish_from_store(struct leader_request *req, enum node_outcome outcome,
    enum sched_job_state state)
{
	struct node_reply reply;

	memset(&reply, 0, sizeof(reply));
	reply.outcome = outcome;
	reply.state = state;
	reply.reason = "store";
	request_finish(req, &reply);
}

/* Returns true if the read failed, or if the caller was answered already. */
static bool
read_failed(struct leader_request *req, const struct kv_result *result)
{
	req->reading = false;
	if (req->dead) {
		request_free(req);
		return true;
	}
	if (result->error != KV_OK) {
		req->read_ms = clock_now_ms() + RESEND_MS;
		return true;
	}
	return false;
}

/*
 * The write that creates the key of a job's end also removes the key of the
 * submitted job.  The submitted job is therefore read first: a job that ends
 * between the reads is found under its end.  In the opposite order it would be
 * reported as unknown.
 */
static void
read_key(struct leader_request *req, const char *prefix, kv_done *done)
{
	char key[KEY_MAX];

	req->reading = true;
	snprintf(key, sizeof(key), "%s%s", prefix, req->job);
	req->node->opt.kv.get(req->node->opt.kv.self, key, done, req);
}

static void
on_progress(const struct kv_result *result, void *ctx)
{
	struct leader_request *req;

	req = ctx;
	if (read_failed(req, result))
		return;
	finish_from_store(
	    req, NODE_STATE, result->nitems > 0 ? JOB_RUNNING : JOB_QUEUED);
}

static void
on_ended(const struct kv_result *result, void *ctx)
{
	enum sched_job_state state;
	struct leader_request *req;

	req = ctx;
	if (read_failed(req, result))
		return;
	if (result->nitems > 0 &&
	    ended_read(req->node, &result->items[0], &state) == ENDED_STATE)
		finish_from_store(req, NODE_STATE, state);
	else
		finish_from_store(req, NODE_UNKNOWN_JOB, JOB_QUEUED);
}

static void
on_job(const struct kv_result *result, void *ctx)
{
	struct leader_request *req;

	req = ctx;
	if (read_failed(req, result))
		return;
	if (result->nitems > 0)
		read_key(req, KEY_PROGRESS, on_progress);
	else
		read_key(req, KEY_ENDED, on_ended);
}

static void
read_store(struct leader_request *req)
{
	read_key(req, KEY_JOB, on_job);
}

static void
expire(struct leader_request *req)
{
	struct node_reply reply;

	memset(&reply, 0, sizeof(reply));
	reply.outcome = NODE_NO_ANSWER;
	reply.reason = "no_leader";
	if ((req->kind == LEADER_REQUEST_CANCEL ||
		req->kind == LEADER_REQUEST_STORE) &&
	    req->sent == 0) {
		reply.outcome = NODE_NOT_DONE;
		reply.retry_after_ms = NO_LEADER_RETRY_AFTER_MS;
	}
	counter_inc_reason("lagoonpin_ask_expired", kind_names[req->kind]);
	request_finish(req, &reply);
}

void
leader_requests_tick(struct node *node, int64_t now_ms)
{
	struct leader_request *req, *next;

	for (req = TAILQ_FIRST(&node->leader_requests); req != NULL;
	     req = next) {
		next = TAILQ_NEXT(req, link);
		if (req->dead)
			continue;
		if (now_ms >= req->deadline_ms - DEADLINE_MARGIN_MS) {
			expire(req);
			continue;
		}
		if (now_ms >= req->resend_ms)
			request_send(req, now_ms);
	}
	TAILQ_FOREACH (req, &node->leader_requests, link) {
		if (!req->dead && req->kind == LEADER_REQUEST_STATE &&
		    !req->reading &&
		    now_ms - req->created_ms >= STORE_AFTER_MS &&
		    now_ms >= req->read_ms)
			read_store(req);
	}
}

void
leader_requests_close(struct node *node)
{
	struct leader_request *req, *next;

	for (req = TAILQ_FIRST(&node->leader_requests); req != NULL;
	     req = next) {
		next = TAILQ_NEXT(req, link);
		if (!req->dead)
			expire(req);
	}
}

static void
submit_request(struct node *node, enum leader_request_kind kind,
    const char *job, int64_t deadline_ms, node_replied *replied, void *ctx)
{
	struct node_reply reply;

	if (leader_request_new(node, kind, job, deadline_ms, replied, ctx) !=
	    NULL)
		return;
	memset(&reply, 0, sizeof(reply));
	reply.outcome = NODE_NOT_DONE;
	reply.retry_after_ms = NO_LEADER_RETRY_AFTER_MS;
	reply.reason = "memory";
	replied(&reply, ctx);
}

void
node_state(struct node *node, const char *job, int64_t deadline_ms,
    node_replied *replied, void *ctx)
{
	submit_request(
	    node, LEADER_REQUEST_STATE, job, deadline_ms, replied, ctx);
}

void
node_cancel(struct node *node, const char *job, int64_t deadline_ms,
    node_replied *replied, void *ctx)
{
	submit_request(
	    node, LEADER_REQUEST_CANCEL, job, deadline_ms, replied, ctx);
}
