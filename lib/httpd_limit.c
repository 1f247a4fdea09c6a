#include <sys/socket.h>

#include <string.h>

#include "clock.h"
#include "counter.h"
#include "httpd_int.h"
#include "log.h"

/*
 * Limits of what clients can make the server hold: connections, heads, and the
 * memory of requests that are received or handled.  h2o bounds each request by
 * itself, but not their sum, so a few hundred clients that send large requests
 * slowly would use up the machine's memory.
 */

/* Requests of this size are handled whatever the memory in use. */
#define SMALL_BYTES ((size_t)16 * 1024)
/* Connections are closed until this share of the memory is in use. */
#define SHED_TO(bytes) ((bytes) / 4 * 3)
/* Share of the memory that requests in handling may use. */
#define HANDLED_MAX(bytes) ((bytes) / 2)
/*
 * Receive buffer of a connection.  It bounds how much one pass of the loop
 * reads from it before the limits are checked.
 */
#define SOCKET_BUFFER_BYTES (32 * 1024)
/* Interval between log lines. */
#define LOG_INTERVAL_MS 1000

/* What a client whose request is refused unread receives. */
struct refusal {
	const char *reason; /* for the counter and the log */
	const char *response;
};

static const struct refusal head_too_large = { "head_too_large",
	"HTTP/1.1 431 Request Header Fields Too Large\r\n"
	"connection: close\r\ncontent-length: 0\r\n\r\n" };
static const struct refusal memory_in_use = { "memory",
	"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
	"connection: close\r\ncontent-length: 0\r\n\r\n" };
static const struct refusal too_many_connections = { "connections",
	"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
	"connection: close\r\ncontent-length: 0\r\n\r\n" };

static void on_check(uv_check_t *);

void
httpd_limit_init(struct httpd *h, const struct httpd_options *options)
{
	h->head_max = options->head_max;
	h->receive_max = options->receive_max;
	h->connections_max = options->connections_max;
	uv_check_init(h->loop, &h->check);
	h->check.data = h;
	uv_check_start(&h->check, on_check);
	uv_unref((uv_handle_t *)&h->check);
}

void
httpd_limit_listener(struct httpd *h)
{
	int bytes;

	if (h->receive_max == 0)
		return;
	bytes = SOCKET_BUFFER_BYTES;
	/* Accepted connections inherit it; without it the sum is larger. */
	if (uv_recv_buffer_size((uv_handle_t *)&h->listener, &bytes) != 0)
		log_warn("listen", "error=receive_buffer");
}

static bool
is_open(const struct httpd_connection *c)
{
	return !c->refused && c->sock != NULL &&
	    !uv_is_closing((const uv_handle_t *)&c->tcp);
}

/* Memory that the connection holds for a request. */
static size_t
buffered(const struct httpd_connection *c)
{
	return c->sock->input->capacity;
}

static void
note_refusal(struct httpd *h, const struct refusal *refusal, size_t bytes)
{
	int64_t now_ms;

	counter_inc_reason("lagoonpin_http_closed", refusal->reason);
	h->nrefused++;
	now_ms = clock_now_ms();
	if (now_ms - h->refusal_logged_ms < LOG_INTERVAL_MS)
		return;
	log_warn("connections_closed",
	    "reason=%s bytes=%zu connections=%zu closed=%zu", refusal->reason,
	    bytes, h->nopen, h->nrefused);
	h->refusal_logged_ms = now_ms;
	h->nrefused = 0;
}

/* Closes a connection on which no response is under way. */
static void
refuse(struct httpd_connection *c, const struct refusal *refusal)
{
	uv_buf_t buf;
	uv_os_fd_t fd;

	note_refusal(c->httpd, refusal, buffered(c));
	c->refused = true;
	c->httpd->nopen--;
	buf = uv_buf_init(
	    (char *)refusal->response, (unsigned int)strlen(refusal->response));
	/* A client that doesn't read, or sends nothing, gets no response. */
	if (c->sock->input->size > 0)
		(void)uv_try_write((uv_stream_t *)&c->tcp, &buf, 1);
	if (uv_fileno((uv_handle_t *)&c->tcp, &fd) == 0)
		shutdown(fd, SHUT_RDWR);
}

/* Whether an empty line ends the head within its limit. */
static bool
has_head(const char *bytes, size_t len)
{
	const char *at, *end;

	end = bytes + len;
	for (at = bytes; (at = memchr(at, '\n', (size_t)(end - at))) != NULL;) {
		at++;
		if (at < end && *at == '\n')
			return true;
		if (end - at >= 2 && at[0] == '\r' && at[1] == '\n')
			return true;
	}
	return false;
}

bool
httpd_limit_head_exceeded(struct httpd_connection *c)
{
	const h2o_buffer_t *input;
	size_t head_max;

	head_max = c->httpd->head_max;
	input = c->sock->input;
	if (head_max == 0 || c->head_complete || input->size <= head_max)
		return false;
	c->head_complete = has_head(input->bytes, head_max);
	return !c->head_complete;
}

bool
httpd_limit_may_handle(const struct httpd_connection *c, size_t body_len)
{
	const struct httpd_connection *other;
	const struct httpd *h;
	size_t bytes;

	h = c->httpd;
	if (h->receive_max == 0 || body_len <= SMALL_BYTES)
		return true;
	bytes = 0;
	TAILQ_FOREACH (other, &h->connections, link) {
		if (other != c && other->nrequests > 0 && is_open(other))
			bytes += buffered(other);
	}
	/* A single request is handled however little memory there is. */
	return bytes == 0 || bytes + buffered(c) <= HANDLED_MAX(h->receive_max);
}

static struct httpd_connection *
largest_idle(const struct httpd *h)
{
	struct httpd_connection *c, *largest;

	largest = NULL;
	TAILQ_FOREACH (c, &h->connections, link) {
		if (c->nrequests == 0 && is_open(c) &&
		    (largest == NULL || buffered(c) > buffered(largest)))
			largest = c;
	}
	return largest;
}

/* Ordinary requests are small: those that hold most are closed first. */
static void
free_memory(struct httpd *h, size_t bytes)
{
	struct httpd_connection *c;

	while (bytes > SHED_TO(h->receive_max) &&
	    (c = largest_idle(h)) != NULL && buffered(c) > 0) {
		bytes -= buffered(c);
		refuse(c, &memory_in_use);
	}
}

static void
on_check(uv_check_t *check)
{
	struct httpd_connection *c;
	struct httpd *h;
	size_t bytes;

	h = check->data;
	bytes = 0;
	TAILQ_FOREACH (c, &h->connections, link) {
		if (!is_open(c))
			continue;
		if (c->nrequests == 0 && httpd_limit_head_exceeded(c))
			refuse(c, &head_too_large);
		else
			bytes += buffered(c);
	}
	if (h->receive_max != 0 && bytes > h->receive_max)
		free_memory(h, bytes);
}

/* As many again may wait to be closed by h2o. */
bool
httpd_limit_may_accept(const struct httpd *h)
{
	return h->connections_max == 0 ||
	    h->nconnections < 2 * h->connections_max;
}

/*
 * The connection that has been without a complete request for longest is
 * closed: a client that holds connections open can't keep others away.
 */
bool
httpd_limit_admit(struct httpd *h)
{
	struct httpd_connection *c;

	if (h->connections_max == 0 || h->nopen < h->connections_max)
		return true;
	TAILQ_FOREACH (c, &h->connections, link) {
		if (c->nrequests == 0 && is_open(c)) {
			refuse(c, &too_many_connections);
			return true;
		}
	}
	return false;
}
