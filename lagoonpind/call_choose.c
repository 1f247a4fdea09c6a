#include "callers.h"
#include "clock.h"

/*
 * Choice of an endpoint: a call dequeued by admission takes a credit of the
 * best of a few endpoints drawn at random.
 */

static int excluded(const struct call *);

/* Candidate index of the endpoint to avoid; -1: none. */
static int
excluded(const struct call *c)
{
	const struct endpoint *ep;
	size_t i;

	if ((ep = c->avoid) == NULL)
		return -1;
	for (i = 0; i < ep->nmembers; i++) {
		if (ep->members[i].service == c->service &&
		    ep->members[i].candidate_index[c->lane] != CALL_INDEX_NONE)
			return (int)ep->members[i].candidate_index[c->lane];
	}
	return -1;
}

bool
call_choose(struct call *c, int64_t now_ms)
{
	struct endpoint_lane *lane;
	struct choose_result r;
	struct callers *cs;
	struct attempt *a;

	cs = c->callers;
	cs->random =
	    cs->random * 6364136223846793005ULL + 1442695040888963407ULL;
	r = choose(&cs->choose, c->service->lanes[c->lane].candidates,
	    c->service->lanes[c->lane].ncandidates, c->service->kind,
	    cs->data_center, excluded(c), cs->random, now_ms);
	/* Without another candidate, retry the same endpoint. */
	if (r.index < 0 && c->avoid != NULL && c->facts.open == 0)
		r = choose(&cs->choose, c->service->lanes[c->lane].candidates,
		    c->service->lanes[c->lane].ncandidates, c->service->kind,
		    cs->data_center, -1, cs->random, now_ms);
	if (r.index < 0)
		return false;
	lane = (struct endpoint_lane *)c->service->lanes[c->lane]
		   .candidates[r.index];
	if ((a = attempt_new(c, lane->endpoint)) == NULL)
		return false;
	a->why = r.reason;
	call_dispatch(c, a);
	return true;
}
