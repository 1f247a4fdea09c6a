#include <math.h>
#include <string.h>

#include "sched_int.h"

/*
 * Admission of new long-running jobs beside short tasks.
 *
 * A long-running task holds its processors for minutes and is placed first when
 * one is free.  If such jobs arrive faster than they end, they claim all
 * processors, and short tasks, which would release theirs within a second, find
 * none: their callers wait past their deadlines until long-running jobs end.
 * So the processors that short tasks need are reserved against new long-running
 * jobs; accepted ones still get room before all others.  Without demand for
 * short tasks nothing is reserved.
 */

/* Time constant of the decay of demand: some seconds of a steady load. */
#define DEMAND_DECAY_MS 10000.0
/* Demand measured for less time is taken as measured for this long. */
#define DEMAND_AGE_MIN_MS 1000.0
/* Load varies: with no more than its mean reserved, short tasks queue up. */
#define NEED_MARGIN 1.2

static bool
is_short(const struct graph_step *spec)
{
	return !spec->lasts && !spec->filler && spec->size.cpu_millis > 0;
}

static void
decay(struct sched_demand *demand, int64_t now_ms)
{
	double factor;

	factor = exp(-(double)(now_ms - demand->at_ms) / DEMAND_DECAY_MS);
	demand->at_ms = now_ms;
	demand->work *= factor;
	demand->tasks *= factor;
	demand->cpu *= factor;
}

void
headroom_add_demand(
    struct sched_queue *queue, const struct graph_step *spec, int64_t now_ms)
{
	struct sched_demand *demand;
	double cpu;

	if (!is_short(spec))
		return;
	demand = &queue->demand;
	if (demand->since_ms == 0)
		demand->since_ms = now_ms;
	decay(demand, now_ms);
	cpu = (double)spec->count * (double)spec->size.cpu_millis;
	demand->work += cpu * (double)spec->estimate_ms * queue->run_ratio;
	demand->tasks += spec->count;
	demand->cpu += cpu;
}

/* Mean of processors used by short tasks of the queue, in thousandths. */
static double
queue_need(struct sched_queue *queue, int64_t now_ms)
{
	struct sched_demand *demand;
	double age_ms;

	demand = &queue->demand;
	if (demand->since_ms == 0)
		return 0;
	decay(demand, now_ms);
	age_ms = fmax((double)(now_ms - demand->since_ms), DEMAND_AGE_MIN_MS);
	return demand->work /
	    (DEMAND_DECAY_MS * (1 - exp(-age_ms / DEMAND_DECAY_MS)));
}

/*
 * Adds the need of all queues of the service that are at least as urgent; a
 * lower priority number is more urgent.
 */
static void
add_need(struct sched *s, const struct sched_queue *queue,
    struct sched_headroom *room, int64_t now_ms)
{
	struct sched_queue *other;
	double tasks, cpu;

	tasks = 0;
	cpu = 0;
	TAILQ_FOREACH (other, &s->queues, link) {
		if (other->terms.priority > queue->terms.priority ||
		    strcmp(other->terms.service, queue->terms.service) != 0)
			continue;
		room->need +=
		    (int64_t)(NEED_MARGIN * queue_need(other, now_ms));
		tasks += other->demand.tasks;
		cpu += other->demand.cpu;
	}
	if (tasks > 0)
		room->piece = (int64_t)(cpu / tasks);
}

/* Adds the free processors of workers that have room for a short task. */
static void
add_free(struct sched *s, const char *service, struct sched_headroom *room)
{
	struct sched_worker *worker;
	struct resources left;

	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (!worker->listed || worker->draining || worker->closed ||
		    worker->inc.dead || worker->inc.lapsed ||
		    strcmp(worker->service, service) != 0)
			continue;
		room_get_free(&worker->room, &left);
		if (left.cpu_millis >= room->piece)
			room->left += left.cpu_millis;
	}
}

static void
add_step(struct sched_step *step, void *ctx)
{
	struct sched_headroom *room;
	uint32_t inactive;

	room = ctx;
	if (!step->open)
		return;
	if (is_short(step->spec))
		room->lent +=
		    (int64_t)step->nactive * step->spec->size.cpu_millis;
	if (!step->spec->lasts || step->nactive >= step->spec->count)
		return;
	inactive = step->spec->count - step->nactive;
	room->owed += (int64_t)inactive * step->spec->size.cpu_millis;
}

void
sched_measure_headroom(struct sched *s, const struct sched_queue *queue,
    struct sched_headroom *room, int64_t now_ms)
{
	const struct sched_job *job;

	memset(room, 0, sizeof(*room));
	add_need(s, queue, room, now_ms);
	if (room->need == 0)
		return;
	add_free(s, queue->terms.service, room);
	TAILQ_FOREACH (job, &s->open, link) {
		if (strcmp(job->queue->terms.service, queue->terms.service) ==
		    0)
			sched_job_each_step(job, add_step, room);
	}
	room->full = room->left + room->lent - room->owed <= room->need;
}
