#include <string.h>

#include <xxhash.h>

#include "batch.h"
#include "clock.h"
#include "counter.h"
#include "log.h"

/* Logs, counts and learns from the ends of attempts and tasks. */

static void update_health(struct batch *, struct batch_worker *,
    struct batch_job *, enum task_outcome, int64_t);

uint64_t
task_tenant(const char *task, uint32_t attempt)
{
	return XXH64(task, strlen(task), attempt);
}

void
finish_attempt(struct batch_shard *s, const char *worker, const char *task,
    uint32_t attempt, int64_t now_ms)
{
	struct batch_worker *w;

	if ((w = batch_worker_get(s->batch, worker)) == NULL)
		return;
	learn_tenant_end(w->learn, task_tenant(task, attempt), now_ms);
	evict_forget_throttles(w, task);
}

static void
update_health(struct batch *b, struct batch_worker *w, struct batch_job *job,
    enum task_outcome outcome, int64_t now_ms)
{
	struct health_options options;

	if (outcome == OUTCOME_DONE) {
		health_success(&w->bind.health, &job->health);
	} else if (outcome == OUTCOME_FAILED) {
		health_options_default(&options);
		health_failure(&options, &w->bind.health, w->hash, &job->health,
		    job->hash, now_ms, (uint32_t)batch_random(b));
	} else
		health_probe_dropped(&w->bind.health);
}

void
finish_outcome(struct ledger *l, struct ledger_task *t,
    struct ledger_worker *lw, enum task_outcome outcome, void *ctx)
{
	static const char *const names[] = { "done", "failed", "interrupted" };
	char id[LEDGER_TASK_ID_MAX];
	struct batch_shard *s;
	struct batch_worker *w;
	struct batch_job *job;
	int64_t now_ms, took_ms;

	s = ctx;
	now_ms = clock_now_ms();
	ledger_task_id(t, id, sizeof(id));
	took_ms = t->running_since_ms == 0 ? 0 : now_ms - t->running_since_ms;
	log_info("task_ended",
	    "job=%s task=%u attempt=%u worker=%s shard=%s epoch=%llu "
	    "outcome=%s took_ms=%lld",
	    t->r.job, t->r.index, t->r.attempt, t->r.worker, s->name,
	    (unsigned long long)l->epoch, names[outcome], (long long)took_ms);
	counter_inc_reason("lagoonpin_task_ends", names[outcome]);
	w = lw == NULL ? NULL : lw->data;
	job = record_find(s->batch, t->r.job);
	if (w == NULL)
		return;
	if (job != NULL && job->phase == RECORD_READY) {
		update_health(s->batch, w, job, outcome, now_ms);
		if (outcome == OUTCOME_DONE && t->r.run_ms > 0 && took_ms > 0 &&
		    t->r.evictions == 0)
			learn_task_time(w->learn, &job->learn,
			    task_tenant(id, t->r.attempt), job->kind, took_ms,
			    t->r.run_ms, now_ms);
	}
	finish_attempt(s, lw->id, id, t->r.attempt, now_ms);
}

void
finish_ended(struct ledger *l, struct ledger_task *t, void *ctx)
{
	struct batch_shard *s;

	s = ctx;
	counter_inc_reason("lagoonpin_tasks_left", task_state_name(t->r.state));
	log_info("task_left",
	    "job=%s task=%u attempt=%u shard=%s epoch=%llu state=%s reason=%s",
	    t->r.job, t->r.index, t->r.attempt, s->name,
	    (unsigned long long)l->epoch, task_state_name(t->r.state),
	    t->reason);
}
