#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "enroll.h"
#include "log.h"

#define RETRY_MS 200
#define TIMEOUT_MS 5000
#define URL_SIZE 256

struct enroll {
	struct enroll_options options;
	struct node *next; /* not yet on the list; NULL: all are */
	struct httpc_call *call;
	uv_timer_t timer;
};

static void send_next(struct enroll *);
static void answered(const struct httpc_result *, void *);
static void again(uv_timer_t *);
static void timer_closed(uv_handle_t *);
static json_t *service_list(const char *);
static json_t *vm_json(struct node *);

struct enroll *
enroll_open(const struct enroll_options *options)
{
	struct enroll *e;

	if ((e = calloc(1, sizeof(*e))) == NULL)
		return NULL;
	e->options = *options;
	e->next = TAILQ_FIRST(&options->stand->nodes);
	uv_timer_init(options->stand->loop, &e->timer);
	e->timer.data = e;
	send_next(e);
	return e;
}

void
enroll_close(struct enroll *e)
{
	if (e == NULL)
		return;
	e->next = NULL;
	if (e->call != NULL)
		httpc_cancel(e->call);
	uv_close((uv_handle_t *)&e->timer, timer_closed);
}

static void
timer_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static json_t *
service_list(const char *services)
{
	const char *end;
	json_t *list;

	list = json_array();
	for (; *services != '\0'; services = *end == ',' ? end + 1 : end) {
		end = services + strcspn(services, ",");
		json_array_append_new(
		    list, json_stringn(services, (size_t)(end - services)));
	}
	return list;
}

static json_t *
vm_json(struct node *n)
{
	const struct worker_room *room;

	room = worker_capacity(n->worker);
	return json_pack("{s:s,s:s,s:s,s:i,s:i,s:s,s:s,s:s,s:o,s:I,s:I,s:I,"
			 "s:I,s:I}",
	    "id", n->id, "kind", "worker", "ip", n->stand->ip, "control_port",
	    control_port(n->control), "endpoint_port",
	    endpoint_port(n->endpoint), "data_center", n->data_center, "rack",
	    n->rack, "state", "live", "services",
	    service_list(n->stand->services), "cpu_millis",
	    (json_int_t)room->cpu_millis, "memory_mib",
	    (json_int_t)room->memory_mib, "accelerators",
	    (json_int_t)room->accelerators, "slots", (json_int_t)room->slots,
	    "connections", (json_int_t)room->connections);
}

static void
send_next(struct enroll *e)
{
	struct httpc_request request;
	char url[URL_SIZE], *text;
	json_t *vm;

	if (e->next == NULL) {
		log_info("enrolled", "workers=%zu", e->options.stand->nnodes);
		return;
	}
	snprintf(url, sizeof(url), "http://%s:%d/v1/vm/%s", e->options.ip,
	    e->options.port, e->next->id);
	vm = vm_json(e->next);
	text = json_dumps(vm, JSON_COMPACT);
	json_decref(vm);
	memset(&request, 0, sizeof(request));
	request.method = "POST";
	request.url = url;
	request.body = text;
	request.body_len = text == NULL ? 0 : strlen(text);
	request.connect_timeout_ms = TIMEOUT_MS;
	request.timeout_ms = TIMEOUT_MS;
	request.on_done = answered;
	request.ctx = e;
	e->call = httpc_start(e->options.httpc, &request);
	free(text);
	if (e->call == NULL)
		uv_timer_start(&e->timer, again, RETRY_MS, 0);
}

static void
answered(const struct httpc_result *result, void *ctx)
{
	struct enroll *e;

	e = ctx;
	e->call = NULL;
	if (result->error == HTTPC_ERR_CANCELLED)
		return;
	if (result->error == HTTPC_OK && result->status == 200)
		e->next = TAILQ_NEXT(e->next, link);
	else
		log_warn("enroll_failed", "worker=%s status=%d error=\"%s\"",
		    e->next->id, result->status, httpc_strerror(result->error));
	uv_timer_start(&e->timer, again,
	    result->error == HTTPC_OK && result->status == 200 ? 0 : RETRY_MS,
	    0);
}

static void
again(uv_timer_t *timer)
{
	send_next(timer->data);
}
