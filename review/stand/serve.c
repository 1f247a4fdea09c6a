#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "serve.h"

#define HEAD_MAX 4096
#define INPUT_MAX ((size_t)2 * 1024 * 1024)

struct server {
	uv_tcp_t tcp;
	serve_handler *handler;
	void *ctx;
};

/* A connection and the request that is under way on it. */
struct request {
	uv_tcp_t tcp;
	struct server *server;
	char *input;
	size_t len;
	size_t head_len; /* 0: the head is not complete */
	size_t body_len;
	char path[HEAD_MAX];
	bool open; /* the request is not answered yet */
	bool closing;
	serve_gone *gone;
	void *gone_ctx;
};

struct output {
	uv_write_t write;
	char *text;
};

static void
on_closed(uv_handle_t *handle)
{
	struct request *r;

	r = handle->data;
	free(r->input);
	free(r);
}

static void
close_connection(struct request *r)
{
	if (r->closing)
		return;
	r->closing = true;
	if (r->open && r->gone != NULL)
		r->gone(r, r->gone_ctx);
	r->open = false;
	uv_close((uv_handle_t *)&r->tcp, on_closed);
}

static const char *
find_header(const struct request *r, const char *name)
{
	const char *line, *end;

	end = r->input + r->head_len;
	for (line = strstr(r->input, "\r\n"); line != NULL && line + 2 < end;
	     line = strstr(line + 2, "\r\n")) {
		if (strncasecmp(line + 2, name, strlen(name)) == 0)
			return line + 2 + strlen(name);
	}
	return NULL;
}

bool
request_header(
    const struct request *r, const char *name, char *buf, size_t size)
{
	const char *value;

	if ((value = find_header(r, name)) == NULL)
		return false;
	value += strspn(value, " ");
	snprintf(buf, size, "%.*s", (int)strcspn(value, "\r"), value);
	return true;
}

/* Reads the head once it is complete; false: it isn't. */
static bool
read_head(struct request *r)
{
	const char *end, *length;
	char method[16];

	if ((end = strstr(r->input, "\r\n\r\n")) == NULL)
		return false;
	r->head_len = (size_t)(end - r->input) + 4;
	if (sscanf(r->input, "%15s %4095s", method, r->path) != 2)
		r->path[0] = '\0';
	length = find_header(r, "content-length:");
	r->body_len = length != NULL ? strtoul(length, NULL, 10) : 0;
	return true;
}

/* Hands on the next request if all of it has been received. */
static void
process_input(struct request *r)
{
	if (r->open || r->closing || r->len == 0)
		return;
	if (r->head_len == 0 && !read_head(r))
		return;
	if (r->len < r->head_len + r->body_len)
		return;
	r->open = true;
	r->gone = NULL;
	r->server->handler(r, r->server->ctx);
}

static void
on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	if ((buf->base = malloc(size)) == NULL)
		err(2, "memory");
	buf->len = size;
}

static void
on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct request *r;

	r = stream->data;
	if (n < 0 || r->len + (size_t)n > INPUT_MAX) {
		free(buf->base);
		close_connection(r);
		return;
	}
	if ((r->input = realloc(r->input, r->len + (size_t)n + 1)) == NULL)
		err(2, "memory");
	memcpy(r->input + r->len, buf->base, (size_t)n);
	r->len += (size_t)n;
	r->input[r->len] = '\0';
	free(buf->base);
	process_input(r);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct request *r;

	if (status < 0)
		return;
	if ((r = calloc(1, sizeof(*r))) == NULL)
		err(2, "memory");
	r->server = listener->data;
	uv_tcp_init(listener->loop, &r->tcp);
	r->tcp.data = r;
	if (uv_accept(listener, (uv_stream_t *)&r->tcp) != 0 ||
	    uv_read_start((uv_stream_t *)&r->tcp, on_alloc, on_read) != 0)
		close_connection(r);
	else
		uv_tcp_nodelay(&r->tcp, 1);
}

void
serve_open(uv_loop_t *loop, int port, serve_handler *handler, void *ctx)
{
	struct sockaddr_in sin;
	struct server *server;

	if ((server = calloc(1, sizeof(*server))) == NULL)
		err(2, "memory");
	server->handler = handler;
	server->ctx = ctx;
	uv_tcp_init(loop, &server->tcp);
	server->tcp.data = server;
	if (uv_ip4_addr("127.0.0.1", port, &sin) != 0 ||
	    uv_tcp_bind(&server->tcp, (struct sockaddr *)&sin, 0) != 0 ||
	    uv_listen((uv_stream_t *)&server->tcp, 256, on_connection) != 0)
		errx(2, "port %d", port);
}

const char *
request_path(const struct request *r)
{
	return r->path;
}

const char *
request_body(const struct request *r, size_t *len)
{
	*len = r->body_len;
	return r->input + r->head_len;
}

void
request_on_gone(struct request *r, serve_gone *gone, void *ctx)
{
	r->gone = gone;
	r->gone_ctx = ctx;
}

static void
on_written(uv_write_t *write, int status)
{
	struct output *out;

	(void)status;
	out = write->data;
	free(out->text);
	free(out);
}

void
request_reply(struct request *r, int status, const char *body)
{
	struct output *out;
	uv_buf_t buf;
	size_t used;
	int n;

	if ((out = calloc(1, sizeof(*out))) == NULL)
		err(2, "memory");
	n = asprintf(&out->text,
	    "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    status, strlen(body), body);
	if (n == -1)
		err(2, "memory");
	out->write.data = out;
	buf = uv_buf_init(out->text, (unsigned int)n);
	r->open = false;
	if (uv_write(
		&out->write, (uv_stream_t *)&r->tcp, &buf, 1, on_written) != 0)
		on_written(&out->write, -1);
	used = r->head_len + r->body_len;
	memmove(r->input, r->input + used, r->len - used + 1);
	r->len -= used;
	r->head_len = 0;
	process_input(r);
}

void
request_drop(struct request *r)
{
	r->open = false;
	close_connection(r);
}
