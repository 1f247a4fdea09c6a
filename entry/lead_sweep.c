#include <string.h>

#include "clock.h"
#include "counter.h"
#include "lead_int.h"
#include "log.h"

/*
 * Removes the records of ended jobs (KEY_ENDED) that former leaders left.  A
 * leader removes the records of the jobs that it saw end, once they expire;
 * nobody else removes those of jobs that ended under an earlier leader.  They
 * do no harm at first, but each term leaves a record for each job that hadn't
 * expired yet, and after weeks the store is full and no job can be submitted
 * any more.
 *
 * So the leader reads all records, a page at a time, and removes those of jobs
 * that ended longer ago than the keep time.  A record has the time of the end
 * by the wall clock of the leader that wrote it, so that it is also removed if
 * all terms are shorter than the keep time.  Jobs that this leader knows, or
 * that have expired and wait for removal, are skipped.  All other records are
 * older than the term, or of jobs that the leader has known for the keep time.
 * So a record without a time (an earlier version wrote it, or it is damaged) or
 * with a time in the future is taken for as old as the term, by the monotonic
 * clock.
 *
 * No record is removed too early.  The time is taken when the record is
 * written, before anybody can see the end.  The write may take effect some
 * seconds later, the clocks of two entries differ by seconds, and a former
 * leader may report an end for LEAD_FORMER_MS after it was replaced;
 * SWEEP_MARGIN_MS is several times the sum.  Each removal is conditional on the
 * leader record, like all writes of the leader, so that a late one removes
 * nothing in the term of the next leader.
 *
 * While the record exists, a repeated submission doesn't create the job again
 * (accept.c).  None comes after its removal: a caller repeats a submission
 * until the job is acknowledged, and asks for a job no longer than the keep
 * time after its end; an entry repeats the write only until the caller's
 * deadline, and a write that is under way then takes effect within seconds,
 * which the margin covers.  Removal of expired jobs (save_job_expired) relies
 * on the same.
 *
 * All of this holds for tombstones (lead_tombstone.c), with the time at which
 * they were written in place of the end: the submissions that they hold off
 * were sent before the cancel, and the leader that wrote one has an absent mark
 * of its job for the keep time.
 */

/* Clocks of entries differ by seconds and may step; a late write adds some. */
#define SWEEP_MARGIN_MS 60000
/* A read and a write each 3 s are a small load beside the heartbeat key. */
#define SWEEP_PAGE_INTERVAL_MS 3000
/* Between two sweeps: half of the margin, by which removal is late anyway. */
#define SWEEP_INTERVAL_MS 30000
/* One entry of the transaction compares the leader record. */
#define SWEEP_BATCH 30

_Static_assert(
    SWEEP_BATCH + 1 <= KV_TXN_MAX, "SWEEP_BATCH exceeds a transaction");

static bool
is_expired(const struct lead *l, const char *job)
{
	size_t i;

	for (i = 0; i < l->nexpired_jobs; i++) {
		if (strcmp(l->expired_jobs[i], job) == 0)
			return true;
	}
	return false;
}

/* Time since the job's end. */
static int64_t
record_age(const struct lead *l, const struct kv_item *item, int64_t now_ms)
{
	int64_t ended_ms, wall_ms;

	ended_ms = codec_read_ended_ms(item->value, item->len);
	wall_ms = clock_wall_ms();
	if (ended_ms == 0 || ended_ms > wall_ms + SWEEP_MARGIN_MS)
		return now_ms - l->opened_ms;
	return wall_ms - ended_ms;
}

static bool
is_removable(const struct lead *l, const struct kv_item *item, int64_t now_ms)
{
	const char *job;

	if (item->value == NULL)
		return false;
	job = item->key + strlen(KEY_ENDED);
	if (sched_job_find(l->sched, job) != NULL || is_expired(l, job))
		return false;
	return record_age(l, item, now_ms) >=
	    l->node->opt.keep_ms + SWEEP_MARGIN_MS;
}

static void
sweep_end(struct sweep *sweep, int64_t now_ms)
{
	if (sweep->removed > 0)
		log_info("records_swept", "removed=%llu",
		    (unsigned long long)sweep->removed);
	sweep->removed = 0;
	sweep->next_ms = now_ms + SWEEP_INTERVAL_MS;
}

/* After a failure the same page is read again. */
static void
page_end(struct lead *l, bool done)
{
	struct sweep *sweep;
	int64_t now_ms;

	sweep = &l->sweep;
	now_ms = clock_now_ms();
	sweep->in_flight = false;
	sweep->next_ms = now_ms + SWEEP_PAGE_INTERVAL_MS;
	if (!done)
		return;
	strlcpy(sweep->after, sweep->next_after, sizeof(sweep->after));
	if (sweep->after[0] == '\0')
		sweep_end(sweep, now_ms);
}

static void
on_removed(const struct kv_result *result, void *ctx)
{
	struct sweep *sweep;
	struct lead *l;

	l = ctx;
	sweep = &l->sweep;
	if (save_handle_result(l, result, sweep->sent_ms)) {
		if (result->error == KV_OK) {
			sweep->removed += sweep->n;
			counter_add(counter_get("lagoonpin_records_swept", ""),
			    sweep->n);
		}
		page_end(l, result->error == KV_OK);
	}
	lead_unref(l);
}

static void
remove_records(struct lead *l, const char *const *removes)
{
	struct kv_compare compare;
	struct kv_txn txn;

	memset(&txn, 0, sizeof(txn));
	save_compare_leader(l, &compare);
	txn.compares = &compare;
	txn.ncompares = 1;
	txn.removes = removes;
	txn.nremoves = l->sweep.n;
	l->sweep.sent_ms = clock_now_ms();
	lead_ref(l);
	l->node->opt.kv.txn(l->node->opt.kv.self, &txn, on_removed, l);
}

/*
 * Selects records to be removed, as many as fit into one write; the next page
 * starts after the last record that was examined.
 */
static void
select_records(
    struct lead *l, const struct kv_result *result, const char **removes)
{
	struct sweep *sweep;
	int64_t now_ms;
	size_t i;

	sweep = &l->sweep;
	sweep->n = 0;
	now_ms = clock_now_ms();
	for (i = 0; i < result->nitems && sweep->n < SWEEP_BATCH; i++) {
		if (is_removable(l, &result->items[i], now_ms))
			removes[sweep->n++] = result->items[i].key;
	}
	sweep->next_after[0] = '\0';
	if (i > 0 && (i < result->nitems || result->more))
		strlcpy(sweep->next_after, result->items[i - 1].key,
		    sizeof(sweep->next_after));
}

static void
on_page(const struct kv_result *result, void *ctx)
{
	const char *removes[SWEEP_BATCH];
	struct lead *l;

	l = ctx;
	if (l->closed)
		goto out;
	if (result->error != KV_OK) {
		page_end(l, false);
		goto out;
	}
	select_records(l, result, removes);
	if (l->sweep.n > 0)
		remove_records(l, removes);
	else
		page_end(l, true);
out:
	lead_unref(l);
}

static void
read_page(struct lead *l)
{
	const struct kv_ops *kv;
	const char *after;

	kv = &l->node->opt.kv;
	after = l->sweep.after[0] != '\0' ? l->sweep.after : NULL;
	l->sweep.in_flight = true;
	lead_ref(l);
	kv->range(kv->self, KEY_ENDED, after, on_page, l);
}

void
sweep_tick(struct lead *l, int64_t now_ms)
{
	if (l->closed || !l->ready || l->sweep.in_flight)
		return;
	/* A new leader has more urgent reads. */
	if (now_ms < l->opened_ms + SWEEP_PAGE_INTERVAL_MS ||
	    now_ms < l->sweep.next_ms)
		return;
	if (!lead_has_store(l, now_ms) || now_ms < l->save_retry_ms)
		return;
	read_page(l);
}
