#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "skew.h"

/* A call's way: balancer, entry (or owner), a slot, the end. */

#define SMALL_WORKERS 11 /* with fewer, racks are small too */
#define SMALL_RACK 2
#define RACK 11
#define WAITS_FIRST 4096

static void note_wait(struct sim *, double);
static void start_call(struct sim *, int, double);
static int pick_owner(struct sim *);

int
rack_workers(const struct sim *s)
{
	return s->workers < SMALL_WORKERS ? SMALL_RACK : RACK;
}

static void
note_wait(struct sim *s, double wait_us)
{
	if (s->now_us < SKEW_WARM_US)
		return;
	if (s->nwaits == s->waits_room) {
		s->waits_room = s->waits_room * 2 + WAITS_FIRST;
		s->waits_ms = reallocarray(
		    s->waits_ms, s->waits_room, sizeof(*s->waits_ms));
		if (s->waits_ms == NULL)
			err(1, "waits");
	}
	s->waits_ms[s->nwaits++] = wait_us / SKEW_US_PER_MS;
}

static void
start_call(struct sim *s, int e, double since_us)
{
	struct entry *entry = &s->each[e];
	uint64_t epoch;
	char worker[SKEW_ID_SIZE];
	int w;

	w = 0;
	if (s->way == WAY_MOVING) {
		w = entry->with_spare[gsl_rng_uniform_int(
		    s->rng, (unsigned long)entry->spare_workers)];
		snprintf(worker, sizeof(worker), "%d", w);
		if (credit_take(entry->book, worker, CREDIT_CALL, &epoch) !=
		    CREDIT_OK)
			errx(1, "no credit where one was spare");
	} else {
		entry->free--;
	}
	entry->busy++;
	note_wait(s, s->now_us - since_us);
	schedule(
	    s, EVENT_DONE, gsl_ran_exponential(s->rng, SKEW_CALL_US), e, w);
}

void
start_calls(struct sim *s, int e)
{
	struct entry *entry = &s->each[e];

	while (entry->queue.count > 0 && entry->free > 0)
		start_call(s, e, waiting_pop(&entry->queue));
}

void
call_done(struct sim *s, const struct event *event)
{
	struct entry *entry = &s->each[event->a];
	char worker[SKEW_ID_SIZE];

	entry->busy--;
	if (s->way == WAY_MOVING) {
		snprintf(worker, sizeof(worker), "%d", event->b);
		credit_release(
		    entry->book, worker, 1, CREDIT_CALL, CREDIT_ENDED);
	} else {
		entry->free++;
	}
	start_calls(s, event->a);
}

/*
 * An owner at random, in proportion to its slots: going by heartbeats
 * a second old all entries would pick the same one.
 */
static int
pick_owner(struct sim *s)
{
	unsigned long w;

	w = gsl_rng_uniform_int(s->rng, (unsigned long)s->workers);
	return (int)w / rack_workers(s) % s->entries;
}

void
call_arrive(struct sim *s, const struct event *event)
{
	struct event placed;
	double rate;
	int owner;

	(void)event;
	rate = s->workers * SKEW_SLOTS * s->load / SKEW_CALL_US;
	schedule(s, EVENT_ARRIVE, gsl_ran_exponential(s->rng, 1 / rate), 0, 0);
	memset(&placed, 0, sizeof(placed));
	placed.kind = EVENT_PLACED;
	placed.a = (int)gsl_ran_discrete(s->rng, s->weights);
	placed.at_us = s->now_us;
	placed.since_us = s->now_us;
	if (s->way == WAY_OWNER) {
		owner = pick_owner(s);
		if (owner != placed.a)
			placed.at_us += 2 * one_way_us(owner, placed.a);
		placed.a = owner;
	}
	event_push(&s->heap, &placed);
}

void
call_place(struct sim *s, const struct event *event)
{
	struct entry *entry = &s->each[event->a];

	if (entry->free > 0 && entry->queue.count == 0) {
		start_call(s, event->a, event->since_us);
		return;
	}
	waiting_push(&entry->queue, event->since_us);
	if (s->now_us >= SKEW_WARM_US)
		s->waited++;
	if (s->way == WAY_MOVING)
		lend_ask(s, event->a);
}
