#include <stdlib.h>

#include "admit_int.h"

/* The services, and which calls get into their queues. */

/* Of the credits, one in so many may go to calls that seem hopeless. */
#define PROBE_SHARE 8

static size_t ahead_of(const struct admit_service *, enum admit_priority);
static int64_t refuse_return_ms(struct admit_service *, int64_t, int64_t);

struct admit *
admit_open(const struct admit_options *o)
{
	struct admit *a;

	if ((a = calloc(1, sizeof(*a))) == NULL)
		return NULL;
	a->o = *o;
	if (a->o.normal_every < 2)
		a->o.normal_every = 2;
	RB_INIT(&a->deadlines);
	RB_INIT(&a->turns);
	RB_INIT(&a->blocked);
	return a;
}

void
admit_close(struct admit *a)
{
	free(a);
}

struct admit_service *
admit_add_service(struct admit *a, unsigned int weight)
{
	struct admit_service *s;
	int i;

	if ((s = calloc(1, sizeof(*s))) == NULL)
		return NULL;
	s->admit = a;
	s->serial = ++a->sequence;
	for (i = 0; i < ADMIT_NPRIORITIES; i++)
		TAILQ_INIT(&s->queues[i]);
	admit_set_weight(s, weight);
	return s;
}

void
admit_remove_service(struct admit_service *s)
{
	admit_vtime_remove(s);
	free(s);
}

void
admit_set_weight(struct admit_service *s, unsigned int weight)
{
	s->weight = weight > 0 ? weight : 1;
}

void
admit_set_capacity(struct admit_service *s, int64_t credits, bool has_endpoints)
{
	s->credits = credits;
	s->has_endpoints = has_endpoints;
}

/*
 * Calls that start before one that is queued now.  Urgent calls yet to come
 * aren't foreseen; normal calls get at least one start in normal_every.
 */
static size_t
ahead_of(const struct admit_service *s, enum admit_priority priority)
{
	size_t normal, yielded;

	if (priority == ADMIT_NORMAL)
		return s->queued[ADMIT_URGENT] + s->queued[ADMIT_NORMAL];
	normal = s->queued[ADMIT_NORMAL];
	yielded = s->queued[ADMIT_URGENT] / (s->admit->o.normal_every - 1);
	return s->queued[ADMIT_URGENT] + (yielded < normal ? yielded : normal);
}

int64_t
admit_wait_ms(const struct admit_service *s, enum admit_priority priority)
{
	int64_t credits, ahead;

	credits = s->credits > 0 ? s->credits : 1;
	ahead = (int64_t)ahead_of(s, priority);
	if (ahead == 0 && (int64_t)s->running < credits)
		return 0;
	return (ahead + 1) * s->served_us / credits / ADMIT_US_PER_MS;
}

size_t
admit_waiting(const struct admit_service *s)
{
	return s->queued[ADMIT_URGENT] + s->queued[ADMIT_NORMAL];
}

int64_t
admit_service_ms(const struct admit_service *s)
{
	return s->served_us / ADMIT_US_PER_MS;
}

/*
 * When a refused call may come back.  Each refusal books one more service
 * time, so that the callers refused in one burst don't all return at once
 * and make the next burst.
 */
static int64_t
refuse_return_ms(struct admit_service *s, int64_t now_ms, int64_t excess_ms)
{
	int64_t credits, at_ms, max_ms;

	credits = s->credits > 0 ? s->credits : 1;
	at_ms = now_ms + excess_ms;
	if (at_ms < s->next_return_ms)
		at_ms = s->next_return_ms;
	max_ms = now_ms + s->admit->o.retry_after_max_ms;
	if (at_ms > max_ms)
		at_ms = max_ms;
	s->next_return_ms = at_ms + s->served_us / credits / ADMIT_US_PER_MS;
	return at_ms - now_ms;
}

/*
 * A few calls go ahead whatever the estimate says.  After a slow spell it
 * could be longer than every deadline; with all calls refused nothing would
 * ever be measured again.
 */
bool
admit_probe_allowed(const struct admit_service *s)
{
	return (int64_t)s->running * PROBE_SHARE <= s->credits &&
	    s->queued[ADMIT_URGENT] + s->queued[ADMIT_NORMAL] <= 1;
}

enum admit_verdict
admit_offer(struct admit_service *s, struct admit_item *it, int64_t now_ms,
    int64_t *retry_after_ms)
{
	struct admit *a;
	int64_t needed_ms, left_ms;

	a = s->admit;
	*retry_after_ms = 0;
	if (a->stopping)
		return ADMIT_STOPPING;
	if (!s->has_endpoints)
		return ADMIT_NO_ENDPOINT;
	needed_ms = admit_wait_ms(s, it->priority) + admit_service_ms(s);
	left_ms = it->deadline_ms - now_ms;
	if (a->queued >= a->o.queue_max ||
	    a->bytes + it->bytes > a->o.queue_bytes_max) {
		*retry_after_ms = refuse_return_ms(s, now_ms, needed_ms);
		return ADMIT_QUEUE_FULL;
	}
	/* The quota comes last: a call refused otherwise doesn't use it up. */
	if (left_ms <= 0 || (left_ms < needed_ms && !admit_probe_allowed(s))) {
		*retry_after_ms =
		    refuse_return_ms(s, now_ms, needed_ms - left_ms);
		return ADMIT_CANT_MEET_DEADLINE;
	}
	if (a->o.quota != NULL) {
		*retry_after_ms = quota_take(a->o.quota, it->team, now_ms);
		if (*retry_after_ms > 0)
			return ADMIT_TEAM_QUOTA;
	}
	it->service = s;
	it->sequence = ++a->sequence;
	admit_enqueue(it, false);
	RB_INSERT(admit_deadline_tree, &a->deadlines, it);
	return ADMIT_ACCEPTED;
}

void
admit_stop(struct admit *a)
{
	a->stopping = true;
}

size_t
admit_queued(const struct admit *a)
{
	return a->queued;
}

size_t
admit_running(const struct admit *a)
{
	return a->running;
}
