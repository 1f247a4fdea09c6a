#include <math.h>

#include "learnimpl.h"

/* Ratio of used to declared resources. */

#define JOB_SAMPLES_MIN 2 /* measurements before a job's ratio is used */
#define KIND_SAMPLES_MIN 5 /* measurements before a kind's ratio is used */
#define RECLAIM_SAMPLES_MIN 2 /* measurements before CPU is reclaimed */
#define RATIO_SAMPLES_MAX 20 /* measurements that a mean averages over */
#define RATIO_MIN 0.05
#define RATIO_MAX 20.0
#define RESERVE_RATIO_MAX 4.0 /* reserved / declared */
#define RECLAIM_RATIO_MIN 0.25 /* reserved / declared, with reclaim_cpu */
#define ACCURATE_RATIO_MAX 1.02 /* up to this, usage counts as declared */
#define ACCURATE_SPREAD_MAX 0.1
#define MARGIN_SPREADS 2.0 /* margin above the mean, in deviations */

static void observe(struct learn_ratio *, int64_t, int64_t);
static double expected_ratio(
    const struct learn_ratio *, const struct learn_ratio *);
static int64_t scaled(int64_t, double, int64_t);

static void
observe(struct learn_ratio *r, int64_t declared, int64_t used)
{
	double ratio;

	if (declared <= 0 || used < 0)
		return;
	ratio = (double)used / (double)declared;
	ratio = fmax(RATIO_MIN, fmin(RATIO_MAX, ratio));
	r->count = fmin(r->count + 1, RATIO_SAMPLES_MAX);
	r->spread += (fabs(ratio - r->mean) - r->spread) / r->count;
	if (r->count == 1)
		r->spread = 0;
	r->mean += (ratio - r->mean) / r->count;
}

void
learn_usage(struct learn *l, struct learn_job *job, int kind,
    const struct resources *declared, const struct resources *used)
{
	struct learn_kind *k;

	k = &l->kinds[kind];
	observe(&job->cpu, declared->cpu_millis, used->cpu_millis);
	observe(&job->memory, declared->memory_mib, used->memory_mib);
	observe(&k->cpu, declared->cpu_millis, used->cpu_millis);
	observe(&k->memory, declared->memory_mib, used->memory_mib);
}

/* The expected ratio: that of the job, else that of its kind. */
static double
expected_ratio(const struct learn_ratio *job, const struct learn_ratio *kind)
{
	if (job->count >= JOB_SAMPLES_MIN) {
		/*
		 * Measurements vary.  Reserving a margin beyond the declared
		 * size for a job that uses what it declares would leave room
		 * for one task unused on many VMs.
		 */
		if (job->mean <= ACCURATE_RATIO_MAX &&
		    job->spread < ACCURATE_SPREAD_MAX)
			return fmin(
			    1, job->mean + MARGIN_SPREADS * job->spread);
		return job->mean + MARGIN_SPREADS * job->spread;
	}
	if (kind->count >= KIND_SAMPLES_MIN)
		return kind->mean;
	return 1;
}

int64_t
learn_run_ms(const struct learn_job *job, int64_t declared_ms)
{
	if (job->run.count < JOB_SAMPLES_MIN)
		return declared_ms;
	return (int64_t)((double)declared_ms * exp(job->run.mean));
}

static int64_t
scaled(int64_t declared, double ratio, int64_t largest)
{
	int64_t size;

	size = (int64_t)ceil((double)declared * fmin(ratio, RESERVE_RATIO_MAX));
	if (largest >= 0 && size > largest && largest >= declared)
		size = largest;
	return size;
}

void
learn_reserve(const struct learn *l, const struct learn_job *job, int kind,
    const struct resources *declared, const struct resources *largest,
    int reclaim_cpu, struct resources *reserved)
{
	const struct learn_kind *k;
	double cpu, memory, least;

	k = &l->kinds[kind];
	cpu = expected_ratio(&job->cpu, &k->cpu);
	memory = expected_ratio(&job->memory, &k->memory);
	/*
	 * A worker enforces the reserved size as a limit.  Too little CPU slows
	 * a task down, but too little memory kills it: memory is never reserved
	 * below the declared size.
	 */
	least = 1;
	if (reclaim_cpu && job->cpu.count >= RECLAIM_SAMPLES_MIN)
		least = RECLAIM_RATIO_MIN;
	reserved->cpu_millis = scaled(declared->cpu_millis, fmax(least, cpu),
	    largest != NULL ? largest->cpu_millis : -1);
	reserved->memory_mib = scaled(declared->memory_mib, fmax(1, memory),
	    largest != NULL ? largest->memory_mib : -1);
	reserved->accelerators = declared->accelerators;
}
