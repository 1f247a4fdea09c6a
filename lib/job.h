#ifndef JOB_H
#define JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "room.h"

/*
 * Job records, in schema 1 or 2.  Both are parsed into one struct and written
 * back in the schema of the original record.  Unknown schemas and fields, wrong
 * types and values out of range are rejected with the name of the field.
 */

#define JOB_NAME_SIZE 64 /* bytes of an id or a team, including the NUL */
#define JOB_TASKS_MAX 100000
#define JOB_TEXT_MAX (256 << 10) /* bytes of a record with its payload */
#define JOB_EVICTIONS_UNSET (-1) /* the limit of the policy applies */

enum job_spread { JOB_SPREAD_NONE, JOB_SPREAD_RACK, JOB_SPREAD_DATA_CENTER };

struct job {
	int schema; /* 1 or 2 */
	char id[JOB_NAME_SIZE];
	char team[JOB_NAME_SIZE];
	bool urgent;
	uint32_t tasks;
	struct resources size; /* of each task, as declared */
	int64_t run_ms; /* of each task, as declared */
	int64_t max_evictions;
	enum job_spread spread;
	char *payload; /* JSON text of an object */
};

enum job_error {
	JOB_OK,
	JOB_ERR_TOO_LARGE, /* the text is longer than JOB_TEXT_MAX */
	JOB_ERR_JSON, /* not JSON, or a duplicate field */
	JOB_ERR_SCHEMA, /* missing or unknown */
	JOB_ERR_UNKNOWN_FIELD,
	JOB_ERR_MISSING_FIELD,
	JOB_ERR_VALUE, /* wrong type, out of range, or not an allowed word */
	JOB_ERR_MEMORY
};

struct job_fault {
	char field[64]; /* "" if the error concerns no single field */
};

/* On JOB_OK the caller must call job_free(); on an error *job is zeroed. */
enum job_error job_parse(
    const char *text, size_t len, struct job *job, struct job_fault *);
void job_free(struct job *);
/*
 * Returns the record as JSON in its own schema, to be freed by the caller, or
 * NULL if out of memory.
 */
char *job_text(const struct job *);

/* Returns a fixed word for each error, for responses and counters. */
const char *job_strerror(enum job_error);

#endif /* JOB_H */
