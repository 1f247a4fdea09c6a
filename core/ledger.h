#ifndef LEDGER_H
#define LEDGER_H

#include <sys/queue.h>
#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "room.h"

/*
 * One shard's ledger as its owner holds it: the tasks of the shard, where
 * each is bound, and what may be done about them now.
 *
 * The caller reports events (a write committed, a worker answered, time
 * passed) and then calls ledger_step(), which sends what is due through
 * struct ledger_actions.  Actions only send; their answers come back later
 * through the functions below, never from within an action.
 *
 * A ledger object lives for one ownership (one epoch).  When it is lost it
 * sends nothing more; the caller closes it, reads the record and, if the
 * shard is to be taken again, opens a new object, which raises the epoch.
 */

#define LEDGER_ID_MAX 64 /* bytes of an identifier, with the NUL */
#define LEDGER_SHARD_MAX 130 /* DATA_CENTER "." RACK, with the NUL */
#define LEDGER_CHECKPOINT_MAX 256
#define LEDGER_TASK_ID_MAX (LEDGER_ID_MAX + 12) /* JOB "/" INDEX */

enum task_state {
	TASK_PENDING,
	TASK_BOUND, /* worker and attempt chosen; it may run once written */
	TASK_RUNNING, /* the worker said so */
	TASK_EVICTING, /* a checkpoint or a stop is asked for */
	TASK_DONE,
	TASK_FAILED,
	TASK_CANCELLED,
	TASK_MOVED /* handed to another shard */
};

/* What the store keeps of a task. */
struct task_record {
	char job[LEDGER_ID_MAX];
	uint32_t index; /* within the job */
	uint32_t attempt; /* raised by each bind, never lowered */
	enum task_state state;
	char worker[LEDGER_ID_MAX]; /* "" while pending */
	char last_worker[LEDGER_ID_MAX]; /* where it last ran, or "" */
	uint32_t evictions;
	uint32_t failures;
	uint32_t moves; /* times it was handed to another shard */
	bool urgent;
	bool cancel; /* to be stopped and not run again */
	char checkpoint[LEDGER_CHECKPOINT_MAX]; /* token, or "" */
	struct resources size; /* declared */
	int64_t run_ms; /* declared */
};

/* What may be said of an attempt on its worker. */
enum run_state {
	RUN_UNFENCED, /* bound by a former owner, the worker not yet fenced */
	RUN_NO, /* certainly not running, and no start is on its way */
	RUN_MAYBE, /* a start was sent and isn't answered */
	RUN_YES,
	RUN_STOPPED /* stop confirmed; had it finished before? */
};

enum task_call { CALL_NONE, CALL_START, CALL_STOP, CALL_CHECKPOINT };

enum task_want { WANT_RUN, WANT_CHECKPOINT, WANT_STOP };

struct ledger_worker;

struct ledger_task {
	struct task_record r;
	RB_ENTRY(ledger_task) by_id;
	TAILQ_ENTRY(ledger_task) link; /* pending, a worker's, or ended */
	struct ledger_worker *worker; /* NULL while pending or ended */
	uint64_t changed_at; /* the change that last touched r */
	enum run_state run;
	enum task_call call; /* waiting for an answer */
	enum task_want want;
	bool reserved; /* holds room on its worker */
	bool fence_covers; /* the fence on its way tells about it */
	bool repeat; /* an earlier start of this attempt had no answer */
	uint32_t no_room; /* refusals of this attempt's start */
	int64_t retry_at_ms;
	int64_t running_since_ms;
	int64_t waits_since_ms; /* for the caller, 0 on each unbind */
	int64_t progress_ms; /* run time the checkpoint covers */
	char moved_to[LEDGER_SHARD_MAX]; /* for TASK_MOVED */
	const char *reason; /* why it waits or where it went, static text */
};

/* Counts of a job's tasks in this shard. */
struct ledger_job {
	TAILQ_ENTRY(ledger_job) link;
	char id[LEDGER_ID_MAX];
	uint32_t open; /* not yet ended */
	uint32_t done;
	uint32_t failed;
	uint32_t cancelled;
	uint64_t changed_at;
	uint64_t removed_at; /* the change that took it out, 0: still here */
};

/* An inbox item that a write takes over; deleted by the same write. */
struct ledger_item {
	TAILQ_ENTRY(ledger_item) link;
	char *name;
	int64_t revision; /* the item's own, compared by the write */
	uint32_t
	    remaining_first; /* what stays in the inbox: the first index, */
	uint32_t remaining_count; /* and how many; 0: the item is deleted */
	uint64_t changed_at;
};

/* A finish that the worker repeats until it is told that we have it. */
struct ledger_ack {
	TAILQ_ENTRY(ledger_ack) link;
	char task[LEDGER_TASK_ID_MAX];
	uint32_t attempt;
	uint64_t changed_at; /* told once this change is committed */
	bool sent;
};

TAILQ_HEAD(ledger_tasks, ledger_task);
TAILQ_HEAD(ledger_jobs, ledger_job);
TAILQ_HEAD(ledger_items, ledger_item);
TAILQ_HEAD(ledger_acks, ledger_ack);
TAILQ_HEAD(ledger_workers, ledger_worker);
RB_HEAD(ledger_tree, ledger_task);

struct ledger_worker {
	TAILQ_ENTRY(ledger_worker) link;
	char id[LEDGER_ID_MAX];
	struct room room;
	struct ledger_tasks tasks; /* bound here, in order of start */
	struct ledger_acks acks;
	uint32_t waiting; /* bound here and without room */
	bool fenced; /* has answered a fence of this epoch */
	bool fence_call; /* a fence is on its way */
	bool renew_call; /* a renewal is on its way */
	bool fence_wanted; /* a list of what runs there is wanted */
	bool leaving; /* no new work, tasks are moved off */
	bool gone; /* the VM list says that the VM is gone */
	bool lost; /* answers nothing */
	uint32_t unanswered_calls; /* calls without an answer in a row */
	int64_t gone_ms; /* when gone was reported */
	int64_t heard_ms; /* last answer */
	int64_t lease_sent_ms; /* last start or renewal sent */
	int64_t renew_sent_ms;
	int64_t renew_at_ms;
	int64_t fence_at_ms;
	void *data; /* the caller's */
};

enum ledger_phase {
	LEDGER_ACQUIRING, /* the write that makes us owner isn't confirmed */
	LEDGER_OWNED,
	LEDGER_RELEASING, /* handing over: nothing is sent to workers */
	LEDGER_RELEASED,
	LEDGER_LOST
};

enum ledger_write {
	WRITE_IDLE,
	WRITE_WANTED, /* actions.write was called */
	WRITE_SENT,
	WRITE_UNKNOWN /* the answer is lost: read back first */
};

enum ledger_lost {
	LOST_CONFLICT, /* a write was refused */
	LOST_OWNER, /* the record names another owner or epoch */
	LOST_FENCED, /* a worker has seen a higher epoch */
	LOST_RELEASED, /* handed over as planned */
	LOST_REACQUIRE /* to be taken again at a higher epoch */
};

enum call_result {
	RESULT_OK,
	RESULT_NO_ANSWER, /* the worker may have acted */
	RESULT_NOT_SENT, /* certainly nothing reached the worker */
	RESULT_NOT_READY, /* not sent, and not for the worker's sake */
	RESULT_NO_ROOM,
	RESULT_STALE, /* that attempt is over there */
	RESULT_UNKNOWN_TASK,
	RESULT_REFUSED /* any other refusal: nothing was done */
};

enum task_outcome {
	OUTCOME_DONE,
	OUTCOME_FAILED,
	OUTCOME_INTERRUPTED /* stopped by its worker, as on a lapsed lease */
};

enum ledger_error {
	LEDGER_OK,
	LEDGER_ERR_MEMORY,
	LEDGER_ERR_ID, /* an identifier is empty or too long */
	LEDGER_ERR_DUPLICATE, /* the task or item is there already */
	LEDGER_ERR_STATE, /* not possible in the state it is in */
	LEDGER_ERR_WORKER, /* unknown, leaving or not fenced worker */
	LEDGER_ERR_ROOM /* no room, and enough is bound ahead */
};

struct ledger;

struct ledger_actions {
	/* Changes wait: call ledger_begin_write() soon and write. */
	void (*write)(struct ledger *, void *ctx);
	/* Read the record, then call ledger_read_done(). */
	void (*read_back)(struct ledger *, void *ctx);
	void (*fence)(struct ledger *, struct ledger_worker *, void *ctx);
	void (*renew)(struct ledger *, struct ledger_worker *, void *ctx);
	void (*start)(struct ledger *, struct ledger_task *, void *ctx);
	void (*stop)(struct ledger *, struct ledger_task *, void *ctx);
	void (*checkpoint)(struct ledger *, struct ledger_task *, void *ctx);
	/* Stop what runs there without being bound there; no answer needed. */
	void (*stop_stray)(struct ledger *, struct ledger_worker *,
	    const char *task, uint32_t attempt, void *ctx);
	/*
	 * The worker of a pending task, or NULL and task->reason is set.  Also
	 * asked for one with room now for a task bound ahead elsewhere.
	 */
	struct ledger_worker *(*pick_worker)(
	    struct ledger *, struct ledger_task *, int64_t now_ms, void *ctx);
	/* Optional.  An attempt came to an end; NULL worker: never started. */
	void (*outcome)(struct ledger *, struct ledger_task *,
	    struct ledger_worker *, enum task_outcome, void *ctx);
	/* Optional.  A task left the ledger and the store has it so. */
	void (*ended)(struct ledger *, struct ledger_task *, void *ctx);
	/* Send nothing more; close it from outside this call. */
	void (*lost)(struct ledger *, enum ledger_lost, void *ctx);
};

struct ledger_options {
	const char *shard;
	const char *self; /* this entry */
	int64_t lease_ms; /* of tasks at their worker */
	int64_t margin_ms; /* holders stop earlier, takers wait longer */
	int64_t hold_ms; /* an owner goes on so long without the store */
	int64_t confirm_ms; /* ask the store whether we still own it */
	int64_t call_timeout_ms; /* of a call to a worker */
	int64_t renew_ms; /* between renewals */
	int64_t retry_ms; /* before a failed call or write is repeated */
	uint32_t ahead; /* tasks bound to a worker without room */
	uint32_t lost_after; /* unanswered calls until a worker is lost */
	uint32_t max_failures; /* of a task before it is given up */
	uint32_t max_no_room; /* refusals before another worker is picked */
	uint32_t
	    max_job_removals; /* jobs taken out by one write; 0: no limit */
	const struct ledger_actions *actions;
	void *ctx;
};

struct ledger {
	struct ledger_options opt;
	char shard[LEDGER_SHARD_MAX];
	char self[LEDGER_ID_MAX];
	enum ledger_phase phase;
	enum ledger_write write;
	bool reading; /* a read back is on its way */
	bool doubt; /* a worker has seen a higher epoch */
	bool store_away; /* the last write or read had no answer */
	uint64_t higher_epoch; /* that epoch */
	uint64_t epoch;
	int64_t revision; /* of the record the next write replaces */
	bool settled; /* no former owner can have renewed any lease */
	uint64_t change; /* number of the last change */
	uint64_t written; /* last change in the write that is on its way */
	uint64_t committed; /* last change the store has confirmed */
	uint64_t release_at; /* the change that hands over, 0: none */
	int64_t taken_ms; /* since when we own it */
	int64_t confirmed_ms; /* the store last said that we own it */
	uint64_t bind_change; /* the last change after which binds were tried */
	int64_t bind_at_ms; /* try again without a change */
	int64_t write_at_ms; /* not before */
	int64_t read_at_ms;
	struct ledger_tree tree;
	struct ledger_tasks pending; /* urgent ones first */
	struct ledger_tasks ended; /* until the store has it so */
	struct ledger_jobs jobs;
	struct ledger_items items;
	struct ledger_workers workers;
	size_t ntasks;
	void *data; /* the caller's */
};

/* The head of a record as read from the store. */
struct ledger_head {
	char owner[LEDGER_ID_MAX]; /* "": handed over */
	uint64_t epoch;
	uint64_t change;
	bool settled;
};

/* Tasks in order of job and index: RB_FOREACH(t, ledger_tree, &l->tree). */
int ledger_task_cmp(struct ledger_task *, struct ledger_task *);
RB_PROTOTYPE(ledger_tree, ledger_task, by_id, ledger_task_cmp)

/* NULL: no memory or an identifier is too long. */
struct ledger *ledger_open(const struct ledger_options *);
void ledger_close(struct ledger *);

/*
 * Take the shard.  First ledger_load_task() and ledger_load_job() for what
 * the record holds, then ledger_acquire() with the record's head and revision
 * (0: no record yet, head zeroed).  min_epoch: an epoch that a worker has
 * seen, or 0.
 */
enum ledger_error ledger_load_task(struct ledger *, const struct task_record *);
enum ledger_error ledger_load_job(struct ledger *, const struct ledger_job *);
void ledger_acquire(struct ledger *, const struct ledger_head *,
    int64_t revision, uint64_t min_epoch, int64_t now_ms);
/* Give the ownership up to take it again at a higher epoch at once; what is
 * on its way to the store for this one is outbid. */
void ledger_reacquire(struct ledger *);
/* Hand over as planned; actions.lost follows once the store has it. */
void ledger_release(struct ledger *, int64_t now_ms);

/* The VM list.  A worker must be known before it is fenced or used. */
struct ledger_worker *ledger_worker_find(struct ledger *, const char *id);
struct ledger_worker *ledger_worker_set(
    struct ledger *, const char *id, const struct resources *, int64_t now_ms);
void ledger_worker_leaving(struct ledger_worker *, bool leaving);
void ledger_worker_gone(struct ledger_worker *, int64_t now_ms);

/* Send what is due.  Call it after events and at ledger_next_ms(). */
void ledger_step(struct ledger *, int64_t now_ms);

/* The store. */

/* Returns the change that a record written now includes.  The record is
 * what the ledger_*_written() tests and ledger_owner() say. */
uint64_t ledger_begin_write(struct ledger *, int64_t now_ms);
bool ledger_task_in_record(const struct ledger_task *);
const char *ledger_owner(const struct ledger *);
/* sent_ms: when the write was sent; a late answer confirms no more. */
void ledger_write_done(
    struct ledger *, int64_t revision, int64_t sent_ms, int64_t now_ms);
void ledger_write_refused(struct ledger *); /* a comparison failed */
void ledger_write_unknown(struct ledger *, int64_t now_ms);
void ledger_write_not_sent(struct ledger *, int64_t now_ms);
/* head NULL: the read failed. */
void ledger_read_done(struct ledger *, const struct ledger_head *head,
    int64_t revision, int64_t sent_ms, int64_t now_ms);
/* The store answers, or not: while it doesn't, nothing new is bound. */
void ledger_set_store_available(struct ledger *, bool answers);
/* The owner may act towards workers now. */
bool ledger_may_send(const struct ledger *, int64_t now_ms);

/* Tasks. */
struct ledger_task *ledger_find(
    struct ledger *, const char *job, uint32_t index);
/* The task of an id JOB "/" INDEX, or NULL. */
struct ledger_task *ledger_find_id(struct ledger *, const char *task);
void ledger_task_id(const struct ledger_task *, char *, size_t);
/* Take tasks over from the inbox: first the item, then its tasks. */
enum ledger_error ledger_accept_item(struct ledger *, const char *name,
    int64_t revision, uint32_t remaining_first, uint32_t remaining_count);
enum ledger_error ledger_accept(struct ledger *, const struct task_record *);
enum ledger_error ledger_bind(
    struct ledger *, struct ledger_task *, struct ledger_worker *);
/*
 * Bind a task that waits on its worker for room to another that has room
 * now.  Only while its start was never sent and its bind is in the store; it
 * starts there as a new attempt, once that is written.
 */
enum ledger_error ledger_rebind(
    struct ledger *, struct ledger_task *, struct ledger_worker *);
enum ledger_error ledger_evict(
    struct ledger *, struct ledger_task *, enum task_want, const char *reason);
/* Cancel every task of the job; returns how many are now on their way out. */
size_t ledger_cancel_job(struct ledger *, const char *job);
/* A task that waits for one. */
enum ledger_error ledger_move(
    struct ledger *, struct ledger_task *, const char *to_shard);
/* Give up a task that waits, as one that can never run. */
enum ledger_error ledger_give_up(
    struct ledger *, struct ledger_task *, const char *reason);
/* The state as operators see it. */
enum task_state ledger_task_state(const struct ledger_task *);
const char *task_state_name(enum task_state);

/* Answers of workers. */
struct ledger_report {
	const char *task;
	uint32_t attempt;
	enum task_outcome outcome; /* of a finish */
};
void ledger_start_answered(struct ledger *, const char *task, uint32_t attempt,
    enum call_result, int64_t now_ms);
void ledger_stop_answered(struct ledger *, const char *task, uint32_t attempt,
    enum call_result, int64_t now_ms);
void ledger_checkpoint_answered(struct ledger *, const char *task,
    uint32_t attempt, enum call_result, const char *token, int64_t progress_ms,
    int64_t now_ms);
void ledger_fence_answered(struct ledger *, struct ledger_worker *,
    const struct ledger_report *running, size_t nrunning,
    const struct ledger_report *finished, size_t nfinished, int64_t now_ms);
void ledger_fence_failed(
    struct ledger *, struct ledger_worker *, int64_t now_ms);
void ledger_renew_answered(struct ledger *, struct ledger_worker *,
    const struct ledger_report *running, size_t nrunning,
    const struct ledger_report *finished, size_t nfinished, int64_t now_ms);
void ledger_renew_failed(
    struct ledger *, struct ledger_worker *, int64_t now_ms);
/* Any call was refused since the worker has seen a higher epoch. */
void ledger_fenced(struct ledger *, uint64_t epoch, int64_t now_ms);

/* The first worker in order with room, else with a place to wait. */
struct ledger_worker *ledger_pick_first_fit(
    struct ledger *, struct ledger_task *, int64_t now_ms, void *ctx);
/* A worker that takes new tasks. */
bool ledger_worker_usable(const struct ledger_worker *);

const char *ledger_strerror(enum ledger_error);
const char *ledger_lost_name(enum ledger_lost);

#endif /* LEDGER_H */
