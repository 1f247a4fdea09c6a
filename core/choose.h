#ifndef CHOOSE_H
#define CHOOSE_H

#include <stddef.h>
#include <stdint.h>

#include "health.h"
#include "learn.h"

/*
 * Selects the endpoint for a call: the best of a random sample of endpoints
 * with credits.  The sample has a constant size, so the cost of a decision
 * does not depend on the number of endpoints, and entries that decide at the
 * same time do not all select the same one.
 */

enum choose_reason {
	CHOOSE_ONLY_CANDIDATE, /* the one candidate */
	CHOOSE_NEAREST, /* mainly: same data centre */
	CHOOSE_LOWEST_LATENCY, /* mainly: lowest learnt latency */
	CHOOSE_FEWEST_IN_FLIGHT, /* mainly: fewest calls in flight */
	CHOOSE_EQUAL, /* equal candidates; random */
	CHOOSE_NO_CREDIT, /* none: no candidate has a credit */
	CHOOSE_ALL_LEAVING, /* none: those with credits are draining */
	CHOOSE_NONE /* none: there are no endpoints */
};

/* State of one endpoint, kept by the caller. */
struct choose_endpoint {
	int data_center; /* number given by the caller */
	int credits; /* spare credits held by this entry */
	int in_flight; /* calls of this entry */
	int slots; /* the endpoint's slots */
	int draining; /* draining: takes no new calls */
	int failures; /* consecutive calls without a response */
	int64_t failed_ms; /* time of the last failure */
	struct learn_worker *learnt; /* NULL: unknown */
};

struct choose_options {
	int candidates; /* endpoints compared; 24 */
	int examine_max; /* endpoints examined, once there is a candidate; 64 */
	double one_way_ms; /* to another data centre; 1.5 or 0.5 */
	double fallback_ms; /* latency of an unknown service; 10 */
	int64_t failing_ms; /* duration for which failures count; 10000 */
};

struct choose_result {
	int index; /* into the array, or -1 */
	enum choose_reason reason;
	double expected_ms;
	double runner_up_ms; /* of the second best, 0 if there is none */
};

/* Sets all options to their defaults. */
void choose_options_default(struct choose_options *);

/*
 * Chooses among n endpoints for a call of a service (kind) from an entry in
 * data_center.  random is a uniform random number for the sample.  exclude is
 * the index of an endpoint not to use, such as the last one of a retried call,
 * or -1.
 */
struct choose_result choose(const struct choose_options *,
    struct choose_endpoint *const *, size_t n, int kind, int data_center,
    int exclude, uint64_t random, int64_t now_ms);

/*
 * To be called after each call, depending on whether the endpoint responded.
 * A refusal is a response; a truncated response is not.
 */
void choose_answered(struct choose_endpoint *);
void choose_failed(struct choose_endpoint *, int64_t now_ms);

/*
 * Records the total duration of a call with a complete response.  The network
 * latency between data centres is subtracted before the rest is learnt.  Does
 * nothing if e->learnt is NULL.
 */
void choose_latency(const struct choose_options *, struct choose_endpoint *e,
    int kind, int data_center, double ms, int64_t now_ms);

const char *choose_reason_text(enum choose_reason);

#endif /* CHOOSE_H */
