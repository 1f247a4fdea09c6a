#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "skew.h"

#define SKEW 0.4 /* sigma of the weights' logarithm */
#define WEIGHTS_US 5e6 /* between new weights */
#define GOSSIP_US 1e6
#define HEARD 10 /* others heard of in a second (bench/gossip_cost.c) */
#define IDLE_TICKS 100
#define RATE_BURST 8 /* requests for credits at once */
#define REFILL_MS 50 /* for one more request */

static void on_spare(const struct credit_worker *, void *);
static void open_entry(struct sim *, int);
static void share_out(struct sim *);
static void tick(struct sim *);
static void new_weights(struct sim *);
static void heartbeat(struct sim *);
static void handle(struct sim *, const struct event *);
static int by_value(const void *, const void *);
static struct result measure(struct sim *);
static void sim_free(struct sim *);

/* Keep the list of workers with a spare slot, from which calls choose. */
static void
on_spare(const struct credit_worker *row, void *ctx)
{
	struct entry *entry = ctx;
	int last, w;

	w = atoi(row->worker);
	if (row->spare.slots > 0 && entry->place[w] == -1) {
		entry->place[w] = entry->spare_workers;
		entry->with_spare[entry->spare_workers++] = w;
	} else if (row->spare.slots == 0 && entry->place[w] != -1) {
		last = entry->with_spare[--entry->spare_workers];
		entry->with_spare[entry->place[w]] = last;
		entry->place[last] = entry->place[w];
		entry->place[w] = -1;
	}
	entry->free = credit_spare(entry->book).slots;
}

static void
open_entry(struct sim *s, int number)
{
	struct entry *entry = &s->each[number];
	struct credit_options options;
	char id[SKEW_ID_SIZE];
	int w;

	snprintf(id, sizeof(id), "%d", number);
	memset(&options, 0, sizeof(options));
	options.self = id;
	options.incarnation = 1;
	options.on_spare = on_spare;
	options.ctx = entry;
	if ((entry->book = credit_open(&options)) == NULL)
		err(1, "credits");
	lending_rate_init(&entry->rate, RATE_BURST, REFILL_MS, 0);
	for (w = 0; w < s->workers; w++)
		entry->place[w] = -1;
}

static void
share_out(struct sim *s)
{
	struct credit_amount all = { SKEW_SLOTS, SKEW_CONNECTIONS };
	struct credit_amount none = { 0, 0 };
	char id[SKEW_ID_SIZE], shard[SKEW_ID_SIZE];
	int i, w, owner;

	for (i = 0; i < s->entries; i++)
		open_entry(s, i);
	for (w = 0; w < s->workers; w++) {
		owner = w / rack_workers(s) % s->entries;
		snprintf(id, sizeof(id), "%d", w);
		snprintf(shard, sizeof(shard), "%d", w / rack_workers(s));
		if (s->way == WAY_MOVING)
			credit_issue(
			    s->each[owner].book, id, shard, 1, all, none);
		else if (s->way == WAY_OWNER)
			s->each[owner].free += SKEW_SLOTS;
	}
	for (i = 0; s->way == WAY_STATIC && i < s->workers * SKEW_SLOTS; i++)
		s->each[i % s->entries].free++;
}

static void
tick(struct sim *s)
{
	int i, spare, waiting;

	spare = waiting = 0;
	for (i = 0; i < s->entries; i++) {
		spare += s->each[i].free;
		waiting += (int)s->each[i].queue.count;
		if (s->way != WAY_MOVING)
			continue;
		if (s->each[i].queue.count > 0)
			lend_ask(s, i);
		if ((s->ticks + i) % IDLE_TICKS == 0)
			lend_give_back(s, i);
	}
	s->ticks++;
	if (s->now_us >= SKEW_WARM_US)
		s->stranded_sum += spare < waiting ? spare : waiting;
	schedule(s, EVENT_TICK, SKEW_TICK_US, 0, 0);
}

static void
new_weights(struct sim *s)
{
	double weights[SKEW_ENTRIES_MAX];
	int i;

	for (i = 0; i < s->entries; i++)
		weights[i] = gsl_ran_lognormal(s->rng, 0, SKEW);
	gsl_ran_discrete_free(s->weights);
	s->weights = gsl_ran_discrete_preproc((size_t)s->entries, weights);
	schedule(s, EVENT_WEIGHTS, WEIGHTS_US, 0, 0);
}

static void
heartbeat(struct sim *s)
{
	int i, k, other;

	for (i = 0; i < s->entries; i++) {
		for (k = 0; k < HEARD; k++) {
			other = (int)gsl_rng_uniform_int(
			    s->rng, (unsigned long)s->entries);
			if (s->entries <= HEARD)
				other = k % s->entries;
			s->each[i].told_us[other] = s->now_us;
			s->each[i].told[other] = load_of(&s->each[other]);
		}
	}
	schedule(s, EVENT_GOSSIP, GOSSIP_US, 0, 0);
}

static void
handle(struct sim *s, const struct event *event)
{
	switch (event->kind) {
	case EVENT_ARRIVE:
		call_arrive(s, event);
		break;
	case EVENT_PLACED:
		call_place(s, event);
		break;
	case EVENT_DONE:
		call_done(s, event);
		break;
	case EVENT_WANT:
		lend_grant(s, event);
		break;
	case EVENT_CREDITS:
		lend_receive(s, event);
		break;
	case EVENT_TICK:
		tick(s);
		break;
	case EVENT_GOSSIP:
		heartbeat(s);
		break;
	case EVENT_WEIGHTS:
		new_weights(s);
		break;
	}
}

static int
by_value(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

static struct result
measure(struct sim *s)
{
	struct result r;

	qsort(s->waits_ms, s->nwaits, sizeof(*s->waits_ms), by_value);
	r.p50_ms = s->waits_ms[s->nwaits / 2];
	r.p99_ms = s->waits_ms[s->nwaits * 99 / 100];
	r.p999_ms = s->waits_ms[s->nwaits * 999 / 1000];
	r.waited_percent = 100.0 * (double)s->waited / (double)s->nwaits;
	r.stranded =
	    s->stranded_sum / ((SKEW_END_US - SKEW_WARM_US) / SKEW_TICK_US);
	r.bytes_s = s->bytes / (SKEW_END_US / 1e6) / s->entries;
	return r;
}

static void
sim_free(struct sim *s)
{
	int i;

	for (i = 0; i < s->entries; i++) {
		credit_close(s->each[i].book);
		free(s->each[i].queue.since_us);
	}
	while (s->heap.count > 0)
		free(event_pop(&s->heap).message);
	gsl_ran_discrete_free(s->weights);
	gsl_rng_free(s->rng);
	free(s->heap.at);
	free(s->waits_ms);
	free(s);
}

struct result
sim_run(enum way way, int workers, int entries, double load, unsigned long seed)
{
	struct result result;
	struct event event;
	struct sim *s;

	if ((s = calloc(1, sizeof(*s))) == NULL)
		err(1, "simulation");
	s->way = way;
	s->workers = workers;
	s->entries = entries;
	s->load = load;
	s->rng = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(s->rng, seed);
	share_out(s);
	new_weights(s);
	heartbeat(s);
	schedule(s, EVENT_ARRIVE, 0, 0, 0);
	schedule(s, EVENT_TICK, SKEW_TICK_US, 0, 0);
	while (s->now_us < SKEW_END_US) {
		event = event_pop(&s->heap);
		s->now_us = event.at_us;
		handle(s, &event);
	}
	result = measure(s);
	sim_free(s);
	return result;
}
