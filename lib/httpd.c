#include <sys/socket.h>

#include <signal.h>
#include <stdlib.h>

#include "httpd_int.h"

#define BACKLOG 1024
#define ANY_PORT 65535 /* h2o's value for any port */
#define URI_PATH_ROOT "/"

static void on_connection(uv_stream_t *, int);
static void on_connection_closed(uv_handle_t *);
static void on_listener_closed(uv_handle_t *);
static void set_up_h2o(struct httpd *, const struct httpd_options *);
static void dispose_when_idle(struct httpd *);
static void on_closer_step1(uv_handle_t *);
static void on_closer_step2(uv_handle_t *);
static void free_httpd(uv_handle_t *);

/* One host, path and handler for all requests; httpd_handler routes. */
static void
set_up_h2o(struct httpd *h, const struct httpd_options *options)
{
	struct httpd_handler_slot *slot;
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;

	h2o_config_init(&h->config);
	h->config.max_request_entity_size = options->body_max;
	if (options->http1_only)
		h->config.http1.upgrade_to_http2 = 0;
	host = h2o_config_register_host(
	    &h->config, h2o_iovec_init(H2O_STRLIT("default")), ANY_PORT);
	path = h2o_config_register_path(host, URI_PATH_ROOT, 0);
	slot = (struct httpd_handler_slot *)h2o_create_handler(
	    path, sizeof(*slot));
	slot->super.on_req = httpd_on_request;
	slot->httpd = h;
	h2o_context_init(&h->context, h->loop, &h->config);
	h->accept_ctx.ctx = &h->context;
	h->accept_ctx.hosts = h->config.hosts;
}

struct httpd *
httpd_open(const struct httpd_options *options, enum httpd_error *error)
{
	struct sockaddr_in address;
	struct httpd *h;

	if (uv_ip4_addr(options->ip, options->port, &address) != 0) {
		*error = HTTPD_ERR_ADDRESS;
		return NULL;
	}
	if ((h = calloc(1, sizeof(*h))) == NULL) {
		*error = HTTPD_ERR_MEMORY;
		return NULL;
	}
	/*
	 * libuv uses write(2), so a disconnected client would kill the process
	 * with SIGPIPE.  With the signal ignored, the write fails with EPIPE.
	 */
	signal(SIGPIPE, SIG_IGN);
	h->loop = options->loop;
	h->handler = options->handler;
	h->ctx = options->ctx;
	TAILQ_INIT(&h->connections);
	LIST_INIT(&h->watched);
	set_up_h2o(h, options);
	httpd_limit_init(h, options);
	uv_timer_init(h->loop, &h->closer);
	h->closer.data = h;
	uv_tcp_init(h->loop, &h->listener);
	h->listener.data = h;
	h->listening = true;
	if (uv_tcp_bind(&h->listener, (struct sockaddr *)&address, 0) != 0)
		goto fail;
	httpd_limit_listener(h);
	if (uv_listen((uv_stream_t *)&h->listener, BACKLOG, on_connection) != 0)
		goto fail;
	*error = HTTPD_OK;
	return h;

fail:
	*error = HTTPD_ERR_LISTEN;
	httpd_close(h);
	return NULL;
}

void
httpd_set_request_max(struct httpd *h, size_t head_max, size_t body_max)
{
	h->head_max = head_max;
	h->config.max_request_entity_size = body_max;
}

int
httpd_port(const struct httpd *h)
{
	struct sockaddr_in address;
	int len;

	len = sizeof(address);
	if (uv_tcp_getsockname(
		&h->listener, (struct sockaddr *)&address, &len) != 0)
		return -1;
	return ntohs(address.sin_port);
}

void
httpd_stop_listening(struct httpd *h)
{
	if (!h->listening)
		return;
	h->listening = false;
	uv_close((uv_handle_t *)&h->listener, on_listener_closed);
	h2o_context_request_shutdown(&h->context);
}

void
httpd_close_after_response(struct httpd *h)
{
	h2o_context_request_shutdown(&h->context);
}

void
httpd_close(struct httpd *h)
{
	struct httpd_connection *c;
	uv_os_fd_t fd;

	h->closing = true;
	/*
	 * h2o owns its connections and has no call to close them.  Shutting
	 * down the sockets makes reads fail, so that h2o closes them.
	 */
	TAILQ_FOREACH (c, &h->connections, link) {
		if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
			shutdown(fd, SHUT_RDWR);
	}
	if (h->listening) {
		h->listening = false;
		uv_close((uv_handle_t *)&h->listener, on_listener_closed);
	} else
		dispose_when_idle(h);
}

static void
on_listener_closed(uv_handle_t *handle)
{
	dispose_when_idle(handle->data);
}

static void
dispose_when_idle(struct httpd *h)
{
	if (!h->closing || h->disposed || !TAILQ_EMPTY(&h->connections))
		return;
	if (!uv_is_closing((uv_handle_t *)&h->listener))
		return;
	h->disposed = true;
	uv_close((uv_handle_t *)&h->check, NULL);
	uv_close((uv_handle_t *)&h->closer, on_closer_step1);
}

/*
 * h2o's timers are part of the context, and h2o_context_dispose() closes them;
 * libuv uses them until the next loop iteration.  The memory is freed after two
 * more iterations.
 */
static void
on_closer_step1(uv_handle_t *handle)
{
	struct httpd *h;

	h = handle->data;
	/*
	 * Started by h2o_context_request_shutdown(); h2o_context_dispose()
	 * asserts that it is unlinked.
	 */
	h2o_timeout_unlink(&h->context.http2._graceful_shutdown_timeout);
	h2o_context_dispose(&h->context);
	uv_timer_init(h->loop, &h->closer);
	uv_close((uv_handle_t *)&h->closer, on_closer_step2);
}

static void
on_closer_step2(uv_handle_t *handle)
{
	struct httpd *h;

	h = handle->data;
	uv_timer_init(h->loop, &h->closer);
	uv_close((uv_handle_t *)&h->closer, free_httpd);
}

static void
free_httpd(uv_handle_t *handle)
{
	struct httpd *h;

	h = handle->data;
	h2o_config_dispose(&h->config);
	free(h);
}

const char *
httpd_strerror(enum httpd_error error)
{
	switch (error) {
	case HTTPD_OK:
		return "no error";
	case HTTPD_ERR_MEMORY:
		return "out of memory";
	case HTTPD_ERR_ADDRESS:
		return "not an IPv4 address and port";
	case HTTPD_ERR_LISTEN:
		return "can't listen on the address";
	}
	return "unknown error";
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct httpd_connection *c;
	struct httpd *h;
	bool admitted;

	if (status != 0)
		return;
	h = listener->data;
	/* libuv accepts no other connection until this one is taken. */
	h->accept_waits = !httpd_limit_may_accept(h);
	if (h->accept_waits)
		return;
	if ((c = calloc(1, sizeof(*c))) == NULL) {
		h->accept_waits = true;
		return;
	}
	admitted = httpd_limit_admit(h);
	c->httpd = h;
	uv_tcp_init(h->loop, &c->tcp);
	TAILQ_INSERT_TAIL(&h->connections, c, link);
	h->nconnections++;
	h->nopen++;
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) != 0 || !admitted) {
		uv_close((uv_handle_t *)&c->tcp, on_connection_closed);
		return;
	}
	uv_tcp_nodelay(&c->tcp, 1);
	c->sock =
	    h2o_uv_socket_create((uv_stream_t *)&c->tcp, on_connection_closed);
	h2o_accept(&h->accept_ctx, c->sock);
}

static void
on_connection_closed(uv_handle_t *handle)
{
	struct httpd_connection *c;
	struct httpd *h;

	c = (struct httpd_connection *)handle;
	h = c->httpd;
	TAILQ_REMOVE(&h->connections, c, link);
	h->nconnections--;
	if (!c->refused)
		h->nopen--;
	free(c);
	if (h->accept_waits && h->listening)
		on_connection((uv_stream_t *)&h->listener, 0);
	dispose_when_idle(h);
}
