#include <math.h>
#include <string.h>

#include "sched_int.h"

/*
 * Whether new jobs that last may be taken beside short work.
 *
 * What lasts holds its processors for minutes, and goes first when one comes
 * free.  While such jobs come faster than they end they claim all of them, and
 * short work, which would give its piece back within a second, finds none: its
 * callers wait past their deadlines for as long as the others last.  So the
 * processors that short work asks for are kept out of reach of new jobs that
 * last; those that were taken get room before all others, as ever.  Where
 * nobody asks for short work nothing is kept.
 */

/* Short work is measured over so long: some seconds of a steady load. */
#define DEMAND_SPAN_MS 10000.0
/* Younger measurements are no better than ones of this age. */
#define DEMAND_AGE_MIN_MS 1000.0
/* Work comes unevenly; without some more than its mean it waits in line. */
#define NEED_MARGIN 1.2

static bool
is_short(const struct graph_step *spec)
{
	return !spec->lasts && !spec->filler && spec->size.cpu_millis > 0;
}

static void
fade(struct sched_demand *demand, int64_t now_ms)
{
	double kept;

	kept = exp(-(double)(now_ms - demand->at_ms) / DEMAND_SPAN_MS);
	demand->at_ms = now_ms;
	demand->work *= kept;
	demand->tasks *= kept;
	demand->cpu *= kept;
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
	fade(demand, now_ms);
	cpu = (double)spec->count * (double)spec->size.cpu_millis;
	demand->work += cpu * (double)spec->estimate_ms * queue->run_ratio;
	demand->tasks += spec->count;
	demand->cpu += cpu;
}

/* Processors that its short work keeps busy, in thousandths. */
static double
need_of(struct sched_queue *queue, int64_t now_ms)
{
	struct sched_demand *demand;
	double age_ms;

	demand = &queue->demand;
	if (demand->since_ms == 0)
		return 0;
	fade(demand, now_ms);
	age_ms = fmax((double)(now_ms - demand->since_ms), DEMAND_AGE_MIN_MS);
	return demand->work /
	    (DEMAND_SPAN_MS * (1 - exp(-age_ms / DEMAND_SPAN_MS)));
}

/* Short work as urgent as the queue's own, or more so. */
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
		room->need += (int64_t)(NEED_MARGIN * need_of(other, now_ms));
		tasks += other->demand.tasks;
		cpu += other->demand.cpu;
	}
	if (tasks > 0)
		room->piece = (int64_t)(cpu / tasks);
}

/* Pieces smaller than a short task hold none. */
static void
add_free(struct sched *s, const char *service, struct sched_headroom *room)
{
	struct sched_worker *worker;
	int64_t free_cpu;

	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (!worker->listed || worker->draining || worker->dead ||
		    worker->lapsed || strcmp(worker->service, service) != 0)
			continue;
		free_cpu = worker->room.capacity.cpu_millis -
		    worker->room.used.cpu_millis;
		if (free_cpu >= room->piece)
			room->left += free_cpu;
	}
}

static void
add_step(struct sched_step *step, void *ctx)
{
	struct sched_headroom *room;
	uint32_t away;

	room = ctx;
	if (!step->open)
		return;
	if (is_short(step->spec))
		room->lent +=
		    (int64_t)step->nactive * step->spec->size.cpu_millis;
	if (!step->spec->lasts || step->nactive >= step->spec->count)
		return;
	away = step->spec->count - step->nactive;
	room->owed += (int64_t)away * step->spec->size.cpu_millis;
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
			job_each_step(job, add_step, room);
	}
	room->full = room->left + room->lent - room->owed <= room->need;
}
