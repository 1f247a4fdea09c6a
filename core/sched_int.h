#ifndef SCHED_INT_H
#define SCHED_INT_H

#include "scheduler.h"

/* Internal interfaces of the scheduler, shared by the sched_*.c files. */

/* sched_job.c */
void job_mark_dirty(struct sched *, struct sched_job *);
/* The same, without the delay that collects changes. */
void job_save_soon(struct sched *, struct sched_job *);
void job_mark_begun(struct sched_job *);
void job_open_due(struct sched *, struct sched_job *, int64_t now_ms);
struct sched_task *job_task(struct sched *, const struct task_name *);
void task_enqueue(
    struct sched *, struct sched_task *, int64_t not_before_ms, int64_t now_ms);
void task_done(struct sched *, struct sched_task *, int64_t now_ms);
void task_failed(
    struct sched *, struct sched_task *, uint32_t attempt, int64_t now_ms);
void task_set_checkpoint(struct sched_task *, const char *);
/* The occurrence, created on first use; NULL: none, or memory is short. */
struct sched_occurrence *job_occurrence(struct sched_job *, uint32_t number);
/* The tasks of the step, created on first use; NULL: memory is short. */
struct sched_task *step_tasks(struct sched_step *);
/* Returns false if the attempt was counted before or memory is short. */
bool task_count_failure(struct sched_task *, uint32_t attempt);
/* Ends an open job as failed. */
void job_fail(struct sched *, struct sched_job *, int64_t now_ms);
struct sched_job *task_job(const struct sched_task *);
/* Takes the task off the waiting list of its step and sets its state. */
void task_dequeue(struct sched_task *, enum sched_task_state);
void job_discard(struct sched *, struct sched_job *);
/* Removes ended jobs whose retention time is over. */
void job_retire_old(struct sched *, int64_t now_ms);

/* sched_load.c */
/*
 * Returns a task named in the progress saved by a former leader and marks its
 * job as begun.  NULL if the job has no such task or memory is short.
 */
struct sched_task *job_loaded_task(
    struct sched_job *, uint32_t number, uint32_t step, uint32_t index);

/* sched_run.c */
struct sched_run *run_new(struct sched *, struct sched_task *,
    struct sched_worker *, uint32_t attempt, int64_t now_ms);
struct sched_run *run_find(
    struct sched_worker *, const struct task_name *, uint32_t attempt);
uint32_t run_next_attempt(const struct sched *, const struct sched_task *);
/*
 * Frees a run that is surely over and releases its reservation.  Unless it is
 * marked as lost, its worker has not crashed under it.
 */
void run_settle(struct sched *, struct sched_run *);
void run_request_stop(
    struct sched *, struct sched_run *, enum sched_stop_reason);
/* Stops all runs of the task except the given one, which may be NULL. */
void run_stop_others(struct sched *, struct sched_task *,
    const struct sched_run *, enum sched_stop_reason);
/* Stops all tasks of a gang; they run together or not at all. */
void run_stop_gang(struct sched *, struct sched_step *);
/*
 * Queues the task again after a run was settled, unless it is done, its job
 * has ended or another run of it is left.
 */
void run_requeue(
    struct sched *, struct sched_task *, int64_t not_before_ms, int64_t now_ms);
/* Settles a run that was lost with its worker and queues its task again. */
void run_lost(
    struct sched *, struct sched_run *, enum sched_loss, int64_t now_ms);
/* Sends the stop requests that are due at the worker. */
void run_step(struct sched *, struct sched_worker *, int64_t now_ms);

/* sched_answer.c */
/* Adopts runs of a new job that workers listed before it was known. */
void adopt_strays(struct sched *, struct sched_job *, int64_t now_ms);

/* sched_worker.c */
/* Another incarnation answers: all that ran on this one is over. */
void worker_incarnation_ended(
    struct sched *, struct sched_worker *, int64_t now_ms);
void worker_call_failed(struct sched *, struct sched_worker *, int64_t now_ms);
/* Makes the worker due in the next pass. */
void worker_schedule(struct sched *, struct sched_worker *);
/* Processes the workers that are due. */
void worker_run_due(struct sched *, int64_t now_ms);
void worker_free(struct sched *, struct sched_worker *);
/* Advances the acknowledgement past ends whose jobs are saved. */
void worker_acknowledge(struct sched_worker *);

/* sched_startable.c */
enum worker_bar worker_bar(
    const struct sched *, const struct sched_worker *, int64_t now_ms);
/* Tasks may be started on the worker. */
bool worker_startable(
    const struct sched *, const struct sched_worker *, int64_t now_ms);
/* The same, but for what isn't known well enough of it at the moment. */
bool worker_usable(
    const struct sched *, const struct sched_worker *, int64_t now_ms);

/* sched_room.c */
/* Its room is known, or it refuses what it has no room for. */
bool worker_room_known(
    const struct sched *, const struct sched_worker *, int64_t now_ms);

/* sched_incarnation.c */
/* Begins an incarnation of which nothing is known. */
void incarnation_init(struct sched *, struct sched_worker *);
/* Frees what the present incarnation holds. */
void incarnation_clear(struct sched_worker *);
void incarnation_drop_strays(struct sched_worker *);
/*
 * Replaces the incarnation by the next one.  Runs that the former incarnation
 * has listed are lost with it.  Others stay, as their start may have reached
 * the next incarnation.
 */
void incarnation_replace(struct sched *, struct sched_worker *, int64_t now_ms);
/* A poll was answered by an incarnation that tells this start. */
void incarnation_answered(
    struct sched *, struct sched_worker *, int64_t started_ms, int64_t now_ms);
/* The last call was answered, and nothing told of another one since. */
bool incarnation_is_proven(const struct sched_worker *);
/* The entry in the list, with its capacity and labels, is of this one. */
bool incarnation_is_listed(const struct sched_worker *);

/* sched_crash.c */
/*
 * Accounts for the crash of a worker and returns the cause of the loss of its
 * runs.  Call before the runs are settled.
 */
enum sched_loss crash_worker_lost(
    struct sched *, struct sched_worker *, enum sched_loss, int64_t now_ms);
/* Accounts for the loss of a worker without runs when it is removed. */
void crash_idle_worker_lost(struct sched *, const struct sched_worker *);
/*
 * The worker's present incarnation answers: refutes its crash, if its lease had
 * expired, and confirms those of former incarnations under its id.
 */
void crash_incarnation_answered(
    struct sched *, const struct sched_worker *, int64_t now_ms);
/* The worker's present incarnation is over: confirms its crash. */
void crash_incarnation_ended(
    struct sched *, const struct sched_worker *, int64_t now_ms);
/*
 * The worker is listed: confirms the crash of earlier incarnations at its
 * address.
 */
void crash_worker_listed(
    struct sched *, const struct sched_worker *, int64_t now_ms);
/* Updates the crash rate and drops unresolved incarnations that are old. */
void crash_update_rate(struct sched *, int64_t now_ms);
/* Watches for what became of the incarnations with which runs were lost. */
void crash_load(struct sched *, int64_t now_ms);
void crash_free(struct sched *);

/* sched_loss.c */
/* Records that a run was lost with its worker, or may have been. */
void loss_record(
    struct sched *, struct sched_run *, enum sched_loss, int64_t now_ms);
/* Records the losses that a silent worker may mean. */
void loss_worker_silent(struct sched *, struct sched_worker *, int64_t now_ms);
/* The worker lists this attempt: it was not lost. */
void loss_refuted(
    struct sched *, struct sched_task *, uint32_t attempt, const char *worker);
/* Confirms or refutes the crash behind a recorded loss. */
void loss_resolve(struct sched *, const struct task_name *, uint32_t attempt,
    const char *worker, enum sched_loss, int64_t now_ms);
/* Records that a run ended while its worker stayed up. */
void loss_survived(
    struct sched_task *, const struct sched_run *, int64_t now_ms);
/* The task is suspected of crashing workers. */
bool loss_is_suspect(const struct sched *, const struct sched_task *);
/* The same, but for the loss of that attempt. */
bool loss_is_suspect_without(
    const struct sched *, const struct sched_task *, uint32_t attempt);
/* How long nothing else is started on the worker of a suspect task. */
int64_t loss_isolation_ms(const struct sched_task *);
/* The runs that were under way under a former leader are over by now. */
void loss_load_end(struct sched_task *, int64_t wall_offset_ms, int64_t now_ms);
/* When a task that was lost with its worker may start again. */
int64_t loss_retry_at_ms(
    const struct sched *, const struct sched_task *, int64_t now_ms);

/* sched_lease.c */
/* A worker's clock may run slower than ours by 2 %; the rest is margin. */
#define CLOCK_SLOW_FACTOR 1.03
/* Records an answer and the reading of the worker's clock in it. */
void worker_note_answer(
    struct sched *, struct sched_worker *, int64_t clock_ms, int64_t now_ms);
/* Lower bound of the worker's clock. */
int64_t worker_clock(const struct sched_worker *, int64_t now_ms);
/* Local time by which the worker's clock has surely passed worker_ms. */
int64_t worker_deadline_local_ms(
    const struct sched_worker *, int64_t worker_ms);
/*
 * When the leases of a worker that has not answered this leader and has no
 * expiry in the worker record have surely expired.
 */
int64_t lease_former_expiry_ms(const struct sched *);
/* When all leases on the worker have surely expired. */
int64_t lease_expiry_ms(const struct sched *, const struct sched_worker *);
/*
 * Lease deadline, on the worker's clock, for a poll sent now; 0 if the poll
 * does not renew the lease.
 */
int64_t lease_renew(
    const struct sched *, struct sched_worker *, int64_t now_ms);
/* The worker has been silent so long that its lease is not renewed. */
bool worker_is_silent(const struct sched_worker *, int64_t now_ms);
/* Updates what the worker record tells the next leader of the worker. */
void lease_update_record(struct sched *, struct sched_worker *, int64_t now_ms);
void lease_request_record(
    struct sched *, struct sched_worker *, enum worker_record);

/* sched_inherit.c */
/* It is known that nothing runs on the worker. */
bool worker_is_empty(const struct sched_worker *);
/* What earlier leaders recorded of the worker is over. */
void inherit_forget(struct sched_worker *);
/* Recomputes which tasks may run on workers of former leaders. */
void inherit_update(struct sched *, int64_t now_ms);
/* The task may be running on a worker that has not answered this leader. */
bool inherit_blocks(const struct sched *, const struct sched_task *);

/* sched_place.c */
void place_waiting(struct sched *, int64_t now_ms);
/* Some worker has room for the task now. */
bool place_has_room(struct sched *, const struct sched_task *, int64_t now_ms);
/* The worker's free resources suffice for the task. */
bool place_fits(const struct sched_worker *, const struct sched_task *);

/* Starts a run of a task beside another; false: no worker is suitable. */
bool place_copy(
    struct sched *, struct sched_task *, enum straggler_reason, int64_t now_ms);

/* sched_start.c */
/* Sends the start of a run that was placed, or holds it for a save. */
void start_run(struct sched *, struct sched_run *, int64_t now_ms);
/* Sends the held starts that are saved; withdraws those not possible now. */
void start_held(struct sched *, int64_t now_ms);
/* Takes a run that is settled off the held ones. */
void start_unhold(struct sched *, struct sched_run *);

/* sched_headroom.c */
/* Adds a step that was opened to the measured demand of its queue. */
void headroom_add_demand(
    struct sched_queue *, const struct graph_step *, int64_t now_ms);

/* sched_drain.c */
/* Stops long-running tasks on draining workers to restart them elsewhere. */
void drain_move_tasks(struct sched *, int64_t now_ms);

/* sched_leave.c */
/* Stops short tasks on draining workers that would be lost with them. */
void leave_move_tasks(struct sched *, int64_t now_ms);

/* sched_copy.c */
bool copy_is_allowed(const struct graph_step *);
/* Adds the run, which ended as done, to the mean length of its step's runs. */
void copy_run_ended(const struct sched_run *, int64_t now_ms);
/*
 * Counts copies that won or lost when this run has ended as done.  Call it
 * before task_done(): the task's state tells whether it had ended before.
 */
void copy_count_winner(
    struct sched *, const struct sched_task *, const struct sched_run *);
/* Starts copies of runs that are slow or stalled, or on a silent worker. */
void copy_stragglers(struct sched *, int64_t now_ms);

/* sched_rank.c */
/* Jobs of higher rank are placed first. */
double rank_job(const struct sched_job *, int64_t now_ms);
/* Compares pointers to jobs for qsort(), highest rank first. */
int rank_cmp(const void *, const void *);

/* sched_share.c */
/* Learns from the worker's latest list of runs and adjusts the paces. */
void share_update(struct sched *, struct sched_worker *, int64_t now_ms);
/* Updates the filler usage after fillers started, ended or changed pace. */
void share_update_usage(struct sched *, struct sched_worker *, int64_t now_ms);
/* Fraction of the worker's processors that a task of the step uses. */
double share_cpu_fraction(const struct sched *, const struct sched_worker *,
    const struct graph_step *);
/*
 * Highest load of the serving tasks there, expected for the horizon, relative
 * to the load at which they miss their targets, with one more filler that uses
 * this share of the worker.  Over 1 a serving task is late.
 */
double share_load_ratio(const struct sched *, const struct sched_worker *,
    enum load_horizon, int filler_image, double share);
/* Load that such a filler adds to all serving tasks there. */
double share_added_load(const struct sched *, const struct sched_worker *,
    int filler_image, double share);
/* Sends the pace of a stalled filler to its worker again. */
void share_resend_pace(struct sched *, struct sched_run *, int64_t now_ms);
void share_count_serving(
    struct sched_worker *, int image, int64_t target_ms, int change);

/* sched_forecast.c */
/* Takes the present estimate of the load of the step's serving tasks. */
void forecast_step_update(struct sched *, struct sched_step *, int64_t now_ms);
/* The load expected at LOAD_SOON, else the highest within the horizon. */
double forecast_step_load(
    struct sched_step *, enum load_horizon, int64_t now_ms);
void forecast_step_free(struct sched_step *);
/* Sets forecast_error and last_error. */
void forecast_measure(struct sched *, struct sched_load *);

/* sched_use.c */
void use_init(struct sched *);
/* Learns the use of processors from the worker's latest list of runs. */
void use_update(struct sched *, const struct sched_worker *, int64_t now_ms);
/* Estimate of the processors not in use there, in thousandths. */
int64_t use_idle_cpu(const struct sched *, const struct sched_worker *);

/* sched_health.c */
/* The task is done; run: the one that ended, NULL if it isn't known. */
void health_task_done(struct sched_worker *, struct sched_task *,
    const struct sched_run *, int64_t now_ms);
/* The task failed on the present incarnation of the worker. */
void health_task_failed(
    struct sched *, struct sched_worker *, struct sched_task *, int64_t now_ms);
void health_task_placed(
    struct sched_worker *, const struct sched_task *, int64_t now_ms);
/* Delay before a task that failed is started again. */
int64_t health_retry_ms(const struct sched_task *);
/* Handles runs on the worker that make no progress, or that run well. */
void health_check_progress(
    struct sched *, struct sched_worker *, int64_t now_ms);

/* sched_refusal.c */
/* The worker has refused a start for want of room; trial: of a trial. */
void refusal_no_room(
    struct sched *, struct sched_worker *, bool trial, int64_t now_ms);
/* The worker's room is known again, if it was in doubt. */
void refusal_over(struct sched *, struct sched_worker *);
/* Lets one task be tried once the pause of the worker is over. */
void refusal_update(struct sched *, struct sched_worker *, int64_t now_ms);
/* The run was placed: it may be a trial. */
void refusal_task_placed(struct sched_run *, int64_t now_ms);
/* The worker has taken the start of the run. */
void refusal_start_taken(struct sched *, const struct sched_run *);

/* sched.c */
/* Makes sched_act() due at that time at the latest. */
void sched_due(struct sched *, int64_t at_ms);
uint64_t sched_random(struct sched *);

#endif /* SCHED_INT_H */
