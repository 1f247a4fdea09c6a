#include <stdlib.h>

#include "httpc_int.h"

/* Poll handle of a libcurl socket. */
struct socket_watch {
	uv_poll_t poll;
	struct httpc *client;
	curl_socket_t socket;
};

static int on_timer_change(CURLM *, long, void *);
static void on_timeout(uv_timer_t *);
static void on_wake(uv_async_t *);
static int on_socket(CURL *, curl_socket_t, int, void *, void *);
static void on_poll(uv_poll_t *, int, int);
static void on_poll_closed(uv_handle_t *);
static void socket_action(struct httpc *, curl_socket_t, int);

int
httpc_loop_attach(struct httpc *h)
{
	if (uv_async_init(h->loop, &h->wake, on_wake) != 0)
		return -1;
	h->wake.data = h;
	/* It keeps the loop running only while a call waits for it. */
	uv_unref((uv_handle_t *)&h->wake);
	uv_timer_init(h->loop, &h->timer);
	h->timer.data = h;
	h->handles = 2;
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
	return 0;
}

static int
on_timer_change(CURLM *multi, long timeout_ms, void *ctx)
{
	struct httpc *h;

	(void)multi;
	h = ctx;
	if (timeout_ms < 0)
		uv_timer_stop(&h->timer);
	else
		uv_timer_start(&h->timer, on_timeout, (uint64_t)timeout_ms, 0);
	return 0;
}

/*
 * Not a timer: uv_run() with UV_RUN_ONCE may run one that is due and then wait
 * for another event, and libcurl may stop its own.  The call would never end.
 */
void
httpc_loop_wake(struct httpc *h)
{
	uv_ref((uv_handle_t *)&h->wake);
	uv_async_send(&h->wake);
}

static void
on_wake(uv_async_t *wake)
{
	uv_unref((uv_handle_t *)wake);
	httpc_process_results(wake->data);
}

static void
on_timeout(uv_timer_t *timer)
{
	socket_action(timer->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
on_socket(CURL *easy, curl_socket_t socket, int what, void *ctx, void *socketp)
{
	struct socket_watch *watch;
	struct httpc *h;
	int events;

	(void)easy;
	h = ctx;
	watch = socketp;
	if (what == CURL_POLL_REMOVE) {
		if (watch != NULL) {
			uv_poll_stop(&watch->poll);
			uv_close((uv_handle_t *)&watch->poll, on_poll_closed);
			curl_multi_assign(h->multi, socket, NULL);
		}
		return 0;
	}
	if (watch == NULL) {
		if ((watch = calloc(1, sizeof(*watch))) == NULL)
			return -1;
		watch->client = h;
		watch->socket = socket;
		watch->poll.data = watch;
		if (uv_poll_init(h->loop, &watch->poll, socket) != 0) {
			free(watch);
			return -1;
		}
		curl_multi_assign(h->multi, socket, watch);
	}
	events = 0;
	if (what & CURL_POLL_IN)
		events |= UV_READABLE;
	if (what & CURL_POLL_OUT)
		events |= UV_WRITABLE;
	uv_poll_start(&watch->poll, events, on_poll);
	return 0;
}

static void
on_poll(uv_poll_t *poll, int status, int events)
{
	struct socket_watch *watch;
	int flags;

	watch = poll->data;
	flags = 0;
	if (status < 0)
		flags = CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	socket_action(watch->client, watch->socket, flags);
}

static void
on_poll_closed(uv_handle_t *handle)
{
	free(handle->data);
}

/* Passes a socket event or a timeout to libcurl and handles the results. */
static void
socket_action(struct httpc *h, curl_socket_t socket, int events)
{
	int running;

	h->in_curl++;
	curl_multi_socket_action(h->multi, socket, events, &running);
	h->in_curl--;
	httpc_process_results(h);
}
