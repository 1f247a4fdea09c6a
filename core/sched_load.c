#include "sched_int.h"

/* What a former leader saved of the jobs that haven't ended. */

void
sched_load_occurrence_done(struct sched_job *job, uint32_t number)
{
	struct sched_occurrence *occurrence;

	if ((occurrence = job_occurrence(job, number)) == NULL ||
	    occurrence->done)
		return;
	occurrence->done = true;
	job->occurrences_done++;
	job->begun = true;
	job->state = JOB_RUNNING;
}

struct sched_task *
job_loaded_task(
    struct sched_job *job, uint32_t number, uint32_t step, uint32_t index)
{
	struct sched_occurrence *occurrence;

	if (step >= job->graph->nsteps ||
	    index >= job->graph->steps[step].count ||
	    (occurrence = job_occurrence(job, number)) == NULL ||
	    step_tasks(&occurrence->steps[step]) == NULL)
		return NULL;
	job->begun = true;
	job->state = JOB_RUNNING;
	return &occurrence->steps[step].tasks[index];
}

void
sched_load_task(struct sched_job *job, uint32_t number, uint32_t step,
    uint32_t index, bool done)
{
	struct sched_task *task;

	if ((task = job_loaded_task(job, number, step, index)) == NULL)
		return;
	if (done && task->state != SCHED_DONE) {
		task->state = SCHED_DONE;
		task->step->ndone++;
	}
}

void
sched_load_failure(struct sched_job *job, uint32_t number, uint32_t step,
    uint32_t index, uint32_t attempt)
{
	struct sched_task *task;

	if ((task = job_loaded_task(job, number, step, index)) != NULL)
		task_count_failure(task, attempt);
}

void
sched_load_checkpoint(struct sched_job *job, uint32_t number, uint32_t step,
    uint32_t index, const char *checkpoint)
{
	struct sched_task *task;

	if ((task = job_loaded_task(job, number, step, index)) != NULL)
		task_set_checkpoint(task, checkpoint);
}

/* Counts the steps that were complete when the former leader saved the job. */
static void
count_complete_steps(struct sched_job *job)
{
	struct sched_occurrence *occurrence;
	size_t i;
	uint32_t k;

	for (k = 0; k < job->noccurrences; k++) {
		occurrence = job->occurrences[k];
		if (occurrence == NULL || occurrence->done)
			continue;
		occurrence->steps_done = 0;
		for (i = 0; i < job->graph->nsteps; i++) {
			if (occurrence->steps[i].ndone ==
			    job->graph->steps[i].count)
				occurrence->steps_done++;
		}
	}
}

void
sched_load_end(struct sched *s, int64_t now_ms)
{
	struct sched_job *job;

	TAILQ_FOREACH (job, &s->open, link) {
		count_complete_steps(job);
		job_open_due(s, job, now_ms);
	}
	crash_load(s, now_ms);
	s->place_wanted = true;
}
