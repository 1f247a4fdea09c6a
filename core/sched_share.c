#include <math.h>
#include <string.h>

#include "sched_int.h"

/*
 * Sharing of a worker between fillers and serving tasks.  Fillers slow down the
 * serving tasks beside them; interference.c learns how much.  The prediction of
 * each serving task's tail decides where a filler may be placed: only where all
 * tails stay below their targets.  Running fillers are paced so that they stay
 * below as loads change.
 *
 * If a serving task is late in spite of that, the fillers that interfere most
 * with it are throttled one after the other, and shortly before the lateness
 * becomes a breach, all of them.
 */

/*
 * Minimum interval between samples of one tail, a little less than the interval
 * of frequent polls, 250 ms.
 */
#define SAMPLE_MS 240
/*
 * A listed tail covers the last half second; filler usage is averaged over
 * about the same time.
 */
#define USAGE_DECAY_MS 300.0
/* Lower usage, as a share of the worker's processors, is dropped. */
#define USAGE_MIN 0.003
/* A tail over this share of its target counts as late: tails are noisy. */
#define LATE_SHARE 0.9
/* A late task is on time again below this share of its target. */
#define ON_TIME_SHARE 0.87
/*
 * Load kept free below the limit at which a task is late.  The negative value
 * admits more batch work and accepts that some long-running tasks are late for
 * a moment.
 */
#define RESERVE (-0.05)
/* A forecast may be 0, which in struct sched_served means an unknown load. */
#define KNOWN_LOAD_MIN 0.001
/* Added to the reserve for each second of lateness. */
#define RESERVE_PER_LATE_S 0.03
/* Additional reserve that is required to raise a pace. */
#define RAISE_RESERVE 0.02
#define RAISE_AFTER_MS 500
/* Paces are multiples of this, in percent. */
#define PACE_STEP 25
/* After this lateness fillers are throttled whatever the prediction says. */
#define THROTTLE_ONE_MS 1800
/* All fillers are throttled this long before a breach. */
#define THROTTLE_ALL_BEFORE_MS 1400
/* Interval between two of these, so that the first one takes effect. */
#define THROTTLE_INTERVAL_MS 700
/*
 * A filler at pace 0 for this long is moved: loads take seconds to fall, and
 * those of other workers are low meanwhile.
 */
#define MOVE_AFTER_MS 700
/*
 * The delay doubles with each move of a task, this many times: where the load
 * of all workers is high it would be throttled on the next one, too.
 */
#define MOVE_SHIFT_MAX 3
/* A run without checkpoints is moved only below this progress, in percent. */
#define MOVE_PERCENT 40
/* Fillers of a worker that are paced individually; others aren't paced. */
#define FILLERS_MAX 64

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

static double
target_share(const struct sched_run *run)
{
	return (double)run->measurement /
	    (double)run->task->step->spec->tail_target_ms;
}

double
share_cpu_fraction(const struct sched *s, const struct sched_worker *worker,
    const struct graph_step *spec)
{
	if (worker->room.capacity.cpu_millis <= 0)
		return 0;
	return s->batch_use * (double)spec->size.cpu_millis /
	    (double)worker->room.capacity.cpu_millis;
}

/* Share of the worker's processors that the run uses at a pace. */
static double
cpu_share_at(const struct sched *s, const struct sched_run *run, int pace)
{
	if (pace == PACE_UNKNOWN)
		pace = 100;
	return share_cpu_fraction(s, run->worker, run->task->step->spec) *
	    pace / 100;
}

/* Count a serving task of an image that is added (1) or removed (-1). */
void
share_count_serving(
    struct sched_worker *worker, int image, int64_t target_ms, int change)
{
	struct sched_served *served;
	size_t i;

	for (i = 0; i < worker->nserved; i++) {
		if (worker->served[i].image == image)
			break;
	}
	if (i == worker->nserved) {
		if (change < 0 || i == SCHED_SERVED_MAX)
			return; /* images over the maximum aren't tracked */
		served = &worker->served[worker->nserved++];
		served->image = image;
		served->n = 0;
		memset(served->load, 0, sizeof(served->load));
		served->filler_load = 0;
		served->target_ms = target_ms;
	}
	served = &worker->served[i];
	served->n += change;
	if (target_ms < served->target_ms)
		served->target_ms = target_ms;
	if (served->n <= 0)
		*served = worker->served[--worker->nserved];
}

/* Usage of the worker by fillers of each image, current and recent. */

static struct sched_filler_usage *
get_usage(struct sched_worker *worker, int image)
{
	struct sched_filler_usage *usage;
	size_t i;

	for (i = 0; i < worker->inc.nusages; i++) {
		if (worker->inc.usages[i].filler == image)
			return &worker->inc.usages[i];
	}
	if (worker->inc.nusages == SCHED_FILLER_USAGE_MAX)
		return NULL;
	usage = &worker->inc.usages[worker->inc.nusages++];
	usage->filler = image;
	usage->now = 0;
	usage->recent = 0;
	return usage;
}

/* Average up to now and clear the current usage, which the caller sums anew. */
static void
decay_usages(struct sched_worker *worker, int64_t now_ms)
{
	struct sched_filler_usage *usage;
	double kept;
	size_t i;

	kept = exp(-(double)(now_ms - worker->inc.usages_ms) / USAGE_DECAY_MS);
	worker->inc.usages_ms = now_ms;
	for (i = 0; i < worker->inc.nusages;) {
		usage = &worker->inc.usages[i];
		usage->recent = usage->recent * kept + usage->now * (1 - kept);
		usage->now = 0;
		if (usage->recent < USAGE_MIN)
			*usage = worker->inc.usages[--worker->inc.nusages];
		else
			i++;
	}
}

static void
update_filler_loads(struct sched *s, struct sched_worker *worker)
{
	struct sched_served *served;
	size_t i, j;

	for (i = 0; i < worker->nserved; i++) {
		served = &worker->served[i];
		served->filler_load = 0;
		for (j = 0; j < worker->inc.nusages; j++)
			served->filler_load += worker->inc.usages[j].now *
			    interference_effect(s->interference, served->image,
				worker->inc.usages[j].filler);
	}
}

void
share_update_usage(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	const struct sched_run *run;
	struct sched_filler_usage *usage;

	decay_usages(worker, now_ms);
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!run->task->step->spec->filler ||
		    run->state == RUN_STOPPING)
			continue;
		if ((usage = get_usage(worker, run->task->step->image)) != NULL)
			usage->now += cpu_share_at(s, run, run->pace);
	}
	update_filler_loads(s, worker);
}

/* Updates of the interference model. */

static size_t
recent_usages(const struct sched_worker *worker, struct filler_usage *usages)
{
	size_t i;

	for (i = 0; i < worker->inc.nusages; i++) {
		usages[i].filler = worker->inc.usages[i].filler;
		usages[i].share = worker->inc.usages[i].recent;
	}
	return worker->inc.nusages;
}

static void
update_served_load(
    struct sched_worker *worker, const struct sched_run *run, int64_t now_ms)
{
	struct sched_served *served;
	double load;
	size_t i;
	int k;

	for (i = 0; i < worker->nserved; i++) {
		served = &worker->served[i];
		if (served->image != run->task->step->image)
			continue;
		for (k = 0; k < LOAD_HORIZONS; k++) {
			load = forecast_step_load(
			    run->task->step, (enum load_horizon)k, now_ms);
			load = fmax(load, KNOWN_LOAD_MIN);
			if (load > served->load[k])
				served->load[k] = load;
		}
	}
}

static void
update_model(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct filler_usage usages[SCHED_FILLER_USAGE_MAX];
	struct sched_run *run;
	size_t i, n;

	n = recent_usages(worker, usages);
	for (i = 0; i < worker->nserved; i++)
		memset(
		    worker->served[i].load, 0, sizeof(worker->served[i].load));
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!is_serving(run))
			continue;
		if (run->listed_ms == now_ms && run->percent == 100 &&
		    now_ms - run->sampled_ms >= SAMPLE_MS) {
			run->sampled_ms = now_ms;
			interference_update(s->interference,
			    run->task->step->image, &run->task->step->load,
			    usages, n, run->measurement,
			    (double)run->task->step->spec->tail_target_ms,
			    now_ms);
			forecast_step_update(s, run->task->step, now_ms);
		}
		update_served_load(worker, run, now_ms);
	}
}

/* Prediction. */

static double
limit_of(const struct sched *s, const struct sched_served *served)
{
	return interference_load_limit(s->interference, served->image,
	    LATE_SHARE * (double)served->target_ms);
}

double
share_load_ratio(const struct sched *s, const struct sched_worker *worker,
    enum load_horizon horizon, int image, double share)
{
	const struct load_estimate never_listed = { 0 };
	const struct sched_served *served;
	double load, unknown, ratio, highest;
	size_t i;

	highest = 0;
	unknown = load_estimate_value(&never_listed);
	for (i = 0; i < worker->nserved; i++) {
		served = &worker->served[i];
		load =
		    served->load[horizon] > 0 ? served->load[horizon] : unknown;
		ratio = (load + RESERVE) *
		    (1 + served->filler_load +
			share *
			    interference_effect(
				s->interference, served->image, image)) /
		    limit_of(s, served);
		if (ratio > highest)
			highest = ratio;
	}
	return highest;
}

double
share_added_load(const struct sched *s, const struct sched_worker *worker,
    int image, double share)
{
	const struct sched_served *served;
	double added;
	size_t i;

	added = 0;
	for (i = 0; i < worker->nserved; i++) {
		served = &worker->served[i];
		added += served->n * share *
		    interference_effect(s->interference, served->image, image);
	}
	return added;
}

/* Pacing. */

static void
set_pace(struct sched *s, struct sched_run *run, int percent, int64_t now_ms)
{
	if (run->pace_pending || run->pace == percent)
		return;
	run->pace = percent;
	run->pace_pending = true;
	run->paced_ms = now_ms;
	run->worker->inc.paced_ms = now_ms;
	s->counts.paces++;
	s->opt.actions->pace(s, run, percent, s->opt.ctx);
}

void
share_resend_pace(struct sched *s, struct sched_run *run, int64_t now_ms)
{
	run->pace = PACE_UNKNOWN;
	set_pace(s, run, 100, now_ms);
}

/* Fillers of a worker and the highest pace of each. */
struct paces {
	struct sched_run *runs[FILLERS_MAX];
	int pace[FILLERS_MAX];
	size_t n;
};

static void
list_fillers(struct sched_worker *worker, struct paces *paces)
{
	struct sched_run *run;

	memset(paces, 0, sizeof(*paces));
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!is_filler(run) || paces->n == FILLERS_MAX)
			continue;
		paces->runs[paces->n] = run;
		paces->pace[paces->n++] = 100;
	}
}

static double
filler_load_of(const struct sched *s, const struct sched_served *served,
    const struct paces *paces, size_t i)
{
	const struct sched_run *run;

	run = paces->runs[i];
	return cpu_share_at(s, run, paces->pace[i]) *
	    interference_effect(
		s->interference, served->image, run->task->step->image);
}

/* Relative rise of load caused by all of them, and the largest contributor. */
static double
filler_load_of_all(const struct sched *s, const struct sched_served *served,
    const struct paces *paces, size_t *most, double *by_most)
{
	double part, filler_load;
	size_t i;

	filler_load = 0;
	*by_most = 0;
	*most = 0;
	for (i = 0; i < paces->n; i++) {
		part = filler_load_of(s, served, paces, i);
		filler_load += part;
		if (part > *by_most) {
			*by_most = part;
			*most = i;
		}
	}
	return filler_load;
}

/* Lower the paces of the largest contributors until the load fits. */
static void
fit_paces_to(const struct sched *s, const struct sched_served *served,
    enum load_horizon horizon, struct paces *paces, double reserve)
{
	double allowed, by_most, filler_load, load;
	size_t most;
	int lower;

	load = served->load[horizon] + reserve;
	/* Unknown, or so low that with the negative reserve any filler fits. */
	if (served->load[horizon] <= 0 || load <= 0)
		return;
	allowed = limit_of(s, served) / load - 1;
	for (;;) {
		filler_load =
		    filler_load_of_all(s, served, paces, &most, &by_most);
		if (filler_load <= allowed || by_most <= 0)
			return;
		lower = paces->pace[most] -
		    (int)ceil(
			(filler_load - allowed) / by_most * paces->pace[most]);
		if (lower < 0)
			lower = 0;
		paces->pace[most] = lower / PACE_STEP * PACE_STEP;
	}
}

static void
fit_paces(const struct sched *s, struct sched_worker *worker,
    enum load_horizon horizon, struct paces *paces, double reserve)
{
	size_t i;

	list_fillers(worker, paces);
	for (i = 0; i < worker->nserved; i++)
		fit_paces_to(s, &worker->served[i], horizon, paces, reserve);
}

/*
 * A task may have been late since it was last listed as on time.  Tails are
 * noisy: one slightly below the target doesn't end the lateness.
 */
static void
update_lateness(struct sched_run *run)
{
	double share;

	share = target_share(run);
	if (share < ON_TIME_SHARE ||
	    (run->late_since_ms == 0 && share <= LATE_SHARE)) {
		run->late_since_ms = 0;
		run->on_time_ms = run->measurement_ms;
	} else if (run->late_since_ms == 0)
		run->late_since_ms = run->on_time_ms != 0 ? run->on_time_ms :
							    run->measurement_ms;
}

/* When the serving task that is late for longest became late; 0: none is. */
static int64_t
update_late_since(struct sched_worker *worker, int64_t now_ms)
{
	struct sched_run *run;
	int64_t since_ms;

	since_ms = 0;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!is_serving(run) || run->measurement_ms == 0)
			continue;
		update_lateness(run);
		if (run->late_since_ms != 0 &&
		    (since_ms == 0 || run->late_since_ms < since_ms))
			since_ms = run->late_since_ms;
	}
	worker->inc.late_since_ms = since_ms;
	if (since_ms != 0)
		worker->inc.late_ms = now_ms;
	return since_ms;
}

/* Predicted relative rise of load by the filler, of the worst late task. */
static double
contribution(const struct sched *s, const struct sched_worker *worker,
    const struct sched_run *filler)
{
	const struct sched_run *run;
	double effect, highest;

	highest = 0;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!is_serving(run) || run->late_since_ms == 0)
			continue;
		effect = interference_effect(s->interference,
		    run->task->step->image, filler->task->step->image);
		if (effect > highest)
			highest = effect;
	}
	return highest * cpu_share_at(s, filler, filler->pace);
}

static struct sched_run *
likely_cause(struct sched *s, struct sched_worker *worker)
{
	struct sched_run *run, *best;
	double part, highest;

	best = NULL;
	highest = -1;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!is_filler(run) || run->pace == 0 || run->pace_pending)
			continue;
		part = contribution(s, worker, run);
		if (part > highest) {
			best = run;
			highest = part;
		}
	}
	return best;
}

static bool
is_movable(const struct sched_run *run)
{
	return run->task->step->spec->checkpoints ||
	    run->percent < MOVE_PERCENT;
}

/* Throttle fillers for actual lateness, whatever the prediction says. */
static void
throttle_late(struct sched *s, struct sched_worker *worker, int64_t late_ms,
    int64_t now_ms)
{
	struct sched_run *run;

	if (late_ms > s->opt.harm_ms - THROTTLE_ALL_BEFORE_MS) {
		while ((run = likely_cause(s, worker)) != NULL)
			set_pace(s, run, 0, now_ms);
	} else if (late_ms > THROTTLE_ONE_MS &&
	    now_ms - worker->inc.paced_ms >= THROTTLE_INTERVAL_MS &&
	    (run = likely_cause(s, worker)) != NULL)
		set_pace(s, run, 0, now_ms);
}

static int64_t
move_after_ms(const struct sched_task *task)
{
	uint32_t shift;

	shift = task->moves < MOVE_SHIFT_MAX ? task->moves : MOVE_SHIFT_MAX;
	return (int64_t)MOVE_AFTER_MS << shift;
}

static void
set_paces(struct sched *s, struct sched_worker *worker, int64_t late_ms,
    int64_t now_ms)
{
	struct paces most, raised;
	struct sched_run *run;
	double reserve;
	size_t i;

	reserve = RESERVE + RESERVE_PER_LATE_S * (double)late_ms / 1000;
	fit_paces(s, worker, LOAD_SOON, &most, reserve);
	fit_paces(s, worker, LOAD_RAISE, &raised, reserve + RAISE_RESERVE);
	for (i = 0; i < most.n; i++) {
		run = most.runs[i];
		if (run->pace > most.pace[i])
			set_pace(s, run, most.pace[i], now_ms);
		else if (late_ms == 0 && run->pace < raised.pace[i] &&
		    now_ms - run->paced_ms >= RAISE_AFTER_MS)
			set_pace(s, run, raised.pace[i], now_ms);
		else if (run->pace == 0 && is_movable(run) &&
		    now_ms - run->paced_ms > move_after_ms(run->task)) {
			run->task->moves++;
			run_request_stop(s, run, STOP_THROTTLED);
		}
	}
}

void
share_update(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	int64_t late_ms;

	share_update_usage(s, worker, now_ms);
	late_ms = update_late_since(worker, now_ms);
	if (late_ms != 0)
		late_ms = now_ms - late_ms;
	if (worker->serving == 0)
		return;
	update_model(s, worker, now_ms);
	if (worker->filler_cpu == 0)
		return;
	use_update(s, worker, now_ms);
	set_paces(s, worker, late_ms, now_ms);
	throttle_late(s, worker, late_ms, now_ms);
	share_update_usage(s, worker, now_ms);
	worker->inc.load_ratio =
	    share_load_ratio(s, worker, LOAD_SOON, IMAGE_NONE, 0);
}
