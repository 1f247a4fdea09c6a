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

/* Logs how the entry differs from what is known of its worker. */
static void
log_changes(const struct sched_worker *worker, const struct worker_info *info)
{
	const struct room *room;

	room = &worker->room;
	if (info->draining && !worker->draining)
		log_info("worker_draining", "worker=%s leaves_in_ms=%lld",
		    info->id, (long long)info->leaves_in_ms);
	if (worker->listed_start_ms != 0 &&
	    worker->listed_start_ms != info->started_ms)
		log_info("worker_listed_again",
		    "worker=%s started=%lld before=%lld", info->id,
		    (long long)info->started_ms,
		    (long long)worker->listed_start_ms);
	if (worker->listed &&
	    !resources_equal(&room->capacity, &info->capacity))
		log_info("worker_capacity",
		    "worker=%s cpu=%lld before=%lld held_cpu=%lld", info->id,
		    (long long)info->capacity.cpu_millis,
		    (long long)room->capacity.cpu_millis,
		    (long long)room->used.cpu_millis);
}

void
fleet_worker(struct lead *l, uint64_t call_number, const struct kv_item *item,
    int64_t now_ms)
{
	const struct platform_ops *platform;
	struct sched_worker *worker;
	struct worker_info info;
	int64_t leaves_ms;

	platform = &l->node->opt.platform;
	memset(&info, 0, sizeof(info));
	if (!platform->worker(
		platform->self, item->key, item->value, item->len, &info)) {
		refuse_worker(l, item->key, now_ms);
		return;
	}
	if ((worker = sched_worker_get(l->sched, info.id)) == NULL)
		return;
	log_changes(worker, &info);
	sched_worker_list_start(l->sched, worker, info.started_ms, now_ms);
	strlcpy(worker->service, info.service, sizeof(worker->service));
	strlcpy(worker->address, info.address, sizeof(worker->address));
	strlcpy(
	    worker->data_center, info.data_center, sizeof(worker->data_center));
	memcpy(worker->labels, info.labels, sizeof(worker->labels));
	worker->nlabels = info.nlabels;
	worker->guards_room = info.guards_room;
	worker->list_number = call_number;
	sched_worker_entry_written(worker, info.written_ms, now_ms);
	leaves_ms = info.draining ? now_ms + info.leaves_in_ms : 0;
	sched_worker_listed(
	    l->sched, worker, &info.capacity, info.draining, leaves_ms, now_ms);
}

/* The read of the whole list is complete: workers that aren't in it left. */
static void
unlist_others(struct lead *l, uint64_t call_number, int64_t now_ms)
{
	struct sched_worker *worker;

	RB_FOREACH (worker, sched_worker_tree, &l->sched->workers) {
		if (worker->list_number != call_number)
			worker_left(l, worker->id, now_ms);
	}
}

/* A call for the list of workers or its changes. */
struct fleet_call {
	struct lead *lead;
	struct listsync_call call;
	char after[KEY_MAX]; /* of a read: the last key of the page before */
	int64_t revision; /* of a read: that of the first page; 0: none yet */
};

static void
end_call(struct fleet_call *fc, enum listsync_end end)
{
	struct lead *l;

	l = fc->lead;
	if (!l->closed) {
		listsync_end(&l->listsync, &fc->call, end, clock_now_ms());
		lead_wakeup(l);
	}
	free(fc);
	lead_unref(l);
}

/* Returns false, and has ended the call, if the answer can't be used. */
static bool
use_answer(struct fleet_call *fc, const struct kv_result *result)
{
	struct lead *l;

	l = fc->lead;
	if (l->closed || result->error != KV_OK) {
		end_call(fc,
		    result->error == KV_COMPACTED ? LISTSYNC_HISTORY_LOST :
						    LISTSYNC_FAILED);
		return false;
	}
	if (!listsync_use(&l->listsync, &fc->call)) {
		end_call(fc, LISTSYNC_OUTDATED);
		return false;
	}
	return true;
}

static void
advance_revision(struct lead *l, int64_t revision)
{
	if (revision > l->workers_revision)
		l->workers_revision = revision;
}

static void on_page(const struct kv_result *, void *);

static void
read_page(struct fleet_call *fc)
{
	const struct kv_ops *kv;

	kv = &fc->lead->node->opt.kv;
	kv->range(kv->self, fc->lead->node->opt.platform.workers_prefix,
	    fc->after[0] != '\0' ? fc->after : NULL, on_page, fc);
}

static void
on_page(const struct kv_result *result, void *ctx)
{
	struct fleet_call *fc;
	struct lead *l;
	int64_t now_ms;
	size_t i;

	fc = ctx;
	l = fc->lead;
	if (!use_answer(fc, result))
		return;
	now_ms = clock_now_ms();
	if (fc->revision == 0)
		fc->revision = result->revision;
	for (i = 0; i < result->nitems; i++)
		fleet_worker(l, fc->call.number, &result->items[i], now_ms);
	if (result->more && result->nitems > 0) {
		strlcpy(fc->after, result->items[result->nitems - 1].key,
		    sizeof(fc->after));
		listsync_continue(&l->listsync, &fc->call, now_ms);
		read_page(fc);
		return;
	}
	unlist_others(l, fc->call.number, now_ms);
	advance_revision(l, fc->revision);
	end_call(fc, LISTSYNC_COMPLETE);
}

static void
on_changes(const struct kv_result *result, void *ctx)
{
	const struct platform_ops *platform;
	const struct kv_item *item;
	struct fleet_call *fc;
	const char *id;
	struct lead *l;
	int64_t now_ms;
	size_t i;

	fc = ctx;
	l = fc->lead;
	if (!use_answer(fc, result))
		return;
	now_ms = clock_now_ms();
	platform = &l->node->opt.platform;
	for (i = 0; i < result->nitems; i++) {
		item = &result->items[i];
		if (item->value != NULL)
			fleet_worker(l, fc->call.number, item, now_ms);
		else if ((id = platform->worker_id(
			      platform->self, item->key)) != NULL)
			worker_left(l, id, now_ms);
	}
	advance_revision(l, result->revision);
	end_call(fc, LISTSYNC_COMPLETE);
}

static void
call_store(struct lead *l, enum listsync_kind kind, int64_t now_ms)
{
	const struct kv_ops *kv;
	struct fleet_call *fc;

	if ((fc = calloc(1, sizeof(*fc))) == NULL)
		return;
	fc->lead = l;
	lead_ref(l);
	listsync_begin(&l->listsync, kind, &fc->call, now_ms);
	if (kind == LISTSYNC_READ) {
		read_page(fc);
		return;
	}
	kv = &l->node->opt.kv;
	kv->watch(kv->self, l->node->opt.platform.workers_prefix,
	    l->workers_revision, LISTSYNC_WATCH_MS, on_changes, fc);
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

bool
lead_list_is_unread(const struct lead *l, int64_t now_ms)
{
	return l->ready && now_ms - l->listsync.proven_ms > LISTSYNC_GAP_MS;
}

int64_t
lead_list_age_ms(const struct lead *l)
{
	return listsync_age_ms(&l->listsync, clock_now_ms());
}

void
fleet_check_age(struct lead *l, int64_t now_ms)
{
	bool is_old;

	is_old = !listsync_is_fresh(&l->listsync, now_ms);
	if (is_old == l->sched->rooms_unknown)
		return;
	l->sched->rooms_unknown = is_old;
	if (is_old) {
		l->list_old_ms = now_ms;
		log_warn("worker_list_old", "age_ms=%lld limit_ms=%lld",
		    (long long)listsync_age_ms(&l->listsync, now_ms),
		    (long long)l->listsync.fresh_ms);
		return;
	}
	log_info("worker_list_fresh", "age_ms=%lld old_for_ms=%lld",
	    (long long)listsync_age_ms(&l->listsync, now_ms),
	    (long long)(now_ms - l->list_old_ms));
	l->sched->place_wanted = true;
	lead_wakeup(l);
}

void
fleet_note_rooms(struct lead *l, const struct sched_load *load, int64_t now_ms)
{
	bool was_known, is_known;

	was_known = l->room_unknown == 0;
	is_known = load->barred[BAR_ROOM_UNKNOWN] == 0;
	l->room_unknown = load->barred[BAR_ROOM_UNKNOWN];
	if (was_known == is_known)
		return;
	if (is_known) {
		log_info("worker_entries_new", "old_for_ms=%lld",
		    (long long)(now_ms - l->entries_old_ms));
		return;
	}
	l->entries_old_ms = now_ms;
	log_warn("worker_entries_old", "workers=%u usable=%u limit_ms=%lld",
	    load->barred[BAR_ROOM_UNKNOWN], load->usable,
	    (long long)l->sched->opt.entry_max_ms);
}

uint32_t
lead_rooms_unknown(const struct lead *l)
{
	return l->room_unknown;
}

void
fleet_tick(struct lead *l, int64_t now_ms)
{
	enum listsync_kind kind;

	if (!l->ready)
		return;
	if (!l->jobs_in_flight && now_ms - l->jobs_ms >= JOBS_INTERVAL_MS)
		read_jobs(l, now_ms);
	if (listsync_due(&l->listsync, &kind, now_ms))
		call_store(l, kind, now_ms);
	fleet_check_age(l, now_ms);
}
