#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "lead_int.h"

/*
 * What the leader writes.  Each write names the leader's record at our
 * revision as a condition, so that none of a former leader can be done.  A
 * job's progress is also conditional on its own revision: a write whose
 * answer was lost may be done seconds later and must not undo a newer one.
 */

/* Ends are gathered for so long before they are written, in milliseconds. */
#define GATHER_MS 60
/* The same while our link is full: a job's progress is written whole. */
#define GATHER_FULL_MS 300
/* The same when a job ended, since callers wait to see that. */
#define GATHER_ENDED_MS 15
#define SAVES_MAX 3
#define RETRY_MS 100
/* A record that the store called bad is tried again after so long. */
#define REFUSED_RETRY_MS 2000
/* An entry that can't hear us sees by the pulse that we still lead. */
#define PULSE_MS 500
/* What the pulse holds: only that it is written anew counts. */
#define PULSE_VALUE "1"
/* Entries of a write for the leader's record, the pulse, what was learnt. */
#define FIXED_ENTRIES 3
#define LIVE_ENTRIES 2
#define ENDED_ENTRIES 3

struct save_row {
	char job[GRAPH_ID_MAX];
	uint64_t change;
	bool ended;
	char keys[3][KEY_MAX];
	char *text;
	size_t len;
	int64_t revision;
};

struct save_write {
	struct lead *lead;
	struct save_row rows[KV_TXN_MAX / 2];
	size_t n;
	bool pulse;
	bool alone; /* its job shares no write */
	int64_t sent_ms;
};

static void on_saved(const struct kv_result *, void *);

void
save_actions(struct sched *s, void *ctx)
{
	struct sched_job *job;
	struct lead *l;

	l = ctx;
	if (!l->save_wanted) {
		l->save_wanted = true;
		l->save_since_ms = clock_now_ms();
	}
	TAILQ_FOREACH (job, &s->dirty, dirty_link) {
		if (job->in_ended)
			l->save_soon = true;
	}
}

void
save_compare_leader(const struct lead *l, struct kv_compare *compare)
{
	compare->key = KEY_LEADER;
	compare->revision = l->node->elect.leader.revision;
}

/* The write failed because another entry leads now. */
static bool
is_deposed(const struct lead *l, const struct kv_result *result)
{
	size_t i;

	for (i = 0; i < result->nitems; i++) {
		if (strcmp(result->items[i].key, KEY_LEADER) == 0)
			return result->items[i].revision !=
			    l->node->elect.leader.revision;
	}
	return false;
}

bool
save_answered(struct lead *l, const struct kv_result *result, int64_t sent_ms)
{
	if (l->closed)
		return false;
	if (result->error == KV_OK && sent_ms > l->confirmed_ms)
		l->confirmed_ms = sent_ms;
	if (result->error == KV_OK && l->settled_revision == 0 &&
	    sent_ms >= l->sched->opt.taken_ms + l->sched->opt.former_ms)
		l->settled_revision = result->revision;
	if (result->error == KV_CONFLICT && is_deposed(l, result)) {
		node_step_down(l->node, "store_names_another");
		return false;
	}
	return true;
}

static bool
fill_row(struct save_row *row, struct sched_job *job)
{
	const struct saved *saved;

	saved = job->data;
	strlcpy(row->job, job->id, sizeof(row->job));
	row->change = job->change;
	row->ended = job->in_ended;
	row->revision = saved->revision;
	snprintf(row->keys[0], KEY_MAX, KEY_PROGRESS "%s", job->id);
	if (!row->ended) {
		row->text = codec_progress(job, &row->len);
		return row->text != NULL;
	}
	snprintf(row->keys[1], KEY_MAX, KEY_JOB "%s", job->id);
	snprintf(row->keys[2], KEY_MAX, KEY_ENDED "%s", job->id);
	/* Callers see the end once this is written: it counts from here. */
	row->text = codec_ended(job->state, clock_wall_ms(), &row->len);
	return row->text != NULL;
}

/*
 * A job whose record the store refuses would have each write refused that it
 * shares, the pulse with them: nothing would be saved or started any more,
 * under this leader and the next.
 */
static bool
may_join(const struct save_write *write, const struct saved *saved)
{
	if (saved->in_flight || write->sent_ms < saved->retry_ms)
		return false;
	return !saved->alone || (write->n == 0 && !write->pulse);
}

/* Take jobs that are to be saved, as many as one write holds. */
static void
gather(struct lead *l, struct save_write *write)
{
	struct sched_job *job, *last;
	struct saved *saved;
	size_t entries;

	entries = FIXED_ENTRIES;
	last = TAILQ_LAST(&l->sched->dirty, sched_jobs);
	while (entries + ENDED_ENTRIES <= KV_TXN_MAX &&
	    (job = sched_next_dirty(l->sched)) != NULL) {
		saved = job->data;
		if (saved == NULL) {
			/* It ended under a former leader: nothing to save. */
			sched_saved(l->sched, job, job->change, 0);
		} else if (!may_join(write, saved) ||
		    !fill_row(&write->rows[write->n], job))
			sched_dirty_again(l->sched, job);
		else {
			saved->in_flight = true;
			write->alone = saved->alone;
			entries += write->rows[write->n].ended ? ENDED_ENTRIES :
								 LIVE_ENTRIES;
			write->n++;
		}
		if (job == last || write->alone)
			break;
	}
}

/* The pulse, and what was learnt if that is due; how many they are. */
static size_t
put_pulse(struct lead *l, struct kv_put *puts, int64_t now_ms)
{
	const char *learnt;

	puts[0].key = KEY_PULSE;
	puts[0].value = PULSE_VALUE;
	puts[0].len = strlen(PULSE_VALUE);
	if ((learnt = lead_learnt_text(l, now_ms)) == NULL)
		return 1;
	puts[1].key = KEY_LEARNT;
	puts[1].value = learnt;
	puts[1].len = strlen(learnt);
	return 2;
}

static void
send_save(struct lead *l, struct save_write *write)
{
	struct kv_compare compares[KV_TXN_MAX];
	const char *removes[KV_TXN_MAX];
	struct kv_put puts[KV_TXN_MAX];
	struct save_row *row;
	struct kv_txn txn;
	double bytes;
	size_t i;

	memset(&txn, 0, sizeof(txn));
	save_compare_leader(l, &compares[txn.ncompares++]);
	if (write->pulse)
		txn.nputs = put_pulse(l, puts, write->sent_ms);
	for (i = 0; i < write->n; i++) {
		row = &write->rows[i];
		if (row->ended) {
			puts[txn.nputs].key = row->keys[2];
			removes[txn.nremoves++] = row->keys[0];
			removes[txn.nremoves++] = row->keys[1];
		} else {
			puts[txn.nputs].key = row->keys[0];
			compares[txn.ncompares].key = row->keys[0];
			compares[txn.ncompares++].revision = row->revision;
		}
		puts[txn.nputs].value = row->text;
		puts[txn.nputs++].len = row->len;
	}
	txn.compares = compares;
	txn.puts = puts;
	txn.removes = removes;
	bytes = WRITE_BYTES;
	for (i = 0; i < txn.nputs; i++)
		bytes += PUT_BYTES + BASE64_GROWTH * (double)puts[i].len;
	pacer_consume(&l->node->link, bytes, write->sent_ms);
	l->saves++;
	lead_ref(l);
	l->node->opt.kv.txn(l->node->opt.kv.self, &txn, on_saved, write);
}

/* Answer requests that waited for this job's save. */
static void
wake_waiters(struct lead *l, const struct sched_job *job)
{
	struct waiter *waiter, *next;

	for (waiter = TAILQ_FIRST(&l->waiters); waiter != NULL; waiter = next) {
		next = TAILQ_NEXT(waiter, link);
		if (strcmp(waiter->job, job->id) != 0 ||
		    job->saved < waiter->change)
			continue;
		TAILQ_REMOVE(&l->waiters, waiter, link);
		waiter->answered(
		    &waiter->reply, waiter->number, waiter->from, waiter->ctx);
		free(waiter);
	}
}

/* The revision at which the store has the job's progress now. */
static void
learn_revision(struct saved *saved, const struct save_row *row,
    const struct kv_result *result)
{
	size_t i;

	for (i = 0; i < result->nitems; i++) {
		if (strcmp(result->items[i].key, row->keys[0]) == 0)
			saved->revision = result->items[i].revision;
	}
}

/* Which of a shared write it was for isn't told: each goes by itself next. */
static void
save_refused(struct saved *saved, const struct save_row *row)
{
	if (saved->alone) {
		log_warn(
		    "save_refused", "job=%s bytes=%zu", row->job, row->len);
		saved->retry_ms = clock_now_ms() + REFUSED_RETRY_MS;
	}
	saved->alone = true;
}

static void
settle_row(
    struct lead *l, const struct save_row *row, const struct kv_result *result)
{
	struct sched_job *job;
	struct saved *saved;

	job = sched_job_find(l->sched, row->job);
	if (job == NULL || job->data == NULL)
		return;
	saved = job->data;
	saved->in_flight = false;
	if (result->error != KV_OK) {
		if (result->error == KV_CONFLICT)
			learn_revision(saved, row, result);
		if (result->error == KV_REFUSED)
			save_refused(saved, row);
		sched_dirty_again(l->sched, job);
		return;
	}
	saved->alone = false;
	saved->revision = result->revision;
	sched_saved(l->sched, job, row->change, clock_now_ms());
	if (row->ended)
		log_info("job_ended", "job=%s state=%s", job->id,
		    sched_job_state_name(job->state));
	wake_waiters(l, job);
}

static const char *
retry_reason(const struct kv_result *result)
{
	switch (result->error) {
	case KV_CONFLICT:
		return "conflict";
	case KV_REFUSED:
		return "refused";
	default:
		return "store";
	}
}

static void
on_saved(const struct kv_result *result, void *ctx)
{
	struct save_write *write;
	struct lead *l;
	int64_t now_ms;
	size_t i;

	write = ctx;
	l = write->lead;
	now_ms = clock_now_ms();
	if (write->pulse)
		l->pulse_in_flight = false;
	if (save_answered(l, result, write->sent_ms)) {
		l->saves--;
		for (i = 0; i < write->n; i++)
			settle_row(l, &write->rows[i], result);
		if (result->error != KV_OK) {
			counter_reason(
			    "lagoonpin_save_retry", retry_reason(result));
			if (result->error != KV_CONFLICT &&
			    result->error != KV_REFUSED)
				l->save_retry_ms = now_ms + RETRY_MS;
			l->save_wanted = true;
			l->save_since_ms = 0;
		}
		lead_wakeup(l);
	}
	for (i = 0; i < write->n; i++)
		free(write->rows[i].text);
	free(write);
	lead_unref(l);
}

static int64_t
gather_ms(struct lead *l, int64_t now_ms)
{
	if (l->save_soon)
		return GATHER_ENDED_MS;
	return pacer_available(&l->node->link, now_ms) < 0 ? GATHER_FULL_MS :
							     GATHER_MS;
}

static void
save_jobs(struct lead *l, int64_t now_ms)
{
	struct save_write *write;
	bool pulse;

	pulse = !l->pulse_in_flight && now_ms - l->pulse_ms >= PULSE_MS;
	if (now_ms < l->save_retry_ms)
		return;
	if (!pulse &&
	    (!l->save_wanted || l->saves >= SAVES_MAX ||
		now_ms - l->save_since_ms < gather_ms(l, now_ms)))
		return;
	if ((write = calloc(1, sizeof(*write))) == NULL)
		return;
	write->lead = l;
	write->pulse = pulse;
	write->sent_ms = now_ms;
	if (l->saves < SAVES_MAX)
		gather(l, write);
	if (TAILQ_EMPTY(&l->sched->dirty)) {
		l->save_wanted = false;
		l->save_soon = false;
	}
	if (write->n == 0 && !pulse) {
		free(write);
		return;
	}
	if (pulse) {
		l->pulse_ms = now_ms;
		l->pulse_in_flight = true;
	}
	send_save(l, write);
}

/* Keys of jobs that nobody may ask for any more. */

struct forget_write {
	struct lead *lead;
	int64_t sent_ms;
	size_t n;
};

void
save_forget(struct sched *s, const char *job, void *ctx)
{
	struct sched_job *known;
	struct lead *l;

	l = ctx;
	if ((known = sched_job_find(s, job)) != NULL) {
		free(known->data);
		known->data = NULL;
	}
	if (l->nforget == FORGET_MAX) {
		/* Its small key stays until the store is swept. */
		counter_reason("lagoonpin_forget_skipped", "full");
		return;
	}
	strlcpy(l->forget[l->nforget++], job, GRAPH_ID_MAX);
}

static void
on_forgotten(const struct kv_result *result, void *ctx)
{
	struct forget_write *write;
	struct lead *l;

	write = ctx;
	l = write->lead;
	if (save_answered(l, result, write->sent_ms)) {
		l->forget_in_flight = false;
		if (result->error == KV_OK) {
			l->nforget -= write->n;
			memmove(l->forget[0], l->forget[write->n],
			    l->nforget * sizeof(l->forget[0]));
		}
	}
	free(write);
	lead_unref(l);
}

/* Enough at once to be worth a write. */
#define FORGET_BATCH (KV_TXN_MAX - 2)

static void
save_forgotten(struct lead *l, int64_t now_ms)
{
	char keys[FORGET_BATCH][KEY_MAX];
	const char *removes[FORGET_BATCH];
	struct forget_write *write;
	struct kv_compare compare;
	struct kv_txn txn;

	if (l->forget_in_flight || l->nforget < FORGET_BATCH ||
	    now_ms < l->save_retry_ms)
		return;
	if ((write = calloc(1, sizeof(*write))) == NULL)
		return;
	write->lead = l;
	write->sent_ms = now_ms;
	for (write->n = 0; write->n < FORGET_BATCH; write->n++) {
		snprintf(keys[write->n], KEY_MAX, KEY_ENDED "%s",
		    l->forget[write->n]);
		removes[write->n] = keys[write->n];
	}
	memset(&txn, 0, sizeof(txn));
	save_compare_leader(l, &compare);
	txn.compares = &compare;
	txn.ncompares = 1;
	txn.removes = removes;
	txn.nremoves = write->n;
	l->forget_in_flight = true;
	lead_ref(l);
	l->node->opt.kv.txn(l->node->opt.kv.self, &txn, on_forgotten, write);
}

void
save_tick(struct lead *l, int64_t now_ms)
{
	if (l->closed || !l->ready)
		return;
	save_jobs(l, now_ms);
	lead_record_tick(l, now_ms);
	save_forgotten(l, now_ms);
}
