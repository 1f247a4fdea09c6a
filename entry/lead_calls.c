#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "lead_int.h"
#include "log.h"

/* Calls to workers for the actions of the scheduler, and their answers. */

/* Polls in a row without an answer after which a worker is logged as silent. */
#define SILENT_MISSES 2

struct call {
	struct lead *lead;
	char worker[SCHED_WORKER_ID_MAX];
	struct task_name task;
	uint32_t attempt;
	uint32_t incarnation; /* of the worker, when the call was made */
};

static struct call *
call_new(struct lead *l, const struct sched_worker *worker,
    const struct task_name *task, uint32_t attempt)
{
	struct call *call;

	if ((call = calloc(1, sizeof(*call))) == NULL) {
		/*
		 * Without an answer to the action its task would be blocked
		 * forever.
		 */
		log_error("call_memory", "worker=%s", worker->id);
		abort();
	}
	call->lead = l;
	strlcpy(call->worker, worker->id, sizeof(call->worker));
	if (task != NULL)
		call->task = *task;
	call->attempt = attempt;
	call->incarnation = worker->inc.serial;
	lead_ref(l);
	return call;
}

/* The worker of the call; NULL: nobody needs the answer. */
static struct sched_worker *
call_worker(const struct call *call)
{
	if (call->lead->closed)
		return NULL;
	return sched_worker_find(call->lead->sched, call->worker);
}

static void
call_end(struct call *call)
{
	struct lead *l;

	l = call->lead;
	free(call);
	if (!l->closed)
		lead_wakeup(l);
	lead_unref(l);
}

static void
order_init(struct worker_order *order, const struct sched *s,
    const struct sched_worker *worker, const struct task_name *task,
    uint32_t attempt)
{
	order->worker = worker;
	order->task = task;
	order->attempt = attempt;
	order->term = s->opt.term;
}

static const char *
answer_name(enum worker_answer answer)
{
	switch (answer) {
	case ANSWER_OK:
		return "ok";
	case ANSWER_LOST:
		return "lost";
	case ANSWER_NOT_SENT:
		return "not_sent";
	case ANSWER_FENCED:
		return "fence";
	case ANSWER_OLD:
		return "old";
	case ANSWER_LATE:
		return "late";
	case ANSWER_NO_ROOM:
		return "room";
	case ANSWER_UNHEALTHY:
		return "unhealthy";
	case ANSWER_OTHER_INCARNATION:
		return "other_incarnation";
	case ANSWER_REFUSED:
		return "invalid";
	}
	return "unknown";
}

/* Refusals for want of room are logged by worker: see no_room(). */
static void
note_refused_start(const struct call *call, enum worker_answer answer)
{
	counter_inc_reason("lagoonpin_start_refused", answer_name(answer));
	if (answer == ANSWER_NO_ROOM)
		return;
	log_info("start_refused",
	    "job=%s step=%u index=%u attempt=%u worker=%s answer=%s",
	    call->task.job, call->task.step, call->task.index, call->attempt,
	    call->worker, answer_name(answer));
}

static void
no_room(struct sched *s, struct sched_worker *worker, bool over, void *ctx)
{
	const struct sched_refusals *refusals;

	(void)s;
	(void)ctx;
	refusals = &worker->inc.refusals;
	log_info(over ? "worker_room_known" : "worker_no_room",
	    "worker=%s refused=%u for_ms=%lld cpu=%lld held_cpu=%lld",
	    worker->id, refusals->count,
	    (long long)(clock_now_ms() - refusals->since_ms),
	    (long long)worker->room.capacity.cpu_millis,
	    (long long)worker->room.used.cpu_millis);
}

static void
on_start(const struct worker_result *result, void *ctx)
{
	struct sched_worker *worker;
	struct call *call;

	call = ctx;
	if ((worker = call_worker(call)) != NULL) {
		if (result->answer != ANSWER_OK)
			note_refused_start(call, result->answer);
		sched_start_answered(call->lead->sched, worker, &call->task,
		    call->attempt, result->answer, result->clock_ms,
		    clock_now_ms());
	}
	call_end(call);
}

static void
note_copy(const struct sched_run *run, const struct task_name *name)
{
	const struct sched_run *from;
	const char *reason;

	reason = straggler_reason_name(run->copy);
	from = TAILQ_FIRST(&run->task->runs);
	counter_inc_reason("lagoonpin_copies", reason);
	log_info("task_copied",
	    "job=%s occurrence=%u step=%u index=%u attempt=%u worker=%s "
	    "from=%s reason=%s elapsed_ms=%lld percent=%d",
	    name->job, name->occurrence, name->step, name->index, run->attempt,
	    run->worker->id, from->worker->id, reason,
	    (long long)(run->sent_ms - from->sent_ms), from->percent);
}

static void
start(struct sched *s, struct sched_run *run, void *ctx)
{
	struct worker_start order;
	struct task_name name;
	struct call *call;
	struct lead *l;

	l = ctx;
	sched_task_name(run->task, &name);
	if (s->counts.starts == 1)
		log_info("lead_first_start", "term=%llu after_ms=%lld",
		    (unsigned long long)s->opt.term,
		    (long long)(clock_now_ms() - s->opt.taken_ms));
	if (run->copy != STRAGGLER_NONE)
		note_copy(run, &name);
	else if (!sched_run_is_first(s, run))
		log_info("task_start_again",
		    "job=%s occurrence=%u step=%u index=%u attempt=%u "
		    "worker=%s beside=%zu",
		    name.job, name.occurrence, name.step, name.index,
		    run->attempt, run->worker->id,
		    sched_worker_nruns(run->worker) - 1);
	call = call_new(l, run->worker, &name, run->attempt);
	memset(&order, 0, sizeof(order));
	order_init(&order.order, s, run->worker, &call->task, run->attempt);
	order.payload = run->task->step->occurrence->job->graph->payload;
	order.checkpoint = run->task->checkpoint;
	order.deadline_ms = run->deadline_worker_ms;
	l->workers.start(l->workers.self, &order, on_start, call);
}

static void
on_stop(const struct worker_result *result, void *ctx)
{
	struct sched_worker *worker;
	struct call *call;

	call = ctx;
	if ((worker = call_worker(call)) != NULL)
		sched_stop_answered(call->lead->sched, worker,
		    call->incarnation, &call->task, call->attempt,
		    result->answer, result->clock_ms, clock_now_ms());
	call_end(call);
}

static const char *
stop_reason_name(enum sched_stop_reason reason)
{
	switch (reason) {
	case STOP_UNCONFIRMED:
		return "no_answer";
	case STOP_UNLISTED:
		return "unlisted";
	case STOP_UNNEEDED:
		return "unneeded";
	case STOP_STALLED:
		return "stalled";
	case STOP_DRAINING:
		return "draining";
	case STOP_LEAVING:
		return "leaving";
	case STOP_THROTTLED:
		return "throttled";
	case STOP_GANG:
		return "gang";
	case STOP_DONE:
		return "done";
	case STOP_JOB_ENDED:
		return "job_ended";
	}
	return "unknown";
}

static void
stop(struct sched *s, struct sched_worker *worker, const struct task_name *task,
    uint32_t attempt, enum sched_stop_reason reason, void *ctx)
{
	struct worker_order order;
	struct call *call;
	struct lead *l;

	l = ctx;
	log_info("task_stop",
	    "job=%s step=%u index=%u attempt=%u worker=%s reason=%s "
	    "processed=%llu acknowledged=%llu",
	    task->job, task->step, task->index, attempt, worker->id,
	    stop_reason_name(reason), (unsigned long long)worker->inc.processed,
	    (unsigned long long)worker->inc.acknowledged);
	call = call_new(l, worker, task, attempt);
	order_init(&order, s, worker, &call->task, attempt);
	l->workers.stop(l->workers.self, &order, on_stop, call);
}

static void
on_pace(const struct worker_result *result, void *ctx)
{
	struct sched_worker *worker;
	struct call *call;

	call = ctx;
	if ((worker = call_worker(call)) != NULL)
		sched_pace_answered(call->lead->sched, worker, &call->task,
		    call->attempt, result->answer, clock_now_ms());
	call_end(call);
}

static void
pace(struct sched *s, struct sched_run *run, int percent, void *ctx)
{
	struct worker_order order;
	struct task_name name;
	struct call *call;
	struct lead *l;

	l = ctx;
	sched_task_name(run->task, &name);
	log_info("task_pace", "job=%s step=%u index=%u worker=%s percent=%d",
	    name.job, name.step, name.index, run->worker->id, percent);
	call = call_new(l, run->worker, &name, run->attempt);
	order_init(&order, s, run->worker, &call->task, run->attempt);
	l->workers.pace(l->workers.self, &order, percent, on_pace, call);
}

/* Milliseconds since its last answer; -1: none in this term. */
static long long
silent_for(const struct sched_worker *worker, int64_t now_ms)
{
	return worker->inc.heard_ms != 0 ?
	    (long long)(now_ms - worker->inc.heard_ms) :
	    -1;
}

/* Logs a worker that stops answering, then ever less often, and its return. */
static void
log_silence(const struct sched_worker *worker, enum worker_answer answer,
    uint32_t misses_before, int64_t now_ms)
{
	uint32_t misses;

	misses = worker->inc.misses;
	if (misses_before >= SILENT_MISSES && misses == 0)
		log_info("worker_answers", "worker=%s missed=%u", worker->id,
		    misses_before);
	if (misses >= SILENT_MISSES && (misses & (misses - 1)) == 0)
		log_warn("worker_silent",
		    "worker=%s missed=%u answer=%d silent_ms=%lld", worker->id,
		    misses, (int)answer, silent_for(worker, now_ms));
}

/*
 * Logs a worker that tells another start than before, with what is kept from
 * before: its clock as expected, and the ends processed and acknowledged.
 */
static void
log_start(const struct sched_worker *worker, const struct poll_result *poll,
    int64_t now_ms)
{
	if (poll == NULL || poll->started_ms == worker->inc.started_ms ||
	    worker->inc.heard_ms == 0)
		return;
	log_warn("worker_restarted",
	    "worker=%s started=%lld before=%lld clock=%lld "
	    "clock_before=%lld processed=%llu acknowledged=%llu "
	    "tasks=%zu listed=%zu ended=%zu",
	    worker->id, (long long)poll->started_ms,
	    (long long)worker->inc.started_ms, (long long)poll->clock_ms,
	    (long long)(worker->inc.clock_ms + now_ms - worker->inc.heard_ms),
	    (unsigned long long)worker->inc.processed,
	    (unsigned long long)worker->inc.acknowledged,
	    sched_worker_nruns(worker), poll->nrunning, poll->nfinished);
}

static void
on_poll(const struct worker_result *result, void *ctx)
{
	struct sched_worker *worker;
	struct call *call;
	uint32_t misses;
	int64_t now_ms;

	call = ctx;
	now_ms = clock_now_ms();
	if ((worker = call_worker(call)) != NULL) {
		misses = worker->inc.misses;
		log_start(worker, result->poll, now_ms);
		sched_poll_answered(call->lead->sched, worker, result->answer,
		    result->poll, now_ms);
		log_silence(worker, result->answer, misses, now_ms);
	}
	call_end(call);
}

void
lead_late_ends(const char *id, const struct poll_result *poll, void *ctx)
{
	struct sched_worker *worker;
	struct lead *l;

	l = ctx;
	if ((worker = sched_worker_find(l->sched, id)) != NULL)
		sched_late_ends_reported(
		    l->sched, worker, poll, clock_now_ms());
}

static void
poll_worker(struct sched *s, struct sched_worker *worker, int64_t deadline_ms,
    int64_t wait_ms, void *ctx)
{
	struct worker_poll order;
	struct lead *l;

	l = ctx;
	order.worker = worker;
	order.term = s->opt.term;
	order.acknowledged = worker->poll_acknowledged;
	order.deadline_ms = deadline_ms;
	order.wait_ms = wait_ms;
	l->workers.poll(
	    l->workers.self, &order, on_poll, call_new(l, worker, NULL, 0));
}

/* What the time follows from at which a lease has expired. */
static const char *
lease_basis(const struct sched_worker *worker)
{
	if (sched_worker_may_hold_longest_lease(worker))
		return "restart";
	if (worker->inc.heard_ms != 0)
		return "answer";
	return worker->inc.expires_ms != 0 ? "record" : "term";
}

static void
lease_expired(
    struct sched *s, struct sched_worker *worker, size_t nruns, void *ctx)
{
	int64_t now_ms;

	(void)ctx;
	now_ms = clock_now_ms();
	log_info("worker_lapsed",
	    "worker=%s tasks=%zu silent_ms=%lld listed=%d term_ms=%lld "
	    "basis=%s granted_ms=%lld former_orders=%d",
	    worker->id, nruns, silent_for(worker, now_ms), (int)worker->listed,
	    (long long)(now_ms - s->opt.taken_ms), lease_basis(worker),
	    (long long)(worker->inc.granted_ms - worker->inc.clock_ms),
	    (int)worker->inc.former_orders);
}

static const char *
loss_name(enum sched_loss cause)
{
	switch (cause) {
	case LOSS_SILENT:
		return "silent";
	case LOSS_OTHER_INCARNATION:
		return "other_life";
	case LOSS_LAPSED:
		return "lapsed";
	case LOSS_CONFIRMED:
		return "confirmed";
	case LOSS_REFUTED:
		return "refuted";
	}
	return "unknown";
}

static const char *
blame_name(enum blame blame)
{
	switch (blame) {
	case BLAME_NONE:
		return "none";
	case BLAME_SUSPECT:
		return "suspect";
	case BLAME_CERTAIN:
		return "guilty";
	}
	return "unknown";
}

static void
task_lost(struct sched *s, const struct sched_lost *lost, void *ctx)
{
	struct task_name name;

	(void)s;
	(void)ctx;
	sched_task_name(lost->task, &name);
	log_info("task_lost",
	    "job=%s occurrence=%u step=%u index=%u attempt=%u worker=%s "
	    "cause=%s ran_ms=%lld crashes=%u sure=%u blame=%s",
	    name.job, name.occurrence, name.step, name.index, lost->attempt,
	    lost->worker, loss_name(lost->cause), (long long)lost->ran_ms,
	    lost->crashes, lost->sure, blame_name(lost->blame));
}

static void
leader_deposed(struct sched *s, void *ctx)
{
	struct lead *l;

	(void)s;
	l = ctx;
	/* Stepping down frees the scheduler, which calls this: later. */
	l->deposed = true;
}

const struct sched_actions lead_sched_actions = {
	start,
	stop,
	pace,
	poll_worker,
	lead_record_changed,
	lead_unknown_job,
	lease_expired,
	task_lost,
	lead_record_changed,
	save_schedule,
	save_job_expired,
	leader_deposed,
	no_room,
};
