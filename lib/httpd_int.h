#ifndef HTTPD_INT_H
#define HTTPD_INT_H

#include <sys/queue.h>

#include <stdbool.h>

#include <h2o.h>

#include "httpd.h"

/*
 * Shared by httpd.c (connections), httpd_request.c (requests) and httpd_limit.c
 * (what clients may use).
 */

struct httpd_connection {
	uv_tcp_t tcp; /* must be first: on_connection_closed() casts */
	struct httpd *httpd;
	h2o_socket_t *sock;
	TAILQ_ENTRY(httpd_connection) link;
	uint32_t nrequests; /* being handled */
	bool head_complete; /* of the request that is received */
	bool refused; /* it is closed once h2o notices */
};

struct httpd_handler_slot {
	h2o_handler_t super; /* must be first: h2o allocates and casts */
	struct httpd *httpd;
};

struct httpd {
	uv_loop_t *loop;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept_ctx;
	uv_tcp_t listener;
	uv_timer_t closer;
	/* The one without a complete request for longest comes first. */
	TAILQ_HEAD(httpd_connections, httpd_connection) connections;
	size_t nconnections;
	size_t nopen; /* of them, not refused */
	bool accept_waits; /* a connection waits to be accepted */
	uv_check_t check;
	size_t head_max;
	size_t receive_max;
	size_t connections_max;
	size_t nrefused; /* connections, since the last log line */
	int64_t refusal_logged_ms;
	LIST_HEAD(, httpd_request) watched;
	httpd_handler *handler;
	void *ctx;
	bool listening;
	bool closing;
	bool disposed;
};

/* h2o request handler, called once the whole body has been received. */
int httpd_on_request(h2o_handler_t *, h2o_req_t *);

void httpd_limit_init(struct httpd *, const struct httpd_options *);
/* Before listening. */
void httpd_limit_listener(struct httpd *);
/* Whether one more may be held beside those that are being closed. */
bool httpd_limit_may_accept(const struct httpd *);
/* Makes room for a new connection; false: there is none. */
bool httpd_limit_admit(struct httpd *);
/* Whether the head of the request that is received exceeds its limit. */
bool httpd_limit_head_exceeded(struct httpd_connection *);
/* Whether there is memory to handle a request with a body of this size. */
bool httpd_limit_may_handle(const struct httpd_connection *, size_t body_len);

#endif /* HTTPD_INT_H */
