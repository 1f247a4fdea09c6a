#ifndef EVICT_H
#define EVICT_H

#include <stddef.h>
#include <stdint.h>

#include "learn.h"

/*
 * Protect a service whose late measurements miss their target: throttle
 * tasks on that VM first, then checkpoint one, and stop one only if it
 * cannot be checkpointed.  The victim is the task that is likeliest to be
 * the cause and loses least work.  A task that was evicted max_evictions
 * times is protected from then on; it can still be throttled.
 */

enum evict_action {
	EVICT_NOTHING,
	EVICT_THROTTLE, /* hold the victim to percent */
	EVICT_RELEASE, /* raise a throttled task to percent */
	EVICT_CHECKPOINT, /* checkpoint it and bind it again */
	EVICT_STOP /* stop it; work since its checkpoint is lost */
};

enum evict_reason {
	EVICT_ON_TARGET, /* nothing: the service meets its target */
	EVICT_TOO_FEW_MISSES, /* nothing: too few misses to be sure */
	EVICT_SETTLING, /* nothing: the last action can't show yet */
	EVICT_NO_TASKS, /* nothing: no task here */
	EVICT_NO_LIKELY_CAUSE, /* nothing: no task here is likely the cause */
	EVICT_PROTECTED, /* nothing: the likely causes are protected */
	EVICT_COST_TOO_HIGH, /* nothing: costs more than it gains, as weighed */
	EVICT_LIKELY_CAUSE, /* the victim is the likeliest cause */
	EVICT_LEAST_WORK_LOST, /* among likely causes, it loses least work */
	EVICT_CPU_OVERCOMMIT, /* throttle: the VM is over its processors */
	EVICT_TARGET_HELD /* release: on target for long enough */
};

/* Kept by the caller for one service on one worker; zeroed at first. */
struct evict_service {
	int kind;
	double target_p99_ms; /* 0: no target; releases alone */
	double pressure; /* how sure we are that the target is missed, 0-1 */
	double excess; /* smoothed p99 / target */
	int64_t measured_ms; /* of the last measurement taken in */
	int64_t last_action_ms; /* of the last action for it */
	int64_t quiet_ms; /* since when on target, 0: not */
	int seen; /* measurements taken in since that action */
	double calls_share; /* calls here / mean of all VMs; 0: unknown */
	int64_t capacity_cpu_millis; /* of the VM; 0: unknown, no bound */
	int64_t used_cpu_millis; /* there, as last measured: over the capacity
				    tasks are throttled, and nothing is
				    released beyond it */
};

/* One task on that worker. */
struct evict_task {
	uint64_t tenant; /* as known to learn */
	int kind;
	int64_t cpu_millis; /* in use as far as known */
	int64_t unsaved_ms; /* work since start or checkpoint */
	int64_t run_ms; /* expected in all, 0 if unknown */
	int evictions;
	int max_evictions; /* of its job; 0: the policy's */
	int percent; /* throttled to; 100: not */
	int urgent;
	int no_checkpoint; /* it refused to checkpoint */
};

struct evict_options {
	double tail_weight; /* of the policy; 1 */
	double throughput_weight; /* of the policy; 1 */
	double eviction_weight; /* of the policy; 1 */
	double act_pressure; /* act above; 0.6 */
	double clear_ratio; /* quiet below this share of the target; 0.95 */
	int64_t settle_ms; /* a measurement made sooner after an action
			      doesn't show it yet; 6000 */
	int64_t quiet_ms; /* on target so long before a release; 20000 */
	int throttle_percent; /* first throttle; 50 */
	int throttle_min_percent; /* last throttle; 20 */
	int max_evictions; /* of a task whose job sets none; 3 */
	double min_share; /* of the slowdown, to be a likely cause; 0.1 */
};

struct evict_result {
	enum evict_action action;
	enum evict_reason reason;
	int index; /* of the task, or -1 */
	int percent; /* for throttle and release */
	double share; /* of the slowdown put down to it */
};

/* Fill in every option. */
void evict_options_default(struct evict_options *);

/*
 * Take in one late measurement.  One older than, or as old as, the last is
 * left out, so a repeated report counts once.
 */
void evict_measured(const struct evict_options *, struct evict_service *,
    double p99_ms, int64_t measured_ms);

/*
 * Decide for one service on one worker.  If an action comes back the caller
 * carries it out; learnt may be NULL.
 */
struct evict_result evict_decide(const struct evict_options *,
    struct evict_service *, struct learn_worker *learnt,
    const struct evict_task *, size_t n, int64_t now_ms);

const char *evict_action_text(enum evict_action);
const char *evict_reason_text(enum evict_reason);

#endif /* EVICT_H */
