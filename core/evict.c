#include <math.h>
#include <string.h>

#include "evict.h"

#define PRESSURE_STEP 0.4 /* of the way, for each measurement */
#define EXCESS_STEP 0.5
#define SEVERE_RATIO 2.0 /* of the target: counts as two misses */
#define EXCESS_MAX 3.0 /* a wilder one gains no more */
#define LEAST_EXCESS 0.1
#define SHED_MIN_PERCENT 10
#define LEAST_SLOWDOWN 0.03 /* ln; tasks that explain less aren't the cause */
#define THROTTLE_COST 0.3 /* of holding a task to nothing for a while */
#define EVICTION_COST 0.2 /* of one checkpoint and a new start */
#define LOSS_COST 0.5 /* of losing a whole run */
#define UNKNOWN_RUN_MS 600000
#define URGENT_FACTOR 2.0

/* One possible action and its worth. */
struct option {
	struct evict_result result;
	double worth;
	double loss;
};

static double parts(struct learn_worker *, int, const struct evict_task *,
    size_t, int64_t, double *, size_t);
static int next_percent(const struct evict_options *, int);
static int next_release(const struct evict_options *, int);
static double loss_of(
    const struct evict_options *, const struct evict_task *, enum evict_action);
static int is_protected(
    const struct evict_options *, const struct evict_task *);
static int offer(struct option *, const struct option *);
static void consider(const struct evict_options *, const struct evict_service *,
    const struct evict_task *, int, double, struct option[2]);
static struct evict_result release(const struct evict_options *,
    struct evict_service *, const struct evict_task *, size_t, int64_t);
static struct evict_result protect(const struct evict_options *,
    struct evict_service *, struct learn_worker *, const struct evict_task *,
    size_t, int64_t);
static struct evict_result nothing(enum evict_reason);
static int64_t spare_of(const struct evict_service *);
static struct evict_result shed(
    struct evict_service *, const struct evict_task *, size_t);

#define TASKS_MAX 128 /* weighed on one worker */

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
	o->quiet_ms = 20000;
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
	 * A measurement made before the last action could show cannot say
	 * whether it helped.  Taken in, it would evict one task after another
	 * for a disturbance that is already over.
	 */
	if (s->last_action_ms != 0 &&
	    measured_ms < s->last_action_ms + o->settle_ms)
		return;
	s->seen++;
	ratio = p99_ms / s->target_p99_ms;
	s->excess += EXCESS_STEP * (ratio - s->excess);
	if (ratio <= 1)
		s->pressure -= PRESSURE_STEP * s->pressure;
	else
		s->pressure += PRESSURE_STEP * (1 - s->pressure);
	if (ratio > SEVERE_RATIO)
		s->pressure += PRESSURE_STEP * (1 - s->pressure);
	if (ratio > o->clear_ratio)
		s->quiet_ms = 0;
	else if (s->quiet_ms == 0)
		s->quiet_ms = measured_ms;
}

static struct evict_result
nothing(enum evict_reason reason)
{
	struct evict_result r;

	memset(&r, 0, sizeof(r));
	r.action = EVICT_NOTHING;
	r.reason = reason;
	r.index = -1;
	return r;
}

/* The part of each task in the slowdown; returns the sum. */
static double
parts(struct learn_worker *learnt, int kind, const struct evict_task *t,
    size_t n, int64_t now_ms, double *part, size_t max)
{
	double sum;
	size_t i;

	sum = 0;
	for (i = 0; i < n && i < max; i++) {
		if (learnt != NULL)
			part[i] = learn_contribution(
			    learnt, kind, t[i].kind, t[i].cpu_millis, now_ms);
		else
			part[i] =
			    (double)t[i].cpu_millis / MILLIS_PER_PROCESSOR;
		sum += part[i];
	}
	return sum;
}

/* The next lower step of throttling, or 0 at the last. */
static int
next_percent(const struct evict_options *o, int percent)
{
	if (percent > o->throttle_percent)
		return o->throttle_percent;
	if (percent > o->throttle_min_percent)
		return o->throttle_min_percent;
	return 0;
}

static int
next_release(const struct evict_options *o, int percent)
{
	return percent < o->throttle_percent ? o->throttle_percent : 100;
}

static int
is_protected(const struct evict_options *o, const struct evict_task *t)
{
	int max;

	max = t->max_evictions > 0 ? t->max_evictions : o->max_evictions;
	return t->evictions >= max;
}

static double
loss_of(const struct evict_options *o, const struct evict_task *t,
    enum evict_action action)
{
	double loss, run_ms;

	run_ms = t->run_ms > 0 ? (double)t->run_ms : UNKNOWN_RUN_MS;
	loss = o->eviction_weight * EVICTION_COST * (1 + t->evictions);
	if (action == EVICT_THROTTLE)
		loss = o->throughput_weight * THROTTLE_COST *
		    (t->percent - next_percent(o, t->percent)) / 100;
	if (action == EVICT_STOP)
		loss += o->throughput_weight * LOSS_COST *
		    fmin(1, (double)t->unsaved_ms / run_ms);
	return t->urgent ? loss * URGENT_FACTOR : loss;
}

static int
offer(struct option *best, const struct option *o)
{
	if (o->worth <= best->worth)
		return 0;
	*best = *o;
	return 1;
}

/* Weigh the next step against one task: best[0] throttles, best[1] evicts. */
static void
consider(const struct evict_options *o, const struct evict_service *s,
    const struct evict_task *t, int index, double share, struct option best[2])
{
	struct option option;
	double gain;
	int percent;

	gain = o->tail_weight * share *
	    fmin(EXCESS_MAX, fmax(LEAST_EXCESS, s->excess - o->clear_ratio));
	if (s->calls_share > 0)
		gain *= fmin(1, s->calls_share * s->calls_share);
	option.result = nothing(EVICT_LIKELY_CAUSE);
	option.result.index = index;
	option.result.share = share;
	if ((percent = next_percent(o, t->percent)) != 0) {
		option.result.action = EVICT_THROTTLE;
		option.result.percent = percent;
		option.loss = loss_of(o, t, EVICT_THROTTLE);
		option.worth =
		    gain * (t->percent - percent) / t->percent - option.loss;
		(void)offer(&best[0], &option);
		return;
	}
	if (is_protected(o, t))
		return;
	option.result.percent = 0;
	option.result.action = t->no_checkpoint ? EVICT_STOP : EVICT_CHECKPOINT;
	option.loss = loss_of(o, t, option.result.action);
	option.worth = gain - option.loss;
	if (best[1].result.index >= 0 && option.loss < best[1].loss &&
	    option.result.share < best[1].result.share)
		option.result.reason = EVICT_LEAST_WORK_LOST;
	(void)offer(&best[1], &option);
}

static struct evict_result
protect(const struct evict_options *o, struct evict_service *s,
    struct learn_worker *learnt, const struct evict_task *t, size_t n,
    int64_t now_ms)
{
	struct option best[2];
	double part[TASKS_MAX], sum;
	size_t i;
	int likely, guarded;

	memset(best, 0, sizeof(best));
	best[0].result = best[1].result = nothing(EVICT_COST_TOO_HIGH);
	likely = guarded = 0;
	n = n < TASKS_MAX ? n : TASKS_MAX;
	sum = parts(learnt, s->kind, t, n, now_ms, part, TASKS_MAX);
	if (sum <= 0 || (learnt != NULL && sum < LEAST_SLOWDOWN))
		return nothing(EVICT_NO_LIKELY_CAUSE);
	for (i = 0; i < n; i++) {
		if (part[i] / sum < o->min_share)
			continue;
		likely++;
		guarded += next_percent(o, t[i].percent) == 0 &&
		    is_protected(o, &t[i]);
		consider(o, s, &t[i], (int)i, part[i] / sum, best);
	}
	if (likely == 0)
		return nothing(EVICT_NO_LIKELY_CAUSE);
	if (guarded == likely)
		return nothing(EVICT_PROTECTED);
	i = best[0].result.index >= 0 ? 0 : 1;
	if (best[i].result.index >= 0) {
		s->last_action_ms = now_ms;
		s->seen = 0;
	}
	return best[i].result;
}

static int64_t
spare_of(const struct evict_service *s)
{
	if (s->capacity_cpu_millis <= 0)
		return INT64_MAX;
	return s->capacity_cpu_millis - s->used_cpu_millis;
}

/*
 * The VM carries more than its processors: some job declared too little.
 * Hold the task that uses most to what fits; its percent is of its full
 * speed, as cpu_millis is what it uses now.
 */
static struct evict_result
shed(struct evict_service *s, const struct evict_task *t, size_t n)
{
	struct evict_result r;
	int64_t left;
	size_t i;

	r = nothing(EVICT_ON_TARGET);
	for (i = 0; i < n; i++) {
		if (t[i].percent <= SHED_MIN_PERCENT || t[i].cpu_millis <= 0 ||
		    (r.index >= 0 && t[i].cpu_millis <= t[r.index].cpu_millis))
			continue;
		r.index = (int)i;
	}
	if (r.index < 0)
		return nothing(EVICT_NO_TASKS);
	left = t[r.index].cpu_millis + spare_of(s);
	r.action = EVICT_THROTTLE;
	r.reason = EVICT_CPU_OVERCOMMIT;
	r.percent = (int)(t[r.index].percent * left / t[r.index].cpu_millis);
	if (r.percent < SHED_MIN_PERCENT)
		r.percent = SHED_MIN_PERCENT;
	return r;
}

/* Give back speed, one task and one step at a time, as noise may return. */
static struct evict_result
release(const struct evict_options *o, struct evict_service *s,
    const struct evict_task *t, size_t n, int64_t now_ms)
{
	struct evict_result r;
	size_t i;
	int percent;

	r = nothing(EVICT_ON_TARGET);
	if (s->target_p99_ms > 0 &&
	    (s->quiet_ms == 0 || s->measured_ms - s->quiet_ms < o->quiet_ms))
		return r;
	if (s->target_p99_ms <= 0 && now_ms - s->last_action_ms < o->quiet_ms)
		return r;
	for (i = 0; i < n; i++) {
		if (t[i].percent >= 100 || t[i].percent <= 0)
			continue;
		if (r.index >= 0 && t[i].percent >= t[r.index].percent)
			continue;
		percent = next_release(o, t[i].percent);
		if (t[i].cpu_millis * percent / t[i].percent - t[i].cpu_millis >
		    spare_of(s))
			continue;
		r.index = (int)i;
		r.percent = percent;
	}
	if (r.index < 0)
		return r;
	r.action = EVICT_RELEASE;
	r.reason = EVICT_TARGET_HELD;
	s->last_action_ms = now_ms;
	s->quiet_ms = 0;
	s->seen = 0;
	return r;
}

struct evict_result
evict_decide(const struct evict_options *o, struct evict_service *s,
    struct learn_worker *learnt, const struct evict_task *t, size_t n,
    int64_t now_ms)
{
	if (spare_of(s) < 0)
		return shed(s, t, n);
	if (s->target_p99_ms <= 0)
		return release(o, s, t, n, now_ms);
	if (s->last_action_ms != 0 && s->seen == 0)
		return nothing(EVICT_SETTLING);
	if (s->pressure < o->act_pressure) {
		if (s->pressure > 0 && s->excess > 1)
			return nothing(EVICT_TOO_FEW_MISSES);
		return release(o, s, t, n, now_ms);
	}
	if (n == 0)
		return nothing(EVICT_NO_TASKS);
	return protect(o, s, learnt, t, n, now_ms);
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
