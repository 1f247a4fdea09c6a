#ifndef BIND_H
#define BIND_H

#include <stddef.h>
#include <stdint.h>

#include "health.h"
#include "learn.h"
#include "room.h"

/*
 * Selects the worker for a task: one where the task fits in every dimension,
 * interferes least with the services and tasks there as far as learnt, leaves
 * room where it will be needed, and spreads its job over failure domains.
 */

enum bind_reason {
	BIND_ONLY_FIT, /* no other worker examined fits */
	BIND_LEAST_INTERFERENCE, /* mainly: least interference */
	BIND_SPREAD, /* mainly: fewest tasks of the job in the domain */
	BIND_MOST_ROOM, /* mainly: leaves the best balance of room */
	BIND_PROBE, /* probes a worker that was failing */
	BIND_EXPLORE, /* mainly: learns about an unknown combination */
	BIND_AHEAD, /* runs out of work first; see bind_ahead() */
	BIND_NO_FIT, /* none: no room on the workers examined */
	BIND_ALL_FAILING, /* none: the workers with room are failing */
	BIND_TOO_LARGE, /* none: larger than any VM */
	BIND_JOB_NOT_MEASURED, /* none yet: waits for the job's first tasks */
	BIND_NONE /* none: there are no workers */
};

enum bind_spread {
	BIND_SPREAD_NONE,
	BIND_SPREAD_RACK,
	BIND_SPREAD_DATA_CENTER
};

/* State of one worker, kept by the caller. */
struct bind_worker {
	struct resources capacity;
	struct resources reserved; /* by all bound tasks, services included */
	int rack; /* number given by the caller, unique over data centres */
	int data_center; /* number given by the caller */
	int draining;
	int tasks; /* bound to the worker */
	uint64_t id; /* hash of the worker's id */
	/*
	 * Expected CPU time of the work bound to the worker, whether running
	 * or bound ahead: CPU millis times run time in ms, over 1000.
	 */
	int64_t work_ms;
	double pressure; /* the highest pressure of its services (evict.h) */
	struct health_worker health;
	struct learn_worker *learnt; /* NULL: unknown */
};

/* The task to be bound. */
struct bind_task {
	struct resources reserve; /* from learn_reserve() */
	int kind;
	int urgent;
	int resumed; /* was evicted; bound before all other tasks */
	uint64_t avoid; /* id of a worker it failed on or left; 0: none */
	enum bind_spread spread;
	int job_running; /* tasks of its job bound or running */
	int job_measured; /* measurements of its job's use so far */
	int64_t run_ms; /* declared, 0 if unknown */
	int64_t accepted_ms;
};

/*
 * Returns the number of tasks of the job that are bound in a failure domain.
 * May be NULL if the caller does not spread.
 */
typedef int (*bind_domain_count_cb)(void *ctx, int domain);

/* An additional check for room, such as core/room.  Nonzero: it fits. */
typedef int (*bind_fits_cb)(void *ctx, size_t index, const struct resources *);

struct bind_options {
	int candidates; /* fitting workers compared with each other; 16 */
	int examine_max; /* workers examined to find them; 128 */
	double tail_weight; /* of the policy; 1 */
	double throughput_weight; /* of the policy; 1 */
	double eviction_weight; /* of the policy; 1 */
	double explore; /* bonus for an unknown combination; 0.02 */
	/*
	 * Number of tasks of a job that may run before as many measurements
	 * of the job's use exist.  0: no limit.  Default 2.
	 */
	int unmeasured_max;
	double headroom; /* share of a VM kept free of normal tasks; 0.02 */
	/*
	 * A worker that has work for this long gets no more tasks ahead.
	 * 0: no limit, the default.
	 */
	int64_t ahead_ms;
};

struct bind_result {
	int index; /* into the array, or -1 */
	enum bind_reason reason;
	double cost;
	double runner_up; /* cost of the second best, 0 if there is none */
};

void bind_options_default(struct bind_options *);

/*
 * Selects the worker for one task among n.  random is a uniform random number.
 * Both callbacks get ctx and may be NULL.
 */
struct bind_result bind_pick(const struct bind_options *,
    const struct bind_task *, struct bind_worker *const *, size_t n,
    bind_fits_cb, bind_domain_count_cb, void *ctx, uint64_t random,
    int64_t now_ms);

/*
 * Selects the worker to bind a task to ahead of time; the task can then start
 * only there.  Takes the worker of the sample that would run out of work
 * first, so that at an outage of the store all workers have about the same
 * amount of work left.  Adds to the worker's work_ms.  The result is
 * BIND_NO_FIT if every worker has work for ahead_ms on its CPUs.
 */
struct bind_result bind_ahead(const struct bind_options *,
    const struct bind_task *, struct bind_worker *const *, size_t n,
    uint64_t random, int64_t now_ms);

/*
 * Compares two waiting tasks; negative if a is to be bound before b.  Evicted
 * tasks come first, then urgent ones, then those that have waited longest.
 */
int bind_order(const struct bind_task *a, const struct bind_task *b);

const char *bind_reason_text(enum bind_reason);

#endif /* BIND_H */
