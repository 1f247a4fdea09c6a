#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "lead_int.h"
#include "log.h"
#include "validate.h"

/* The leading entry: it schedules all jobs and answers requests about them. */

/*
 * Interval in milliseconds at which the learned interference effects are
 * written to the store, with the heartbeat key; members get them as often.  It
 * is longer while the link is full: the value has about 10 KB and changes
 * slowly.
 */
#define LEARNT_INTERVAL_MS 2000
#define LEARNT_LINK_FULL_MS 8000
/* First field of the row with the period of serving loads, in ms. */
#define LEARNT_PERIOD "cycle"
/* Jobs whose unsaved losses go with a heartbeat. */
#define UNSAVED_JOBS_MAX 32

/*
 * Maximum lease of running tasks.  It outlasts a takeover, which takes a
 * second, and a restart of all entries; a short lease lets the tasks of a lost
 * worker continue elsewhere soon.
 */
#define LEASE_MS 5000
/* Without a confirmation by the store for so long, another entry may lead. */
#define STORE_LOST_MS 1200
/* Clocks differ: occurrences of a repeated job start late rather than early. */
#define DUE_MARGIN_MS 100

/*
 * Number of workers from which on members relay the calls to them.  A leader
 * with an eighth of a core makes about 400 calls a second, and a worker takes 3
 * to 5.
 */
#define RELAY_WORKERS_MIN 100
#define LOAD_LOG_INTERVAL_MS 1000
/* A task that has waited so long is logged with the reason. */
#define WAIT_LOGGED_MS 2000
/* A member whose last hello is no older follows us; it sends one each 0.5 s. */
#define FOLLOWER_MS 1300
/* Ticks come each 20 ms; after a longer gap the process was suspended. */
#define PAUSE_MS 500
/* Delay of a scheduling step, to cover all events of one loop iteration. */
#define STEP_MS 1

static void on_timer(uv_timer_t *);

void
lead_ref(struct lead *l)
{
	l->calls++;
}

static void
lead_free(struct lead *l)
{
	if (l->calls > 0 || l->handles > 0)
		return;
	free(l->learnt_text);
	free(l);
}

void
lead_unref(struct lead *l)
{
	l->calls--;
	if (l->closed)
		lead_free(l);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	struct lead *l;

	l = handle->data;
	l->handles--;
	lead_free(l);
}

static void
add_pair(const char *serving, const char *filler, double effect, void *ctx)
{
	json_array_append_new(ctx, json_pack("[ssf]", serving, filler, effect));
}

json_t *
lead_learnt(struct lead *l)
{
	double period_ms;
	json_t *pairs;

	pairs = json_array();
	interference_foreach(l->sched->interference, add_pair, pairs);
	period_ms = forecast_period_ms(&l->sched->cycle);
	if (period_ms > 0)
		json_array_append_new(
		    pairs, json_pack("[sf]", LEARNT_PERIOD, round(period_ms)));
	return pairs;
}

json_t *
lead_unsaved_losses(const struct lead *l)
{
	const struct sched_job *job;
	json_t *rows;

	rows = json_array();
	TAILQ_FOREACH (job, &l->sched->open, link) {
		if (!sched_job_has_unsaved_losses(job))
			continue;
		json_array_append_new(
		    rows, json_pack("[so]", job->id, codec_losses(job)));
		if (json_array_size(rows) == UNSAVED_JOBS_MAX)
			break;
	}
	if (json_array_size(rows) > 0)
		return rows;
	json_decref(rows);
	return NULL;
}

/*
 * Applies the effects and the period that the former leader learned.  Without
 * them fillers are placed regardless of interference for some seconds after a
 * takeover, and serving tasks miss their targets.
 */
static void
apply_learnt(struct lead *l, const json_t *pairs)
{
	const char *serving, *filler;
	const json_t *row;
	size_t i;

	json_array_foreach(pairs, i, row)
	{
		serving = json_string_value(json_array_get(row, 0));
		filler = json_string_value(json_array_get(row, 1));
		if (serving != NULL && strcmp(serving, LEARNT_PERIOD) == 0 &&
		    json_is_number(json_array_get(row, 1)))
			forecast_set_period(&l->sched->cycle,
			    json_number_value(json_array_get(row, 1)));
		if (serving != NULL && filler != NULL)
			interference_set_effect(l->sched->interference, serving,
			    filler, json_number_value(json_array_get(row, 2)));
	}
}

void
lead_learnt_load(struct lead *l, const struct kv_item *item)
{
	json_t *pairs;

	pairs = json_loadb(item->value, item->len, 0, NULL);
	if (!json_is_array(pairs))
		log_warn("learnt_passed_over", "key=%s bytes=%zu", item->key,
		    item->len);
	apply_learnt(l, pairs);
	json_decref(pairs);
}

const char *
lead_learnt_text(struct lead *l, int64_t now_ms)
{
	int64_t every_ms;
	json_t *pairs;
	char *text;

	every_ms = pacer_available(&l->node->link, now_ms) < 0 ?
	    LEARNT_LINK_FULL_MS :
	    LEARNT_INTERVAL_MS;
	if (l->learnt_text != NULL && now_ms - l->learnt_ms < every_ms)
		return NULL;
	pairs = lead_learnt(l);
	text = json_dumps(pairs, JSON_COMPACT | JSON_REAL_PRECISION(3));
	json_decref(pairs);
	l->learnt_ms = now_ms;
	if (text == NULL ||
	    (l->learnt_text != NULL && strcmp(text, l->learnt_text) == 0)) {
		free(text);
		return NULL;
	}
	free(l->learnt_text);
	l->learnt_text = text;
	return text;
}

struct lead *
lead_open(struct node *node)
{
	struct listsync_options list_options;
	struct sched_options options;
	struct member *member;
	struct lead *l;

	if ((l = calloc(1, sizeof(*l))) == NULL)
		return NULL;
	l->node = node;
	l->opened_ms = clock_now_ms();
	l->confirmed_ms = l->opened_ms;
	l->tick_ms = l->opened_ms;
	TAILQ_INIT(&l->progresses);
	TAILQ_INIT(&l->pending_replies);
	TAILQ_INIT(&l->tombstones);
	list_options.report_ms = node->opt.worker_report_ms;
	list_options.apply_ms = node->opt.list_apply_ms;
	listsync_init(&l->listsync, &list_options);
	memset(&options, 0, sizeof(options));
	options.term = node->elect.leader.term;
	options.taken_ms = l->opened_ms;
	options.lease_ms = node->opt.lease_max_ms < LEASE_MS ?
	    node->opt.lease_max_ms :
	    LEASE_MS;
	options.lease_max_ms = node->opt.lease_max_ms;
	options.former_ms = node->elect.no_former_leader ? 0 : LEAD_FORMER_MS;
	options.keep_ms = node->opt.keep_ms;
	options.harm_ms = node->opt.harm_ms;
	options.entry_max_ms = listsync_entry_max_ms(&list_options);
	options.wall_offset_ms = l->opened_ms - clock_wall_ms() + DUE_MARGIN_MS;
	options.seed = node->incarnation;
	options.actions = &lead_sched_actions;
	options.ctx = l;
	l->sched = sched_open(&options);
	l->order_relay = relay_open(node, lead_late_ends, l);
	outbox_init(&l->outbox, &node->link);
	if (l->sched == NULL || l->order_relay == NULL)
		goto fail;
	if (options.former_ms == 0)
		l->exclusive_revision = node->elect.leader.revision;
	sched_set_closures(l->sched, &node->closures.set);
	l->sched->closures_unknown = closed_is_unknown(node, l->opened_ms);
	relay_worker_ops(l->order_relay, &l->workers);
	apply_learnt(l, l->node->learnt);
	TAILQ_FOREACH (member, &node->members, link)
		member->heard_ms = l->opened_ms;
	uv_timer_init(node->opt.loop, &l->timer);
	l->timer.data = l;
	l->handles = 1;
	log_info("lead_begin", "term=%llu former_ms=%lld",
	    (unsigned long long)options.term, (long long)options.former_ms);
	load_start(l);
	return l;

fail:
	if (l->sched != NULL)
		sched_close(l->sched);
	if (l->order_relay != NULL)
		relay_close(l->order_relay);
	free(l);
	return NULL;
}

void
lead_close(struct lead *l)
{
	struct sched_job *job;
	struct unknown_job *unknown;
	struct pending_reply *pending;

	log_info("lead_end", "term=%llu led_ms=%lld starts=%llu",
	    (unsigned long long)l->sched->opt.term,
	    (long long)(clock_now_ms() - l->opened_ms),
	    (unsigned long long)l->sched->counts.starts);
	l->closed = true;
	while ((pending = TAILQ_FIRST(&l->pending_replies)) != NULL) {
		TAILQ_REMOVE(&l->pending_replies, pending, link);
		free(pending); /* repeated to the next leader */
	}
	while ((unknown = LIST_FIRST(&l->unknown_jobs)) != NULL) {
		LIST_REMOVE(unknown, link);
		free(unknown);
	}
	tombstone_close(l);
	load_free(l);
	RB_FOREACH (job, sched_job_tree, &l->sched->jobs) {
		free(job->data);
		job->data = NULL;
	}
	relay_close(l->order_relay);
	l->order_relay = NULL;
	sched_close(l->sched);
	l->sched = NULL;
	uv_timer_stop(&l->timer);
	uv_close((uv_handle_t *)&l->timer, on_timer_closed);
}

/* Schedules a step of the scheduler after this iteration of the loop. */
void
lead_wakeup(struct lead *l)
{
	if (!l->closed && l->ready)
		uv_timer_start(&l->timer, on_timer, STEP_MS, 0);
}

/* Hellos received right after a suspension may be old. */
static bool
just_resumed(const struct lead *l, int64_t now_ms)
{
	return now_ms - l->resumed_ms < FOLLOWER_MS;
}

static bool
all_follow(const struct lead *l, int64_t now_ms)
{
	const struct member *member;

	if (TAILQ_EMPTY(&l->node->members) || just_resumed(l, now_ms))
		return false;
	TAILQ_FOREACH (member, &l->node->members, link) {
		if (now_ms - member->heard_ms >= FOLLOWER_MS ||
		    member->term != l->sched->opt.term)
			return false;
	}
	return true;
}

/*
 * Without the store another entry may lead by now, unless all members follow
 * us: a member that can't be heard may reach the store.  Workers that the next
 * leader can't reach would run on under our renewals after it assumes that
 * their leases have expired.  So nothing is renewed or started after
 * FOLLOWER_MS, well before LEAD_FORMER_MS.
 */
static void
check_frozen(struct lead *l, int64_t now_ms)
{
	if (now_ms - l->tick_ms >= PAUSE_MS)
		l->resumed_ms = now_ms;
	l->tick_ms = now_ms;
	l->sched->store_unavailable = !lead_has_store(l, now_ms);
	l->sched->frozen =
	    l->sched->store_unavailable && !all_follow(l, now_ms);
}

static void
set_budget(struct lead *l, int64_t now_ms)
{
	l->sched->starts_allowed = outbox_start_budget(
	    &l->outbox, relay_pending_bytes(l->order_relay), now_ms);
	l->sched->link_full = l->outbox.full;
}

/* Sends the batched orders if they are due, else returns when they will be. */
static int64_t
flush(struct lead *l, int64_t now_ms)
{
	int64_t due_ms;

	if (relay_pending_bytes(l->order_relay) == 0)
		return INT64_MAX;
	due_ms = outbox_flush_ms(&l->outbox);
	if (now_ms < due_ms)
		return due_ms;
	relay_flush(l->order_relay);
	outbox_flushed(&l->outbox, now_ms);
	return INT64_MAX;
}

static void
on_timer(uv_timer_t *timer)
{
	int64_t now_ms, next_ms, wait_ms;
	struct lead *l;

	l = timer->data;
	if (l->closed || !l->ready)
		return;
	now_ms = clock_now_ms();
	check_frozen(l, now_ms);
	fleet_check_age(l, now_ms);
	set_budget(l, now_ms);
	sched_act(l->sched, now_ms);
	next_ms = flush(l, now_ms);
	if (l->deposed)
		return; /* lead_tick() steps down */
	save_tick(l, now_ms);
	if (l->sched->next_ms < next_ms)
		next_ms = l->sched->next_ms;
	wait_ms = next_ms - now_ms;
	if (wait_ms < STEP_MS)
		wait_ms = STEP_MS;
	uv_timer_start(&l->timer, on_timer, (uint64_t)wait_ms, 0);
}

static void
log_load(struct lead *l, int64_t now_ms)
{
	struct sched_load load;

	l->load_logged_ms = now_ms;
	sched_measure(l->sched, &load, now_ms);
	fleet_note_rooms(l, &load, now_ms);
	log_info("load",
	    "workers=%u usable=%u closed=%u room_unknown=%u failing=%u "
	    "rests=%llu suspects=%llu unsettled=%u "
	    "cpu=%lld "
	    "claimed=%lld "
	    "fillers=%lld "
	    "running=%u waiting=%u waiting_fillers=%u serving=%u late=%u "
	    "paced=%u serving_use=%.2f starts=%llu looks=%llu stills=%llu "
	    "moves=%llu leaving_moves=%llu copies=%u copies_won=%llu "
	    "copies_lost=%llu restarts=%llu list_age_ms=%lld "
	    "cycle_ms=%.0f "
	    "forecast_error=%.3f last_error=%.3f",
	    load.workers, load.usable, load.barred[BAR_CLOSED],
	    load.barred[BAR_ROOM_UNKNOWN], load.barred[BAR_FAILING],
	    (unsigned long long)l->sched->counts.rests,
	    (unsigned long long)l->sched->counts.suspects, load.unsettled,
	    (long long)load.cpu, (long long)load.claimed,
	    (long long)load.fillers, load.running, load.waiting,
	    load.waiting_fillers, load.serving, load.late, load.paced,
	    l->sched->serving_use, (unsigned long long)l->sched->counts.starts,
	    (unsigned long long)l->sched->counts.polls,
	    (unsigned long long)l->sched->counts.stalled,
	    (unsigned long long)l->sched->counts.moves,
	    (unsigned long long)l->sched->counts.leaving_moves,
	    l->sched->ncopies, (unsigned long long)l->sched->counts.copies_won,
	    (unsigned long long)l->sched->counts.copies_lost,
	    (unsigned long long)l->sched->counts.restarts,
	    (long long)listsync_age_ms(&l->listsync, now_ms),
	    forecast_period_ms(&l->sched->cycle), load.forecast_error,
	    load.last_error);
}

static const char *
wait_name(enum sched_wait cause)
{
	switch (cause) {
	case WAIT_NONE:
		return "none";
	case WAIT_FROZEN:
		return "frozen";
	case WAIT_BACKOFF:
		return "backoff";
	case WAIT_INHERITED:
		return "may_run_elsewhere";
	case WAIT_WORKERS:
		return "no_worker";
	case WAIT_CLOSURES:
		return "closures_unknown";
	case WAIT_ROOMS:
		return "room_unknown";
	case WAIT_TURN:
		return "next_pass";
	}
	return "unknown";
}

/* The task that has waited longest, and why, at most once a second. */
static void
log_waiting(struct lead *l, int64_t now_ms)
{
	struct sched_waiting waiting;

	sched_explain_waiting(l->sched, &waiting, now_ms);
	if (waiting.cause == WAIT_NONE || waiting.waited_ms < WAIT_LOGGED_MS)
		return;
	log_info("task_waits",
	    "job=%s occurrence=%u step=%u index=%u reason=%s waited_ms=%lld "
	    "step_tasks=%u usable=%u with_room=%u",
	    waiting.task.job, waiting.task.occurrence, waiting.task.step,
	    waiting.task.index, wait_name(waiting.cause),
	    (long long)waiting.waited_ms, waiting.step_tasks, waiting.usable,
	    waiting.with_room);
}

static size_t
count_workers(const struct lead *l)
{
	struct sched_worker *worker;
	size_t n;

	n = 0;
	RB_FOREACH (worker, sched_worker_tree, &l->sched->workers)
		n++;
	return n;
}

void
lead_tick(struct lead *l, int64_t now_ms)
{
	if (l->deposed) {
		node_step_down(l->node, "worker_refused_term");
		return;
	}
	check_frozen(l, now_ms);
	relay_enable(l->order_relay, count_workers(l) >= RELAY_WORKERS_MIN);
	relay_tick(l->order_relay, now_ms);
	save_tick(l, now_ms);
	fleet_tick(l, now_ms);
	lead_closed_check(l, now_ms);
	sweep_tick(l, now_ms);
	if (l->ready && now_ms - l->load_logged_ms >= LOAD_LOG_INTERVAL_MS) {
		log_load(l, now_ms);
		log_waiting(l, now_ms);
		lead_closed_log(l, now_ms);
	}
}

void
lead_handle_answers(struct lead *l, const void *message, size_t len)
{
	if (l == NULL || l->closed || !l->ready)
		return;
	relay_handle_answers(l->order_relay, message, len);
	lead_wakeup(l);
}

void
lead_members(struct lead *l)
{
	if (l != NULL && !l->closed)
		relay_update_members(l->order_relay);
}

bool
lead_has_store(const struct lead *l, int64_t now_ms)
{
	return now_ms - l->confirmed_ms < STORE_LOST_MS;
}

bool
lead_is_exclusive(const struct lead *l, int64_t now_ms)
{
	const struct sched_options *opt;

	opt = &l->sched->opt;
	return now_ms >= opt->taken_ms + opt->former_ms;
}

/* Applies a changed configuration; queue settings affect running jobs, too. */
void
lead_config(struct lead *l)
{
	const struct entry_config *config;
	const struct queue_config *from;
	struct sched_queue *queue;
	size_t i;

	if ((config = l->node->config) == NULL)
		return;
	load_check(l);
	/* Workers of a service that is new in it may be used now. */
	listsync_want_read(&l->listsync);
	for (i = 0; i < config->nqueues; i++) {
		from = &config->queues[i];
		queue = sched_queue_get(l->sched, from->name, &from->terms);
		if (queue != NULL)
			queue->terms = from->terms;
	}
	lead_wakeup(l);
}

static void
note_full(struct sched_queue *queue, const struct sched_headroom *room)
{
	if (queue->full == room->full)
		return;
	queue->full = room->full;
	log_info(room->full ? "queue_full" : "queue_open",
	    "queue=%s left=%lld lent=%lld owed=%lld need=%lld piece=%lld",
	    queue->name, (long long)room->left, (long long)room->lent,
	    (long long)room->owed, (long long)room->need,
	    (long long)room->piece);
}

json_t *
lead_full_queues(struct lead *l)
{
	struct sched_headroom room;
	struct sched_queue *queue;
	json_t *full;

	full = json_array();
	if (!l->ready)
		return full;
	TAILQ_FOREACH (queue, &l->sched->queues, link) {
		if (!queue->lasting)
			continue;
		sched_measure_headroom(l->sched, queue, &room, clock_now_ms());
		note_full(queue, &room);
		if (room.full)
			json_array_append_new(full, json_string(queue->name));
	}
	return full;
}

json_t *
lead_pending(struct lead *l)
{
	struct sched_queue *queue;
	struct sched_job *job;
	json_t *counts;

	counts = json_object();
	if (!l->ready) {
		json_decref(counts);
		return json_null();
	}
	TAILQ_FOREACH (queue, &l->sched->queues, link)
		queue->pending = 0;
	TAILQ_FOREACH (job, &l->sched->open, link) {
		if (!job->begun)
			job->queue->pending++;
	}
	TAILQ_FOREACH (queue, &l->sched->queues, link) {
		if (queue->pending > 0)
			json_object_set_new(
			    counts, queue->name, json_integer(queue->pending));
	}
	return counts;
}

/*
 * Compares revisions of the store instead of times of arrival: another entry
 * may have notified only the former leader, and the watch reports the job
 * seconds later.
 */
static enum sched_origin
origin_of(const struct lead *l, const struct stored_job *stored, bool inherited)
{
	if (inherited)
		return ORIGIN_INHERITED;
	return l->exclusive_revision != 0 &&
		stored->revision > l->exclusive_revision ?
	    ORIGIN_NEW :
	    ORIGIN_OVERLAP;
}

struct sched_job *
lead_add_stored_job(struct lead *l, const struct kv_item *item, bool inherited)
{
	struct stored_job stored = { item->value, item->len, item->revision };

	return lead_add_job(l, item->key + strlen(KEY_JOB), &stored, inherited);
}

/* An item of another writer may be no job, or a job with another id. */
static struct graph *
read_job(struct lead *l, const char *id, const struct stored_job *stored)
{
	struct graph *graph;
	char key[KEY_MAX];

	graph = codec_read_graph(stored->text, stored->len);
	if (graph != NULL && strcmp(graph->id, id) == 0 &&
	    valid_token(id, sizeof(graph->id)))
		return graph;
	snprintf(key, sizeof(key), KEY_JOB "%s", id);
	refused_note(
	    &l->node->refused, key, graph == NULL ? "not_a_job" : "id");
	graph_free(graph);
	return NULL;
}

struct sched_job *
lead_add_job(struct lead *l, const char *id, const struct stored_job *stored,
    bool inherited)
{
	struct sched_job *job;
	int64_t now_ms, age_ms;
	struct job_save *save;
	struct graph *graph;

	if ((graph = read_job(l, id, stored)) == NULL)
		return NULL;
	job = sched_job_find(l->sched, graph->id);
	if (job != NULL && !job->absent) {
		graph_free(graph);
		return job;
	}
	now_ms = clock_now_ms();
	age_ms = clock_wall_ms() - graph->submitted_ms;
	if (age_ms < 0)
		age_ms = 0;
	if ((save = calloc(1, sizeof(*save))) == NULL) {
		graph_free(graph);
		return NULL;
	}
	job = sched_job_add(l->sched, graph, now_ms - age_ms,
	    origin_of(l, stored, inherited), now_ms);
	if (job == NULL) {
		graph_free(graph);
		free(save);
		return NULL;
	}
	job->data = save;
	log_info("job_known", "job=%s queue=%s age_ms=%lld steps=%zu", job->id,
	    job->queue->name, (long long)age_ms, graph->nsteps);
	return job;
}
