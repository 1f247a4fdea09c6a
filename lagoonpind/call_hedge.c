#include "callers.h"
#include "clock.h"
#include "counter.h"

/*
 * Hedged requests: an idempotent call that takes much longer than its
 * service's mean is also sent to a second endpoint, within a budget, and the
 * first response is used.  A stalled endpoint then delays its calls by a few
 * mean service times instead of until their deadlines.
 */

#define HEDGE_FACTOR 3 /* multiple of the mean service time */
#define HEDGE_MIN_MS 2

static bool may_hedge(const struct call *, int64_t);
static void hedge(struct call *, int64_t);

/* Called at each dispatch; arms a hedge at the first. */
void
call_hedge_arm(struct call *c, int64_t now_ms)
{
	struct call_service *s;
	int64_t delay_ms;

	s = c->service;
	if (c->hedge_ms != 0 || !c->idempotent || c->lane != LANE_UNARY ||
	    s->budget.percent[BUDGET_HEDGE] == 0)
		return;
	delay_ms = HEDGE_FACTOR * admit_service_ms(s->lanes[c->lane].admit);
	c->hedge_ms =
	    now_ms + (delay_ms > HEDGE_MIN_MS ? delay_ms : HEDGE_MIN_MS);
	c->hedge_armed = true;
	TAILQ_INSERT_TAIL(&s->hedges, c, hedge_link);
}

void
call_hedge_disarm(struct call *c)
{
	if (!c->hedge_armed)
		return;
	c->hedge_armed = false;
	TAILQ_REMOVE(&c->service->hedges, c, hedge_link);
}

/* Requires time for another response and no calls waiting in the queue. */
static bool
may_hedge(const struct call *c, int64_t now_ms)
{
	const struct admit_service *as;

	as = c->service->lanes[c->lane].admit;
	return c->facts.open == 1 && c->tries < CALL_ATTEMPTS_MAX &&
	    c->request != NULL && admit_waiting(as) == 0 &&
	    c->item.deadline_ms - now_ms > admit_service_ms(as);
}

static void
hedge(struct call *c, int64_t now_ms)
{
	enum budget_verdict verdict;

	if (!may_hedge(c, now_ms)) {
		counter_inc_reason("lagoonpin_call_hedges", "no_room");
		return;
	}
	verdict = budget_take(&c->service->budget, BUDGET_HEDGE, true, now_ms);
	counter_inc_reason(
	    "lagoonpin_call_hedges", budget_verdict_name(verdict));
	if (verdict != BUDGET_GRANTED)
		return;
	c->avoid = LIST_FIRST(&c->attempts)->endpoint;
	if (!call_choose(c, now_ms))
		counter_inc_reason("lagoonpin_call_hedges", "no_credit");
}

/* A service's delay hardly changes, so its first armed call is due first. */
void
call_hedge_run(struct callers *cs, int64_t now_ms)
{
	struct call_service *s;
	struct call *c;

	LIST_FOREACH (s, &cs->services, link) {
		while ((c = TAILQ_FIRST(&s->hedges)) != NULL &&
		    c->hedge_ms <= now_ms) {
			call_hedge_disarm(c);
			hedge(c, now_ms);
		}
	}
}

int64_t
call_hedge_next_ms(const struct callers *cs)
{
	const struct call_service *s;
	const struct call *c;
	int64_t next_ms;

	next_ms = -1;
	LIST_FOREACH (s, &cs->services, link) {
		c = TAILQ_FIRST(&s->hedges);
		if (c != NULL && (next_ms < 0 || c->hedge_ms < next_ms))
			next_ms = c->hedge_ms;
	}
	return next_ms;
}
