#include <stdlib.h>
#include <string.h>

#include "sched_int.h"

/* An unanswered stop is sent again after this long. */
#define STOP_RETRY_MS 300
/* Attempt numbers per term; the higher bits hold the term. */
#define ATTEMPTS_PER_TERM 1024

/* Resources that a run reserves on its worker; fillers reserve no CPU. */
static struct resources
run_size(const struct sched_task *task)
{
	struct resources size;

	size = task->step->spec->size;
	if (task->step->spec->filler)
		size.cpu_millis = 0;
	return size;
}

/*
 * Attempt numbers rise over all leaders without being stored: they contain the
 * term, so those of a later leader are higher than all earlier ones.
 */
static uint32_t
attempts_base(const struct sched *s)
{
	return (uint32_t)(s->opt.term - 1) * ATTEMPTS_PER_TERM;
}

bool
sched_run_is_first(const struct sched *s, const struct sched_run *run)
{
	return run->attempt == attempts_base(s) + 1;
}

uint32_t
run_next_attempt(const struct sched *s, const struct sched_task *task)
{
	uint32_t base;

	base = attempts_base(s);
	return (task->attempt > base ? task->attempt : base) + 1;
}

struct sched_run *
run_new(struct sched *s, struct sched_task *task, struct sched_worker *worker,
    uint32_t attempt, int64_t now_ms)
{
	const struct graph_step *spec;
	struct resources size;
	struct sched_run *run;

	if ((run = calloc(1, sizeof(*run))) == NULL)
		return NULL;
	spec = task->step->spec;
	task->step->image = interference_image(s->interference, spec->image);
	run->task = task;
	run->worker = worker;
	run->incarnation = worker->inc.serial;
	run->attempt = attempt;
	run->state = RUN_STARTING;
	run->sent_ms = now_ms;
	run->placed_wall_ms = now_ms - s->opt.wall_offset_ms;
	run->percent_ms = now_ms;
	run->pace = 100;
	if (attempt > task->attempt)
		task->attempt = attempt;
	task_dequeue(task, SCHED_ACTIVE);
	task->step->nactive++;
	task_job(task)->nactive++;
	size = run_size(task);
	room_adopt(&worker->room, &size);
	if (spec->filler)
		worker->filler_cpu += spec->size.cpu_millis;
	if (spec->tail_target_ms > 0) {
		worker->serving++;
		worker->serving_cpu += spec->size.cpu_millis;
		share_count_serving(
		    worker, task->step->image, spec->tail_target_ms, 1);
	}
	TAILQ_INSERT_TAIL(&worker->runs, run, by_worker);
	TAILQ_INSERT_TAIL(&task->runs, run, by_task);
	if (copy_is_allowed(spec))
		TAILQ_INSERT_TAIL(&s->copyable, run, by_copies);
	if (!spec->lasts && !spec->filler)
		s->nshort++;
	return run;
}

struct sched_run *
run_find(
    struct sched_worker *worker, const struct task_name *name, uint32_t attempt)
{
	struct sched_run *run;

	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (run->attempt == attempt &&
		    run->task->index == name->index &&
		    run->task->step->number == name->step &&
		    run->task->step->occurrence->number == name->occurrence &&
		    strcmp(task_job(run->task)->id, name->job) == 0)
			return run;
	}
	return NULL;
}

void
run_settle(struct sched *s, struct sched_run *run)
{
	const struct graph_step *spec;
	struct sched_worker *worker;
	struct sched_task *task;
	struct resources size;

	task = run->task;
	worker = run->worker;
	start_unhold(s, run);
	if (!run->lost)
		loss_refuted(s, task, run->attempt, worker->id);
	spec = task->step->spec;
	size = run_size(task);
	room_release(&worker->room, &size);
	if (spec->filler)
		worker->filler_cpu -= spec->size.cpu_millis;
	if (spec->tail_target_ms > 0) {
		worker->serving--;
		worker->serving_cpu -= spec->size.cpu_millis;
		share_count_serving(
		    worker, task->step->image, spec->tail_target_ms, -1);
	}
	task->step->nactive--;
	task_job(task)->nactive--;
	TAILQ_REMOVE(&worker->runs, run, by_worker);
	TAILQ_REMOVE(&task->runs, run, by_task);
	if (copy_is_allowed(spec))
		TAILQ_REMOVE(&s->copyable, run, by_copies);
	if (!spec->lasts && !spec->filler)
		s->nshort--;
	if (run->copy != STRAGGLER_NONE)
		s->ncopies--;
	free(run);
	s->place_wanted = true;
}

void
run_requeue(struct sched *s, struct sched_task *task, int64_t not_before_ms,
    int64_t now_ms)
{
	if (task_job(task)->in_ended || task->state == SCHED_DONE ||
	    !TAILQ_EMPTY(&task->runs))
		return;
	task_enqueue(s, task, not_before_ms, now_ms);
}

void
run_lost(struct sched *s, struct sched_run *run, enum sched_loss cause,
    int64_t now_ms)
{
	struct sched_task *task;

	task = run->task;
	loss_record(s, run, cause, now_ms);
	run->lost = true;
	s->counts.lapsed++;
	run_settle(s, run);
	run_requeue(s, task, loss_retry_at_ms(s, task, now_ms), now_ms);
}

void
run_request_stop(
    struct sched *s, struct sched_run *run, enum sched_stop_reason reason)
{
	if (run->stop_wanted)
		return;
	run->stop_wanted = true;
	run->stop_reason = reason;
	run->stop_at_ms = 0;
	worker_schedule(s, run->worker);
}

void
run_stop_others(struct sched *s, struct sched_task *task,
    const struct sched_run *except, enum sched_stop_reason reason)
{
	struct sched_run *run;

	TAILQ_FOREACH (run, &task->runs, by_task) {
		if (run != except)
			run_request_stop(s, run, reason);
	}
}

void
run_stop_gang(struct sched *s, struct sched_step *step)
{
	uint32_t i;

	if (!step->spec->gang || step->tasks == NULL)
		return;
	for (i = 0; i < step->spec->count; i++)
		run_stop_others(s, &step->tasks[i], NULL, STOP_GANG);
}

static void
send_stop(struct sched *s, struct sched_run *run, int64_t now_ms)
{
	struct task_name name;

	run->stop_pending = true;
	run->stop_at_ms = now_ms + STOP_RETRY_MS;
	s->counts.stops++;
	sched_task_name(run->task, &name);
	s->opt.actions->stop(
	    s, run->worker, &name, run->attempt, run->stop_reason, s->opt.ctx);
}

/* Send the stops that are due at the worker. */
void
run_step(struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	struct sched_run *run;

	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		if (!run->stop_wanted || run->stop_pending || run->held ||
		    run->state == RUN_STOPPING)
			continue;
		if (run->stop_at_ms > now_ms)
			sched_due(s, run->stop_at_ms);
		else
			send_stop(s, run, now_ms);
	}
}
