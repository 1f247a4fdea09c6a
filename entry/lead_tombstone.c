#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "lead_int.h"
#include "log.h"

/*
 * Tombstones: records of jobs that were cancelled while the store didn't have
 * them.
 *
 * That the store doesn't have a job says nothing of the next moment: the write
 * that creates it may get no answer and be carried out seconds later, and the
 * job would then run although its cancel was acknowledged.  The write requires
 * that there is no record under KEY_ENDED (accept.c), so the leader makes one
 * before the cancel is acknowledged.  A tombstone is written only if the store
 * has neither key of the job.  So either the job is created first, and the
 * cancel finds it, or it can't be created any more.
 *
 * A tombstone is kept like the record of an ended job, and isn't shown to
 * callers.  An absent mark of the scheduler stands for it until then; those of
 * a former leader are swept.
 */

/* Each takes two comparisons and one put; one compares the leader record. */
#define BATCH_MAX ((KV_TXN_MAX - 1) / 3)
/* Interval of writes, for cancels of unknown jobs in great number. */
#define BATCH_MS 15
/* Absent marks and waiting requests; more are refused until some expire. */
#define TOMBSTONES_MAX 8192

struct tombstone_request {
	TAILQ_ENTRY(tombstone_request) link;
	char job[GRAPH_ID_MAX];
	tombstone_done *done;
	void *ctx;
};

struct tombstone_write {
	struct lead *lead;
	int64_t sent_ms;
	struct tombstone_requests requests;
};

static void
request_finish(struct tombstone_request *request, enum tombstone_result result)
{
	request->done(result, NULL, request->ctx);
	free(request);
}

void
tombstone_add(struct lead *l, const char *job, tombstone_done *done, void *ctx)
{
	struct tombstone_request *request;

	if (l->sched->nabsent + l->ntombstones >= TOMBSTONES_MAX ||
	    (request = calloc(1, sizeof(*request))) == NULL) {
		done(TOMBSTONE_FULL, NULL, ctx);
		return;
	}
	strlcpy(request->job, job, sizeof(request->job));
	request->done = done;
	request->ctx = ctx;
	TAILQ_INSERT_TAIL(&l->tombstones, request, link);
	l->ntombstones++;
	lead_wakeup(l);
}

static const struct tombstone_request *
find_request(const struct tombstone_requests *requests, const char *job)
{
	const struct tombstone_request *request;

	TAILQ_FOREACH (request, requests, link) {
		if (strcmp(request->job, job) == 0)
			return request;
	}
	return NULL;
}

/* Moves the requests of the next write, each of another job, to it. */
static void
collect(struct lead *l, struct tombstone_write *write)
{
	struct tombstone_request *request, *next;
	size_t n;

	n = 0;
	for (request = TAILQ_FIRST(&l->tombstones);
	     request != NULL && n < BATCH_MAX; request = next) {
		next = TAILQ_NEXT(request, link);
		if (find_request(&write->requests, request->job) != NULL)
			continue;
		TAILQ_REMOVE(&l->tombstones, request, link);
		l->ntombstones--;
		TAILQ_INSERT_TAIL(&write->requests, request, link);
		n++;
	}
}

static const struct kv_item *
find_item(
    const struct tombstone_request *request, const struct kv_result *result)
{
	const struct kv_item *item;

	item = job_record_compared(result, KEY_JOB, request->job);
	if (item == NULL)
		item = job_record_compared(result, KEY_ENDED, request->job);
	return item;
}

/* Another job of the write has an item: this one is written again. */
static void
add_again(struct lead *l, struct tombstone_request *request)
{
	TAILQ_INSERT_TAIL(&l->tombstones, request, link);
	l->ntombstones++;
}

static void
handle_conflict(struct lead *l, struct tombstone_request *request,
    const struct kv_result *result)
{
	const struct kv_item *item;

	if ((item = find_item(request, result)) == NULL) {
		add_again(l, request);
		return;
	}
	request->done(TOMBSTONE_FOUND, item, request->ctx);
	free(request);
}

static void
handle_result(struct lead *l, struct tombstone_request *request,
    const struct kv_result *result)
{
	switch (result->error) {
	case KV_OK:
		sched_job_add_absent(l->sched, request->job, clock_now_ms());
		counter_inc("lagoonpin_tombstones", "");
		log_info("tombstone_written", "job=%s", request->job);
		request_finish(request, TOMBSTONE_WRITTEN);
		break;
	case KV_CONFLICT:
		handle_conflict(l, request, result);
		break;
	default:
		request_finish(request, TOMBSTONE_FAILED);
		break;
	}
}

static void
on_written(const struct kv_result *result, void *ctx)
{
	struct tombstone_request *request;
	struct tombstone_write *write;
	struct lead *l;
	bool leads;

	write = ctx;
	l = write->lead;
	leads = save_handle_result(l, result, write->sent_ms);
	if (leads)
		l->tombstones_in_flight = false;
	while ((request = TAILQ_FIRST(&write->requests)) != NULL) {
		TAILQ_REMOVE(&write->requests, request, link);
		if (leads)
			handle_result(l, request, result);
		else
			request_finish(request, TOMBSTONE_FAILED);
	}
	free(write);
	lead_unref(l);
}

static void
send_write(
    struct lead *l, struct tombstone_write *write, const char *text, size_t len)
{
	char keys[BATCH_MAX][2][KEY_MAX];
	struct kv_compare compares[1 + 2 * BATCH_MAX];
	struct kv_put puts[BATCH_MAX];
	struct tombstone_request *request;
	struct kv_txn txn;
	size_t n;

	n = 0;
	save_compare_leader(l, &compares[0]);
	TAILQ_FOREACH (request, &write->requests, link) {
		snprintf(keys[n][0], KEY_MAX, KEY_JOB "%s", request->job);
		snprintf(keys[n][1], KEY_MAX, KEY_ENDED "%s", request->job);
		compares[1 + 2 * n].key = keys[n][0];
		compares[1 + 2 * n].revision = 0;
		compares[2 + 2 * n].key = keys[n][1];
		compares[2 + 2 * n].revision = 0;
		puts[n].key = keys[n][1];
		puts[n].value = text;
		puts[n].len = len;
		n++;
	}
	memset(&txn, 0, sizeof(txn));
	txn.compares = compares;
	txn.ncompares = 1 + 2 * n;
	txn.puts = puts;
	txn.nputs = n;
	l->tombstones_in_flight = true;
	lead_ref(l);
	l->node->opt.kv.txn(l->node->opt.kv.self, &txn, on_written, write);
}

void
tombstone_tick(struct lead *l, int64_t now_ms)
{
	struct tombstone_write *write;
	char *text;
	size_t len;

	if (l->tombstones_in_flight || TAILQ_EMPTY(&l->tombstones) ||
	    now_ms < l->tombstones_ms)
		return;
	if ((write = calloc(1, sizeof(*write))) == NULL)
		return;
	if ((text = codec_tombstone(clock_wall_ms(), &len)) == NULL) {
		free(write);
		return;
	}
	write->lead = l;
	write->sent_ms = now_ms;
	TAILQ_INIT(&write->requests);
	collect(l, write);
	l->tombstones_ms = now_ms + BATCH_MS;
	send_write(l, write, text, len);
	free(text);
}

void
tombstone_close(struct lead *l)
{
	struct tombstone_request *request;

	while ((request = TAILQ_FIRST(&l->tombstones)) != NULL) {
		TAILQ_REMOVE(&l->tombstones, request, link);
		request_finish(request, TOMBSTONE_FAILED);
	}
	l->ntombstones = 0;
}
