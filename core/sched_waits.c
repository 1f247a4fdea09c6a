#include "sched_int.h"

/* Tells why the task that has waited longest isn't started, for logs. */

struct search {
	const struct sched_task *task; /* waiting longest so far, or NULL */
};

static void
find_in_step(struct sched_step *step, void *ctx)
{
	const struct sched_task *task;
	struct search *search;

	search = ctx;
	TAILQ_FOREACH (task, &step->waiting, link) {
		if (search->task == NULL ||
		    task->since_ms < search->task->since_ms)
			search->task = task;
	}
}

static uint32_t
count_waiting(const struct sched_step *step)
{
	const struct sched_task *task;
	uint32_t n;

	n = 0;
	TAILQ_FOREACH (task, &step->waiting, link)
		n++;
	return n;
}

static void
count_workers(
    struct sched *s, const struct sched_task *task, struct sched_waiting *out)
{
	struct sched_worker *worker;

	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (!worker_usable(s, worker, out->now_ms))
			continue;
		out->usable++;
		if (!place_fits(worker, task))
			continue;
		out->with_room++;
		if (worker_startable(s, worker, out->now_ms))
			out->with_known_room++;
	}
}

static enum sched_wait
find_cause(const struct sched *s, const struct sched_task *task,
    const struct sched_waiting *out)
{
	if (s->frozen)
		return WAIT_FROZEN;
	if (task->not_before_ms > out->now_ms)
		return WAIT_BACKOFF;
	if (inherit_blocks(s, task))
		return WAIT_INHERITED;
	if (out->with_room == 0)
		return WAIT_WORKERS;
	if (s->closures_unknown)
		return WAIT_CLOSURES;
	return out->with_known_room == 0 ? WAIT_ROOMS : WAIT_TURN;
}

void
sched_explain_waiting(
    struct sched *s, struct sched_waiting *out, int64_t now_ms)
{
	static const struct sched_waiting none;
	const struct sched_job *job;
	struct search search;

	*out = none;
	out->now_ms = now_ms;
	search.task = NULL;
	TAILQ_FOREACH (job, &s->open, link) {
		if (job->nwaiting > 0)
			sched_job_each_step(job, find_in_step, &search);
	}
	if (search.task == NULL)
		return;
	sched_task_name(search.task, &out->task);
	out->step_tasks = count_waiting(search.task->step);
	out->waited_ms = now_ms - search.task->since_ms;
	count_workers(s, search.task, out);
	out->cause = find_cause(s, search.task, out);
}
