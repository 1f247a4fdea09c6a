#include <string.h>

#include "state.h"
#include "witness.h"

/* How much of a neighbour's noise reaches a task, compared with a call. */
#define TASK_NOISE_SHARE 0.25

static double noise(const struct worker *, const struct task *except);
static double overload(const struct worker *);
static double speed(const struct worker *, const struct task *);
static void end_with(
    struct worker *, struct task *, enum worker_outcome, int64_t now_ms);
static void tick_task(struct worker *, struct task *, int64_t now_ms);

static double
noise(const struct worker *w, const struct task *except)
{
	const struct task *t;
	double sum;

	sum = 0;
	TAILQ_FOREACH (t, &w->running, running) {
		if (t != except)
			sum += t->start.noise * t->percent / 100.0;
	}
	return sum;
}

/* Processors really wanted over those there are, at least 1. */
static double
overload(const struct worker *w)
{
	const struct task *t;
	double used;

	used = 0;
	TAILQ_FOREACH (t, &w->running, running)
		used += (double)t->start.cpu_used_millis * t->percent / 100.0;
	if (w->options.capacity.cpu_millis <= 0 ||
	    used <= (double)w->options.capacity.cpu_millis)
		return 1;
	return used / (double)w->options.capacity.cpu_millis;
}

double
worker_slowdown(const struct worker *w)
{
	return (1 + noise(w, NULL)) * overload(w);
}

static double
speed(const struct worker *w, const struct task *t)
{
	return t->percent / 100.0 / overload(w) /
	    (1 + TASK_NOISE_SHARE * noise(w, t));
}

void
task_run(struct worker *w, struct task *t, int64_t now_ms)
{
	if (now_ms > t->updated_ms)
		t->progress_ms +=
		    (double)(now_ms - t->updated_ms) * speed(w, t);
	t->updated_ms = now_ms;
}

void
task_end(struct worker *w, struct task *t, enum task_state state, bool done,
    int64_t now_ms)
{
	struct task *other;

	/* The others ran at the old speed until now. */
	TAILQ_FOREACH (other, &w->running, running)
		task_run(w, other, now_ms);
	TAILQ_REMOVE(&w->running, t, running);
	room_give(w, &t->start);
	t->state = state;
	witness_task_ended(w->options.witness, t->id, done);
}

static void
end_with(struct worker *w, struct task *t, enum worker_outcome outcome,
    int64_t now_ms)
{
	task_end(w, t, TASK_ENDED, outcome == WORKER_OUTCOME_DONE, now_ms);
	t->outcome = outcome;
	t->end_waits = true;
	TAILQ_INSERT_TAIL(&w->ends, t, end);
	w->options.on_changed(w, t->shard, w->options.ctx);
}

static void
tick_task(struct worker *w, struct task *t, int64_t now_ms)
{
	/*
	 * The lease first: an owner that was replaced relies on the task
	 * being over at this time, finished or not.
	 */
	if (now_ms >= t->lease_until_ms) {
		w->record.leases_expired++;
		end_with(w, t, WORKER_OUTCOME_LEASE_EXPIRED, now_ms);
		return;
	}
	if (w->fail_tasks) {
		end_with(w, t, WORKER_OUTCOME_FAILED, now_ms);
		return;
	}
	if (t->state == TASK_CHECKPOINTING && now_ms >= t->checkpoint_due_ms) {
		task_end(w, t, TASK_CHECKPOINTED, false, now_ms);
		w->options.on_checkpointed(w, t->id, t->attempt,
		    (int64_t)t->progress_ms, w->options.ctx);
		return;
	}
	if (t->progress_ms >= (double)t->start.run_ms)
		end_with(w, t,
		    t->start.fail ? WORKER_OUTCOME_FAILED : WORKER_OUTCOME_DONE,
		    now_ms);
}

void
worker_tick(struct worker *w, int64_t now_ms)
{
	struct task *t, *next;

	TAILQ_FOREACH (t, &w->running, running)
		task_run(w, t, now_ms);
	TAILQ_FOREACH_SAFE(t, &w->running, running, next)
	tick_task(w, t, now_ms);
}

void
worker_fail_tasks(struct worker *w, bool fail)
{
	w->fail_tasks = fail;
}
