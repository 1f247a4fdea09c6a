#include <stdlib.h>
#include <string.h>

#include "relaywire.h"
#include "relaywire_int.h"
#include "wire_int.h"

/* Encoding of relay messages, see relaywire.h; decoding is in relayread.c. */

void
relay_writer_init(struct relay_writer *w)
{
	msgpack_sbuffer_init(&w->items);
	w->n = 0;
	w->payload = NULL;
}

void
relay_writer_clear(struct relay_writer *w)
{
	msgpack_sbuffer_clear(&w->items);
	w->n = 0;
	free(w->payload);
	w->payload = NULL;
}

void
relay_writer_free(struct relay_writer *w)
{
	msgpack_sbuffer_destroy(&w->items);
	free(w->payload);
	w->payload = NULL;
}

static void
put_task(msgpack_packer *pk, const struct task_name *task, uint32_t attempt)
{
	wire_put_str(pk, task->job);
	msgpack_pack_uint32(pk, task->occurrence);
	msgpack_pack_uint32(pk, task->step);
	msgpack_pack_uint32(pk, task->index);
	msgpack_pack_uint32(pk, attempt);
}

static void
put_number(msgpack_packer *pk, int64_t number)
{
	msgpack_pack_uint64(pk, number > 0 ? (uint64_t)number : 0);
}

/*
 * The tasks of a step are started one after another and share a payload, which
 * is written once.
 */
static void
put_payload(struct relay_writer *w, msgpack_packer *pk, const char *payload)
{
	if (w->payload != NULL && strcmp(w->payload, payload) == 0) {
		msgpack_pack_nil(pk);
		return;
	}
	free(w->payload);
	w->payload = strdup(payload);
	wire_put_str(pk, payload);
}

static size_t
item_count(enum relay_kind kind)
{
	switch (kind) {
	case RELAY_START:
		return START_ITEMS;
	case RELAY_STOP:
		return STOP_ITEMS;
	case RELAY_PACE:
		return PACE_ITEMS;
	case RELAY_POLL:
		return POLL_ITEMS;
	}
	return 0;
}

void
relay_write_order(struct relay_writer *w, const struct relay_order *order)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, &w->items, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, item_count(order->kind));
	msgpack_pack_int(&pk, (int)order->kind);
	msgpack_pack_uint64(&pk, order->number);
	wire_put_str(&pk, order->worker);
	wire_put_str(&pk, order->address);
	if (order->kind != RELAY_POLL)
		put_task(&pk, &order->task, order->attempt);
	if (order->kind == RELAY_START) {
		put_number(&pk, order->deadline_ms);
		wire_put_str(
		    &pk, order->checkpoint != NULL ? order->checkpoint : "");
		put_payload(w, &pk, order->payload);
	} else if (order->kind == RELAY_PACE)
		put_number(&pk, order->percent);
	else if (order->kind == RELAY_POLL) {
		msgpack_pack_uint64(&pk, order->acknowledged);
		put_number(&pk, order->deadline_ms);
		put_number(&pk, order->wait_ms);
		msgpack_pack_uint64(&pk, order->base);
	}
	w->n++;
}

/* Write the batch as an array; returns false if out of memory. */
static bool
put_items(struct relay_writer *w, msgpack_packer *pk, msgpack_sbuffer *out)
{
	size_t len;
	int failed;

	len = w->items.size;
	failed = msgpack_pack_array(pk, w->n);
	if (failed == 0 && len > 0)
		failed = msgpack_sbuffer_write(out, w->items.data, len);
	relay_writer_clear(w);
	return failed == 0;
}

bool
relay_write_orders(struct relay_writer *w, const char *leader,
    const char *address, uint64_t term, msgpack_sbuffer *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ORDERS_ITEMS);
	msgpack_pack_int(&pk, RELAY_VERSION);
	msgpack_pack_int(&pk, RELAY_ORDERS);
	wire_put_str(&pk, leader);
	wire_put_str(&pk, address);
	msgpack_pack_uint64(&pk, term);
	return put_items(w, &pk, out);
}

static bool
same_run(const struct poll_running *a, const struct poll_running *b)
{
	return a->attempt == b->attempt && a->task.index == b->task.index &&
	    a->task.step == b->task.step &&
	    a->task.occurrence == b->task.occurrence &&
	    strcmp(a->task.job, b->task.job) == 0;
}

/*
 * Returns the row's index in the base list, base->n if it isn't there.  Workers
 * keep the order of their list, so the expected index is tried first.
 */
static size_t
find_row(const struct running_list *base, const struct poll_running *row,
    size_t expected)
{
	size_t i;

	if (expected < base->n && same_run(&base->rows[expected], row))
		return expected;
	for (i = 0; i < base->n; i++) {
		if (same_run(&base->rows[i], row))
			return i;
	}
	return base->n;
}

static void
put_delta(msgpack_packer *pk, const struct poll_running *row,
    const struct poll_running *old, size_t index)
{
	bool has_checkpoint;

	has_checkpoint = strcmp(row->checkpoint, old->checkpoint) != 0;
	msgpack_pack_array(
	    pk, has_checkpoint ? DELTA_CHECKPOINT_ITEMS : DELTA_ITEMS);
	msgpack_pack_uint64(pk, index);
	put_number(pk, row->percent);
	put_number(pk, row->measurement);
	if (has_checkpoint)
		wire_put_str(pk, row->checkpoint);
}

static void
put_running(msgpack_packer *pk, const struct poll_running *row)
{
	msgpack_pack_array(pk, RUNNING_ITEMS);
	put_task(pk, &row->task, row->attempt);
	wire_put_str(pk, row->checkpoint);
	put_number(pk, row->percent);
	put_number(pk, row->measurement);
}

static void
put_all_running(msgpack_packer *pk, const struct poll_result *poll,
    const struct running_list *base)
{
	size_t i, index;

	msgpack_pack_array(pk, poll->nrunning);
	index = 0;
	for (i = 0; i < poll->nrunning; i++) {
		if (base != NULL)
			index = find_row(base, &poll->running[i], index);
		if (base == NULL || index == base->n)
			put_running(pk, &poll->running[i]);
		else {
			put_delta(
			    pk, &poll->running[i], &base->rows[index], index);
			index++;
		}
	}
}

static void
put_finished(msgpack_packer *pk, const struct poll_finished *row)
{
	msgpack_pack_array(pk, FINISHED_ITEMS);
	msgpack_pack_uint64(pk, row->number);
	put_task(pk, &row->task, row->attempt);
	msgpack_pack_int(pk, (int)row->how);
	wire_put_str(pk, row->checkpoint);
}

void
relay_write_answer(struct relay_writer *w, const struct relay_answer *answer,
    const struct running_list *base)
{
	const struct poll_result *poll;
	msgpack_packer pk;
	size_t i;

	poll = answer->poll;
	msgpack_packer_init(&pk, &w->items, msgpack_sbuffer_write);
	msgpack_pack_array(
	    &pk, poll != NULL ? POLL_ANSWER_ITEMS : ANSWER_ITEMS);
	msgpack_pack_uint64(&pk, answer->number);
	msgpack_pack_int(&pk, (int)answer->answer);
	put_number(&pk, answer->clock_ms);
	w->n++;
	if (poll == NULL)
		return;
	wire_put_str(&pk, answer->worker);
	put_number(&pk, poll->started_ms);
	msgpack_pack_uint64(&pk, base != NULL ? base->number : 0);
	put_all_running(&pk, poll, base);
	msgpack_pack_array(&pk, poll->nfinished);
	for (i = 0; i < poll->nfinished; i++)
		put_finished(&pk, &poll->finished[i]);
}

bool
relay_write_answers(
    struct relay_writer *w, const char *member, msgpack_sbuffer *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ANSWERS_ITEMS);
	msgpack_pack_int(&pk, RELAY_VERSION);
	msgpack_pack_int(&pk, RELAY_ANSWERS);
	wire_put_str(&pk, member);
	return put_items(w, &pk, out);
}
