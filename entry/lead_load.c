#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "lead_int.h"
#include "log.h"
#include "pulse.h"
#include "validate.h"

/*
 * Load of the state by a new leader: jobs that haven't ended, their progress,
 * the worker record, the learned interference effects, and the list of workers.
 * A takeover and a cold start use the same code.  Meanwhile only entries that
 * add jobs change these keys: each write of a former leader is conditional on
 * the leader record of its term.
 */

#define RETRY_MS 100
/* A leader is replaced within some 3 s of its last heartbeat. */
#define LOSSES_AGE_MAX_MS 10000

struct load_part {
	struct lead *lead;
	const char *prefix;
	void (*item)(struct lead *, const struct kv_item *);
	void (*end)(const struct load_part *);
	char after[KEY_MAX]; /* the last key read */
	int64_t revision; /* of the first page */
	int64_t begun_ms; /* when the first page was requested */
	uv_timer_t timer;
};

static void read_page(struct load_part *);
static void on_page(const struct kv_result *, void *);
static void on_retry(uv_timer_t *);
static void part_end(struct load_part *);
static void on_part_closed(uv_handle_t *);

static void
load_job(struct lead *l, const struct kv_item *item)
{
	lead_add_stored_job(l, item, true);
}

static void
jobs_read(const struct load_part *part)
{
	part->lead->jobs_revision = part->revision;
}

static void
load_progress(struct lead *l, const struct kv_item *item)
{
	struct loaded_progress *progress;
	const char *job;

	job = item->key + strlen(KEY_PROGRESS);
	/* Cut to fit, it could be the id of another job. */
	if (!valid_token(job, sizeof(progress->job))) {
		refused_note(&l->node->refused, item->key, "id");
		return;
	}
	if ((progress = calloc(1, sizeof(*progress))) == NULL ||
	    (progress->text = malloc(item->len + 1)) == NULL) {
		free(progress);
		/* Without its failures a job might be retried too often. */
		log_error("load_memory", "key=%s", item->key);
		abort();
	}
	memcpy(progress->text, item->value, item->len);
	progress->len = item->len;
	progress->revision = item->revision;
	strlcpy(progress->job, job, sizeof(progress->job));
	TAILQ_INSERT_TAIL(&l->progresses, progress, link);
}

static void
load_worker(struct lead *l, const struct kv_item *item)
{
	fleet_worker(l, 0, item, clock_now_ms());
}

static void
load_pulse(struct lead *l, const struct kv_item *item)
{
	struct blame_rate rate;

	switch (pulse_read(item->value, item->len, &rate)) {
	case PULSE_OK:
		sched_load_crash_rate(l->sched, &rate, clock_now_ms());
		break;
	case PULSE_NO_RATE:
		break;
	case PULSE_ERR_INVALID:
		refused_note(&l->node->refused, item->key, "crash_rate");
		break;
	}
}

/* A call of ours that failed may have failed for the workers, too. */
static void
workers_read(const struct load_part *part)
{
	const struct kv_ops *kv;
	struct lead *l;
	int64_t away_ms;

	l = part->lead;
	kv = &l->node->opt.kv;
	away_ms = kv->failed_ms(kv->self);
	if (away_ms < l->node->elect.store_back_ms)
		away_ms = l->node->elect.store_back_ms;
	l->workers_revision = part->revision;
	listsync_loaded(&l->listsync, part->begun_ms, away_ms, clock_now_ms());
}

static void
start_part(struct lead *l, const char *prefix,
    void (*item)(struct lead *, const struct kv_item *),
    void (*end)(const struct load_part *))
{
	struct load_part *part;

	if ((part = calloc(1, sizeof(*part))) == NULL) {
		log_error("load_memory", "prefix=%s", prefix);
		abort();
	}
	part->lead = l;
	part->prefix = prefix;
	part->item = item;
	part->end = end;
	l->loading++;
	lead_ref(l);
	uv_timer_init(l->node->opt.loop, &part->timer);
	part->timer.data = part;
	read_page(part);
}

void
load_start(struct lead *l)
{
	start_part(l, KEY_JOB, load_job, jobs_read);
	start_part(l, KEY_PROGRESS, load_progress, NULL);
	start_part(l, KEY_WORKERS, lead_record_load, NULL);
	start_part(l, KEY_LEARNT, lead_learnt_load, NULL);
	start_part(l, KEY_PULSE, load_pulse, NULL);
	start_part(
	    l, l->node->opt.platform.workers_prefix, load_worker, workers_read);
}

static void
read_page(struct load_part *part)
{
	const struct kv_ops *kv;

	kv = &part->lead->node->opt.kv;
	if (part->after[0] == '\0')
		part->begun_ms = clock_now_ms();
	kv->range(kv->self, part->prefix,
	    part->after[0] != '\0' ? part->after : NULL, on_page, part);
}

static void
on_retry(uv_timer_t *timer)
{
	struct load_part *part;

	part = timer->data;
	if (part->lead->closed)
		part_end(part);
	else
		read_page(part);
}

static void
on_page(const struct kv_result *result, void *ctx)
{
	struct load_part *part;
	struct lead *l;
	size_t i;

	part = ctx;
	l = part->lead;
	if (l->closed) {
		part_end(part);
		return;
	}
	if (result->error != KV_OK) {
		uv_timer_start(&part->timer, on_retry, RETRY_MS, 0);
		return;
	}
	if (part->revision == 0)
		part->revision = result->revision;
	for (i = 0; i < result->nitems; i++)
		part->item(l, &result->items[i]);
	if (result->more && result->nitems > 0) {
		strlcpy(part->after, result->items[result->nitems - 1].key,
		    sizeof(part->after));
		read_page(part);
		return;
	}
	if (part->end != NULL)
		part->end(part);
	part_end(part);
}

/*
 * Progress of another writer: the job starts over, and our writes replace it.
 */
static void
refuse_progress(struct lead *l, const char *job)
{
	char key[KEY_MAX];

	snprintf(key, sizeof(key), KEY_PROGRESS "%s", job);
	refused_note(&l->node->refused, key, "not_progress");
}

static void
apply_progress(struct lead *l)
{
	struct loaded_progress *progress;
	struct sched_job *job;
	struct job_save *save;

	while ((progress = TAILQ_FIRST(&l->progresses)) != NULL) {
		TAILQ_REMOVE(&l->progresses, progress, link);
		job = sched_job_find(l->sched, progress->job);
		/* Progress without a job is left from a late write. */
		if (job != NULL && job->graph != NULL) {
			save = job->data;
			save->revision = progress->revision;
			if (codec_read_progress(
				job, progress->text, progress->len) == -1)
				refuse_progress(l, progress->job);
		}
		free(progress->text);
		free(progress);
	}
}

/*
 * Applies the losses that the former leader couldn't save.  Without them each
 * leader that the store rejects for a while would begin to count anew.  After a
 * long silence a worker's restart says nothing of them.
 */
static void
apply_unsaved_losses(struct lead *l)
{
	struct sched_job *job;
	const json_t *row;
	const char *id;
	size_t i;

	if (clock_now_ms() - l->node->losses_ms > LOSSES_AGE_MAX_MS) {
		json_decref(l->node->losses);
		l->node->losses = NULL;
	}
	json_array_foreach(l->node->losses, i, row)
	{
		id = json_string_value(json_array_get(row, 0));
		job = id != NULL ? sched_job_find(l->sched, id) : NULL;
		if (job == NULL || job->graph == NULL)
			continue;
		if (codec_read_losses(job, json_array_get(row, 1)) == 0)
			sched_job_save_losses(l->sched, job);
		else
			refused_note(&l->node->refused, id, "losses");
	}
	json_decref(l->node->losses);
	l->node->losses = NULL;
}

static void
load_end(struct lead *l)
{
	int64_t now_ms;

	now_ms = clock_now_ms();
	apply_progress(l);
	apply_unsaved_losses(l);
	sched_load_end(l->sched, now_ms);
	l->ready = true;
	lead_config(l);
	log_info("lead_ready", "term=%llu load_ms=%lld",
	    (unsigned long long)l->sched->opt.term,
	    (long long)(now_ms - l->opened_ms));
	lead_wakeup(l);
}

/*
 * The configuration has the number of failures that a task may have: without
 * it, ends would be evaluated by the number in force when the job was
 * submitted.
 */
void
load_check(struct lead *l)
{
	if (!l->ready && l->loading == 0 && l->node->config != NULL)
		load_end(l);
}

static void
part_end(struct load_part *part)
{
	struct lead *l;

	l = part->lead;
	uv_close((uv_handle_t *)&part->timer, on_part_closed);
	if (--l->loading == 0 && !l->closed)
		load_check(l);
	lead_unref(l);
}

static void
on_part_closed(uv_handle_t *handle)
{
	free(handle->data);
}

void
load_free(struct lead *l)
{
	struct loaded_progress *progress;

	while ((progress = TAILQ_FIRST(&l->progresses)) != NULL) {
		TAILQ_REMOVE(&l->progresses, progress, link);
		free(progress->text);
		free(progress);
	}
}
