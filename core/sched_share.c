#include <math.h>
#include <string.h>

#include "sched_int.h"

/*
 * Fillers disturb the serving tasks beside them; press.c learns how much.
 * From that it is foretold how near to its target each serving task comes: a
 * filler is placed only where all stay below, and those that run are paced so
 * that they do, as loads rise and fall.
 *
 * Should a serving task be late all the same, the fillers that press it most
 * are held back one after the other, and close to the time at which the
 * lateness becomes a breach, all of them.
 */

/* Learn from each row of looks that come each 250 ms, from no others twice. */
#define SAMPLE_MS 240
/* A listed tail is that of the last half second: what was beside it lately. */
#define LATELY_MS 300.0
/* A dose that is gone, as a share of the worker's processors. */
#define DOSE_GONE 0.003
/* A tail this near to its target counts as over it: the figure is rough. */
#define OVER_SHARE 0.9
/* and below this share of its target it is surely in time again. */
#define GOOD_SHARE 0.87
/*
 * Kept in reserve of the load at which a task is late: less than nothing.  It
 * trades lasting tasks, some of which are late for a moment, for batch jobs.
 */
#define RESERVE (-0.02)
/* With each second of lateness more is kept in reserve. */
#define RESERVE_PER_LATE_S 0.03
/* A filler works faster again only with this much more to spare. */
#define RAISE 0.02
#define RAISE_AFTER_MS 500
/* Paces are sent in such steps. */
#define PACE_STEP 25
/* A late task's fillers are held back, whatever is foretold, after so long. */
#define ANY_CAUSE_MS 1800
/* All fillers are paced down so long before the breach. */
#define ALL_BEFORE_MS 1400
/* Between two such measures, so that the first one shows. */
#define PACE_SETTLE_MS 700
/*
 * Standing so long, a filler goes elsewhere: loads take seconds to fall, and
 * others are low meanwhile.
 */
#define MOVE_AFTER_MS 700
/*
 * With each move of a task the next one takes twice as long, so many times.
 * Where all workers are pressed it would stand on the next one, too.
 */
#define MOVE_SHIFT_MAX 3
/* A run without checkpoints is moved only before this much of its work. */
#define MOVE_PERCENT 40
/* More fillers on a worker than this are not paced one by one. */
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

/* What the run uses of the worker at a pace. */
static double
share_at(const struct sched *s, const struct sched_run *run, int pace)
{
	if (pace == PACE_UNKNOWN)
		pace = 100;
	return share_cpu_fraction(s, run->worker, run->task->step->spec) *
	    pace / 100;
}

/* Serving tasks of an image come to the worker (1) or leave it (-1). */
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
			return; /* one too many to be told apart */
		served = &worker->served[worker->nserved++];
		served->image = image;
		served->n = 0;
		served->load = 0;
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

/* Doses: what fillers of each image use now, and used lately. */

static struct sched_filler_usage *
dose_of(struct sched_worker *worker, int image)
{
	struct sched_filler_usage *dose;
	size_t i;

	for (i = 0; i < worker->nusages; i++) {
		if (worker->usages[i].filler == image)
			return &worker->usages[i];
	}
	if (worker->nusages == SCHED_FILLER_USAGE_MAX)
		return NULL;
	dose = &worker->usages[worker->nusages++];
	dose->filler = image;
	dose->now = 0;
	dose->lately = 0;
	return dose;
}

/* Bring them up to the time of a change, before the change counts. */
static void
fade_doses(struct sched_worker *worker, int64_t now_ms)
{
	struct sched_filler_usage *dose;
	double kept;
	size_t i;

	kept = exp(-(double)(now_ms - worker->usages_ms) / LATELY_MS);
	worker->usages_ms = now_ms;
	for (i = 0; i < worker->nusages;) {
		dose = &worker->usages[i];
		dose->lately = dose->lately * kept + dose->now * (1 - kept);
		dose->now = 0;
		if (dose->lately < DOSE_GONE)
			*dose = worker->usages[--worker->nusages];
		else
			i++;
	}
}

static void
set_strains(struct sched *s, struct sched_worker *worker)
{
	struct sched_served *served;
	size_t i, j;

	for (i = 0; i < worker->nserved; i++) {
		served = &worker->served[i];
		served->filler_load = 0;
		for (j = 0; j < worker->nusages; j++)
			served->filler_load += worker->usages[j].now *
			    interference_effect(s->interference, served->image,
				worker->usages[j].filler);
	}
}

void
share_update_usage(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	const struct sched_run *run;
	struct sched_filler_usage *dose;

	fade_doses(worker, now_ms);
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!run->task->step->spec->filler ||
		    run->state == RUN_STOPPING)
			continue;
		if ((dose = dose_of(worker, run->task->step->image)) != NULL)
			dose->now += share_at(s, run, run->pace);
	}
	set_strains(s, worker);
}

/* Learning. */

static size_t
lately(const struct sched_worker *worker, struct filler_usage *usages)
{
	size_t i;

	for (i = 0; i < worker->nusages; i++) {
		usages[i].filler = worker->usages[i].filler;
		usages[i].share = worker->usages[i].lately;
	}
	return worker->nusages;
}

static void
raise_load(struct sched_worker *worker, const struct sched_run *run)
{
	struct sched_served *served;
	double load;
	size_t i;

	load = load_estimate_value(&run->task->step->load);
	for (i = 0; i < worker->nserved; i++) {
		served = &worker->served[i];
		if (served->image == run->task->step->image &&
		    load > served->load)
			served->load = load;
	}
}

static void
learn(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct filler_usage usages[SCHED_FILLER_USAGE_MAX];
	struct sched_run *run;
	size_t i, n;

	n = lately(worker, usages);
	for (i = 0; i < worker->nserved; i++)
		worker->served[i].load = 0;
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
		}
		raise_load(worker, run);
	}
}

/* Foretelling. */

static double
limit_of(const struct sched *s, const struct sched_served *served)
{
	return interference_load_limit(s->interference, served->image,
	    OVER_SHARE * (double)served->target_ms);
}

double
share_load_ratio(const struct sched *s, const struct sched_worker *worker,
    int image, double share)
{
	const struct load_estimate never_listed = { 0 };
	const struct sched_served *served;
	double load, unknown, pressure, highest;
	size_t i;

	highest = 0;
	unknown = load_estimate_value(&never_listed);
	for (i = 0; i < worker->nserved; i++) {
		served = &worker->served[i];
		load = served->load > 0 ? served->load : unknown;
		pressure = (load + RESERVE) *
		    (1 + served->filler_load +
			share *
			    interference_effect(
				s->interference, served->image, image)) /
		    limit_of(s, served);
		if (pressure > highest)
			highest = pressure;
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
	run->worker->paced_ms = now_ms;
	s->counts.paces++;
	s->opt.actions->pace(s, run, percent, s->opt.ctx);
}

void
share_resend_pace(struct sched *s, struct sched_run *run, int64_t now_ms)
{
	run->pace = PACE_UNKNOWN;
	set_pace(s, run, 100, now_ms);
}

/* Fillers of a worker and the paces that they may have. */
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
strain_by(const struct sched *s, const struct sched_served *served,
    const struct paces *paces, size_t i)
{
	const struct sched_run *run;

	run = paces->runs[i];
	return share_at(s, run, paces->pace[i]) *
	    interference_effect(
		s->interference, served->image, run->task->step->image);
}

/* What all of them raise its load by, and which of them by most. */
static double
strain_by_all(const struct sched *s, const struct sched_served *served,
    const struct paces *paces, size_t *most, double *by_most)
{
	double part, filler_load;
	size_t i;

	filler_load = 0;
	*by_most = 0;
	*most = 0;
	for (i = 0; i < paces->n; i++) {
		part = strain_by(s, served, paces, i);
		filler_load += part;
		if (part > *by_most) {
			*by_most = part;
			*most = i;
		}
	}
	return filler_load;
}

/* Slow down those that press most until the tasks stay below their target. */
static void
fit_served(const struct sched *s, const struct sched_served *served,
    struct paces *paces, double reserve)
{
	double allowed, by_most, filler_load;
	size_t most;
	int lower;

	if (served->load <= 0)
		return;
	allowed = limit_of(s, served) / (served->load + reserve) - 1;
	for (;;) {
		filler_load = strain_by_all(s, served, paces, &most, &by_most);
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
    struct paces *paces, double reserve)
{
	size_t i;

	list_fillers(worker, paces);
	for (i = 0; i < worker->nserved; i++)
		fit_served(s, &worker->served[i], paces, reserve);
}

/*
 * A task may have been late since it was last listed as good.  Figures are
 * rough: one a little below the target doesn't end the lateness.
 */
static void
note_late(struct sched_run *run)
{
	double share;

	share = target_share(run);
	if (share < GOOD_SHARE ||
	    (run->late_since_ms == 0 && share <= OVER_SHARE)) {
		run->late_since_ms = 0;
		run->on_time_ms = run->measurement_ms;
	} else if (run->late_since_ms == 0)
		run->late_since_ms = run->on_time_ms != 0 ? run->on_time_ms :
							    run->measurement_ms;
}

/* The time since when the latest of the serving tasks is over; 0: none. */
static int64_t
late_since(struct sched_worker *worker, int64_t now_ms)
{
	struct sched_run *run;
	int64_t since_ms;

	since_ms = 0;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!is_serving(run) || run->measurement_ms == 0)
			continue;
		note_late(run);
		if (run->late_since_ms != 0 &&
		    (since_ms == 0 || run->late_since_ms < since_ms))
			since_ms = run->late_since_ms;
	}
	worker->late_since_ms = since_ms;
	if (since_ms != 0)
		worker->late_ms = now_ms;
	return since_ms;
}

/* How much the filler presses the late tasks, by what is known. */
static double
blame(const struct sched *s, const struct sched_worker *worker,
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
	return highest * share_at(s, filler, filler->pace);
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
		part = blame(s, worker, run);
		if (part > highest) {
			best = run;
			highest = part;
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

/* Whatever is foretold: the target is missed, and a breach comes nearer. */
static void
hold_back_late(struct sched *s, struct sched_worker *worker, int64_t late_ms,
    int64_t now_ms)
{
	struct sched_run *run;

	if (late_ms > s->opt.harm_ms - ALL_BEFORE_MS) {
		while ((run = likely_cause(s, worker)) != NULL)
			set_pace(s, run, 0, now_ms);
	} else if (late_ms > ANY_CAUSE_MS &&
	    now_ms - worker->paced_ms >= PACE_SETTLE_MS &&
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
	fit_paces(s, worker, &most, reserve);
	fit_paces(s, worker, &raised, reserve + RAISE);
	for (i = 0; i < most.n; i++) {
		run = most.runs[i];
		if (run->pace > most.pace[i])
			set_pace(s, run, most.pace[i], now_ms);
		else if (late_ms == 0 && run->pace < raised.pace[i] &&
		    now_ms - run->paced_ms >= RAISE_AFTER_MS)
			set_pace(s, run, raised.pace[i], now_ms);
		else if (run->pace == 0 && may_move(run) &&
		    now_ms - run->paced_ms > move_after_ms(run->task)) {
			run->task->moves++;
			run_want_stop(s, run);
		}
	}
}

void
share_update(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	int64_t late_ms;

	share_update_usage(s, worker, now_ms);
	late_ms = late_since(worker, now_ms);
	if (late_ms != 0)
		late_ms = now_ms - late_ms;
	if (worker->serving == 0)
		return;
	learn(s, worker, now_ms);
	if (worker->filler_cpu == 0)
		return;
	use_update(s, worker, now_ms);
	set_paces(s, worker, late_ms, now_ms);
	hold_back_late(s, worker, late_ms, now_ms);
	share_update_usage(s, worker, now_ms);
	worker->pressure = share_load_ratio(s, worker, IMAGE_NONE, 0);
}
