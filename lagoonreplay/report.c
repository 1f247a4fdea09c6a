#include <math.h>

#include "report.h"

static double submitted_hours(const struct trace *);
static void print_spread(
    FILE *, const struct summary *, double (*)(const struct tally *), int, int);
static double p99_of(const struct tally *);
static double hours_of(const struct tally *);
static double evictions_of(const struct tally *);
static double task_evictions_of(const struct tally *);
static double lost_of(const struct tally *);
static double urgent_of(const struct tally *);
static double over_of(const struct tally *);
static double cost_of(const struct tally *);

static double
submitted_hours(const struct trace *t)
{
	const struct trace_job *j;
	double hours;
	int i;

	hours = 0;
	for (i = 0; i < t->njobs; i++) {
		j = &t->jobs[i];
		if (!j->fails && j->cancel_ms == INT64_MAX)
			hours += trace_core_hours(j, j->tasks);
	}
	return hours;
}

double
report_cost(const struct trace *t, const struct tally *y)
{
	const struct trace_head *h;
	double hours, done;

	h = &t->head;
	hours = submitted_hours(t);
	done = y->done > 0 ? (double)y->done : 1;
	return h->tail_weight * y->p99_ms / h->target_p99_ms +
	    h->throughput_weight * (hours > 0 ? 1 - y->core_hours / hours : 0) +
	    h->eviction_weight * 100 * (double)y->evictions / done;
}

double
report_measure(const struct tally *y, enum trace_measure m)
{
	switch (m) {
	case TRACE_P99_MS:
		return y->p99_ms;
	case TRACE_EVICTIONS:
		return (double)y->evictions;
	case TRACE_TASK_EVICTIONS:
		return (double)y->task_evictions;
	case TRACE_CORE_HOURS:
		return y->core_hours;
	case TRACE_OVER_VM_S:
		return y->over_vm_s;
	case TRACE_LOST_CALLS:
		return (double)y->lost_calls;
	}
	return 0;
}

static double
p99_of(const struct tally *y)
{
	return y->p99_ms;
}

static double
hours_of(const struct tally *y)
{
	return y->core_hours;
}

static double
evictions_of(const struct tally *y)
{
	return (double)y->evictions;
}

static double
task_evictions_of(const struct tally *y)
{
	return (double)y->task_evictions;
}

static double
lost_of(const struct tally *y)
{
	return (double)y->lost_calls;
}

static double
urgent_of(const struct tally *y)
{
	return y->urgent_p99_ms / 1000;
}

static double
over_of(const struct tally *y)
{
	return y->over_vm_s;
}

static double
cost_of(const struct tally *y)
{
	return y->cost;
}

/* The mean, and the least and the most in brackets. */
static void
print_spread(FILE *f, const struct summary *s,
    double (*of)(const struct tally *), int digits, int width)
{
	char text[64];
	double sum, least, most, x;
	int i;

	sum = 0;
	least = INFINITY;
	most = -INFINITY;
	for (i = 0; i < s->seeds; i++) {
		x = of(&s->tallies[i]);
		sum += x;
		least = fmin(least, x);
		most = fmax(most, x);
	}
	snprintf(text, sizeof(text), "%.*f [%.*f-%.*f]", digits, sum / s->seeds,
	    digits, least, digits, most);
	fprintf(f, " %*s", width, text);
}

void
report_table(FILE *f, const struct trace *t, const struct summary *s, int n)
{
	int i;

	fprintf(
	    f, "%s: mean [least-most] of %d seeds\n", t->head.name, s[0].seeds);
	fprintf(f, "%-25s %19s %20s %18s %10s %18s %18s %12s %19s\n", "policy",
	    "p99 ms", "core hours", "evictions", "of a task", "lost calls",
	    "over VM s", "urgent s", "weighted cost");
	for (i = 0; i < n; i++) {
		fprintf(f, "%-25s", s[i].policy->name);
		print_spread(f, &s[i], p99_of, 1, 19);
		print_spread(f, &s[i], hours_of, 0, 20);
		print_spread(f, &s[i], evictions_of, 0, 18);
		print_spread(f, &s[i], task_evictions_of, 0, 10);
		print_spread(f, &s[i], lost_of, 0, 18);
		print_spread(f, &s[i], over_of, 0, 18);
		print_spread(f, &s[i], urgent_of, 0, 12);
		print_spread(f, &s[i], cost_of, 2, 19);
		fputc('\n', f);
	}
}

void
report_csv(FILE *f, const struct trace *t, const struct summary *s, int n,
    unsigned long first_seed)
{
	const struct tally *y;
	int i, k;

	fprintf(f,
	    "trace,policy,seed,p50_ms,p99_ms,core_hours,lost_hours,"
	    "evictions,task_evictions,throttles,calls,lost_calls,no_credit,"
	    "done,given_up,failures,out_of_memory,over_vm_s,urgent_p99_ms,"
	    "urgent_wait_ms,"
	    "cost\n");
	for (i = 0; i < n; i++) {
		for (k = 0; k < s[i].seeds; k++) {
			y = &s[i].tallies[k];
			fprintf(f,
			    "%s,%s,%lu,%.3f,%.3f,%.2f,%.2f,%ld,%ld,%ld,%ld,"
			    "%ld,%ld,%ld,%ld,%ld,%ld,%.0f,%.0f,%.0f,%.4f\n",
			    t->head.name, s[i].policy->name,
			    first_seed + (unsigned long)k, y->p50_ms, y->p99_ms,
			    y->core_hours, y->lost_hours, y->evictions,
			    y->task_evictions, y->throttles, y->calls,
			    y->lost_calls, y->no_credit, y->done, y->given_up,
			    y->failures, y->out_of_memory, y->over_vm_s,
			    y->urgent_p99_ms, y->urgent_wait_ms, y->cost);
		}
	}
}

int
report_outcomes(FILE *f, const struct trace *t, const struct summary *s,
    unsigned long first_seed)
{
	const struct trace_outcome *o;
	double x;
	int i, k, missed, misses;

	misses = 0;
	for (i = 0; i < t->noutcomes; i++) {
		o = &t->outcomes[i];
		missed = 0;
		for (k = 0; k < s->seeds; k++) {
			x = report_measure(&s->tallies[k], o->measure);
			if (o->at_least ? x >= o->bound : x <= o->bound)
				continue;
			missed = 1;
			fprintf(f, "missed: %s %s %s %g, but seed %lu has %g\n",
			    s->policy->name, trace_measure_text(o->measure),
			    o->at_least ? "at least" : "at most", o->bound,
			    first_seed + (unsigned long)k, x);
		}
		misses += missed;
	}
	return misses;
}
