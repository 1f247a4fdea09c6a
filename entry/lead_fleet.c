#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "lead_int.h"
#include "log.h"

/*
 * Watches of the store: workers that come, drain and leave, and jobs whose
 * notice was lost.
 */

/* Entries send notices of new jobs; the watch finds those that were lost. */
#define JOBS_INTERVAL_MS 1000
#define WORKERS_WAIT_MS 5000
#define RETRY_MS 300
/* A watch may stop reporting unnoticed: the whole list is read so often. */
#define REREAD_INTERVAL_MS 4000

static void
worker_left(struct lead *l, const char *id, int64_t now_ms)
{
	struct sched_worker *worker;

	worker = sched_worker_find(l->sched, id);
	if (worker == NULL || !worker->listed)
		return;
	log_info("worker_unlisted", "worker=%s silent_ms=%lld", id,
	    (long long)(now_ms - worker->inc.heard_ms));
	sched_worker_unlisted(l->sched, worker, now_ms);
}

/* An item of another writer, which may have replaced a worker's. */
static void
refuse_worker(struct lead *l, const char *key, int64_t now_ms)
{
	const struct platform_ops *platform;
	const char *id;

	platform = &l->node->opt.platform;
	if ((id = platform->worker_id(platform->self, key)) != NULL)
		worker_left(l, id, now_ms);
}

void
fleet_worker(struct lead *l, const char *key, const char *value, size_t len,
    int64_t now_ms)
{
	struct sched_worker *worker;
	struct worker_info info;
	int64_t leaves_ms;

	memset(&info, 0, sizeof(info));
	if (!l->node->opt.platform.worker(
		l->node->opt.platform.self, key, value, len, &info)) {
		refuse_worker(l, key, now_ms);
		return;
	}
	if ((worker = sched_worker_get(l->sched, info.id)) == NULL)
		return;
	if (info.draining && !worker->draining)
		log_info("worker_draining", "worker=%s leaves_in_ms=%lld",
		    info.id, (long long)info.leaves_in_ms);
	if (worker->listed_start_ms != 0 &&
	    worker->listed_start_ms != info.started_ms)
		log_info("worker_listed_again",
		    "worker=%s started=%lld before=%lld", info.id,
		    (long long)info.started_ms,
		    (long long)worker->listed_start_ms);
	sched_worker_list_start(l->sched, worker, info.started_ms, now_ms);
	strlcpy(worker->service, info.service, sizeof(worker->service));
	strlcpy(worker->address, info.address, sizeof(worker->address));
	strlcpy(
	    worker->data_center, info.data_center, sizeof(worker->data_center));
	memcpy(worker->labels, info.labels, sizeof(worker->labels));
	worker->nlabels = info.nlabels;
	worker->in_list = true;
	leaves_ms = info.draining ? now_ms + info.leaves_in_ms : 0;
	sched_worker_listed(
	    l->sched, worker, &info.capacity, info.draining, leaves_ms, now_ms);
}

void
fleet_list_begin(struct lead *l)
{
	struct sched_worker *worker;

	RB_FOREACH (worker, sched_worker_tree, &l->sched->workers)
		worker->in_list = false;
}

void
fleet_list_end(struct lead *l, int64_t now_ms)
{
	struct sched_worker *worker;

	RB_FOREACH (worker, sched_worker_tree, &l->sched->workers) {
		if (!worker->in_list)
			worker_left(l, worker->id, now_ms);
	}
}

/* A read of the whole list, page by page. */
struct reread {
	struct lead *lead;
	char after[KEY_MAX];
	int64_t revision;
};

static void on_reread(const struct kv_result *, void *);

static void
reread_page(struct reread *r)
{
	const struct kv_ops *kv;

	kv = &r->lead->node->opt.kv;
	kv->range(kv->self, r->lead->node->opt.platform.workers_prefix,
	    r->after[0] != '\0' ? r->after : NULL, on_reread, r);
}

static void
reread_end(struct reread *r, bool complete, int64_t now_ms)
{
	struct lead *l;

	l = r->lead;
	if (!l->closed) {
		l->workers_in_flight = false;
		l->workers_ms = now_ms;
		if (complete) {
			fleet_list_end(l, now_ms);
			l->workers_reread_wanted = false;
			l->reread_ms = now_ms;
			if (r->revision > l->workers_revision)
				l->workers_revision = r->revision;
			lead_wakeup(l);
		}
	}
	lead_unref(l);
	free(r);
}

static void
on_reread(const struct kv_result *result, void *ctx)
{
	struct reread *r;
	int64_t now_ms;
	size_t i;

	r = ctx;
	now_ms = clock_now_ms();
	if (r->lead->closed || result->error != KV_OK) {
		reread_end(r, false, now_ms);
		return;
	}
	if (r->revision == 0)
		r->revision = result->revision;
	for (i = 0; i < result->nitems; i++)
		fleet_worker(r->lead, result->items[i].key,
		    result->items[i].value, result->items[i].len, now_ms);
	if (!result->more || result->nitems == 0) {
		reread_end(r, true, now_ms);
		return;
	}
	strlcpy(
	    r->after, result->items[result->nitems - 1].key, sizeof(r->after));
	reread_page(r);
}

static void
reread(struct lead *l)
{
	struct reread *r;

	if ((r = calloc(1, sizeof(*r))) == NULL)
		return;
	r->lead = l;
	l->workers_in_flight = true;
	fleet_list_begin(l);
	lead_ref(l);
	reread_page(r);
}

static void
on_workers(const struct kv_result *result, void *ctx)
{
	const struct platform_ops *platform;
	const struct kv_item *item;
	const char *id;
	struct lead *l;
	int64_t now_ms;
	size_t i;

	l = ctx;
	if (l->closed) {
		lead_unref(l);
		return;
	}
	now_ms = clock_now_ms();
	platform = &l->node->opt.platform;
	l->workers_in_flight = false;
	if (result->error != KV_OK) {
		l->workers_ms = now_ms;
		l->workers_reread_wanted = true;
		lead_unref(l);
		return;
	}
	for (i = 0; i < result->nitems; i++) {
		item = &result->items[i];
		if (item->value != NULL)
			fleet_worker(
			    l, item->key, item->value, item->len, now_ms);
		else if ((id = platform->worker_id(
			      platform->self, item->key)) != NULL)
			worker_left(l, id, now_ms);
	}
	if (result->revision > l->workers_revision)
		l->workers_revision = result->revision;
	lead_wakeup(l);
	lead_unref(l);
}

static void
on_jobs(const struct kv_result *result, void *ctx)
{
	const struct kv_item *item;
	struct lead *l;
	size_t i;

	l = ctx;
	if (l->closed) {
		lead_unref(l);
		return;
	}
	l->jobs_in_flight = false;
	if (result->error == KV_COMPACTED) {
		/* Jobs may have been missed: read them all. */
		l->jobs_compacted = true;
	}
	for (i = 0; result->error == KV_OK && i < result->nitems; i++) {
		item = &result->items[i];
		if (item->value != NULL &&
		    sched_job_find(l->sched, item->key + strlen(KEY_JOB)) ==
			NULL)
			lead_add_stored_job(l, item, false);
	}
	if (result->error == KV_OK && result->revision > l->jobs_revision)
		l->jobs_revision = result->revision;
	lead_wakeup(l);
	lead_unref(l);
}

/* A page of the jobs that haven't ended, read after a lost history. */
static void
on_all_jobs(const struct kv_result *result, void *ctx)
{
	struct lead *l;
	size_t i;

	l = ctx;
	if (l->closed) {
		lead_unref(l);
		return;
	}
	l->jobs_in_flight = false;
	if (result->error != KV_OK) {
		lead_unref(l);
		return;
	}
	if (l->jobs_after[0] == '\0')
		l->jobs_reread_revision = result->revision;
	for (i = 0; i < result->nitems; i++) {
		if (sched_job_find(l->sched,
			result->items[i].key + strlen(KEY_JOB)) == NULL)
			lead_add_stored_job(l, &result->items[i], false);
	}
	if (result->more && result->nitems > 0) {
		strlcpy(l->jobs_after, result->items[result->nitems - 1].key,
		    sizeof(l->jobs_after));
		l->jobs_ms = 0;
	} else {
		l->jobs_after[0] = '\0';
		l->jobs_compacted = false;
		l->jobs_revision = l->jobs_reread_revision;
	}
	lead_wakeup(l);
	lead_unref(l);
}

static void
read_jobs(struct lead *l, int64_t now_ms)
{
	const struct kv_ops *kv;

	kv = &l->node->opt.kv;
	l->jobs_in_flight = true;
	l->jobs_ms = now_ms;
	lead_ref(l);
	if (l->jobs_compacted)
		kv->range(kv->self, KEY_JOB,
		    l->jobs_after[0] != '\0' ? l->jobs_after : NULL,
		    on_all_jobs, l);
	else
		kv->watch(kv->self, KEY_JOB, l->jobs_revision, 0, on_jobs, l);
}

void
fleet_tick(struct lead *l, int64_t now_ms)
{
	const struct kv_ops *kv;

	if (!l->ready)
		return;
	kv = &l->node->opt.kv;
	if (!l->jobs_in_flight && now_ms - l->jobs_ms >= JOBS_INTERVAL_MS)
		read_jobs(l, now_ms);
	if (l->workers_in_flight)
		return;
	if (l->workers_reread_wanted ||
	    now_ms - l->reread_ms >= REREAD_INTERVAL_MS) {
		if (now_ms - l->workers_ms >= RETRY_MS)
			reread(l);
		return;
	}
	l->workers_in_flight = true;
	lead_ref(l);
	kv->watch(kv->self, l->node->opt.platform.workers_prefix,
	    l->workers_revision, WORKERS_WAIT_MS, on_workers, l);
}
