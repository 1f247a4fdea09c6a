#ifndef HTTPC_H
#define HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

/*
 * HTTP client: libcurl's multi-socket interface on a libuv loop, with
 * persistent connections.
 *
 * A request is sent once.  If it were repeated here, the response to the second
 * sending would be taken for that to the first: a refusal would say that
 * nothing was done although the first one was carried out.  Who may repeat a
 * request decides so with the result at hand.
 */

struct httpc;
struct httpc_call;

enum httpc_error {
	HTTPC_OK,
	HTTPC_ERR_CONNECT, /* no connection: nothing reached the peer */
	HTTPC_ERR_TIMEOUT, /* the peer may have processed the request */
	HTTPC_ERR_BROKEN, /* no complete response: may have been processed */
	HTTPC_ERR_TOO_LARGE, /* the response body exceeds body_max */
	HTTPC_ERR_CANCELLED, /* httpc_cancel(): see sent */
	HTTPC_ERR_MEMORY, /* not sent */
	HTTPC_ERR_INVALID /* no such URL or header is possible: not sent */
};

struct httpc_header {
	const char *name;
	const char *value;
};

struct httpc_result {
	enum httpc_error error;
	bool sent; /* false: certainly nothing reached the peer */
	/*
	 * With HTTPC_ERR_BROKEN: a reused connection was closed before the
	 * first byte of a response.  The peer may have closed it while it was
	 * idle, or after it had processed the request.
	 */
	bool stale;
	int status; /* HTTP status, 0 if none was received */
	const char *body; /* NUL-terminated; empty if on_data is set */
	size_t body_len;
	struct httpc_call *call; /* for httpc_response_header */
};

/*
 * Called exactly once per call, never from within httpc_start().  The result is
 * valid only during the callback.
 */
typedef void httpc_done(const struct httpc_result *, void *ctx);
/*
 * Called once connected, right before the first byte is sent; false: the
 * request isn't sent and the call ends with HTTPC_ERR_CONNECT.
 */
typedef bool httpc_may_send(void *ctx);
/* Called after the status line and headers, before the first on_data. */
typedef void httpc_head(struct httpc_call *, int status, void *ctx);
typedef void httpc_data(
    struct httpc_call *, const char *data, size_t len, void *ctx);

struct httpc_request {
	const char *method; /* GET, POST, ... */
	const char *url; /* http://IP:PORT/path; NULL is invalid */
	const struct httpc_header *headers;
	size_t nheaders;
	const void *body; /* copied */
	size_t body_len;
	int64_t connect_timeout_ms;
	int64_t timeout_ms; /* whole call; 0: no timeout */
	size_t body_max; /* bytes; 0: 16 MiB; ignored with on_data */
	httpc_may_send *may_send; /* or NULL */
	httpc_head *on_head; /* or NULL */
	httpc_data *on_data; /* or NULL: the body is buffered */
	httpc_done *on_done;
	void *ctx;
};

struct httpc_options {
	uv_loop_t *loop;
	long max_connections_per_host; /* 0: no limit */
	long max_idle_connections; /* 0: libcurl's default */
	long idle_s; /* idle connections are closed after; 0: 118 s */
	long keepalive_s; /* TCP keepalive idle time and interval; 0: off */
};

/* Returns NULL when out of memory or if libcurl can't be initialized. */
struct httpc *httpc_open(const struct httpc_options *);
/*
 * Cancels open calls (on_done is called with HTTPC_ERR_CANCELLED).  The loop
 * must then run until the client's handles are closed.
 */
void httpc_close(struct httpc *);

/*
 * Returns NULL when out of memory or while closing; on_done isn't called then.
 * A request that can't be built ends with HTTPC_ERR_INVALID, like any other
 * call later: what it is built from may come from outside the process.
 */
struct httpc_call *httpc_start(struct httpc *, const struct httpc_request *);
/*
 * Calls on_done with HTTPC_ERR_CANCELLED before returning.  May be called from
 * any callback but the call's own on_done.
 */
void httpc_cancel(struct httpc_call *);
/* A response header, or NULL; valid until on_done returns. */
const char *httpc_response_header(struct httpc_call *, const char *name);

const char *httpc_strerror(enum httpc_error);

#endif /* HTTPC_H */
