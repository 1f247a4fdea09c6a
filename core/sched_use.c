#include "sched_int.h"

/*
 * What tasks use of the processors they claim, and so what is left for
 * fillers.  Serving tasks use half of their claims or less, by their load, and
 * aren't measured; a filler's use is.  While all fillers on a worker get what
 * they ask for, serving tasks leave more than was thought; where one gets less,
 * the rest is in use.
 *
 * Load answered: more fillers waiting than fit by declared sizes.  On 350
 * workers thousands of them waited while about two fifths of the processors
 * stayed unused, with serving tasks taken to use 0.45 of their claims.
 */

/* Share of its claim that a serving task uses, before any was measured. */
#define SERVING_USE 0.6
/* The same of other tasks: about a half use all, the others two thirds. */
#define BATCH_USE 0.83
/*
 * A filler uses two thirds of its size or all of it.  One that uses less than
 * this share is short of processors.
 */
#define SHORT_SHARE 0.6
/* A run's use shows whole only after two spans of half a second. */
#define SETTLE_MS 1100
#define USE_MIN 0.25
/* Weight of one measurement. */
#define SERVING_WEIGHT 0.02
#define BATCH_WEIGHT 0.002
/* With no filler short anywhere the estimate falls so much in a second. */
#define FALL_PER_S 0.02
/* One look speaks for so long. */
#define FALL_SPAN_MS 500

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

/* Processors of a worker by their use, in thousandths. */
struct use {
	int64_t batch; /* used by tasks that don't serve */
	bool fillers; /* there is one whose use is known */
	bool is_short; /* one of them gets less than it asks for */
};

static bool
is_measured(const struct sched_run *run, int64_t now_ms)
{
	return run->listed_ms == now_ms && run->measurement > 0 &&
	    run->begun_ms != 0 && now_ms - run->begun_ms >= SETTLE_MS &&
	    now_ms - run->paced_ms >= SETTLE_MS;
}

static void
add_run(struct sched *s, const struct sched_run *run, struct use *use,
    int64_t now_ms)
{
	double asked, share;

	asked = (double)run->task->step->spec->size.cpu_millis;
	if (run->pace != PACE_UNKNOWN)
		asked *= (double)run->pace / 100;
	if (!is_measured(run, now_ms)) {
		use->batch += (int64_t)(s->batch_use * asked);
		return;
	}
	use->batch += run->measurement;
	if (asked <= 0)
		return;
	share = (double)run->measurement / asked;
	if (run->task->step->spec->filler) {
		use->fillers = true;
		if (share < SHORT_SHARE)
			use->is_short = true;
	}
	if (share >= SHORT_SHARE && share <= 1.1)
		s->batch_use += BATCH_WEIGHT * (share - s->batch_use);
}

static void
fall(struct sched *s, int64_t now_ms)
{
	int64_t since_ms;

	since_ms = now_ms - s->use_decayed_ms;
	s->use_decayed_ms = now_ms;
	if (since_ms > FALL_SPAN_MS)
		since_ms = FALL_SPAN_MS;
	s->serving_use -= FALL_PER_S * (double)since_ms / 1000;
	if (s->serving_use < USE_MIN)
		s->serving_use = USE_MIN;
}

/* The worker has just listed what runs. */
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
		fall(s, now_ms);
}
