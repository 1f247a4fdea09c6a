#ifndef HTTPD_H
#define HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uv.h>

/*
 * HTTP/1.1 and HTTP/2 server: h2o on a libuv loop.  The response may be sent
 * at once, later from any callback of the loop, or streamed.
 */

struct httpd;
struct httpd_request;

enum httpd_error {
	HTTPD_OK,
	HTTPD_ERR_MEMORY,
	HTTPD_ERR_ADDRESS, /* not an IPv4 address and port */
	HTTPD_ERR_LISTEN /* bind or listen failed */
};

/* Called for each request, once its whole body has been received. */
typedef void httpd_handler(struct httpd_request *, void *ctx);

/*
 * The client disconnected before the response was complete.  The request must
 * not be used afterwards.  Not called once the response is complete.
 */
typedef void httpd_disconnected(struct httpd_request *, void *ctx);

struct httpd_options {
	uv_loop_t *loop;
	const char *ip; /* IPv4 address */
	int port; /* 0: any free port */
	size_t body_max; /* bytes; larger bodies are refused with 413 */
	/* Limits of what clients may use; 0: none. */
	size_t head_max; /* bytes; larger heads are refused with 431 */
	/*
	 * Bytes buffered for the requests of all clients.  Beyond it the
	 * connections that hold most are closed; requests with large bodies are
	 * refused with 503 from half of it on.
	 */
	size_t receive_max;
	/* Beyond it the connection that was idle for longest is closed. */
	size_t connections_max;
	bool http1_only;
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

/* Change the limits of requests whose heads arrive from now on. */
void httpd_set_request_max(struct httpd *, size_t head_max, size_t body_max);

/* Stop accepting connections; requests in flight continue. */
void httpd_stop_listening(struct httpd *);

/*
 * Continue serving, but close each connection after its next response, so that
 * clients connect elsewhere.
 */
void httpd_close_after_response(struct httpd *);

/*
 * Close all connections, including those with open requests; the loop must then
 * run until the handles are closed.
 */
void httpd_close(struct httpd *);

const char *httpd_strerror(enum httpd_error);

/* Valid until the response is complete or the client has disconnected. */
const char *httpd_method(struct httpd_request *);
const char *httpd_path(struct httpd_request *); /* without the query */
const char *httpd_query(struct httpd_request *); /* after '?', or "" */
const char *httpd_body(struct httpd_request *, size_t *len);
/* NUL-terminated value of a header, or NULL.  name is in lower case. */
const char *httpd_request_header(struct httpd_request *, const char *name);

/* Set the function that is called when the client disconnects. */
void httpd_on_disconnect(
    struct httpd_request *, httpd_disconnected *, void *ctx);

/*
 * Send a complete response; body and headers are copied.  The request must not
 * be used afterwards.
 */
void httpd_reply(struct httpd_request *, int status,
    const struct httpd_header *headers, size_t nheaders, const void *body,
    size_t len);

/*
 * Stream a response: begin, send any number of times, end.  The status and
 * headers are sent with the first chunk.
 */
void httpd_begin(struct httpd_request *, int status,
    const struct httpd_header *headers, size_t nheaders);
void httpd_send(struct httpd_request *, const void *data, size_t len);
/* Complete the response. */
void httpd_end(struct httpd_request *);
/*
 * Abort the response: the connection or stream is reset so that the client
 * can't mistake a partial response for a complete one.
 */
void httpd_abort(struct httpd_request *);

#endif /* HTTPD_H */
