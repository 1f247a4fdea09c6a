#include "callers.h"
#include "clock.h"

/*
 * Second filter: the call is queued, or refused at once with the time at
 * which coming back helps.
 */

static enum outcome_reason reason_of(enum admit_verdict);
static bool answer_kept(struct call *);

/* A repeat whose answer is still here needs no endpoint and no claim. */
static bool
answer_kept(struct call *c)
{
	struct cached_response kept;

	if (c->idempotent ||
	    response_cache_get(c->callers->responses, c->id, c->hash,
		c->arrived_ms, &kept) != 0)
		return false;
	call_answer(c, &kept, OUTCOME_KEPT_ANSWER);
	return true;
}

static enum outcome_reason
reason_of(enum admit_verdict verdict)
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

	if (answer_kept(c))
		return;
	verdict = admit_offer(c->service->lanes[c->lane].admit, &c->item,
	    clock_now_ms(), &retry_after_ms);
	if (verdict != ADMIT_ACCEPTED) {
		call_refuse(c, reason_of(verdict), retry_after_ms);
		return;
	}
	callers_schedule_pass(c->callers);
}
