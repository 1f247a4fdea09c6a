#ifndef CTL_H
#define CTL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <jansson.h>
#include <uv.h>

#include "httpc.h"
#include "settings.h"

/*
 * Command line client for operators and callers.  A command sends one or
 * more HTTP requests to an entry, prints the response as aligned columns or
 * as JSON, and exits with one of the statuses below.
 */

enum ctl_status {
	CTL_OK = 0,
	CTL_REFUSED = 1, /* the entry refused; nothing was changed */
	CTL_USAGE = SETTINGS_EXIT,
	CTL_UNREACHABLE = 3, /* no entry responded; nothing was changed */
	CTL_CONFLICT = 4, /* the record is not at the expected revision */
	CTL_UNKNOWN = 5, /* outcome unknown: it may have taken effect */
	CTL_NOT_IN_FORCE = 6 /* config wait: deadline passed */
};

#define CTL_PATH_SIZE 512
#define CTL_HEADER_SIZE 128
#define CTL_INPUT_MAX (16 << 20) /* bytes read from a file or stdin */

/* Settings; commands.c lists the ones that each command accepts. */
struct ctl_options {
	struct setting_addresses entries;
	bool json;
	int64_t timeout_ms; /* of one request */
	int64_t revision; /* expected revision; -1: read the current one */
	int64_t schema; /* 0: the schema the record was written in */
	const char *file; /* "-": standard input; "": none */
	const char *team;
	const char *job;
	const char *request_id;
	const char *body;
	int64_t deadline_ms;
	bool idempotent;
	int priority; /* 0: normal, 1: urgent */
	bool watch;
	bool wait; /* until the change is in force everywhere */
};

struct ctl {
	struct ctl_options opt;
	uv_loop_t loop;
	struct httpc *http;
	FILE *out;
	FILE *err;
};

/* transport.c */
struct ctl_request {
	const char *method;
	const char *path; /* from /v1 on */
	const char *body; /* or NULL */
	size_t len;
	const struct httpc_header *headers;
	size_t nheaders;
	/* Idempotent: may be sent to another entry even if the first one may
	 * have carried it out. */
	bool repeatable;
	int64_t timeout_ms; /* 0: none; < 0: opt.timeout_ms */
	httpc_data *on_data; /* NULL: collect the body */
	void *ctx;
};

struct ctl_answer {
	enum httpc_error error;
	bool sent;
	bool stale; /* see struct httpc_result */
	int status;
	char *body;
	size_t len;
	char outcome[CTL_HEADER_SIZE];
	char reason[CTL_HEADER_SIZE];
	char request_id[CTL_HEADER_SIZE];
	char retry_after[CTL_HEADER_SIZE];
};

/* Returns 0, or -1 on failure. */
int ctl_open(struct ctl *);
void ctl_close(struct ctl *);
/* Tries the entries in order until one responds or none is left. */
void ctl_call(struct ctl *, const struct ctl_request *, struct ctl_answer *);
void ctl_answer_free(struct ctl_answer *);
/* Maps a response to an exit status; prints the reason to err unless OK. */
enum ctl_status ctl_answer_status(struct ctl *, const struct ctl_answer *);
/* GETs a path and parses the JSON; on failure NULL with *status set. */
json_t *ctl_get(struct ctl *, const char *path, enum ctl_status *status);

/* targets.c: all live entries, for requests that go to each of them. */
struct ctl_target {
	char id[CTL_HEADER_SIZE];
	struct setting_address address;
};

/*
 * Lists the live entries as reported by one entry; the caller frees
 * *targets.  On failure returns 0 with *status set.
 */
size_t ctl_targets(
    struct ctl *, struct ctl_target **targets, enum ctl_status *status);
/* Formats the URL of a path at an address; returns buf. */
const char *ctl_url(
    const struct setting_address *, const char *path, char *buf, size_t size);

/* fields.c */
/*
 * Sets FIELD=VALUE in an object.  GROUP.FIELD sets a field of a nested
 * object; integers and JSON objects are parsed, any other value is a string;
 * an empty VALUE removes the field.  Returns false on a syntax error.
 */
bool ctl_field_set(json_t *object, const char *text);
/* Reads a file, or standard input for "-", up to CTL_INPUT_MAX bytes. */
char *ctl_read_file(const char *path, size_t *len);

/* print.c */
/* Prints one "field  value" per line, nested fields as GROUP.FIELD. */
void ctl_print_object(FILE *, json_t *object);
/* Prints one line per object of the array, in aligned columns. */
void ctl_print_table(FILE *, json_t *array);
void ctl_print_json(FILE *, json_t *);

/* show.c */
/*
 * GETs a path and prints the response: as JSON with --json, else the array
 * in its field list as a table, or the whole object if list is NULL.
 */
enum ctl_status ctl_show(struct ctl *, const char *path, const char *list);

/* Commands: each prints its result and returns the exit status. */
typedef enum ctl_status ctl_run(
    struct ctl *, const char *noun, const struct settings_args *);
ctl_run record_create, record_show, record_list, record_set, record_delete;
ctl_run job_submit, job_show, job_list, job_cancel;
ctl_run list_show;
ctl_run config_get, config_set, config_history, config_wait;
ctl_run explain_show;
ctl_run call_run;

/* wait.c: waits until the revision is in force on every live entry, at
 * most opt.deadline_ms; prints one line per entry. */
enum ctl_status ctl_wait(struct ctl *, int64_t wanted);

/* commands.c: parses the arguments and runs the command. */
enum ctl_status ctl_main(struct ctl *, int argc, char **argv);

#endif /* CTL_H */
