#ifndef REPORT_H
#define REPORT_H

#include <stdio.h>

#include "trace.h"
#include "world.h"

/*
 * Figures of one policy over several seeds, and the stated outcomes.
 *
 * The weighted cost of a run, lower is better:
 *	tail_weight * p99 / target
 *	+ throughput_weight * (1 - useful work / work submitted)
 *	+ eviction_weight * evictions / 100 tasks done
 */

struct summary {
	const struct policy *policy;
	int seeds;
	struct tally *tallies;
};

double report_cost(const struct trace *, const struct tally *);
double report_measure(const struct tally *, enum trace_measure);

void report_table(FILE *, const struct trace *, const struct summary *, int n);
void report_csv(FILE *, const struct trace *, const struct summary *, int n,
    unsigned long first_seed);

/* Print each outcome that a seed misses; returns how many outcomes were. */
int report_outcomes(FILE *, const struct trace *, const struct summary *,
    unsigned long first_seed);

#endif /* REPORT_H */
