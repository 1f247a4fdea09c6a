#include <stdlib.h>
#include <string.h>

#include "sched_int.h"

/* How long a poll waits at the worker for an end; it also renews the lease. */
#define POLL_WAIT_MS 1000
/*
 * Where fillers run beside serving tasks, paces are set with each poll, so
 * polls are more frequent, the more so where a task is near its target.
 */
#define POLL_SHARED_MS 500
#define POLL_HIGH_LOAD_MS 250
/*
 * A draining worker that stays past its announced departure has its lease
 * renewed within LEAVE_SPARE_MS.
 */
#define POLL_DRAINING_MS 300
/* The load can rise by a fifth of its limit within two seconds. */
#define HIGH_LOAD_RATIO 0.7
/* Delay of the next poll per unanswered call in a row. */
#define POLL_RETRY_MS INT64_C(100)
/* Minimum interval while listed ends aren't saved: polls return at once. */
#define POLL_UNSAVED_MS 300
/* Minimum interval of polls that can wait while the link is full. */
#define POLL_LINK_FULL_MS 800
/*
 * Each worker is run at least this often, so that events which don't schedule
 * it, such as the store being available again, take effect.
 */
#define RUN_INTERVAL_MS 100
/* An unlisted worker without tasks is removed after this long in silence. */
#define FORGET_MS 10000

int
sched_worker_cmp(struct sched_worker *a, struct sched_worker *b)
{
	return strcmp(a->id, b->id);
}

RB_GENERATE(sched_worker_tree, sched_worker, by_id, sched_worker_cmp)

static int
due_cmp(struct sched_worker *a, struct sched_worker *b)
{
	if (a->due_ms != b->due_ms)
		return a->due_ms < b->due_ms ? -1 : 1;
	return a->serial < b->serial ? -1 : a->serial > b->serial;
}

RB_PROTOTYPE(sched_due_tree, sched_worker, by_due, due_cmp)
RB_GENERATE(sched_due_tree, sched_worker, by_due, due_cmp)

static void
due_insert(struct sched *s, struct sched_worker *worker, int64_t at_ms)
{
	worker->due_ms = at_ms;
	worker->in_due_tree = true;
	RB_INSERT(sched_due_tree, &s->workers_by_due, worker);
}

static void
due_remove(struct sched *s, struct sched_worker *worker)
{
	if (worker->in_due_tree)
		RB_REMOVE(sched_due_tree, &s->workers_by_due, worker);
	worker->in_due_tree = false;
}

void
worker_schedule(struct sched *s, struct sched_worker *worker)
{
	if (worker->in_due_tree && worker->due_ms != 0) {
		due_remove(s, worker);
		due_insert(s, worker, 0);
	}
	worker->due_ms = 0;
	sched_due(s, 0);
}

struct sched_worker *
sched_worker_find(struct sched *s, const char *id)
{
	struct sched_worker key;

	strlcpy(key.id, id, sizeof(key.id));
	return RB_FIND(sched_worker_tree, &s->workers, &key);
}

struct sched_worker *
sched_worker_get(struct sched *s, const char *id)
{
	static const struct resources none;
	struct sched_worker *worker;

	if ((worker = sched_worker_find(s, id)) != NULL)
		return worker;
	if ((worker = calloc(1, sizeof(*worker))) == NULL)
		return NULL;
	strlcpy(worker->id, id, sizeof(worker->id));
	worker->serial = s->next_serial++;
	worker->record_may = RECORD_BIT(RECORD_NONE);
	room_init(&worker->room, &none);
	TAILQ_INIT(&worker->runs);
	incarnation_init(s, worker);
	RB_INSERT(sched_worker_tree, &s->workers, worker);
	due_insert(s, worker, 0);
	return worker;
}

void
worker_free(struct sched *s, struct sched_worker *worker)
{
	struct sched_run *run;

	while ((run = TAILQ_FIRST(&worker->runs)) != NULL) {
		/* Nothing is known of what became of it. */
		run->lost = true;
		run_settle(s, run);
	}
	incarnation_clear(worker);
	due_remove(s, worker);
	RB_REMOVE(sched_worker_tree, &s->workers, worker);
	free(worker->inherited_tasks);
	free(worker);
}

void
sched_worker_listed(struct sched *s, struct sched_worker *worker,
    const struct resources *capacity, bool draining, int64_t leaves_ms,
    int64_t now_ms)
{
	if (!resources_equal(&worker->room.capacity, capacity))
		refusal_over(s, worker);
	room_set_capacity(&worker->room, capacity);
	worker->closed = closure_set_has(&s->closed, worker->data_center);
	crash_worker_listed(s, worker, now_ms);
	if (!worker->listed) {
		worker->listed = true;
		worker->next_poll_ms = now_ms;
	}
	/*
	 * A notice gives the departure relative to when it is read: reading the
	 * same one again later would postpone it.
	 */
	if (!worker->draining || worker->leaves_ms == 0 ||
	    leaves_ms < worker->leaves_ms)
		worker->leaves_ms = leaves_ms;
	worker->draining = draining;
	if (incarnation_is_listed(worker))
		worker->inc.leaving = draining;
	if (worker->record_wanted == RECORD_NONE && !draining)
		lease_request_record(s, worker, RECORD_IN_USE);
	worker_schedule(s, worker);
}

void
sched_worker_unlisted(
    struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	(void)now_ms;
	worker->listed = false;
	worker_schedule(s, worker);
}

bool
sched_worker_has_label(const struct sched_worker *worker, const char *label)
{
	size_t i;

	for (i = 0; i < worker->nlabels; i++) {
		if (strcmp(worker->labels[i], label) == 0)
			return true;
	}
	return false;
}

size_t
sched_worker_nruns(const struct sched_worker *worker)
{
	const struct sched_run *run;
	size_t n;

	n = 0;
	TAILQ_FOREACH (run, &worker->runs, by_worker)
		n++;
	return n;
}

/* Settle the runs of a lost worker, requeue their tasks, return the count. */
static size_t
settle_runs(struct sched *s, struct sched_worker *worker, enum sched_loss cause,
    int64_t now_ms)
{
	struct sched_run *run;
	size_t n;

	cause = crash_worker_lost(s, worker, cause, now_ms);
	n = 0;
	while ((run = TAILQ_FIRST(&worker->runs)) != NULL) {
		run_lost(s, run, cause, now_ms);
		n++;
	}
	sched_due(s, 0);
	return n;
}

/* Another worker answers at the address: what ran on this one is over. */
void
worker_incarnation_ended(
    struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	worker->inc.dead = true;
	incarnation_drop_strays(worker);
	settle_runs(s, worker, LOSS_OTHER_INCARNATION, now_ms);
	crash_incarnation_ended(s, worker, now_ms);
	/* The list may have told of the next incarnation before. */
	if (worker->inc.heard_ms != 0 &&
	    worker->listed_start_ms != worker->inc.started_ms)
		incarnation_replace(s, worker, now_ms);
}

/* Acknowledge ends whose jobs are saved, in the worker's order. */
void
worker_acknowledge(struct sched_worker *worker)
{
	struct sched_end *end;

	while ((end = STAILQ_FIRST(&worker->inc.ends)) != NULL) {
		if (end->job != NULL && end->job->saved < end->change)
			return;
		worker->inc.acknowledged = end->number;
		STAILQ_REMOVE_HEAD(&worker->inc.ends, link);
		free(end);
		if (STAILQ_EMPTY(&worker->inc.ends))
			LIST_REMOVE(worker, unsaved_link);
	}
}

static void
send_poll(struct sched *s, struct sched_worker *worker, int64_t wait_ms,
    int64_t now_ms)
{
	worker->poll_guarded = !incarnation_is_proven(worker);
	worker->poll_incarnation = worker->inc.serial;
	worker->poll_deadline_ms = lease_renew(s, worker, now_ms);
	/*
	 * If the worker has restarted, the number of the former incarnation
	 * would discard ends of the next one that were never listed.
	 */
	worker->poll_acknowledged =
	    worker->poll_guarded ? 0 : worker->inc.acknowledged;
	worker->poll_pending = true;
	worker->poll_sent_ms = now_ms;
	worker->poll_wait_ms = wait_ms;
	s->counts.polls++;
	s->opt.actions->poll_worker(
	    s, worker, worker->poll_deadline_ms, wait_ms, s->opt.ctx);
}

/* How long the next poll may wait for an end. */
static int64_t
poll_wait_ms(const struct sched_worker *worker)
{
	if (!worker->inc.fenced || worker->inc.misses > 0 ||
	    worker->inc.unneeded > 0 || !SLIST_EMPTY(&worker->inc.strays) ||
	    !STAILQ_EMPTY(&worker->inc.ends))
		return 0;
	if (worker->serving == 0 || worker->filler_cpu == 0)
		return worker->draining ? POLL_DRAINING_MS : POLL_WAIT_MS;
	return worker->inc.late_since_ms != 0 ||
		worker->inc.load_ratio > HIGH_LOAD_RATIO ?
	    POLL_HIGH_LOAD_MS :
	    POLL_SHARED_MS;
}

/*
 * Whether polls of the worker can wait while the link is full.  A delayed poll
 * returns the ends since the last one at once.
 */
static bool
can_wait(const struct sched_worker *worker)
{
	return worker->inc.fenced && worker->inc.misses == 0 &&
	    worker->inc.unneeded == 0 && SLIST_EMPTY(&worker->inc.strays) &&
	    worker->inc.late_since_ms == 0 &&
	    worker->inc.load_ratio <= HIGH_LOAD_RATIO && !worker->draining;
}

static void
poll_if_due(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	int64_t due_ms;

	if (worker->poll_pending || worker->inc.dead)
		return;
	due_ms = worker->next_poll_ms;
	if (s->link_full && can_wait(worker) &&
	    due_ms < worker->poll_sent_ms + POLL_LINK_FULL_MS)
		due_ms = worker->poll_sent_ms + POLL_LINK_FULL_MS;
	/* The worker would answer at once, with the same ends. */
	if (!STAILQ_EMPTY(&worker->inc.ends) &&
	    due_ms < worker->poll_sent_ms + POLL_UNSAVED_MS)
		due_ms = worker->poll_sent_ms + POLL_UNSAVED_MS;
	if (now_ms < due_ms)
		sched_due(s, due_ms);
	else
		send_poll(s, worker, poll_wait_ms(worker), now_ms);
}

/*
 * A call that ends before its answer is due was broken off as the worker went
 * down.  If it times out, the worker may have been down since its last answer.
 */
static int64_t
up_until(const struct sched_worker *worker, int64_t now_ms)
{
	if (now_ms < worker->poll_sent_ms + worker->poll_wait_ms)
		return now_ms;
	return worker->inc.heard_ms;
}

void
worker_call_failed(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	worker_schedule(s, worker);
	if (worker->inc.misses++ == 0) {
		worker->inc.silent_ms = now_ms;
		worker->inc.up_ms = up_until(worker, now_ms);
	}
	worker->next_poll_ms = now_ms + POLL_RETRY_MS * worker->inc.misses;
}

static void
check_expiry(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	int64_t expiry_ms;

	if (worker->inc.lapsed ||
	    (worker->inc.misses == 0 && worker->inc.fenced))
		return;
	expiry_ms = lease_expiry_ms(s, worker);
	if (now_ms < expiry_ms) {
		sched_due(s, expiry_ms);
		return;
	}
	worker->inc.unneeded = 0;
	incarnation_drop_strays(worker);
	s->opt.actions->lapsed(
	    s, worker, settle_runs(s, worker, LOSS_LAPSED, now_ms), s->opt.ctx);
	worker->inc.lapsed = true;
}

static bool
is_removable(const struct sched_worker *worker, int64_t now_ms)
{
	if (worker->listed || worker->poll_pending ||
	    !TAILQ_EMPTY(&worker->runs) || !STAILQ_EMPTY(&worker->inc.ends))
		return false;
	return worker->inc.dead || worker->inc.lapsed ||
	    (worker_is_silent(worker, now_ms) && worker_is_empty(worker)) ||
	    (worker->inc.heard_ms != 0 &&
		now_ms - worker->inc.heard_ms > FORGET_MS);
}

/* false: the worker was removed. */
static bool
worker_run(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	worker_acknowledge(worker);
	check_expiry(s, worker, now_ms);
	lease_update_record(s, worker, now_ms);
	loss_worker_silent(s, worker, now_ms);
	if (is_removable(worker, now_ms)) {
		crash_idle_worker_lost(s, worker);
		s->opt.actions->forget_worker(s, worker, s->opt.ctx);
		worker_free(s, worker);
		return false;
	}
	run_step(s, worker, now_ms);
	refusal_update(s, worker, now_ms);
	health_check_progress(s, worker, now_ms);
	poll_if_due(s, worker, now_ms);
	return true;
}

/*
 * Run one worker.  Later times that it passes to sched_due() apply to this
 * worker alone, so s->next_ms collects them for its due_ms.
 */
static void
run_one(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	int64_t others_ms, at_ms;

	due_remove(s, worker);
	worker->due_ms = INT64_MAX;
	others_ms = s->next_ms;
	s->next_ms = now_ms + RUN_INTERVAL_MS;
	if (worker_run(s, worker, now_ms)) {
		at_ms = worker->due_ms == 0 ? 0 : s->next_ms;
		due_insert(s, worker, at_ms > now_ms ? at_ms : now_ms + 1);
	}
	if (others_ms < s->next_ms)
		s->next_ms = others_ms;
}

/*
 * Run only the workers that had an event or are due: in a large fleet, running
 * all of them after each event costs more than the events do.
 */
void
worker_run_due(struct sched *s, int64_t now_ms)
{
	struct sched_worker *worker;

	if (s->any_saved) {
		s->any_saved = false;
		LIST_FOREACH (worker, &s->unsaved, unsaved_link)
			worker_schedule(s, worker);
	}
	while ((worker = RB_MIN(sched_due_tree, &s->workers_by_due)) != NULL &&
	    worker->due_ms <= now_ms && !s->deposed)
		run_one(s, worker, now_ms);
	if (worker != NULL)
		sched_due(s, worker->due_ms);
}
