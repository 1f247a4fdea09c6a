#include <math.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <jansson.h>

#include "generate.h"
#include "trace.h"

#define MINUTE_MS INT64_C(60000)
#define DURATION_MS (30 * MINUTE_MS)
#define CPU_MILLIS 32000
#define MEMORY_MIB 125000
#define SERVICE_MILLIS 6000
#define SERVICE_MIB 16000
#define LOAD 1.1 /* of the room for tasks */
#define CANCEL_MS (21 * MINUTE_MS)
#define KINDS 5 /* of tasks, the wave's last */
#define WAVE (KINDS - 1)

/* One kind of task. */
struct kind {
	const char *name;
	double harm; /* slowdown of the service by each processor */
	double grudge; /* and of other tasks */
	int cpu_millis;
	int memory_mib;
	int run_ms;
	int tasks; /* of a job, at the mean */
	double share; /* of all batch work */
	int urgent;
	int max_evictions;
};

struct deployment {
	const char *name;
	const char *service;
	const char *data_centers[3];
	const char *racks[3]; /* short prefixes */
	int racks_each;
	int workers_each;
	double one_way_ms;
	double base_ms;
	double target_ms;
	double per_s;
	double tail, throughput, eviction; /* weights */
	struct kind kinds[KINDS];
};

static const struct deployment deployments[] = {
	{ "valdivieso", "custodio", { "sala-norte", "sala-sur", "linares" },
	    { "sn", "ss", "li" }, 2, 11, 1.5, 8, 22, 330, 4, 1, 1,
	    {
		{ "settlement", 0.004, 0.004, 1000, 2000, 30000, 90, 0.15, 1,
		    3 },
		{ "interest-accrual", 0.012, 0.010, 4000, 8000, 150000, 20,
		    0.35, 0, 3 },
		{ "deposit-reindex", 0.050, 0.015, 6000, 20000, 300000, 8, 0.35,
		    0, 3 },
		{ "notice-render", 0.008, 0.006, 2000, 4000, 60000, 50, 0.15, 0,
		    3 },
		{ "import", 0.090, 0.030, 4000, 6000, 60000, 20, 0, 0, 3 },
	    } },
	{ "alexandria", "cover-inspect",
	    { "alx-montaza", "alx-sharq", "alx-agami" }, { "mo", "sh", "ag" },
	    2, 8, 0.5, 15, 45, 200, 2, 3, 3,
	    {
		{ "crew-report", 0.004, 0.004, 1000, 2000, 30000, 60, 0.10, 1,
		    3 },
		{ "survey", 0.012, 0.012, 4000, 10000, 240000, 12, 0.45, 0, 2 },
		{ "archive-rebuild", 0.040, 0.015, 6000, 20000, 420000, 6, 0.30,
		    0, 3 },
		{ "thumbnail", 0.008, 0.006, 2000, 4000, 45000, 60, 0.15, 0,
		    3 },
		{ "photo-import", 0.080, 0.030, 4000, 6000, 60000, 16, 0, 0,
		    3 },
	    } },
};

struct generator {
	FILE *f;
	const struct deployment *d;
	gsl_rng *r;
	int held_out;
	int jobs;
	double hours; /* of the work of tasks, so far */
	double kind_hours[KINDS];
};

static void put(struct generator *, json_t *);
static json_t *sizes(double, double);
static double off_by(struct generator *);
static void put_head(struct generator *);
static void put_workers(struct generator *);
static void put_kinds(struct generator *);
static void put_calls(struct generator *);
static void put_job(struct generator *, int, int64_t, const char *);
static int next_kind(const struct generator *);
static void put_cancel(struct generator *, const char *);
static void put_batch(struct generator *);
static void put_wave(struct generator *);
static void put_bad_jobs(struct generator *);
static void put_fault(struct generator *, const char *, const char *, int, int);
static void put_faults(struct generator *);
static void put_outcome(struct generator *, const char *, const char *, double);
static void put_outcomes(struct generator *);

static void
put(struct generator *g, json_t *line)
{
	if (line == NULL)
		abort();
	json_dumpf(line, g->f, JSON_COMPACT | JSON_REAL_PRECISION(6));
	fputc('\n', g->f);
	json_decref(line);
}

static json_t *
sizes(double cpu_millis, double memory_mib)
{
	return json_pack("{s:I,s:I,s:i}", "cpu_millis", (json_int_t)cpu_millis,
	    "memory_mib", (json_int_t)memory_mib, "accelerators", 0);
}

/* Half of the jobs know their sizes; the rest are off by up to 4 times. */
static double
off_by(struct generator *g)
{
	if (gsl_rng_uniform(g->r) < 0.5)
		return gsl_ran_flat(g->r, 0.9, 1.1);
	return exp(gsl_ran_flat(g->r, log(0.25), log(4)));
}

static void
put_head(struct generator *g)
{
	const struct deployment *d;
	char name[64];

	d = g->d;
	snprintf(name, sizeof(name), "%s%s", d->name,
	    g->held_out ? "-held-out" : "");
	put(g,
	    json_pack("{s:s,s:i,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i,s:i,"
		      "s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:o}",
		"type", "trace", "version", 1, "name", name, "service",
		d->service, "duration_ms", (int)DURATION_MS, "lag_ms", 10000,
		"window_ms", 10000, "list_lag_ms", 10000, "deadline_ms", 1000,
		"entries", 9, "ahead", 40, "one_way_ms", d->one_way_ms,
		"base_ms", d->base_ms, "sigma", 0.3, "target_p99_ms",
		d->target_ms, "tail_weight", d->tail, "throughput_weight",
		d->throughput, "eviction_weight", d->eviction, "service_sizes",
		sizes(SERVICE_MILLIS, SERVICE_MIB)));
}

static void
put_workers(struct generator *g)
{
	const struct deployment *d;
	char id[64], rack[64];
	int c, r, i;

	d = g->d;
	for (c = 0; c < 3; c++) {
		for (r = 1; r <= d->racks_each; r++) {
			snprintf(rack, sizeof(rack), "%s.r%d",
			    d->data_centers[c], r);
			for (i = 1; i <= d->workers_each; i++) {
				snprintf(id, sizeof(id), "%s-r%d-w%02d",
				    d->racks[c], r, i);
				put(g,
				    json_pack("{s:s,s:s,s:s,s:s,s:i,s:o}",
					"type", "worker", "id", id, "rack",
					rack, "data_center", d->data_centers[c],
					"slots", 8, "capacity",
					sizes(CPU_MILLIS, MEMORY_MIB)));
			}
		}
	}
}

static void
put_kinds(struct generator *g)
{
	const struct kind *victim, *cause;
	double harm;
	int v, c;

	put(g, json_pack("{s:s,s:s}", "type", "kind", "name", g->d->service));
	for (v = 0; v < KINDS; v++)
		put(g,
		    json_pack("{s:s,s:s}", "type", "kind", "name",
			g->d->kinds[v].name));
	for (v = -1; v < KINDS; v++) {
		victim = v < 0 ? NULL : &g->d->kinds[v];
		for (c = 0; c < KINDS; c++) {
			cause = &g->d->kinds[c];
			harm = victim == NULL ? cause->harm : cause->grudge;
			harm *= gsl_ran_flat(g->r, 0.5, 1.5);
			put(g,
			    json_pack("{s:s,s:s,s:s,s:f}", "type",
				"interference", "victim",
				victim == NULL ? g->d->service : victim->name,
				"cause", cause->name, "per_processor", harm));
		}
	}
}

static void
put_calls(struct generator *g)
{
	static const double tide[] = { 0.8, 1.0, 1.2, 0.9, 1.4, 1.0 };
	size_t i;

	for (i = 0; i < sizeof(tide) / sizeof(tide[0]); i++)
		put(g,
		    json_pack("{s:s,s:I,s:f}", "type", "calls", "from_ms",
			(json_int_t)i * 5 * MINUTE_MS, "per_s",
			tide[i] * g->d->per_s));
}

static void
put_job(struct generator *g, int kind, int64_t at_ms, const char *name)
{
	const struct kind *k;
	double cpu, memory, run_ms;
	char id[64];
	int tasks;

	k = &g->d->kinds[kind];
	cpu = k->cpu_millis * gsl_ran_flat(g->r, 0.6, 1.4);
	memory = k->memory_mib * gsl_ran_flat(g->r, 0.6, 1.4);
	run_ms = k->run_ms * gsl_ran_flat(g->r, 0.5, 1.5);
	tasks = 1 + (int)gsl_ran_poisson(g->r, k->tasks);
	snprintf(id, sizeof(id), "%s-%d", name, ++g->jobs);
	g->hours += tasks * run_ms * cpu / TRACE_CORE_HOUR;
	g->kind_hours[kind] += tasks * run_ms * cpu / TRACE_CORE_HOUR;
	put(g,
	    json_pack("{s:s,s:s,s:I,s:s,s:i,s:i,s:i,s:I,s:I,s:o,s:o}", "type",
		"job", "id", id, "at_ms", (json_int_t)at_ms, "kind", k->name,
		"tasks", tasks, "urgent", k->urgent, "max_evictions",
		k->max_evictions, "run_ms", (json_int_t)run_ms,
		"declared_run_ms", (json_int_t)(run_ms * off_by(g)), "declared",
		sizes(fmin(cpu * off_by(g), 24000),
		    fmin(memory * off_by(g), 100000)),
		"true", sizes(cpu, memory)));
}

/* The kind that is furthest behind its share of the work. */
static int
next_kind(const struct generator *g)
{
	double behind, most;
	int kind, best;

	best = 0;
	most = -INFINITY;
	for (kind = 0; kind < WAVE; kind++) {
		behind = g->d->kinds[kind].share -
		    g->kind_hours[kind] / fmax(1, g->hours);
		if (behind > most) {
			most = behind;
			best = kind;
		}
	}
	return best;
}

/*
 * Jobs in the order of their time, a tenth of the work waiting at the start,
 * to LOAD of the room for tasks.  A burst of cancellations follows.
 */
static void
put_batch(struct generator *g)
{
	const struct deployment *d;
	double all_hours, share;
	int64_t at_ms;
	int kind;

	d = g->d;
	all_hours = LOAD * 3.0 * d->racks_each * d->workers_each *
	    (CPU_MILLIS - SERVICE_MILLIS) / 1000 * DURATION_MS / 3.6e6;
	while (g->hours < all_hours) {
		share = g->hours / all_hours;
		at_ms = (int64_t)(fmax(0, share - 0.1) / 0.9 * DURATION_MS);
		kind = next_kind(g);
		put_job(g, kind, at_ms, d->kinds[kind].name);
		if (at_ms > CANCEL_MS - 3 * MINUTE_MS && at_ms < CANCEL_MS &&
		    gsl_rng_uniform(g->r) < 0.4)
			put_cancel(g, d->kinds[kind].name);
	}
}

static void
put_cancel(struct generator *g, const char *name)
{
	char id[64];

	snprintf(id, sizeof(id), "%s-%d", name, g->jobs);
	put(g,
	    json_pack("{s:s,s:s,s:I}", "type", "cancel", "job", id, "at_ms",
		(json_int_t)CANCEL_MS));
}

static void
put_wave(struct generator *g)
{
	int64_t from_ms;
	int i;

	from_ms = (g->held_out ? 3 : 5) * MINUTE_MS;
	for (i = 0; i < 16; i++)
		put_job(g, WAVE, from_ms + (int64_t)i * 12000,
		    g->d->kinds[WAVE].name);
}

/* A job that fails wherever it runs and one that fits no VM. */
static void
put_bad_jobs(struct generator *g)
{
	put(g,
	    json_pack("{s:s,s:s,s:I,s:s,s:i,s:i,s:I,s:I,s:o,s:o}", "type",
		"job", "id", "never-runs-1", "at_ms", (json_int_t)2 * MINUTE_MS,
		"kind", g->d->kinds[1].name, "tasks", 20, "fails", 1, "run_ms",
		(json_int_t)60000, "declared_run_ms", (json_int_t)60000,
		"declared", sizes(2000, 4000), "true", sizes(2000, 4000)));
	put(g,
	    json_pack("{s:s,s:s,s:I,s:s,s:i,s:i,s:I,s:I,s:o,s:o}", "type",
		"job", "id", "too-large-1", "at_ms", (json_int_t)2 * MINUTE_MS,
		"kind", g->d->kinds[1].name, "tasks", 5, "fails", 1, "run_ms",
		(json_int_t)60000, "declared_run_ms", (json_int_t)60000,
		"declared", sizes(64000, 4000), "true", sizes(64000, 4000)));
}

static void
put_fault(
    struct generator *g, const char *what, const char *target, int from, int to)
{
	json_t *line;

	line = json_pack("{s:s,s:s,s:I,s:I}", "type", "fault", "what", what,
	    "from_ms", (json_int_t)from * MINUTE_MS, "until_ms",
	    (json_int_t)to * MINUTE_MS);
	if (line != NULL && target != NULL)
		json_object_set_new(line, "target", json_string(target));
	put(g, line);
}

static void
put_faults(struct generator *g)
{
	const struct deployment *d;
	char id[64], rack[64];
	int c;

	d = g->d;
	c = g->held_out ? 0 : 1;
	snprintf(id, sizeof(id), "%s-r1-w03", d->racks[c]);
	put_fault(g, "worker_fails", id, 2, g->held_out ? 9 : 10);
	snprintf(id, sizeof(id), "%s-r2-w05", d->racks[c]);
	put_fault(g, "worker_lost", id, 4, 12);
	put_fault(g, "store_away", NULL, 10, 20);
	snprintf(rack, sizeof(rack), "%s.r2", d->data_centers[2 - c]);
	put_fault(g, "rack_lost", rack, g->held_out ? 22 : 24, 27);
}

static void
put_outcome(
    struct generator *g, const char *measure, const char *side, double bound)
{
	put(g,
	    json_pack("{s:s,s:s,s:f}", "type", "outcome", "measure", measure,
		side, bound));
}

static void
put_outcomes(struct generator *g)
{
	const struct deployment *d;

	d = g->d;
	put_outcome(g, "p99_ms", "at_most", d->target_ms + 2 * d->one_way_ms);
	put_outcome(g, "task_evictions", "at_most", 3);
	put_outcome(g, "core_hours", "at_least", 0.5 * g->hours);
}

int
generate(FILE *f, const char *deployment, unsigned long seed, int held_out)
{
	struct generator g;
	size_t i;

	memset(&g, 0, sizeof(g));
	for (i = 0; i < sizeof(deployments) / sizeof(deployments[0]); i++) {
		if (strcmp(deployments[i].name, deployment) == 0)
			g.d = &deployments[i];
	}
	if (g.d == NULL)
		return -1;
	g.f = f;
	g.held_out = held_out;
	if ((g.r = gsl_rng_alloc(gsl_rng_taus2)) == NULL)
		abort();
	gsl_rng_set(g.r, seed);
	put_head(&g);
	put_workers(&g);
	put_kinds(&g);
	put_calls(&g);
	put_batch(&g);
	put_wave(&g);
	put_bad_jobs(&g);
	put_faults(&g);
	put_outcomes(&g);
	gsl_rng_free(g.r);
	return 0;
}
