#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_histogram.h>

#include "log.h"
#include "tally.h"

/* Each bin is a tenth of a percent wide, from 10 us to 1000 s. */
#define BINS 18520
#define LOWEST_MS 0.01
#define HIGHEST_MS 1e6

struct latencies {
	gsl_histogram *bins;
	double sum_ms;
	double most_ms;
	uint64_t n;
};

struct tally {
	uint64_t sent[PLAN_NKINDS];
	uint64_t repeats[PLAN_NKINDS];
	uint64_t finals[PLAN_NKINDS][TALLY_NOUTCOMES];
	uint64_t faults[TALLY_NFAULTS];
	json_t *reasons;
	json_t *counts;
	struct latencies entry;
	struct latencies direct;
	struct latencies total;
};

static int latencies_open(struct latencies *);
static void latencies_add(struct latencies *, double ms);
static double latencies_quantile(const struct latencies *, double);
static json_t *latencies_json(const struct latencies *);
static void latencies_print(const char *, const struct latencies *);
static void add_to(json_t *, const char *, uint64_t);
static void print_counts(const char *, json_t *);

static const char *const outcome_names[TALLY_NOUTCOMES] = { "answered",
	"not_run", "unknown", "no_answer", "reopen" };
static const char *const fault_names[TALLY_NFAULTS] = { "wrong_answer",
	"cut_as_whole", "no_outcome", "ran_twice", "ran_though_not_run",
	"answered_without_run", "audit_failed", "job_lost" };

static int
latencies_open(struct latencies *l)
{
	double range[BINS + 1];
	size_t i;

	if ((l->bins = gsl_histogram_alloc(BINS)) == NULL)
		return -1;
	for (i = 0; i <= BINS; i++)
		range[i] =
		    LOWEST_MS * pow(HIGHEST_MS / LOWEST_MS, (double)i / BINS);
	gsl_histogram_set_ranges(l->bins, range, BINS + 1);
	return 0;
}

static void
latencies_add(struct latencies *l, double ms)
{
	gsl_histogram_increment(
	    l->bins, ms < LOWEST_MS * 1.001 ? LOWEST_MS * 1.001 : ms);
	l->sum_ms += ms;
	if (ms > l->most_ms)
		l->most_ms = ms;
	l->n++;
}

/* The upper bound of the bin that holds the quantile. */
static double
latencies_quantile(const struct latencies *l, double quantile)
{
	double below, lower, upper;
	size_t i;

	if (l->n == 0)
		return 0;
	below = 0;
	upper = 0;
	for (i = 0; i < BINS && below < quantile * (double)l->n; i++) {
		below += gsl_histogram_get(l->bins, i);
		gsl_histogram_get_range(l->bins, i, &lower, &upper);
	}
	return upper < l->most_ms ? upper : l->most_ms;
}

static json_t *
latencies_json(const struct latencies *l)
{
	return json_pack("{s:I,s:f,s:f,s:f,s:f,s:f,s:f}", "n", (json_int_t)l->n,
	    "mean_ms", l->n == 0 ? 0.0 : l->sum_ms / (double)l->n, "p50_ms",
	    latencies_quantile(l, 0.5), "p90_ms", latencies_quantile(l, 0.9),
	    "p99_ms", latencies_quantile(l, 0.99), "p999_ms",
	    latencies_quantile(l, 0.999), "max_ms", l->most_ms);
}

struct tally *
tally_open(void)
{
	struct tally *t;

	if ((t = calloc(1, sizeof(*t))) == NULL)
		return NULL;
	t->reasons = json_object();
	t->counts = json_object();
	if (t->reasons == NULL || t->counts == NULL ||
	    latencies_open(&t->entry) == -1 ||
	    latencies_open(&t->direct) == -1 || latencies_open(&t->total) == -1)
		goto fail;
	return t;

fail:
	tally_close(t);
	return NULL;
}

void
tally_close(struct tally *t)
{
	if (t == NULL)
		return;
	json_decref(t->reasons);
	json_decref(t->counts);
	gsl_histogram_free(t->entry.bins);
	gsl_histogram_free(t->direct.bins);
	gsl_histogram_free(t->total.bins);
	free(t);
}

static void
add_to(json_t *object, const char *name, uint64_t n)
{
	json_int_t value;

	value = json_integer_value(json_object_get(object, name));
	json_object_set_new(object, name, json_integer(value + (json_int_t)n));
}

void
tally_sent(struct tally *t, enum plan_kind kind, bool repeat)
{
	if (repeat)
		t->repeats[kind]++;
	else
		t->sent[kind]++;
}

void
tally_reason(struct tally *t, const char *outcome, const char *reason)
{
	char name[128];

	snprintf(name, sizeof(name), "%s/%s", outcome, reason);
	add_to(t->reasons, name, 1);
}

void
tally_final(struct tally *t, enum plan_kind kind, enum tally_outcome outcome)
{
	t->finals[kind][outcome]++;
}

void
tally_latency(struct tally *t, bool direct, double ms)
{
	latencies_add(direct ? &t->direct : &t->entry, ms);
}

void
tally_total_latency(struct tally *t, double ms)
{
	latencies_add(&t->total, ms);
}

void
tally_fault(struct tally *t, enum tally_fault fault, const char *id)
{
	char quoted[160];

	t->faults[fault]++;
	log_error("fault", "kind=%s id=%s", fault_names[fault],
	    log_quote(id, quoted, sizeof(quoted)));
}

void
tally_count(struct tally *t, const char *name, uint64_t n)
{
	add_to(t->counts, name, n);
}

uint64_t
tally_finals(const struct tally *t, enum tally_outcome outcome)
{
	uint64_t sum;
	int kind;

	sum = 0;
	for (kind = 0; kind < PLAN_NKINDS; kind++)
		sum += t->finals[kind][outcome];
	return sum;
}

uint64_t
tally_faults(const struct tally *t)
{
	uint64_t sum;
	int i;

	sum = 0;
	for (i = 0; i < TALLY_NFAULTS; i++)
		sum += t->faults[i];
	return sum;
}

double
tally_quantile(const struct tally *t, bool direct, double quantile)
{
	return latencies_quantile(direct ? &t->direct : &t->entry, quantile);
}

json_t *
tally_json(const struct tally *t)
{
	json_t *root, *kinds, *kind, *faults;
	int i, j;

	kinds = json_object();
	for (i = 0; i < PLAN_NKINDS; i++) {
		kind = json_pack("{s:I,s:I}", "sent", (json_int_t)t->sent[i],
		    "repeats", (json_int_t)t->repeats[i]);
		for (j = 0; j < TALLY_NOUTCOMES; j++)
			json_object_set_new(kind, outcome_names[j],
			    json_integer((json_int_t)t->finals[i][j]));
		json_object_set_new(
		    kinds, plan_kind_name((enum plan_kind)i), kind);
	}
	faults = json_object();
	for (i = 0; i < TALLY_NFAULTS; i++)
		json_object_set_new(faults, fault_names[i],
		    json_integer((json_int_t)t->faults[i]));
	root = json_pack("{s:o,s:O,s:O,s:o,s:o,s:o,s:o}", "kinds", kinds,
	    "reasons", t->reasons, "counts", t->counts, "latency",
	    latencies_json(&t->entry), "direct_latency",
	    latencies_json(&t->direct), "total_latency",
	    latencies_json(&t->total), "faults", faults);
	return root;
}

static void
print_counts(const char *title, json_t *object)
{
	const char *name;
	json_t *value;

	json_object_foreach(object, name, value)
	{
		printf("%-9s %-36s %lld\n", title, name,
		    (long long)json_integer_value(value));
	}
}

static void
latencies_print(const char *name, const struct latencies *l)
{
	if (l->n == 0)
		return;
	printf("%-9s %9llu %9.3f %9.3f %9.3f %9.3f %9.3f\n", name,
	    (unsigned long long)l->n, latencies_quantile(l, 0.5),
	    latencies_quantile(l, 0.9), latencies_quantile(l, 0.99),
	    latencies_quantile(l, 0.999), l->most_ms);
}

void
tally_print(const struct tally *t)
{
	int i;

	printf("%-15s %9s %9s %9s %9s %9s %9s %9s\n", "kind", "sent", "repeats",
	    "answered", "not_run", "unknown", "no_answer", "reopen");
	for (i = 0; i < PLAN_NKINDS; i++)
		printf("%-15s %9llu %9llu %9llu %9llu %9llu %9llu %9llu\n",
		    plan_kind_name((enum plan_kind)i),
		    (unsigned long long)t->sent[i],
		    (unsigned long long)t->repeats[i],
		    (unsigned long long)t->finals[i][TALLY_ANSWERED],
		    (unsigned long long)t->finals[i][TALLY_NOT_RUN],
		    (unsigned long long)t->finals[i][TALLY_UNKNOWN],
		    (unsigned long long)t->finals[i][TALLY_NO_ANSWER],
		    (unsigned long long)t->finals[i][TALLY_REOPEN]);
	print_counts("reason", t->reasons);
	print_counts("count", t->counts);
	printf("%-9s %9s %9s %9s %9s %9s %9s\n", "latency", "n", "p50_ms",
	    "p90_ms", "p99_ms", "p99.9_ms", "max_ms");
	latencies_print("entry", &t->entry);
	latencies_print("direct", &t->direct);
	latencies_print("total", &t->total);
	for (i = 0; i < TALLY_NFAULTS; i++) {
		if (t->faults[i] > 0)
			printf("FAULT     %-36s %llu\n", fault_names[i],
			    (unsigned long long)t->faults[i]);
	}
}
