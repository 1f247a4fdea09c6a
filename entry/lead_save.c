#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "lead_int.h"
#include "log.h"
#include "pulse.h"

/*
 * Writes of the leader.  Each is conditional on the leader record at our
 * revision, so that no write of a former leader takes effect.  A job's progress
 * is also conditional on its own revision: a write without an answer may take
 * effect seconds later and must not overwrite a newer one.
 */

/* Delay of a write in milliseconds, to save several changes at once. */
#define BATCH_MS 60
/* While the link is full: each write has the whole progress of a job. */
#define BATCH_LINK_FULL_MS 300
/* When callers or the next start of a task wait for it. */
#define BATCH_URGENT_MS 15
#define SAVES_MAX 3
#define RETRY_MS 100
/* Retry of a record that the store refused as invalid. */
#define REFUSED_RETRY_MS 2000
/* Entries that can't hear the leader see by this key that it is active. */
#define PULSE_MS 500
/* Entries of a write for the leader record, heartbeat and learned effects. */
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
	bool single; /* of one job only */
	int64_t sent_ms;
};

static void on_saved(const struct kv_result *, void *);

void
save_schedule(struct sched *s, void *ctx)
{
	struct sched_job *job;
	struct lead *l;

	l = ctx;
	if (!l->save_wanted) {
		l->save_wanted = true;
		l->save_since_ms = clock_now_ms();
	}
	TAILQ_FOREACH (job, &s->dirty, dirty_link) {
		if (job->in_ended || job->save_soon)
			l->save_urgent = true;
	}
}

void
save_compare_leader(const struct lead *l, struct kv_compare *compare)
{
	compare->key = KEY_LEADER;
	compare->revision = l->node->elect.leader.revision;
}

/* The write failed because another entry is the leader. */
static bool
is_deposed(const struct lead *l, const struct kv_result *result)
{
	const struct kv_item *leader;

	leader = kv_result_item(result, KEY_LEADER);
	return leader != NULL &&
	    leader->revision != l->node->elect.leader.revision;
}

bool
save_handle_result(
    struct lead *l, const struct kv_result *result, int64_t sent_ms)
{
	if (l->closed)
		return false;
	if (result->error == KV_OK && sent_ms > l->confirmed_ms)
		l->confirmed_ms = sent_ms;
	if (result->error == KV_OK && l->exclusive_revision == 0 &&
	    sent_ms >= l->sched->opt.taken_ms + l->sched->opt.former_ms)
		l->exclusive_revision = result->revision;
	if (result->error == KV_CONFLICT && is_deposed(l, result)) {
		node_step_down(l->node, "store_names_another");
		return false;
	}
	return true;
}

static bool
fill_row(struct save_row *row, struct sched_job *job)
{
	const struct job_save *save;

	save = job->data;
	strlcpy(row->job, job->id, sizeof(row->job));
	row->change = job->change;
	row->ended = job->in_ended;
	row->revision = save->revision;
	snprintf(row->keys[0], KEY_MAX, KEY_PROGRESS "%s", job->id);
	if (!row->ended) {
		row->text = codec_progress(job, &row->len);
		return row->text != NULL;
	}
	snprintf(row->keys[1], KEY_MAX, KEY_JOB "%s", job->id);
	snprintf(row->keys[2], KEY_MAX, KEY_ENDED "%s", job->id);
	/* Callers see the end after this write: the keep time starts here. */
	row->text = codec_ended(job->state, clock_wall_ms(), &row->len);
	return row->text != NULL;
}

/*
 * If the store refuses a job's record, it refuses each write that includes the
 * record, also those with the heartbeat key: nothing could be saved or started
 * any more, under this leader and the next.  So such a record gets its own
 * write.
 */
static bool
may_share_write(const struct save_write *write, const struct job_save *save)
{
	if (save->in_flight || write->sent_ms < save->retry_ms)
		return false;
	return !save->single || (write->n == 0 && !write->pulse);
}

/* Selects jobs to be saved, as many as fit into one write. */
static void
batch_jobs(struct lead *l, struct save_write *write)
{
	struct sched_job *job, *last;
	struct job_save *save;
	size_t entries;

	entries = FIXED_ENTRIES;
	last = TAILQ_LAST(&l->sched->dirty, sched_jobs);
	while (entries + ENDED_ENTRIES <= KV_TXN_MAX &&
	    (job = sched_next_dirty(l->sched)) != NULL) {
		save = job->data;
		if (save == NULL) {
			/* It ended under a former leader: nothing to save. */
			sched_saved(l->sched, job, job->change, 0);
		} else if (!may_share_write(write, save) ||
		    !fill_row(&write->rows[write->n], job))
			sched_dirty_again(l->sched, job);
		else {
			save->in_flight = true;
			write->single = save->single;
			entries += write->rows[write->n].ended ? ENDED_ENTRIES :
								 LIVE_ENTRIES;
			write->n++;
		}
		if (job == last || write->single)
			break;
	}
}

/*
 * Adds the heartbeat key and, if due, the learned effects; returns the count.
 */
static size_t
put_pulse(struct lead *l, char *pulse, struct kv_put *puts, int64_t now_ms)
{
	const char *learnt;

	pulse_text(&l->sched->crash_rate, pulse, PULSE_TEXT_MAX);
	puts[0].key = KEY_PULSE;
	puts[0].value = pulse;
	puts[0].len = strlen(pulse);
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
	char pulse[PULSE_TEXT_MAX];
	double bytes;
	size_t i;

	memset(&txn, 0, sizeof(txn));
	save_compare_leader(l, &compares[txn.ncompares++]);
	if (write->pulse)
		txn.nputs = put_pulse(l, pulse, puts, write->sent_ms);
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

/* Sends the replies that wait for this save of the job. */
static void
send_pending_replies(struct lead *l, const struct sched_job *job)
{
	struct pending_reply *pending, *next;

	for (pending = TAILQ_FIRST(&l->pending_replies); pending != NULL;
	     pending = next) {
		next = TAILQ_NEXT(pending, link);
		if (strcmp(pending->job, job->id) != 0 ||
		    job->saved < pending->change)
			continue;
		TAILQ_REMOVE(&l->pending_replies, pending, link);
		pending->answered(
		    &pending->reply, &pending->id, pending->from, pending->ctx);
		free(pending);
	}
}

/* After a conflict: the present revision of the job's progress. */
static void
update_revision(struct job_save *save, const struct save_row *row,
    const struct kv_result *result)
{
	const struct kv_item *progress;

	if ((progress = kv_result_item(result, row->keys[0])) != NULL)
		save->revision = progress->revision;
}

/* The store doesn't say which record it refused: each is written alone next. */
static void
save_refused(struct job_save *save, const struct save_row *row)
{
	if (save->single) {
		log_warn(
		    "save_refused", "job=%s bytes=%zu", row->job, row->len);
		save->retry_ms = clock_now_ms() + REFUSED_RETRY_MS;
	}
	save->single = true;
}

static void
finish_row(
    struct lead *l, const struct save_row *row, const struct kv_result *result)
{
	struct sched_job *job;
	struct job_save *save;

	job = sched_job_find(l->sched, row->job);
	if (job == NULL || job->data == NULL)
		return;
	save = job->data;
	save->in_flight = false;
	if (result->error != KV_OK) {
		if (result->error == KV_CONFLICT)
			update_revision(save, row, result);
		if (result->error == KV_REFUSED)
			save_refused(save, row);
		sched_dirty_again(l->sched, job);
		return;
	}
	save->single = false;
	save->revision = result->revision;
	sched_saved(l->sched, job, row->change, clock_now_ms());
	if (row->ended)
		log_info("job_ended", "job=%s state=%s", job->id,
		    sched_job_state_name(job->state));
	send_pending_replies(l, job);
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
	if (save_handle_result(l, result, write->sent_ms)) {
		l->saves--;
		for (i = 0; i < write->n; i++)
			finish_row(l, &write->rows[i], result);
		if (result->error != KV_OK) {
			counter_inc_reason(
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
batch_ms(struct lead *l, int64_t now_ms)
{
	if (l->save_urgent)
		return BATCH_URGENT_MS;
	return pacer_available(&l->node->link, now_ms) < 0 ?
	    BATCH_LINK_FULL_MS :
	    BATCH_MS;
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
		now_ms - l->save_since_ms < batch_ms(l, now_ms)))
		return;
	if ((write = calloc(1, sizeof(*write))) == NULL)
		return;
	write->lead = l;
	write->pulse = pulse;
	write->sent_ms = now_ms;
	if (l->saves < SAVES_MAX)
		batch_jobs(l, write);
	if (TAILQ_EMPTY(&l->sched->dirty)) {
		l->save_wanted = false;
		l->save_urgent = false;
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

/* Removal of the records of expired jobs, which callers no longer ask for. */

struct expired_write {
	struct lead *lead;
	int64_t sent_ms;
	size_t n;
};

bool
save_job_expired(struct sched *s, const char *job, void *ctx)
{
	struct sched_job *known;
	struct lead *l;

	l = ctx;
	if (l->nexpired_jobs == EXPIRED_JOBS_MAX)
		return false; /* until records have been removed */
	if ((known = sched_job_find(s, job)) != NULL) {
		free(known->data);
		known->data = NULL;
	}
	strlcpy(l->expired_jobs[l->nexpired_jobs++], job, GRAPH_ID_MAX);
	return true;
}

static void
on_expired_removed(const struct kv_result *result, void *ctx)
{
	struct expired_write *write;
	struct lead *l;

	write = ctx;
	l = write->lead;
	if (save_handle_result(l, result, write->sent_ms)) {
		l->expired_in_flight = false;
		if (result->error == KV_OK) {
			l->nexpired_jobs -= write->n;
			memmove(l->expired_jobs[0], l->expired_jobs[write->n],
			    l->nexpired_jobs * sizeof(l->expired_jobs[0]));
		}
	}
	free(write);
	lead_unref(l);
}

/* Fewer removals aren't worth a write. */
#define EXPIRED_BATCH (KV_TXN_MAX - 2)

static void
remove_expired(struct lead *l, int64_t now_ms)
{
	char keys[EXPIRED_BATCH][KEY_MAX];
	const char *removes[EXPIRED_BATCH];
	struct expired_write *write;
	struct kv_compare compare;
	struct kv_txn txn;

	if (l->expired_in_flight || l->nexpired_jobs < EXPIRED_BATCH ||
	    now_ms < l->save_retry_ms)
		return;
	if ((write = calloc(1, sizeof(*write))) == NULL)
		return;
	write->lead = l;
	write->sent_ms = now_ms;
	for (write->n = 0; write->n < EXPIRED_BATCH; write->n++) {
		snprintf(keys[write->n], KEY_MAX, KEY_ENDED "%s",
		    l->expired_jobs[write->n]);
		removes[write->n] = keys[write->n];
	}
	memset(&txn, 0, sizeof(txn));
	save_compare_leader(l, &compare);
	txn.compares = &compare;
	txn.ncompares = 1;
	txn.removes = removes;
	txn.nremoves = write->n;
	l->expired_in_flight = true;
	lead_ref(l);
	l->node->opt.kv.txn(
	    l->node->opt.kv.self, &txn, on_expired_removed, write);
}

void
save_tick(struct lead *l, int64_t now_ms)
{
	if (l->closed || !l->ready)
		return;
	save_jobs(l, now_ms);
	tombstone_tick(l, now_ms);
	lead_record_tick(l, now_ms);
	remove_expired(l, now_ms);
}
