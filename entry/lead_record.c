#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "jsonfield.h"
#include "lead_int.h"
#include "log.h"
#include "validate.h"

/*
 * The worker record: which workers may run tasks, and what a next leader has to
 * wait for.  It is written as a whole, conditional on its own revision and on
 * the leader record: so the store has it as the last acknowledged write left
 * it, and a late write can't overwrite a newer one.
 *
 * A row is [id, address, start] for a worker in use.  It is [id, address, term,
 * tasks, left_ms, start] for a worker on which nothing is started any more.
 * left_ms is null while its lease is renewed; otherwise all leases there have
 * expired left_ms after the write.  tasks is null if the leader doesn't know
 * what runs there.  start is that of the incarnation whose leases are bounded
 * so, 0 if they may be the longest, or -1 if left_ms bounds all of them;
 * workers that tell none have rows without it, and without a null before it. An
 * earlier version of the program knows only rows of the first kind, and starts
 * and renews on any worker; so the other rows are valid only if the last leader
 * wrote them.
 */

#define RETRY_MS 100
/*
 * While a lease expires, its remaining time is rewritten at this interval: a
 * next leader counts from its own read, and waits longer by no more than this.
 */
#define REFRESH_MS 250
/* The same for workers that answer and leave only after some seconds. */
#define REFRESH_DRAINING_MS 1000

/* In place of a start. */
#define ROW_START_UNKNOWN 0
#define ROW_START_ANY (-1)

enum row_field {
	ROW_ID,
	ROW_ADDRESS,
	ROW_TERM,
	ROW_IN_USE_START = ROW_TERM,
	ROW_IN_USE_SIZE,
	ROW_TASKS = ROW_IN_USE_SIZE,
	ROW_LEFT_MS,
	ROW_START
};

struct record_row {
	char id[SCHED_WORKER_ID_MAX];
	enum worker_record record;
};

struct record_write {
	struct lead *lead;
	int64_t sent_ms;
	size_t n;
	struct record_row *rows;
};

void
lead_record_changed(struct sched *s, struct sched_worker *worker, void *ctx)
{
	struct lead *l;

	(void)s;
	(void)worker;
	l = ctx;
	l->record_dirty = true;
}

/* Returns false if the list is damaged. */
static bool
load_tasks(const json_t *list, struct sched_inherited *from,
    struct task_name **tasks_out)
{
	struct task_name *tasks;
	const json_t *row;
	size_t i;

	from->tasks_known = json_is_array(list);
	if (!from->tasks_known)
		return json_is_null(list);
	tasks = calloc(json_array_size(list) + 1, sizeof(*tasks));
	if (tasks == NULL) {
		from->tasks_known = false;
		return true;
	}
	*tasks_out = tasks;
	from->tasks = tasks;
	from->ntasks = json_array_size(list);
	json_array_foreach(list, i, row)
	{
		if (!codec_read_task(row, 0, &tasks[i]))
			return false;
	}
	return true;
}

/* The worker of a row; NULL: a row of another writer, which names none. */
static struct sched_worker *
load_worker(struct lead *l, const json_t *row)
{
	struct sched_worker *worker;
	char id[SCHED_WORKER_ID_MAX];
	const char *address;

	address = json_string_value(json_array_get(row, ROW_ADDRESS));
	if (!json_to_string(json_array_get(row, ROW_ID), id, sizeof(id)) ||
	    !valid_token(id, sizeof(id)) || address == NULL ||
	    (address[0] != '\0' &&
		!valid_token(address, sizeof(worker->address))))
		return NULL;
	if ((worker = sched_worker_get(l->sched, id)) == NULL) {
		/* Unless it is polled, its tasks might be started twice. */
		log_error("load_memory", "worker=%s", id);
		abort();
	}
	strlcpy(worker->address, address, sizeof(worker->address));
	return worker;
}

static int64_t
load_row_start(const json_t *field)
{
	int64_t started_ms;

	if (field == NULL)
		return 0;
	if (!json_to_int64(field, ROW_START_ANY, INT64_MAX, &started_ms) ||
	    started_ms == ROW_START_UNKNOWN)
		return SCHED_START_UNKNOWN;
	return started_ms == ROW_START_ANY ? SCHED_START_ANY : started_ms;
}

static json_t *
encode_row_start(int64_t started_ms)
{
	if (started_ms == SCHED_START_UNKNOWN)
		started_ms = ROW_START_UNKNOWN;
	if (started_ms == SCHED_START_ANY)
		started_ms = ROW_START_ANY;
	return json_integer((json_int_t)started_ms);
}

/* Reads what only a row of a worker that isn't in use has. */
static void
load_unused(struct lead *l, const json_t *row, struct sched_inherited *from,
    struct task_name **tasks)
{
	const json_t *left;
	int64_t started_ms, term, left_ms;

	/* Unless the row is valid, its start bounds nothing. */
	started_ms = load_row_start(json_array_get(row, ROW_START));
	from->started_ms = started_ms == 0 ? 0 : SCHED_START_UNKNOWN;
	left = json_array_get(row, ROW_LEFT_MS);
	if (json_is_null(left))
		left = NULL;
	if (!json_to_int64(
		json_array_get(row, ROW_TERM), 0, INT64_MAX - 1, &term) ||
	    (uint64_t)term + 1 < l->sched->opt.term ||
	    !json_to_int64_or(left, 0, INT32_MAX, 0, &left_ms) ||
	    !load_tasks(json_array_get(row, ROW_TASKS), from, tasks))
		return;
	from->record = left != NULL ? RECORD_EXPIRING : RECORD_CLOSED;
	from->started_ms = started_ms;
	from->lease_left_ms = left_ms;
	l->record_dirty = true;
}

static void
load_row(struct lead *l, const json_t *row, int64_t now_ms)
{
	struct sched_inherited from;
	struct sched_worker *worker;
	struct task_name *tasks;

	tasks = NULL;
	if ((worker = load_worker(l, row)) == NULL) {
		refused_note(&l->node->refused, KEY_WORKERS, "row");
		return;
	}
	memset(&from, 0, sizeof(from));
	from.record = RECORD_IN_USE;
	if (json_array_size(row) > ROW_IN_USE_SIZE)
		load_unused(l, row, &from, &tasks);
	else
		from.started_ms =
		    load_row_start(json_array_get(row, ROW_IN_USE_START));
	sched_worker_inherit(worker, &from, now_ms);
	free(tasks);
}

void
lead_record_load(struct lead *l, const struct kv_item *item)
{
	json_t *list, *row;
	int64_t now_ms;
	size_t i;

	if (strcmp(item->key, KEY_WORKERS) != 0)
		return;
	now_ms = clock_now_ms();
	l->record_revision = item->revision;
	list = json_loadb(item->value, item->len, 0, NULL);
	if (!json_is_array(list)) {
		refused_note(&l->node->refused, item->key, "not_json");
		sched_record_lost(l->sched);
		l->record_dirty = true;
	}
	json_array_foreach(list, i, row)
	{
		load_row(l, row, now_ms);
	}
	json_decref(list);
}

static struct record_write *
write_new(struct lead *l, int64_t now_ms)
{
	struct sched_worker *worker;
	struct record_write *write;
	size_t n;

	n = 1;
	RB_FOREACH (worker, sched_worker_tree, &l->sched->workers)
		n++;
	if ((write = calloc(1, sizeof(*write))) == NULL)
		return NULL;
	if ((write->rows = calloc(n, sizeof(*write->rows))) == NULL) {
		free(write);
		return NULL;
	}
	write->lead = l;
	write->sent_ms = now_ms;
	return write;
}

static void
write_free(struct record_write *write)
{
	free(write->rows);
	free(write);
}

static void
add_task(const struct task_name *task, void *ctx)
{
	json_array_append_new(ctx, codec_task(task));
}

static json_t *
encode_tasks(const struct sched_worker *worker)
{
	json_t *list;

	list = json_array();
	if (sched_worker_each_task(worker, add_task, list))
		return list;
	json_decref(list);
	return json_null();
}

/* Requests a rewrite after delay_ms, unless one is due sooner. */
static void
request_refresh(struct lead *l, int64_t delay_ms)
{
	if (l->record_refresh_ms == 0 || delay_ms < l->record_refresh_ms)
		l->record_refresh_ms = delay_ms;
}

static json_t *
encode_left(struct lead *l, const struct sched_worker *worker, int64_t now_ms)
{
	int64_t left_ms;

	left_ms = sched_worker_lease_left_ms(l->sched, worker, now_ms);
	if (left_ms > 0)
		request_refresh(l,
		    worker->inc.misses > 0 ? REFRESH_MS : REFRESH_DRAINING_MS);
	return json_integer((json_int_t)left_ms);
}

static json_t *
encode_row(struct lead *l, const struct sched_worker *worker, int64_t now_ms)
{
	int64_t started_ms;
	json_t *row;

	started_ms = sched_worker_record_start(l->sched, worker, now_ms);
	row = json_pack("[ss]", worker->id, worker->address);
	if (worker->record_wanted != RECORD_IN_USE) {
		json_array_append_new(
		    row, json_integer((json_int_t)l->sched->opt.term));
		json_array_append_new(row, encode_tasks(worker));
	}
	if (worker->record_wanted == RECORD_EXPIRING)
		json_array_append_new(row, encode_left(l, worker, now_ms));
	if (started_ms == 0)
		return row;
	if (worker->record_wanted == RECORD_CLOSED)
		json_array_append_new(row, json_null());
	json_array_append_new(row, encode_row_start(started_ms));
	return row;
}

/* Encodes all rows, and notes which state each worker has in them. */
static char *
encode_record(struct lead *l, struct record_write *write, int64_t now_ms)
{
	struct sched_worker *worker;
	struct record_row *row;
	json_t *list;
	char *text;

	l->record_refresh_ms = 0;
	list = json_array();
	RB_FOREACH (worker, sched_worker_tree, &l->sched->workers) {
		if (worker->record_wanted == RECORD_NONE)
			continue;
		json_array_append_new(list, encode_row(l, worker, now_ms));
		row = &write->rows[write->n++];
		strlcpy(row->id, worker->id, sizeof(row->id));
		row->record = worker->record_wanted;
		sched_worker_recording(l->sched, worker, now_ms);
	}
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	return text;
}

static void
mark_recorded(struct lead *l, const struct record_write *write)
{
	struct sched_worker *worker;
	size_t i;

	for (i = 0; i < write->n; i++) {
		worker = sched_worker_find(l->sched, write->rows[i].id);
		if (worker != NULL)
			sched_worker_recorded(worker, write->rows[i].record);
	}
	l->sched->place_wanted = true;
}

static void
update_revision(struct lead *l, const struct kv_result *result)
{
	const struct kv_item *record;

	if ((record = kv_result_item(result, KEY_WORKERS)) != NULL)
		l->record_revision = record->revision;
}

static void
on_recorded(const struct kv_result *result, void *ctx)
{
	struct record_write *write;
	struct lead *l;

	write = ctx;
	l = write->lead;
	if (save_handle_result(l, result, write->sent_ms)) {
		l->record_in_flight = false;
		if (result->error == KV_OK) {
			l->record_revision = result->revision;
			mark_recorded(l, write);
		} else {
			l->record_dirty = true;
			l->record_retry_ms = clock_now_ms() + RETRY_MS;
		}
		if (result->error == KV_CONFLICT)
			update_revision(l, result);
		lead_wakeup(l);
	}
	write_free(write);
	lead_unref(l);
}

static void
lead_record_send(struct lead *l, struct record_write *write, const char *text)
{
	struct kv_compare compares[2];
	struct kv_txn txn;
	struct kv_put put;

	memset(&txn, 0, sizeof(txn));
	save_compare_leader(l, &compares[0]);
	compares[1].key = KEY_WORKERS;
	compares[1].revision = l->record_revision;
	put.key = KEY_WORKERS;
	put.value = text;
	put.len = strlen(text);
	pacer_consume(&l->node->link,
	    WRITE_BYTES + BASE64_GROWTH * (double)put.len, write->sent_ms);
	txn.compares = compares;
	txn.ncompares = 2;
	txn.puts = &put;
	txn.nputs = 1;
	l->record_in_flight = true;
	l->record_dirty = false;
	l->record_ms = write->sent_ms;
	lead_ref(l);
	l->node->opt.kv.txn(l->node->opt.kv.self, &txn, on_recorded, write);
}

/*
 * Nothing is sent while the store is unavailable: a worker recorded as expiring
 * may not be renewed until the store confirms another record, so an outage of
 * the store alone would cost it its tasks.
 */
void
lead_record_tick(struct lead *l, int64_t now_ms)
{
	struct record_write *write;
	char *text;

	if (l->record_refresh_ms != 0 &&
	    now_ms - l->record_ms >= l->record_refresh_ms)
		l->record_dirty = true;
	if (!l->record_dirty || l->record_in_flight ||
	    now_ms < l->record_retry_ms || l->sched->store_unavailable)
		return;
	if ((write = write_new(l, now_ms)) == NULL)
		return;
	if ((text = encode_record(l, write, now_ms)) == NULL) {
		write_free(write);
		return;
	}
	lead_record_send(l, write, text);
	free(text);
}
