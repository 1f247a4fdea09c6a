#ifndef SCHEDULER_H
#define SCHEDULER_H

#include <sys/queue.h>
#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "blame.h"
#include "graph.h"
#include "interference.h"
#include "room.h"

/*
 * The scheduler of jobs of steps, as the leading entry runs it.  Workers hold
 * what runs; the store holds what was accepted, cancelled and ended.  So a
 * start is not written anywhere before it is sent: a new leader asks the
 * workers what runs there (a look), under a fencing token that is its term.
 *
 * The caller reports events and then calls sched_act(), which sends what is
 * due through struct sched_actions.  Actions only send; answers come back
 * later through the functions below, never from within an action.  Times are
 * milliseconds of the runtime's clock unless a name says otherwise.
 */

#define SCHED_WORKER_ID_MAX 96
#define SCHED_LABELS_MAX 8
#define SCHED_ADDRESS_MAX 64

struct sched;
struct sched_job;
struct sched_lost_incarnation;
struct sched_occurrence;
struct sched_step;
struct sched_task;
struct sched_worker;

/* Short work of a queue that came lately; see sched_headroom.c. */
struct sched_demand {
	int64_t since_ms; /* when the first came; 0: none yet */
	int64_t at_ms; /* the sums are faded to this time */
	double work; /* as declared, in thousandths of a processor times ms */
	double tasks;
	double cpu; /* of these tasks, in thousandths */
};

/* What a queue asks for; may change while jobs of it run. */
struct sched_queue {
	TAILQ_ENTRY(sched_queue) link;
	char name[GRAPH_NAME_MAX];
	struct queue_terms terms;
	double run_ratio; /* learnt: measured over declared run time */
	uint32_t pending; /* of the last count of jobs that have not begun */
	struct sched_demand demand;
	bool lasting; /* jobs that last have come */
	bool full; /* of the last look at its headroom */
};

#define PACE_UNKNOWN (-1) /* an order on it was lost */

enum sched_run_state {
	RUN_STARTING, /* ordered, not answered */
	RUN_UNCONFIRMED, /* the order's answer is lost: it may start yet */
	RUN_RUNNING,
	RUN_STOPPING /* a stop was answered; its end isn't listed yet */
};

/* One attempt of a task on a worker; holds room there until it is settled. */
struct sched_run {
	TAILQ_ENTRY(sched_run) by_worker;
	TAILQ_ENTRY(sched_run) by_task;
	struct sched_task *task;
	struct sched_worker *worker;
	uint32_t attempt;
	enum sched_run_state state;
	bool adopted; /* found at its worker, not started in this term */
	bool stop_wanted;
	bool stop_pending; /* a stop is on its way */
	int64_t stop_at_ms; /* repeat the stop then */
	int64_t listed_ms; /* when the worker last listed it as running */
	int64_t measurement_ms; /* when figure was last listed */
	int64_t answered_ms; /* when the start or the stop was answered */
	int64_t sent_ms; /* when the start was sent */
	int64_t begun_ms; /* when it was first known to run */
	int64_t deadline_worker_ms; /* the start refuses itself after it */
	int percent; /* of its work, as last listed */
	int64_t percent_ms; /* when percent last rose */
	int measurement; /* tail in ms of a serving task, else cpu in use */
	int pace; /* share at which it may work, 0 to 100, or PACE_UNKNOWN */
	bool pace_pending;
	int64_t paced_ms; /* when the pace was last changed */
	int64_t on_time_ms; /* serving: last listed below its target */
	int64_t late_since_ms; /* serving: over its target since; 0: not */
	int64_t sampled_ms; /* serving: its tail was last learnt from */
};
TAILQ_HEAD(sched_runs, sched_run);

enum sched_task_state {
	SCHED_BLOCKED, /* its step isn't open */
	SCHED_WAITING,
	SCHED_ACTIVE, /* a run of it isn't settled */
	SCHED_DONE
};

/* An attempt that went down with its worker. */
struct task_loss {
	uint32_t attempt;
	bool crashed; /* the worker surely has */
	bool begun; /* the task ran there, by the worker's word */
	int64_t ran_ms; /* at most */
};

struct sched_task {
	TAILQ_ENTRY(sched_task) link; /* of the step's waiting tasks */
	struct sched_step *step;
	uint32_t index;
	enum sched_task_state state;
	uint32_t failures; /* its own, that count */
	uint32_t *failed; /* the attempts that failed so, as many */
	uint32_t nlosses;
	struct task_loss *losses;
	int64_t losses_ms; /* their run times */
	uint64_t losses_change; /* of its job, with which they are saved */
	int64_t
	    survived_ms; /* those of other runs that are over, in this term */
	uint32_t attempt; /* the highest used in this term */
	uint32_t avoid; /* serial of the worker where it last failed */
	uint32_t moves; /* off workers where it stood still, in this term */
	struct sched_runs runs;
	int64_t not_before_ms; /* may run elsewhere until then, or backs off */
	int64_t since_ms; /* waiting since */
	char *checkpoint; /* the newest known, or NULL */
};
TAILQ_HEAD(sched_tasks, sched_task);

struct sched_step {
	struct sched_occurrence *occurrence;
	const struct graph_step *spec;
	int image; /* its number in struct press */
	struct load_estimate load; /* of its tasks, if they serve */
	uint32_t number;
	uint32_t ndone;
	uint32_t nactive;
	bool open; /* what it depends on is done */
	struct sched_tasks waiting;
	struct sched_task *tasks; /* NULL before it opens and when done */
};

struct sched_occurrence {
	struct sched_job *job;
	uint32_t number;
	uint32_t steps_done;
	int64_t due_ms;
	bool done;
	struct sched_step *steps;
};

/* When a job was stored, as to which leaders may have started tasks of it. */
enum sched_origin {
	ORIGIN_NEW, /* when no former leader acted any more: only this one */
	ORIGIN_OVERLAP, /* in this term, in which the last one may have acted */
	ORIGIN_INHERITED /* before this term */
};

enum sched_job_state {
	JOB_QUEUED,
	JOB_RUNNING,
	JOB_COMPLETED,
	JOB_FAILED,
	JOB_CANCELLED
};

struct sched_job {
	RB_ENTRY(sched_job) by_id;
	TAILQ_ENTRY(sched_job) link; /* open or ended jobs */
	TAILQ_ENTRY(sched_job) dirty_link;
	TAILQ_ENTRY(sched_job) ending_link;
	struct graph *graph; /* NULL once ended */
	struct sched_queue *queue;
	char id[GRAPH_ID_MAX];
	enum sched_job_state state;
	bool in_ended;
	enum sched_origin origin;
	bool absent; /* there is none: only to stop what runs of it */
	bool begun; /* a task has started */
	bool dirty; /* in the list of jobs to be saved */
	uint64_t change; /* raised by what must be saved */
	uint64_t saved; /* the change that the store has */
	int64_t submitted_ms;
	int64_t ended_ms;
	double rank; /* the order in which waiting jobs are placed */
	uint32_t nactive; /* runs not settled */
	uint32_t nwaiting; /* tasks of open steps that wait */
	uint32_t occurrences_done;
	uint32_t noccurrences; /* made so far, in order of their due times */
	struct sched_occurrence **occurrences;
	void *data; /* the caller's */
};
RB_HEAD(sched_job_tree, sched_job);
TAILQ_HEAD(sched_jobs, sched_job);

/*
 * A run listed by its worker that isn't ours: of a job that isn't known yet,
 * which the store is asked about, or one that nobody needs and is stopped.
 */
struct sched_stray {
	SLIST_ENTRY(sched_stray) link;
	struct task_name task;
	uint32_t attempt;
};
SLIST_HEAD(sched_strays, sched_stray);

/* An end that was listed and isn't acknowledged to the worker yet. */
struct sched_end {
	STAILQ_ENTRY(sched_end) link;
	uint64_t number;
	struct sched_job *job; /* NULL: nothing to save */
	uint64_t change; /* acknowledged once this is saved */
};
STAILQ_HEAD(sched_ends, sched_end);

/* Serving tasks of one image on a worker. */
#define SCHED_SERVED_MAX 16
struct sched_served {
	int image;
	int n;
	int64_t target_ms; /* the lowest of theirs */
	double load; /* the highest of their steps, without fillers */
	double filler_load; /* fillers raise it by this share of it */
};

/* What fillers of an image use of a worker, as a share of its processors. */
#define SCHED_FILLER_USAGE_MAX 16
struct sched_filler_usage {
	int filler;
	double now;
	double lately; /* while the last listed tails were measured */
};

/* What the store's record says of a worker, for a next leader. */
enum worker_record {
	RECORD_NONE, /* not named: no leader has used it */
	RECORD_IN_USE, /* anything may be started there at any time */
	RECORD_CLOSED, /* nothing is started there any more */
	RECORD_EXPIRING /* nor is its lease renewed */
};
#define RECORD_BIT(record) (1U << (record))

struct sched_worker {
	RB_ENTRY(sched_worker) by_id;
	RB_ENTRY(sched_worker)
	by_due; /* in workers_by_due, unless it is in one */
	LIST_ENTRY(sched_worker) unsaved_link; /* while ends isn't empty */
	bool in_due_tree;
	int64_t step_ms; /* its next step is due; 0: something happened */
	char id[SCHED_WORKER_ID_MAX]; /* one life of a worker */
	char service[GRAPH_NAME_MAX];
	char address[SCHED_ADDRESS_MAX];
	char data_center[GRAPH_NAME_MAX];
	char labels[SCHED_LABELS_MAX][GRAPH_NAME_MAX]; /* kind and rack */
	size_t nlabels;
	uint32_t serial; /* never used for another worker */
	struct room room;
	int64_t filler_cpu; /* asked by the fillers here, in thousandths */
	int64_t serving_cpu; /* claimed by the serving tasks here */
	uint32_t serving; /* tasks with a tail target here */
	struct sched_served served[SCHED_SERVED_MAX]; /* their images */
	size_t nserved;
	struct sched_filler_usage usages[SCHED_FILLER_USAGE_MAX];
	size_t nusages;
	int64_t usages_ms; /* when they were last brought up to date */
	struct sched_runs runs;
	struct sched_ends ends;
	bool listed;
	bool in_list; /* the caller's, while it reads the whole list */
	unsigned int record_may; /* bits: as the store may have it */
	enum worker_record record_wanted;
	bool record_empty; /* the record names no tasks of it */
	enum worker_record inherited; /* as earlier leaders left it */
	struct task_name *inherited_tasks; /* by their word; NULL: anything */
	size_t ninherited_tasks;
	int64_t expires_ms; /* by their word; 0: not known */
	bool draining;
	int64_t leaves_ms; /* at the earliest, while it drains; 0: unknown */
	bool fenced; /* has answered a look of this term */
	bool dead; /* that life is surely over */
	bool lapsed; /* silent, and all that ran there has lapsed */
	struct sched_strays strays; /* of the last look */
	uint32_t unneeded; /* of these, without being needed */
	bool poll_pending;
	int64_t poll_sent_ms;
	int64_t next_poll_ms; /* the next one */
	uint32_t misses; /* calls without an answer in a row */
	int64_t silent_ms; /* when the first of them was given up */
	int64_t heard_ms; /* 0: never */
	int64_t clock_ms; /* its clock, as of heard_ms */
	int64_t granted_ms; /* latest lease end sent, on its clock */
	uint64_t processed; /* ends up to this number are dealt with */
	uint64_t acknowledged; /* told the worker so */
	uint32_t failed_row; /* jobs that failed there since a success */
	const struct sched_job *failed_job; /* the last; only compared */
	int64_t probe_ms; /* not used before, then for one task at a time */
	int64_t isolated_until_ms; /* one that may crash it runs there alone */
	double speed; /* measured over declared, 1 is sound */
	int64_t paced_ms; /* when a pace here was last changed */
	int64_t late_ms; /* when a serving task was last over its target */
	int64_t late_since_ms; /* since when one is; 0: none */
	double pressure; /* on the worst off, when last listed; 1: late */
};
RB_HEAD(sched_worker_tree, sched_worker);
RB_HEAD(sched_due_tree, sched_worker);

/* One row of a worker's list of what runs. */
struct poll_running {
	struct task_name task;
	uint32_t attempt;
	const char *checkpoint;
	int percent;
	int measurement;
};

enum run_end {
	END_DONE,
	END_FAILED,
	END_STOPPED,
	END_LAPSED,
	END_BROKEN,
	END_ALONE
};

struct poll_finished {
	uint64_t number;
	struct task_name task;
	uint32_t attempt;
	enum run_end how;
	const char *checkpoint;
};

struct poll_result {
	int64_t clock_ms;
	const struct poll_running *running;
	size_t nrunning;
	const struct poll_finished *finished;
	size_t nfinished;
};

enum worker_answer {
	ANSWER_OK,
	ANSWER_LOST, /* the worker may act yet */
	ANSWER_NOT_SENT, /* nothing reached the worker */
	ANSWER_FENCED, /* it has seen a higher term: we are replaced */
	ANSWER_OLD, /* that attempt, or a later one, is over there */
	ANSWER_LATE, /* the order's deadline had passed */
	ANSWER_NO_ROOM,
	ANSWER_UNHEALTHY, /* it did nothing */
	ANSWER_OTHER_INCARNATION, /* another life of a worker answers there */
	ANSWER_REFUSED /* called bad: nothing was done */
};

/* How it is known that a worker's life is over, and all that ran there. */
enum sched_loss {
	LOSS_OTHER_INCARNATION, /* another life answers at its address */
	LOSS_LAPSED, /* silent until all leases there had surely lapsed */
	LOSS_CONFIRMED, /* lapsed, and another life has come to its address */
	LOSS_REFUTED /* lapsed, and it answers again */
};

/* A run that went down with its worker, or what is known of it since. */
struct sched_lost {
	const struct sched_task *task;
	const char *worker;
	uint32_t attempt;
	enum sched_loss cause;
	int64_t ran_ms; /* at most */
	uint32_t crashes; /* of workers under the task, likely ones */
	uint32_t sure; /* of these, while the task surely ran */
	enum blame blame; /* of the task */
};

struct sched_actions {
	void (*start)(struct sched *, struct sched_run *, void *ctx);
	void (*stop)(struct sched *, struct sched_worker *,
	    const struct task_name *, uint32_t attempt, void *ctx);
	void (*pace)(
	    struct sched *, struct sched_run *, int percent, void *ctx);
	/*
	 * Ask what runs there and what ended after worker->acknowledged.
	 * deadline_worker_ms renews the lease; 0: only look.
	 */
	void (*look)(struct sched *, struct sched_worker *,
	    int64_t deadline_worker_ms, int64_t wait_ms, void *ctx);
	/*
	 * worker->record_wanted changed: bring the store's record to it, and
	 * tell by sched_worker_recorded().
	 */
	void (*record)(struct sched *, struct sched_worker *, void *ctx);
	/*
	 * A worker names a job that isn't known: ask the store, then add it, or
	 * say that it has ended or that there is none.
	 */
	void (*unknown)(struct sched *, const char *job, void *ctx);
	/* A silent worker's lease has lapsed: nruns tasks may go elsewhere. */
	void (*lapsed)(
	    struct sched *, struct sched_worker *, size_t nruns, void *ctx);
	/* A run went down with its worker. */
	void (*lost)(struct sched *, const struct sched_lost *, void *ctx);
	/* Nothing runs there and it left the list: the store may forget it. */
	void (*forget_worker)(struct sched *, struct sched_worker *, void *ctx);
	/* Jobs wait to be saved: see sched_next_dirty(). */
	void (*save)(struct sched *, void *ctx);
	/* The job is too old to be asked for: remove it from the store. */
	void (*forget)(struct sched *, const char *job, void *ctx);
	/* A worker has seen a higher term: send nothing more. */
	void (*deposed)(struct sched *, void *ctx);
};

struct sched_options {
	uint64_t term; /* of this leader, the fencing token */
	int64_t taken_ms; /* when the term began */
	int64_t lease_ms; /* of what runs, renewed by looks */
	int64_t former_ms; /* a former leader may act so long into it */
	int64_t keep_ms; /* ended jobs are kept so long */
	int64_t wall_offset_ms; /* to the time since 1970 it gives ours */
	int64_t harm_ms; /* a serving task may be late so long */
	uint64_t seed;
	const struct sched_actions *actions;
	void *ctx;
};

struct sched_counts {
	uint64_t starts;
	uint64_t refused_starts;
	uint64_t polls;
	uint64_t failures;
	uint64_t lapsed;
	uint64_t stops;
	uint64_t paces;
	uint64_t moves; /* of tasks that last, off workers that leave */
	uint64_t stalled; /* runs found without progress */
	uint64_t given_up; /* jobs, for crashes of workers */
};

/* What the fleet has and does, for logs. */
struct sched_load {
	uint32_t usable; /* workers that may be given work */
	uint32_t unsettled; /* a former leader's tasks may run there unknown */
	uint32_t workers;
	int64_t cpu; /* capacity of the usable ones, in thousandths */
	int64_t claimed; /* of it by tasks that aren't fillers */
	int64_t fillers; /* asked by fillers */
	uint32_t waiting; /* tasks that may start */
	uint32_t waiting_fillers;
	uint32_t running;
	uint32_t serving;
	uint32_t late; /* serving tasks over their target */
	uint32_t paced; /* fillers held back */
};

struct sched {
	struct sched_options opt;
	struct sched_job_tree jobs;
	struct sched_jobs open;
	struct sched_jobs ended; /* oldest first */
	struct sched_jobs dirty;
	struct sched_jobs ending; /* ended, their tasks still held */
	struct sched_worker_tree workers;
	struct sched_due_tree
	    workers_by_due; /* the same by when they are due */
	LIST_HEAD(, sched_worker) unsaved; /* with ends to acknowledge */
	bool any_saved; /* since the last step */
	int64_t repeats_ms; /* repeated jobs aren't looked at before */
	int64_t silent_ms; /* the silent ones were last counted */
	TAILQ_HEAD(, sched_queue) queues;
	uint32_t next_serial;
	bool frozen; /* another may lead: renew and start nothing */
	bool store_away; /* ends can't be saved: look less often */
	uint32_t starts_allowed; /* by the link, in the next step */
	bool link_full; /* calm workers are looked at less often */
	bool most_silent; /* it is our link: the workers are left in use */
	bool place_wanted;
	int64_t place_ms; /* not again before, unless wanted */
	int64_t place_min_ms; /* not again before in any case */
	int64_t
	    drain_pass_ms; /* nothing is moved off workers that leave before */
	bool deposed;
	/* Of workers that earlier leaders used and that haven't answered: */
	uint64_t unsettled; /* which they are: a sum of hashes; 0: none */
	bool any_task_inherited; /* any task may run on one */
	bool former_leader_active; /* the last leader may start tasks on one */
	bool record_lost; /* which they are isn't known */
	uint64_t *inherited_hashes; /* hashes of the tasks that may run there,
				       sorted */
	size_t ninherited_hashes;
	int64_t next_ms; /* when sched_act() is due at the latest */
	uint64_t random;
	struct interference *interference;
	double serving_use; /* learnt: share of its claim a serving task uses */
	double batch_use; /* the same of all others */
	struct blame_rate crash_rate; /* of workers */
	LIST_HEAD(, sched_lost_incarnation)
	lost_incarnations; /* of which it isn't sure */
	int64_t use_decayed_ms; /* when serving_use last fell by itself */
	struct sched_counts counts;
};

struct sched *sched_open(const struct sched_options *);
void sched_close(struct sched *);

/* Queues.  Made on first use, with those terms; NULL: no memory. */
struct sched_queue *sched_queue_get(
    struct sched *, const char *name, const struct queue_terms *);

/* Jobs.  Takes the graph over; NULL: no memory, or known already. */
struct sched_job *sched_job_add(struct sched *, struct graph *,
    int64_t submitted_ms, enum sched_origin, int64_t now_ms);
/* One that ended: known by its id and state only. */
struct sched_job *sched_job_add_ended(
    struct sched *, const char *id, enum sched_job_state, int64_t ended_ms);
void sched_job_remove(struct sched *, struct sched_job *);
/* There is surely no such job: what runs of it is stopped. */
void sched_job_add_absent(struct sched *, const char *id, int64_t now_ms);
struct sched_job *sched_job_find(struct sched *, const char *id);
/* What a former leader saved, before the first sched_act(). */
void sched_load_occurrence_done(struct sched_job *, uint32_t number);
void sched_load_task(struct sched_job *, uint32_t number, uint32_t step,
    uint32_t index, bool done);
void sched_load_failure(struct sched_job *, uint32_t number, uint32_t step,
    uint32_t index, uint32_t attempt);
void sched_load_loss(
    struct sched_job *, const struct task_name *, const struct task_loss *);
void sched_load_checkpoint(struct sched_job *, uint32_t number, uint32_t step,
    uint32_t index, const char *checkpoint);
/* All is loaded: open the steps that may run. */
void sched_load_end(struct sched *, int64_t now_ms);
void sched_job_cancel(struct sched *, struct sched_job *, int64_t now_ms);
/* The state that callers may be shown: an end only once it is saved. */
enum sched_job_state sched_job_visible_state(const struct sched_job *);
const char *sched_job_state_name(enum sched_job_state);

void sched_task_name(const struct sched_task *, struct task_name *);
/* Of its task in this term. */
bool sched_run_is_first(const struct sched *, const struct sched_run *);

/* Saving. */
struct sched_job *sched_next_dirty(struct sched *); /* taken off the list */
void sched_dirty_again(struct sched *, struct sched_job *);
/* The store has the job as it was at that change. */
void sched_saved(
    struct sched *, struct sched_job *, uint64_t change, int64_t now_ms);

/* Workers. */
struct sched_worker *sched_worker_find(struct sched *, const char *id);
struct sched_worker *sched_worker_get(struct sched *, const char *id);
void sched_worker_listed(struct sched *, struct sched_worker *,
    const struct resources *, bool draining, int64_t leaves_ms, int64_t now_ms);
void sched_worker_unlisted(
    struct sched *, struct sched_worker *, int64_t now_ms);
/* A write of record_wanted is on its way, */
void sched_worker_recording(struct sched_worker *);
/* and this is what the store has now. */
void sched_worker_recorded(struct sched_worker *, enum worker_record);

/* What an earlier leader's record says of a worker. */
struct sched_inherited {
	enum worker_record record;
	int64_t left_ms; /* RECORD_EXPIRING: all has lapsed after it */
	bool tasks_known; /* only these may run there */
	const struct task_name *tasks;
	size_t ntasks;
};
void sched_worker_inherit(
    struct sched_worker *, const struct sched_inherited *, int64_t now_ms);
/*
 * The record can't be read: until all leases of former leaders have lapsed,
 * any task may run on a worker that isn't known.
 */
void sched_record_lost(struct sched *);
/* What may run there, for the record; false: not known, so anything. */
bool sched_worker_each_task(const struct sched_worker *,
    void (*)(const struct task_name *, void *ctx), void *ctx);
/* So long until all that runs there has surely lapsed; 0: it has. */
int64_t sched_worker_lease_left_ms(
    const struct sched *, const struct sched_worker *, int64_t now_ms);
/* Nothing of a former term can run there unknown to us. */
bool sched_worker_settled(const struct sched_worker *);
/* Runs there that aren't settled. */
size_t sched_worker_nruns(const struct sched_worker *);
bool sched_worker_has_label(const struct sched_worker *, const char *);

/* Answers of workers. */
void sched_start_answered(struct sched *, struct sched_worker *,
    const struct task_name *, uint32_t attempt, enum worker_answer,
    int64_t clock_ms, int64_t now_ms);
void sched_stop_answered(struct sched *, struct sched_worker *,
    const struct task_name *, uint32_t attempt, enum worker_answer,
    int64_t clock_ms, int64_t now_ms);
void sched_poll_answered(struct sched *, struct sched_worker *,
    enum worker_answer, const struct poll_result *, int64_t now_ms);
/*
 * Ends from an answer that came too late to be one.  What it says of running
 * tasks may be outdated; an end stays true.
 */
void sched_late_ends_reported(struct sched *, struct sched_worker *,
    const struct poll_result *, int64_t now_ms);
void sched_pace_answered(struct sched *, struct sched_worker *,
    const struct task_name *, uint32_t attempt, enum worker_answer,
    int64_t now_ms);

/*
 * Room for new jobs that last beside short work, in thousandths of a
 * processor.
 */
struct sched_headroom {
	bool full; /* there is none */
	int64_t left; /* free, in pieces that hold a short task */
	int64_t lent; /* used by short work now */
	int64_t owed; /* asked by what lasts and isn't at work */
	int64_t need; /* of short work; 0: none comes */
	int64_t piece; /* of one short task */
};
void sched_measure_headroom(struct sched *, const struct sched_queue *,
    struct sched_headroom *, int64_t now_ms);

void sched_measure(struct sched *, struct sched_load *, int64_t now_ms);

/* Send what is due.  Call it after events and at sched->next_ms. */
void sched_act(struct sched *, int64_t now_ms);

RB_PROTOTYPE(sched_job_tree, sched_job, by_id, sched_job_cmp)
RB_PROTOTYPE(sched_worker_tree, sched_worker, by_id, sched_worker_cmp)
int sched_job_cmp(struct sched_job *, struct sched_job *);
int sched_worker_cmp(struct sched_worker *, struct sched_worker *);

#endif /* SCHEDULER_H */
