#include <sys/queue.h>

#include <err.h>
#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <uv.h>

#include "clock.h"
#include "httpd.h"
#include "log.h"
#include "settings.h"
#include "vms.h"

#define VM_PATH "/v1/vm/"
#define BODY_MAX ((size_t)16 * 1024 * 1024)

enum fault_mode { FAULT_NONE, FAULT_DOWN, FAULT_SLOW };

/* An answer held back by the slow fault. */
struct delayed {
	LIST_ENTRY(delayed) link;
	struct httpd_request *request;
	uv_timer_t timer;
	int status;
	json_t *answer;
};

struct program {
	uv_loop_t *loop;
	struct setting_address address;
	int64_t lag_ms;
	struct vms *vms;
	struct httpd *httpd;
	enum fault_mode fault;
	int64_t delay_ms;
	uint64_t reads;
	LIST_HEAD(, delayed) delayed;
	uv_signal_t sigterm;
	uv_signal_t sigint;
};

static void arrived(struct httpd_request *, void *);
static bool test_request(struct program *, struct httpd_request *);
static json_t *set_fault(struct program *, const json_t *);
static json_t *act(
    struct program *, struct httpd_request *, const json_t *, int *);
static json_t *outcome(enum vms_error, int *status);
static void reply(struct httpd_request *, int status, json_t *);
static void delay(
    struct program *, struct httpd_request *, int status, json_t *);
static void delay_over(uv_timer_t *);
static void caller_gone(struct httpd_request *, void *);
static void delayed_free(struct delayed *);
static void timer_closed(uv_handle_t *);
static void stopped(uv_signal_t *, int);
static void parse(struct program *, int, char **);

static void
reply(struct httpd_request *request, int status, json_t *answer)
{
	struct httpd_header headers[] = { { "content-type",
	    "application/json" } };
	char *text;

	text = json_dumps(answer, JSON_COMPACT);
	httpd_reply(request, status, headers, 1, text == NULL ? "" : text,
	    text == NULL ? 0 : strlen(text));
	free(text);
	json_decref(answer);
}

static json_t *
outcome(enum vms_error error, int *status)
{
	if (error == VMS_OK)
		return json_pack("{s:s}", "state", "set");
	*status = error == VMS_ERR_UNKNOWN ? 404 :
	    error == VMS_ERR_MEMORY	   ? 500 :
					     400;
	return json_pack("{s:s}", "error", vms_strerror(error));
}

static json_t *
set_fault(struct program *p, const json_t *body)
{
	json_int_t delay_ms, lag_ms;
	const char *mode;

	delay_ms = 0;
	lag_ms = -1;
	if (json_unpack((json_t *)body, "{s:s,s?I,s?I}", "mode", &mode,
		"delay_ms", &delay_ms, "lag_ms", &lag_ms) == -1)
		return NULL;
	if (strcmp(mode, "none") == 0)
		p->fault = FAULT_NONE;
	else if (strcmp(mode, "down") == 0)
		p->fault = FAULT_DOWN;
	else if (strcmp(mode, "slow") == 0)
		p->fault = FAULT_SLOW;
	else
		return NULL;
	p->delay_ms = delay_ms < 0 ? 0 : delay_ms;
	if (lag_ms >= 0)
		vms_set_lag(p->vms, lag_ms);
	return json_pack("{s:s}", "mode", mode);
}

/* What a test sets or asks isn't hit by the faults it sets. */
static bool
test_request(struct program *p, struct httpd_request *request)
{
	json_t *body, *answer;
	const char *data;
	size_t len;

	if (strcmp(httpd_path(request), "/stats") == 0) {
		reply(request, 200,
		    json_pack("{s:I}", "reads", (json_int_t)p->reads));
		return true;
	}
	if (strcmp(httpd_path(request), "/fault") != 0)
		return false;
	data = httpd_body(request, &len);
	body = json_loadb(data, len, 0, NULL);
	answer = set_fault(p, body);
	json_decref(body);
	if (answer == NULL)
		reply(request, 400, json_pack("{s:s}", "error", "bad_fault"));
	else
		reply(request, 200, answer);
	return true;
}

static json_t *
act(struct program *p, struct httpd_request *request, const json_t *body,
    int *status)
{
	const char *path;
	bool post;

	path = httpd_path(request);
	post = strcmp(httpd_method(request), "POST") == 0;
	if (strcmp(path, "/v1/vms") == 0 && !post) {
		p->reads++;
		return vms_list(p->vms, clock_now_ms());
	}
	if (strcmp(path, "/v1/vms") == 0)
		return outcome(
		    vms_replace(p->vms, body, clock_now_ms()), status);
	if (post && strncmp(path, VM_PATH, strlen(VM_PATH)) == 0)
		return outcome(vms_change(p->vms, path + strlen(VM_PATH), body,
				   clock_now_ms()),
		    status);
	*status = 404;
	return json_pack("{s:s}", "error", "unknown_path");
}

static void
arrived(struct httpd_request *request, void *ctx)
{
	struct program *p;
	json_t *body, *answer;
	const char *data;
	size_t len;
	int status;

	p = ctx;
	if (test_request(p, request))
		return;
	if (p->fault == FAULT_DOWN) {
		httpd_begin(request, 200, NULL, 0);
		httpd_abort(request);
		return;
	}
	data = httpd_body(request, &len);
	body = json_loadb(data, len, 0, NULL);
	status = 200;
	answer = act(p, request, body, &status);
	json_decref(body);
	if (p->fault == FAULT_SLOW)
		delay(p, request, status, answer);
	else
		reply(request, status, answer);
}

static void
delay(struct program *p, struct httpd_request *request, int status,
    json_t *answer)
{
	struct delayed *d;

	if ((d = calloc(1, sizeof(*d))) == NULL)
		err(1, "delay");
	d->request = request;
	d->status = status;
	d->answer = answer;
	uv_timer_init(p->loop, &d->timer);
	d->timer.data = d;
	LIST_INSERT_HEAD(&p->delayed, d, link);
	httpd_on_disconnect(request, caller_gone, d);
	uv_timer_start(&d->timer, delay_over, (uint64_t)p->delay_ms, 0);
}

static void
delay_over(uv_timer_t *timer)
{
	struct delayed *d;

	d = timer->data;
	reply(d->request, d->status, d->answer);
	d->answer = NULL;
	delayed_free(d);
}

static void
caller_gone(struct httpd_request *request, void *ctx)
{
	(void)request;
	delayed_free(ctx);
}

static void
delayed_free(struct delayed *d)
{
	LIST_REMOVE(d, link);
	json_decref(d->answer);
	uv_close((uv_handle_t *)&d->timer, timer_closed);
}

static void
timer_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void
stopped(uv_signal_t *handle, int signum)
{
	struct program *p;
	struct delayed *d;

	(void)signum;
	p = handle->data;
	while ((d = LIST_FIRST(&p->delayed)) != NULL) {
		httpd_on_disconnect(d->request, NULL, NULL);
		delayed_free(d);
	}
	httpd_close(p->httpd);
	uv_close((uv_handle_t *)&p->sigterm, NULL);
	uv_close((uv_handle_t *)&p->sigint, NULL);
}

static void
parse(struct program *p, int argc, char **argv)
{
	struct setting table[] = {
		{ "listen", "VMSTAND_LISTEN", "address to listen on", NULL,
		    SETTING_IP_PORT, &p->address, 0, 0, "127.0.0.1:0", NULL,
		    NULL },
		{ "lag-ms", "VMSTAND_LAG_MS", "age of what readers see", "ms",
		    SETTING_INTEGER, &p->lag_ms, 0, 600000, "1000", NULL,
		    NULL },
	};
	struct settings_options so;
	struct settings_args args;

	memset(&so, 0, sizeof(so));
	so.program = "vmstand";
	so.doc = "Play the platform's lagging list of VMs.";
	so.table = table;
	so.n = sizeof(table) / sizeof(table[0]);
	settings_parse(&so, argc, argv, &args);
}

int
main(int argc, char **argv)
{
	static struct program p;
	struct httpd_options ho;
	enum httpd_error error;

	parse(&p, argc, argv);
	p.loop = uv_default_loop();
	LIST_INIT(&p.delayed);
	if ((p.vms = vms_open(p.lag_ms)) == NULL)
		err(1, "list");
	memset(&ho, 0, sizeof(ho));
	ho.loop = p.loop;
	ho.ip = p.address.ip;
	ho.port = p.address.port;
	ho.body_max = BODY_MAX;
	ho.handler = arrived;
	ho.ctx = &p;
	if ((p.httpd = httpd_open(&ho, &error)) == NULL)
		errx(1, "%s:%d: %s", ho.ip, ho.port, httpd_strerror(error));
	log_info("listening", "ip=%s port=%d", ho.ip, httpd_port(p.httpd));
	uv_signal_init(p.loop, &p.sigterm);
	uv_signal_init(p.loop, &p.sigint);
	p.sigterm.data = p.sigint.data = &p;
	uv_signal_start(&p.sigterm, stopped, SIGTERM);
	uv_signal_start(&p.sigint, stopped, SIGINT);
	uv_run(p.loop, UV_RUN_DEFAULT);
	vms_close(p.vms);
	return 0;
}
