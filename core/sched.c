#include <stdlib.h>
#include <string.h>

#include "sched_int.h"

/* Longest interval between calls of sched_act(). */
#define ACT_INTERVAL_MAX_MS 200
/* Interval of checks for due occurrences, which may begin late by as much. */
#define REPEAT_CHECK_MS 20

struct sched *
sched_open(const struct sched_options *options)
{
	struct sched *s;

	if ((s = calloc(1, sizeof(*s))) == NULL)
		return NULL;
	s->opt = *options;
	s->random = options->seed | 1;
	RB_INIT(&s->jobs);
	RB_INIT(&s->workers);
	RB_INIT(&s->workers_by_due);
	LIST_INIT(&s->unsaved);
	TAILQ_INIT(&s->open);
	TAILQ_INIT(&s->ended);
	TAILQ_INIT(&s->dirty);
	TAILQ_INIT(&s->ending);
	TAILQ_INIT(&s->copyable);
	TAILQ_INIT(&s->held);
	TAILQ_INIT(&s->queues);
	LIST_INIT(&s->lost_incarnations);
	s->next_serial = 1;
	s->starts_allowed = UINT32_MAX;
	use_init(s);
	if ((s->interference = interference_new()) == NULL) {
		free(s);
		return NULL;
	}
	/* Until inherit_update() has run, any task may run on any worker. */
	s->unsettled = UINT64_MAX;
	s->any_task_inherited = true;
	s->former_leader_active = true;
	return s;
}

void
sched_close(struct sched *s)
{
	struct sched_queue *queue;
	struct sched_worker *worker;
	struct sched_job *job;

	if (s == NULL)
		return;
	while ((worker = RB_MIN(sched_worker_tree, &s->workers)) != NULL)
		worker_free(s, worker);
	while ((job = RB_MIN(sched_job_tree, &s->jobs)) != NULL)
		job_discard(s, job);
	while ((queue = TAILQ_FIRST(&s->queues)) != NULL) {
		TAILQ_REMOVE(&s->queues, queue, link);
		free(queue);
	}
	crash_free(s);
	interference_free(s->interference);
	free(s->inherited_hashes);
	free(s);
}

struct sched_queue *
sched_queue_get(
    struct sched *s, const char *name, const struct queue_terms *terms)
{
	struct sched_queue *queue;

	TAILQ_FOREACH (queue, &s->queues, link) {
		if (strcmp(queue->name, name) == 0)
			return queue;
	}
	if ((queue = calloc(1, sizeof(*queue))) == NULL)
		return NULL;
	strlcpy(queue->name, name, sizeof(queue->name));
	queue->terms = *terms;
	queue->run_ratio = 1;
	TAILQ_INSERT_TAIL(&s->queues, queue, link);
	return queue;
}

void
sched_due(struct sched *s, int64_t at_ms)
{
	if (at_ms < s->next_ms)
		s->next_ms = at_ms;
}

/* xorshift64; used only to choose between workers in placement. */
uint64_t
sched_random(struct sched *s)
{
	s->random ^= s->random << 13;
	s->random ^= s->random >> 7;
	s->random ^= s->random << 17;
	return s->random;
}

static void
open_due_repeats(struct sched *s, int64_t now_ms)
{
	struct sched_job *job, *next;

	if (now_ms < s->repeats_ms) {
		sched_due(s, s->repeats_ms);
		return;
	}
	s->repeats_ms = now_ms + REPEAT_CHECK_MS;
	for (job = TAILQ_FIRST(&s->open); job != NULL; job = next) {
		next = TAILQ_NEXT(job, link);
		if (job->graph->repeats > 0)
			job_open_due(s, job, now_ms);
	}
}

void
sched_act(struct sched *s, int64_t now_ms)
{
	if (s->deposed)
		return;
	s->next_ms = now_ms + ACT_INTERVAL_MAX_MS;
	open_due_repeats(s, now_ms);
	drain_move_tasks(s, now_ms);
	leave_move_tasks(s, now_ms);
	crash_update_rate(s, now_ms);
	worker_run_due(s, now_ms);
	if (s->deposed)
		return;
	inherit_update(s, now_ms);
	start_held(s, now_ms);
	place_waiting(s, now_ms);
	copy_stragglers(s, now_ms);
	job_retire_old(s, now_ms);
	if (!TAILQ_EMPTY(&s->dirty))
		s->opt.actions->save(s, s->opt.ctx);
}

static void
add_worker_load(const struct sched_worker *worker, struct sched_load *load)
{
	const struct sched_run *run;

	load->cpu += worker->room.capacity.cpu_millis;
	load->claimed += worker->room.used.cpu_millis;
	load->fillers += worker->filler_cpu;
	load->serving += worker->serving;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		load->running++;
		if (run->late_since_ms != 0)
			load->late++;
		if (run->pace < 100)
			load->paced++;
	}
}

static void
add_step_load(struct sched_step *step, void *ctx)
{
	const struct sched_task *task;
	struct sched_load *load;

	load = ctx;
	TAILQ_FOREACH (task, &step->waiting, link) {
		load->waiting++;
		if (step->spec->filler)
			load->waiting_fillers++;
	}
}

void
sched_measure(struct sched *s, struct sched_load *load, int64_t now_ms)
{
	const struct sched_job *job;
	struct sched_worker *worker;

	memset(load, 0, sizeof(*load));
	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		load->workers++;
		if (worker->inherited != RECORD_NONE &&
		    !sched_worker_settled(worker))
			load->unsettled++;
		load->barred[worker_bar(s, worker, now_ms)]++;
		if (worker_usable(s, worker, now_ms))
			load->usable++;
		add_worker_load(worker, load);
	}
	TAILQ_FOREACH (job, &s->open, link)
		sched_job_each_step(job, add_step_load, load);
	forecast_measure(s, load);
}
