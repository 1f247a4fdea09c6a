#include <sys/queue.h>

#include <err.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "clock.h"

/*
 * Proxy before the store, for one entry.
 *
 *     proxy PORT STORE-PORT TEXT LATE-MS
 *
 * A write whose body contains TEXT gets no answer; it reaches the store LATE-MS
 * later, and nothing comes back on its connection.  All else passes.
 */

#define BUFFER_SIZE ((size_t)256 * 1024)
#define WRITE_HEAD "POST /kv-txn"

struct link {
	uv_tcp_t entry;
	uv_tcp_t store;
	uv_connect_t connect;
	uv_timer_t late;
	char *held; /* read from the entry, and not passed on yet */
	size_t len;
	bool connected;
	bool lost; /* no answer passes any more */
};

static struct {
	uv_loop_t *loop;
	uv_tcp_t listener;
	int store_port;
	const char *text;
	uint64_t late_ms;
} proxy;

struct output {
	uv_write_t request;
	char *bytes;
};

static void
on_allocate(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	(void)handle;
	buf->base = malloc(suggested);
	buf->len = buf->base != NULL ? suggested : 0;
}

static void
on_written(uv_write_t *request, int status)
{
	struct output *output;

	(void)status;
	output = request->data;
	free(output->bytes);
	free(output);
}

/* Takes ownership of the bytes. */
static void
pass(uv_tcp_t *to, char *bytes, size_t len)
{
	struct output *output;
	uv_buf_t buf;

	if ((output = calloc(1, sizeof(*output))) == NULL)
		err(2, "calloc");
	output->bytes = bytes;
	output->request.data = output;
	buf = uv_buf_init(bytes, (unsigned int)len);
	if (uv_write(
		&output->request, (uv_stream_t *)to, &buf, 1, on_written) != 0)
		on_written(&output->request, 0);
}

static void
close_handle(void *handle)
{
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/* The memory of a link stays: there are few of them. */
static void
close_link(struct link *link)
{
	close_handle(&link->entry);
	close_handle(&link->store);
	close_handle(&link->late);
}

static void
pass_held(struct link *link)
{
	if (link->len > 0 && !uv_is_closing((uv_handle_t *)&link->store))
		pass(&link->store, link->held, link->len);
	else
		free(link->held);
	link->held = NULL;
	link->len = 0;
}

static void
on_late(uv_timer_t *timer)
{
	printf(
	    "%lld the write reaches the store\n", (long long)clock_wall_ms());
	fflush(stdout);
	pass_held(timer->data);
}

static bool
has_text(const struct link *link)
{
	return link->len >= strlen(WRITE_HEAD) &&
	    memcmp(link->held, WRITE_HEAD, strlen(WRITE_HEAD)) == 0 &&
	    memmem(link->held, link->len, proxy.text, strlen(proxy.text)) !=
	    NULL;
}

/* Whether the request that began is here as a whole. */
static bool
is_whole(const struct link *link)
{
	const char *end, *field;

	end = memmem(link->held, link->len, "\r\n\r\n", 4);
	if (end == NULL)
		return false;
	field = memmem(link->held, link->len, "Content-Length: ", 16);
	if (field == NULL || field > end)
		return true;
	return link->len >=
	    (size_t)(end + 4 - link->held) + strtoul(field + 16, NULL, 10);
}

static void
forward(struct link *link)
{
	if (!link->connected || link->lost || link->len == 0 || !is_whole(link))
		return;
	if (!has_text(link)) {
		pass_held(link);
		return;
	}
	link->lost = true;
	printf("%lld a write gets no answer\n", (long long)clock_wall_ms());
	fflush(stdout);
	uv_timer_start(&link->late, on_late, proxy.late_ms, 0);
}

static void
on_entry(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct link *link;

	link = stream->data;
	if (n < 0) {
		free(buf->base);
		if (link->lost)
			close_handle(&link->entry);
		else
			close_link(link);
		return;
	}
	if (!link->lost && link->len + (size_t)n <= BUFFER_SIZE) {
		link->held = realloc(link->held, link->len + (size_t)n + 1);
		if (link->held == NULL)
			err(2, "realloc");
		memcpy(link->held + link->len, buf->base, (size_t)n);
		link->len += (size_t)n;
	}
	free(buf->base);
	forward(link);
}

static void
on_store(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct link *link;

	link = stream->data;
	if (n >= 0 && !link->lost) {
		pass(&link->entry, buf->base, (size_t)n);
		return;
	}
	free(buf->base);
	if (n < 0)
		close_link(link);
}

static void
on_connected(uv_connect_t *request, int status)
{
	struct link *link;

	link = request->data;
	if (status != 0) {
		close_link(link);
		return;
	}
	link->connected = true;
	uv_read_start((uv_stream_t *)&link->store, on_allocate, on_store);
	forward(link);
}

static void
on_accept(uv_stream_t *listener, int status)
{
	struct sockaddr_in sin;
	struct link *link;

	if (status != 0)
		return;
	if ((link = calloc(1, sizeof(*link))) == NULL)
		err(2, "calloc");
	uv_tcp_init(proxy.loop, &link->entry);
	uv_tcp_init(proxy.loop, &link->store);
	uv_timer_init(proxy.loop, &link->late);
	link->entry.data = link->store.data = link->late.data = link;
	link->connect.data = link;
	if (uv_accept(listener, (uv_stream_t *)&link->entry) != 0)
		errx(2, "accept");
	uv_tcp_nodelay(&link->entry, 1);
	uv_ip4_addr("127.0.0.1", proxy.store_port, &sin);
	uv_tcp_connect(&link->connect, &link->store, (struct sockaddr *)&sin,
	    on_connected);
	uv_read_start((uv_stream_t *)&link->entry, on_allocate, on_entry);
}

int
main(int argc, char **argv)
{
	struct sockaddr_in sin;

	if (argc != 5)
		errx(2, "usage: proxy PORT STORE-PORT TEXT LATE-MS");
	proxy.loop = uv_default_loop();
	proxy.store_port = (int)strtol(argv[2], NULL, 10);
	proxy.text = argv[3];
	proxy.late_ms = strtoull(argv[4], NULL, 10);
	uv_tcp_init(proxy.loop, &proxy.listener);
	uv_ip4_addr("127.0.0.1", (int)strtol(argv[1], NULL, 10), &sin);
	if (uv_tcp_bind(&proxy.listener, (struct sockaddr *)&sin, 0) != 0 ||
	    uv_listen((uv_stream_t *)&proxy.listener, 64, on_accept) != 0)
		errx(2, "port %s", argv[1]);
	return uv_run(proxy.loop, UV_RUN_DEFAULT);
}
