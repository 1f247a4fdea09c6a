#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node_int.h"

/*
 * Requests of callers for the leader.  They are idempotent, so each is sent
 * again until it is answered, also to the next leader.  Where none answers,
 * the state of a job is read from the store.
 */

#define RESEND_MS 300
/* Without an answer of a leader for so long, the store is read. */
#define STORE_AFTER_MS 600
/* Answered so long before the caller gives up. */
#define DEADLINE_MARGIN_MS 100
/* Come back when another leader may lead, in milliseconds. */
#define NO_LEADER_RETRY_MS 1000

static const char *const kind_names[] = { "state", "cancel", "job", "store" };

static void send_ask(struct leader_request *, int64_t);

static void
ask_free(struct leader_request *ask)
{
	TAILQ_REMOVE(&ask->node->leader_requests, ask, link);
	free(ask->body);
	free(ask);
}

/*
 * Tell the caller; the ask is over unless a read of the store is under way.
 * "Not stored" is certain only from the one entry that was asked once: of two
 * that were, the other may be storing the job yet.
 */
static void
ask_finish(struct leader_request *ask, const struct node_reply *reply)
{
	struct node_reply unsure;
	node_replied *replied;

	if (ask->kind == LEADER_REQUEST_STORE && ask->sent > 1 &&
	    reply->outcome == NODE_NOT_DONE) {
		unsure = *reply;
		unsure.outcome = NODE_NO_ANSWER;
		reply = &unsure;
	}
	replied = ask->replied;
	ask->replied = NULL;
	ask->dead = true;
	if (replied != NULL)
		replied(reply, ask->ctx);
	if (!ask->reading)
		ask_free(ask);
}

struct leader_request *
leader_request_new(struct node *node, enum leader_request_kind kind,
    const char *job, int64_t deadline_ms, node_replied *replied, void *ctx)
{
	struct leader_request *ask;

	if ((ask = calloc(1, sizeof(*ask))) == NULL)
		return NULL;
	ask->node = node;
	ask->number = ++node->next_request;
	ask->kind = kind;
	strlcpy(ask->job, job, sizeof(ask->job));
	ask->created_ms = clock_now_ms();
	ask->deadline_ms = deadline_ms;
	ask->replied = replied;
	ask->ctx = ctx;
	TAILQ_INSERT_TAIL(&node->leader_requests, ask, link);
	return ask;
}

static struct leader_request *
ask_find(struct node *node, uint64_t number)
{
	struct leader_request *ask;

	TAILQ_FOREACH (ask, &node->leader_requests, link) {
		if (ask->number == number && !ask->dead)
			return ask;
	}
	return NULL;
}

static void
on_own_answer(const struct node_reply *reply, uint64_t number, const char *from,
    void *ctx)
{
	struct leader_request *ask;

	(void)from;
	if ((ask = ask_find(ctx, number)) != NULL)
		ask_finish(ask, reply);
}

static void
send_ask(struct leader_request *ask, int64_t now_ms)
{
	struct stored_job stored;
	struct node *node;
	json_t *message;

	node = ask->node;
	ask->resend_ms = now_ms + RESEND_MS;
	if (node->lead != NULL) {
		ask->sent++;
		stored.text = ask->body;
		stored.len = ask->body_len;
		stored.revision = ask->revision;
		lead_request(node->lead, ask->kind, ask->job, &stored,
		    ask->number, "", on_own_answer, node);
		return;
	}
	if (node->elect.leader.id[0] == '\0' ||
	    strcmp(node->elect.leader.id, node->id) == 0)
		return;
	message =
	    json_pack("{ss ss ss sI ss ss}", "t", "request", "id", node->id,
		"address", node->address, "number", (json_int_t)ask->number,
		"kind", kind_names[ask->kind], "job", ask->job);
	if (ask->body != NULL) {
		json_object_set_new(
		    message, "body", json_stringn(ask->body, ask->body_len));
		json_object_set_new(
		    message, "revision", json_integer(ask->revision));
	}
	if (members_send(node, node->elect.leader.id, message))
		ask->sent++;
	else
		ask->resend_ms = now_ms;
}

/* The leader's side: a request of another entry. */

static void
on_leader_answer(const struct node_reply *reply, uint64_t number,
    const char *from, void *ctx)
{
	struct node *node;

	node = ctx;
	if (from[0] == '\0')
		return;
	members_send(node, from,
	    json_pack("{ss sI si si sI ss}", "t", "answer", "number",
		(json_int_t)number, "outcome", (int)reply->outcome, "state",
		(int)reply->state, "retry_after_ms",
		(json_int_t)reply->retry_after_ms, "reason", reply->reason));
}

void
leader_requests_handle_request(struct node *node, const json_t *message)
{
	const char *from, *address, *kind, *job;
	struct stored_job stored;
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
	    kind == NULL || job == NULL ||
	    peer_connect(node->peer, from, address) != PEER_OK)
		return;
	for (i = 0; i < sizeof(kind_names) / sizeof(kind_names[0]); i++) {
		if (strcmp(kind, kind_names[i]) != 0)
			continue;
		lead_request(node->lead, (enum leader_request_kind)i, job,
		    &stored,
		    (uint64_t)json_integer_value(
			json_object_get(message, "number")),
		    from, on_leader_answer, node);
	}
}

void
leader_requests_handle_answer(struct node *node, const json_t *message)
{
	struct node_reply reply;
	struct leader_request *ask;

	ask = ask_find(node,
	    (uint64_t)json_integer_value(json_object_get(message, "number")));
	if (ask == NULL)
		return;
	memset(&reply, 0, sizeof(reply));
	reply.outcome = (enum node_outcome)json_integer_value(
	    json_object_get(message, "outcome"));
	reply.state = (enum sched_job_state)json_integer_value(
	    json_object_get(message, "state"));
	reply.retry_after_ms =
	    json_integer_value(json_object_get(message, "retry_after_ms"));
	reply.reason = "leader";
	ask_finish(ask, &reply);
}

void
leader_requests_leader_changed(struct node *node)
{
	struct leader_request *ask;

	TAILQ_FOREACH (ask, &node->leader_requests, link)
		ask->resend_ms = 0;
}

/* The store's word on a job, while no leader answers. */

static void
finish_from_store(struct leader_request *ask, enum node_outcome outcome,
    enum sched_job_state state)
{
	struct node_reply reply;

	memset(&reply, 0, sizeof(reply));
	reply.outcome = outcome;
	reply.state = state;
	reply.reason = "store";
	ask_finish(ask, &reply);
}

static bool
read_over(struct leader_request *ask, const struct kv_result *result)
{
	ask->reading = false;
	if (ask->dead) {
		ask_free(ask);
		return true;
	}
	if (result->error != KV_OK) {
		ask->read_ms = clock_now_ms() + RESEND_MS;
		return true;
	}
	return false;
}

/*
 * A job leaves its first key in the same write that makes the key of its end.
 * Read in this order, one that ends meanwhile is found at its end; the other
 * way round it would be taken for unknown.
 */
static void
read_key(struct leader_request *ask, const char *prefix, kv_done *done)
{
	char key[KEY_MAX];

	ask->reading = true;
	snprintf(key, sizeof(key), "%s%s", prefix, ask->job);
	ask->node->opt.kv.get(ask->node->opt.kv.self, key, done, ask);
}

static void
on_progress(const struct kv_result *result, void *ctx)
{
	struct leader_request *ask;

	ask = ctx;
	if (read_over(ask, result))
		return;
	finish_from_store(
	    ask, NODE_STATE, result->nitems > 0 ? JOB_RUNNING : JOB_QUEUED);
}

static void
on_ended(const struct kv_result *result, void *ctx)
{
	enum sched_job_state state;
	struct leader_request *ask;

	ask = ctx;
	if (read_over(ask, result))
		return;
	if (result->nitems == 0)
		finish_from_store(ask, NODE_UNKNOWN_JOB, JOB_QUEUED);
	else if (codec_read_ended(
		     result->items[0].value, result->items[0].len, &state) == 0)
		finish_from_store(ask, NODE_STATE, state);
	else {
		refused_note(
		    &ask->node->refused, result->items[0].key, "not_an_end");
		finish_from_store(ask, NODE_UNKNOWN_JOB, JOB_QUEUED);
	}
}

static void
on_job(const struct kv_result *result, void *ctx)
{
	struct leader_request *ask;

	ask = ctx;
	if (read_over(ask, result))
		return;
	if (result->nitems > 0)
		read_key(ask, KEY_PROGRESS, on_progress);
	else
		read_key(ask, KEY_ENDED, on_ended);
}

static void
read_store(struct leader_request *ask)
{
	read_key(ask, KEY_JOB, on_job);
}

static void
expire(struct leader_request *ask)
{
	struct node_reply reply;

	memset(&reply, 0, sizeof(reply));
	reply.outcome = NODE_NO_ANSWER;
	reply.reason = "no_leader";
	if ((ask->kind == LEADER_REQUEST_CANCEL ||
		ask->kind == LEADER_REQUEST_STORE) &&
	    ask->sent == 0) {
		reply.outcome = NODE_NOT_DONE;
		reply.retry_after_ms = NO_LEADER_RETRY_MS;
	}
	counter_reason("lagoonpin_ask_expired", kind_names[ask->kind]);
	ask_finish(ask, &reply);
}

void
leader_requests_tick(struct node *node, int64_t now_ms)
{
	struct leader_request *ask, *next;

	for (ask = TAILQ_FIRST(&node->leader_requests); ask != NULL;
	     ask = next) {
		next = TAILQ_NEXT(ask, link);
		if (ask->dead)
			continue;
		if (now_ms >= ask->deadline_ms - DEADLINE_MARGIN_MS) {
			expire(ask);
			continue;
		}
		if (now_ms >= ask->resend_ms)
			send_ask(ask, now_ms);
	}
	TAILQ_FOREACH (ask, &node->leader_requests, link) {
		if (!ask->dead && ask->kind == LEADER_REQUEST_STATE &&
		    !ask->reading &&
		    now_ms - ask->created_ms >= STORE_AFTER_MS &&
		    now_ms >= ask->read_ms)
			read_store(ask);
	}
}

void
leader_requests_close(struct node *node)
{
	struct leader_request *ask, *next;

	for (ask = TAILQ_FIRST(&node->leader_requests); ask != NULL;
	     ask = next) {
		next = TAILQ_NEXT(ask, link);
		if (!ask->dead)
			expire(ask);
	}
}

static void
ask_or_refuse(struct node *node, enum leader_request_kind kind, const char *job,
    int64_t deadline_ms, node_replied *replied, void *ctx)
{
	struct node_reply reply;

	if (leader_request_new(node, kind, job, deadline_ms, replied, ctx) !=
	    NULL)
		return;
	memset(&reply, 0, sizeof(reply));
	reply.outcome = NODE_NOT_DONE;
	reply.retry_after_ms = NO_LEADER_RETRY_MS;
	reply.reason = "memory";
	replied(&reply, ctx);
}

void
node_state(struct node *node, const char *job, int64_t deadline_ms,
    node_replied *replied, void *ctx)
{
	ask_or_refuse(
	    node, LEADER_REQUEST_STATE, job, deadline_ms, replied, ctx);
}

void
node_cancel(struct node *node, const char *job, int64_t deadline_ms,
    node_replied *replied, void *ctx)
{
	ask_or_refuse(
	    node, LEADER_REQUEST_CANCEL, job, deadline_ms, replied, ctx);
}
