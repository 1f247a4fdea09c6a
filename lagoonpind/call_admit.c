#include "callers.h"
#include "clock.h"

/*
 * Admission: queues the call, or refuses it immediately with a retry-after
 * time.
 */

static enum outcome_reason refusal_reason(enum admit_verdict);
static bool answer_from_cache(struct call *);

/* Answers a repeated non-idempotent call from the response cache. */
static bool
answer_from_cache(struct call *c)
{
	struct cached_response cached;

	if (c->idempotent ||
	    response_cache_get(c->callers->responses, c->id, c->hash,
		c->arrived_ms, &cached) != 0)
		return false;
	call_answer(c, &cached, OUTCOME_KEPT_ANSWER);
	return true;
}

static enum outcome_reason
refusal_reason(enum admit_verdict verdict)
{
	switch (verdict) {
	case ADMIT_STOPPING:
		return OUTCOME_STOPPING;
	case ADMIT_NO_ENDPOINT:
		return OUTCOME_NO_ENDPOINT;
	case ADMIT_TEAM_QUOTA:
		return OUTCOME_TEAM_QUOTA;
	case ADMIT_CANT_MEET_DEADLINE:
		return OUTCOME_CANT_MEET_DEADLINE;
	case ADMIT_QUEUE_FULL:
	case ADMIT_ACCEPTED:
		break;
	}
	return OUTCOME_QUEUE_FULL;
}

void
call_admit(struct call *c)
{
	enum admit_verdict verdict;
	int64_t retry_after_ms;

	if (answer_from_cache(c))
		return;
	verdict = admit_offer(c->service->lanes[c->lane].admit, &c->item,
	    clock_now_ms(), &retry_after_ms);
	if (verdict != ADMIT_ACCEPTED) {
		call_refuse(c, refusal_reason(verdict), retry_after_ms);
		return;
	}
	callers_schedule_pass(c->callers);
}
