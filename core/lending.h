#ifndef LENDING_H
#define LENDING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "credit.h"

/*
 * How credits are lent by demand: whom an entry that is short asks and how
 * often, what the one that is asked gives, and what goes back unasked.
 */

/* Slots that an entry has for a service, and has use for. */
struct lending_load {
	int held; /* spare or under a call */
	int needed; /* lending_needed() */
};

/* Slots needed for so many calls under way and waiting. */
int lending_needed(int busy, int waiting);

/*
 * How many slots the lender should give so that both hold in proportion to
 * what they need; never below 0.
 */
int lending_fair_share(
    struct lending_load lender, struct lending_load borrower);

/*
 * How many of its spare slots the lender gives: what is fair, but at least
 * half of them, since a call waits there and none here.
 */
int lending_offer(struct lending_load lender, struct lending_load borrower,
    int spare, int wanted);

/*
 * Is so large an offer worth a request, to an entry that holds so many?  A
 * sixteenth of them: below that the next call that ends serves as well, and
 * under full load all entries would keep asking each other.
 */
bool lending_worthwhile(int offer, int held);

/*
 * What a peer may offer that told its load so long ago.  Old news that it has
 * nothing to spare isn't believed: it is worth one request, whose answer
 * brings new ones.
 */
int lending_estimate(
    struct lending_load told, int64_t age_ms, struct lending_load own);

/* Is the worker one of the service asked for, and able to take calls? */
typedef bool lending_filter(
    const struct credit_worker *, const char *service, void *ctx);

/* Slots held and calls under way here for a service. */
struct lending_load lending_load_of(
    struct credit_table *, lending_filter *, const char *service, void *ctx);

struct lending_request {
	const char *service;
	struct credit_peer peer;
	struct credit_amount wanted;
};

/*
 * Give spare credits to a peer, a like share of each worker, so that the
 * borrower can choose among many.  Of connections alone (for watches) at most
 * half.  turn says with which worker to begin.  Fills out[0..max); returns
 * how many.
 */
size_t lending_grant(struct credit_table *, lending_filter *, void *ctx,
    const struct lending_request *, unsigned int turn,
    struct credit_transfer *out, size_t max);

/* Requests for credits: a burst, then a steady rate. */
struct lending_rate {
	int burst;
	int64_t refill_ms; /* for one more */
	int tokens;
	int64_t refilled_ms;
};

/* The whole burst is there at first. */
void lending_rate_init(
    struct lending_rate *, int burst, int64_t refill_ms, int64_t now_ms);
/* false: not now; else one request may go out. */
bool lending_rate_take(struct lending_rate *, int64_t now_ms);

/*
 * Of what lay idle in a row, how much to return: half, unless little is left
 * here.  row is what the row has spare, spare_here the sum of all rows.
 */
struct credit_amount lending_return(struct credit_amount idle,
    struct credit_amount row, struct credit_amount spare_here);

#endif /* LENDING_H */
