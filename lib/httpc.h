#ifndef HTTPC_H
#define HTTPC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

/*
 * HTTP client: libcurl's multi-socket interface on a libuv loop, connections
 * kept and reused.
 */

struct httpc;
struct httpc_call;

enum httpc_error {
	HTTPC_OK,
	HTTPC_ERR_CONNECT, /* no connection in time: nothing reached the peer */
	HTTPC_ERR_TIMEOUT, /* the peer may have acted */
	HTTPC_ERR_BROKEN, /* cut before the whole answer came: may have acted */
	HTTPC_ERR_TOO_LARGE, /* the answer is over body_max */
	HTTPC_ERR_CANCELLED, /* httpc_cancel: see sent */
	HTTPC_ERR_MEMORY /* not sent */
};

struct httpc_header {
	const char *name;
	const char *value;
};

struct httpc_result {
	enum httpc_error error;
	bool sent; /* false: certainly nothing reached the peer */
	int status; /* HTTP status, 0 without one */
	const char *body; /* NUL-terminated; not when on_data is set */
	size_t body_len;
	struct httpc_call *call; /* for httpc_response_header */
};

/* Valid only during the callback.  Called exactly once a call, never from
 * within httpc_start. */
typedef void httpc_done(const struct httpc_result *, void *ctx);
/*
 * Asked once the connection stands, right before the first byte goes out;
 * false: it isn't sent and the call ends as HTTPC_ERR_CONNECT.
 */
typedef bool httpc_may_send(void *ctx);
/* The status line and headers are in; before the first on_data. */
typedef void httpc_head(struct httpc_call *, int status, void *ctx);
typedef void httpc_data(
    struct httpc_call *, const char *data, size_t len, void *ctx);

struct httpc_request {
	const char *method; /* GET, POST, ... */
	const char *url; /* http://IP:PORT/path */
	const struct httpc_header *headers;
	size_t nheaders;
	const void *body; /* copied */
	size_t body_len;
	int64_t connect_timeout_ms;
	int64_t timeout_ms; /* whole call; 0: none */
	size_t body_max; /* bytes collected; 0: 16 MiB; not with on_data */
	/*
	 * The request may go out twice.  libcurl silently repeats a request
	 * whose kept connection dies before a byte of the answer came, though
	 * the peer may have run it: a payout would run twice.  Unless this is
	 * set, or the method is GET or HEAD, such a call ends as
	 * HTTPC_ERR_BROKEN with sent set.
	 */
	bool idempotent;
	httpc_may_send *may_send; /* or NULL */
	httpc_head *on_head; /* or NULL */
	httpc_data *on_data; /* or NULL: body is collected */
	httpc_done *on_done;
	void *ctx;
};

struct httpc_options {
	uv_loop_t *loop;
	long max_connections_per_host; /* 0: no limit */
	long max_idle_connections; /* 0: libcurl's default */
	long idle_s; /* close connections unused so long; 0: 118 s */
	long keepalive_s; /* TCP keep-alive; 0: off */
};

/* NULL: no memory, or libcurl can't be set up. */
struct httpc *httpc_open(const struct httpc_options *);
/*
 * Cancels what is open (on_done is called with HTTPC_ERR_CANCELLED).  The
 * loop must then run until its handles have closed.
 */
void httpc_close(struct httpc *);

/* NULL: no memory, on_done won't be called. */
struct httpc_call *httpc_start(struct httpc *, const struct httpc_request *);
/*
 * on_done is called with HTTPC_ERR_CANCELLED before this returns.  Allowed in
 * any callback but the call's own on_done.
 */
void httpc_cancel(struct httpc_call *);
/* A header of the answer, or NULL; valid until on_done returns. */
const char *httpc_response_header(struct httpc_call *, const char *name);

const char *httpc_strerror(enum httpc_error);

#endif /* HTTPC_H */
