#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "reply.h"
#include "rpc.h"
#include "stream.h"
#include "wire.h"

struct stream {
	LIST_ENTRY(stream) link;
	struct httpd_request *request;
	struct watch *watch;
	bool over; /* the last line came while it was being opened */
};

static void on_line(const char *, size_t, bool, void *);
static void on_stream_gone(struct httpd_request *, void *);
static void stream_end(struct stream *, bool);

void
stream_start(struct stream_list *list, struct watches *watches,
    struct httpd_request *r, const char *body, size_t len)
{
	struct wire_pool pool;
	struct kvs_span span;
	struct stream *s;
	int64_t revision;
	json_t *o;

	memset(&pool, 0, sizeof(pool));
	o = json_loadb(body, len, 0, NULL);
	if (wire_watch(o, &pool, &span, &revision) != WIRE_OK) {
		gateway_reply(
		    r, 400, rpc_error(RPC_CODE_INVALID, "malformed request"));
	} else if ((s = calloc(1, sizeof(*s))) == NULL) {
		gateway_lose(r);
	} else {
		s->request = r;
		LIST_INSERT_HEAD(list, s, link);
		httpd_begin(r, 200, &gateway_json, 1);
		httpd_on_disconnect(r, on_stream_gone, s);
		s->watch = watch_open(watches, &span, revision, on_line, s);
		if (s->watch == NULL || s->over)
			stream_end(s, s->watch == NULL);
	}
	json_decref(o);
	wire_pool_free(&pool);
}

static void
on_line(const char *line, size_t len, bool last, void *ctx)
{
	struct stream *s;

	s = ctx;
	httpd_send(s->request, line, len);
	if (!last)
		return;
	if (s->watch == NULL)
		s->over = true;
	else
		stream_end(s, false);
}

static void
on_stream_gone(struct httpd_request *r, void *ctx)
{
	struct stream *s;

	(void)r;
	s = ctx;
	s->request = NULL;
	stream_end(s, true);
}

static void
stream_end(struct stream *s, bool broken)
{
	LIST_REMOVE(s, link);
	if (s->watch != NULL)
		watch_close(s->watch);
	if (s->request != NULL) {
		httpd_on_disconnect(s->request, NULL, NULL);
		if (broken)
			httpd_abort(s->request);
		else
			httpd_end(s->request);
	}
	free(s);
}

void
stream_break_all(struct stream_list *list)
{
	struct stream *s, *next;

	for (s = LIST_FIRST(list); s != NULL; s = next) {
		next = LIST_NEXT(s, link);
		stream_end(s, true);
	}
}
