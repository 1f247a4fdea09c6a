#include <stdlib.h>
#include <string.h>

#include "sched_int.h"

/* Jobs: their steps, the ends of their tasks, and which jobs to save. */

static void step_open(struct sched *, struct sched_step *, int64_t);
static bool step_may_open(const struct sched_step *);
static void occurrence_open(struct sched *, struct sched_occurrence *, int64_t);
static void step_completed(struct sched *, struct sched_step *, int64_t);
static void job_end(
    struct sched *, struct sched_job *, enum sched_job_state, int64_t);
static void job_free_body(struct sched_job *);

int
sched_job_cmp(struct sched_job *a, struct sched_job *b)
{
	return strcmp(a->id, b->id);
}

RB_GENERATE(sched_job_tree, sched_job, by_id, sched_job_cmp)

struct sched_job *
sched_job_find(struct sched *s, const char *id)
{
	struct sched_job key;

	strlcpy(key.id, id, sizeof(key.id));
	return RB_FIND(sched_job_tree, &s->jobs, &key);
}

static struct sched_job *
job_new(struct sched *s, const char *id)
{
	struct sched_job *job;

	if ((job = calloc(1, sizeof(*job))) == NULL)
		return NULL;
	strlcpy(job->id, id, sizeof(job->id));
	if (RB_INSERT(sched_job_tree, &s->jobs, job) != NULL) {
		free(job);
		return NULL;
	}
	return job;
}

static void
discard_absent(struct sched *s, const char *id)
{
	struct sched_job *mark;

	if ((mark = sched_job_find(s, id)) != NULL && mark->absent)
		job_discard(s, mark);
}

struct sched_job *
sched_job_add(struct sched *s, struct graph *graph, int64_t submitted_ms,
    enum sched_origin origin, int64_t now_ms)
{
	struct sched_queue *queue;
	struct sched_job *job;

	if ((queue = sched_queue_get(s, graph->queue, &graph->terms)) == NULL)
		return NULL;
	discard_absent(s, graph->id);
	if ((job = job_new(s, graph->id)) == NULL)
		return NULL;
	job->graph = graph;
	job->queue = queue;
	job->state = JOB_QUEUED;
	job->origin = origin;
	job->submitted_ms = submitted_ms;
	job->change = job->saved = 1;
	if (graph_lasts(graph))
		queue->lasting = true;
	TAILQ_INSERT_TAIL(&s->open, job, link);
	adopt_strays(s, job, now_ms);
	if (origin != ORIGIN_INHERITED)
		job_open_due(s, job, now_ms);
	return job;
}

struct sched_job *
sched_job_add_ended(struct sched *s, const char *id, enum sched_job_state state,
    int64_t ended_ms)
{
	struct sched_job *job;

	discard_absent(s, id);
	if ((job = job_new(s, id)) == NULL)
		return NULL;
	job->state = state;
	job->begun = true;
	job->ended_ms = ended_ms;
	job->change = job->saved = 1;
	job->in_ended = true;
	TAILQ_INSERT_TAIL(&s->ended, job, link);
	return job;
}

void
sched_job_add_absent(struct sched *s, const char *id, int64_t now_ms)
{
	struct sched_job *job;

	job = sched_job_add_ended(s, id, JOB_CANCELLED, now_ms);
	if (job == NULL)
		return;
	job->absent = true;
	s->nabsent++;
}

bool
task_count_failure(struct sched_task *task, uint32_t attempt)
{
	uint32_t *failed, i;

	for (i = 0; i < task->failures; i++) {
		if (task->failed[i] == attempt)
			return false;
	}
	failed =
	    reallocarray(task->failed, task->failures + 1, sizeof(*failed));
	if (failed == NULL)
		return false;
	failed[task->failures++] = attempt;
	task->failed = failed;
	return true;
}

struct sched_occurrence *
job_occurrence(struct sched_job *job, uint32_t number)
{
	struct sched_occurrence **list, *occurrence;
	uint32_t i, n;

	if (number >= graph_occurrences(job->graph))
		return NULL;
	if (number >= job->noccurrences) {
		n = number + 1;
		list = reallocarray(job->occurrences, n, sizeof(void *));
		if (list == NULL)
			return NULL;
		for (i = job->noccurrences; i < n; i++)
			list[i] = NULL;
		job->occurrences = list;
		job->noccurrences = n;
	}
	if (job->occurrences[number] != NULL)
		return job->occurrences[number];
	if ((occurrence = calloc(1, sizeof(*occurrence))) == NULL)
		return NULL;
	occurrence->steps =
	    calloc(job->graph->nsteps, sizeof(*occurrence->steps));
	if (occurrence->steps == NULL) {
		free(occurrence);
		return NULL;
	}
	occurrence->job = job;
	occurrence->number = number;
	for (i = 0; i < job->graph->nsteps; i++) {
		occurrence->steps[i].occurrence = occurrence;
		occurrence->steps[i].spec = &job->graph->steps[i];
		occurrence->steps[i].number = i;
		TAILQ_INIT(&occurrence->steps[i].waiting);
	}
	job->occurrences[number] = occurrence;
	return occurrence;
}

/*
 * Of an occurrence that a former leader completed, only the completion is
 * saved.  Its tasks are created as done: else an end reported again would count
 * the occurrence twice and end the job before its last occurrence has run.
 */
struct sched_task *
step_tasks(struct sched_step *step)
{
	uint32_t i;

	if (step->tasks != NULL)
		return step->tasks;
	step->tasks = calloc(step->spec->count, sizeof(*step->tasks));
	if (step->tasks == NULL)
		return NULL;
	for (i = 0; i < step->spec->count; i++) {
		step->tasks[i].step = step;
		step->tasks[i].index = i;
		if (step->occurrence->done)
			step->tasks[i].state = SCHED_DONE;
		TAILQ_INIT(&step->tasks[i].runs);
	}
	return step->tasks;
}

struct sched_task *
job_task(struct sched *s, const struct task_name *name)
{
	struct sched_occurrence *occurrence;
	struct sched_job *job;

	job = sched_job_find(s, name->job);
	if (job == NULL || job->graph == NULL ||
	    name->step >= job->graph->nsteps ||
	    name->index >= job->graph->steps[name->step].count ||
	    (occurrence = job_occurrence(job, name->occurrence)) == NULL ||
	    step_tasks(&occurrence->steps[name->step]) == NULL)
		return NULL;
	return &occurrence->steps[name->step].tasks[name->index];
}

struct sched_job *
task_job(const struct sched_task *task)
{
	return task->step->occurrence->job;
}

void
sched_task_name(const struct sched_task *task, struct task_name *name)
{
	strlcpy(name->job, task_job(task)->id, sizeof(name->job));
	name->occurrence = task->step->occurrence->number;
	name->step = task->step->number;
	name->index = task->index;
}

/* Opens the occurrences that are due; a job that is not repeated has one. */
void
job_open_due(struct sched *s, struct sched_job *job, int64_t now_ms)
{
	struct sched_occurrence *occurrence;
	int64_t due_ms;
	uint32_t k;

	if (job->graph == NULL || job->in_ended)
		return;
	for (k = 0; k < graph_occurrences(job->graph); k++) {
		due_ms = 0;
		if (job->graph->repeats > 0)
			due_ms =
			    graph_due_ms(job->graph, k) + s->opt.wall_offset_ms;
		if (due_ms > now_ms) {
			sched_due(s, due_ms);
			return;
		}
		if ((occurrence = job_occurrence(job, k)) == NULL)
			return;
		if (occurrence->due_ms == 0)
			occurrence->due_ms =
			    due_ms > 0 ? due_ms : job->submitted_ms;
		if (!occurrence->done)
			occurrence_open(s, occurrence, now_ms);
		if (job->in_ended)
			return;
	}
}

static void
occurrence_open(
    struct sched *s, struct sched_occurrence *occurrence, int64_t now_ms)
{
	struct sched_step *step;
	size_t i;

	if (occurrence->steps_done == occurrence->job->graph->nsteps) {
		/* Saved after its last step but before its own completion. */
		step = &occurrence->steps[0];
		occurrence->steps_done--;
		step_completed(s, step, now_ms);
		return;
	}
	for (i = 0; i < occurrence->job->graph->nsteps; i++) {
		step = &occurrence->steps[i];
		if (!step->open && step_may_open(step))
			step_open(s, step, now_ms);
	}
}

static bool
step_may_open(const struct sched_step *step)
{
	const struct sched_step *steps;
	uint32_t before;
	size_t i;

	steps = step->occurrence->steps;
	for (i = 0; i < step->spec->nafter; i++) {
		before = step->spec->after[i];
		if (steps[before].ndone < steps[before].spec->count)
			return false;
	}
	return true;
}

static void
step_open(struct sched *s, struct sched_step *step, int64_t now_ms)
{
	uint32_t i;

	if (step_tasks(step) == NULL)
		return;
	step->open = true;
	headroom_add_demand(step->occurrence->job->queue, step->spec, now_ms);
	step->image = interference_image(s->interference, step->spec->image);
	for (i = 0; i < step->spec->count; i++) {
		if (step->tasks[i].state == SCHED_BLOCKED)
			task_enqueue(s, &step->tasks[i], now_ms, now_ms);
	}
}

void
task_enqueue(struct sched *s, struct sched_task *task, int64_t not_before_ms,
    int64_t now_ms)
{
	if (task->state == SCHED_WAITING || task->state == SCHED_DONE)
		return;
	task->not_before_ms = not_before_ms;
	if (!task->step->open) {
		task->state = SCHED_BLOCKED;
		return;
	}
	task->state = SCHED_WAITING;
	task->since_ms = now_ms;
	TAILQ_INSERT_TAIL(&task->step->waiting, task, link);
	task_job(task)->nwaiting++;
	s->place_wanted = true;
	if (not_before_ms > now_ms)
		sched_due(s, not_before_ms);
}

void
task_dequeue(struct sched_task *task, enum sched_task_state state)
{
	if (task->state == SCHED_WAITING) {
		TAILQ_REMOVE(&task->step->waiting, task, link);
		task_job(task)->nwaiting--;
	}
	task->state = state;
}

static void
replace_checkpoint(struct sched_task *task, const char *checkpoint)
{
	char *copy;

	if (task->checkpoint != NULL &&
	    strcmp(task->checkpoint, checkpoint) == 0)
		return;
	/* If memory is short, the older one stays and more work is repeated. */
	if ((copy = strdup(checkpoint)) == NULL)
		return;
	free(task->checkpoint);
	task->checkpoint = copy;
}

/* A gang resumes from one checkpoint, so all its tasks get the newest. */
void
task_set_checkpoint(struct sched_task *task, const char *checkpoint)
{
	struct sched_step *step;
	uint32_t i;

	if (checkpoint[0] == '\0')
		return;
	step = task->step;
	if (!step->spec->gang) {
		replace_checkpoint(task, checkpoint);
		return;
	}
	for (i = 0; i < step->spec->count; i++)
		replace_checkpoint(&step->tasks[i], checkpoint);
}

void
task_done(struct sched *s, struct sched_task *task, int64_t now_ms)
{
	struct sched_step *step;
	struct sched_job *job;

	job = task_job(task);
	if (task->state == SCHED_DONE || job->in_ended)
		return;
	task_dequeue(task, SCHED_DONE);
	step = task->step;
	step->ndone++;
	job_mark_begun(job);
	job_mark_dirty(s, job);
	if (step->ndone == step->spec->count)
		step_completed(s, step, now_ms);
}

static void
step_completed(struct sched *s, struct sched_step *step, int64_t now_ms)
{
	struct sched_occurrence *occurrence;
	struct sched_job *job;

	occurrence = step->occurrence;
	job = occurrence->job;
	if (++occurrence->steps_done < job->graph->nsteps) {
		occurrence_open(s, occurrence, now_ms);
		return;
	}
	occurrence->done = true;
	job->occurrences_done++;
	job_mark_dirty(s, job);
	if (job->occurrences_done == graph_occurrences(job->graph))
		job_end(s, job, JOB_COMPLETED, now_ms);
}

/* A gang fails as a whole, so its failures are counted on its first task. */
static struct sched_task *
failure_task(struct sched_task *task)
{
	return task->step->spec->gang ? &task->step->tasks[0] : task;
}

/*
 * The numbers of failed attempts are kept, since ends may arrive twice and in
 * any order: workers report again what a former leader saved but did not
 * acknowledge.  If a failure were counted twice, the job would fail too early;
 * if it were not counted, the task would be tried too often.
 */
void
task_failed(
    struct sched *s, struct sched_task *task, uint32_t attempt, int64_t now_ms)
{
	struct sched_task *counted;
	struct sched_job *job;

	job = task_job(task);
	if (job->in_ended || task->state == SCHED_DONE)
		return;
	counted = failure_task(task);
	if (!task_count_failure(counted, attempt))
		return;
	s->counts.failures++;
	job_mark_dirty(s, job);
	if (!task->step->spec->lasts &&
	    counted->failures >= job->queue->terms.max_attempts)
		job_end(s, job, JOB_FAILED, now_ms);
}

void
job_save_soon(struct sched *s, struct sched_job *job)
{
	job->save_soon = true;
	job_mark_dirty(s, job);
}

void
job_mark_begun(struct sched_job *job)
{
	job->begun = true;
	if (job->state == JOB_QUEUED)
		job->state = JOB_RUNNING;
}

void
sched_job_cancel(struct sched *s, struct sched_job *job, int64_t now_ms)
{
	if (!job->in_ended)
		job_end(s, job, JOB_CANCELLED, now_ms);
}

/* Calls the function on every allocated task of the job. */
static void
visit_tasks(struct sched *s, struct sched_job *job,
    void (*visit)(struct sched *, struct sched_task *))
{
	struct sched_occurrence *occurrence;
	struct sched_step *step;
	uint32_t i, k;
	size_t n;

	for (k = 0; k < job->noccurrences; k++) {
		if ((occurrence = job->occurrences[k]) == NULL)
			continue;
		for (n = 0; n < job->graph->nsteps; n++) {
			step = &occurrence->steps[n];
			for (i = 0;
			     step->tasks != NULL && i < step->spec->count; i++)
				visit(s, &step->tasks[i]);
		}
	}
}

static void
stop_task(struct sched *s, struct sched_task *task)
{
	if (task->state == SCHED_WAITING)
		task_dequeue(task, SCHED_BLOCKED);
	run_stop_others(s, task, NULL, STOP_JOB_ENDED);
}

static void
job_end(struct sched *s, struct sched_job *job, enum sched_job_state state,
    int64_t now_ms)
{
	job->state = state;
	job->ended_ms = now_ms;
	job->in_ended = true;
	TAILQ_REMOVE(&s->open, job, link);
	TAILQ_INSERT_TAIL(&s->ended, job, link);
	TAILQ_INSERT_TAIL(&s->ending, job, ending_link);
	visit_tasks(s, job, stop_task);
	job_mark_dirty(s, job);
	s->place_wanted = true;
}

void
job_fail(struct sched *s, struct sched_job *job, int64_t now_ms)
{
	if (!job->in_ended)
		job_end(s, job, JOB_FAILED, now_ms);
}

void
job_mark_dirty(struct sched *s, struct sched_job *job)
{
	job->change++;
	if (job->dirty)
		return;
	job->dirty = true;
	TAILQ_INSERT_TAIL(&s->dirty, job, dirty_link);
}

struct sched_job *
sched_next_dirty(struct sched *s)
{
	struct sched_job *job;

	if ((job = TAILQ_FIRST(&s->dirty)) == NULL)
		return NULL;
	TAILQ_REMOVE(&s->dirty, job, dirty_link);
	job->dirty = false;
	job->save_soon = false;
	return job;
}

void
sched_dirty_again(struct sched *s, struct sched_job *job)
{
	if (job->dirty || job->saved == job->change)
		return;
	job->dirty = true;
	TAILQ_INSERT_TAIL(&s->dirty, job, dirty_link);
}

void
sched_saved(
    struct sched *s, struct sched_job *job, uint64_t change, int64_t now_ms)
{
	(void)now_ms;
	if (change > job->saved)
		job->saved = change;
	s->any_saved = true;
	sched_due(s, 0);
}

enum sched_job_state
sched_job_visible_state(const struct sched_job *job)
{
	if (job->in_ended && job->saved < job->change)
		return job->begun ? JOB_RUNNING : JOB_QUEUED;
	return job->state;
}

const char *
sched_job_state_name(enum sched_job_state state)
{
	switch (state) {
	case JOB_QUEUED:
		return "queued";
	case JOB_RUNNING:
		return "running";
	case JOB_COMPLETED:
		return "completed";
	case JOB_FAILED:
		return "failed";
	case JOB_CANCELLED:
		return "cancelled";
	}
	return "unknown";
}

static void
job_free_body(struct sched_job *job)
{
	struct sched_occurrence *occurrence;
	struct sched_step *step;
	uint32_t i, k;
	size_t n;

	if (job->graph == NULL)
		return;
	for (k = 0; k < job->noccurrences; k++) {
		if ((occurrence = job->occurrences[k]) == NULL)
			continue;
		for (n = 0; n < job->graph->nsteps; n++) {
			step = &occurrence->steps[n];
			for (i = 0;
			     step->tasks != NULL && i < step->spec->count;
			     i++) {
				free(step->tasks[i].checkpoint);
				free(step->tasks[i].failed);
				free(step->tasks[i].losses);
			}
			free(step->tasks);
			forecast_step_free(step);
		}
		free(occurrence->steps);
		free(occurrence);
	}
	free(job->occurrences);
	job->occurrences = NULL;
	job->noccurrences = 0;
	graph_free(job->graph);
	job->graph = NULL;
}

void
job_discard(struct sched *s, struct sched_job *job)
{
	RB_REMOVE(sched_job_tree, &s->jobs, job);
	if (job->in_ended)
		TAILQ_REMOVE(&s->ended, job, link);
	else
		TAILQ_REMOVE(&s->open, job, link);
	if (job->dirty)
		TAILQ_REMOVE(&s->dirty, job, dirty_link);
	if (job->in_ended && job->graph != NULL)
		TAILQ_REMOVE(&s->ending, job, ending_link);
	if (job->absent)
		s->nabsent--;
	job_free_body(job);
	free(job);
}

/* Frees the graphs and tasks of ended jobs whose runs are all settled. */
static void
free_ended_bodies(struct sched *s)
{
	struct sched_job *job, *next;

	for (job = TAILQ_FIRST(&s->ending); job != NULL; job = next) {
		next = TAILQ_NEXT(job, ending_link);
		if (job->nactive > 0)
			continue;
		TAILQ_REMOVE(&s->ending, job, ending_link);
		job_free_body(job);
	}
}

/*
 * Removes jobs that ended more than keep_ms ago, whose state callers may no
 * longer query.  No pending acknowledgement refers to them, as they are saved.
 */
void
job_retire_old(struct sched *s, int64_t now_ms)
{
	struct sched_job *job, *next;

	free_ended_bodies(s);
	for (job = TAILQ_FIRST(&s->ended); job != NULL; job = next) {
		next = TAILQ_NEXT(job, link);
		if (job->ended_ms + s->opt.keep_ms > now_ms)
			break;
		if (job->graph != NULL || job->saved < job->change)
			continue;
		if (!s->opt.actions->forget(s, job->id, s->opt.ctx))
			break;
		job_discard(s, job);
	}
}

void
sched_job_each_step(const struct sched_job *job,
    void (*each)(struct sched_step *, void *ctx), void *ctx)
{
	struct sched_occurrence *occurrence;
	uint32_t k;
	size_t i;

	for (k = 0; k < job->noccurrences; k++) {
		occurrence = job->occurrences[k];
		if (occurrence == NULL || occurrence->done)
			continue;
		for (i = 0; i < job->graph->nsteps; i++)
			each(&occurrence->steps[i], ctx);
	}
}
