#ifndef SCHED_INT_H
#define SCHED_INT_H

#include "scheduler.h"

/* Shared by the files of the scheduler; not for its callers. */

/* sched_job.c */
void job_mark_dirty(struct sched *, struct sched_job *);
void job_mark_begun(struct sched_job *);
void job_open_due(struct sched *, struct sched_job *, int64_t now_ms);
struct sched_task *job_task(struct sched *, const struct task_name *);
void task_enqueue(
    struct sched *, struct sched_task *, int64_t not_before_ms, int64_t now_ms);
void task_done(struct sched *, struct sched_task *, int64_t now_ms);
void task_failed(
    struct sched *, struct sched_task *, uint32_t attempt, int64_t now_ms);
void task_set_checkpoint(struct sched_task *, const char *);
/* A task that a former leader's progress names; NULL: there is none. */
struct sched_task *job_loaded_task(
    struct sched_job *, uint32_t number, uint32_t step, uint32_t index);
/* It can't be done: it ends as failed. */
void job_fail(struct sched *, struct sched_job *, int64_t now_ms);
struct sched_job *task_job(const struct sched_task *);
void task_dequeue(struct sched_task *, enum sched_task_state);
void job_discard(struct sched *, struct sched_job *);
/* The steps of occurrences that aren't done. */
void job_each_step(const struct sched_job *,
    void (*)(struct sched_step *, void *ctx), void *ctx);
void job_retire_old(struct sched *, int64_t now_ms);

/* sched_run.c */
struct sched_run *run_new(struct sched *, struct sched_task *,
    struct sched_worker *, uint32_t attempt, int64_t now_ms);
struct sched_run *run_find(
    struct sched_worker *, const struct task_name *, uint32_t attempt);
uint32_t run_next_attempt(const struct sched *, const struct sched_task *);
/* The attempt is surely over: give its room back.  It is freed. */
void run_settle(struct sched *, struct sched_run *);
void run_want_stop(struct sched *, struct sched_run *);
/* The task's runs elsewhere are no longer needed. */
void run_stop_others(
    struct sched *, struct sched_task *, const struct sched_run *);
/* After a run was settled without a counting end. */
void run_requeue(
    struct sched *, struct sched_task *, int64_t not_before_ms, int64_t now_ms);
void run_step(struct sched *, struct sched_worker *, int64_t now_ms);

/* sched_answer.c */
/* Runs of the job that workers listed before it was known. */
void adopt_strays(struct sched *, struct sched_job *, int64_t now_ms);

/* sched_worker.c */
void worker_incarnation_ended(
    struct sched *, struct sched_worker *, int64_t now_ms);
void worker_call_failed(struct sched *, struct sched_worker *, int64_t now_ms);
/* Something happened to it: its step is due. */
void worker_schedule(struct sched *, struct sched_worker *);
/* The steps that are due. */
void worker_run_due(struct sched *, int64_t now_ms);
void worker_drop_strays(struct sched_worker *);
void worker_free(struct sched *, struct sched_worker *);
bool worker_usable(const struct sched_worker *, int64_t now_ms);
void worker_acknowledge(struct sched_worker *);

/* sched_crash.c */
/* That life is over, and all that ran there.  Call before it is settled. */
void crash_worker_lost(
    struct sched *, struct sched_worker *, enum sched_loss, int64_t now_ms);
/* The same of one where nothing ran, as it is forgotten. */
void crash_idle_worker_lost(struct sched *, const struct sched_worker *);
/* What became of a worker that had lapsed. */
void crash_resolve(struct sched *, const struct sched_worker *, enum sched_loss,
    int64_t now_ms);
/* It is in the list: what was at its address before has crashed. */
void crash_worker_listed(
    struct sched *, const struct sched_worker *, int64_t now_ms);
void crash_update_rate(struct sched *, int64_t now_ms);
void crash_free(struct sched *);

/* sched_loss.c */
/* The run went down with its worker. */
void loss_record(
    struct sched *, struct sched_run *, enum sched_loss, int64_t now_ms);
/* The crash of its worker is sure, or it is up after all. */
void loss_resolve(struct sched *, const struct task_name *, uint32_t attempt,
    const char *worker, enum sched_loss, int64_t now_ms);
/* The run ended without its worker. */
void loss_survived(
    struct sched_task *, const struct sched_run *, int64_t now_ms);
/* The task may crash the worker that starts it. */
bool loss_is_suspect(const struct sched *, const struct sched_task *);
/* So long nothing else is started beside a suspect. */
int64_t loss_isolation_ms(const struct sched_task *);
/* Its next start waits until its losses are saved. */
bool loss_awaits_save(const struct sched_task *, int64_t now_ms);
/* When a task that went down with its worker may start again. */
int64_t loss_retry_at_ms(
    const struct sched *, const struct sched_task *, int64_t now_ms);

/* sched_lease.c */
void worker_note_answer(
    struct sched *, struct sched_worker *, int64_t clock_ms, int64_t now_ms);
/* Its clock now, as far as it is known. */
int64_t worker_clock(const struct sched_worker *, int64_t now_ms);
/* When its clock has surely passed a time on it. */
int64_t worker_deadline_local_ms(
    const struct sched_worker *, int64_t worker_ms);
/* When a worker that hasn't answered this leader has surely lapsed. */
int64_t lease_former_expiry_ms(const struct sched *);
/* When all that runs there has surely lapsed. */
int64_t lease_expiry_ms(const struct sched *, const struct sched_worker *);
/* For a look that is sent now: until when it renews; 0: it doesn't. */
int64_t lease_renew(
    const struct sched *, struct sched_worker *, int64_t now_ms);
/* It has been silent so long that its lease is left to expire. */
bool worker_is_silent(const struct sched_worker *, int64_t now_ms);
/* Bring what a next leader needs to know of it up to date. */
void lease_update_record(struct sched *, struct sched_worker *, int64_t now_ms);
void lease_request_record(
    struct sched *, struct sched_worker *, enum worker_record);

/* sched_inherit.c */
/* It is known that nothing runs there. */
bool worker_is_empty(const struct sched_worker *);
void inherit_update(struct sched *, int64_t now_ms);
/* The task may run on a worker that hasn't answered this leader. */
bool inherit_blocks(const struct sched *, const struct sched_task *);

/* sched_place.c */
void place_waiting(struct sched *, int64_t now_ms);
/* A worker would take the task now. */
bool place_has_room(struct sched *, const struct sched_task *, int64_t now_ms);

/* sched_headroom.c */
/* A step of the queue may run now. */
void headroom_add_demand(
    struct sched_queue *, const struct graph_step *, int64_t now_ms);

/* sched_leave.c */
/* Stop what lasts on workers that leave, so that it goes on elsewhere. */
void drain_move_tasks(struct sched *, int64_t now_ms);

/* sched_rank.c */
/* Higher goes first. */
double rank_job(const struct sched_job *, int64_t now_ms);
/* For qsort() over pointers to jobs by their ranks, highest first. */
int rank_cmp(const void *, const void *);

/* sched_share.c */
/* The worker has just listed what runs: learn from it, and set paces. */
void share_update(struct sched *, struct sched_worker *, int64_t now_ms);
/* Fillers came, went, or were paced. */
void share_update_usage(struct sched *, struct sched_worker *, int64_t now_ms);
/* The share of the worker's processors that a task uses. */
double share_cpu_fraction(const struct sched *, const struct sched_worker *,
    const struct graph_step *);
/*
 * How near a serving task there comes to its target beside one more filler
 * that uses this share of the worker: over 1 it is late.
 */
double share_load_ratio(const struct sched *, const struct sched_worker *,
    int filler_image, double share);
/* Rise of the load of all serving tasks there by it. */
double share_added_load(const struct sched *, const struct sched_worker *,
    int filler_image, double share);
/* A filler stands still though it may work: tell its worker again. */
void share_resend_pace(struct sched *, struct sched_run *, int64_t now_ms);
void share_count_serving(
    struct sched_worker *, int image, int64_t target_ms, int change);

/* sched_use.c */
void use_init(struct sched *);
/* The worker has just listed what runs. */
void use_update(struct sched *, const struct sched_worker *, int64_t now_ms);
/* Processors that nobody there is thought to use, in thousandths. */
int64_t use_idle_cpu(const struct sched *, const struct sched_worker *);

/* sched_health.c */
void health_task_done(
    struct sched_worker *, const struct sched_run *, int64_t now_ms);
void health_task_failed(
    struct sched_worker *, const struct sched_job *, int64_t now_ms);
void health_task_placed(struct sched_worker *, int64_t now_ms);
void health_check_progress(
    struct sched *, struct sched_worker *, int64_t now_ms);

void sched_due(struct sched *, int64_t at_ms);
uint64_t sched_random(struct sched *);

#endif /* SCHED_INT_H */
