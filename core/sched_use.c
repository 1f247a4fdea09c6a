#include "sched_int.h"

/*
 * Estimate of the processors that tasks use of their reservations, and so of
 * what is left for fillers.  Serving tasks use half of their reservations or
 * less, depending on load, and their use isn't measured; that of fillers is.
 * While all fillers on a worker get what they request, serving tasks leave more
 * idle than estimated; where a filler gets less, all processors are in use.
 *
 * It serves the case that more fillers wait than fit by declared sizes.  On 350
 * workers thousands of them waited while about two fifths of the processors
 * were idle, with an assumed use of 0.45 of the serving tasks' reservations.
 */

/* Initial share of its reservation that a serving task uses. */
#define SERVING_USE 0.6
/* The same for other tasks: about a half use all, the others two thirds. */
#define BATCH_USE 0.83
/*
 * A filler uses two thirds of its size or all of it.  One that uses less than
 * this share lacks processors.
 */
#define SHORT_SHARE 0.6
/*
 * Use is measured over spans of half a second; after a change only the value
 * after two spans is complete.
 */
#define SETTLE_MS 1100
#define USE_MIN 0.25
/* Weight of one measurement. */
#define SERVING_WEIGHT 0.02
#define BATCH_WEIGHT 0.002
/* Decay of the serving estimate per second while no filler lacks processors. */
#define DECAY_PER_S 0.02
/* Maximum time of decay per poll. */
#define DECAY_SPAN_MAX_MS 500

void
use_init(struct sched *s)
{
	s->serving_use = SERVING_USE;
	s->batch_use = BATCH_USE;
}

int64_t
use_idle_cpu(const struct sched *s, const struct sched_worker *worker)
{
	int64_t batch;

	batch = worker->room.used.cpu_millis - worker->serving_cpu +
	    worker->filler_cpu;
	return worker->room.capacity.cpu_millis -
	    (int64_t)(s->batch_use * (double)batch) -
	    (int64_t)(s->serving_use * (double)worker->serving_cpu);
}

/* Use of a worker's processors, in thousandths. */
struct use {
	int64_t batch; /* by tasks other than serving ones */
	bool fillers; /* the use of a filler was measured */
	bool is_short; /* a filler gets less than it requests */
};

static bool
has_measurement(const struct sched_run *run, int64_t now_ms)
{
	return run->listed_ms == now_ms && run->measurement > 0 &&
	    run->begun_ms != 0 && now_ms - run->begun_ms >= SETTLE_MS &&
	    now_ms - run->paced_ms >= SETTLE_MS;
}

static void
add_run(struct sched *s, const struct sched_run *run, struct use *use,
    int64_t now_ms)
{
	double requested, share;

	requested = (double)run->task->step->spec->size.cpu_millis;
	if (run->pace != PACE_UNKNOWN)
		requested *= (double)run->pace / 100;
	if (!has_measurement(run, now_ms)) {
		use->batch += (int64_t)(s->batch_use * requested);
		return;
	}
	use->batch += run->measurement;
	if (requested <= 0)
		return;
	share = (double)run->measurement / requested;
	if (run->task->step->spec->filler) {
		use->fillers = true;
		if (share < SHORT_SHARE)
			use->is_short = true;
	}
	if (share >= SHORT_SHARE && share <= 1.1)
		s->batch_use += BATCH_WEIGHT * (share - s->batch_use);
}

static void
decay_serving_use(struct sched *s, int64_t now_ms)
{
	int64_t since_ms;

	since_ms = now_ms - s->use_decayed_ms;
	s->use_decayed_ms = now_ms;
	if (since_ms > DECAY_SPAN_MAX_MS)
		since_ms = DECAY_SPAN_MAX_MS;
	s->serving_use -= DECAY_PER_S * (double)since_ms / 1000;
	if (s->serving_use < USE_MIN)
		s->serving_use = USE_MIN;
}

/* Called after the worker has listed its runs. */
void
use_update(struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	const struct sched_run *run;
	struct use use = { 0, false, false };
	double share;

	if (worker->serving_cpu == 0)
		return;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (run->task->step->spec->tail_target_ms > 0)
			continue;
		add_run(s, run, &use, now_ms);
	}
	if (!use.fillers)
		return;
	share = (double)(worker->room.capacity.cpu_millis - use.batch) /
	    (double)worker->serving_cpu;
	if (share > 1)
		share = 1;
	if (share < USE_MIN)
		share = USE_MIN;
	if (use.is_short || share < s->serving_use)
		s->serving_use += SERVING_WEIGHT * (share - s->serving_use);
	else
		decay_serving_use(s, now_ms);
}
