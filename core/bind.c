#include <math.h>
#include <string.h>

#include "bind.h"
#include "sample.h"

#define PRESSURE_COST 0.5 /* of a service certain to miss its target */
#define SPREAD_COST 0.1 /* for each task of the job in the same domain */
#define ROOM_COST 0.1 /* of a VM with all CPUs reserved */
#define IMBALANCE_COST 0.05 /* of one resource full and the other empty */
#define AVOID_COST 1.0 /* of a worker it failed on or was evicted from */
#define EXPLORE_PRESSURE_MAX 0.2 /* no exploration from here on */
#define COST_EPSILON 1e-9

/* The components of one candidate's cost. */
struct cost {
	int index;
	double interference; /* with services and tasks, and pressure */
	double spread;
	double room;
	double explore; /* a bonus, so negative */
	double total;
};

/* State of one search through the workers. */
struct search {
	struct cost best;
	struct cost next;
	int found;
	int failing; /* there are workers with room that are failing */
	int probe; /* index of a worker to be probed, or -1 */
	int too_large; /* it fits no worker so far, even an empty one */
};

static int fits(const struct bind_options *, const struct bind_task *,
    const struct bind_worker *);
static int fits_empty(const struct bind_task *, const struct bind_worker *);
static double share_used_after(int64_t, int64_t, int64_t);
static void compute_cost(const struct bind_options *, const struct bind_task *,
    const struct bind_worker *, int, int64_t, struct cost *);
static void add_candidate(struct search *, const struct cost *);
static enum bind_reason main_reason(const struct cost *, const struct cost *);
static int has_work_ahead(
    const struct bind_options *, const struct bind_worker *);
static struct bind_result no_worker(enum bind_reason);
static int awaits_measurement(
    const struct bind_options *, const struct bind_task *);
static struct bind_result search_result(const struct search *, size_t);

void
bind_options_default(struct bind_options *o)
{
	memset(o, 0, sizeof(*o));
	o->candidates = 16;
	o->examine_max = 128;
	o->tail_weight = 1;
	o->throughput_weight = 1;
	o->eviction_weight = 1;
	o->explore = 0.02;
	o->unmeasured_max = 2;
	o->headroom = 0.02;
}

static int
fits_empty(const struct bind_task *t, const struct bind_worker *w)
{
	return t->reserve.cpu_millis <= w->capacity.cpu_millis &&
	    t->reserve.memory_mib <= w->capacity.memory_mib &&
	    t->reserve.accelerators <= w->capacity.accelerators;
}

static int
fits(const struct bind_options *o, const struct bind_task *t,
    const struct bind_worker *w)
{
	int64_t cpu;

	cpu = w->capacity.cpu_millis;
	if (!t->urgent && !t->resumed && w->tasks > 0)
		cpu -= (int64_t)(o->headroom * (double)cpu);
	return w->reserved.cpu_millis + t->reserve.cpu_millis <= cpu &&
	    w->reserved.memory_mib + t->reserve.memory_mib <=
	    w->capacity.memory_mib &&
	    w->reserved.accelerators + t->reserve.accelerators <=
	    w->capacity.accelerators;
}

static double
share_used_after(int64_t reserved, int64_t more, int64_t capacity)
{
	if (capacity <= 0)
		return 0;
	return (double)(reserved + more) / (double)capacity;
}

static void
compute_cost(const struct bind_options *o, const struct bind_task *t,
    const struct bind_worker *w, int domain_tasks, int64_t now_ms,
    struct cost *c)
{
	struct learn_impact impact;
	double cpu, memory;

	memset(c, 0, sizeof(*c));
	memset(&impact, 0, sizeof(impact));
	if (w->learnt != NULL)
		learn_impact_of(
		    w->learnt, t->kind, t->reserve.cpu_millis, now_ms, &impact);
	c->interference =
	    o->tail_weight * (impact.services + PRESSURE_COST * w->pressure) +
	    o->throughput_weight * impact.tasks;
	if (w->id == t->avoid && t->avoid != 0)
		c->interference += AVOID_COST;
	c->spread = SPREAD_COST * domain_tasks;
	cpu = share_used_after(w->reserved.cpu_millis, t->reserve.cpu_millis,
	    w->capacity.cpu_millis);
	memory = share_used_after(w->reserved.memory_mib, t->reserve.memory_mib,
	    w->capacity.memory_mib);
	c->room = ROOM_COST * o->tail_weight * cpu * cpu +
	    IMBALANCE_COST * fabs(cpu - memory);
	if (w->pressure < EXPLORE_PRESSURE_MAX && !t->urgent)
		c->explore = -o->explore * impact.unknown;
	c->total = c->interference + c->spread + c->room + c->explore;
}

static void
add_candidate(struct search *s, const struct cost *c)
{
	s->found++;
	if (c->total < s->best.total) {
		s->next = s->best;
		s->best = *c;
	} else if (c->total < s->next.total)
		s->next = *c;
}

static enum bind_reason
main_reason(const struct cost *best, const struct cost *next)
{
	double interference, spread, room, explore, most;

	interference = next->interference - best->interference;
	spread = next->spread - best->spread;
	room = next->room - best->room;
	explore = next->explore - best->explore;
	most = fmax(fmax(interference, spread), fmax(room, explore));
	if (most - interference < COST_EPSILON && interference > COST_EPSILON)
		return BIND_LEAST_INTERFERENCE;
	if (most - spread < COST_EPSILON && spread > COST_EPSILON)
		return BIND_SPREAD;
	if (most - explore < COST_EPSILON && explore > COST_EPSILON)
		return BIND_EXPLORE;
	return BIND_MOST_ROOM;
}

static struct bind_result
search_result(const struct search *s, size_t n)
{
	struct bind_result r;

	memset(&r, 0, sizeof(r));
	r.index = -1;
	if (s->probe >= 0) {
		r.index = s->probe;
		r.reason = BIND_PROBE;
		return r;
	}
	if (s->found > 0) {
		r.index = s->best.index;
		r.cost = s->best.total;
		r.runner_up = s->found > 1 ? s->next.total : 0;
		r.reason = s->found > 1 ? main_reason(&s->best, &s->next) :
					  BIND_ONLY_FIT;
		return r;
	}
	r.reason = BIND_NO_FIT;
	if (s->failing)
		r.reason = BIND_ALL_FAILING;
	if (s->too_large)
		r.reason = BIND_TOO_LARGE;
	if (n == 0)
		r.reason = BIND_NONE;
	return r;
}

static struct bind_result
no_worker(enum bind_reason reason)
{
	struct bind_result r;

	memset(&r, 0, sizeof(r));
	r.index = -1;
	r.reason = reason;
	return r;
}

/*
 * Declared sizes are often wrong by a factor of several.  If all tasks of a
 * new job were started on them at once, its VMs would be overcommitted until
 * the first measurement arrives, or half empty for as long as the job runs.
 */
static int
awaits_measurement(const struct bind_options *o, const struct bind_task *t)
{
	return o->unmeasured_max > 0 && !t->urgent && !t->resumed &&
	    t->job_running >= o->unmeasured_max &&
	    t->job_measured < o->unmeasured_max;
}

struct bind_result
bind_pick(const struct bind_options *o, const struct bind_task *t,
    struct bind_worker *const *w, size_t n, bind_fits_cb room,
    bind_domain_count_cb domain, void *ctx, uint64_t random, int64_t now_ms)
{
	enum health_state state;
	struct search search;
	struct cost c;
	struct sample s;
	size_t i;
	int examined, in_domain;

	if (awaits_measurement(o, t))
		return no_worker(BIND_JOB_NOT_MEASURED);
	memset(&search, 0, sizeof(search));
	search.best.total = search.next.total = INFINITY;
	search.probe = -1;
	search.too_large = 1;
	sample_start(&s, n, random);
	for (examined = 0;
	     examined < o->examine_max && search.found < o->candidates;
	     examined++) {
		if ((i = sample_next(&s)) == n)
			break;
		search.too_large = search.too_large && !fits_empty(t, w[i]);
		if (w[i]->draining || !fits(o, t, w[i]) ||
		    (room != NULL && !room(ctx, i, &t->reserve)))
			continue;
		state = health_state(&w[i]->health, now_ms);
		if (state != HEALTH_OK) {
			search.failing = 1;
			/* A probe may fail, so it takes a new normal task. */
			if (state == HEALTH_PROBE_DUE && !t->urgent &&
			    !t->resumed && t->avoid == 0)
				search.probe = (int)i;
			continue;
		}
		in_domain = 0;
		if (domain != NULL && t->spread != BIND_SPREAD_NONE)
			in_domain = domain(ctx,
			    t->spread == BIND_SPREAD_RACK ? w[i]->rack :
							    w[i]->data_center);
		compute_cost(o, t, w[i], in_domain, now_ms, &c);
		c.index = (int)i;
		add_candidate(&search, &c);
	}
	return search_result(&search, n);
}

static int
has_work_ahead(const struct bind_options *o, const struct bind_worker *w)
{
	return o->ahead_ms > 0 &&
	    w->work_ms >= o->ahead_ms * w->capacity.cpu_millis / 1000;
}

struct bind_result
bind_ahead(const struct bind_options *o, const struct bind_task *t,
    struct bind_worker *const *w, size_t n, uint64_t random, int64_t now_ms)
{
	struct bind_result r;
	struct sample s;
	size_t i;
	int examined;

	r = no_worker(n == 0 ? BIND_NONE : BIND_NO_FIT);
	sample_start(&s, n, random);
	for (examined = 0; examined < o->examine_max; examined++) {
		if ((i = sample_next(&s)) == n)
			break;
		if (w[i]->draining || !fits_empty(t, w[i]) ||
		    has_work_ahead(o, w[i]) ||
		    health_state(&w[i]->health, now_ms) != HEALTH_OK)
			continue;
		if (r.index >= 0 && w[i]->work_ms >= w[r.index]->work_ms)
			continue;
		r.index = (int)i;
	}
	if (r.index < 0)
		return r;
	r.reason = BIND_AHEAD;
	w[r.index]->work_ms += t->run_ms * t->reserve.cpu_millis / 1000;
	return r;
}

int
bind_order(const struct bind_task *a, const struct bind_task *b)
{
	if (a->resumed != b->resumed)
		return a->resumed ? -1 : 1;
	if (a->urgent != b->urgent)
		return a->urgent ? -1 : 1;
	if (a->accepted_ms != b->accepted_ms)
		return a->accepted_ms < b->accepted_ms ? -1 : 1;
	return 0;
}

const char *
bind_reason_text(enum bind_reason r)
{
	switch (r) {
	case BIND_ONLY_FIT:
		return "only_fit";
	case BIND_LEAST_INTERFERENCE:
		return "least_interference";
	case BIND_SPREAD:
		return "spread";
	case BIND_MOST_ROOM:
		return "most_room";
	case BIND_PROBE:
		return "probe";
	case BIND_EXPLORE:
		return "explore";
	case BIND_AHEAD:
		return "runs_out_first";
	case BIND_NO_FIT:
		return "no_room";
	case BIND_ALL_FAILING:
		return "all_failing";
	case BIND_TOO_LARGE:
		return "larger_than_any_vm";
	case BIND_JOB_NOT_MEASURED:
		return "job_not_measured_yet";
	case BIND_NONE:
		return "no_worker";
	}
	return "?";
}
