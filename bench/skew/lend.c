#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "skew.h"

#define ANSWER_US 100000.0 /* an answer not here by then is lost */

/* Credits of one entry that go back to their owners. */
struct giving_back {
	struct sim *sim;
	int from;
};

static int pick_lender(struct sim *, int, struct lending_load);
static bool serves_all(const struct credit_worker *, const char *, void *);
static void send_credits(
    struct sim *, int, int, const struct credit_transfer *, size_t);
static void give_back(
    const struct credit_worker *, struct credit_amount, void *);

struct lending_load
load_of(const struct entry *entry)
{
	struct lending_load load;

	load.held = entry->free + entry->busy;
	load.needed = lending_needed(entry->busy, (int)entry->queue.count);
	return load;
}

/* The one to ask, a near one if that costs little, or -1. */
static int
pick_lender(struct sim *s, int e, struct lending_load load)
{
	struct entry *entry = &s->each[e];
	int best, near, first, i, k, slots, best_slots, near_slots;

	best = near = -1;
	best_slots = near_slots = 0;
	/* From a random one on, lest all ask the same of several equals. */
	first = (int)gsl_rng_uniform_int(s->rng, (unsigned long)s->entries);
	for (k = 0; k < s->entries; k++) {
		i = (first + k) % s->entries;
		if (i == e)
			continue;
		slots = lending_estimate(entry->told[i],
		    (int64_t)(s->now_us - entry->told_us[i]) / SKEW_US_PER_MS,
		    load);
		if (slots > best_slots) {
			best = i;
			best_slots = slots;
		}
		if (i % SKEW_DATA_CENTERS == e % SKEW_DATA_CENTERS &&
		    slots > near_slots) {
			near = i;
			near_slots = slots;
		}
	}
	if (!lending_worthwhile(best_slots, load.held))
		return -1;
	if (near_slots >= load.needed || best_slots <= 2 * near_slots)
		return near;
	return best;
}

void
lend_ask(struct sim *s, int e)
{
	struct entry *entry = &s->each[e];
	struct event event;
	int lender;

	if (entry->asked_us > 0 && s->now_us < entry->asked_us + ANSWER_US)
		return;
	memset(&event, 0, sizeof(event));
	event.load = load_of(entry);
	if ((lender = pick_lender(s, e, event.load)) == -1 ||
	    !lending_rate_take(
		&entry->rate, (int64_t)(s->now_us / SKEW_US_PER_MS)))
		return;
	entry->asked_us = s->now_us;
	s->bytes += want_bytes(event.load);
	event.kind = EVENT_WANT;
	event.at_us = s->now_us + one_way_us(e, lender);
	event.a = lender;
	event.b = e;
	event.wanted = event.load.needed;
	event_push(&s->heap, &event);
}

static bool
serves_all(const struct credit_worker *row, const char *service, void *ctx)
{
	(void)row;
	(void)service;
	(void)ctx;
	return true;
}

static void
send_credits(struct sim *s, int from, int to,
    const struct credit_transfer *items, size_t count)
{
	struct event event;

	memset(&event, 0, sizeof(event));
	event.kind = EVENT_CREDITS;
	event.load = load_of(&s->each[from]);
	event.at_us = s->now_us + one_way_us(from, to);
	event.a = to;
	event.b = from;
	if ((event.message = malloc(sizeof(*event.message))) == NULL)
		err(1, "message");
	event.message->count = count;
	memcpy(event.message->items, items, count * sizeof(*items));
	event.message->sequence = ++s->each[from].sequence;
	s->bytes += transfers_bytes(event.message);
	event_push(&s->heap, &event);
}

void
lend_grant(struct sim *s, const struct event *event)
{
	static struct credit_transfer items[SKEW_TRANSFERS_MAX];
	struct entry *entry = &s->each[event->a];
	struct lending_request request;
	size_t count;
	char id[SKEW_ID_SIZE];
	int slots;

	snprintf(id, sizeof(id), "%d", event->b);
	slots = lending_offer(
	    load_of(entry), event->load, entry->free, event->wanted);
	request.service = "";
	request.peer.peer = id;
	request.peer.incarnation = 1;
	request.wanted.slots = request.wanted.connections = slots;
	count = lending_grant(entry->book, serves_all, NULL, &request,
	    entry->turn, items, SKEW_TRANSFERS_MAX);
	entry->turn += (unsigned int)count;
	entry->told[event->b] = event->load;
	entry->told_us[event->b] = s->now_us;
	send_credits(s, event->a, event->b, items, count);
}

void
lend_receive(struct sim *s, const struct event *event)
{
	struct entry *entry = &s->each[event->a];
	struct credit_origin origin;
	char from[SKEW_ID_SIZE];
	size_t stale;

	snprintf(from, sizeof(from), "%d", event->b);
	origin.from = from;
	origin.incarnation = origin.to_incarnation = 1;
	origin.sequence = event->message->sequence;
	if (credit_receive(entry->book, &origin, event->message->items,
		event->message->count, &stale) != CREDIT_OK)
		errx(1, "transfer refused");
	free(event->message);
	entry->told[event->b] = event->load;
	entry->told_us[event->b] = s->now_us;
	entry->asked_us = 0;
	start_calls(s, event->a);
	if (entry->queue.count > 0)
		lend_ask(s, event->a);
}

static void
give_back(const struct credit_worker *row, struct credit_amount idle, void *ctx)
{
	struct credit_transfer item;
	struct giving_back *giving = ctx;
	struct entry *entry = &giving->sim->each[giving->from];
	struct credit_peer owner;
	struct credit_amount back;

	if (row->issued)
		return;
	back = lending_return(idle, row->spare, credit_spare(entry->book));
	if (back.slots == 0)
		return;
	owner.peer = row->owner;
	owner.incarnation = 1;
	if (credit_give(entry->book, row->worker, &owner, back, &item) ==
	    CREDIT_OK)
		send_credits(
		    giving->sim, giving->from, atoi(row->owner), &item, 1);
}

void
lend_give_back(struct sim *s, int e)
{
	struct giving_back giving = { s, e };

	credit_idle(s->each[e].book, give_back, &giving);
}
