#include <math.h>
#include <string.h>

#include "bind.h"
#include "sample.h"

#define PRESSURE_COST 0.5 /* of a service that surely misses its target */
#define SPREAD_COST 0.1 /* for each task of the job in the same domain */
#define ROOM_COST 0.1 /* of a VM filled to the brim */
#define LOPSIDED_COST 0.05 /* of one dimension full and another empty */
#define AVOID_COST 1.0 /* of where it failed or was evicted */
#define CALM 0.2 /* below this pressure there may be exploring */
#define EQUAL 1e-9

/* The terms of one candidate's cost. */
struct parts {
	int index;
	double quiet; /* disturbance and pressure */
	double spread;
	double room;
	double explore; /* a gain: negative */
	double total;
};

/* What one walk over the workers finds. */
struct search {
	struct parts best;
	struct parts next;
	int found;
	int failing; /* some would fit but are failing */
	int probe; /* index of one to be probed, or -1 */
	int large; /* none so far is large enough even if empty */
};

static int fits(const struct bind_options *, const struct bind_task *,
    const struct bind_worker *);
static int could_fit(const struct bind_task *, const struct bind_worker *);
static double used_after(int64_t, int64_t, int64_t);
static void weigh(const struct bind_options *, const struct bind_task *,
    const struct bind_worker *, int, int64_t, struct parts *);
static void keep(struct search *, const struct parts *);
static enum bind_reason why(const struct parts *, const struct parts *);
static int has_enough(const struct bind_options *, const struct bind_worker *);
static struct bind_result none(enum bind_reason);
static int must_wait(const struct bind_options *, const struct bind_task *);
static struct bind_result result(const struct search *, size_t);

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
could_fit(const struct bind_task *t, const struct bind_worker *w)
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
used_after(int64_t reserved, int64_t more, int64_t capacity)
{
	if (capacity <= 0)
		return 0;
	return (double)(reserved + more) / (double)capacity;
}

static void
weigh(const struct bind_options *o, const struct bind_task *t,
    const struct bind_worker *w, int domain_tasks, int64_t now_ms,
    struct parts *p)
{
	struct learn_impact impact;
	double cpu, memory;

	memset(p, 0, sizeof(*p));
	memset(&impact, 0, sizeof(impact));
	if (w->learnt != NULL)
		learn_impact_of(
		    w->learnt, t->kind, t->reserve.cpu_millis, now_ms, &impact);
	p->quiet =
	    o->tail_weight * (impact.services + PRESSURE_COST * w->pressure) +
	    o->throughput_weight * impact.tasks;
	if (w->id == t->avoid && t->avoid != 0)
		p->quiet += AVOID_COST;
	p->spread = SPREAD_COST * domain_tasks;
	cpu = used_after(w->reserved.cpu_millis, t->reserve.cpu_millis,
	    w->capacity.cpu_millis);
	memory = used_after(w->reserved.memory_mib, t->reserve.memory_mib,
	    w->capacity.memory_mib);
	p->room = ROOM_COST * o->tail_weight * cpu * cpu +
	    LOPSIDED_COST * fabs(cpu - memory);
	if (w->pressure < CALM && !t->urgent)
		p->explore = -o->explore * impact.unknown;
	p->total = p->quiet + p->spread + p->room + p->explore;
}

static void
keep(struct search *s, const struct parts *p)
{
	s->found++;
	if (p->total < s->best.total) {
		s->next = s->best;
		s->best = *p;
	} else if (p->total < s->next.total)
		s->next = *p;
}

static enum bind_reason
why(const struct parts *best, const struct parts *next)
{
	double quiet, spread, room, explore, most;

	quiet = next->quiet - best->quiet;
	spread = next->spread - best->spread;
	room = next->room - best->room;
	explore = next->explore - best->explore;
	most = fmax(fmax(quiet, spread), fmax(room, explore));
	if (most - quiet < EQUAL && quiet > EQUAL)
		return BIND_LEAST_INTERFERENCE;
	if (most - spread < EQUAL && spread > EQUAL)
		return BIND_SPREAD;
	if (most - explore < EQUAL && explore > EQUAL)
		return BIND_EXPLORE;
	return BIND_MOST_ROOM;
}

static struct bind_result
result(const struct search *s, size_t n)
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
		r.reason =
		    s->found > 1 ? why(&s->best, &s->next) : BIND_ONLY_FIT;
		return r;
	}
	r.reason = BIND_NO_FIT;
	if (s->failing)
		r.reason = BIND_ALL_FAILING;
	if (s->large)
		r.reason = BIND_TOO_LARGE;
	if (n == 0)
		r.reason = BIND_NONE;
	return r;
}

static struct bind_result
none(enum bind_reason reason)
{
	struct bind_result r;

	memset(&r, 0, sizeof(r));
	r.index = -1;
	r.reason = reason;
	return r;
}

/*
 * Declared sizes are often several times off.  If all tasks of a new job
 * started on them at once, its VMs would be over their processors until the
 * first late measurement, or half empty for as long as the job runs.
 */
static int
must_wait(const struct bind_options *o, const struct bind_task *t)
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
	struct search f;
	struct parts p;
	struct sample s;
	size_t i;
	int looked, in_domain;

	if (must_wait(o, t))
		return none(BIND_JOB_NOT_MEASURED);
	memset(&f, 0, sizeof(f));
	f.best.total = f.next.total = INFINITY;
	f.probe = -1;
	f.large = 1;
	sample_start(&s, n, random);
	for (looked = 0; looked < o->examine_max && f.found < o->candidates;
	     looked++) {
		if ((i = sample_next(&s)) == n)
			break;
		f.large = f.large && !could_fit(t, w[i]);
		if (w[i]->leaving || !fits(o, t, w[i]) ||
		    (room != NULL && !room(ctx, i, &t->reserve)))
			continue;
		state = health_state(&w[i]->health, now_ms);
		if (state != HEALTH_OK) {
			f.failing = 1;
			/* A probe may well fail: not with work that waited. */
			if (state == HEALTH_PROBE_DUE && !t->urgent &&
			    !t->resumed && t->avoid == 0)
				f.probe = (int)i;
			continue;
		}
		in_domain = 0;
		if (domain != NULL && t->spread != BIND_SPREAD_NONE)
			in_domain = domain(ctx,
			    t->spread == BIND_SPREAD_RACK ? w[i]->rack :
							    w[i]->data_center);
		weigh(o, t, w[i], in_domain, now_ms, &p);
		p.index = (int)i;
		keep(&f, &p);
	}
	return result(&f, n);
}

static int
has_enough(const struct bind_options *o, const struct bind_worker *w)
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
	int looked;

	r = none(n == 0 ? BIND_NONE : BIND_NO_FIT);
	sample_start(&s, n, random);
	for (looked = 0; looked < o->examine_max; looked++) {
		if ((i = sample_next(&s)) == n)
			break;
		if (w[i]->leaving || !could_fit(t, w[i]) ||
		    has_enough(o, w[i]) ||
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
