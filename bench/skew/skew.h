#ifndef SKEW_H
#define SKEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>

#include "credit.h"
#include "lending.h"

/*
 * A simulation by events of three ways to share the endpoints' slots among
 * the entries.  The balancer spreads calls over the entries with random
 * weights that change every few seconds.  What a call waits for is a slot,
 * and with one owner the hop to it.  Simulated time is in microseconds from
 * the start; without memory the program ends.
 */

#define SKEW_SLOTS 8 /* of a worker */
#define SKEW_CONNECTIONS 64 /* of a worker */
#define SKEW_DATA_CENTERS 3
#define SKEW_CALL_US 50000.0 /* mean work of a call */
#define SKEW_WARM_US 5e6 /* calls before aren't measured */
#define SKEW_END_US 25e6
#define SKEW_TICK_US 50000.0
#define SKEW_ENTRIES_MAX 80
#define SKEW_WORKERS_MAX 590
#define SKEW_TRANSFERS_MAX 64
#define SKEW_ID_SIZE 16 /* bytes of a number used as an id */
#define SKEW_US_PER_MS 1000

enum way {
	WAY_STATIC, /* a fixed part of the slots for each entry */
	WAY_OWNER, /* one owner for each shard, with a hop to it */
	WAY_MOVING, /* credits that move by demand, as in the daemon */
	WAYS
};

enum kind {
	EVENT_ARRIVE, /* a call reaches the balancer */
	EVENT_PLACED, /* it is where it waits for a slot */
	EVENT_DONE, /* it ends and frees its slot */
	EVENT_WANT, /* an entry's request for credits reaches a peer */
	EVENT_CREDITS, /* credits reach the entry that asked */
	EVENT_TICK,
	EVENT_GOSSIP,
	EVENT_WEIGHTS
};

struct message {
	size_t count;
	uint64_t sequence;
	struct credit_transfer items[SKEW_TRANSFERS_MAX];
};

struct event {
	double at_us;
	enum kind kind;
	int a; /* the entry it happens at */
	int b; /* the worker, or the entry that sent it */
	int wanted; /* slots */
	struct lending_load load; /* of the sender */
	double since_us; /* when the call arrived */
	struct message *message;
};

/* Events to come, the earliest first. */
struct event_heap {
	struct event *at;
	size_t count, room;
};

/* Calls that wait for a slot, first in first out. */
struct waiting {
	double *since_us;
	size_t head, count, room;
};

/* An entry; in the static and owner ways with one pool of free slots. */
struct entry {
	struct credit_table *book;
	struct lending_rate rate;
	struct waiting queue;
	int free; /* slots it can use at once */
	int busy;
	double told_us[SKEW_ENTRIES_MAX];
	struct lending_load told[SKEW_ENTRIES_MAX]; /* others', as last heard */
	double asked_us; /* when the request that is open was sent; 0: none */
	int with_spare[SKEW_WORKERS_MAX]; /* workers, for random choice */
	int place[SKEW_WORKERS_MAX]; /* index in with_spare, or -1 */
	int spare_workers;
	uint64_t sequence;
	unsigned int turn;
};

struct sim {
	enum way way;
	int entries, workers;
	double load; /* share of the slots that calls keep busy */
	gsl_rng *rng;
	gsl_ran_discrete_t *weights; /* of the entries, at the balancer */
	struct event_heap heap;
	double now_us;
	struct entry each[SKEW_ENTRIES_MAX];
	double *waits_ms;
	size_t nwaits, waits_room;
	double stranded_sum; /* over ticks */
	double bytes; /* in and out, of all entries */
	long ticks;
	long waited; /* calls that found no slot free */
};

/* What a run measures; waits are for a slot, the hop included. */
struct result {
	double p50_ms, p99_ms, p999_ms;
	double waited_percent;
	double stranded; /* mean of slots free while calls wait elsewhere */
	double bytes_s; /* of control, in and out, an entry */
};

/* events.c */
void event_push(struct event_heap *, const struct event *);
struct event event_pop(struct event_heap *);
/* An event of that kind in_us from now. */
void schedule(struct sim *, enum kind, double in_us, int a, int b);
/* Time of a message between two entries. */
double one_way_us(int a, int b);

/* waiting.c */
void waiting_push(struct waiting *, double since_us);
double waiting_pop(struct waiting *);

/* bytes.c: what a message takes on the line, counted for both ends. */
double want_bytes(struct lending_load);
double transfers_bytes(const struct message *);

/* calls.c */
int rack_workers(const struct sim *);
void call_arrive(struct sim *, const struct event *);
void call_place(struct sim *, const struct event *);
void call_done(struct sim *, const struct event *);
/* Start what waits at an entry, as far as it has slots. */
void start_calls(struct sim *, int entry);

/* lend.c: credits between entries, by core/credit and core/lending. */
struct lending_load load_of(const struct entry *);
/* Ask the peer that would give most, if it is worth a message. */
void lend_ask(struct sim *, int entry);
void lend_grant(struct sim *, const struct event *);
void lend_receive(struct sim *, const struct event *);
/* Give what lay idle back to the owners. */
void lend_give_back(struct sim *, int entry);

/* sim.c: one run. */
struct result sim_run(
    enum way, int workers, int entries, double load, unsigned long seed);

#endif /* SKEW_H */
