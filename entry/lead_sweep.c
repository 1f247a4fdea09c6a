#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "lead_int.h"

/*
 * Records of ended jobs (KEY_ENDED) that former leaders left.  A leader
 * forgets the jobs that it saw end, and removes their records then; those of
 * jobs that ended under an earlier one nobody else removes.  Nothing fails by
 * that at once: the store grows, from each term by a record for each job that
 * its leader hadn't forgotten yet, and fills up over weeks; then no job can be
 * handed in any more.
 *
 * So the leader goes through all records, a page now and then, and removes
 * those whose jobs ended longer ago than they must be known.  The record says
 * when that was, by the wall clock of the leader that wrote it, so that terms
 * shorter than the keep time do no harm.  Jobs that this leader knows, or is
 * forgetting, are left to it.  All other records are older than the term, or
 * of jobs that it has known for the keep time.  So one that names no time (an
 * earlier version wrote it, or it is damaged), or one that hasn't come yet, is
 * taken for as old as the term, by a clock that doesn't step.
 *
 * Nothing is removed too early: the time is taken as the record is written,
 * before anybody can see the end.  The write may be done some seconds later,
 * the clocks of two entries differ by seconds, and a former leader may show an
 * end for LEAD_FORMER_MS after it was replaced; SWEEP_MARGIN_MS is several
 * times the sum.  Each removal is conditional on the leader's record, like all
 * writes of the leader, so one that is done late removes nothing of a next
 * term's.
 *
 * While there is a record, a repeat of the hand-in doesn't create the job
 * again (accept.c).  None comes after it: a caller repeats until it was told
 * that its job is taken, and asks for a job no longer than the keep time after
 * its end; an entry repeats the write only until the caller's deadline, and
 * one that is under way then is done within seconds, which the margin holds.
 * Forgetting (save_forget) relies on the same.
 */

/* Clocks of entries differ by seconds and may step; a late write adds some. */
#define SWEEP_MARGIN_MS 60000
/* Between pages: a read and a write in 3 s are little beside the pulse. */
#define SWEEP_PAUSE_MS 3000
/* From the end of a sweep to the next: half of the margin that holds anyway. */
#define SWEEP_EVERY_MS 30000
/* One entry of a write is the leader's record. */
#define SWEEP_BATCH 30

_Static_assert(SWEEP_BATCH + 1 <= KV_TXN_MAX, "a write holds no more");

static bool
is_forgotten(const struct lead *l, const char *job)
{
	size_t i;

	for (i = 0; i < l->nforget; i++) {
		if (strcmp(l->forget[i], job) == 0)
			return true;
	}
	return false;
}

/* How long the job's end has been known. */
static int64_t
age_of(const struct lead *l, const struct kv_item *item, int64_t now_ms)
{
	int64_t ended_ms, wall_ms;

	ended_ms = codec_read_ended_ms(item->value, item->len);
	wall_ms = clock_wall_ms();
	if (ended_ms == 0 || ended_ms > wall_ms + SWEEP_MARGIN_MS)
		return now_ms - l->opened_ms;
	return wall_ms - ended_ms;
}

static bool
may_go(const struct lead *l, const struct kv_item *item, int64_t now_ms)
{
	const char *job;

	if (item->value == NULL)
		return false;
	job = item->key + strlen(KEY_ENDED);
	if (sched_job_find(l->sched, job) != NULL || is_forgotten(l, job))
		return false;
	return age_of(l, item, now_ms) >=
	    l->node->opt.keep_ms + SWEEP_MARGIN_MS;
}

static void
sweep_end(struct sweep *sweep, int64_t now_ms)
{
	if (sweep->removed > 0)
		log_info("records_swept", "removed=%llu",
		    (unsigned long long)sweep->removed);
	sweep->removed = 0;
	sweep->next_ms = now_ms + SWEEP_EVERY_MS;
}

/* After a failure the same page is read again. */
static void
page_end(struct lead *l, bool done)
{
	struct sweep *sweep;
	int64_t now_ms;

	sweep = &l->sweep;
	now_ms = clock_now_ms();
	sweep->out = false;
	sweep->next_ms = now_ms + SWEEP_PAUSE_MS;
	if (!done)
		return;
	strlcpy(sweep->after, sweep->upto, sizeof(sweep->after));
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
	if (save_answered(l, result, sweep->sent_ms)) {
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

/* A page with more old records than a write holds is read on from there. */
static void
choose(struct lead *l, const struct kv_result *result, const char **removes)
{
	struct sweep *sweep;
	int64_t now_ms;
	size_t i;

	sweep = &l->sweep;
	sweep->n = 0;
	now_ms = clock_now_ms();
	for (i = 0; i < result->nitems && sweep->n < SWEEP_BATCH; i++) {
		if (may_go(l, &result->items[i], now_ms))
			removes[sweep->n++] = result->items[i].key;
	}
	sweep->upto[0] = '\0';
	if (i > 0 && (i < result->nitems || result->more))
		strlcpy(
		    sweep->upto, result->items[i - 1].key, sizeof(sweep->upto));
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
	choose(l, result, removes);
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
	l->sweep.out = true;
	lead_ref(l);
	kv->range(kv->self, KEY_ENDED, after, on_page, l);
}

void
sweep_tick(struct lead *l, int64_t now_ms)
{
	if (l->closed || !l->ready || l->sweep.out)
		return;
	/* A new leader has more urgent reads. */
	if (now_ms < l->opened_ms + SWEEP_PAUSE_MS || now_ms < l->sweep.next_ms)
		return;
	if (!lead_has_store(l, now_ms) || now_ms < l->save_retry_ms)
		return;
	read_page(l);
}
