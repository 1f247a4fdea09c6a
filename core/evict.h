#ifndef EVICT_H
#define EVICT_H

#include <stddef.h>
#include <stdint.h>

#include "learn.h"

/*
 * Protects a service whose latency, which is measured with a delay, exceeds
 * its target: tasks on its VM are throttled first, then one is checkpointed,
 * and one is stopped only if it cannot be checkpointed.  The victim is chosen
 * by its share of the slowdown and by the work lost.  A task that has been
 * evicted max_evictions times is not evicted again, but can still be
 * throttled.
 */

enum evict_action {
	EVICT_NOTHING,
	EVICT_THROTTLE, /* limit the victim to percent of its speed */
	EVICT_RELEASE, /* raise a throttled task to percent */
	EVICT_CHECKPOINT, /* checkpoint the victim and rebind it */
	EVICT_STOP /* stop the victim; work since its checkpoint is lost */
};

enum evict_reason {
	EVICT_ON_TARGET, /* nothing: the service meets its target */
	EVICT_TOO_FEW_MISSES, /* nothing: too few misses to act on */
	EVICT_SETTLING, /* nothing: effect of the last action unknown */
	EVICT_NO_TASKS, /* nothing: no task on this worker */
	EVICT_NO_LIKELY_CAUSE, /* nothing: no task is a likely cause */
	EVICT_PROTECTED, /* nothing: all likely causes are protected */
	EVICT_COST_TOO_HIGH, /* nothing: costs exceed the gain */
	EVICT_LIKELY_CAUSE, /* the victim is a likely cause */
	EVICT_LEAST_WORK_LOST, /* the likely cause that loses least work */
	EVICT_CPU_OVERCOMMIT, /* throttle: the VM's CPUs are overcommitted */
	EVICT_TARGET_HELD /* release: on target for on_target_min_ms */
};

/* State of one service on one worker, kept by the caller; zeroed initially. */
struct evict_service {
	int kind;
	double target_p99_ms; /* 0: no target; tasks are only released */
	double pressure; /* confidence that the target is missed, 0 to 1 */
	double excess; /* moving average of p99 / target */
	int64_t measured_ms; /* time of the last measurement used */
	int64_t last_action_ms;
	int64_t on_target_since_ms; /* 0: not on target */
	int measurements; /* used since the last action */
	double calls_share; /* calls on this VM / mean of all; 0: unknown */
	/*
	 * CPU of the VM (0: unknown, no limit) and its last measured use.
	 * Above the capacity tasks are throttled; releases stay below it.
	 */
	int64_t capacity_cpu_millis;
	int64_t used_cpu_millis;
};

/* One task on that worker. */
struct evict_task {
	uint64_t tenant; /* key in core/learn */
	int kind;
	int64_t cpu_millis; /* last known use */
	int64_t unsaved_ms; /* work since the start or last checkpoint */
	int64_t run_ms; /* expected total run time, 0 if unknown */
	int evictions;
	int max_evictions; /* of its job; 0: the policy's */
	int percent; /* of full speed; 100: not throttled */
	int urgent;
	int no_checkpoint; /* refused to checkpoint */
};

struct evict_options {
	double tail_weight; /* of the policy; 1 */
	double throughput_weight; /* of the policy; 1 */
	double eviction_weight; /* of the policy; 1 */
	double act_pressure; /* pressure from which actions start; 0.6 */
	double clear_ratio; /* on target up to this p99 / target; 0.95 */
	int64_t settle_ms; /* delay until measurements show an action; 6000 */
	int64_t on_target_min_ms; /* before a release; 20000 */
	int throttle_percent; /* first throttle; 50 */
	int throttle_min_percent; /* second and last throttle; 20 */
	int max_evictions; /* of a task whose job sets none; 3 */
	double min_share; /* of the slowdown, of a likely cause; 0.1 */
};

struct evict_result {
	enum evict_action action;
	enum evict_reason reason;
	int index; /* of the task, or -1 */
	int percent; /* for throttle and release */
	double share; /* of the slowdown, attributed to the task */
};

/* Sets all options to their defaults. */
void evict_options_default(struct evict_options *);

/*
 * Records one delayed measurement.  It is ignored unless it is newer than the
 * last one, so that a repeated report counts once.
 */
void evict_measured(const struct evict_options *, struct evict_service *,
    double p99_ms, int64_t measured_ms);

/*
 * Decides on an action for one service on one worker; the caller carries it
 * out.  learnt may be NULL.
 */
struct evict_result evict_decide(const struct evict_options *,
    struct evict_service *, struct learn_worker *learnt,
    const struct evict_task *, size_t n, int64_t now_ms);

const char *evict_action_text(enum evict_action);
const char *evict_reason_text(enum evict_reason);

#endif /* EVICT_H */
