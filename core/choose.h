#ifndef CHOOSE_H
#define CHOOSE_H

#include <stddef.h>
#include <stdint.h>

#include "health.h"
#include "learn.h"

/*
 * The endpoint for a call: the best of a constant number of candidates with
 * a credit, drawn at random, so that a decision costs the same at any size
 * and entries that decide at the same moment don't all pick the same one.
 */

enum choose_reason {
	CHOOSE_ONLY_CANDIDATE, /* the one candidate */
	CHOOSE_NEAREST, /* chiefly for the data centre */
	CHOOSE_LOWEST_LATENCY, /* chiefly for the learnt latency */
	CHOOSE_FEWEST_IN_FLIGHT, /* chiefly for fewer calls in flight */
	CHOOSE_EQUAL, /* no difference; drawn */
	CHOOSE_NO_CREDIT, /* none: no candidate has a credit */
	CHOOSE_ALL_LEAVING, /* none: those with credits are leaving */
	CHOOSE_NONE /* none: no endpoint at all */
};

/* Kept by the caller for each endpoint; the order does not matter. */
struct choose_endpoint {
	int data_center; /* a number of the caller's for each */
	int credits; /* spare credits held here */
	int in_flight; /* our calls there */
	int slots; /* the endpoint's slots */
	int leaving; /* no new work */
	int failures; /* calls in a row without an answer */
	int64_t failed_ms; /* of the last of those */
	struct learn_worker *learnt; /* NULL: nothing known */
};

struct choose_options {
	int candidates; /* sampled; 24 */
	int examine_max; /* endpoints looked at once one is found; 64 */
	double one_way_ms; /* to another data centre; 1.5 or 0.5 */
	double fallback_ms; /* latency assumed of an unknown service; 10 */
	int64_t failing_ms; /* how long failures count; 10000 */
};

struct choose_result {
	int index; /* into the array, or -1 */
	enum choose_reason reason;
	double expected_ms;
	double runner_up_ms; /* 0 with one candidate */
};

/* Fill in every option. */
void choose_options_default(struct choose_options *);

/*
 * Choose among n endpoints for a call of a service (kind) from an entry in
 * data_center.  random is uniform and seeds the draw.  exclude is an index
 * to leave out, such as the one a retry comes from, or -1.
 */
struct choose_result choose(const struct choose_options *,
    struct choose_endpoint *const *, size_t n, int kind, int data_center,
    int exclude, uint64_t random, int64_t now_ms);

/*
 * After each call: whether the endpoint answered.  A refusal is an answer;
 * one cut short is not.
 */
void choose_answered(struct choose_endpoint *);
void choose_failed(struct choose_endpoint *, int64_t now_ms);

/*
 * After a complete answer: how long it took in all.  The distance is taken
 * off before the latency is learnt; nothing happens without e->learnt.
 */
void choose_latency(const struct choose_options *, struct choose_endpoint *e,
    int kind, int data_center, double ms, int64_t now_ms);

const char *choose_reason_text(enum choose_reason);

#endif /* CHOOSE_H */
