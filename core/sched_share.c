#include "sched_int.h"

/*
 * Fillers disturb the serving tasks beside them, by amounts that differ by
 * image and change within seconds.  A worker lists each serving task's tail
 * of the last half second.  From these it is learnt which images disturb
 * which.  While a serving task is over its target, the fillers most likely to
 * be the cause are paced down; close to the time at which the lateness
 * becomes a breach, all of them.  A filler that is known to disturb is moved
 * to another worker, since pacing it for long would only hold its job up.
 */

/* A pace takes 0.1 s to act and the tail is that of the last 0.5 s. */
#define PACE_SETTLE_MS 700
/* Rows are half a second old on average: learn from each half second once. */
#define SAMPLE_MS 450
/* A run shows in tails only after so long. */
#define RUN_SETTLE_MS 600
/* In time for so long, a paced filler may try again. */
#define CALM_MS 1000
/* All fillers are paced down so long before the breach. */
#define ALL_BEFORE_MS 1800
/* A tail this near to its target counts as over it: the figure is rough. */
#define OVER_SHARE 0.9
/* A filler is held for the cause from this probability on, */
#define CAUSE_PROBABILITY 0.3
/* or whatever is known, once the lateness has lasted so long. */
#define ANY_CAUSE_MS 1200
/* From this probability on it is moved rather than paced. */
#define MOVE_PROBABILITY 0.65
/* A trial of a pair gives enough tails within so long. */
#define TRIAL_MS 1200
/* A run without checkpoints is moved only before this much of its work. */
#define MOVE_PERCENT 40
/* A good tail before one was seen, as a share of its target. */
#define GOOD_SHARE 0.3
/* Worked out anew after so long, in milliseconds. */
#define WELCOME_MS 500
/* More fillers on a worker than this are not told apart. */
#define FILLERS_MAX 64
/* Weight of one measurement of what serving tasks use of their claims. */
#define USE_WEIGHT 0.02
/* A run's use shows whole only after two spans of half a second. */
#define USE_SETTLE_MS 1100
#define USE_MIN 0.2
/*
 * Many tasks use only two thirds of their size, whatever there is.  Fillers
 * that together get less than this share of their sizes are short of it, */
#define SHORT_SHARE 0.5
/* and those that get more have all they ask for. */
#define FULL_SHARE 0.6
/* So many at least, so that one that stands still doesn't count for all. */
#define SHORT_FILLERS 3

static bool
is_serving(const struct sched_run *run)
{
	return run->task->step->spec->tail_target_ms > 0;
}

static bool
is_filler(const struct sched_run *run)
{
	return run->task->step->spec->filler && run->state == RUN_RUNNING &&
	    !run->stop_wanted;
}

static bool
is_over(const struct sched_run *run)
{
	return (double)run->figure >
	    OVER_SHARE * (double)run->task->step->spec->tail_target_ms;
}

/* What it does shows in the figures of the last half second. */
static bool
is_settled(const struct sched_run *run, int64_t now_ms)
{
	return now_ms - run->begun_ms >= RUN_SETTLE_MS &&
	    now_ms - run->paced_ms >= RUN_SETTLE_MS && !run->pace_out;
}

double
share_pressure(const struct sched *s, const struct sched_worker *worker,
    int image, int *serving)
{
	double probability, highest;
	size_t i;

	highest = 0;
	for (i = 0; i < worker->nserved; i++) {
		probability =
		    press_probability(s->press, worker->served[i].image, image);
		if (probability <= highest)
			continue;
		highest = probability;
		if (serving != NULL)
			*serving = worker->served[i].image;
	}
	return highest;
}

double
share_welcome(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	int image, all, welcome;

	if (worker->nserved == 0)
		return 1;
	if (now_ms - worker->welcome_ms < WELCOME_MS)
		return worker->welcome;
	all = welcome = 0;
	for (image = press_next_filler(s->press, PRESS_NONE);
	     image != PRESS_NONE; image = press_next_filler(s->press, image)) {
		all++;
		if (share_pressure(s, worker, image, NULL) < SHARE_DISTURBS)
			welcome++;
	}
	worker->welcome = all > 0 ? (double)welcome / all : 1;
	worker->welcome_ms = now_ms;
	return worker->welcome;
}

/* Serving tasks of an image come to the worker (1) or leave it (-1). */
void
share_count(struct sched_worker *worker, int image, int change)
{
	size_t i;

	for (i = 0; i < worker->nserved; i++) {
		if (worker->served[i].image == image)
			break;
	}
	if (i == worker->nserved) {
		if (change < 0 || i == SCHED_SERVED_MAX)
			return; /* one too many to be told apart */
		worker->served[worker->nserved++].image = image;
		worker->served[i].n = 0;
	}
	worker->served[i].n += change;
	if (worker->served[i].n <= 0)
		worker->served[i] = worker->served[--worker->nserved];
}

int64_t
share_unused(const struct sched *s, const struct sched_worker *worker)
{
	int64_t claimed;

	claimed = worker->room.used.cpu_millis - worker->serving_cpu;
	return worker->room.capacity.cpu_millis - claimed -
	    (int64_t)(s->serving_use * (double)worker->serving_cpu) -
	    worker->filler_cpu;
}

/* The images of fillers at work; -1: some have only begun or changed. */
static int
active_images(const struct sched_worker *worker, int *images, int64_t now_ms)
{
	const struct sched_run *run;
	int i, n;

	n = 0;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!run->task->step->spec->filler)
			continue;
		if (!is_settled(run, now_ms))
			return -1;
		if (run->pace == 0)
			continue;
		for (i = 0; i < n && images[i] != run->task->step->image; i++)
			continue;
		if (i == n && n < FILLERS_MAX)
			images[n++] = run->task->step->image;
	}
	return n;
}

static void
learn_press(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	int images[FILLERS_MAX], n;
	struct sched_run *run;
	int64_t target_ms;

	if ((n = active_images(worker, images, now_ms)) < 0)
		return;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!is_serving(run) || run->listed_ms != now_ms ||
		    run->percent < 100 || now_ms - run->sampled_ms < SAMPLE_MS)
			continue;
		run->sampled_ms = now_ms;
		target_ms = run->task->step->spec->tail_target_ms;
		press_sample(s->press, run->task->step->image, images,
		    (size_t)n, run->figure, GOOD_SHARE * (double)target_ms,
		    now_ms);
	}
}

/* What serving tasks use of their claims, from what fillers get beside. */
static void
learn_use(struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	int64_t asked, got, others;
	const struct sched_run *run;
	double use;
	int n;

	n = 0;
	asked = got = others = 0;
	if (worker->serving_cpu == 0)
		return;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (is_serving(run))
			continue;
		if (run->listed_ms != now_ms || !is_settled(run, now_ms) ||
		    now_ms - run->begun_ms < USE_SETTLE_MS || run->pace < 100)
			return;
		if (!run->task->step->spec->filler) {
			others += run->figure;
			continue;
		}
		asked += run->task->step->spec->size.cpu_millis;
		got += run->figure;
		n++;
	}
	if (n < SHORT_FILLERS)
		return;
	use = (double)(worker->room.capacity.cpu_millis - got - others) /
	    (double)worker->serving_cpu;
	if (use > 1)
		use = 1;
	if (use < USE_MIN)
		use = USE_MIN;
	if ((double)got < SHORT_SHARE * (double)asked && use > s->serving_use)
		s->serving_use += USE_WEIGHT * (use - s->serving_use);
	if ((double)got > FULL_SHARE * (double)asked && use < s->serving_use)
		s->serving_use += USE_WEIGHT * (use - s->serving_use);
}

void
share_learn(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	if (worker->serving == 0 || worker->filler_cpu == 0)
		return;
	learn_press(s, worker, now_ms);
	learn_use(s, worker, now_ms);
}

static void
set_pace(struct sched *s, struct sched_run *run, int percent, int64_t now_ms)
{
	if (run->pace_out || run->pace == percent)
		return;
	run->pace = percent;
	run->pace_out = true;
	run->paced_ms = now_ms;
	run->worker->paced_ms = now_ms;
	s->counts.paces++;
	s->opt.actions->pace(s, run, percent, s->opt.ctx);
}

void
share_work_again(struct sched *s, struct sched_run *run, int64_t now_ms)
{
	run->pace = PACE_UNKNOWN;
	set_pace(s, run, 100, now_ms);
}

/* The time since when the latest of the serving tasks is over; 0: none. */
static int64_t
late_since(struct sched_worker *worker, int64_t now_ms)
{
	struct sched_run *run;
	int64_t since_ms;

	since_ms = 0;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!is_serving(run) || run->figure_ms == 0)
			continue;
		if (!is_over(run)) {
			run->late_since_ms = 0;
			continue;
		}
		if (run->late_since_ms == 0)
			run->late_since_ms = run->figure_ms;
		if (since_ms == 0 || run->late_since_ms < since_ms)
			since_ms = run->late_since_ms;
	}
	if (since_ms != 0)
		worker->late_ms = now_ms;
	return since_ms;
}

/* How likely fillers of this image make one of the late tasks late. */
static double
blame(const struct sched *s, const struct sched_worker *worker, int image)
{
	const struct sched_run *run;
	double probability, highest;

	highest = 0;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!is_serving(run) || run->late_since_ms == 0)
			continue;
		probability =
		    press_probability(s->press, run->task->step->image, image);
		if (probability > highest)
			highest = probability;
	}
	return highest;
}

/* The filler at work that most likely makes a task late. */
static struct sched_run *
likely_cause(struct sched *s, struct sched_worker *worker, double at_least)
{
	struct sched_run *run, *best;
	double probability, highest;

	best = NULL;
	highest = at_least;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!is_filler(run) || run->pace == 0 || run->pace_out)
			continue;
		probability = blame(s, worker, run->task->step->image);
		if (probability >= highest) {
			best = run;
			highest = probability;
		}
	}
	return best;
}

static bool
may_move(const struct sched_run *run)
{
	return run->task->step->spec->checkpoints ||
	    run->percent < MOVE_PERCENT;
}

/*
 * Fillers that surely disturb go elsewhere, and those that were paced down
 * work again: at once if they are hardly to blame, else one after the other.
 */
static void
settle_fillers(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct sched_run *run;
	double pressure;

	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!is_filler(run) || run->pace_out)
			continue;
		pressure =
		    share_pressure(s, worker, run->task->step->image, NULL);
		if (pressure > MOVE_PROBABILITY && may_move(run) &&
		    (!run->forced || now_ms - run->sent_ms > TRIAL_MS)) {
			run_want_stop(s, run);
			continue;
		}
		if (run->pace == 100 ||
		    now_ms - run->paced_ms < PACE_SETTLE_MS ||
		    now_ms - worker->late_ms < CALM_MS)
			continue;
		if (pressure < CAUSE_PROBABILITY ||
		    now_ms - worker->paced_ms >= PACE_SETTLE_MS)
			set_pace(s, run, 100, now_ms);
	}
}

void
share_step(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct sched_run *run;
	int64_t since_ms;

	if (worker->filler_cpu == 0)
		return;
	since_ms = worker->serving > 0 ? late_since(worker, now_ms) : 0;
	if (since_ms != 0 &&
	    now_ms - since_ms > s->opt.harm_ms - ALL_BEFORE_MS) {
		while ((run = likely_cause(s, worker, 0)) != NULL)
			set_pace(s, run, 0, now_ms);
	} else if (since_ms != 0 &&
	    now_ms - worker->paced_ms >= PACE_SETTLE_MS) {
		run = likely_cause(s, worker,
		    now_ms - since_ms > ANY_CAUSE_MS ? 0 : CAUSE_PROBABILITY);
		if (run != NULL)
			set_pace(s, run, 0, now_ms);
	}
	settle_fillers(s, worker, now_ms);
}
