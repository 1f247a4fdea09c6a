#ifndef TRACE_H
#define TRACE_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stdint.h>

#include "room.h"

/*
 * A recorded trace: one JSON object a line, as docs/POLICY.md describes it.
 * The truths in it (true sizes, the interference of pairs, failures) are
 * known to the replay alone, never to the policies.
 */

#define TRACE_NAME_MAX 64
#define TRACE_KINDS_MAX 32
#define TRACE_CORE_HOUR 3.6e9 /* in 1/1000 core for a millisecond */

enum trace_fault {
	TRACE_WORKER_LOST, /* the VM is gone until until_ms */
	TRACE_RACK_LOST,
	TRACE_WORKER_FAILS, /* every task started there fails */
	TRACE_STORE_AWAY /* nothing new can be bound */
};

enum trace_measure {
	TRACE_P99_MS, /* of calls, as the caller sees them */
	TRACE_EVICTIONS, /* of all tasks together */
	TRACE_TASK_EVICTIONS, /* the most of any one task */
	TRACE_CORE_HOURS, /* useful work of tasks */
	TRACE_OVER_VM_S, /* seconds of VMs beyond what they have */
	TRACE_LOST_CALLS /* calls without an answer */
};

struct trace_head {
	char name[TRACE_NAME_MAX];
	char service[TRACE_NAME_MAX];
	int64_t duration_ms;
	int64_t lag_ms; /* of measurements */
	int64_t window_ms; /* that each measurement covers */
	int64_t list_lag_ms; /* of the list of VMs */
	int64_t deadline_ms; /* of a call */
	int entries;
	int ahead; /* tasks bound ahead on each worker */
	double one_way_ms; /* between data centres */
	double base_ms; /* of a call, undisturbed, median */
	double sigma; /* of its logarithm */
	double target_p99_ms; /* on the worker, distance left out */
	double tail_weight, throughput_weight, eviction_weight;
	struct resources service_sizes; /* taken by the service on each VM */
};

struct trace_worker {
	char id[TRACE_NAME_MAX];
	int rack;
	int data_center;
	int slots;
	struct resources capacity;
};

struct trace_kind {
	char name[TRACE_NAME_MAX];
	/* Slowdown by each processor of another kind: 1 + sum. */
	double by[TRACE_KINDS_MAX];
};

struct trace_load {
	int64_t from_ms;
	double per_s;
};

struct trace_job {
	char id[TRACE_NAME_MAX];
	int64_t at_ms;
	int64_t cancel_ms; /* INT64_MAX: never */
	int kind;
	int tasks;
	int urgent;
	bool fails; /* wherever it runs */
	int max_evictions;
	int64_t run_ms; /* undisturbed */
	int64_t declared_run_ms;
	struct resources declared;
	struct resources truth;
};

struct trace_event {
	enum trace_fault fault;
	int target; /* index of a worker, or a rack */
	int64_t from_ms;
	int64_t until_ms;
};

struct trace_outcome {
	enum trace_measure measure;
	bool at_least; /* else at most */
	double bound;
};

struct trace {
	struct trace_head head;
	struct trace_worker *workers;
	struct trace_kind *kinds; /* the service is kind 0 */
	struct trace_load *loads;
	struct trace_job *jobs;
	struct trace_event *events;
	struct trace_outcome *outcomes;
	int nworkers, nkinds, nloads, njobs, nevents, noutcomes;
	int nracks, ndata_centers;
	char racks[TRACE_NAME_MAX][TRACE_NAME_MAX];
	char data_centers[TRACE_KINDS_MAX][TRACE_NAME_MAX];
};

enum trace_error {
	TRACE_OK,
	TRACE_ERR_OPEN, /* errno says why */
	TRACE_ERR_JSON, /* not JSON */
	TRACE_ERR_TYPE, /* a type of line that we don't know */
	TRACE_ERR_FIELD, /* a field is missing, unknown or out of range */
	TRACE_ERR_NAME, /* a worker, kind, rack or job that isn't there */
	TRACE_ERR_MEMORY,
	TRACE_ERR_EMPTY /* no head, worker, kind or load */
};

/*
 * Read a trace.  On an error *line is the line that is wrong and detail,
 * of TRACE_NAME_MAX bytes, names the field.
 */
enum trace_error trace_read(
    const char *path, struct trace **, int *line, char *detail);
void trace_free(struct trace *);

/* Hours of one core that so many whole runs of a task of the job take. */
double trace_core_hours(const struct trace_job *, double runs);

const char *trace_error_text(enum trace_error);
const char *trace_measure_text(enum trace_measure);

#endif /* TRACE_H */
