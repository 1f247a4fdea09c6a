#ifndef HTTPD_INT_H
#define HTTPD_INT_H

#include <sys/queue.h>

#include <stdbool.h>

#include <h2o.h>

#include "httpd.h"

/* Shared by httpd.c (connections) and httpd_request.c (requests). */

struct httpd_connection;

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
	LIST_HEAD(, httpd_connection) connections;
	LIST_HEAD(, httpd_request) watched;
	httpd_handler *handler;
	void *ctx;
	bool listening;
	bool closing;
	bool disposed;
};

/* h2o request handler, called once the whole body has been received. */
int httpd_on_request(h2o_handler_t *, h2o_req_t *);

#endif /* HTTPD_INT_H */
