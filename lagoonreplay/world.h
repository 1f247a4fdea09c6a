#ifndef WORLD_H
#define WORLD_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stdint.h>

#include <gsl/gsl_histogram.h>
#include <gsl/gsl_rng.h>

#include "bind.h"
#include "choose.h"
#include "evict.h"
#include "health.h"
#include "learn.h"
#include "trace.h"

/*
 * What a trace says happens: VMs, tasks and calls, and the measurements of
 * them that arrive late.  A policy sees only what is marked so.
 */

#define WORLD_STEP_MS 1000
#define WORLD_CHECKPOINT_MS 5000 /* a task is away so long to checkpoint */
#define WORLD_FAIL_MS 2000 /* a task that fails does so after this */
#define WORLD_ATTEMPTS 12 /* failures of a task before it is given up */
#define WORLD_WINDOW_CALLS 512 /* latencies kept for each window */
#define WORLD_VM_TASKS 120

enum task_state {
	TASK_WAITING,
	TASK_RUNNING,
	TASK_CHECKPOINTING, /* on its VM, not getting on */
	TASK_DONE,
	TASK_GIVEN_UP,
	TASK_CANCELLED
};

struct job;
struct vm;
struct world;

struct task {
	TAILQ_ENTRY(task) link; /* waiting tasks, or those of a VM */
	struct job *job;
	struct vm *vm;
	enum task_state state;
	uint64_t tenant; /* of this attempt */
	int percent;
	int evictions;
	int failures;
	bool resumed;
	int last_vm; /* where it failed or was evicted, or -1 */
	bool probe; /* it is the probe of a failing worker */
	double done; /* 0-1 of its run */
	double saved; /* of that, at its last checkpoint */
	int64_t started_ms;
	int64_t until_ms; /* of a checkpoint or of a failure to come; 0 */
	int64_t waiting_ms; /* since when it waits */
	double throttled_ms; /* full speed time lost to throttling */
	struct resources reserved; /* on its VM */
};

TAILQ_HEAD(task_list, task);

struct job {
	const struct trace_job *trace;
	uint64_t hash;
	int kind; /* as learnt */
	bool accepted;
	int running;
	int64_t missed_ms; /* the step in which a task of it fitted nowhere */
	bool cancelled;
	struct task *tasks;
	struct learn_job learnt;
	struct health_job health;
};

struct vm {
	const struct trace_worker *trace;
	int index;
	bool lost; /* truth */
	bool fails; /* truth: every task fails */
	int64_t lost_ms; /* since when */
	int in_flight; /* truth: calls there */
	double slowdown; /* truth: of the service, as of this step */
	struct task_list tasks;
	struct task_list ahead; /* bound ahead, while the store is away */
	int nahead;
	/* Seen by a policy. */
	struct bind_worker bind;
	struct evict_service service;
	struct learn_worker *learnt;
	/* Calls that ended in the present window. */
	int window_calls;
	float window[WORLD_WINDOW_CALLS];
};

/* What a run came to. */
struct tally {
	double p50_ms, p99_ms;
	double core_hours; /* useful: done or still held as progress */
	double lost_hours; /* work done twice */
	double urgent_p99_ms; /* wait of urgent tasks, before any outage */
	double urgent_wait_ms; /* the longest, outages of the store left out */
	long calls, lost_calls, no_credit;
	long evictions, throttles;
	long task_evictions; /* the most of any one task */
	long done, given_up, failures, out_of_memory;
	double over_vm_s;
	double cost; /* weighted; report.h says how */
};

/* One way of deciding. */
struct policy {
	const char *name;
	const char *about;
	bool learns; /* measurements are given to learn */
	int (*endpoint)(struct world *, int entry);
	/* The index of a worker, or -1; *stop is set if no other task fits. */
	int (*worker)(struct world *, struct task *);
	/* One late measurement of the service on a VM; may be NULL. */
	void (*protect)(
	    struct world *, struct vm *, double p99_ms, int64_t measured_ms);
	/* Late measurements of use on a VM came in; may be NULL. */
	void (*used)(struct world *, struct vm *);
	/* The worker to bind a task ahead to; NULL: in turn. */
	int (*ahead)(struct world *, struct task *);
	void (*tune)(struct world *); /* options of a variant; may be NULL */
};

/* A late report: of a service's p99 or of a task's use. */
struct report {
	int64_t due_ms;
	int64_t measured_ms;
	int vm;
	double calls_share; /* calls here / mean of all VMs */
	double p99_ms;
	struct task *task; /* NULL: of the service */
	uint64_t tenant;
	struct resources used;
};

struct world {
	const struct trace *trace;
	const struct policy *policy;
	int64_t now_ms;
	gsl_rng *nature; /* draws the world, the same for each policy */
	gsl_rng *choices; /* draws for the policy */
	bool store_away;
	int64_t work_counted_ms; /* when bound work was last added up */
	int64_t store_back_ms; /* waits are counted from then at the earliest */
	struct vm *vms;
	struct job *jobs;
	int next_job;
	struct task_list waiting;
	struct resources largest;
	uint64_t attempts;
	/* Reports on their way, first in first out. */
	struct report *reports;
	int nreports, reports_at, reports_size;
	/* Calls in flight, by entry and VM, and those to end. */
	struct choose_endpoint **endpoints; /* entries * VMs, by entry */
	/*
	 * An entry knows the tenants of the VMs of its own racks; of the rest
	 * it learns from its own calls alone.
	 */
	struct learn **entry_learn;
	struct call_end *ends;
	int nends, ends_size;
	float *latencies;
	long nlatencies, latencies_size;
	gsl_histogram *waits; /* of urgent tasks, in seconds */
	int turn; /* of a round robin */
	/* Options of the modules. */
	struct learn *learn; /* of the owners of the racks */
	int service_kind;
	bool reclaim_cpu;
	struct choose_options choose;
	struct bind_options bind;
	struct evict_options evict;
	struct health_options health;
	struct tally tally;
};

/* A call that will end. */
struct call_end {
	double end_ms;
	double ms; /* as the caller sees it */
	double worker_ms; /* without distance; negative: lost */
	int vm;
	int entry;
};

/* NULL without memory. */
struct world *world_open(
    const struct trace *, const struct policy *, unsigned long seed);
void world_run(struct world *);
void world_close(struct world *);

/* world.c: tasks. */
bool world_fits(
    const struct world *, const struct vm *, const struct resources *);
void world_start_task(struct world *, struct task *, int vm_index);
/* A task leaves its VM and is in that state from then on. */
void world_leave(struct world *, struct task *, enum task_state);
/* By a checkpoint, which takes a while, or at once and losing work. */
void world_evict(struct world *, struct task *, bool lose);
/* Count the work since its last checkpoint as lost. */
void world_lose_work(struct world *, const struct task *);
/* It was learnt that a running task takes more: reserve that. */
void world_grow(struct world *, struct task *, const struct resources *);
void world_throttle(struct world *, struct task *, int percent);
uint64_t world_random(struct world *);

/* tasks.c: a step of the tasks and the binding of those that wait. */
void tasks_accept(struct world *);
void tasks_cancel(struct world *);
void tasks_step(struct world *);
void tasks_bind(struct world *);
void tasks_bind_ahead(struct world *);
void tasks_unbind_ahead(struct world *);

/* calls.c */
/* Send and end the calls of one step. */
void calls_step(struct world *);
/* Once the run is over: the percentiles. */
void calls_tally(struct world *);
/* Times of calls, the shortest first. */
void calls_sort(float *ms, size_t n);

/* measure.c */
/* Take the p99 of each VM's window, and what each task uses now. */
void measure_window(struct world *);
void measure_usage(struct world *);
/* Give the policy the reports whose lag is over. */
void measure_deliver(struct world *);

/* faults.c: begin and end what the trace says goes wrong. */
void faults_step(struct world *);

#endif /* WORLD_H */
