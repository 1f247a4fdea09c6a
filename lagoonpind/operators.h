#ifndef OPERATORS_H
#define OPERATORS_H

#include <sys/queue.h>

#include "lagoonpind.h"

/*
 * The operators' API for services, teams and the policy.  operators.c answers
 * reads from memory and validates changes; change.c writes them to the store.
 */

/* A change that is being written to the store. */
struct change;
LIST_HEAD(change_list, change);

struct operators {
	struct entry *entry;
	struct change_list changes;
	uint64_t nchanges; /* since the start; number of the next change */
};

/* A validated change. */
struct change_request {
	enum record_kind kind;
	const char *name;
	int64_t expected_revision; /* 0: the record doesn't exist */
	const struct record *record; /* NULL: delete */
};

/* Takes over the request and answers it when the change is decided. */
void change_start(
    struct operators *, struct httpd_request *, const struct change_request *);
void change_tick(struct operators *, int64_t now_ms);
/* Drop the requests; pending store callbacks free their changes. */
void change_close(struct operators *);

/*
 * Return {"revision":N,"record":{...}}, the record in the given schema (0: its
 * own); NULL if it can't be expressed, with the fault.
 */
struct json_t *operators_record(
    const struct record *, int64_t revision, int schema, struct record_fault *);

/* history.c: answers GET /v1/config/history/KIND/NAME. */
void history_serve(struct entry *, struct httpd_request *, const char *rest);

/* Writes the history key of a record's version to buf, and returns buf. */
const char *operators_history_key(enum record_kind, const char *name,
    int64_t version, char *buf, size_t size);

#endif /* OPERATORS_H */
