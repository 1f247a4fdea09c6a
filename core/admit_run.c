#include <stdlib.h>

#include "admit_int.h"

/* Starting, ending and expiring calls. */

/* The moving average of the service time covers about this many calls. */
#define SERVICE_TIME_WEIGHT 16
/* Each start advances a service's virtual time by this over its weight. */
#define VTIME_UNIT 1000000U

static bool cannot_finish(const struct admit_item *, int64_t);
static struct admit_item *next_item(struct admit_service *);
static void count_urgent_start(struct admit_service *, enum admit_priority);
static bool start_next(struct admit_service *, int64_t);
static void update_service_time(struct admit_item *, int64_t);

/*
 * Tells whether a queued call can no longer complete before its deadline.  If
 * started, it would occupy a slot until the deadline and end with an unknown
 * outcome; under overload most slots would be wasted on such calls.
 */
static bool
cannot_finish(const struct admit_item *it, int64_t now_ms)
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
	if (normal != NULL && s->urgent_streak + 1 >= s->admit->o.normal_every)
		return normal;
	return urgent;
}

/* Urgent starts count only while a normal call waits. */
static void
count_urgent_start(struct admit_service *s, enum admit_priority priority)
{
	if (priority == ADMIT_NORMAL || s->queued[ADMIT_NORMAL] == 0)
		s->urgent_streak = 0;
	else
		s->urgent_streak++;
}

/* Returns false if the service has no free credit for its next call. */
static bool
start_next(struct admit_service *s, int64_t now_ms)
{
	struct admit_item *it;
	enum admit_priority priority;

	it = next_item(s);
	if (cannot_finish(it, now_ms)) {
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
	count_urgent_start(s, priority);
	return true;
}

void
admit_run(struct admit *a, int64_t now_ms)
{
	struct admit_service *s;
	struct admit_vtime_tree *tree;

	while ((s = RB_MIN(admit_vtime_tree, &a->ready)) != NULL) {
		a->vtime = s->vtime;
		if (start_next(s, now_ms)) {
			tree = s->tree;
			admit_vtime_remove(s);
			s->vtime += VTIME_UNIT / s->weight;
			if (tree != NULL)
				admit_vtime_insert(tree, s);
		} else {
			admit_vtime_remove(s);
			admit_vtime_insert(&a->blocked, s);
		}
	}
	while ((s = RB_MIN(admit_vtime_tree, &a->blocked)) != NULL) {
		admit_vtime_remove(s);
		admit_vtime_insert(&a->ready, s);
	}
}

static void
update_service_time(struct admit_item *it, int64_t now_ms)
{
	struct admit_service *s;
	int64_t service_us;

	s = it->service;
	service_us = (now_ms - it->started_ms) * ADMIT_US_PER_MS;
	if (s->mean_service_us == 0)
		s->mean_service_us = service_us;
	else
		s->mean_service_us +=
		    (service_us - s->mean_service_us) / SERVICE_TIME_WEIGHT;
}

void
admit_finish(struct admit_item *it, bool ok, int64_t now_ms)
{
	if (ok)
		update_service_time(it, now_ms);
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
		 * The elapsed time is a lower bound of the service time.  If
		 * it were not counted, a service that has become too slow for
		 * every deadline would still look fast and admit calls that
		 * all expire.
		 */
		if (was_running)
			update_service_time(it, now_ms);
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
