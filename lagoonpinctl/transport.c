#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define CONNECT_TIMEOUT_MS 1000
#define URL_SIZE (CTL_PATH_SIZE + SETTING_IP_SIZE + 16)

struct pending {
	struct ctl_answer *answer;
	const struct ctl_request *request;
	bool done;
};

static void copy_header(struct httpc_call *, const char *, char *);
static void on_done(const struct httpc_result *, void *);
static void on_data(struct httpc_call *, const char *, size_t, void *);
static void request_entry(struct ctl *, const struct ctl_request *,
    const struct setting_address *, struct ctl_answer *);
static bool try_next(const struct ctl_request *, const struct ctl_answer *);
static void print_refusal(struct ctl *, const struct ctl_answer *);

int
ctl_open(struct ctl *ctl)
{
	struct httpc_options options = { .loop = &ctl->loop };

	if (uv_loop_init(&ctl->loop) != 0)
		return -1;
	if ((ctl->http = httpc_open(&options)) == NULL)
		return -1;
	return 0;
}

void
ctl_close(struct ctl *ctl)
{
	httpc_close(ctl->http);
	uv_run(&ctl->loop, UV_RUN_DEFAULT);
	uv_loop_close(&ctl->loop);
}

static void
copy_header(struct httpc_call *call, const char *name, char *to)
{
	const char *value;

	if (call == NULL || (value = httpc_response_header(call, name)) == NULL)
		value = "";
	strlcpy(to, value, CTL_HEADER_SIZE);
}

static void
on_done(const struct httpc_result *r, void *ctx)
{
	struct ctl_answer *a;
	struct pending *p;

	p = ctx;
	p->done = true;
	a = p->answer;
	a->error = r->error;
	a->sent = r->sent;
	a->stale = r->stale;
	a->status = r->status;
	copy_header(r->call, "lagoonpin-outcome", a->outcome);
	copy_header(r->call, "lagoonpin-reason", a->reason);
	copy_header(r->call, "lagoonpin-request-id", a->request_id);
	copy_header(r->call, "retry-after", a->retry_after);
	if (r->body == NULL || r->body_len == 0)
		return;
	if ((a->body = malloc(r->body_len + 1)) == NULL)
		err(CTL_UNKNOWN, "answer");
	memcpy(a->body, r->body, r->body_len);
	a->body[r->body_len] = '\0';
	a->len = r->body_len;
}

static void
on_data(struct httpc_call *call, const char *data, size_t len, void *ctx)
{
	struct pending *p;

	p = ctx;
	p->request->on_data(call, data, len, p->request->ctx);
}

static void
request_entry(struct ctl *ctl, const struct ctl_request *r,
    const struct setting_address *entry, struct ctl_answer *a)
{
	struct pending pending = { .answer = a, .request = r };
	struct httpc_request request = { 0 };
	char url[URL_SIZE];

	request.method = r->method;
	request.url = ctl_url(entry, r->path, url, sizeof(url));
	request.headers = r->headers;
	request.nheaders = r->nheaders;
	request.body = r->body;
	request.body_len = r->len;
	request.connect_timeout_ms = CONNECT_TIMEOUT_MS;
	request.timeout_ms =
	    r->timeout_ms < 0 ? ctl->opt.timeout_ms : r->timeout_ms;
	request.on_data = r->on_data == NULL ? NULL : on_data;
	request.on_done = on_done;
	request.ctx = &pending;
	memset(a, 0, sizeof(*a));
	if (httpc_start(ctl->http, &request) == NULL)
		errx(CTL_UNREACHABLE, "out of memory");
	while (!pending.done)
		uv_run(&ctl->loop, UV_RUN_ONCE);
}

/*
 * The next entry may be tried if the request was not sent to this one.  A
 * request that was sent is repeated only if it is idempotent: otherwise the
 * same settlement could run twice, or an operator's own change could be
 * reported as a conflict.
 */
static bool
try_next(const struct ctl_request *r, const struct ctl_answer *a)
{
	if (a->error == HTTPC_OK)
		return false;
	return !a->sent || r->repeatable;
}

void
ctl_call(struct ctl *ctl, const struct ctl_request *r, struct ctl_answer *a)
{
	bool sent;
	size_t i;

	sent = false;
	memset(a, 0, sizeof(*a));
	for (i = 0; i < ctl->opt.entries.n; i++) {
		ctl_answer_free(a);
		request_entry(ctl, r, &ctl->opt.entries.at[i], a);
		sent = sent || a->sent;
		/* The entry may have closed a connection that was idle. */
		if (a->stale && r->repeatable) {
			ctl_answer_free(a);
			request_entry(ctl, r, &ctl->opt.entries.at[i], a);
		}
		if (!try_next(r, a))
			break;
		fprintf(ctl->err, "lagoonpinctl: %s:%d: %s\n",
		    ctl->opt.entries.at[i].ip, ctl->opt.entries.at[i].port,
		    httpc_strerror(a->error));
	}
	a->sent = sent;
}

void
ctl_answer_free(struct ctl_answer *a)
{
	free(a->body);
	memset(a, 0, sizeof(*a));
}

/* Prints error, field and message of the JSON body of a refusal. */
static void
print_refusal(struct ctl *ctl, const struct ctl_answer *a)
{
	const char *error, *field, *message;
	json_t *body;

	body = a->body == NULL ? NULL : json_loads(a->body, 0, NULL);
	error = json_string_value(json_object_get(body, "error"));
	field = json_string_value(json_object_get(body, "field"));
	message = json_string_value(json_object_get(body, "message"));
	fprintf(ctl->err, "lagoonpinctl: %d: %s%s%s%s%s%s%s\n", a->status,
	    error != NULL ? error : "refused", field == NULL ? "" : ": ",
	    field == NULL ? "" : field,
	    message == NULL || *message == '\0' ? "" : ": ",
	    message == NULL ? "" : message,
	    a->retry_after[0] == '\0' ? "" : "; retry after seconds: ",
	    a->retry_after);
	json_decref(body);
}

enum ctl_status
ctl_answer_status(struct ctl *ctl, const struct ctl_answer *a)
{
	if (a->error != HTTPC_OK) {
		fprintf(ctl->err, "lagoonpinctl: %s: %s\n",
		    httpc_strerror(a->error),
		    a->sent ? "outcome unknown" : "no entry responded");
		return a->sent ? CTL_UNKNOWN : CTL_UNREACHABLE;
	}
	if (a->status >= 200 && a->status < 300)
		return CTL_OK;
	print_refusal(ctl, a);
	if (a->status == 502 || a->status == 504)
		return CTL_UNKNOWN;
	if (a->status == 409 && a->body != NULL &&
	    strstr(a->body, "\"conflict\"") != NULL)
		return CTL_CONFLICT;
	return CTL_REFUSED;
}

json_t *
ctl_get(struct ctl *ctl, const char *path, enum ctl_status *status)
{
	struct ctl_request r = { .method = "GET",
		.path = path,
		.repeatable = true,
		.timeout_ms = -1 };
	struct ctl_answer a;
	json_t *body;

	body = NULL;
	ctl_call(ctl, &r, &a);
	/* A read without a response has changed nothing. */
	a.sent = false;
	*status = ctl_answer_status(ctl, &a);
	if (*status == CTL_OK &&
	    (body = json_loadb(a.body, a.len, 0, NULL)) == NULL) {
		fprintf(ctl->err,
		    "lagoonpinctl: %s: the response is not JSON\n", path);
		*status = CTL_REFUSED;
	}
	ctl_answer_free(&a);
	return body;
}
