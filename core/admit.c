#include <stdlib.h>

#include "admit_int.h"

/* Services, and the decision which calls are queued. */

/* Probing is allowed while at most one in this many credits is in use. */
#define PROBE_SHARE 8

static size_t starts_before(const struct admit_service *, enum admit_priority);
static int64_t reserve_retry_ms(struct admit_service *, int64_t, int64_t);

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
	RB_INIT(&a->ready);
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
	s->id = ++a->sequence;
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
 * Counts the calls that start before one that is queued now.  Urgent calls
 * that arrive later are not anticipated; normal calls get at least one of
 * every normal_every starts.
 */
static size_t
starts_before(const struct admit_service *s, enum admit_priority priority)
{
	size_t normal, interleaved;

	if (priority == ADMIT_NORMAL)
		return s->queued[ADMIT_URGENT] + s->queued[ADMIT_NORMAL];
	normal = s->queued[ADMIT_NORMAL];
	interleaved = s->queued[ADMIT_URGENT] / (s->admit->o.normal_every - 1);
	return s->queued[ADMIT_URGENT] +
	    (interleaved < normal ? interleaved : normal);
}

int64_t
admit_wait_ms(const struct admit_service *s, enum admit_priority priority)
{
	int64_t credits, ahead;

	credits = s->credits > 0 ? s->credits : 1;
	ahead = (int64_t)starts_before(s, priority);
	if (ahead == 0 && (int64_t)s->running < credits)
		return 0;
	return (ahead + 1) * s->mean_service_us / credits / ADMIT_US_PER_MS;
}

size_t
admit_waiting(const struct admit_service *s)
{
	return s->queued[ADMIT_URGENT] + s->queued[ADMIT_NORMAL];
}

int64_t
admit_service_ms(const struct admit_service *s)
{
	return s->mean_service_us / ADMIT_US_PER_MS;
}

/*
 * Returns the delay after which a refused call may be retried.  Each refusal
 * moves the next retry back by one service time, so that the callers refused
 * in one burst do not all retry at once and cause the next burst.
 */
static int64_t
reserve_retry_ms(struct admit_service *s, int64_t now_ms, int64_t excess_ms)
{
	int64_t credits, at_ms, max_ms;

	credits = s->credits > 0 ? s->credits : 1;
	at_ms = now_ms + excess_ms;
	if (at_ms < s->next_retry_ms)
		at_ms = s->next_retry_ms;
	max_ms = now_ms + s->admit->o.retry_after_max_ms;
	if (at_ms > max_ms)
		at_ms = max_ms;
	s->next_retry_ms =
	    at_ms + s->mean_service_us / credits / ADMIT_US_PER_MS;
	return at_ms - now_ms;
}

/*
 * Lets a few calls proceed regardless of the estimate.  After a period of
 * slow responses the estimate can exceed every deadline, and if all calls
 * were refused it would never be updated.
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
		*retry_after_ms = reserve_retry_ms(s, now_ms, needed_ms);
		return ADMIT_QUEUE_FULL;
	}
	if (left_ms <= 0 || (left_ms < needed_ms && !admit_probe_allowed(s))) {
		*retry_after_ms =
		    reserve_retry_ms(s, now_ms, needed_ms - left_ms);
		return ADMIT_CANT_MEET_DEADLINE;
	}
	/*
	 * The quota is checked last, so that calls refused for other reasons
	 * do not consume it.
	 */
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
