#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "store_codec.h"
#include "store_int.h"

#define URL_MAX 512
#define LINE_MIN_SIZE 4096
/* A line holds all events of a revision, values in base64. */
#define LINE_MAX_LEN (256UL * 1024 * 1024)

enum watch_state {
	WATCH_WAITING, /* to be opened at due_ms */
	WATCH_OPEN,
	WATCH_ENDED /* ended by the store, or closed */
};

struct store_watch {
	TAILQ_ENTRY(store_watch) link;
	struct store *store;
	enum watch_state state;
	char *prefix;
	int64_t next_revision; /* first one not yet delivered */
	int64_t due_ms;
	int64_t last_message_ms; /* time of the last message, or of opening */
	unsigned int failures; /* since the last message */
	struct httpc_call *http;
	char *line; /* buffer of an incomplete message */
	size_t line_len;
	size_t line_size;
	store_watch_event_fn *on_event;
	store_watch_progress_fn *on_progress;
	store_watch_lost_fn *on_lost;
	void *ctx;
	int busy; /* nesting depth of callbacks; freed only at 0 */
	bool closed;
};

static void open_watch(struct store_watch *, int64_t);
static void on_head(struct httpc_call *, int, void *);
static void on_data(struct httpc_call *, const char *, size_t, void *);
static void on_done(const struct httpc_result *, void *);
static int append_line(struct store_watch *, const char *, size_t);
static void handle_line(struct store_watch *, const char *, size_t);
static void deliver_events(
    struct store_watch *, const struct store_watch_message *);
static void schedule_reopen(struct store_watch *, const char *);
static void cancel_http(struct store_watch *);
static void end_watch(struct store_watch *, enum store_watch_loss);
static void free_if_closed(struct store_watch *);

struct store_watch *
store_watch_open(struct store *s, const struct store_watch_options *o)
{
	struct store_watch *w;

	if (s->closing || (w = calloc(1, sizeof(*w))) == NULL)
		return NULL;
	if ((w->prefix = strdup(o->prefix)) == NULL) {
		free(w);
		return NULL;
	}
	w->store = s;
	w->state = WATCH_WAITING;
	w->next_revision = o->start_revision;
	w->due_ms = clock_now_ms();
	w->on_event = o->on_event;
	w->on_progress = o->on_progress;
	w->on_lost = o->on_lost;
	w->ctx = o->ctx;
	TAILQ_INSERT_TAIL(&s->watches, w, link);
	store_arm_timer(s, 0);
	return w;
}

void
store_watch_close(struct store_watch *w)
{
	w->closed = true;
	w->state = WATCH_ENDED;
	w->busy++;
	cancel_http(w);
	w->busy--;
	free_if_closed(w);
}

static void
free_if_closed(struct store_watch *w)
{
	if (!w->closed || w->busy > 0)
		return;
	TAILQ_REMOVE(&w->store->watches, w, link);
	free(w->prefix);
	free(w->line);
	free(w);
}

void
store_watches_close(struct store *s)
{
	struct store_watch *w, *next;

	for (w = TAILQ_FIRST(&s->watches); w != NULL; w = next) {
		next = TAILQ_NEXT(w, link);
		store_watch_close(w);
	}
}

int64_t
store_watches_next_due_ms(const struct store *s)
{
	const struct store_watch *w;
	int64_t due_ms, idle_ms;

	due_ms = INT64_MAX;
	TAILQ_FOREACH (w, &s->watches, link) {
		if (w->state == WATCH_WAITING && w->due_ms < due_ms)
			due_ms = w->due_ms;
		idle_ms = w->last_message_ms + s->watch_idle_ms;
		if (w->state == WATCH_OPEN && idle_ms < due_ms)
			due_ms = idle_ms;
	}
	return due_ms;
}

void
store_watches_tick(struct store *s, int64_t now_ms)
{
	struct store_watch *w;

again:
	TAILQ_FOREACH (w, &s->watches, link) {
		if (w->state == WATCH_WAITING && w->due_ms <= now_ms) {
			open_watch(w, now_ms);
			goto again;
		}
		if (w->state == WATCH_OPEN &&
		    w->last_message_ms + s->watch_idle_ms <= now_ms) {
			/*
			 * A peer that disappears without closing the
			 * connection leaves it silent for ever, and the entry
			 * would use stale configuration.
			 */
			schedule_reopen(w, "watch_idle");
			goto again;
		}
	}
}

static void
open_watch(struct store_watch *w, int64_t now_ms)
{
	static const struct httpc_header json = { "content-type",
		"application/json" };
	struct httpc_request request;
	char url[URL_MAX], *body;

	if (!store_consume_budget(w->store, now_ms, false)) {
		schedule_reopen(w, "budget");
		return;
	}
	body = store_encode_watch(w->prefix, w->next_revision);
	if (body == NULL ||
	    store_url(w->store, "/v3/watch", url, sizeof(url)) == -1)
		goto fail;
	memset(&request, 0, sizeof(request));
	request.method = "POST";
	request.url = url;
	request.headers = &json;
	request.nheaders = 1;
	request.body = body;
	request.body_len = strlen(body);
	request.connect_timeout_ms = w->store->connect_timeout_ms;
	request.on_head = on_head;
	request.on_data = on_data;
	request.on_done = on_done;
	request.ctx = w;
	if ((w->http = httpc_start(w->store->httpc, &request)) == NULL)
		goto fail;
	free(body);
	store_count_call(CALL_WATCH);
	w->state = WATCH_OPEN;
	w->last_message_ms = now_ms;
	w->line_len = 0;
	return;

fail:
	free(body);
	schedule_reopen(w, "memory");
}

static void
on_head(struct httpc_call *call, int status, void *ctx)
{
	struct store_watch *w;

	(void)call;
	w = ctx;
	if (status != 200 && w->state == WATCH_OPEN)
		schedule_reopen(w, "watch_refused");
}

static void
on_data(struct httpc_call *call, const char *data, size_t len, void *ctx)
{
	struct store_watch *w;
	const char *end;
	size_t n;

	w = ctx;
	w->busy++;
	while (len > 0 && w->state == WATCH_OPEN && w->http == call) {
		if ((end = memchr(data, '\n', len)) == NULL) {
			if (append_line(w, data, len) == -1)
				schedule_reopen(w, "watch_rubbish");
			break;
		}
		n = (size_t)(end - data);
		if (w->line_len == 0)
			handle_line(w, data, n);
		else if (append_line(w, data, n) == -1)
			schedule_reopen(w, "watch_rubbish");
		else {
			n = w->line_len;
			w->line_len = 0;
			handle_line(w, w->line, n);
		}
		len -= (size_t)(end - data) + 1;
		data = end + 1;
	}
	w->busy--;
	free_if_closed(w);
}

static int
append_line(struct store_watch *w, const char *data, size_t len)
{
	size_t want;
	char *grown;

	want = w->line_len + len;
	if (want > LINE_MAX_LEN)
		return -1;
	if (want > w->line_size) {
		if (want < w->line_size * 2)
			want = w->line_size * 2;
		if (want < LINE_MIN_SIZE)
			want = LINE_MIN_SIZE;
		if ((grown = realloc(w->line, want)) == NULL)
			return -1;
		w->line = grown;
		w->line_size = want;
	}
	memcpy(w->line + w->line_len, data, len);
	w->line_len += len;
	return 0;
}

static void
handle_line(struct store_watch *w, const char *line, size_t len)
{
	struct store_watch_message m;

	if (len == 0)
		return;
	if (store_decode_watch(line, len, &m) == -1) {
		schedule_reopen(w, "watch_rubbish");
		return;
	}
	w->last_message_ms = clock_now_ms();
	w->failures = 0;
	store_note_answer(w->store);
	if (m.compact_revision > 0)
		end_watch(w, STORE_WATCH_COMPACTED);
	else if (m.cancelled)
		end_watch(w, STORE_WATCH_CANCELLED);
	else
		deliver_events(w, &m);
	store_free_watch(&m);
}

/*
 * The revision in the header may be ahead of events not yet delivered, except
 * in a progress notification.  Otherwise only delivered events advance the
 * revision from which the watch resumes.
 */
static void
deliver_events(struct store_watch *w, const struct store_watch_message *m)
{
	int64_t seen;
	size_t i;

	seen = w->next_revision - 1;
	for (i = 0; i < m->nevents && w->state == WATCH_OPEN; i++) {
		if (m->events[i].kv.mod_revision < w->next_revision)
			continue;
		if (m->events[i].kv.mod_revision > seen)
			seen = m->events[i].kv.mod_revision;
		w->on_event(m->events[i].type, &m->events[i].kv, w->ctx);
	}
	if (m->refused_revision > seen)
		seen = m->refused_revision;
	if (m->nevents == 0 && m->refused_revision == 0 && !m->created &&
	    m->revision > seen)
		seen = m->revision;
	if (w->state != WATCH_OPEN || m->created)
		return;
	w->next_revision = seen + 1;
	if (w->on_progress != NULL)
		w->on_progress(seen, w->ctx);
}

static void
on_done(const struct httpc_result *result, void *ctx)
{
	struct store_watch *w;

	(void)result;
	w = ctx;
	w->http = NULL;
	if (w->state != WATCH_OPEN)
		return;
	store_next_endpoint(w->store);
	schedule_reopen(w, "watch_broken");
}

/* Schedules a reopening after the last revision seen. */
static void
schedule_reopen(struct store_watch *w, const char *reason)
{
	bool was_open;

	was_open = w->state == WATCH_OPEN;
	w->state = WATCH_WAITING;
	w->due_ms = clock_now_ms() + store_backoff_ms(w->store, w->failures++);
	counter_inc_reason("lagoonpin_store_retries", reason);
	w->busy++;
	cancel_http(w);
	if (was_open && !w->closed && w->on_lost != NULL)
		w->on_lost(STORE_WATCH_BROKEN, w->ctx);
	w->busy--;
	store_arm_timer(w->store, 0);
	free_if_closed(w);
}

static void
end_watch(struct store_watch *w, enum store_watch_loss loss)
{
	log_info("store_watch_lost", "prefix=%s loss=%s", w->prefix,
	    loss == STORE_WATCH_COMPACTED ? "compacted" : "cancelled");
	counter_inc_reason("lagoonpin_store_errors",
	    loss == STORE_WATCH_COMPACTED ? "compacted" : "watch_cancelled");
	w->state = WATCH_ENDED;
	cancel_http(w);
	if (w->on_lost != NULL)
		w->on_lost(loss, w->ctx);
}

static void
cancel_http(struct store_watch *w)
{
	struct httpc_call *http;

	if ((http = w->http) == NULL)
		return;
	w->http = NULL;
	httpc_cancel(http);
}
