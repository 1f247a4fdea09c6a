#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "callers.h"
#include "clock.h"

/*
 * The credits that calls are dispatched on, and per service the list of
 * candidates for choose(): the endpoints with a free credit.  Credits change
 * with each call, so a candidate is removed in O(1) by moving the last one
 * to its index.
 */

#define INDEX_NONE CALL_INDEX_NONE
#define CANDIDATES_MIN 16

static int free_credits(const struct endpoint *, enum call_lane);
static void count_capacity(struct endpoint_member *, enum call_lane, int64_t);
static void add_candidate(
    struct endpoint_member *, struct endpoint_lane *, enum call_lane);
static void remove_candidate(struct endpoint_member *, enum call_lane);
static void refresh_member(struct endpoint *, struct endpoint_member *, bool);
static void on_credits(struct entry *, const struct credit_worker *, void *);
static enum credit_kind credit_kind_of(enum call_lane);

/* Credits may have arrived before the VM list named the worker. */
void
endpoint_load_credits(struct endpoint *ep)
{
	const struct credit_worker *row;

	for (row = lend_first(ep->callers->entry); row != NULL;
	     row = lend_next(row)) {
		if (strcmp(row->worker, ep->id) == 0)
			ep->spare = row->spare;
	}
}

/* Free credits.  A unary call uses a slot and a connection. */
static int
free_credits(const struct endpoint *ep, enum call_lane lane)
{
	if (lane == LANE_WATCH || ep->spare.connections < ep->spare.slots)
		return ep->spare.connections;
	return ep->spare.slots;
}

static void
count_capacity(struct endpoint_member *m, enum call_lane lane, int64_t credits)
{
	struct call_service *s;

	s = m->service;
	s->lanes[lane].capacity += credits - m->counted_credits[lane];
	m->counted_credits[lane] = credits;
	admit_set_capacity(
	    s->lanes[lane].admit, s->lanes[lane].capacity, s->nendpoints > 0);
}

static void
add_candidate(
    struct endpoint_member *m, struct endpoint_lane *el, enum call_lane lane)
{
	struct choose_endpoint **grown;
	struct call_service *s;
	size_t size;

	s = m->service;
	if (m->candidate_index[lane] != INDEX_NONE)
		return;
	if (s->lanes[lane].ncandidates == s->lanes[lane].size) {
		size = s->lanes[lane].size * 2;
		if (size < CANDIDATES_MIN)
			size = CANDIDATES_MIN;
		grown = reallocarray(
		    s->lanes[lane].candidates, size, sizeof(void *));
		if (grown == NULL)
			return;
		s->lanes[lane].candidates = grown;
		s->lanes[lane].size = size;
	}
	m->candidate_index[lane] = s->lanes[lane].ncandidates;
	s->lanes[lane].candidates[s->lanes[lane].ncandidates++] = &el->ce;
}

static void
remove_candidate(struct endpoint_member *m, enum call_lane lane)
{
	struct endpoint_lane *moved;
	struct call_service *s;
	size_t at, i, last;

	s = m->service;
	at = m->candidate_index[lane];
	if (at == INDEX_NONE)
		return;
	m->candidate_index[lane] = INDEX_NONE;
	last = --s->lanes[lane].ncandidates;
	if (at == last)
		return;
	moved = (struct endpoint_lane *)s->lanes[lane].candidates[last];
	s->lanes[lane].candidates[at] = &moved->ce;
	for (i = 0; i < moved->endpoint->nmembers; i++) {
		if (moved->endpoint->members[i].service == s)
			moved->endpoint->members[i].candidate_index[lane] = at;
	}
}

static void
refresh_member(struct endpoint *ep, struct endpoint_member *m, bool is_usable)
{
	struct endpoint_lane *el;
	enum call_lane lane;
	int i;

	if (m->is_live != (ep->state == VM_LIVE)) {
		m->is_live = !m->is_live;
		m->service->nendpoints += m->is_live ? 1 : -1;
	}
	for (i = 0; i < NLANES; i++) {
		lane = (enum call_lane)i;
		el = &ep->lanes[i];
		count_capacity(
		    m, lane, is_usable ? el->ce.credits + el->ce.in_flight : 0);
		if (is_usable && el->ce.credits > 0)
			add_candidate(m, el, lane);
		else
			remove_candidate(m, lane);
	}
}

void
endpoint_refresh(struct endpoint *ep, int64_t now_ms)
{
	bool is_usable;
	size_t j;
	int i;

	is_usable = endpoint_usable(ep, now_ms);
	for (i = 0; i < NLANES; i++) {
		ep->lanes[i].ce.draining = !is_usable;
		ep->lanes[i].ce.credits = free_credits(ep, (enum call_lane)i);
	}
	for (j = 0; j < ep->nmembers; j++)
		refresh_member(ep, &ep->members[j], is_usable);
}

static enum credit_kind
credit_kind_of(enum call_lane lane)
{
	return lane == LANE_WATCH ? CREDIT_WATCH : CREDIT_CALL;
}

/* A row of the credit table changed. */
static void
on_credits(struct entry *e, const struct credit_worker *row, void *ctx)
{
	struct endpoint *ep;
	struct callers *cs;

	(void)e;
	cs = ctx;
	if ((ep = endpoint_find(cs, row->worker)) == NULL)
		return;
	ep->spare = row->spare;
	endpoint_refresh(ep, clock_now_ms());
	callers_schedule_pass(cs);
}

void
endpoints_subscribe_credits(struct callers *cs)
{
	lend_on_change(cs->entry, on_credits, cs);
}

void
endpoints_request_credits(
    struct callers *cs, struct call_service *s, enum call_lane lane)
{
	size_t waiting;

	waiting = admit_waiting(s->lanes[lane].admit);
	if (waiting == 0 || s->lanes[lane].ncandidates > 0)
		return;
	lend_request(cs->entry, s->name, credit_kind_of(lane), (int)waiting);
}

void
endpoint_refused_fenced(struct endpoint *ep, uint64_t epoch)
{
	struct entry *e;

	e = ep->callers->entry;
	if (e->lend != NULL)
		lend_fenced(e, ep->id, epoch);
}

struct attempt *
attempt_new(struct call *c, struct endpoint *ep)
{
	struct attempt *a;

	if ((a = calloc(1, sizeof(*a))) == NULL)
		return NULL;
	a->call = c;
	a->endpoint = ep;
	a->lane = c->lane;
	if (lend_take(c->callers->entry, ep->id, credit_kind_of(c->lane),
		&a->epoch) != CREDIT_OK) {
		free(a);
		return NULL;
	}
	a->number = ++c->nattempts;
	c->tries++;
	snprintf(a->number_text, sizeof(a->number_text), "%d", a->number);
	LIST_INSERT_HEAD(&c->attempts, a, link);
	LIST_INSERT_HEAD(&ep->attempts, a, endpoint_link);
	ep->lanes[a->lane].ce.in_flight++;
	endpoint_refresh(ep, clock_now_ms());
	return a;
}

void
attempt_end(struct attempt *a, enum outcome_attempt how)
{
	struct endpoint *ep;
	struct callers *cs;

	ep = a->endpoint;
	cs = ep->callers;
	LIST_REMOVE(a, link);
	LIST_REMOVE(a, endpoint_link);
	ep->lanes[a->lane].ce.in_flight--;
	if (cs->entry->lend != NULL)
		lend_release(cs->entry, ep->id, a->epoch,
		    credit_kind_of(a->lane),
		    how == OUTCOME_ATTEMPT_UNKNOWN ? CREDIT_ABANDONED :
						     CREDIT_ENDED);
	endpoint_refresh(ep, clock_now_ms());
	if (ep->state == VM_GONE && LIST_EMPTY(&ep->attempts) && !ep->pinned)
		endpoint_free(ep);
	free(a);
	callers_schedule_pass(cs);
}
