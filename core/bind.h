#ifndef BIND_H
#define BIND_H

#include <stddef.h>
#include <stdint.h>

#include "health.h"
#include "learn.h"
#include "room.h"

/*
 * The worker for a task: it fits in every dimension, disturbs the services
 * and tasks there least as far as learnt, leaves room where it will be
 * needed, and spreads a job over its failure domains.
 */

enum bind_reason {
	BIND_ONLY_FIT, /* the one worker that fits */
	BIND_LEAST_INTERFERENCE, /* chiefly: disturbs least what runs there */
	BIND_SPREAD, /* chiefly: fewest tasks of the job in that domain */
	BIND_MOST_ROOM, /* chiefly: leaves the best balance of room */
	BIND_PROBE, /* a probe of a worker that was failing */
	BIND_EXPLORE, /* to learn about a pair not yet seen together */
	BIND_AHEAD, /* it would run out of work first */
	BIND_NO_FIT, /* none: no room in those looked at */
	BIND_ALL_FAILING, /* none: those with room are failing */
	BIND_TOO_LARGE, /* none: larger than any VM */
	BIND_JOB_NOT_MEASURED, /* none yet: the first tasks of its job go first
				*/
	BIND_NONE /* none: no worker at all */
};

enum bind_spread {
	BIND_SPREAD_NONE,
	BIND_SPREAD_RACK,
	BIND_SPREAD_DATA_CENTER
};

/* Kept by the caller for each worker. */
struct bind_worker {
	struct resources capacity;
	struct resources reserved; /* sum over bound tasks, services included */
	int rack; /* numbers of the caller's; racks are unique */
	int data_center; /* over data centres */
	int leaving;
	int tasks; /* bound there */
	uint64_t id; /* hash of the worker's id */
	int64_t work_ms; /* expected processor-milliseconds / 1000 of the work
			    bound there, running or ahead; for bind_ahead() */
	double pressure; /* highest of its services, of struct evict_service */
	struct health_worker health;
	struct learn_worker *learnt; /* NULL: nothing known */
};

/* What is to be bound. */
struct bind_task {
	struct resources reserve; /* of learn_reserve() */
	int kind;
	int urgent;
	int resumed; /* evicted before: goes first in line */
	uint64_t avoid; /* hash of a worker it failed on or left; 0: none */
	enum bind_spread spread;
	int job_running; /* tasks of its job bound or running */
	int job_measured; /* late measurements of its job's use so far */
	int64_t run_ms; /* declared, 0 if unknown */
	int64_t accepted_ms;
};

/*
 * Tasks of this job already bound in a failure domain.  May be NULL when
 * the caller doesn't spread.
 */
typedef int (*bind_domain_count_cb)(void *ctx, int domain);

/* The last word on room, such as that of core/room; nonzero: it fits. */
typedef int (*bind_fits_cb)(void *ctx, size_t index, const struct resources *);

struct bind_options {
	int candidates; /* that fit, weighed against each other; 16 */
	int examine_max; /* workers looked at for them; 128 */
	double tail_weight; /* of the policy; 1 */
	double throughput_weight; /* of the policy; 1 */
	double eviction_weight; /* of the policy; 1 */
	double explore; /* worth of learning about an unknown pair; 0.02 */
	int unmeasured_max; /* tasks of a job that may run before its use has
			   been measured that often; 0: any number; 2 */
	double headroom; /* share of a VM kept free of normal tasks; 0.02 */
	int64_t ahead_ms; /* no more is bound ahead to a worker whose work
			     lasts so long; 0: no limit; 0 */
};

struct bind_result {
	int index; /* into the array, or -1 */
	enum bind_reason reason;
	double cost;
	double runner_up; /* 0 with one candidate */
};

void bind_options_default(struct bind_options *);

/*
 * Find the worker for one task among n.  random is uniform.  The callbacks
 * may be NULL; both get ctx.
 */
struct bind_result bind_pick(const struct bind_options *,
    const struct bind_task *, struct bind_worker *const *, size_t n,
    bind_fits_cb, bind_domain_count_cb, void *ctx, uint64_t random,
    int64_t now_ms);

/*
 * The worker to bind a task ahead to, startable only there: among those
 * sampled, the one that would run out of work first, so that an outage of
 * the store finds each with about as much to do.  Adds to its work_ms.
 * BIND_NO_FIT if each has work for ahead_ms, by its processors.
 */
struct bind_result bind_ahead(const struct bind_options *,
    const struct bind_task *, struct bind_worker *const *, size_t n,
    uint64_t random, int64_t now_ms);

/*
 * The order of waiting tasks: negative if a goes before b.  Evicted work
 * first, then urgent before normal, then the one that waited longer.
 */
int bind_order(const struct bind_task *a, const struct bind_task *b);

const char *bind_reason_text(enum bind_reason);

#endif /* BIND_H */
