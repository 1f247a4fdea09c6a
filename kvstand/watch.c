#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include "watch.h"
#include "wire.h"

struct watch {
	LIST_ENTRY(watch) link;
	struct watches *all;
	struct kvs_span span; /* own copies of its bytes */
	int64_t id;
	int64_t next_revision;
	bool over;
	json_t *events; /* being gathered */
	watch_send *send;
	void *ctx;
};

LIST_HEAD(watch_list, watch);

struct watches {
	const struct kvs *kvs;
	struct watch_list list;
	size_t count;
	int64_t next_id;
	bool held;
};

static int copy_bytes(struct kvs_bytes *, const struct kvs_bytes *);
static void send_line(struct watch *, json_t *, bool);
static json_t *message(const struct watch *);
static void flush(struct watch *);
static void gather(const struct kvs_kv *, void *);

struct watches *
watches_open(const struct kvs *kvs)
{
	struct watches *all;

	if ((all = calloc(1, sizeof(*all))) == NULL)
		return NULL;
	all->kvs = kvs;
	all->next_id = 1;
	LIST_INIT(&all->list);
	return all;
}

void
watches_close(struct watches *all)
{
	free(all);
}

size_t
watches_count(const struct watches *all)
{
	return all->count;
}

static int
copy_bytes(struct kvs_bytes *to, const struct kvs_bytes *from)
{
	char *data;

	if ((data = malloc(from->len + 1)) == NULL)
		return -1;
	memcpy(data, from->data, from->len);
	to->data = data;
	to->len = from->len;
	return 0;
}

struct watch *
watch_open(struct watches *all, const struct kvs_span *span,
    int64_t start_revision, watch_send *send, void *ctx)
{
	struct watch *w;
	json_t *o;

	if ((w = calloc(1, sizeof(*w))) == NULL)
		return NULL;
	if (copy_bytes(&w->span.key, &span->key) == -1 ||
	    copy_bytes(&w->span.end, &span->end) == -1) {
		free((char *)w->span.key.data);
		free(w);
		return NULL;
	}
	w->all = all;
	w->id = all->next_id++;
	w->next_revision =
	    start_revision > 0 ? start_revision : kvs_revision(all->kvs) + 1;
	w->send = send;
	w->ctx = ctx;
	LIST_INSERT_HEAD(&all->list, w, link);
	all->count++;
	o = message(w);
	json_object_set_new(o, "created", json_true());
	send_line(w, o, false);
	flush(w);
	return w;
}

void
watch_close(struct watch *w)
{
	LIST_REMOVE(w, link);
	w->all->count--;
	free((char *)w->span.key.data);
	free((char *)w->span.end.data);
	free(w);
}

static json_t *
message(const struct watch *w)
{
	return json_pack("{s:o,s:o}", "header",
	    wire_header(kvs_revision(w->all->kvs)), "watch_id",
	    wire_int(w->id));
}

/* Takes the result object over. */
static void
send_line(struct watch *w, json_t *result, bool last)
{
	json_t *o;
	char *text;
	size_t len;

	o = json_pack("{s:o}", "result", result);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	w->over = last;
	if (text == NULL)
		return;
	len = strlen(text);
	text[len] = '\n';
	w->send(text, len + 1, last, w->ctx);
	free(text);
}

static void
gather(const struct kvs_kv *kv, void *ctx)
{
	struct watch *w;
	json_t *event;

	w = ctx;
	if (!kvs_span_has(&w->span, &kv->key))
		return;
	event = json_pack("{s:o}", "kv", wire_kv(kv, false));
	if (kv->version == 0)
		json_object_set_new(event, "type", json_string("DELETE"));
	json_array_append_new(w->events, event);
}

static void
flush(struct watch *w)
{
	const struct kvs *kvs;
	json_t *o;

	kvs = w->all->kvs;
	if (w->all->held || w->over || w->next_revision > kvs_revision(kvs))
		return;
	if (w->next_revision < kvs_compact_revision(kvs)) {
		o = message(w);
		json_object_set_new(o, "canceled", json_true());
		json_object_set_new(
		    o, "compact_revision", wire_int(kvs_compact_revision(kvs)));
		send_line(w, o, true);
		return;
	}
	w->events = json_array();
	kvs_events(kvs, w->next_revision, gather, w);
	w->next_revision = kvs_revision(kvs) + 1;
	if (json_array_size(w->events) == 0) {
		json_decref(w->events);
		return;
	}
	o = message(w);
	json_object_set_new(o, "events", w->events);
	send_line(w, o, false);
}

void
watches_flush(struct watches *all)
{
	struct watch *w, *next;

	/* A watch may be closed while it is sent to, but only itself. */
	for (w = LIST_FIRST(&all->list); w != NULL; w = next) {
		next = LIST_NEXT(w, link);
		flush(w);
	}
}

void
watches_progress(struct watches *all)
{
	struct watch *w, *next;

	if (all->held)
		return;
	for (w = LIST_FIRST(&all->list); w != NULL; w = next) {
		next = LIST_NEXT(w, link);
		/* Only one that has been told everything may be told this. */
		if (!w->over && w->next_revision > kvs_revision(all->kvs))
			send_line(w, message(w), false);
	}
}

void
watches_hold(struct watches *all, bool hold)
{
	all->held = hold;
	if (!hold)
		watches_flush(all);
}
