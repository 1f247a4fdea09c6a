#include <stdlib.h>
#include <string.h>

#include "counter.h"
#include "httpd_int.h"

#define HTTP_VERSION_2 0x200
#define STATUS_CLIENT_CLOSED 499
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_HEAD_TOO_LARGE 431

enum response_state { RESPONSE_NONE, RESPONSE_STREAMING, RESPONSE_COMPLETE };

struct httpd_request {
	h2o_generator_t generator; /* must be first: h2o callbacks cast */
	h2o_req_t *req;
	struct httpd_connection *connection;
	LIST_ENTRY(httpd_request) link; /* while watched */
	bool watched;
	enum response_state state;
	bool sending; /* h2o has a chunk and will call on_proceed */
	bool ending;
	bool aborting;
	bool finished; /* h2o has the last chunk */
	char *queued; /* data to send after the chunk in flight */
	size_t queued_len;
	size_t queued_size;
	char *in_flight; /* chunk passed to h2o */
	httpd_disconnected *on_disconnect;
	void *disconnect_ctx;
};

static void on_proceed(h2o_generator_t *, h2o_req_t *);
static void on_stop(h2o_generator_t *, h2o_req_t *);
static void on_request_disposed(void *);
static void on_client_data(h2o_socket_t *, const char *);
static void watch_client(struct httpd_request *);
static void unwatch_client(struct httpd_request *);
static void notify_disconnect(struct httpd_request *);
static void set_response_head(
    struct httpd_request *, int, const struct httpd_header *, size_t);
static void send_queued(struct httpd_request *);
static const char *reason_phrase(int);

static struct httpd_connection *
find_connection(struct httpd *h, h2o_req_t *req)
{
	struct httpd_connection *c;
	h2o_socket_t *sock;

	sock = req->conn->callbacks->get_socket(req->conn);
	TAILQ_FOREACH_REVERSE(c, &h->connections, httpd_connections, link)
	{
		if (c->sock == sock)
			return c;
	}
	return NULL;
}

/* What the request holds counts as in use until it is disposed of. */
static void
begin_handling(struct httpd *h, struct httpd_request *r)
{
	r->connection = find_connection(h, r->req);
	if (r->connection != NULL)
		r->connection->nrequests++;
}

static void
end_handling(struct httpd_request *r)
{
	struct httpd_connection *c;
	struct httpd *h;

	if ((c = r->connection) == NULL)
		return;
	h = c->httpd;
	c->nrequests--;
	c->head_complete = false;
	TAILQ_REMOVE(&h->connections, c, link);
	TAILQ_INSERT_TAIL(&h->connections, c, link);
}

/* Returns false if the request may be passed to the handler. */
static bool
refuse_over_limit(struct httpd_request *r)
{
	static const struct httpd_header retry = { "retry-after", "1" };

	if (r->connection == NULL)
		return false;
	/* The client was told that it doesn't run, or sees a reset. */
	if (r->connection->refused) {
		httpd_reply(r, STATUS_UNAVAILABLE, &retry, 1, NULL, 0);
		return true;
	}
	if (httpd_limit_head_exceeded(r->connection)) {
		counter_inc_reason("lagoonpin_http_refused", "head_too_large");
		httpd_reply(r, STATUS_HEAD_TOO_LARGE, NULL, 0, NULL, 0);
		return true;
	}
	if (!httpd_limit_may_handle(r->connection, r->req->entity.len)) {
		counter_inc_reason("lagoonpin_http_refused", "memory");
		httpd_reply(r, STATUS_UNAVAILABLE, &retry, 1, NULL, 0);
		return true;
	}
	return false;
}

int
httpd_on_request(h2o_handler_t *handler, h2o_req_t *req)
{
	struct httpd_request *r;
	struct httpd *h;

	h = ((struct httpd_handler_slot *)handler)->httpd;
	/* Its bytes were received before; the handler's context may be gone. */
	if (h->closing) {
		h2o_send_error_503(req, "Service Unavailable", "closing",
		    H2O_SEND_ERROR_HTTP1_CLOSE_CONNECTION);
		return 0;
	}
	r = h2o_mem_alloc_shared(&req->pool, sizeof(*r), on_request_disposed);
	memset(r, 0, sizeof(*r));
	r->req = req;
	r->generator.proceed = on_proceed;
	r->generator.stop = on_stop;
	begin_handling(h, r);
	watch_client(r);
	if (!refuse_over_limit(r))
		h->handler(r, h->ctx);
	return 0;
}

/*
 * h2o stops reading from an HTTP/1 connection while a request is handled, so a
 * disconnect would be noticed only when the response is written, and the work
 * would continue for nobody.  So read meanwhile; bytes of the next request stay
 * in the socket's buffer, where h2o finds them.
 */
static void
watch_client(struct httpd_request *r)
{
	h2o_conn_t *conn;
	struct httpd *h;

	if (r->req->version >= HTTP_VERSION_2)
		return;
	conn = r->req->conn;
	h = H2O_STRUCT_FROM_MEMBER(struct httpd, context, conn->ctx);
	LIST_INSERT_HEAD(&h->watched, r, link);
	r->watched = true;
	h2o_socket_read_start(
	    conn->callbacks->get_socket(conn), on_client_data);
}

static void
unwatch_client(struct httpd_request *r)
{
	h2o_conn_t *conn;

	if (!r->watched)
		return;
	r->watched = false;
	LIST_REMOVE(r, link);
	conn = r->req->conn;
	h2o_socket_read_stop(conn->callbacks->get_socket(conn));
}

const char *
httpd_method(struct httpd_request *r)
{
	return h2o_strdup(
	    &r->req->pool, r->req->method.base, r->req->method.len)
	    .base;
}

const char *
httpd_path(struct httpd_request *r)
{
	size_t len;

	len = r->req->path.len;
	if (r->req->query_at != SIZE_MAX)
		len = r->req->query_at;
	return h2o_strdup(&r->req->pool, r->req->path.base, len).base;
}

const char *
httpd_query(struct httpd_request *r)
{
	size_t at;

	if (r->req->query_at == SIZE_MAX)
		return "";
	at = r->req->query_at + 1;
	return h2o_strdup(
	    &r->req->pool, r->req->path.base + at, r->req->path.len - at)
	    .base;
}

const char *
httpd_body(struct httpd_request *r, size_t *len)
{
	*len = r->req->entity.base == NULL ? 0 : r->req->entity.len;
	return r->req->entity.base == NULL ? "" : r->req->entity.base;
}

const char *
httpd_request_header(struct httpd_request *r, const char *name)
{
	h2o_iovec_t value;
	ssize_t at;

	if (strcmp(name, "host") == 0) {
		/* h2o doesn't store it with the other headers. */
		value = r->req->authority;
		return h2o_strdup(&r->req->pool, value.base, value.len).base;
	}
	at = h2o_find_header_by_str(&r->req->headers, name, strlen(name), -1);
	if (at == -1)
		return NULL;
	value = r->req->headers.entries[at].value;
	return h2o_strdup(&r->req->pool, value.base, value.len).base;
}

void
httpd_on_disconnect(
    struct httpd_request *r, httpd_disconnected *on_disconnect, void *ctx)
{
	r->on_disconnect = on_disconnect;
	r->disconnect_ctx = ctx;
}

static const char *
reason_phrase(int status)
{
	if (status < 300)
		return "OK";
	if (status < 400)
		return "Redirect";
	if (status < 500)
		return "Refused";
	return "Error";
}

static void
set_response_head(struct httpd_request *r, int status,
    const struct httpd_header *headers, size_t nheaders)
{
	h2o_iovec_t name, value;
	h2o_req_t *req;
	size_t i;

	req = r->req;
	req->res.status = status;
	req->res.reason = reason_phrase(status);
	req->compress_hint = H2O_COMPRESS_HINT_DISABLE;
	for (i = 0; i < nheaders; i++) {
		name = h2o_strdup(&req->pool, headers[i].name, SIZE_MAX);
		value = h2o_strdup(&req->pool, headers[i].value, SIZE_MAX);
		h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
		    name.len, 1, NULL, value.base, value.len);
	}
}

void
httpd_reply(struct httpd_request *r, int status,
    const struct httpd_header *headers, size_t nheaders, const void *body,
    size_t len)
{
	h2o_iovec_t copy;

	unwatch_client(r);
	set_response_head(r, status, headers, nheaders);
	r->req->res.content_length = len;
	r->state = RESPONSE_COMPLETE;
	copy = h2o_strdup(&r->req->pool, body == NULL ? "" : body, len);
	h2o_start_response(r->req, &r->generator);
	h2o_send(r->req, &copy, 1, H2O_SEND_STATE_FINAL);
}

void
httpd_begin(struct httpd_request *r, int status,
    const struct httpd_header *headers, size_t nheaders)
{
	set_response_head(r, status, headers, nheaders);
	r->state = RESPONSE_STREAMING;
	h2o_start_response(r->req, &r->generator);
}

void
httpd_send(struct httpd_request *r, const void *data, size_t len)
{
	size_t size;
	char *new_queue;

	if (r->state != RESPONSE_STREAMING || r->ending || len == 0)
		return;
	if (r->queued_len + len > r->queued_size) {
		size = (r->queued_len + len) * 2;
		if ((new_queue = realloc(r->queued, size)) == NULL) {
			httpd_abort(r);
			return;
		}
		r->queued = new_queue;
		r->queued_size = size;
	}
	memcpy(r->queued + r->queued_len, data, len);
	r->queued_len += len;
	send_queued(r);
}

void
httpd_end(struct httpd_request *r)
{
	if (r->state != RESPONSE_STREAMING || r->ending)
		return;
	r->ending = true;
	send_queued(r);
}

void
httpd_abort(struct httpd_request *r)
{
	if (r->state == RESPONSE_COMPLETE || r->ending)
		return;
	/*
	 * Without a status line h2o sends nothing and keeps the connection
	 * open, and the client would wait until its own timeout.  A status with
	 * an aborted body makes h2o close it, or reset the stream.
	 */
	if (r->state == RESPONSE_NONE)
		httpd_begin(r, STATUS_BAD_GATEWAY, NULL, 0);
	r->ending = true;
	r->aborting = true;
	r->queued_len = 0;
	send_queued(r);
}

/* Passes the queued data to h2o, unless a chunk is still in flight. */
static void
send_queued(struct httpd_request *r)
{
	h2o_send_state_t state;
	h2o_iovec_t chunk;

	if (r->finished || r->sending || (r->queued_len == 0 && !r->ending))
		return;
	state = H2O_SEND_STATE_IN_PROGRESS;
	if (r->ending)
		state =
		    r->aborting ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
	free(r->in_flight);
	r->in_flight = r->queued;
	chunk = h2o_iovec_init(r->in_flight, r->queued_len);
	r->queued = NULL;
	r->queued_len = 0;
	r->queued_size = 0;
	r->sending = true;
	if (r->ending) {
		r->finished = true;
		r->state = RESPONSE_COMPLETE;
		unwatch_client(r);
	}
	h2o_send(r->req, &chunk, chunk.len == 0 ? 0 : 1, state);
}

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	struct httpd_request *r;

	(void)req;
	r = (struct httpd_request *)generator;
	r->sending = false;
	if (r->state == RESPONSE_STREAMING || r->aborting)
		send_queued(r);
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	(void)req;
	notify_disconnect((struct httpd_request *)generator);
}

static void
notify_disconnect(struct httpd_request *r)
{
	httpd_disconnected *on_disconnect;

	if (r->state == RESPONSE_COMPLETE)
		return;
	r->state = RESPONSE_COMPLETE;
	on_disconnect = r->on_disconnect;
	r->on_disconnect = NULL;
	if (on_disconnect != NULL)
		on_disconnect(r, r->disconnect_ctx);
}

static void
on_client_data(h2o_socket_t *sock, const char *error)
{
	struct httpd_request *r;
	h2o_conn_t *conn;
	struct httpd *h;
	bool streaming;

	if (error == NULL)
		return;
	conn = sock->data;
	h = H2O_STRUCT_FROM_MEMBER(struct httpd, context, conn->ctx);
	LIST_FOREACH (r, &h->watched, link) {
		if (r->req->conn == conn)
			break;
	}
	if (r == NULL)
		return;
	unwatch_client(r);
	streaming = r->state == RESPONSE_STREAMING;
	notify_disconnect(r);
	if (!streaming) {
		/* The write fails, which makes h2o close the connection. */
		httpd_reply(r, STATUS_CLIENT_CLOSED, NULL, 0, NULL, 0);
		return;
	}
	r->ending = true;
	r->aborting = true;
	r->queued_len = 0;
	send_queued(r);
}

static void
on_request_disposed(void *data)
{
	struct httpd_request *r;

	r = data;
	if (r->watched) {
		r->watched = false;
		LIST_REMOVE(r, link);
	}
	notify_disconnect(r);
	end_handling(r);
	free(r->queued);
	free(r->in_flight);
}
