#include <stdlib.h>
#include <string.h>

#include "httpc_int.h"

static void on_handle_closed(uv_handle_t *);
static void finish_completed(struct httpc *);
static void start_queued(struct httpc *);
static void finish_call(struct httpc_call *, enum httpc_error);
static void call_free(struct httpc_call *);
static void free_handles(struct httpc *);

struct httpc *
httpc_open(const struct httpc_options *options)
{
	struct httpc *h;

	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
		return NULL;
	if ((h = calloc(1, sizeof(*h))) == NULL)
		return NULL;
	if ((h->multi = curl_multi_init()) == NULL) {
		free(h);
		return NULL;
	}
	h->loop = options->loop;
	h->keepalive_s = options->keepalive_s;
	h->idle_s = options->idle_s;
	TAILQ_INIT(&h->calls);
	if (httpc_loop_attach(h) == -1) {
		curl_multi_cleanup(h->multi);
		free(h);
		return NULL;
	}
	curl_multi_setopt(h->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
	    options->max_connections_per_host);
	if (options->max_idle_connections > 0)
		curl_multi_setopt(h->multi, CURLMOPT_MAXCONNECTS,
		    options->max_idle_connections);
	return h;
}

void
httpc_close(struct httpc *h)
{
	struct httpc_call *call, *next;

	if (h == NULL || h->closing)
		return;
	h->closing = true;
	for (call = TAILQ_FIRST(&h->calls); call != NULL; call = next) {
		next = TAILQ_NEXT(call, link);
		if (call->state != CALL_DEAD)
			finish_call(call, HTTPC_ERR_CANCELLED);
	}
	if (h->in_curl == 0)
		free_handles(h);
}

/* Frees libcurl's handles; the client is freed when those of the loop have
 * closed. */
static void
free_handles(struct httpc *h)
{
	struct httpc_call *call;

	while ((call = TAILQ_FIRST(&h->calls)) != NULL)
		call_free(call);
	h->in_curl++;
	curl_multi_cleanup(h->multi);
	uv_timer_stop(&h->timer);
	uv_close((uv_handle_t *)&h->timer, on_handle_closed);
	uv_close((uv_handle_t *)&h->wake, on_handle_closed);
}

static void
on_handle_closed(uv_handle_t *handle)
{
	struct httpc *h;

	h = handle->data;
	if (--h->handles > 0)
		return;
	free(h);
	curl_global_cleanup();
}

struct httpc_call *
httpc_start(struct httpc *h, const struct httpc_request *request)
{
	struct httpc_call *call;
	enum httpc_error error;

	if (h->closing || (call = calloc(1, sizeof(*call))) == NULL)
		return NULL;
	call->client = h;
	call->state = CALL_QUEUED;
	TAILQ_INSERT_TAIL(&h->calls, call, link);
	if ((call->easy = curl_easy_init()) == NULL)
		goto fail;
	error = httpc_call_set_up(call, request);
	if (error == HTTPC_ERR_MEMORY)
		goto fail;
	if (error != HTTPC_OK) {
		call->state = CALL_INVALID;
		httpc_loop_wake(h);
		return call;
	}
	if (h->in_curl > 0)
		return call;
	call->state = CALL_ACTIVE;
	if (curl_multi_add_handle(h->multi, call->easy) != CURLM_OK) {
		call->state = CALL_QUEUED;
		goto fail;
	}
	return call;

fail:
	call_free(call);
	return NULL;
}

void
httpc_cancel(struct httpc_call *call)
{
	struct httpc *h;

	if (call->state == CALL_DEAD)
		return;
	h = call->client;
	finish_call(call, HTTPC_ERR_CANCELLED);
	if (h->in_curl == 0 && !h->closing)
		call_free(call);
}

/* Reports the end of a call; it still has to be freed with call_free(). */
static void
finish_call(struct httpc_call *call, enum httpc_error error)
{
	struct httpc_result result;
	long status;

	status = 0;
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	memset(&result, 0, sizeof(result));
	result.error = error;
	result.sent = call->sent;
	result.stale = call->stale;
	result.status = (int)status;
	result.body = call->body != NULL ? call->body : "";
	result.body_len = call->body_len;
	result.call = call;
	call->state = CALL_DEAD;
	call->on_done(&result, call->ctx);
}

/* Must not be called from a libcurl callback. */
static void
call_free(struct httpc_call *call)
{
	struct httpc *h;

	h = call->client;
	TAILQ_REMOVE(&h->calls, call, link);
	if (call->easy != NULL) {
		h->in_curl++;
		curl_multi_remove_handle(h->multi, call->easy);
		curl_easy_cleanup(call->easy);
		h->in_curl--;
	}
	curl_slist_free_all(call->headers);
	free(call->body);
	free(call);
}

const char *
httpc_response_header(struct httpc_call *call, const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &header) !=
	    CURLHE_OK)
		return NULL;
	return header->value;
}

const char *
httpc_strerror(enum httpc_error error)
{
	switch (error) {
	case HTTPC_OK:
		return "ok";
	case HTTPC_ERR_CONNECT:
		return "connect";
	case HTTPC_ERR_TIMEOUT:
		return "timeout";
	case HTTPC_ERR_BROKEN:
		return "broken";
	case HTTPC_ERR_TOO_LARGE:
		return "too_large";
	case HTTPC_ERR_CANCELLED:
		return "cancelled";
	case HTTPC_ERR_MEMORY:
		return "memory";
	case HTTPC_ERR_INVALID:
		return "invalid";
	}
	return "unknown";
}

void
httpc_process_results(struct httpc *h)
{
	if (h->in_curl > 0)
		return;
	if (!h->closing)
		finish_completed(h);
	if (!h->closing)
		start_queued(h);
	if (h->closing)
		free_handles(h);
}

/*
 * Finishes the calls that libcurl completed or that are invalid, and frees all
 * finished ones.
 */
static void
finish_completed(struct httpc *h)
{
	struct httpc_call *call, *next;
	CURLMsg *message;
	CURLcode code;
	int left;

	/* While in_curl is set, on_done can't free calls or the client. */
	h->in_curl++;
	while ((message = curl_multi_info_read(h->multi, &left)) != NULL) {
		if (message->msg != CURLMSG_DONE)
			continue;
		code = message->data.result;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		if (call->state != CALL_DEAD)
			finish_call(call, httpc_call_error(call, code));
	}
	TAILQ_FOREACH (call, &h->calls, link) {
		if (call->state == CALL_INVALID)
			finish_call(call, HTTPC_ERR_INVALID);
	}
	h->in_curl--;
	if (h->closing)
		return;
	for (call = TAILQ_FIRST(&h->calls); call != NULL; call = next) {
		next = TAILQ_NEXT(call, link);
		if (call->state == CALL_DEAD)
			call_free(call);
	}
}

/* Starts calls made in libcurl callbacks, which can't add handles. */
static void
start_queued(struct httpc *h)
{
	struct httpc_call *call, *next;

	h->in_curl++;
	for (call = TAILQ_FIRST(&h->calls); call != NULL; call = next) {
		if (call->state == CALL_QUEUED) {
			call->state = CALL_ACTIVE;
			if (curl_multi_add_handle(h->multi, call->easy) !=
			    CURLM_OK)
				finish_call(call, HTTPC_ERR_MEMORY);
		}
		next = TAILQ_NEXT(call, link);
	}
	h->in_curl--;
}
