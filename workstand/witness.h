#ifndef WITNESS_H
#define WITNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * What a whole workstand process saw: how often each task was started and
 * where, and how often each request ran.  All workers of the process report
 * to one witness, so a task that runs on two of them at once is noticed.
 */

struct witness;

struct witness_options {
	size_t tasks_max; /* tasks kept; later ones are only counted */
	size_t requests_max; /* request ids kept; later ones are only counted */
};

struct witness_totals {
	uint64_t tasks; /* task ids seen */
	uint64_t starts; /* attempts that ran */
	uint64_t done; /* attempts that ended well */
	uint64_t two_places; /* starts while another attempt was running */
	uint64_t done_again; /* tasks that ended well more than once */
	uint64_t requests; /* request ids seen */
	uint64_t calls; /* calls that ran */
	uint64_t ran_again; /* calls that ran an id another time */
	uint64_t non_idempotent_again; /* of these, ids marked as such */
	uint64_t not_kept; /* tasks and requests over the bounds */
};

struct witness_start {
	int64_t attempt;
	const char *worker;
	int64_t at_ms;
};

struct witness_task {
	const char *task;
	size_t running; /* places where it runs now */
	size_t most_running; /* at any time */
	size_t done;
	const struct witness_start *starts;
	size_t nstarts;
};

typedef void witness_task_visit(const struct witness_task *, void *ctx);

struct witness *witness_open(const struct witness_options *);
void witness_close(struct witness *);

void witness_task_started(struct witness *, const char *task, int64_t attempt,
    const char *worker, int64_t now_ms);
void witness_task_ended(struct witness *, const char *task, bool done);
/*
 * The worker crashed before its report that the task ended well was
 * acknowledged: nobody may know of that end, so the task may be done once more.
 */
void witness_end_lost(struct witness *, const char *task);

/* An id is non-idempotent when told so or when it starts with "n-". */
void witness_request_ran(struct witness *, const char *id, bool non_idempotent);
/* How often the request ran; 0 for an id never seen. */
uint64_t witness_request_runs(struct witness *, const char *id);

void witness_count(const struct witness *, struct witness_totals *);
void witness_each_task(struct witness *, witness_task_visit *, void *ctx);

#endif /* WITNESS_H */
