#ifndef REVIEW_SERVE_H
#define REVIEW_SERVE_H

#include <stdbool.h>
#include <stddef.h>

#include <uv.h>

/*
 * A small HTTP/1.1 server with connections that stay open, one request at a
 * time on each.  Unlike the project's own server it can end a connection
 * without having sent a byte of the response.
 */

struct request;

typedef void serve_handler(struct request *, void *ctx);
typedef void serve_gone(struct request *, void *ctx);

/* Exits if it can't listen on the port of 127.0.0.1. */
void serve_open(uv_loop_t *, int port, serve_handler *, void *ctx);

const char *request_path(const struct request *); /* with the query */
const char *request_body(const struct request *, size_t *len);
/* Copies a header's value; false if there is none.  The name ends with ':'. */
bool request_header(
    const struct request *, const char *name, char *buf, size_t size);
/* Called if the client disconnects before the request is answered. */
void request_on_gone(struct request *, serve_gone *, void *ctx);
void request_reply(struct request *, int status, const char *body);
/* Closes the connection without an answer. */
void request_drop(struct request *);

#endif /* REVIEW_SERVE_H */
