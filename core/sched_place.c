#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "sched_int.h"

/* Selects workers for waiting tasks.  The order of jobs is in sched_rank.c. */

/* A filler may start where at least this share of its processors is idle. */
#define FILLER_SHARE 0.9
/* Score in processors for each serving task of the same or another image. */
#define SAME_IMAGE_SCORE 4
#define OTHER_IMAGE_PENALTY 8
/* Cost of doubling the load of one serving task, in thousandths. */
#define INTERFERENCE_COST 20000
/*
 * Cost of the serving tasks' predicted load relative to its limit, in
 * thousandths, so that fillers go where the load is low or falls.
 */
#define LOAD_RATIO_COST 15000
/* A worker whose tasks take over this many times as long as usual is slow. */
#define SLOW_SPEED 1.3
/* Cost of a rack that has another run of the task, in thousandths. */
#define SAME_RACK_COST 1e5
/* Prefix of the label that names a worker's rack. */
#define RACK_LABEL "rack"
/* Cost of each run that a crash of the worker would end, in thousandths. */
#define LOST_RUN_COST 20000
/* A filler waits this long for a worker where no serving task gets late. */
#define INTERFERENCE_WAIT_MS 8000
/* A task waits this share of its run time for a worker near its data. */
#define DATA_WAIT_SHARE 0.5
/* Unplaceable steps that a pass remembers. */
#define MISSES_MAX 32
/* Starts sent in one pass, so that other events are handled in time. */
#define STARTS_MAX 64
/*
 * Cost of a pass, from which the delay of the next one follows.  Without the
 * delay a queue of thousands of tasks leaves the entry no time for heartbeats,
 * and the members depose it.  Skipping a worker that is full costs a small part
 * of examining it.
 */
#define EXAMINED_PER_MS 4000
#define SCANNED_PER_EXAMINED 32
/* Minimum interval of passes: each ranks all waiting jobs. */
#define PASS_INTERVAL_MS 4
/*
 * Number of suitable workers to score.  The best of 64 is among the best
 * twentieth of all with a probability of 0.96.
 */
#define CANDIDATES_ENOUGH 64
/* Delay before trying again when the link accepts no starts. */
#define LINK_RETRY_MS 5
/* Maximum interval of passes while tasks wait. */
#define PLACE_INTERVAL_MS 50

/* A step that found no worker in this pass. */
struct placing_miss {
	const struct sched_queue *queue;
	const struct graph_step *spec;
	int image;
};

/* A usable worker and its free resources, which suffice for most checks. */
struct candidate {
	struct sched_worker *worker;
	struct resources free;
};

struct placing {
	struct sched *s;
	int64_t now_ms;
	struct candidate *candidates; /* set up for the first task */
	size_t ncandidates;
	uint64_t examined; /* workers checked in full in this pass */
	uint64_t scanned; /* workers whose free resources were checked */
	uint32_t started;
	uint32_t starts_max; /* of this pass */
	struct placing_miss misses[MISSES_MAX];
	size_t nmisses;
	bool
	    short_task_waits; /* a task that ends, no filler, found no worker */
	bool copy; /* for a copy, which would end no earlier on a slow worker */
};

static void
set_free(struct candidate *candidate)
{
	room_get_free(&candidate->worker->room, &candidate->free);
}

/* false: no memory. */
static bool
list_candidates(struct placing *p)
{
	struct sched_worker *worker;
	size_t n;

	if (p->candidates != NULL)
		return true;
	n = 0;
	RB_FOREACH (worker, sched_worker_tree, &p->s->workers)
		n++;
	p->candidates = calloc(n + 1, sizeof(*p->candidates));
	if (p->candidates == NULL)
		return false;
	p->ncandidates = 0;
	RB_FOREACH (worker, sched_worker_tree, &p->s->workers) {
		if (!worker_startable(p->s, worker, p->now_ms))
			continue;
		p->candidates[p->ncandidates].worker = worker;
		set_free(&p->candidates[p->ncandidates++]);
	}
	p->scanned += n;
	return true;
}

/* Fillers reserve no processors. */
static bool
fits(const struct candidate *candidate, const struct graph_step *spec)
{
	const struct resources *free;

	free = &candidate->free;
	return (spec->filler || spec->size.cpu_millis <= free->cpu_millis) &&
	    spec->size.memory_mib <= free->memory_mib &&
	    spec->size.accelerators <= free->accelerators;
}

static uint32_t
count_runs_of_step(
    const struct sched_worker *worker, const struct sched_step *step)
{
	const struct sched_run *run;
	uint32_t n;

	n = 0;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (run->task->step == step)
			n++;
	}
	return n;
}

static bool
has_run_of(const struct sched_worker *worker, const struct sched_task *task)
{
	const struct sched_run *run;

	TAILQ_FOREACH (run, &task->runs, by_task) {
		if (run->worker == worker)
			return true;
	}
	return false;
}

static bool
allowed(const struct sched_worker *worker, const struct sched_task *task)
{
	const struct graph_step *spec;

	spec = task->step->spec;
	if (strcmp(worker->service, task_job(task)->queue->terms.service) != 0)
		return false;
	if (spec->label[0] != '\0' &&
	    !sched_worker_has_label(worker, spec->label))
		return false;
	return !has_run_of(worker, task) &&
	    (spec->per_worker == 0 ||
		count_runs_of_step(worker, task->step) < spec->per_worker);
}

bool
place_fits(const struct sched_worker *worker, const struct sched_task *task)
{
	struct candidate candidate;

	candidate.worker = (struct sched_worker *)worker;
	set_free(&candidate);
	return fits(&candidate, task->step->spec) && allowed(worker, task);
}

/* Whether the task should still wait for a worker near its data. */
static bool
should_wait_for_data(struct placing *p, const struct sched_task *task)
{
	const struct graph_step *spec;

	spec = task->step->spec;
	return (double)(p->now_ms - task->since_ms) <
	    DATA_WAIT_SHARE * (double)spec->estimate_ms;
}

/*
 * Concentrate serving tasks of one image on few workers: fillers that interfere
 * with that image then find other workers, and some workers are left to fillers
 * alone.
 */
static double
score_serving(const struct sched_worker *worker, const struct sched_task *task)
{
	double score;
	size_t i;

	score = (double)worker->serving_cpu / MILLIS_PER_PROCESSOR;
	for (i = 0; i < worker->nserved; i++)
		score += worker->served[i].n *
		    (worker->served[i].image == task->step->image ?
			    SAME_IMAGE_SCORE :
			    -OTHER_IMAGE_PENALTY);
	return score * MILLIS_PER_PROCESSOR;
}

/* Cost of a filler beside the serving tasks there, in thousandths. */
static double
interference_cost(struct placing *p, const struct sched_worker *worker,
    const struct sched_task *task)
{
	double added, ratio, share;
	int image;

	image = task->step->image;
	share = share_cpu_fraction(p->s, worker, task->step->spec);
	added = share_added_load(p->s, worker, image, share);
	ratio = share_load_ratio(p->s, worker, LOAD_PLACE, image, share);
	return INTERFERENCE_COST * added + LOAD_RATIO_COST * ratio;
}

/* Whether another run of the task is in the worker's rack. */
static bool
shares_rack(const struct sched_worker *worker, const struct sched_task *task)
{
	const struct sched_run *run;
	size_t i;

	TAILQ_FOREACH (run, &task->runs, by_task) {
		for (i = 0; i < worker->nlabels; i++) {
			if (strncmp(worker->labels[i], RACK_LABEL,
				strlen(RACK_LABEL)) == 0 &&
			    sched_worker_has_label(
				run->worker, worker->labels[i]))
				return true;
		}
	}
	return false;
}

/*
 * Score of the worker for the task: processors left after placing it, in
 * thousandths, less the cost of a slow worker, a distant rack or interference.
 */
static double
score_worker(struct placing *p, struct sched_worker *worker,
    const struct sched_task *task)
{
	const struct graph_step *spec;
	double score;

	spec = task->step->spec;
	if (spec->tail_target_ms > 0)
		score = score_serving(worker, task);
	else
		score = (double)(use_idle_cpu(p->s, worker) -
		    spec->size.cpu_millis);
	if (spec->filler && worker->serving > 0)
		score -= interference_cost(p, worker, task);
	if (worker->inc.speed > SLOW_SPEED)
		score -= 8000 * (worker->inc.speed - 1);
	if (spec->rack[0] != '\0' &&
	    !sched_worker_has_label(worker, spec->rack))
		score -= 1e6;
	if (shares_rack(worker, task))
		score -= SAME_RACK_COST;
	if (task->avoid == worker->inc.serial)
		score -= 1e5;
	if (loss_is_suspect(p->s, task))
		score -= LOST_RUN_COST * (double)sched_worker_nruns(worker);
	return score;
}

/*
 * Whether a filler may be placed there: enough processors are idle, and no
 * serving task would get late.
 */
static bool
filler_allowed(struct placing *p, const struct sched_worker *worker,
    const struct sched_task *task)
{
	const struct graph_step *spec;

	spec = task->step->spec;
	if ((double)use_idle_cpu(p->s, worker) <
	    FILLER_SHARE * p->s->batch_use * (double)spec->size.cpu_millis)
		return false;
	/* Replacing throttled fillers by new ones would keep the task late. */
	if (worker->inc.late_since_ms != 0)
		return false;
	if (worker->serving == 0 ||
	    p->now_ms - task->since_ms > INTERFERENCE_WAIT_MS)
		return true;
	return share_load_ratio(p->s, worker, LOAD_PLACE, task->step->image,
		   share_cpu_fraction(p->s, worker, spec)) <= 1;
}

/* Number of candidates to score; all, if one may be much better. */
static size_t
candidates_wanted(const struct placing *p, const struct sched_task *task)
{
	const struct graph_step *spec;

	spec = task->step->spec;
	if (loss_is_suspect(p->s, task) || spec->rack[0] != '\0' ||
	    spec->tail_target_ms > 0)
		return SIZE_MAX;
	return CANDIDATES_ENOUGH;
}

/* Checks again what an earlier placement of this pass may have changed. */
static bool
is_eligible(struct placing *p, const struct candidate *candidate,
    const struct sched_task *task)
{
	const struct graph_step *spec;

	spec = task->step->spec;
	if (!fits(candidate, spec))
		return false;
	p->examined++;
	return worker_startable(p->s, candidate->worker, p->now_ms) &&
	    candidate->worker->inc.isolated_until_ms <= p->now_ms &&
	    allowed(candidate->worker, task) &&
	    (!p->copy || candidate->worker->inc.speed <= SLOW_SPEED) &&
	    (!spec->filler || filler_allowed(p, candidate->worker, task));
}

/* The best of enough candidates, from a random offset on; NULL: none. */
static struct candidate *
best_candidate(struct placing *p, const struct sched_task *task)
{
	struct candidate *candidate, *best;
	double score, best_score;
	size_t i, at, found, most;

	best = NULL;
	best_score = -INFINITY;
	found = 0;
	most = candidates_wanted(p, task);
	at = p->ncandidates > most ? sched_random(p->s) % p->ncandidates : 0;
	for (i = 0; i < p->ncandidates && found < most; i++) {
		candidate = &p->candidates[at];
		at = at + 1 < p->ncandidates ? at + 1 : 0;
		if (!is_eligible(p, candidate, task))
			continue;
		found++;
		score = score_worker(p, candidate->worker, task) +
		    (double)(sched_random(p->s) % 500);
		if (score > best_score) {
			best = candidate;
			best_score = score;
		}
	}
	p->scanned += i;
	return best;
}

static struct candidate *
pick_worker(struct placing *p, const struct sched_task *task)
{
	const struct graph_step *spec;
	struct candidate *best;

	if (!list_candidates(p))
		return NULL;
	spec = task->step->spec;
	best = best_candidate(p, task);
	if (best != NULL && spec->rack[0] != '\0' &&
	    !sched_worker_has_label(best->worker, spec->rack) &&
	    should_wait_for_data(p, task))
		return NULL;
	return best;
}

bool
place_has_room(struct sched *s, const struct sched_task *task, int64_t now_ms)
{
	struct placing p;
	bool found;

	memset(&p, 0, sizeof(p));
	p.s = s;
	p.now_ms = now_ms;
	found = pick_worker(&p, task) != NULL;
	free(p.candidates);
	return found;
}

/* false: no worker accepts tasks of this step now. */
static bool
place_task(struct placing *p, struct sched_task *task)
{
	struct candidate *place;
	struct sched_run *run;

	if ((place = pick_worker(p, task)) == NULL)
		return false;
	run = run_new(
	    p->s, task, place->worker, run_next_attempt(p->s, task), p->now_ms);
	if (run == NULL)
		return false;
	refusal_task_placed(run, p->now_ms);
	set_free(place);
	start_run(p->s, run, p->now_ms);
	return true;
}

bool
place_copy(struct sched *s, struct sched_task *task,
    enum straggler_reason reason, int64_t now_ms)
{
	struct candidate *place;
	struct sched_run *run;
	struct placing p;

	memset(&p, 0, sizeof(p));
	p.s = s;
	p.now_ms = now_ms;
	p.copy = true;
	run = NULL;
	if ((place = pick_worker(&p, task)) != NULL)
		run = run_new(
		    s, task, place->worker, run_next_attempt(s, task), now_ms);
	free(p.candidates);
	if (run == NULL)
		return false;
	run->copy = reason;
	s->ncopies++;
	refusal_task_placed(run, now_ms);
	start_run(s, run, now_ms);
	return true;
}

/* Recompute the free resources after a gang was withdrawn. */
static void
update_free(struct placing *p)
{
	size_t i;

	for (i = 0; i < p->ncandidates; i++)
		set_free(&p->candidates[i]);
}

/* Start all tasks of a gang at once, or none. */
static void
place_gang(struct placing *p, struct sched_step *step)
{
	struct sched_run *run, *runs[GRAPH_TASKS_MAX / 10];
	struct candidate *place;
	uint32_t attempt, i, n;

	if (step->spec->count > sizeof(runs) / sizeof(runs[0]))
		return;
	attempt = 0;
	for (i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].state != SCHED_WAITING ||
		    step->tasks[i].not_before_ms > p->now_ms ||
		    inherit_blocks(p->s, &step->tasks[i]))
			return;
		n = run_next_attempt(p->s, &step->tasks[i]);
		if (n > attempt)
			attempt = n;
	}
	for (n = 0; n < step->spec->count; n++) {
		place = pick_worker(p, &step->tasks[n]);
		if (place == NULL && !step->spec->lasts)
			p->short_task_waits = true;
		run = place == NULL ? NULL :
				      run_new(p->s, &step->tasks[n],
					  place->worker, attempt, p->now_ms);
		if (run == NULL)
			break;
		refusal_task_placed(run, p->now_ms);
		set_free(place);
		runs[n] = run;
	}
	for (i = 0; i < n; i++) {
		if (n == step->spec->count) {
			start_run(p->s, runs[i], p->now_ms);
			continue;
		}
		run_settle(p->s, runs[i]);
		run_requeue(p->s, &step->tasks[i], p->now_ms, p->now_ms);
	}
	if (n < step->spec->count)
		update_free(p);
}

/* No placement rules of its own: any step like it fits the same workers. */
static bool
is_plain(const struct graph_step *spec)
{
	return spec->label[0] == '\0' && spec->rack[0] == '\0' &&
	    spec->per_worker == 0 && !spec->gang;
}

static void
note_miss(struct placing *p, const struct sched_step *step)
{
	struct placing_miss *miss;

	if (!step->spec->filler && !step->spec->lasts)
		p->short_task_waits = true;
	if (p->nmisses == MISSES_MAX || !is_plain(step->spec))
		return;
	miss = &p->misses[p->nmisses++];
	miss->queue = step->occurrence->job->queue;
	miss->spec = step->spec;
	miss->image = step->image;
}

/* Whether a like step of the same size or smaller found no worker. */
static bool
is_missed(const struct placing *p, const struct sched_step *step)
{
	const struct placing_miss *miss;
	const struct resources *size;
	size_t i;

	size = &step->spec->size;
	for (i = 0; i < p->nmisses; i++) {
		miss = &p->misses[i];
		if (miss->queue == step->occurrence->job->queue &&
		    miss->spec->filler == step->spec->filler &&
		    (!step->spec->filler || miss->image == step->image) &&
		    size->cpu_millis >= miss->spec->size.cpu_millis &&
		    size->memory_mib >= miss->spec->size.memory_mib &&
		    size->accelerators >= miss->spec->size.accelerators)
			return true;
	}
	return false;
}

static void
place_step(struct sched_step *step, void *ctx)
{
	struct sched_task *task, *next;
	struct placing *p;

	p = ctx;
	if (!step->open || is_missed(p, step))
		return;
	if (step->spec->gang) {
		place_gang(p, step);
		return;
	}
	for (task = TAILQ_FIRST(&step->waiting); task != NULL; task = next) {
		next = TAILQ_NEXT(task, link);
		if (task->not_before_ms > p->now_ms) {
			sched_due(p->s, task->not_before_ms);
			continue;
		}
		if (inherit_blocks(p->s, task))
			continue;
		if (p->started >= p->starts_max)
			return;
		if (!place_task(p, task)) {
			note_miss(p, step);
			return;
		}
		p->started++;
	}
}

void
place_waiting(struct sched *s, int64_t now_ms)
{
	struct sched_job *job, **jobs;
	struct placing p;
	size_t i, n;

	if (s->frozen || now_ms < s->place_min_ms ||
	    (!s->place_wanted && now_ms < s->place_ms)) {
		if (s->place_wanted)
			sched_due(s, s->place_min_ms);
		return;
	}
	if (s->starts_allowed == 0) {
		s->place_wanted = true;
		sched_due(s, now_ms + LINK_RETRY_MS);
		return;
	}
	s->place_ms = now_ms + PLACE_INTERVAL_MS;
	s->place_wanted = false;
	n = 0;
	TAILQ_FOREACH (job, &s->open, link) {
		if (job->nwaiting > 0)
			n++;
	}
	s->short_task_waits = false;
	if (n == 0)
		return;
	if ((jobs = reallocarray(NULL, n, sizeof(void *))) == NULL)
		return;
	i = 0;
	TAILQ_FOREACH (job, &s->open, link) {
		if (job->nwaiting == 0)
			continue;
		job->rank = rank_job(job, now_ms);
		jobs[i++] = job;
	}
	qsort(jobs, n, sizeof(void *), rank_cmp);
	memset(&p, 0, sizeof(p));
	p.s = s;
	p.now_ms = now_ms;
	p.starts_max =
	    s->starts_allowed < STARTS_MAX ? s->starts_allowed : STARTS_MAX;
	for (i = 0; i < n && p.started < p.starts_max; i++)
		sched_job_each_step(jobs[i], place_step, &p);
	s->short_task_waits = p.short_task_waits;
	s->starts_allowed -= p.started;
	/* A withdrawn gang has set it, but freed nothing new. */
	s->place_wanted = p.started >= p.starts_max;
	p.examined += n + p.scanned / SCANNED_PER_EXAMINED;
	s->place_min_ms =
	    now_ms + PASS_INTERVAL_MS + (int64_t)(p.examined / EXAMINED_PER_MS);
	free(p.candidates);
	free(jobs);
}
