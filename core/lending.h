#ifndef LENDING_H
#define LENDING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "credit.h"

/*
 * Lending of credits between entries by demand: when a borrower sends a
 * request and to whom, how much the lender gives, and how much idle credit is
 * returned without a request.
 */

/* Slots of a service at one entry. */
struct lending_load {
	int held; /* spare or in use */
	int needed; /* lending_needed() */
};

/* Slots needed for the calls in flight (busy) and queued (waiting). */
int lending_needed(int busy, int waiting);

/*
 * Slots to transfer so that both entries hold slots in proportion to their
 * need; 0 if the lender has too few itself.
 */
int lending_fair_share(
    struct lending_load lender, struct lending_load borrower);

/*
 * Spare slots that the lender gives: the fair share, but at least half of the
 * spare ones, since calls are waiting at the borrower and none at the lender.
 */
int lending_offer(struct lending_load lender, struct lending_load borrower,
    int spare, int wanted);

/*
 * Whether an offer is worth a request to a borrower that holds that many slots:
 * at least a sixteenth of them.  For less, waiting for a call in flight to end
 * is as fast, and under full load all entries would keep sending requests to
 * each other.
 */
bool lending_worthwhile(int offer, int held);

/*
 * Estimate the offer of a peer from the load it reported age_ms ago.  A stale
 * report that leaves nothing worthwhile is disregarded: the peer is sent one
 * request, since its response brings a current report.
 */
int lending_estimate(
    struct lending_load reported, int64_t age_ms, struct lending_load own);

/* Whether the worker runs the service and can take calls. */
typedef bool lending_filter(
    const struct credit_worker *, const char *service, void *ctx);

/* The load of this entry for a service; needed counts calls in flight only. */
struct lending_load lending_load_of(
    struct credit_table *, lending_filter *, const char *service, void *ctx);

struct lending_request {
	const char *service;
	struct credit_peer peer;
	struct credit_amount wanted;
};

/*
 * Transfer spare credits to a peer, an equal share of each worker, so that the
 * borrower can choose among many workers.  Of a request for connections alone
 * (for watches) at most half of the spare ones are granted.  turn selects the
 * worker to begin with.  Fills up to max elements of out and returns their
 * number.
 */
size_t lending_grant(struct credit_table *, lending_filter *, void *ctx,
    const struct lending_request *, unsigned int turn,
    struct credit_transfer *out, size_t max);

/* Token bucket that limits requests for credits. */
struct lending_rate {
	int burst;
	int64_t refill_ms; /* per token */
	int tokens;
	int64_t refilled_ms;
};

/* The bucket starts full. */
void lending_rate_init(
    struct lending_rate *, int burst, int64_t refill_ms, int64_t now_ms);
/* Take a token; false if there is none. */
bool lending_rate_take(struct lending_rate *, int64_t now_ms);

/*
 * Idle credit of one row to return to the owner: half, less if this entry would
 * keep too little.  row is the spare credit of the row, local_spare the sum
 * over all rows.
 */
struct credit_amount lending_return(struct credit_amount idle,
    struct credit_amount row, struct credit_amount local_spare);

#endif /* LENDING_H */
