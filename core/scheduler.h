#ifndef SCHEDULER_H
#define SCHEDULER_H

#include <sys/queue.h>
#include <sys/tree.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "blame.h"
#include "closures.h"
#include "forecast.h"
#include "graph.h"
#include "interference.h"
#include "room.h"
#include "straggler.h"

/*
 * Scheduler of jobs made of steps, run by the leading entry.  The workers are
 * the authority on what runs, the store on which jobs were accepted, cancelled
 * and ended.  A start is therefore not written to the store before it is sent:
 * a new leader polls the workers for what runs there, with its term as the
 * fencing token.
 *
 * The caller reports events and then calls sched_act(), which issues the due
 * requests through struct sched_actions.  Actions only send requests; answers
 * are reported later through the functions below, never from within an action.
 * Times are in milliseconds of the runtime's clock unless a name says
 * otherwise.  CPU amounts are in thousandths of a processor.
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

/* Recent short tasks of a queue, decayed over time; see sched_headroom.c. */
struct sched_demand {
	int64_t since_ms; /* first arrival; 0: none yet */
	int64_t at_ms; /* time to which the sums are decayed */
	double work; /* declared, in thousandths of a processor times ms */
	double tasks;
	double cpu; /* of these tasks, in thousandths of a processor */
};

/* A queue and its terms, which may change while its jobs run. */
struct sched_queue {
	TAILQ_ENTRY(sched_queue) link;
	char name[GRAPH_NAME_MAX];
	struct queue_terms terms;
	double run_ratio; /* learnt ratio of measured to declared run time */
	uint32_t pending; /* jobs that had not begun at the last count */
	struct sched_demand demand;
	bool lasting; /* it has had long-running jobs */
	bool full; /* no headroom at the last measurement */
};

#define PACE_UNKNOWN (-1) /* no answer to a pace order */

enum sched_run_state {
	RUN_STARTING, /* start sent, not answered */
	RUN_UNCONFIRMED, /* no answer to the start: it may still start */
	RUN_RUNNING,
	RUN_STOPPING /* stop answered; the end isn't listed yet */
};

/* Why a run is stopped. */
enum sched_stop_reason {
	STOP_UNCONFIRMED, /* its start had no answer */
	STOP_UNLISTED, /* its worker lists it neither as running nor ended */
	STOP_UNNEEDED, /* found at its worker, and its task is done or over */
	STOP_STALLED, /* it makes no progress */
	STOP_DRAINING, /* moved off a draining worker */
	STOP_LEAVING, /* a short task or filler, moved off a draining worker */
	STOP_THROTTLED, /* moved, as it could not run beside serving tasks */
	STOP_GANG, /* another task of its gang isn't running */
	STOP_DONE, /* another run has completed the task */
	STOP_JOB_ENDED
};

/*
 * One attempt of a task on a worker.  It holds its reservation there until it
 * is settled, that is, certainly over.
 */
struct sched_run {
	TAILQ_ENTRY(sched_run) by_worker;
	TAILQ_ENTRY(sched_run) by_task;
	TAILQ_ENTRY(sched_run) by_copies; /* of runs that may be copied */
	TAILQ_ENTRY(sched_run) by_held; /* while held */
	struct sched_task *task;
	struct sched_worker *worker;
	uint32_t incarnation; /* serial of the one that it was sent to */
	uint32_t attempt;
	enum sched_run_state state;
	bool adopted; /* found at its worker, not started in this term */
	bool lost; /* settled as lost with its worker */
	bool held; /* not sent before the job is saved; see sched_start.c */
	int64_t held_ms; /* since when */
	uint64_t held_change; /* the job's change that saves it */
	int64_t placed_wall_ms; /* when it was placed, ms since 1970 */
	enum straggler_reason copy; /* why it was started beside another */
	bool trial; /* of a worker that has refused starts for want of room */
	bool stop_wanted;
	enum sched_stop_reason stop_reason; /* once it is wanted */
	bool stop_pending; /* a stop is unanswered */
	int64_t stop_at_ms; /* when to send the stop again */
	int64_t listed_ms; /* when the worker last listed it as running */
	int64_t measurement_ms; /* when measurement was last listed */
	int64_t answered_ms; /* when the start or the stop was answered */
	int64_t sent_ms; /* when the start was sent, or placed while held */
	int64_t begun_ms; /* when it was first known to run */
	int64_t over_ms; /* end of that incarnation; 0: it isn't over */
	int64_t deadline_worker_ms; /* the worker refuses the start after it */
	int percent; /* progress, as last listed */
	int64_t percent_ms; /* when percent last rose */
	int first_percent; /* as first listed: it may have resumed */
	int64_t first_percent_ms; /* when that was */
	int measurement; /* tail in ms of a serving task, else cpu in use */
	int pace; /* speed limit in percent, 0 to 100, or PACE_UNKNOWN */
	bool pace_pending; /* a pace order is unanswered */
	int64_t paced_ms; /* when the pace was last changed */
	int64_t on_time_ms; /* serving: last listed below its target */
	int64_t late_since_ms; /* serving: over its target since; 0: not */
	int64_t sampled_ms; /* serving: last tail used by the model */
	bool healthy; /* long-running: it has run well for some time */
};
TAILQ_HEAD(sched_runs, sched_run);

enum sched_task_state {
	SCHED_BLOCKED, /* its step isn't open */
	SCHED_WAITING,
	SCHED_ACTIVE, /* a run of it isn't settled */
	SCHED_DONE
};

/* An incarnation of a worker, as it is known beyond this leader. */
struct incarnation_name {
	char worker[SCHED_WORKER_ID_MAX];
	int64_t started_ms; /* as it tells it, ms since 1970; 0: not told */
	char address[SCHED_ADDRESS_MAX];
};

/* An attempt that was lost with its worker, as far as is known. */
struct task_loss {
	uint32_t attempt;
	bool crashed; /* the crash of the worker is confirmed */
	bool begun; /* the worker had listed the task as running */
	int64_t ran_ms; /* at most */
	int64_t known_ms; /* at least, as far as is known */
	struct incarnation_name on; /* until the crash is confirmed */
	/* As it was under way when a former leader saved it; else 0. */
	int64_t placed_wall_ms;
};

/* Failures of a step's tasks since one of them succeeded, in this term. */
struct step_failures {
	uint32_t workers; /* without those on the same as the one before */
	uint32_t last; /* serial of the incarnation of the last one */
};

struct sched_task {
	TAILQ_ENTRY(sched_task) link; /* of the step's waiting tasks */
	struct sched_step *step;
	uint32_t index;
	enum sched_task_state state;
	uint32_t failures; /* those that count against the task */
	uint32_t *failed; /* their attempts, failures of them */
	uint32_t nlosses;
	struct task_loss *losses;
	int64_t losses_ms; /* sum of their run times */
	int64_t survived_ms; /* run time of other ended runs, in this term */
	uint32_t attempt; /* the highest used in this term */
	uint32_t avoid; /* serial of the incarnation where it last failed */
	uint32_t failed_row; /* failures since it succeeded, in this term */
	uint32_t moves; /* moves for lack of progress, in this term */
	uint32_t copies; /* started in this term */
	struct sched_runs runs;
	int64_t not_before_ms; /* may run elsewhere until then, or backs off */
	int64_t since_ms; /* waiting since */
	char *checkpoint; /* the newest known, or NULL */
};
TAILQ_HEAD(sched_tasks, sched_task);

/* How far ahead the load of serving tasks matters; see sched_forecast.c. */
enum load_horizon {
	LOAD_SOON, /* when an order to a filler takes effect */
	LOAD_RAISE, /* while a raised pace is to last */
	LOAD_PLACE, /* while a filler that is placed now runs */
	LOAD_HORIZONS
};

/* Forecast of the load of a step's serving tasks, with cached results. */
struct step_forecast {
	struct forecast forecast;
	int64_t cached_ms; /* time of highest[]; 0: none */
	/* Highest expected within the horizon; at LOAD_SOON the load then. */
	double highest[LOAD_HORIZONS];
};

struct sched_step {
	struct sched_occurrence *occurrence;
	const struct graph_step *spec;
	int image; /* its number in struct interference */
	struct load_estimate load; /* of its tasks, if they serve */
	struct step_forecast *forecast; /* of that load; NULL: none yet */
	uint32_t number;
	uint32_t ndone;
	uint32_t nactive;
	uint32_t nended; /* runs that ended as done, in this term */
	int64_t ended_ms; /* sum of their run times */
	struct step_failures failing; /* see sched_health.c */
	bool open; /* the steps it depends on are done */
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

/* When a job was stored: decides which leaders may have started its tasks. */
enum sched_origin {
	ORIGIN_NEW, /* after the former leader stopped acting: only this one */
	ORIGIN_OVERLAP, /* in this term, while the former leader may act */
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
	bool absent; /* not in the store: kept to stop its runs */
	bool begun; /* a task has started */
	bool dirty; /* in the list of jobs to be saved */
	bool save_soon; /* something waits for it */
	uint64_t losses_change; /* the change that saves its tasks' losses */
	uint64_t change; /* number of the last change to be saved */
	uint64_t saved; /* last change that the store has */
	int64_t submitted_ms;
	int64_t ended_ms;
	double rank; /* waiting jobs are placed by it, highest first */
	uint32_t nactive; /* runs not settled */
	uint32_t nwaiting; /* waiting tasks of open steps */
	uint32_t occurrences_done;
	uint32_t noccurrences; /* created so far, ordered by due time */
	struct sched_occurrence **occurrences;
	void *data; /* the caller's */
};
RB_HEAD(sched_job_tree, sched_job);
TAILQ_HEAD(sched_jobs, sched_job);

/*
 * A run listed by its worker that this leader doesn't know.  Either its job
 * isn't known yet and is looked up in the store, or the run isn't needed and is
 * stopped.
 */
struct sched_stray {
	SLIST_ENTRY(sched_stray) link;
	struct task_name task;
	uint32_t attempt;
};
SLIST_HEAD(sched_strays, sched_stray);

/* End of a run that a worker has listed, not acknowledged to it yet. */
struct sched_end {
	STAILQ_ENTRY(sched_end) link;
	uint64_t number;
	struct task_name task;
	struct sched_job *job; /* NULL: nothing to save */
	uint64_t change; /* may be acknowledged once this is saved */
};
STAILQ_HEAD(sched_ends, sched_end);

/* Serving tasks of one image on a worker. */
#define SCHED_SERVED_MAX 16
struct sched_served {
	int image;
	int n; /* tasks */
	int64_t target_ms; /* the lowest of their targets */
	/* The highest of their steps, without fillers; 0: not known. */
	double load[LOAD_HORIZONS];
	double filler_load; /* relative rise of load caused by fillers */
};

/* Use of a worker by fillers of one image, as a share of its processors. */
#define SCHED_FILLER_USAGE_MAX 16
struct sched_filler_usage {
	int filler; /* image */
	double now;
	double recent; /* mean while the last listed tails were measured */
};

/* What the worker record in the store tells the next leader of a worker. */
enum worker_record {
	RECORD_NONE, /* not listed: no leader has used it */
	RECORD_IN_USE, /* any task may be started there at any time */
	RECORD_CLOSED, /* no task is started there any more */
	RECORD_EXPIRING /* closed, and its lease isn't renewed */
};
#define RECORD_BIT(record) (1U << (record))

/* Starts that a worker has refused for want of room; see sched_refusal.c. */
struct sched_refusals {
	uint32_t count; /* since a start was last taken there; 0: none */
	int64_t since_ms; /* the first of them */
	int64_t pause_ms; /* length of the present pause */
	int64_t trial_ms; /* end of the pause */
	bool trial_due; /* the next task placed there is a trial */
};

/*
 * What holds for one incarnation of a worker only.  A worker that restarts may
 * keep its id, and then holds and knows nothing of before and counts its ends
 * and its time anew; so all of this is replaced at once (sched_incarnation.c).
 */
struct sched_incarnation {
	uint32_t serial; /* never used for another incarnation or worker */
	int64_t started_ms; /* its start as it tells it; 0: not told */
	bool fenced; /* has answered a poll of this term */
	bool dead; /* certainly over */
	bool lapsed; /* silent, and the leases of all runs have expired */
	bool leaving; /* its entry says that it drains */
	int64_t doubted_ms; /* since then the list tells another start; 0: no */
	bool former_orders; /* may hold leases meant for the former one */
	struct sched_strays strays; /* of the last poll */
	uint32_t unneeded; /* strays that aren't needed */
	uint32_t misses; /* consecutive calls without an answer */
	int64_t silent_ms; /* when the first of them was given up */
	int64_t up_ms; /* until when it was surely up, in this silence */
	uint32_t noted_misses; /* after which losses here were last noted */
	int64_t heard_ms; /* time of the last answer; 0: never */
	int64_t clock_ms; /* its clock, as of heard_ms */
	int64_t granted_ms; /* latest lease end sent, on its clock */
	int64_t expires_ms; /* recorded lease expiry; 0: not known */
	struct sched_ends ends;
	bool more_ends; /* listed ones that aren't in ends yet, or unlisted */
	uint64_t processed; /* ends up to this number are processed */
	uint64_t acknowledged; /* ends up to this one are acknowledged */
	uint32_t failed_row; /* consecutive jobs that failed there */
	const struct sched_job *failed_job; /* the last; only compared */
	int64_t probe_ms; /* unused until then, then one task at a time */
	int64_t isolated_until_ms; /* a suspect task runs there alone */
	struct sched_refusals refusals;
	double speed; /* measured over declared run time; 1: normal */
	int64_t paced_ms; /* when a pace here was last changed */
	int64_t late_ms; /* when a serving task was last over its target */
	int64_t late_since_ms; /* a serving task is late since; 0: none */
	double load_ratio; /* highest load over limit, at the last poll */
	struct sched_filler_usage usages[SCHED_FILLER_USAGE_MAX];
	size_t nusages;
	int64_t usages_ms; /* when they were last updated */
};

struct sched_worker {
	RB_ENTRY(sched_worker) by_id;
	RB_ENTRY(sched_worker) by_due; /* while in_due_tree */
	LIST_ENTRY(sched_worker) unsaved_link; /* while ends isn't empty */
	bool in_due_tree;
	int64_t due_ms; /* when worker_run() is due; 0: at once */
	char id[SCHED_WORKER_ID_MAX]; /* its incarnations may share it */
	char service[GRAPH_NAME_MAX];
	char address[SCHED_ADDRESS_MAX];
	char data_center[GRAPH_NAME_MAX];
	char labels[SCHED_LABELS_MAX][GRAPH_NAME_MAX]; /* kind and rack */
	size_t nlabels;
	uint32_t serial; /* never used for another record */
	struct room room;
	int64_t filler_cpu; /* requested by the fillers here */
	int64_t serving_cpu; /* reserved by the serving tasks here */
	uint32_t serving; /* tasks with a tail target here */
	struct sched_served served[SCHED_SERVED_MAX]; /* their images */
	size_t nserved;
	struct sched_runs runs;
	struct sched_incarnation inc; /* the present one */
	int64_t listed_start_ms; /* start told by its entry in the list */
	int64_t entry_clock_ms; /* its clock as it wrote that; 0: not told */
	int64_t entry_read_ms; /* when that entry was first read */
	bool listed;
	uint64_t list_number; /* the caller's: of the call that listed it */
	bool guards_room; /* it refuses what it has no room for */
	unsigned int record_may; /* RECORD_BIT()s the store may hold */
	enum worker_record record_wanted;
	bool record_empty; /* the record lists no tasks of it */
	enum worker_record inherited; /* as earlier leaders recorded it */
	struct task_name *inherited_tasks; /* recorded too; NULL: any task */
	size_t ninherited_tasks;
	int64_t inherited_start_ms; /* started_ms of sched_inherited */
	int64_t record_start_ms; /* told by the last write of the record */
	int64_t stored_start_ms; /* the store is known to hold it */
	bool draining;
	bool closed; /* its data centre is closed by operators */
	int64_t leaves_ms; /* earliest departure while draining; 0: unknown */
	bool poll_pending;
	int64_t poll_sent_ms;
	int64_t poll_wait_ms; /* how long the worker may hold its answer */
	int64_t next_poll_ms;
	uint32_t poll_incarnation; /* serial of the one last polled */
	uint64_t poll_acknowledged; /* by the last poll */
	int64_t poll_deadline_ms; /* granted by the last poll; 0: none */
	bool poll_guarded; /* the last poll may reach another incarnation */
};
RB_HEAD(sched_worker_tree, sched_worker);
RB_HEAD(sched_due_tree, sched_worker);

/* A run in the answer to a poll. */
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
	int64_t started_ms; /* the worker's start, ms since 1970; 0: not told */
	int64_t clock_ms;
	const struct poll_running *running;
	size_t nrunning;
	const struct poll_finished *finished;
	size_t nfinished;
};

enum worker_answer {
	ANSWER_OK,
	ANSWER_LOST, /* no answer: the worker may still act on the request */
	ANSWER_NOT_SENT, /* nothing reached the worker */
	ANSWER_FENCED, /* it has seen a higher term: we are deposed */
	ANSWER_OLD, /* that attempt, or a later one, is over there */
	ANSWER_LATE, /* the order's deadline had passed */
	ANSWER_NO_ROOM,
	ANSWER_UNHEALTHY, /* nothing was done */
	ANSWER_OTHER_INCARNATION, /* another incarnation is at that address */
	ANSWER_REFUSED /* malformed request: nothing was done */
};

/* Evidence that an incarnation of a worker has ended, with its runs. */
enum sched_loss {
	LOSS_SILENT, /* none yet: it doesn't answer */
	LOSS_OTHER_INCARNATION, /* another one answers at its address */
	LOSS_LAPSED, /* silent until all leases there had certainly expired */
	LOSS_CONFIRMED, /* expired, and another one came to its address */
	LOSS_REFUTED /* expired, but it answers again */
};

/* Report of a run lost with its worker, or of later evidence about it. */
struct sched_lost {
	const struct sched_task *task;
	const char *worker;
	uint32_t attempt;
	enum sched_loss cause;
	int64_t ran_ms; /* at most */
	uint32_t crashes; /* likely crashes of workers that had the task */
	uint32_t sure; /* confirmed ones while the task was running */
	enum blame blame; /* of the task */
};

struct sched_actions {
	void (*start)(struct sched *, struct sched_run *, void *ctx);
	void (*stop)(struct sched *, struct sched_worker *,
	    const struct task_name *, uint32_t attempt, enum sched_stop_reason,
	    void *ctx);
	void (*pace)(
	    struct sched *, struct sched_run *, int percent, void *ctx);
	/*
	 * Request the list of running tasks and of the ends after
	 * worker->poll_acknowledged.  deadline_worker_ms renews the lease; 0:
	 * the lease isn't renewed.
	 */
	void (*poll_worker)(struct sched *, struct sched_worker *,
	    int64_t deadline_worker_ms, int64_t wait_ms, void *ctx);
	/*
	 * worker->record_wanted changed: write it to the worker record and
	 * report the write with sched_worker_recorded().
	 */
	void (*record)(struct sched *, struct sched_worker *, void *ctx);
	/*
	 * A worker listed an unknown job: look it up in the store, then add it
	 * as open, ended or absent.
	 */
	void (*unknown)(struct sched *, const char *job, void *ctx);
	/* A silent worker's lease expired: nruns tasks may run elsewhere. */
	void (*lapsed)(
	    struct sched *, struct sched_worker *, size_t nruns, void *ctx);
	/* A run was lost with its worker, or there is new evidence of it. */
	void (*lost)(struct sched *, const struct sched_lost *, void *ctx);
	/* An unlisted worker runs nothing: it may be removed from the store. */
	void (*forget_worker)(struct sched *, struct sched_worker *, void *ctx);
	/* Jobs wait to be saved: see sched_next_dirty(). */
	void (*save)(struct sched *, void *ctx);
	/*
	 * The ended job has passed keep_ms: remove it from the store.  Returns
	 * false if that isn't possible now; the job is then kept a while.
	 */
	bool (*forget)(struct sched *, const char *job, void *ctx);
	/* A worker has seen a higher term: send nothing more. */
	void (*deposed)(struct sched *, void *ctx);
	/*
	 * A worker begins to refuse starts for want of room.  over: its room is
	 * known again, after worker->inc.refusals.count of them.
	 */
	void (*no_room)(
	    struct sched *, struct sched_worker *, bool over, void *ctx);
};

struct sched_options {
	uint64_t term; /* of this leader, the fencing token */
	int64_t taken_ms; /* when the term began */
	int64_t lease_ms; /* of running tasks, renewed by polls */
	int64_t lease_max_ms; /* workers shorten longer ones to this */
	int64_t former_ms; /* a former leader may act this long into it */
	int64_t keep_ms; /* how long ended jobs are kept */
	int64_t wall_offset_ms; /* added to ms since 1970 gives our time */
	int64_t harm_ms; /* lateness at which a serving task is in breach */
	int64_t entry_max_ms; /* tasks start by a worker's entry of this age */
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
	uint64_t restarts; /* of workers under their ids */
	uint64_t stops;
	uint64_t paces;
	uint64_t moves; /* of long-running tasks off draining workers */
	uint64_t copies[STRAGGLER_REASONS]; /* started, by reason */
	uint64_t copies_won; /* ended before the run that they copied */
	uint64_t copies_lost;
	uint64_t leaving_moves; /* of other tasks off draining workers */
	uint64_t stalled; /* runs found without progress */
	uint64_t rests; /* of workers, after failures */
	uint64_t suspects; /* steps found to fail on any worker */
	uint64_t given_up; /* jobs failed because they crash workers */
};

/* Why nothing may be started on a worker; the first that holds. */
enum worker_bar {
	BAR_NONE,
	BAR_GONE, /* not listed, or certainly over */
	BAR_DRAINING,
	BAR_CLOSED, /* its data centre is closed by operators */
	BAR_SILENT, /* its last call has no answer */
	BAR_UNRECORDED, /* the store doesn't hold that it is in use */
	BAR_RUNS_UNKNOWN, /* not all that runs there is accounted for */
	BAR_RESTARTED, /* its entry is that of a former incarnation */
	BAR_FAILING, /* its last runs failed: it rests */
	BAR_CLOSURES_UNKNOWN, /* which data centres are closed isn't known */
	BAR_ROOM_UNKNOWN, /* its entry is too old */
	BARS
};

/* Summary of the fleet, for logs. */
struct sched_load {
	uint32_t usable; /* workers that accept tasks */
	uint32_t barred[BARS]; /* workers by what bars starts there */
	uint32_t unsettled; /* may run unknown tasks of a former leader */
	uint32_t workers;
	int64_t cpu; /* capacity of the usable ones */
	int64_t claimed; /* of it by tasks that aren't fillers */
	int64_t fillers; /* requested by fillers */
	uint32_t waiting; /* tasks that may start */
	uint32_t waiting_fillers;
	uint32_t running;
	uint32_t serving;
	uint32_t late; /* serving tasks over their target */
	uint32_t paced; /* throttled fillers */
	/* Of serving loads, root mean squares over the tasks; 0: not known. */
	double forecast_error;
	double last_error; /* if the last value were used */
};

struct sched {
	struct sched_options opt;
	struct sched_job_tree jobs;
	struct sched_jobs open;
	struct sched_jobs ended; /* oldest first */
	uint32_t nabsent; /* of these, marks of jobs that aren't stored */
	struct sched_jobs dirty;
	struct sched_jobs ending; /* ended, their tasks not freed yet */
	struct sched_worker_tree workers;
	struct sched_due_tree workers_by_due; /* the same by due_ms */
	LIST_HEAD(, sched_worker) unsaved; /* with ends to acknowledge */
	bool any_saved; /* since the last worker_run_due() */
	int64_t repeats_ms; /* next check for due occurrences */
	int64_t silent_ms; /* when the silent workers were last counted */
	TAILQ_HEAD(, sched_queue) queues;
	uint32_t next_serial;
	bool frozen; /* another may lead: renew and start nothing */
	struct closure_set closed; /* data centres closed by operators */
	bool closures_unknown; /* others may have been closed: start nothing */
	bool rooms_unknown; /* those of workers whose entries tell no time */
	bool store_unavailable; /* poll less often */
	uint32_t starts_allowed; /* by the link, in the next sched_act() */
	bool link_full; /* poll workers that can wait less often */
	bool most_silent; /* presumably our link is down: keep workers */
	bool place_wanted;
	int64_t place_ms; /* next placement pass, unless wanted earlier */
	int64_t place_min_ms; /* no placement pass before this */
	int64_t drain_pass_ms; /* next pass over draining workers */
	int64_t leave_pass_ms; /* the same for short tasks there */
	uint32_t leave_skip; /* runs that the next one skips: examined before */
	int64_t copy_pass_ms; /* next pass over runs that may be copied */
	struct sched_runs copyable; /* runs whose step allows copies */
	struct sched_runs held; /* runs whose start waits for a save */
	uint32_t ncopies; /* runs that are copies */
	uint32_t nshort; /* runs of tasks that end, without fillers */
	bool short_task_waits; /* such a task found no room in the last pass */
	bool deposed;
	/* Workers that earlier leaders used and that haven't answered: */
	uint64_t unsettled; /* sum of their hashes; 0: none */
	bool any_task_inherited; /* any task may run on one */
	bool former_leader_active; /* the last leader may start tasks on one */
	bool record_lost; /* which workers these are isn't known */
	uint64_t *inherited_hashes; /* tasks that may run there, sorted */
	size_t ninherited_hashes;
	int64_t next_ms; /* when sched_act() is due at the latest */
	uint64_t random;
	struct interference *interference;
	struct forecast_cycle cycle; /* of the serving tasks' loads */
	double serving_use; /* learnt share of reserved CPU in use, serving */
	double batch_use; /* the same for all other tasks */
	struct blame_rate crash_rate; /* of workers */
	LIST_HEAD(, sched_lost_incarnation)
	lost_incarnations; /* whose crash isn't confirmed */
	int64_t use_decayed_ms; /* when serving_use last decayed */
	struct sched_counts counts;
};

struct sched *sched_open(const struct sched_options *);
void sched_close(struct sched *);

/* Queues.  Creates the queue with these terms if needed; NULL: no memory. */
struct sched_queue *sched_queue_get(
    struct sched *, const char *name, const struct queue_terms *);

/*
 * Jobs.  Takes ownership of the graph; NULL: no memory, or a known job.  A mark
 * that there is no such job is replaced.
 */
struct sched_job *sched_job_add(struct sched *, struct graph *,
    int64_t submitted_ms, enum sched_origin, int64_t now_ms);
/* The same for an ended job, of which only its id and state are known. */
struct sched_job *sched_job_add_ended(
    struct sched *, const char *id, enum sched_job_state, int64_t ended_ms);
/*
 * The store has no such job: its runs are stopped.  The mark is kept for
 * keep_ms, like an ended job, from the last call on.
 */
void sched_job_add_absent(struct sched *, const char *id, int64_t now_ms);
struct sched_job *sched_job_find(struct sched *, const char *id);
/* Load what a former leader saved, before the first sched_act(). */
void sched_load_occurrence_done(struct sched_job *, uint32_t number);
void sched_load_task(struct sched_job *, uint32_t number, uint32_t step,
    uint32_t index, bool done);
void sched_load_failure(struct sched_job *, uint32_t number, uint32_t step,
    uint32_t index, uint32_t attempt);
void sched_load_loss(
    struct sched_job *, const struct task_name *, const struct task_loss *);
/*
 * The incarnation with which a loss that was loaded may have been lost.
 * placed_wall_ms: if the run was under way, when it was placed; else 0.
 */
void sched_load_lost_with(struct sched_job *, const struct task_name *,
    uint32_t attempt, const struct incarnation_name *, int64_t placed_wall_ms);
void sched_load_checkpoint(struct sched_job *, uint32_t number, uint32_t step,
    uint32_t index, const char *checkpoint);
/* The rate of crashes that the former leader saw; at_ms is ignored. */
void sched_load_crash_rate(
    struct sched *, const struct blame_rate *, int64_t now_ms);
/* Loading is complete: open the steps that may run. */
void sched_load_end(struct sched *, int64_t now_ms);
/* Save the losses of the job's tasks as soon as possible. */
void sched_job_save_losses(struct sched *, struct sched_job *);
/* A loss of a task isn't known to be in the store. */
bool sched_job_has_unsaved_losses(const struct sched_job *);
/* For saving: whether the run is among the losses of its task. */
bool sched_run_may_be_lost(const struct sched_run *);
/* Sets with which incarnation it may have been lost. */
void sched_loss_set_worker(struct task_loss *, const struct sched_worker *);
void sched_job_cancel(struct sched *, struct sched_job *, int64_t now_ms);
/* Calls the function for each step of the occurrences that are not done. */
void sched_job_each_step(const struct sched_job *,
    void (*)(struct sched_step *, void *ctx), void *ctx);
/* State to report to callers: an end only once it is saved. */
enum sched_job_state sched_job_visible_state(const struct sched_job *);
const char *sched_job_state_name(enum sched_job_state);

void sched_task_name(const struct sched_task *, struct task_name *);
/* Whether it is the first attempt of its task in this term. */
bool sched_run_is_first(const struct sched *, const struct sched_run *);

/* Saving. */
struct sched_job *sched_next_dirty(struct sched *); /* removed from the list */
void sched_dirty_again(struct sched *, struct sched_job *);
/* The store has the job as of that change. */
void sched_saved(
    struct sched *, struct sched_job *, uint64_t change, int64_t now_ms);

/* Workers. */
struct sched_worker *sched_worker_find(struct sched *, const char *id);
struct sched_worker *sched_worker_get(struct sched *, const char *id);
/*
 * The list of workers tells this start of the worker.  Call it before
 * sched_worker_listed().  Its entry may be that of an incarnation that is over,
 * as a worker without the store can't replace it, so the next poll decides.
 */
void sched_worker_list_start(
    struct sched *, struct sched_worker *, int64_t started_ms, int64_t now_ms);
void sched_worker_listed(struct sched *, struct sched_worker *,
    const struct resources *, bool draining, int64_t leaves_ms, int64_t now_ms);
/* Its entry tells that it was written at this time of the worker's clock. */
void sched_worker_entry_written(
    struct sched_worker *, int64_t clock_ms, int64_t now_ms);
/* Age of the entry at most; -1: not known. */
int64_t sched_entry_age_ms(const struct sched_worker *, int64_t now_ms);
void sched_worker_unlisted(
    struct sched *, struct sched_worker *, int64_t now_ms);
/* A write of record_wanted has been sent. */
void sched_worker_recording(
    const struct sched *, struct sched_worker *, int64_t now_ms);
/* The store is known to hold this. */
void sched_worker_recorded(struct sched_worker *, enum worker_record);

/* What the worker record of an earlier leader says of a worker. */
struct sched_inherited {
	enum worker_record record;
	int64_t lease_left_ms; /* RECORD_EXPIRING: until all leases expired */
	bool tasks_known; /* only these may run there */
	const struct task_name *tasks;
	size_t ntasks;
	/*
	 * Start of the incarnation whose leases the row bounds: by
	 * lease_left_ms, otherwise by the usual lease.  0: the worker tells
	 * none.
	 */
	int64_t started_ms;
};
/* Any incarnation may hold the longest lease. */
#define SCHED_START_UNKNOWN (-1)
/* lease_left_ms bounds the leases of all incarnations. */
#define SCHED_START_ANY (-2)
void sched_worker_inherit(
    struct sched_worker *, const struct sched_inherited *, int64_t now_ms);
/*
 * The worker record can't be read: until all leases of former leaders have
 * expired, any task may run on an unknown worker.
 */
void sched_record_lost(struct sched *);
/* Tasks that may run there, for the record; false: any task may. */
bool sched_worker_each_task(const struct sched_worker *,
    void (*)(const struct task_name *, void *ctx), void *ctx);
/* Time until the leases of all runs there have certainly expired, or 0. */
int64_t sched_worker_lease_left_ms(
    const struct sched *, const struct sched_worker *, int64_t now_ms);
/* No usual lease is counted: another incarnation may have taken orders. */
bool sched_worker_may_hold_longest_lease(const struct sched_worker *);
/* The start to record with record_wanted, as in struct sched_inherited. */
int64_t sched_worker_record_start(
    const struct sched *, const struct sched_worker *, int64_t now_ms);
/* Whether no unknown run of a former term can be there. */
bool sched_worker_settled(const struct sched_worker *);
/* Number of runs there that aren't settled. */
size_t sched_worker_nruns(const struct sched_worker *);
bool sched_worker_has_label(const struct sched_worker *, const char *);

/* Answers of workers. */
void sched_start_answered(struct sched *, struct sched_worker *,
    const struct task_name *, uint32_t attempt, enum worker_answer,
    int64_t clock_ms, int64_t now_ms);
/* incarnation: worker->inc.serial when the stop was sent. */
void sched_stop_answered(struct sched *, struct sched_worker *,
    uint32_t incarnation, const struct task_name *, uint32_t attempt,
    enum worker_answer, int64_t clock_ms, int64_t now_ms);
void sched_poll_answered(struct sched *, struct sched_worker *,
    enum worker_answer, const struct poll_result *, int64_t now_ms);
/*
 * Ends from an answer that came after its call had been given up.  Its list of
 * running tasks may be outdated and is ignored; ends stay valid.
 */
void sched_late_ends_reported(struct sched *, struct sched_worker *,
    const struct poll_result *, int64_t now_ms);
void sched_pace_answered(struct sched *, struct sched_worker *,
    const struct task_name *, uint32_t attempt, enum worker_answer,
    int64_t now_ms);

/*
 * Capacity for new long-running jobs beside short tasks, in thousandths of a
 * processor.
 */
struct sched_headroom {
	bool full; /* there is none */
	int64_t left; /* free on workers where a short task fits */
	int64_t lent; /* in use by short tasks */
	int64_t owed; /* requested by long-running tasks that don't run */
	int64_t need; /* of short tasks; 0: none arrive */
	int64_t piece; /* of one short task */
};
void sched_measure_headroom(struct sched *, const struct sched_queue *,
    struct sched_headroom *, int64_t now_ms);

void sched_measure(struct sched *, struct sched_load *, int64_t now_ms);

/* What keeps a waiting task from being started. */
enum sched_wait {
	WAIT_NONE, /* no task waits */
	WAIT_FROZEN, /* another entry may lead */
	WAIT_BACKOFF, /* its last run failed, didn't start or was lost */
	WAIT_INHERITED, /* it may run on a worker that hasn't answered */
	WAIT_CLOSURES, /* which data centres are closed isn't known */
	WAIT_ROOMS, /* the room of workers isn't known well enough */
	WAIT_WORKERS, /* no usable worker has room or is suitable */
	WAIT_TURN /* a worker has room: it waits for the next pass */
};

/* The task that has waited longest, for logs. */
struct sched_waiting {
	int64_t now_ms;
	enum sched_wait cause;
	struct task_name task;
	uint32_t step_tasks; /* of its step, waiting too */
	int64_t waited_ms;
	uint32_t usable; /* workers that accept tasks */
	uint32_t with_room; /* of these, with room for it */
	uint32_t with_known_room; /* of these, whose room is known */
};
void sched_explain_waiting(
    struct sched *, struct sched_waiting *, int64_t now_ms);

/* The data centres that are closed by operators; the set is copied. */
void sched_set_closures(struct sched *, const struct closure_set *);
/* Workers that are listed in the data centre, and the runs on all there. */
void sched_count_data_center(
    const struct sched *, const char *, uint32_t *workers, uint32_t *runs);
/* All workers of the service are in closed data centres. */
bool sched_all_closed(const struct sched *, const char *service);

/* Issue all due requests.  Call it after events and at sched->next_ms. */
void sched_act(struct sched *, int64_t now_ms);

RB_PROTOTYPE(sched_job_tree, sched_job, by_id, sched_job_cmp)
RB_PROTOTYPE(sched_worker_tree, sched_worker, by_id, sched_worker_cmp)
int sched_job_cmp(struct sched_job *, struct sched_job *);
int sched_worker_cmp(struct sched_worker *, struct sched_worker *);

#endif /* SCHEDULER_H */
