#include <string.h>

#include <jansson.h>

#include "codec_int.h"

/*
 * Encoding of the progress of a job and of the losses of its tasks;
 * codec_progress_read.c decodes them.
 */

/* Progress of a job: arrays of rows [occurrence, step, index, ...]. */
struct progress {
	json_t *done; /* numbers of occurrences that are done */
	json_t *complete; /* [occurrence, step] of steps that are done */
	json_t *tasks; /* tasks that are done in other steps */
	json_t *failures;
	json_t *losses; /* [..., attempt, ran_ms, crashed, begun, known_ms] */
	/*
	 * Of unconfirmed losses: [..., attempt, worker, started_ms, address,
	 * placed_wall_ms].
	 */
	json_t *lost_with;
	json_t *checkpoints;
};

static void
write_loss(struct progress *p, const struct sched_task *task,
    const struct task_loss *loss)
{
	const struct incarnation_name *on;
	int k, step, index;

	k = (int)task->step->occurrence->number;
	step = (int)task->step->number;
	index = (int)task->index;
	json_array_append_new(p->losses,
	    json_pack("[iiiIIiiI]", k, step, index, (json_int_t)loss->attempt,
		(json_int_t)loss->ran_ms, (int)loss->crashed, (int)loss->begun,
		(json_int_t)loss->known_ms));
	on = &loss->on;
	if (on->worker[0] != '\0')
		json_array_append_new(p->lost_with,
		    json_pack("[iiiIsIsI]", k, step, index,
			(json_int_t)loss->attempt, on->worker,
			(json_int_t)on->started_ms, on->address,
			(json_int_t)loss->placed_wall_ms));
}

/*
 * A run of a task that was lost before: if it crashes its worker and this
 * leader ends before the worker is silent, the next one learns of it here.
 */
static void
write_under_way(struct progress *p, const struct sched_run *run)
{
	struct task_loss loss;

	memset(&loss, 0, sizeof(loss));
	loss.attempt = run->attempt;
	loss.begun = run->begun_ms != 0;
	loss.placed_wall_ms = run->placed_wall_ms;
	sched_loss_set_worker(&loss, run->worker);
	write_loss(p, run->task, &loss);
}

static void
write_losses(struct progress *p, const struct sched_task *task)
{
	const struct sched_run *run;
	uint32_t i;

	if (task->nlosses == 0)
		return;
	for (i = 0; i < task->nlosses; i++)
		write_loss(p, task, &task->losses[i]);
	TAILQ_FOREACH (run, &task->runs, by_task) {
		if (!run->adopted && !sched_run_may_be_lost(run))
			write_under_way(p, run);
	}
}

static void
write_task(struct progress *p, const struct sched_task *task, bool step_done)
{
	int k, step, index;
	uint32_t i;

	k = (int)task->step->occurrence->number;
	step = (int)task->step->number;
	index = (int)task->index;
	if (step_done)
		return;
	if (task->state == SCHED_DONE) {
		json_array_append_new(
		    p->tasks, json_pack("[iii]", k, step, index));
		return;
	}
	for (i = 0; i < task->failures; i++)
		json_array_append_new(p->failures,
		    json_pack(
			"[iiiI]", k, step, index, (json_int_t)task->failed[i]));
	write_losses(p, task);
	/*
	 * The worker of a running task reports a newer checkpoint, so that of
	 * the task isn't written.  If it were, each end of a task in a wide
	 * step would write the checkpoints of all its running tasks, which
	 * took 60 to 110 of the 250 KB/s of a leader's link.
	 */
	if (task->checkpoint != NULL && TAILQ_EMPTY(&task->runs))
		json_array_append_new(p->checkpoints,
		    json_pack("[iiis]", k, step, index, task->checkpoint));
}

static void
write_step_progress(struct progress *p, const struct sched_step *step)
{
	uint32_t i;
	bool done;

	if (step->tasks == NULL)
		return;
	done = step->ndone == step->spec->count;
	if (done)
		json_array_append_new(p->complete,
		    json_pack("[ii]", (int)step->occurrence->number,
			(int)step->number));
	for (i = 0; i < step->spec->count; i++)
		write_task(p, &step->tasks[i], done);
}

char *
codec_progress(const struct sched_job *job, size_t *len)
{
	const struct sched_occurrence *occurrence;
	struct progress p;
	json_t *object;
	uint32_t k;
	size_t i;

	p.done = json_array();
	p.complete = json_array();
	p.tasks = json_array();
	p.failures = json_array();
	p.losses = json_array();
	p.lost_with = json_array();
	p.checkpoints = json_array();
	for (k = 0; k < job->noccurrences; k++) {
		if ((occurrence = job->occurrences[k]) == NULL)
			continue;
		if (occurrence->done) {
			json_array_append_new(p.done, json_integer(k));
			continue;
		}
		for (i = 0; i < job->graph->nsteps; i++)
			write_step_progress(&p, &occurrence->steps[i]);
	}
	object = json_pack("{so so so so so}", "occurrences", p.done, "steps",
	    p.complete, "done", p.tasks, "failures", p.failures, "checkpoints",
	    p.checkpoints);
	if (json_array_size(p.losses) > 0)
		json_object_set(object, "losses", p.losses);
	if (json_array_size(p.lost_with) > 0)
		json_object_set(object, "lost_with", p.lost_with);
	json_decref(p.losses);
	json_decref(p.lost_with);
	return codec_dump(object, len);
}

static void
write_step_losses(struct sched_step *step, void *ctx)
{
	uint32_t i;

	for (i = 0; step->tasks != NULL && i < step->spec->count; i++) {
		if (step->tasks[i].state != SCHED_DONE)
			write_losses(ctx, &step->tasks[i]);
	}
}

json_t *
codec_losses(const struct sched_job *job)
{
	struct progress p;

	memset(&p, 0, sizeof(p));
	p.losses = json_array();
	p.lost_with = json_array();
	sched_job_each_step(job, write_step_losses, &p);
	return json_pack(
	    "{so so}", "losses", p.losses, "lost_with", p.lost_with);
}
