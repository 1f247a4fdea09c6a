#include <stdlib.h>

#include "admit_int.h"

/* Starts what is queued, in turn, and ends what has started or expired. */

/* Service time is averaged over about this many calls. */
#define SERVED_WEIGHT 16
/* A service's turn moves by this divided by its weight for each start. */
#define TURN_UNIT 1000000U

static bool too_late(const struct admit_item *, int64_t);
static struct admit_item *next_item(struct admit_service *);
static void note_start(struct admit_service *, enum admit_priority);
static bool run_one(struct admit_service *, int64_t);
static void served(struct admit_item *, int64_t);

/*
 * A queued call whose turn came too late.  Started, it would take a slot up
 * to its deadline and end as unknown; under overload most slots would be lost
 * like that.
 */
static bool
too_late(const struct admit_item *it, int64_t now_ms)
{
	return it->deadline_ms - now_ms < admit_service_ms(it->service) &&
	    !admit_probe_allowed(it->service);
}

void
admit_requeue(struct admit_item *it)
{
	it->service->running--;
	it->service->admit->running--;
	admit_enqueue(it, true);
}

static struct admit_item *
next_item(struct admit_service *s)
{
	struct admit_item *urgent, *normal;

	urgent = TAILQ_FIRST(&s->queues[ADMIT_URGENT]);
	normal = TAILQ_FIRST(&s->queues[ADMIT_NORMAL]);
	if (urgent == NULL)
		return normal;
	if (normal != NULL && s->urgent_row + 1 >= s->admit->o.normal_every)
		return normal;
	return urgent;
}

/* Count urgent starts only while a normal call waits. */
static void
note_start(struct admit_service *s, enum admit_priority priority)
{
	if (priority == ADMIT_NORMAL || s->queued[ADMIT_NORMAL] == 0)
		s->urgent_row = 0;
	else
		s->urgent_row++;
}

/* false: nothing of this service could be started. */
static bool
run_one(struct admit_service *s, int64_t now_ms)
{
	struct admit_item *it;
	enum admit_priority priority;

	it = next_item(s);
	if (too_late(it, now_ms)) {
		admit_detach(it);
		s->admit->o.expired(it, false, s->admit->o.ctx);
		return true;
	}
	priority = it->priority;
	admit_dequeue(it);
	it->state = ADMIT_RUNNING;
	it->started_ms = now_ms;
	s->running++;
	s->admit->running++;
	if (!s->admit->o.start(it, s->admit->o.ctx)) {
		admit_requeue(it);
		return false;
	}
	note_start(s, priority);
	return true;
}

void
admit_run(struct admit *a, int64_t now_ms)
{
	struct admit_service *s;
	struct admit_vtime_tree *tree;

	while ((s = RB_MIN(admit_vtime_tree, &a->turns)) != NULL) {
		a->turn = s->turn;
		if (run_one(s, now_ms)) {
			tree = s->in;
			admit_vtime_remove(s);
			s->turn += TURN_UNIT / s->weight;
			if (tree != NULL)
				admit_vtime_insert(tree, s);
		} else {
			admit_vtime_remove(s);
			admit_vtime_insert(&a->blocked, s);
		}
	}
	while ((s = RB_MIN(admit_vtime_tree, &a->blocked)) != NULL) {
		admit_vtime_remove(s);
		admit_vtime_insert(&a->turns, s);
	}
}

static void
served(struct admit_item *it, int64_t now_ms)
{
	struct admit_service *s;
	int64_t served_us;

	s = it->service;
	served_us = (now_ms - it->started_ms) * ADMIT_US_PER_MS;
	if (s->served_us == 0)
		s->served_us = served_us;
	else
		s->served_us += (served_us - s->served_us) / SERVED_WEIGHT;
}

void
admit_finish(struct admit_item *it, bool ok, int64_t now_ms)
{
	if (ok)
		served(it, now_ms);
	admit_detach(it);
}

void
admit_cancel(struct admit_item *it)
{
	admit_detach(it);
}

void
admit_expire(struct admit *a, int64_t now_ms)
{
	struct admit_item *it;
	bool was_running;

	while ((it = RB_MIN(admit_deadline_tree, &a->deadlines)) != NULL &&
	    it->deadline_ms <= now_ms) {
		was_running = it->state == ADMIT_RUNNING;
		/*
		 * It took at least this long.  Left out, a service that has
		 * become too slow for every deadline would still look fast
		 * and admit calls that all expire.
		 */
		if (was_running)
			served(it, now_ms);
		admit_detach(it);
		a->o.expired(it, was_running, a->o.ctx);
	}
}

int64_t
admit_next_deadline_ms(const struct admit *a)
{
	struct admit_item *it;

	it = RB_MIN(
	    admit_deadline_tree, (struct admit_deadline_tree *)&a->deadlines);
	return it != NULL ? it->deadline_ms : -1;
}
