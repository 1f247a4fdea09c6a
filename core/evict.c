#include <math.h>
#include <string.h>

#include "evict.h"

#define PRESSURE_WEIGHT 0.4 /* of a new measurement */
#define EXCESS_WEIGHT 0.5
#define SEVERE_RATIO 2.0 /* p99 / target that counts as two misses */
#define EXCESS_MAX 3.0 /* the gain does not grow beyond this */
#define EXCESS_MIN 0.1
#define SHED_PERCENT_MIN 10
#define SLOWDOWN_MIN 0.03 /* ln; below this tasks aren't the cause */
#define THROTTLE_COST 0.3 /* of throttling a task to 0 percent */
#define EVICTION_COST 0.2 /* of one checkpoint and restart */
#define RUN_LOSS_COST 0.5 /* of losing the work of a whole run */
#define RUN_DEFAULT_MS 600000
#define URGENT_COST_FACTOR 2.0

/* One possible action and its net benefit. */
struct candidate {
	struct evict_result result;
	double benefit;
	double cost;
};

static double task_slowdowns(struct learn_worker *, int,
    const struct evict_task *, size_t, int64_t, double *, size_t);
static int throttle_step(const struct evict_options *, int);
static int release_step(const struct evict_options *, int);
static double action_cost(
    const struct evict_options *, const struct evict_task *, enum evict_action);
static int is_eviction_protected(
    const struct evict_options *, const struct evict_task *);
static int keep_better(struct candidate *, const struct candidate *);
static void weigh_task(const struct evict_options *,
    const struct evict_service *, const struct evict_task *, int, double,
    struct candidate[2]);
static struct evict_result release_task(const struct evict_options *,
    struct evict_service *, const struct evict_task *, size_t, int64_t);
static struct evict_result protect_service(const struct evict_options *,
    struct evict_service *, struct learn_worker *, const struct evict_task *,
    size_t, int64_t);
static struct evict_result no_action(enum evict_reason);
static int64_t spare_cpu_millis(const struct evict_service *);
static struct evict_result shed_cpu(
    struct evict_service *, const struct evict_task *, size_t);

#define WEIGHED_TASKS_MAX 128 /* considered on one worker */

void
evict_options_default(struct evict_options *o)
{
	memset(o, 0, sizeof(*o));
	o->tail_weight = 1;
	o->throughput_weight = 1;
	o->eviction_weight = 1;
	o->act_pressure = 0.6;
	o->clear_ratio = 0.95;
	o->settle_ms = 6000;
	o->on_target_min_ms = 20000;
	o->throttle_percent = 50;
	o->throttle_min_percent = 20;
	o->max_evictions = 3;
	o->min_share = 0.1;
}

void
evict_measured(const struct evict_options *o, struct evict_service *s,
    double p99_ms, int64_t measured_ms)
{
	double ratio;

	if (s->target_p99_ms <= 0 || p99_ms <= 0 ||
	    measured_ms <= s->measured_ms)
		return;
	s->measured_ms = measured_ms;
	/*
	 * A measurement made before the last action can show doesn't tell
	 * whether the action helped.  If it counted, one task after another
	 * would be evicted for an interference that is already over.
	 */
	if (s->last_action_ms != 0 &&
	    measured_ms < s->last_action_ms + o->settle_ms)
		return;
	s->measurements++;
	ratio = p99_ms / s->target_p99_ms;
	s->excess += EXCESS_WEIGHT * (ratio - s->excess);
	if (ratio <= 1)
		s->pressure -= PRESSURE_WEIGHT * s->pressure;
	else
		s->pressure += PRESSURE_WEIGHT * (1 - s->pressure);
	if (ratio > SEVERE_RATIO)
		s->pressure += PRESSURE_WEIGHT * (1 - s->pressure);
	if (ratio > o->clear_ratio)
		s->on_target_since_ms = 0;
	else if (s->on_target_since_ms == 0)
		s->on_target_since_ms = measured_ms;
}

static struct evict_result
no_action(enum evict_reason reason)
{
	struct evict_result r;

	memset(&r, 0, sizeof(r));
	r.action = EVICT_NOTHING;
	r.reason = reason;
	r.index = -1;
	return r;
}

/* Estimates the slowdown that each task causes; returns the sum. */
static double
task_slowdowns(struct learn_worker *learnt, int kind,
    const struct evict_task *t, size_t n, int64_t now_ms, double *slowdown,
    size_t max)
{
	double sum;
	size_t i;

	sum = 0;
	for (i = 0; i < n && i < max; i++) {
		if (learnt != NULL)
			slowdown[i] = learn_contribution(
			    learnt, kind, t[i].kind, t[i].cpu_millis, now_ms);
		else
			slowdown[i] =
			    (double)t[i].cpu_millis / MILLIS_PER_PROCESSOR;
		sum += slowdown[i];
	}
	return sum;
}

/* The next lower throttling step, or 0 if there is none. */
static int
throttle_step(const struct evict_options *o, int percent)
{
	if (percent > o->throttle_percent)
		return o->throttle_percent;
	if (percent > o->throttle_min_percent)
		return o->throttle_min_percent;
	return 0;
}

static int
release_step(const struct evict_options *o, int percent)
{
	return percent < o->throttle_percent ? o->throttle_percent : 100;
}

static int
is_eviction_protected(const struct evict_options *o, const struct evict_task *t)
{
	int max;

	max = t->max_evictions > 0 ? t->max_evictions : o->max_evictions;
	return t->evictions >= max;
}

static double
action_cost(const struct evict_options *o, const struct evict_task *t,
    enum evict_action action)
{
	double cost, run_ms;

	run_ms = t->run_ms > 0 ? (double)t->run_ms : RUN_DEFAULT_MS;
	cost = o->eviction_weight * EVICTION_COST * (1 + t->evictions);
	if (action == EVICT_THROTTLE)
		cost = o->throughput_weight * THROTTLE_COST *
		    (t->percent - throttle_step(o, t->percent)) / 100;
	if (action == EVICT_STOP)
		cost += o->throughput_weight * RUN_LOSS_COST *
		    fmin(1, (double)t->unsaved_ms / run_ms);
	return t->urgent ? cost * URGENT_COST_FACTOR : cost;
}

static int
keep_better(struct candidate *best, const struct candidate *o)
{
	if (o->benefit <= best->benefit)
		return 0;
	*best = *o;
	return 1;
}

/*
 * Weighs the next action against one task.  best[0] is the best throttling so
 * far, best[1] the best eviction.
 */
static void
weigh_task(const struct evict_options *o, const struct evict_service *s,
    const struct evict_task *t, int index, double share,
    struct candidate best[2])
{
	struct candidate candidate;
	double gain;
	int percent;

	gain = o->tail_weight * share *
	    fmin(EXCESS_MAX, fmax(EXCESS_MIN, s->excess - o->clear_ratio));
	if (s->calls_share > 0)
		gain *= fmin(1, s->calls_share * s->calls_share);
	candidate.result = no_action(EVICT_LIKELY_CAUSE);
	candidate.result.index = index;
	candidate.result.share = share;
	if ((percent = throttle_step(o, t->percent)) != 0) {
		candidate.result.action = EVICT_THROTTLE;
		candidate.result.percent = percent;
		candidate.cost = action_cost(o, t, EVICT_THROTTLE);
		candidate.benefit =
		    gain * (t->percent - percent) / t->percent - candidate.cost;
		(void)keep_better(&best[0], &candidate);
		return;
	}
	if (is_eviction_protected(o, t))
		return;
	candidate.result.percent = 0;
	candidate.result.action =
	    t->no_checkpoint ? EVICT_STOP : EVICT_CHECKPOINT;
	candidate.cost = action_cost(o, t, candidate.result.action);
	candidate.benefit = gain - candidate.cost;
	if (best[1].result.index >= 0 && candidate.cost < best[1].cost &&
	    candidate.result.share < best[1].result.share)
		candidate.result.reason = EVICT_LEAST_WORK_LOST;
	(void)keep_better(&best[1], &candidate);
}

static struct evict_result
protect_service(const struct evict_options *o, struct evict_service *s,
    struct learn_worker *learnt, const struct evict_task *t, size_t n,
    int64_t now_ms)
{
	struct candidate best[2];
	double slowdown[WEIGHED_TASKS_MAX], sum;
	size_t i;
	int likely, exempt;

	memset(best, 0, sizeof(best));
	best[0].result = best[1].result = no_action(EVICT_COST_TOO_HIGH);
	likely = exempt = 0;
	n = n < WEIGHED_TASKS_MAX ? n : WEIGHED_TASKS_MAX;
	sum = task_slowdowns(
	    learnt, s->kind, t, n, now_ms, slowdown, WEIGHED_TASKS_MAX);
	if (sum <= 0 || (learnt != NULL && sum < SLOWDOWN_MIN))
		return no_action(EVICT_NO_LIKELY_CAUSE);
	for (i = 0; i < n; i++) {
		if (slowdown[i] / sum < o->min_share)
			continue;
		likely++;
		exempt += throttle_step(o, t[i].percent) == 0 &&
		    is_eviction_protected(o, &t[i]);
		weigh_task(o, s, &t[i], (int)i, slowdown[i] / sum, best);
	}
	if (likely == 0)
		return no_action(EVICT_NO_LIKELY_CAUSE);
	if (exempt == likely)
		return no_action(EVICT_PROTECTED);
	i = best[0].result.index >= 0 ? 0 : 1;
	if (best[i].result.index >= 0) {
		s->last_action_ms = now_ms;
		s->measurements = 0;
	}
	return best[i].result;
}

static int64_t
spare_cpu_millis(const struct evict_service *s)
{
	if (s->capacity_cpu_millis <= 0)
		return INT64_MAX;
	return s->capacity_cpu_millis - s->used_cpu_millis;
}

/*
 * Handles a VM whose CPU use exceeds its capacity because a job declared too
 * little.  Throttles the task that uses most until the rest fits.  The new
 * percentage refers to its full speed, cpu_millis to its current one.
 */
static struct evict_result
shed_cpu(struct evict_service *s, const struct evict_task *t, size_t n)
{
	struct evict_result r;
	int64_t left;
	size_t i;

	r = no_action(EVICT_ON_TARGET);
	for (i = 0; i < n; i++) {
		if (t[i].percent <= SHED_PERCENT_MIN || t[i].cpu_millis <= 0 ||
		    (r.index >= 0 && t[i].cpu_millis <= t[r.index].cpu_millis))
			continue;
		r.index = (int)i;
	}
	if (r.index < 0)
		return no_action(EVICT_NO_TASKS);
	left = t[r.index].cpu_millis + spare_cpu_millis(s);
	r.action = EVICT_THROTTLE;
	r.reason = EVICT_CPU_OVERCOMMIT;
	r.percent = (int)(t[r.index].percent * left / t[r.index].cpu_millis);
	if (r.percent < SHED_PERCENT_MIN)
		r.percent = SHED_PERCENT_MIN;
	return r;
}

/*
 * Raises the speed of throttled tasks, one task and one step at a time,
 * because the interference may return.
 */
static struct evict_result
release_task(const struct evict_options *o, struct evict_service *s,
    const struct evict_task *t, size_t n, int64_t now_ms)
{
	struct evict_result r;
	size_t i;
	int percent;

	r = no_action(EVICT_ON_TARGET);
	if (s->target_p99_ms > 0 &&
	    (s->on_target_since_ms == 0 ||
		s->measured_ms - s->on_target_since_ms < o->on_target_min_ms))
		return r;
	if (s->target_p99_ms <= 0 &&
	    now_ms - s->last_action_ms < o->on_target_min_ms)
		return r;
	for (i = 0; i < n; i++) {
		if (t[i].percent >= 100 || t[i].percent <= 0)
			continue;
		if (r.index >= 0 && t[i].percent >= t[r.index].percent)
			continue;
		percent = release_step(o, t[i].percent);
		if (t[i].cpu_millis * percent / t[i].percent - t[i].cpu_millis >
		    spare_cpu_millis(s))
			continue;
		r.index = (int)i;
		r.percent = percent;
	}
	if (r.index < 0)
		return r;
	r.action = EVICT_RELEASE;
	r.reason = EVICT_TARGET_HELD;
	s->last_action_ms = now_ms;
	s->on_target_since_ms = 0;
	s->measurements = 0;
	return r;
}

struct evict_result
evict_decide(const struct evict_options *o, struct evict_service *s,
    struct learn_worker *learnt, const struct evict_task *t, size_t n,
    int64_t now_ms)
{
	if (spare_cpu_millis(s) < 0)
		return shed_cpu(s, t, n);
	if (s->target_p99_ms <= 0)
		return release_task(o, s, t, n, now_ms);
	if (s->last_action_ms != 0 && s->measurements == 0)
		return no_action(EVICT_SETTLING);
	if (s->pressure < o->act_pressure) {
		if (s->pressure > 0 && s->excess > 1)
			return no_action(EVICT_TOO_FEW_MISSES);
		return release_task(o, s, t, n, now_ms);
	}
	if (n == 0)
		return no_action(EVICT_NO_TASKS);
	return protect_service(o, s, learnt, t, n, now_ms);
}

const char *
evict_action_text(enum evict_action a)
{
	switch (a) {
	case EVICT_NOTHING:
		return "nothing";
	case EVICT_THROTTLE:
		return "throttle";
	case EVICT_RELEASE:
		return "release";
	case EVICT_CHECKPOINT:
		return "checkpoint";
	case EVICT_STOP:
		return "stop";
	}
	return "?";
}

const char *
evict_reason_text(enum evict_reason r)
{
	switch (r) {
	case EVICT_ON_TARGET:
		return "on_target";
	case EVICT_TOO_FEW_MISSES:
		return "too_few_misses";
	case EVICT_SETTLING:
		return "last_action_settling";
	case EVICT_NO_TASKS:
		return "no_task";
	case EVICT_NO_LIKELY_CAUSE:
		return "no_likely_cause";
	case EVICT_PROTECTED:
		return "causes_protected";
	case EVICT_COST_TOO_HIGH:
		return "not_worth_it";
	case EVICT_LIKELY_CAUSE:
		return "likeliest_cause";
	case EVICT_LEAST_WORK_LOST:
		return "least_work_lost";
	case EVICT_CPU_OVERCOMMIT:
		return "over_processors";
	case EVICT_TARGET_HELD:
		return "on_target_long_enough";
	}
	return "?";
}
