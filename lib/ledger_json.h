#ifndef LEDGER_JSON_H
#define LEDGER_JSON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ledger.h"

/*
 * JSON encoding of a shard's ledger record and of the items in a shard's
 * inbox.  A record with any invalid field is rejected as a whole with the name
 * of the field: using part of a ledger would lose tasks.
 */

#define LEDGER_SCHEMA 1

enum ledger_json_error {
	LEDGER_JSON_OK,
	LEDGER_JSON_ERR_JSON, /* not JSON, or a duplicate field */
	LEDGER_JSON_ERR_SCHEMA, /* unknown schema version */
	LEDGER_JSON_ERR_FIELD, /* missing, of a wrong type or out of range */
	LEDGER_JSON_ERR_MEMORY
};

struct ledger_fault {
	char field[48]; /* such as "attempt", or "" */
	size_t index; /* of the task or job that holds the field */
};

/* A parsed record. */
struct ledger_doc {
	struct ledger_head head;
	struct task_record *tasks;
	size_t ntasks;
	struct ledger_job *jobs; /* id and counts only */
	size_t njobs;
};

enum ledger_json_error ledger_json_parse(
    const char *text, size_t len, struct ledger_doc *, struct ledger_fault *);
void ledger_doc_free(struct ledger_doc *);

/*
 * Writes a record: open, add the tasks and jobs, close.  Returns NULL if out
 * of memory.
 */
struct ledger_text;
struct ledger_text *ledger_text_open(const struct ledger_head *);
void ledger_text_task(struct ledger_text *, const struct task_record *);
void ledger_text_job(struct ledger_text *, const struct ledger_job *);
/*
 * Returns the text, to be freed by the caller, or NULL if any step ran out of
 * memory.  Frees the writer.
 */
char *ledger_text_close(struct ledger_text *);

enum inbox_kind {
	INBOX_JOB, /* count tasks of a job, starting at index first */
	INBOX_TASK, /* a task moved from another shard */
	INBOX_CANCEL /* cancels all tasks of the jobs */
};

struct inbox_item {
	enum inbox_kind kind;
	char job[LEDGER_ID_MAX];
	uint32_t first;
	uint32_t count;
	struct task_record task;
	char (*jobs)[LEDGER_ID_MAX];
	size_t njobs;
};

enum ledger_json_error inbox_item_parse(
    const char *text, size_t len, struct inbox_item *, struct ledger_fault *);
void inbox_item_free(struct inbox_item *);
/* Returns the text, to be freed by the caller, or NULL if out of memory. */
char *inbox_item_text(const struct inbox_item *);

const char *ledger_json_strerror(enum ledger_json_error);

#endif /* LEDGER_JSON_H */
