#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node_int.h"

/*
 * Storing of new jobs.  Each is written with create-if-absent, several jobs to
 * a transaction.  The caller is told that its job was accepted only after the
 * write, and that it was refused only if no write of it can have taken effect.
 * A write without an answer is repeated: whichever of the two takes effect
 * first makes the other fail its comparison.
 */

/* Each job takes two comparisons and one put of a transaction. */
#define JOBS_PER_WRITE (KV_TXN_MAX / 3)
/* Concurrent writes. */
#define WRITES_MAX 4
/* Delay after a write that certainly didn't take effect. */
#define RETRY_MS 100
/* The caller is answered this long before its deadline. */
#define DEADLINE_MARGIN_MS 150
/* For this long after a failed request, a new write would fail too. */
#define STORE_DOWN_MS 1500
/* A store without an answer for so long is silent; a slow one takes 300 ms. */
#define STORE_SILENT_MS 400
/* Retry-after time for callers while the store is unavailable. */
#define STORE_RETRY_AFTER_MS 1000
/* The same if there is no room for long-running jobs until others end. */
#define NO_ROOM_RETRY_AFTER_MS 3000
/*
 * Time limit for notifying the leader of a stored job.  The leader's watch on
 * the store reports it as well.
 */
#define NOTICE_TIMEOUT_MS 20000

struct new_job {
	TAILQ_ENTRY(new_job) link;
	struct accept *accept;
	char id[GRAPH_ID_MAX];
	char *text;
	size_t len;
	int64_t deadline_ms;
	int64_t retry_ms;
	bool outcome_unknown; /* a write of it may yet take effect */
	bool relayed; /* from another entry: not forwarded again */
	bool alone; /* written alone to find the job whose comparison failed */
	const char *refusal; /* why it can't be served now; NULL: it can */
	node_replied *replied; /* NULL: the caller has its answer */
	void *ctx;
};
TAILQ_HEAD(new_jobs, new_job);

struct accept_write {
	TAILQ_ENTRY(accept_write) link;
	struct accept *accept;
	struct new_jobs jobs;
};
TAILQ_HEAD(accept_writes, accept_write);

struct accept {
	struct node *node;
	struct new_jobs waiting;
	struct accept_writes in_flight;
	struct new_jobs reading; /* without room, looked up in the store */
	uint32_t writes; /* in flight */
	uint32_t reads; /* in flight */
	bool closed;
};

static void on_written(const struct kv_result *, void *);
static void on_job_read(const struct kv_result *, void *);
static void on_ended_read(const struct kv_result *, void *);

struct accept *
accept_open(struct node *node)
{
	struct accept *a;

	if ((a = calloc(1, sizeof(*a))) == NULL)
		return NULL;
	a->node = node;
	TAILQ_INIT(&a->waiting);
	TAILQ_INIT(&a->in_flight);
	TAILQ_INIT(&a->reading);
	return a;
}

bool
accept_idle(const struct accept *a)
{
	return a->writes == 0 && a->reads == 0 && TAILQ_EMPTY(&a->waiting);
}

static void
reply_to(struct new_job *job, enum node_outcome outcome, const char *reason,
    int64_t retry_after_ms)
{
	struct node_reply reply;
	node_replied *replied;

	if ((replied = job->replied) == NULL)
		return;
	job->replied = NULL;
	memset(&reply, 0, sizeof(reply));
	reply.outcome = outcome;
	reply.reason = reason;
	reply.retry_after_ms = retry_after_ms;
	if (outcome == NODE_NOT_DONE)
		counter_inc_reason("lagoonpin_job_refused", reason);
	replied(&reply, job->ctx);
}

static void
finish(struct new_job *job, enum node_outcome outcome, const char *reason,
    int64_t retry_after_ms)
{
	reply_to(job, outcome, reason, retry_after_ms);
	free(job->text);
	free(job);
}

/* The deadline has passed, or the job can't be stored. */
static void
fail(struct new_job *job, const char *reason)
{
	if (job->outcome_unknown)
		finish(job, NODE_NO_ANSWER, reason, 0);
	else
		finish(job, NODE_NOT_DONE, reason, STORE_RETRY_AFTER_MS);
}

static void
finish_accepted(struct accept *a, struct new_job *job, int64_t revision)
{
	struct leader_request *notice;
	int64_t now_ms;

	now_ms = clock_now_ms();
	notice = leader_request_new(a->node, LEADER_REQUEST_JOB, job->id,
	    now_ms + NOTICE_TIMEOUT_MS, NULL, NULL);
	if (notice != NULL) {
		/* If out of memory, the leader learns of it by its watch. */
		notice->body = job->text;
		notice->body_len = job->len;
		notice->revision = revision;
		job->text = NULL;
	}
	finish(job, NODE_ACCEPTED, "stored", 0);
	leader_requests_tick(a->node, now_ms);
}

/*
 * The store is down after a failure, and also while it is silent: a call to a
 * silent store fails only after a second, and until then the entry would accept
 * jobs that it can't store.
 */
static bool
store_is_down(const struct accept *a, int64_t now_ms)
{
	const struct kv_ops *kv;
	int64_t answered_ms, failed_ms, waiting_ms;

	kv = &a->node->opt.kv;
	answered_ms = kv->answered_ms(kv->self);
	failed_ms = kv->failed_ms(kv->self);
	waiting_ms = kv->waiting_ms(kv->self);
	if (failed_ms > answered_ms && now_ms - failed_ms < STORE_DOWN_MS)
		return true;
	return waiting_ms != 0 && waiting_ms > answered_ms &&
	    now_ms - waiting_ms >= STORE_SILENT_MS;
}

/*
 * The store is unavailable to this entry but may not be to others, so the
 * leader is asked to store the job.  A refusal by the leader is as reliable as
 * our own.  Returns false if the leader can't be asked.
 */
static bool
forward_to_leader(struct new_job *job)
{
	struct node *node;
	struct leader_request *request;

	node = job->accept->node;
	if (job->outcome_unknown || job->relayed || node->lead != NULL ||
	    node->elect.leader.id[0] == '\0' || !node->elect.leader_has_store)
		return false;
	request = leader_request_new(node, LEADER_REQUEST_STORE, job->id,
	    job->deadline_ms + DEADLINE_MARGIN_MS, job->replied, job->ctx);
	if (request == NULL)
		return false;
	counter_inc_reason("lagoonpin_job_relayed", "store");
	request->body = job->text;
	request->body_len = job->len;
	free(job);
	return true;
}

/*
 * A job without room may have been stored by an earlier request of the caller
 * that was not answered.  It will run then, so the store is read before the
 * job is refused.
 */
static void
read_key(struct new_job *job, const char *prefix, kv_done *done)
{
	const struct kv_ops *kv;
	char key[KEY_MAX];

	kv = &job->accept->node->opt.kv;
	snprintf(key, sizeof(key), "%s%s", prefix, job->id);
	job->accept->reads++;
	TAILQ_INSERT_TAIL(&job->accept->reading, job, link);
	kv->get(kv->self, key, done, job);
}

/* Free after accept_close() once the last store call has returned. */
static void
accept_release(struct accept *a)
{
	if (a->closed && a->writes == 0 && a->reads == 0)
		free(a);
}

static void
submit(struct accept *a, struct new_job *job)
{
	int64_t now_ms;

	now_ms = clock_now_ms();
	if (job->text == NULL) {
		fail(job, "memory");
		return;
	}
	if (store_is_down(a, now_ms)) {
		if (!forward_to_leader(job))
			fail(job, "store_down");
		return;
	}
	if (job->refusal != NULL) {
		read_key(job, KEY_JOB, on_job_read);
		return;
	}
	TAILQ_INSERT_TAIL(&a->waiting, job, link);
	accept_tick(a, now_ms);
}

/* The store has a record under KEY_ENDED for the job. */
static void
finish_ended(struct new_job *job, const struct kv_item *item)
{
	enum sched_job_state state;
	struct node *node;

	node = job->accept->node;
	switch (ended_read(node, item, &state)) {
	case ENDED_STATE:
		finish(job, NODE_ACCEPTED, "stored_before", 0);
		break;
	case ENDED_TOMBSTONE:
		/* Certain: an earlier write can't create it any more. */
		finish(job, NODE_NOT_DONE, "cancelled", node->opt.keep_ms);
		break;
	case ENDED_INVALID:
		fail(job, "store_refused");
		break;
	}
}

/*
 * Process the read of a key of a job without room.  Returns false if the job
 * has been handled: the read failed, or nobody waits for it any more.
 */
static bool
read_succeeded(struct new_job *job, const struct kv_result *result)
{
	struct accept *a;

	a = job->accept;
	a->reads--;
	TAILQ_REMOVE(&a->reading, job, link);
	if (a->closed)
		fail(job, "closing");
	else if (job->replied == NULL)
		fail(job, "store_slow");
	else if (result->error != KV_OK) {
		job->refusal = NULL;
		submit(a, job);
	} else
		return true;
	return false;
}

static void
refuse(struct new_job *job)
{
	finish(job, NODE_NOT_DONE, job->refusal, NO_ROOM_RETRY_AFTER_MS);
}

static void
on_job_read(const struct kv_result *result, void *ctx)
{
	struct new_job *job;
	struct accept *a;

	job = ctx;
	a = job->accept;
	if (read_succeeded(job, result)) {
		if (result->nitems > 0)
			finish(job, NODE_ACCEPTED, "stored_before", 0);
		else
			read_key(job, KEY_ENDED, on_ended_read);
	}
	accept_release(a);
}

static void
on_ended_read(const struct kv_result *result, void *ctx)
{
	struct new_job *job;
	struct accept *a;

	job = ctx;
	a = job->accept;
	if (read_succeeded(job, result)) {
		if (result->nitems > 0)
			finish_ended(job, &result->items[0]);
		else
			refuse(job);
	}
	accept_release(a);
}

static struct new_job *
job_new(struct accept *a, const char *id, int64_t deadline_ms,
    node_replied *replied, void *ctx)
{
	struct new_job *job;

	if ((job = calloc(1, sizeof(*job))) == NULL)
		return NULL;
	job->accept = a;
	strlcpy(job->id, id, sizeof(job->id));
	job->deadline_ms = deadline_ms - DEADLINE_MARGIN_MS;
	job->replied = replied;
	job->ctx = ctx;
	return job;
}

static void
reply_memory(node_replied *replied, void *ctx)
{
	replied(&(struct node_reply){ .outcome = NODE_NOT_DONE,
		    .retry_after_ms = STORE_RETRY_AFTER_MS,
		    .reason = "memory" },
	    ctx);
}

/* Why the job can't be served now; NULL: it can. */
static const char *
find_refusal(const struct node *node, const struct graph *graph)
{
	int64_t now_ms;

	now_ms = clock_now_ms();
	if (node_queue_shut(node, graph->queue, now_ms))
		return "closed";
	if (graph_lasts(graph) && node_queue_full(node, graph->queue, now_ms))
		return "no_room";
	return NULL;
}

void
node_submit(struct node *node, struct graph *graph, int64_t deadline_ms,
    node_replied *replied, void *ctx)
{
	struct new_job *job;

	job = job_new(node->accept, graph->id, deadline_ms, replied, ctx);
	if (job != NULL)
		job->refusal = find_refusal(node, graph);
	if (job != NULL)
		job->text = codec_graph(graph, &job->len);
	graph_free(graph);
	if (job != NULL)
		submit(node->accept, job);
	else
		reply_memory(replied, ctx);
}

void
accept_text(struct accept *a, const char *id, const char *text, size_t len,
    int64_t deadline_ms, node_replied *replied, void *ctx)
{
	struct new_job *job;

	if ((job = job_new(a, id, deadline_ms, replied, ctx)) == NULL) {
		reply_memory(replied, ctx);
		return;
	}
	job->relayed = true;
	job->text = strndup(text, len);
	job->len = len;
	submit(a, job);
}

/* Collect the jobs of the next write; returns false if none is due. */
static bool
collect_jobs(struct accept *a, struct accept_write *write, int64_t now_ms)
{
	struct new_job *job, *next;
	size_t n;

	n = 0;
	TAILQ_INIT(&write->jobs);
	for (job = TAILQ_FIRST(&a->waiting); job != NULL; job = next) {
		next = TAILQ_NEXT(job, link);
		if (job->retry_ms > now_ms || n == JOBS_PER_WRITE ||
		    (job->alone && n > 0))
			continue;
		TAILQ_REMOVE(&a->waiting, job, link);
		TAILQ_INSERT_TAIL(&write->jobs, job, link);
		n++;
		if (job->alone)
			break;
	}
	return n > 0;
}

static void
send_write(struct accept *a, struct accept_write *write)
{
	char keys[JOBS_PER_WRITE][2][KEY_MAX];
	struct kv_compare compares[2 * JOBS_PER_WRITE];
	struct kv_put puts[JOBS_PER_WRITE];
	struct kv_txn txn;
	struct new_job *job;
	size_t n;

	n = 0;
	TAILQ_FOREACH (job, &write->jobs, link) {
		snprintf(keys[n][0], KEY_MAX, KEY_JOB "%s", job->id);
		snprintf(keys[n][1], KEY_MAX, KEY_ENDED "%s", job->id);
		compares[2 * n].key = keys[n][0];
		compares[2 * n].revision = 0;
		compares[2 * n + 1].key = keys[n][1];
		compares[2 * n + 1].revision = 0;
		puts[n].key = keys[n][0];
		puts[n].value = job->text;
		puts[n].len = job->len;
		n++;
	}
	memset(&txn, 0, sizeof(txn));
	txn.compares = compares;
	txn.ncompares = 2 * n;
	txn.puts = puts;
	txn.nputs = n;
	a->writes++;
	TAILQ_INSERT_TAIL(&a->in_flight, write, link);
	a->node->opt.kv.txn(a->node->opt.kv.self, &txn, on_written, write);
}

/*
 * Answers callers whose deadline comes while the write of their job is under
 * way, or a read that shows whether an earlier request has stored it.  The job
 * may yet run, so they aren't told that it failed.
 */
static void
answer_in_flight(struct accept *a, int64_t now_ms)
{
	struct accept_write *write;
	struct new_job *job;

	TAILQ_FOREACH (write, &a->in_flight, link) {
		TAILQ_FOREACH (job, &write->jobs, link) {
			if (now_ms >= job->deadline_ms)
				reply_to(job, NODE_NO_ANSWER, "store_slow", 0);
		}
	}
	TAILQ_FOREACH (job, &a->reading, link) {
		if (now_ms >= job->deadline_ms)
			reply_to(job, NODE_NO_ANSWER, "store_slow", 0);
	}
}

void
accept_tick(struct accept *a, int64_t now_ms)
{
	struct accept_write *write;
	struct new_job *job, *next;

	answer_in_flight(a, now_ms);
	for (job = TAILQ_FIRST(&a->waiting); job != NULL; job = next) {
		next = TAILQ_NEXT(job, link);
		if (now_ms < job->deadline_ms)
			continue;
		TAILQ_REMOVE(&a->waiting, job, link);
		fail(job, "store_slow");
	}
	while (a->writes < WRITES_MAX && !TAILQ_EMPTY(&a->waiting)) {
		if ((write = calloc(1, sizeof(*write))) == NULL)
			return;
		write->accept = a;
		if (!collect_jobs(a, write, now_ms)) {
			free(write);
			return;
		}
		send_write(a, write);
	}
}

static void
retry(struct accept *a, struct new_job *job, int64_t delay_ms)
{
	int64_t now_ms;

	now_ms = clock_now_ms();
	if (a->closed || job->replied == NULL ||
	    now_ms + delay_ms >= job->deadline_ms) {
		fail(job, "store_slow");
		return;
	}
	job->retry_ms = now_ms + delay_ms;
	TAILQ_INSERT_TAIL(&a->waiting, job, link);
}

/* A key of this job exists, or of another one in the same write. */
static void
handle_conflict(
    struct accept *a, struct new_job *job, const struct kv_result *result)
{
	const struct kv_item *ended;

	if (job_record_compared(result, KEY_JOB, job->id) != NULL) {
		finish(job, NODE_ACCEPTED, "stored_before", 0);
		return;
	}
	ended = job_record_compared(result, KEY_ENDED, job->id);
	if (ended != NULL) {
		finish_ended(job, ended);
		return;
	}
	job->alone = true;
	retry(a, job, 0);
}

static void
handle_result(
    struct accept *a, struct new_job *job, const struct kv_result *result)
{
	switch (result->error) {
	case KV_OK:
		finish_accepted(a, job, result->revision);
		break;
	case KV_CONFLICT:
		handle_conflict(a, job, result);
		break;
	case KV_UNKNOWN:
		job->outcome_unknown = true;
		retry(a, job, 0);
		break;
	case KV_UNAVAILABLE:
		if (a->closed || job->replied == NULL ||
		    !forward_to_leader(job))
			retry(a, job, RETRY_MS);
		break;
	case KV_COMPACTED:
	case KV_REFUSED:
		fail(job, "store_refused");
		break;
	}
}

static void
on_written(const struct kv_result *result, void *ctx)
{
	struct accept_write *write;
	struct new_job *job;
	struct accept *a;

	write = ctx;
	a = write->accept;
	a->writes--;
	TAILQ_REMOVE(&a->in_flight, write, link);
	while ((job = TAILQ_FIRST(&write->jobs)) != NULL) {
		TAILQ_REMOVE(&write->jobs, job, link);
		handle_result(a, job, result);
	}
	free(write);
	if (!a->closed)
		accept_tick(a, clock_now_ms());
	accept_release(a);
}

void
accept_close(struct accept *a)
{
	struct new_job *job;

	while ((job = TAILQ_FIRST(&a->waiting)) != NULL) {
		TAILQ_REMOVE(&a->waiting, job, link);
		fail(job, "closing");
	}
	a->closed = true;
	accept_release(a);
}
