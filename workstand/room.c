#include "state.h"

static int64_t max64(int64_t, int64_t);
static void note_most(struct worker *);
static void count_call(
    struct worker *, struct shard_epoch *, int64_t epoch, bool watch, int sign);

static int64_t
max64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static void
note_most(struct worker *w)
{
	struct worker_room *most;

	most = &w->record.most_used;
	most->cpu_millis = max64(most->cpu_millis, w->used.cpu_millis);
	most->memory_mib = max64(most->memory_mib, w->used.memory_mib);
	most->accelerators = max64(most->accelerators, w->used.accelerators);
	most->slots = max64(most->slots, w->used.slots);
	most->connections = max64(most->connections, w->used.connections);
}

bool
room_fits(const struct worker *w, const struct worker_start *start)
{
	const struct worker_room *capacity;

	capacity = &w->options.capacity;
	return w->used.cpu_millis + start->cpu_millis <= capacity->cpu_millis &&
	    w->used.memory_mib + start->memory_mib <= capacity->memory_mib &&
	    w->used.accelerators + start->accelerators <=
	    capacity->accelerators;
}

void
room_take(struct worker *w, const struct worker_start *start)
{
	w->used.cpu_millis += start->cpu_millis;
	w->used.memory_mib += start->memory_mib;
	w->used.accelerators += start->accelerators;
	note_most(w);
}

void
room_give(struct worker *w, const struct worker_start *start)
{
	w->used.cpu_millis -= start->cpu_millis;
	w->used.memory_mib -= start->memory_mib;
	w->used.accelerators -= start->accelerators;
}

bool
room_leaving(struct worker *w, uint64_t *count, int64_t now_ms)
{
	if (!w->leaving)
		return false;
	(*count)++;
	w->record.last_while_leaving_ms = now_ms - w->leaving_since_ms;
	return w->refuse;
}

enum worker_error
worker_call_begin(struct worker *w, const char *shard, int64_t epoch,
    bool watch, int64_t now_ms)
{
	enum worker_error error;
	bool fits;

	if ((error = worker_fence(w, shard, epoch)) != WORKER_OK)
		return error;
	if (room_leaving(w, &w->record.calls_while_leaving, now_ms)) {
		w->record.refused[WORKER_ERR_LEAVING]++;
		return WORKER_ERR_LEAVING;
	}
	fits = w->used.connections < w->options.capacity.connections &&
	    (watch || w->used.slots < w->options.capacity.slots);
	if (!fits)
		w->record.over_capacity_calls++;
	if (!fits && !w->options.accept_over) {
		w->record.refused[WORKER_ERR_FULL]++;
		return WORKER_ERR_FULL;
	}
	count_call(w, epoch_find(w, shard), epoch, watch, 1);
	note_most(w);
	return WORKER_OK;
}

static void
count_call(struct worker *w, struct shard_epoch *e, int64_t epoch, bool watch,
    int sign)
{
	struct worker_calls *calls;

	calls = epoch == e->epoch ? &e->calls : &e->older;
	w->used.connections += sign;
	calls->connections += sign;
	if (watch)
		return;
	w->used.slots += sign;
	calls->slots += sign;
}

void
worker_call_end(struct worker *w, const char *shard, int64_t epoch, bool watch)
{
	count_call(w, epoch_find(w, shard), epoch, watch, -1);
}

struct worker_calls
worker_older_calls(struct worker *w, const char *shard)
{
	static const struct worker_calls none;
	struct shard_epoch *e;

	e = epoch_find(w, shard);
	return e == NULL ? none : e->older;
}

void
worker_leave(struct worker *w, bool leaving, bool refuse, int64_t now_ms)
{
	if (leaving && !w->leaving)
		w->leaving_since_ms = now_ms;
	w->leaving = leaving;
	w->refuse = refuse;
}

const struct worker_room *
worker_used(const struct worker *w)
{
	return &w->used;
}

const struct worker_room *
worker_capacity(const struct worker *w)
{
	return &w->options.capacity;
}

const struct worker_record *
worker_get_record(const struct worker *w)
{
	return &w->record;
}
