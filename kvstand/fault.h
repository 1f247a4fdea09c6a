#ifndef FAULT_H
#define FAULT_H

#include <stdint.h>

#include <gsl/gsl_rng.h>
#include <jansson.h>

/* What the stand-in was told to do wrong.  Pure: the time is passed in. */

enum fault_mode {
	FAULT_NONE,
	FAULT_DOWN, /* 503, or the connection is reset */
	FAULT_SLOW, /* takes effect and answers after delay_ms */
	FAULT_LOSE_ANSWERS, /* takes effect, then the connection is reset */
	FAULT_REFUSE_WRITES, /* 503 to writes */
	FAULT_FREEZE /* nothing happens until the fault is over */
};

enum fault_scope { FAULT_ALL, FAULT_KV, FAULT_WATCH, FAULT_LEASE };

struct fault {
	enum fault_mode mode;
	enum fault_scope only;
	int64_t delay_ms;
	int64_t probability_percent;
	int64_t until_ms; /* INT64_MAX: until told otherwise */
	gsl_rng *rng;
};

/* -1: no memory. */
int fault_open(struct fault *, unsigned long seed);
void fault_close(struct fault *);

/*
 * Take the setting from {"mode","delay_ms","probability_percent","only",
 * "for_ms"}.  On a bad one returns -1 with the reason in why and changes
 * nothing.
 */
int fault_set(
    struct fault *, const json_t *, int64_t now_ms, char *why, size_t size);

/* What is to go wrong with a call of this scope now. */
enum fault_mode fault_draw(struct fault *, enum fault_scope, int64_t now_ms);
/* Whether a mode is in force for a scope, whatever the probability. */
int fault_in_force(
    const struct fault *, enum fault_mode, enum fault_scope, int64_t now_ms);
/* A coin from the fault's own generator. */
int fault_coin(struct fault *);

#endif /* FAULT_H */
