#ifndef LEDGER_H
#define LEDGER_H

#include <sys/queue.h>
#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "room.h"

/*
 * The ledger of one shard, as its owner keeps it in memory: the tasks of the
 * shard, the worker each is bound to, and the calls and writes that are due.
 *
 * The caller reports events (a write committed, a worker answered, time
 * passed) and then calls ledger_step(), which sends what is due through
 * struct ledger_actions.  Actions only send; results are reported later
 * through the functions below, never from within an action.
 *
 * A ledger object is valid for one ownership (one epoch).  Once ownership is
 * lost it sends nothing more; the caller closes it, reads the record and, to
 * acquire the shard again, opens a new object with a higher epoch.
 */

#define LEDGER_ID_MAX 64 /* bytes of an identifier, including the NUL */
#define LEDGER_SHARD_MAX 130 /* DATA_CENTER "." RACK, including the NUL */
#define LEDGER_CHECKPOINT_MAX 256
#define LEDGER_TASK_ID_MAX (LEDGER_ID_MAX + 12) /* JOB "/" INDEX */

enum task_state {
	TASK_PENDING,
	TASK_BOUND, /* worker and attempt assigned; starts once stored */
	TASK_RUNNING, /* confirmed by the worker */
	TASK_EVICTING, /* a checkpoint or a stop was requested */
	TASK_DONE,
	TASK_FAILED,
	TASK_CANCELLED,
	TASK_MOVED /* transferred to another shard */
};

/* A task as stored in the shard's record. */
struct task_record {
	char job[LEDGER_ID_MAX];
	uint32_t index; /* within the job */
	uint32_t attempt; /* incremented by each bind, never decreases */
	enum task_state state;
	char worker[LEDGER_ID_MAX]; /* "" while pending */
	char last_worker[LEDGER_ID_MAX]; /* previous worker, or "" */
	uint32_t evictions;
	uint32_t failures;
	uint32_t moves; /* transfers to another shard */
	bool urgent;
	bool cancel; /* stop it and don't run it again */
	char checkpoint[LEDGER_CHECKPOINT_MAX]; /* checkpoint token, or "" */
	struct resources size; /* declared resources */
	int64_t run_ms; /* declared run time */
};

/* What is known about an attempt on its worker. */
enum run_state {
	RUN_UNFENCED, /* bound by a former owner, worker not fenced yet */
	RUN_NO, /* certainly not running, and no start is in flight */
	RUN_MAYBE, /* a start was sent and has no answer */
	RUN_YES,
	RUN_STOPPED /* stopped, or finished before the stop: not known yet */
};

enum task_call { CALL_NONE, CALL_START, CALL_STOP, CALL_CHECKPOINT };

enum task_want { WANT_RUN, WANT_CHECKPOINT, WANT_STOP };

struct ledger_worker;

struct ledger_task {
	struct task_record r;
	RB_ENTRY(ledger_task) by_id;
	TAILQ_ENTRY(ledger_task) link; /* of pending, a worker, or ended */
	struct ledger_worker *worker; /* NULL while pending or ended */
	uint64_t changed_at; /* number of the last change to r */
	enum run_state run;
	enum task_call call; /* the call in flight */
	enum task_want want;
	bool reserved; /* has resources reserved on its worker */
	bool fence_covers; /* the answer to the fence in flight covers it */
	bool repeat; /* an earlier start of this attempt got no answer */
	uint32_t no_room; /* starts of this attempt refused for lack of room */
	int64_t retry_at_ms;
	int64_t running_since_ms;
	int64_t waits_since_ms; /* set by the caller, 0 after each unbind */
	int64_t progress_ms; /* run time covered by the checkpoint */
	char moved_to[LEDGER_SHARD_MAX]; /* for TASK_MOVED */
	const char *reason; /* of the current state; static string */
};

/* Task counts of a job in this shard. */
struct ledger_job {
	TAILQ_ENTRY(ledger_job) link;
	char id[LEDGER_ID_MAX];
	uint32_t open; /* tasks not ended yet */
	uint32_t done;
	uint32_t failed;
	uint32_t cancelled;
	uint64_t changed_at;
	uint64_t removed_at; /* the change that removed it, 0: not removed */
};

/*
 * An inbox item whose tasks the next write accepts; the same write deletes
 * the item, or reduces it to the tasks that remain.
 */
struct ledger_item {
	TAILQ_ENTRY(ledger_item) link;
	char *name;
	int64_t revision; /* of the item; compared by the write */
	uint32_t remaining_first; /* first task index left in the inbox */
	uint32_t remaining_count; /* tasks left; 0: the item is deleted */
	uint64_t changed_at;
};

/* A finished attempt that the worker reports until it is acknowledged. */
struct ledger_ack {
	TAILQ_ENTRY(ledger_ack) link;
	char task[LEDGER_TASK_ID_MAX];
	uint32_t attempt;
	uint64_t changed_at; /* acknowledged once this is committed */
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
	struct ledger_tasks tasks; /* bound tasks, in starting order */
	struct ledger_acks acks;
	uint32_t waiting; /* bound tasks without reserved resources */
	bool fenced; /* has answered a fence of this epoch */
	bool fence_call; /* a fence is in flight */
	bool renew_call; /* a renewal is in flight */
	bool fence_wanted; /* fence again for an exact list of its tasks */
	bool draining; /* draining: no new work, tasks are evicted */
	bool gone; /* its VM is gone according to the VM list */
	bool lost; /* lost_after calls in a row got no answer */
	uint32_t unanswered_calls; /* consecutive calls without an answer */
	int64_t gone_ms; /* when gone was set */
	int64_t heard_ms; /* time of the last answer */
	int64_t lease_sent_ms; /* when a start or renewal was last sent */
	int64_t renew_sent_ms;
	int64_t renew_at_ms;
	int64_t fence_at_ms;
	void *data; /* for the caller */
};

enum ledger_phase {
	LEDGER_ACQUIRING, /* the write that sets the owner is unconfirmed */
	LEDGER_OWNED,
	LEDGER_RELEASING, /* planned hand-over: no calls to workers */
	LEDGER_RELEASED,
	LEDGER_LOST
};

enum ledger_write {
	WRITE_IDLE,
	WRITE_WANTED, /* actions.write was called */
	WRITE_SENT,
	WRITE_UNKNOWN /* no answer: the record must be read back first */
};

enum ledger_lost {
	LOST_CONFLICT, /* the revision comparison of a write failed */
	LOST_OWNER, /* the record names another owner or epoch */
	LOST_FENCED, /* a worker has seen a higher epoch */
	LOST_RELEASED, /* planned hand-over */
	LOST_REACQUIRE /* to be acquired again at a higher epoch */
};

enum call_result {
	RESULT_OK,
	RESULT_NO_ANSWER, /* the worker may have acted */
	RESULT_NOT_SENT, /* certain: nothing reached the worker */
	RESULT_NOT_READY, /* not sent, for a reason other than the worker */
	RESULT_NO_ROOM,
	RESULT_STALE, /* the attempt has ended on the worker */
	RESULT_UNKNOWN_TASK,
	RESULT_REFUSED /* refused for another reason, without effect */
};

enum task_outcome {
	OUTCOME_DONE,
	OUTCOME_FAILED,
	OUTCOME_INTERRUPTED /* stopped by its worker, e.g. lease expired */
};

enum ledger_error {
	LEDGER_OK,
	LEDGER_ERR_MEMORY,
	LEDGER_ERR_ID, /* an identifier is empty or too long */
	LEDGER_ERR_DUPLICATE, /* the task or item exists already */
	LEDGER_ERR_STATE, /* not allowed in the current state */
	LEDGER_ERR_WORKER, /* worker lost, gone, draining or not fenced */
	LEDGER_ERR_ROOM /* no room, and the limit of bound tasks is reached */
};

struct ledger;

struct ledger_actions {
	/* Changes are pending: call ledger_begin_write() soon and write. */
	void (*write)(struct ledger *, void *ctx);
	/* Read the record, then call ledger_read_done(). */
	void (*read_back)(struct ledger *, void *ctx);
	void (*fence)(struct ledger *, struct ledger_worker *, void *ctx);
	void (*renew)(struct ledger *, struct ledger_worker *, void *ctx);
	void (*start)(struct ledger *, struct ledger_task *, void *ctx);
	void (*stop)(struct ledger *, struct ledger_task *, void *ctx);
	void (*checkpoint)(struct ledger *, struct ledger_task *, void *ctx);
	/* Stop an attempt that isn't bound to the worker; needs no answer. */
	void (*stop_stray)(struct ledger *, struct ledger_worker *,
	    const char *task, uint32_t attempt, void *ctx);
	/*
	 * Choose a worker for a pending task; or set task->reason and return
	 * NULL.  Also called for a task that is bound to a worker without room,
	 * to find one that has room now.
	 */
	struct ledger_worker *(*pick_worker)(
	    struct ledger *, struct ledger_task *, int64_t now_ms, void *ctx);
	/* Optional.  An attempt ended; NULL worker: it never started. */
	void (*outcome)(struct ledger *, struct ledger_task *,
	    struct ledger_worker *, enum task_outcome, void *ctx);
	/* Optional.  A task ended and the store has confirmed it. */
	void (*ended)(struct ledger *, struct ledger_task *, void *ctx);
	/* Ownership ended.  The callback must not close the ledger. */
	void (*lost)(struct ledger *, enum ledger_lost, void *ctx);
};

struct ledger_options {
	const char *shard;
	const char *self; /* identifier of this entry */
	int64_t lease_ms; /* lease of a task on its worker */
	int64_t margin_ms; /* owners stop earlier, successors wait longer */
	int64_t hold_ms; /* an owner acts this long without the store */
	int64_t confirm_ms; /* interval of checking ownership at the store */
	int64_t call_timeout_ms; /* timeout of a call to a worker */
	int64_t renew_ms; /* interval of lease renewals */
	int64_t retry_ms; /* delay before a failed call or write is retried */
	uint32_t ahead; /* limit of tasks bound to a worker without room */
	uint32_t lost_after; /* unanswered calls until a worker is lost */
	uint32_t max_failures; /* of a task before it fails for good */
	uint32_t max_no_room; /* refusals before another worker is chosen */
	uint32_t max_job_removals; /* per write; 0: no limit */
	const struct ledger_actions *actions;
	void *ctx;
};

struct ledger {
	struct ledger_options opt;
	char shard[LEDGER_SHARD_MAX];
	char self[LEDGER_ID_MAX];
	enum ledger_phase phase;
	enum ledger_write write;
	bool reading; /* a read back is in flight */
	bool higher_epoch_seen; /* by a worker */
	bool store_unavailable;
	uint64_t higher_epoch; /* the highest that a worker has seen */
	uint64_t epoch;
	int64_t revision; /* of the record that the next write replaces */
	bool settled; /* no former owner can renew a lease any more */
	uint64_t change; /* number of the last change */
	uint64_t written; /* last change included in the write in flight */
	uint64_t committed; /* last change confirmed by the store */
	uint64_t release_at; /* the change that hands over, 0: none */
	int64_t taken_ms; /* start of the ownership */
	int64_t confirmed_ms; /* when the store last confirmed ownership */
	uint64_t bind_change; /* change when binds were last tried */
	int64_t bind_at_ms; /* retry binds then, even without a change */
	int64_t write_at_ms; /* earliest time of the next write */
	int64_t read_at_ms;
	struct ledger_tree tree;
	struct ledger_tasks pending; /* urgent ones first */
	struct ledger_tasks ended; /* until confirmed by the store */
	struct ledger_jobs jobs;
	struct ledger_items items;
	struct ledger_workers workers;
	size_t ntasks;
	void *data; /* for the caller */
};

/* The header of a record as read from the store. */
struct ledger_head {
	char owner[LEDGER_ID_MAX]; /* "": released */
	uint64_t epoch;
	uint64_t change;
	bool settled;
};

/* Orders tasks by job and index: RB_FOREACH(t, ledger_tree, &l->tree). */
int ledger_task_cmp(struct ledger_task *, struct ledger_task *);
RB_PROTOTYPE(ledger_tree, ledger_task, by_id, ledger_task_cmp)

/* Returns NULL if out of memory or an identifier is empty or too long. */
struct ledger *ledger_open(const struct ledger_options *);
void ledger_close(struct ledger *);

/*
 * Acquire the shard: call ledger_load_task() and ledger_load_job() for each
 * task and job of the record, then ledger_acquire() with the header and
 * revision of the record (0: no record yet, zeroed header).  min_epoch is an
 * epoch that a worker has seen, or 0.
 */
enum ledger_error ledger_load_task(struct ledger *, const struct task_record *);
enum ledger_error ledger_load_job(struct ledger *, const struct ledger_job *);
void ledger_acquire(struct ledger *, const struct ledger_head *,
    int64_t revision, uint64_t min_epoch, int64_t now_ms);
/*
 * End the ownership, so that the caller can acquire the shard again at once
 * with a higher epoch, which supersedes any write still in flight.
 */
void ledger_reacquire(struct ledger *);
/* Planned hand-over; calls actions.lost once the store has confirmed it. */
void ledger_release(struct ledger *, int64_t now_ms);

/*
 * Workers, from the VM list.  A worker must be added before it is fenced or
 * used.
 */
struct ledger_worker *ledger_worker_find(struct ledger *, const char *id);
struct ledger_worker *ledger_worker_set(
    struct ledger *, const char *id, const struct resources *, int64_t now_ms);
void ledger_worker_set_draining(struct ledger_worker *, bool draining);
void ledger_worker_gone(struct ledger_worker *, int64_t now_ms);

/* Send what is due.  Call it after events and periodically. */
void ledger_step(struct ledger *, int64_t now_ms);

/* The store. */

/*
 * Begin a write; returns the number of the last change that it includes.  The
 * record holds the tasks for which ledger_task_in_record() is true, the jobs,
 * and ledger_owner() as owner.
 */
uint64_t ledger_begin_write(struct ledger *, int64_t now_ms);
bool ledger_task_in_record(const struct ledger_task *);
const char *ledger_owner(const struct ledger *);
/* sent_ms is when the write was sent: ownership is confirmed as of then. */
void ledger_write_done(
    struct ledger *, int64_t revision, int64_t sent_ms, int64_t now_ms);
void ledger_write_refused(struct ledger *); /* revision changed */
void ledger_write_unknown(struct ledger *, int64_t now_ms);
void ledger_write_not_sent(struct ledger *, int64_t now_ms);
/* A NULL head means that the read failed. */
void ledger_read_done(struct ledger *, const struct ledger_head *head,
    int64_t revision, int64_t sent_ms, int64_t now_ms);
/* No task is bound while the store is unavailable. */
void ledger_set_store_available(struct ledger *, bool available);
/* Whether this owner may send calls to workers now. */
bool ledger_may_send(const struct ledger *, int64_t now_ms);

/* Tasks. */
struct ledger_task *ledger_find(
    struct ledger *, const char *job, uint32_t index);
/* Find a task by its id JOB "/" INDEX, or return NULL. */
struct ledger_task *ledger_find_id(struct ledger *, const char *task);
void ledger_task_id(const struct ledger_task *, char *, size_t);
/* Accept tasks from the inbox: first the item, then each of its tasks. */
enum ledger_error ledger_accept_item(struct ledger *, const char *name,
    int64_t revision, uint32_t remaining_first, uint32_t remaining_count);
enum ledger_error ledger_accept(struct ledger *, const struct task_record *);
enum ledger_error ledger_bind(
    struct ledger *, struct ledger_task *, struct ledger_worker *);
/*
 * Bind a task that waits for room on its worker to another worker that has
 * room now.  Requires that its start was never sent and that its bind is
 * committed.  It starts as a new attempt once the new bind is committed.
 */
enum ledger_error ledger_rebind(
    struct ledger *, struct ledger_task *, struct ledger_worker *);
enum ledger_error ledger_evict(
    struct ledger *, struct ledger_task *, enum task_want, const char *reason);
/* Cancel every task of the job; returns the number newly cancelled. */
size_t ledger_cancel_job(struct ledger *, const char *job);
/* Transfer a pending task to another shard. */
enum ledger_error ledger_move(
    struct ledger *, struct ledger_task *, const char *to_shard);
/* Fail a pending task that can never run. */
enum ledger_error ledger_give_up(
    struct ledger *, struct ledger_task *, const char *reason);
/* The state as shown to operators. */
enum task_state ledger_task_state(const struct ledger_task *);
const char *task_state_name(enum task_state);

/* Answers from workers. */
struct ledger_report {
	const char *task;
	uint32_t attempt;
	enum task_outcome outcome; /* if finished */
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
/* A worker refused a call because it has seen the given higher epoch. */
void ledger_fenced(struct ledger *, uint64_t epoch, int64_t now_ms);

/*
 * Choose the first worker with room, else the first on which the task may
 * wait for room.
 */
struct ledger_worker *ledger_pick_first_fit(
    struct ledger *, struct ledger_task *, int64_t now_ms, void *ctx);
/* Whether the worker accepts new tasks. */
bool ledger_worker_usable(const struct ledger_worker *);

const char *ledger_strerror(enum ledger_error);
const char *ledger_lost_name(enum ledger_lost);

#endif /* LEDGER_H */
