#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"
#include "record.h"

#define NHEADERS 6
#define RESPONSE_GRACE_MS 2000 /* beyond the deadline, for the response */

static enum ctl_status outcome_status(const struct ctl_answer *);
static void on_chunk(struct httpc_call *, const char *, size_t, void *);
static void report(struct ctl *, const struct ctl_answer *, const char *);
static size_t make_headers(struct ctl *, struct httpc_header *, char *, char *);
static bool make_body(struct ctl *, char **, size_t *);

static enum ctl_status
outcome_status(const struct ctl_answer *a)
{
	if (a->error != HTTPC_OK)
		return a->sent ? CTL_UNKNOWN : CTL_UNREACHABLE;
	if (strcmp(a->outcome, "answered") == 0)
		return CTL_OK;
	if (strcmp(a->outcome, "not-run") == 0)
		return CTL_REFUSED;
	return CTL_UNKNOWN;
}

static void
on_chunk(struct httpc_call *call, const char *data, size_t len, void *ctx)
{
	struct ctl *ctl;

	(void)call;
	ctl = ctx;
	fwrite(data, 1, len, ctl->out);
	fflush(ctl->out);
}

/* Prints the body unchanged to out and the outcome to err; with --json both
 * in one object. */
static void
report(struct ctl *ctl, const struct ctl_answer *a, const char *id)
{
	const char *outcome;
	json_t *body, *text;

	outcome = a->outcome[0] != '\0'	     ? a->outcome :
	    a->error != HTTPC_OK && !a->sent ? "not-run" :
					       "unknown";
	if (ctl->opt.json) {
		text = a->body == NULL ? json_null() :
					 json_stringn(a->body, a->len);
		body = json_pack("{s:s, s:s, s:s, s:i, s:s, s:o}", "outcome",
		    outcome, "reason",
		    a->error != HTTPC_OK ? httpc_strerror(a->error) : a->reason,
		    "request_id", id, "status", a->status, "retry_after",
		    a->retry_after, "body", text == NULL ? json_null() : text);
		ctl_print_json(ctl->out, body);
		json_decref(body);
		return;
	}
	if (a->body != NULL && strcmp(outcome, "answered") == 0)
		fwrite(a->body, 1, a->len, ctl->out);
	fprintf(ctl->err, "outcome=%s request_id=%s status=%d%s%s%s%s\n",
	    outcome, id, a->status,
	    a->reason[0] == '\0' ? "" : " reason=", a->reason,
	    a->retry_after[0] == '\0' ? "" : " retry_after_s=", a->retry_after);
	if (a->error != HTTPC_OK)
		fprintf(
		    ctl->err, "lagoonpinctl: %s\n", httpc_strerror(a->error));
}

static size_t
make_headers(struct ctl *ctl, struct httpc_header *h, char *deadline, char *id)
{
	size_t n;

	n = 0;
	if (ctl->opt.request_id[0] != '\0')
		strlcpy(id, ctl->opt.request_id, CTL_HEADER_SIZE);
	else
		snprintf(id, CTL_HEADER_SIZE, "ctl-%08" PRIx32 "%08" PRIx32,
		    arc4random(), arc4random());
	snprintf(
	    deadline, CTL_HEADER_SIZE, "%lld", (long long)ctl->opt.deadline_ms);
	h[n].name = "lagoonpin-request-id";
	h[n++].value = id;
	h[n].name = "lagoonpin-deadline-ms";
	h[n++].value = deadline;
	h[n].name = "lagoonpin-idempotent";
	h[n++].value = ctl->opt.idempotent ? "yes" : "no";
	h[n].name = "lagoonpin-priority";
	h[n++].value = ctl->opt.priority == 1 ? "urgent" : "normal";
	if (ctl->opt.team[0] != '\0') {
		h[n].name = "lagoonpin-team";
		h[n++].value = ctl->opt.team;
	}
	if (ctl->opt.watch) {
		h[n].name = "lagoonpin-watch";
		h[n++].value = "yes";
	}
	return n;
}

static bool
make_body(struct ctl *ctl, char **body, size_t *len)
{
	if (ctl->opt.file[0] == '\0') {
		*body = strdup(ctl->opt.body);
		*len = strlen(ctl->opt.body);
	} else {
		*body = ctl_read_file(ctl->opt.file, len);
	}
	if (*body == NULL)
		fprintf(
		    ctl->err, "lagoonpinctl: %s: cannot read\n", ctl->opt.file);
	return *body != NULL;
}

enum ctl_status
call_run(struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	char path[CTL_PATH_SIZE], deadline[CTL_HEADER_SIZE];
	char id[CTL_HEADER_SIZE], *body;
	struct httpc_header headers[NHEADERS];
	struct ctl_request r = { .method = "POST", .path = path };
	struct ctl_answer a;
	enum ctl_status status;

	(void)noun;
	if (!record_name_ok(args->at[0])) {
		fprintf(ctl->err, "lagoonpinctl: \"%s\": not a service name\n",
		    args->at[0]);
		return CTL_USAGE;
	}
	if (!make_body(ctl, &body, &r.len))
		return CTL_USAGE;
	snprintf(path, sizeof(path), "/v1/call/%s", args->at[0]);
	r.body = body;
	r.headers = headers;
	r.nheaders = make_headers(ctl, headers, deadline, id);
	/* An interrupted watch has already printed part of its response. */
	r.repeatable = ctl->opt.idempotent && !ctl->opt.watch;
	r.timeout_ms =
	    ctl->opt.watch ? 0 : ctl->opt.deadline_ms + RESPONSE_GRACE_MS;
	if (ctl->opt.watch)
		r.on_data = on_chunk;
	r.ctx = ctl;
	ctl_call(ctl, &r, &a);
	status = outcome_status(&a);
	report(ctl, &a, id);
	ctl_answer_free(&a);
	free(body);
	return status;
}
