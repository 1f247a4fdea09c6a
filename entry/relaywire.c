#include <stdlib.h>
#include <string.h>

#include "relaywire.h"
#include "relaywire_int.h"
#include "wire_int.h"

/* Writing of the messages; reading is in carryread.c. */

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

/* Writing. */

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

/* Tasks of a step follow each other: their payload is written once. */
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
items_of(enum relay_kind kind)
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
	msgpack_pack_array(&pk, items_of(order->kind));
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

/* The array of what was gathered; false: some of it found no memory. */
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

/* The row's place in the base; its n: it is new.  They keep their order. */
static size_t
place_of(const struct running_list *base, const struct poll_running *row,
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
put_known(msgpack_packer *pk, const struct poll_running *row,
    const struct poll_running *before, size_t place)
{
	bool moved;

	moved = strcmp(row->checkpoint, before->checkpoint) != 0;
	msgpack_pack_array(pk, moved ? DELTA_CHECKPOINT_ITEMS : DELTA_ITEMS);
	msgpack_pack_uint64(pk, place);
	put_number(pk, row->percent);
	put_number(pk, row->measurement);
	if (moved)
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
put_all_running(msgpack_packer *pk, const struct poll_result *look,
    const struct running_list *base)
{
	size_t i, place;

	msgpack_pack_array(pk, look->nrunning);
	place = 0;
	for (i = 0; i < look->nrunning; i++) {
		if (base != NULL)
			place = place_of(base, &look->running[i], place);
		if (base == NULL || place == base->n)
			put_running(pk, &look->running[i]);
		else {
			put_known(
			    pk, &look->running[i], &base->rows[place], place);
			place++;
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
	const struct poll_result *look;
	msgpack_packer pk;
	size_t i;

	look = answer->look;
	msgpack_packer_init(&pk, &w->items, msgpack_sbuffer_write);
	msgpack_pack_array(
	    &pk, look != NULL ? POLL_ANSWER_ITEMS : ANSWER_ITEMS);
	msgpack_pack_uint64(&pk, answer->number);
	msgpack_pack_int(&pk, (int)answer->answer);
	put_number(&pk, answer->clock_ms);
	w->n++;
	if (look == NULL)
		return;
	wire_put_str(&pk, answer->worker);
	msgpack_pack_uint64(&pk, base != NULL ? base->number : 0);
	put_all_running(&pk, look, base);
	msgpack_pack_array(&pk, look->nfinished);
	for (i = 0; i < look->nfinished; i++)
		put_finished(&pk, &look->finished[i]);
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
