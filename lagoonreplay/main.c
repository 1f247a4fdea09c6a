#include <argp.h>
#include <err.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "generate.h"
#include "policies.h"
#include "report.h"
#include "trace.h"
#include "version.h"
#include "world.h"

#define SEEDS_MAX 100
#define POLICIES_MAX 16
#define SEED_MAX 1000000

struct arguments {
	const char *paths[2]; /* a trace, or "generate" and a deployment */
	const char *policy;
	unsigned long seed;
	int seeds;
	int csv;
	int held_out;
	int variants;
};

static long number(const char *, long, long, const char *);
static error_t parse(int, char *, struct argp_state *);
static void print_version(FILE *, struct argp_state *);
static int pick_policies(const struct arguments *, const struct policy **);
static int replay(const struct arguments *);
static void run_policy(const struct trace *, struct summary *, unsigned long);

static const struct argp_option options[] = {
	{ "seed", 's', "N", 0, "First seed (default 1)", 0 },
	{ "seeds", 'n', "N", 0, "Seeds to run (default 5)", 0 },
	{ "policy", 'p', "NAME", 0, "Run this policy alone", 0 },
	{ "csv", 'c', NULL, 0, "Print a line for each run", 0 },
	{ "variants", 'v', NULL, 0, "Run ours without each of its parts", 0 },
	{ "held-out", 'h', NULL, 0, "generate: the trace not tuned on", 0 },
	{ 0 },
};

static long
number(const char *text, long least, long most, const char *name)
{
	const char *why;
	long long n;

	n = strtonum(text, least, most, &why);
	if (why != NULL)
		errx(2, "--%s %s: %s", name, text, why);
	return (long)n;
}

static error_t
parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *a;

	a = state->input;
	switch (key) {
	case 's':
		a->seed = (unsigned long)number(arg, 1, SEED_MAX, "seed");
		break;
	case 'n':
		a->seeds = (int)number(arg, 1, SEEDS_MAX, "seeds");
		break;
	case 'p':
		a->policy = arg;
		break;
	case 'c':
		a->csv = 1;
		break;
	case 'v':
		a->variants = 1;
		break;
	case 'h':
		a->held_out = 1;
		break;
	case ARGP_KEY_ARG:
		if (state->arg_num >= 2)
			argp_usage(state);
		a->paths[state->arg_num] = arg;
		break;
	case ARGP_KEY_END:
		if (state->arg_num < 1)
			argp_usage(state);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static void
run_policy(const struct trace *t, struct summary *s, unsigned long first_seed)
{
	struct world *w;
	int i;

	s->tallies = calloc((size_t)s->seeds, sizeof(*s->tallies));
	if (s->tallies == NULL)
		err(2, "%s", s->policy->name);
	for (i = 0; i < s->seeds; i++) {
		w = world_open(t, s->policy, first_seed + (unsigned long)i);
		if (w == NULL)
			err(2, "%s", s->policy->name);
		world_run(w);
		s->tallies[i] = w->tally;
		s->tallies[i].cost = report_cost(t, &w->tally);
		world_close(w);
	}
}

/* Which to run; ours is always the first of several. */
static int
pick_policies(const struct arguments *a, const struct policy **picked)
{
	size_t i;
	int n;

	if (a->policy != NULL) {
		picked[0] = policy_find(a->policy);
		return 1;
	}
	n = 0;
	picked[n++] = &policies[0];
	for (i = 1; !a->variants && i < npolicies; i++)
		picked[n++] = &policies[i];
	for (i = 0; a->variants && i < nvariants; i++)
		picked[n++] = &variants[i];
	return n;
}

static int
replay(const struct arguments *a)
{
	const struct policy *picked[POLICIES_MAX];
	struct summary summaries[POLICIES_MAX];
	char detail[TRACE_NAME_MAX];
	enum trace_error error;
	struct trace *t;
	int i, line, n, misses;

	error = trace_read(a->paths[0], &t, &line, detail);
	if (error == TRACE_ERR_OPEN)
		err(2, "%s", a->paths[0]);
	if (error != TRACE_OK)
		errx(2, "%s:%d: %s: %s", a->paths[0], line,
		    trace_error_text(error), detail);
	n = pick_policies(a, picked);
	for (i = 0; i < n; i++) {
		summaries[i].policy = picked[i];
		summaries[i].seeds = a->seeds;
		run_policy(t, &summaries[i], a->seed);
	}
	if (a->csv)
		report_csv(stdout, t, summaries, n, a->seed);
	else
		report_table(stdout, t, summaries, n);
	misses = report_outcomes(stderr, t, &summaries[0], a->seed);
	while (n > 0)
		free(summaries[--n].tallies);
	trace_free(t);
	return misses == 0 ? 0 : 1;
}

static void
print_version(FILE *f, struct argp_state *state)
{
	(void)state;
	fprintf(f, "lagoonreplay %s\n", LAGOONPIN_VERSION);
}

int
main(int argc, char *argv[])
{
	static const struct argp argp = { options, parse,
		"TRACE\ngenerate DEPLOYMENT",
		"Replay a trace over the decisions of lagoonpin.", NULL, NULL,
		NULL };
	struct arguments a;

	argp_program_version_hook = print_version;
	memset(&a, 0, sizeof(a));
	a.seed = 1;
	a.seeds = 5;
	argp_parse(&argp, argc, argv, 0, NULL, &a);
	if (a.policy != NULL && policy_find(a.policy) == NULL)
		errx(2, "--policy %s: no such policy", a.policy);
	if (strcmp(a.paths[0], "generate") != 0)
		return replay(&a);
	if (a.paths[1] == NULL)
		errx(2, "generate: a deployment is missing");
	if (generate(stdout, a.paths[1], a.seed, a.held_out) == -1)
		errx(2, "generate %s: no such deployment", a.paths[1]);
	return 0;
}
