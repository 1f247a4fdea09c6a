#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "lead_int.h"
#include "log.h"

/*
 * Requests about jobs, from callers through the entries and from workers that
 * list a job: answered from the state of the scheduler, or from the store.
 */

/* Time limit of storing a job for an entry that can't reach the store. */
#define STORE_REQUEST_MS 1200
/* Retry-after time for cancels of unknown jobs while there are too many. */
#define FULL_RETRY_AFTER_MS 5000

/* Finds a job, but not a mark that there is none. */
static struct sched_job *
known_job(struct lead *l, const char *id)
{
	struct sched_job *job;

	job = sched_job_find(l->sched, id);
	return job != NULL && job->absent ? NULL : job;
}

struct lookup {
	struct lead *lead;
	enum leader_request_kind kind;
	char job[GRAPH_ID_MAX];
	struct exchange_id id;
	char from[ELECT_ID_MAX];
	bool worker_asks; /* a worker lists the job */
	bool occupied; /* one of its keys has an item, which is no job */
	lead_answered *answered;
	void *ctx;
};

static void
answer(const struct lookup *lookup, enum node_outcome outcome,
    enum sched_job_state state)
{
	struct node_reply reply;

	memset(&reply, 0, sizeof(reply));
	reply.outcome = outcome;
	reply.state = state;
	reply.reason = "leader";
	lookup->answered(&reply, &lookup->id, lookup->from, lookup->ctx);
}

/* Answers once the current state of the job is saved. */
static void
answer_saved(const struct lookup *lookup, const struct sched_job *job)
{
	struct pending_reply *pending;

	if (job->saved >= job->change) {
		answer(lookup, NODE_CANCELLED, job->state);
		return;
	}
	if ((pending = calloc(1, sizeof(*pending))) == NULL)
		return; /* the entry repeats the request */
	strlcpy(pending->job, job->id, sizeof(pending->job));
	pending->change = job->change;
	pending->reply.outcome = NODE_CANCELLED;
	pending->reply.state = job->state;
	pending->reply.reason = "leader";
	pending->id = lookup->id;
	strlcpy(pending->from, lookup->from, sizeof(pending->from));
	pending->answered = lookup->answered;
	pending->ctx = lookup->ctx;
	TAILQ_INSERT_TAIL(&lookup->lead->pending_replies, pending, link);
}

static void
answer_known(const struct lookup *lookup, struct sched_job *job)
{
	struct lead *l;

	l = lookup->lead;
	if (lookup->kind == LEADER_REQUEST_STATE) {
		answer(lookup, NODE_STATE, sched_job_visible_state(job));
		return;
	}
	if (lookup->kind == LEADER_REQUEST_JOB) {
		answer(lookup, NODE_ACCEPTED, job->state);
		return;
	}
	if (!job->in_ended)
		log_info("job_cancelled", "job=%s", job->id);
	sched_job_cancel(l->sched, job, clock_now_ms());
	answer_saved(lookup, job);
	lead_wakeup(l);
}

static void
forget_unknown(struct lead *l, const char *id)
{
	struct unknown_job *unknown;

	LIST_FOREACH (unknown, &l->unknown_jobs, link) {
		if (strcmp(unknown->id, id) == 0) {
			LIST_REMOVE(unknown, link);
			free(unknown);
			return;
		}
	}
}

static void
lookup_end(struct lookup *lookup)
{
	if (lookup->worker_asks && !lookup->lead->closed)
		forget_unknown(lookup->lead, lookup->job);
	lead_unref(lookup->lead);
	free(lookup);
}

static void
answer_unknown(const struct lookup *lookup)
{
	answer(lookup, NODE_UNKNOWN_JOB, JOB_QUEUED);
}

static void
answer_full(const struct lookup *lookup)
{
	struct node_reply reply;

	memset(&reply, 0, sizeof(reply));
	reply.outcome = NODE_NOT_DONE;
	reply.retry_after_ms = FULL_RETRY_AFTER_MS;
	reply.reason = "tombstones_full";
	counter_inc_reason("lagoonpin_cancel_refused", reply.reason);
	lookup->answered(&reply, &lookup->id, lookup->from, lookup->ctx);
}

/* Returns false if the item under KEY_JOB is no job. */
static bool
answer_job(const struct lookup *lookup, const struct kv_item *item)
{
	struct sched_job *job;
	struct lead *l;

	l = lookup->lead;
	if ((job = known_job(l, lookup->job)) == NULL)
		job = lead_add_stored_job(l, item, false);
	if (job == NULL)
		return false;
	answer_known(lookup, job);
	lead_wakeup(l);
	return true;
}

/* Returns false if the item under KEY_ENDED is no end. */
static bool
answer_ended(const struct lookup *lookup, const struct kv_item *item)
{
	enum sched_job_state state;
	struct sched_job *job;
	struct lead *l;

	l = lookup->lead;
	if (ended_read(l->node, item, &state) != ENDED_STATE)
		return false;
	job = known_job(l, lookup->job);
	if (job == NULL)
		job = sched_job_add_ended(
		    l->sched, lookup->job, state, clock_now_ms());
	if (job != NULL)
		answer_known(lookup, job);
	return true;
}

/* The read found nothing, and the write that followed did: it is newer. */
static void
answer_found(const struct lookup *lookup, const struct kv_item *item)
{
	bool answered;

	if (strncmp(item->key, KEY_JOB, strlen(KEY_JOB)) == 0)
		answered = answer_job(lookup, item);
	else
		answered = answer_ended(lookup, item);
	if (!answered)
		answer_unknown(lookup);
}

static void
on_tombstone(
    enum tombstone_result result, const struct kv_item *found, void *ctx)
{
	struct lookup *lookup;

	lookup = ctx;
	switch (result) {
	case TOMBSTONE_WRITTEN:
		answer_unknown(lookup);
		break;
	case TOMBSTONE_FOUND:
		answer_found(lookup, found);
		break;
	case TOMBSTONE_FULL:
		answer_full(lookup);
		break;
	case TOMBSTONE_FAILED:
		break; /* the entry repeats the request */
	}
	lookup_end(lookup);
}

/* The store has no job: nothing, a tombstone, or items of other writers. */
static void
handle_absent(struct lookup *lookup)
{
	struct lead *l;

	l = lookup->lead;
	if (lookup->worker_asks &&
	    sched_job_find(l->sched, lookup->job) == NULL)
		sched_job_add_absent(l->sched, lookup->job, clock_now_ms());
	if (lookup->kind == LEADER_REQUEST_CANCEL && !lookup->occupied) {
		tombstone_add(l, lookup->job, on_tombstone, lookup);
		return;
	}
	answer_unknown(lookup);
	lookup_end(lookup);
}

static void
on_ended_read(const struct kv_result *result, void *ctx)
{
	struct lookup *lookup;

	lookup = ctx;
	/* Without an answer the entry repeats the request. */
	if (lookup->lead->closed || result->error != KV_OK) {
		lookup_end(lookup);
		return;
	}
	if (result->nitems > 0) {
		lookup->occupied = true;
		if (answer_ended(lookup, &result->items[0])) {
			lookup_end(lookup);
			return;
		}
	}
	handle_absent(lookup);
}

static void
on_job_read(const struct kv_result *result, void *ctx)
{
	struct lookup *lookup;
	struct sched_job *job;
	char key[KEY_MAX];
	struct lead *l;

	lookup = ctx;
	l = lookup->lead;
	if (l->closed || result->error != KV_OK) {
		lookup_end(lookup);
		return;
	}
	if ((job = known_job(l, lookup->job)) != NULL) {
		answer_known(lookup, job);
		lookup_end(lookup);
		return;
	}
	if (result->nitems > 0) {
		lookup->occupied = true;
		if (answer_job(lookup, &result->items[0])) {
			lookup_end(lookup);
			return;
		}
	}
	snprintf(key, sizeof(key), KEY_ENDED "%s", lookup->job);
	l->node->opt.kv.get(l->node->opt.kv.self, key, on_ended_read, lookup);
}

/*
 * A job unknown here may just have been accepted by another entry.  The lookup
 * holds a reference to the lead.
 */
static void
look_up(struct lookup *lookup)
{
	char key[KEY_MAX];
	struct lead *l;

	l = lookup->lead;
	snprintf(key, sizeof(key), KEY_JOB "%s", lookup->job);
	l->node->opt.kv.get(l->node->opt.kv.self, key, on_job_read, lookup);
}

/* A job to be stored for an entry that can't reach the store. */
struct store_request {
	struct lead *lead;
	struct exchange_id id;
	char from[ELECT_ID_MAX];
	lead_answered *answered;
	void *ctx;
};

static void
on_stored(const struct node_reply *reply, void *ctx)
{
	struct store_request *request;

	request = ctx;
	if (!request->lead->closed)
		request->answered(
		    reply, &request->id, request->from, request->ctx);
	lead_unref(request->lead);
	free(request);
}

static void
store_job(struct lead *l, const char *job, const struct stored_job *stored,
    const struct exchange_id *id, const char *from, lead_answered *answered,
    void *ctx)
{
	struct store_request *request;

	if (stored == NULL || stored->text == NULL ||
	    (request = calloc(1, sizeof(*request))) == NULL)
		return; /* the entry repeats the request */
	request->lead = l;
	request->id = *id;
	strlcpy(request->from, from, sizeof(request->from));
	request->answered = answered;
	request->ctx = ctx;
	lead_ref(l);
	accept_text(l->node->accept, job, stored->text, stored->len,
	    clock_now_ms() + STORE_REQUEST_MS, on_stored, request);
}

/*
 * A job stored after this term began can't have ended under a former leader,
 * whose writes fail since then; so its text can be used directly.  A job stored
 * earlier that isn't known has ended: the store has its final state.
 */
static bool
is_new(const struct lead *l, const struct stored_job *stored)
{
	return stored != NULL && stored->text != NULL &&
	    stored->revision > l->node->elect.leader.revision;
}

static void
on_unknown_answered(const struct node_reply *reply,
    const struct exchange_id *id, const char *from, void *ctx)
{
	(void)reply;
	(void)id;
	(void)from;
	(void)ctx;
}

void
lead_unknown_job(struct sched *s, const char *id, void *ctx)
{
	struct unknown_job *unknown;
	struct lookup *lookup;
	struct lead *l;

	(void)s;
	l = ctx;
	LIST_FOREACH (unknown, &l->unknown_jobs, link) {
		if (strcmp(unknown->id, id) == 0)
			return;
	}
	unknown = calloc(1, sizeof(*unknown));
	lookup = calloc(1, sizeof(*lookup));
	if (unknown == NULL || lookup == NULL) {
		free(unknown);
		free(lookup);
		return; /* repeated after the worker's next answer */
	}
	log_info("job_unknown", "job=%s", id);
	strlcpy(unknown->id, id, sizeof(unknown->id));
	LIST_INSERT_HEAD(&l->unknown_jobs, unknown, link);
	lead_ref(l);
	lookup->lead = l;
	lookup->kind = LEADER_REQUEST_STATE;
	strlcpy(lookup->job, id, sizeof(lookup->job));
	lookup->worker_asks = true;
	lookup->answered = on_unknown_answered;
	look_up(lookup);
}

void
lead_request(struct lead *l, enum leader_request_kind kind, const char *name,
    const struct stored_job *stored, const struct exchange_id *id,
    const char *from, lead_answered *answered, void *ctx)
{
	struct lookup *lookup, local;
	struct sched_job *job;

	if (!l->ready)
		return; /* the entry repeats the request */
	if (kind == LEADER_REQUEST_STORE) {
		store_job(l, name, stored, id, from, answered, ctx);
		return;
	}
	memset(&local, 0, sizeof(local));
	local.lead = l;
	local.kind = kind;
	strlcpy(local.job, name, sizeof(local.job));
	local.id = *id;
	strlcpy(local.from, from, sizeof(local.from));
	local.answered = answered;
	local.ctx = ctx;
	job = known_job(l, name);
	if (job == NULL && kind == LEADER_REQUEST_JOB && is_new(l, stored)) {
		job = lead_add_job(l, name, stored, false);
		lead_wakeup(l);
	}
	if (job != NULL) {
		answer_known(&local, job);
		return;
	}
	if ((lookup = malloc(sizeof(*lookup))) == NULL)
		return;
	*lookup = local;
	lead_ref(l);
	look_up(lookup);
}
