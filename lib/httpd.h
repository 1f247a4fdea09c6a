#ifndef HTTPD_H
#define HTTPD_H

#include <stddef.h>
#include <stdint.h>

#include <uv.h>

/*
 * HTTP/1.1 and HTTP/2 server: h2o on a libuv loop.  A request may be answered
 * at once, later from any callback of the loop, or in pieces.
 */

struct httpd;
struct httpd_request;

enum httpd_error {
	HTTPD_OK,
	HTTPD_ERR_MEMORY,
	HTTPD_ERR_ADDRESS, /* not an IPv4 number and port */
	HTTPD_ERR_LISTEN /* the address can't be listened on */
};

/* A request with its whole body has arrived. */
typedef void httpd_handler(struct httpd_request *, void *ctx);

/*
 * The caller went away before the answer was complete.  The request must not
 * be used afterwards.  Not called after the answer is complete.
 */
typedef void httpd_disconnected(struct httpd_request *, void *ctx);

struct httpd_options {
	uv_loop_t *loop;
	const char *ip; /* IPv4 number */
	int port; /* 0: any free one */
	size_t body_max; /* bytes; a larger body gets 413 */
	httpd_handler *handler;
	void *ctx;
};

struct httpd_header {
	const char *name; /* in lower case */
	const char *value;
};

/* On failure returns NULL and sets *error. */
struct httpd *httpd_open(const struct httpd_options *, enum httpd_error *error);
int httpd_port(const struct httpd *);

/* Stop taking connections; requests in flight go on. */
void httpd_stop_listening(struct httpd *);

/*
 * Go on serving, but close each connection after its next answer, so that
 * callers connect elsewhere.
 */
void httpd_close_after_response(struct httpd *);

/* Close everything, open requests included; the loop must then run once more.
 */
void httpd_close(struct httpd *);

const char *httpd_strerror(enum httpd_error);

/* Valid until the answer is complete or the caller is gone. */
const char *httpd_method(struct httpd_request *);
const char *httpd_path(struct httpd_request *); /* without the query */
const char *httpd_query(struct httpd_request *); /* after '?', or "" */
const char *httpd_body(struct httpd_request *, size_t *len);
/* The value of a header, NUL-terminated, or NULL.  name in lower case. */
const char *httpd_request_header(struct httpd_request *, const char *name);

/* Be told when the caller goes away. */
void httpd_on_disconnect(
    struct httpd_request *, httpd_disconnected *, void *ctx);

/* Answer whole; body and headers are copied.  The request is used up. */
void httpd_reply(struct httpd_request *, int status,
    const struct httpd_header *headers, size_t nheaders, const void *body,
    size_t len);

/*
 * Answer in pieces: begin, send any number of times, end.  The status and the
 * headers go out with the first piece.
 */
void httpd_begin(struct httpd_request *, int status,
    const struct httpd_header *headers, size_t nheaders);
void httpd_send(struct httpd_request *, const void *data, size_t len);
/* The answer is complete. */
void httpd_end(struct httpd_request *);
/*
 * The answer broke off: the connection or stream is reset so that the caller
 * can't take what it has for the whole answer.
 */
void httpd_abort(struct httpd_request *);

#endif /* HTTPD_H */
