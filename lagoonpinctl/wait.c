#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "ctl.h"

/*
 * config wait: polls all live entries concurrently until each has the
 * revision in force or the deadline expires.
 */

#define POLL_INTERVAL_MS 200
#define REQUEST_TIMEOUT_MS 1000
#define URL_SIZE 128
#define REASON_SIZE 160

struct poll_target {
	const struct ctl_target *target;
	struct ctl *ctl;
	struct httpc_call *call; /* NULL: no request in flight */
	int64_t wanted;
	int64_t revision; /* last reported; -1: none */
	bool in_force;
	char reason[REASON_SIZE]; /* why it is not in force */
};

static void send_poll(struct poll_target *);
static void on_done(const struct httpc_result *, void *);
static void read_config(struct poll_target *, json_t *);
static size_t poll_all(struct poll_target *, size_t);
static bool any_in_flight(const struct poll_target *, size_t);
static void on_timer(uv_timer_t *);
static void on_closed(uv_handle_t *);
static void pause_ms(struct ctl *, int64_t);
static enum ctl_status report(
    struct ctl *, const struct poll_target *, size_t, int64_t);

static void
send_poll(struct poll_target *a)
{
	struct httpc_request request = { 0 };
	char url[URL_SIZE];

	request.method = "GET";
	request.url =
	    ctl_url(&a->target->address, "/v1/config", url, sizeof(url));
	request.connect_timeout_ms = REQUEST_TIMEOUT_MS;
	request.timeout_ms = REQUEST_TIMEOUT_MS;
	request.on_done = on_done;
	request.ctx = a;
	a->call = httpc_start(a->ctl->http, &request);
	if (a->call == NULL)
		errx(CTL_REFUSED, "out of memory");
}

static void
on_done(const struct httpc_result *r, void *ctx)
{
	struct poll_target *a;
	json_t *body;

	a = ctx;
	a->call = NULL;
	if (r->error != HTTPC_OK) {
		strlcpy(a->reason, httpc_strerror(r->error), sizeof(a->reason));
		return;
	}
	body = json_loadb(r->body, r->body_len, 0, NULL);
	if (r->status != 200 ||
	    !json_is_integer(json_object_get(body, "revision")))
		strlcpy(a->reason, "malformed response", sizeof(a->reason));
	else
		read_config(a, body);
	json_decref(body);
}

/* A record that the entry refused is not in force there, whatever revision
 * the entry has reached. */
static void
read_config(struct poll_target *a, json_t *body)
{
	json_t *bad, *list;
	size_t i;

	a->revision = json_integer_value(json_object_get(body, "revision"));
	a->in_force = a->revision >= a->wanted;
	snprintf(a->reason, sizeof(a->reason), "has revision %lld in force",
	    (long long)a->revision);
	list = json_object_get(body, "bad_record");
	json_array_foreach(list, i, bad)
	{
		if (json_integer_value(json_object_get(bad, "revision")) >
		    a->wanted)
			continue;
		a->in_force = false;
		snprintf(a->reason, sizeof(a->reason), "refused %s, field %s",
		    json_string_value(json_object_get(bad, "key")),
		    json_string_value(json_object_get(bad, "field")));
	}
}

static bool
any_in_flight(const struct poll_target *list, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (list[i].call != NULL)
			return true;
	}
	return false;
}

/* Returns the number of entries where the revision is not in force. */
static size_t
poll_all(struct poll_target *list, size_t n)
{
	size_t i, missing;

	for (i = 0; i < n; i++) {
		if (!list[i].in_force)
			send_poll(&list[i]);
	}
	while (any_in_flight(list, n))
		uv_run(&list[0].ctl->loop, UV_RUN_ONCE);
	missing = 0;
	for (i = 0; i < n; i++) {
		if (!list[i].in_force)
			missing++;
	}
	return missing;
}

static void
on_timer(uv_timer_t *timer)
{
	*(bool *)timer->data = true;
}

static void
on_closed(uv_handle_t *timer)
{
	*(bool *)timer->data = true;
}

static void
pause_ms(struct ctl *ctl, int64_t ms)
{
	uv_timer_t timer;
	bool fired;

	fired = false;
	uv_timer_init(&ctl->loop, &timer);
	timer.data = &fired;
	uv_timer_start(&timer, on_timer, (uint64_t)ms, 0);
	while (!fired)
		uv_run(&ctl->loop, UV_RUN_ONCE);
	fired = false;
	uv_close((uv_handle_t *)&timer, on_closed);
	while (!fired)
		uv_run(&ctl->loop, UV_RUN_ONCE);
}

static enum ctl_status
report(
    struct ctl *ctl, const struct poll_target *list, size_t n, int64_t wanted)
{
	json_t *rows;
	size_t i, missing;

	missing = 0;
	rows = json_array();
	for (i = 0; i < n; i++) {
		if (!list[i].in_force)
			missing++;
		json_array_append_new(rows,
		    json_pack("{s:s, s:I, s:b, s:s}", "id", list[i].target->id,
			"revision", (json_int_t)list[i].revision, "in_force",
			list[i].in_force, "why",
			list[i].in_force ? "" : list[i].reason));
	}
	if (ctl->opt.json)
		ctl_print_json(ctl->out, rows);
	else
		ctl_print_table(ctl->out, rows);
	json_decref(rows);
	if (missing == 0)
		return CTL_OK;
	fprintf(ctl->err,
	    "lagoonpinctl: revision %lld is not in force on %zu of %zu "
	    "entries\n",
	    (long long)wanted, missing, n);
	return CTL_NOT_IN_FORCE;
}

enum ctl_status
config_wait(struct ctl *ctl, const char *noun, const struct settings_args *args)
{
	const char *bad;
	int64_t wanted;

	(void)noun;
	wanted = strtonum(args->at[0], 1, INT64_MAX, &bad);
	if (bad != NULL) {
		fprintf(ctl->err, "lagoonpinctl: \"%s\": revision is %s\n",
		    args->at[0], bad);
		return CTL_USAGE;
	}
	return ctl_wait(ctl, wanted);
}

enum ctl_status
ctl_wait(struct ctl *ctl, int64_t wanted)
{
	struct ctl_target *targets;
	enum ctl_status status;
	struct poll_target *list;
	int64_t until_ms;
	size_t i, n;

	until_ms = clock_now_ms() + ctl->opt.deadline_ms;
	if ((n = ctl_targets(ctl, &targets, &status)) == 0) {
		free(targets);
		return status;
	}
	if ((list = calloc(n, sizeof(*list))) == NULL)
		err(CTL_REFUSED, "config wait");
	for (i = 0; i < n; i++) {
		list[i].target = &targets[i];
		list[i].ctl = ctl;
		list[i].wanted = wanted;
		list[i].revision = -1;
	}
	while (poll_all(list, n) > 0 &&
	    clock_now_ms() + POLL_INTERVAL_MS < until_ms)
		pause_ms(ctl, POLL_INTERVAL_MS);
	status = report(ctl, list, n, wanted);
	free(list);
	free(targets);
	return status;
}
