#include <stdlib.h>
#include <string.h>

#include "relaywire.h"
#include "relaywire_int.h"
#include "validate.h"
#include "wire_int.h"

/* Decoding of relay messages, see relaywire.h.  The input is untrusted. */

struct decoder {
	const struct relay_reader *to;
	char *texts; /* NUL-terminated copies of the strings read so far */
	size_t used;
	const char *payload; /* of the last start */
};

/* Copy a string of at most max bytes. */
static const char *
get_text(struct decoder *d, struct wire_reader *r, size_t max)
{
	const msgpack_object *o;
	char *text;

	if ((o = wire_next(r, MSGPACK_OBJECT_STR)) == NULL)
		return "";
	if (o->via.str.size > max ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL) {
		r->error = WIRE_ERR_MALFORMED;
		return "";
	}
	text = d->texts + d->used;
	memcpy(text, o->via.str.ptr, o->via.str.size);
	text[o->via.str.size] = '\0';
	d->used += o->via.str.size + 1;
	return text;
}

static void
get_task(struct wire_reader *r, struct task_name *task, uint32_t *attempt)
{
	wire_token(r, task->job, sizeof(task->job));
	task->occurrence = (uint32_t)wire_uint(r, UINT32_MAX);
	task->step = (uint32_t)wire_uint(r, UINT32_MAX);
	task->index = (uint32_t)wire_uint(r, UINT32_MAX);
	*attempt = (uint32_t)wire_uint(r, UINT32_MAX);
}

static void
get_payload(struct decoder *d, struct wire_reader *r, const char **payload)
{
	if (r->left > 0 && r->at->type == MSGPACK_OBJECT_NIL &&
	    d->payload != NULL)
		wire_next(r, MSGPACK_OBJECT_NIL);
	else
		d->payload = get_text(d, r, PAYLOAD_MAX);
	*payload = d->payload;
}

static void
get_order(struct decoder *d, struct wire_reader *r, struct relay_order *order)
{
	memset(order, 0, sizeof(*order));
	order->kind = (enum relay_kind)wire_uint(r, RELAY_POLL);
	order->number = wire_uint(r, UINT64_MAX);
	order->worker = get_text(d, r, SCHED_WORKER_ID_MAX - 1);
	if (r->error == WIRE_OK &&
	    !valid_token(order->worker, SCHED_WORKER_ID_MAX))
		r->error = WIRE_ERR_MALFORMED;
	order->address =
	    get_text(d, r, sizeof(((struct sched_worker *)NULL)->address) - 1);
	if (order->kind != RELAY_POLL)
		get_task(r, &order->task, &order->attempt);
	if (order->kind == RELAY_START) {
		order->deadline_ms = (int64_t)wire_uint(r, INT64_MAX);
		order->checkpoint = get_text(d, r, CHECKPOINT_MAX);
		if (order->checkpoint[0] == '\0')
			order->checkpoint = NULL;
		get_payload(d, r, &order->payload);
	} else if (order->kind == RELAY_PACE)
		order->percent = (int)wire_uint(r, 100);
	else if (order->kind == RELAY_POLL) {
		order->acknowledged = wire_uint(r, UINT64_MAX);
		order->deadline_ms = (int64_t)wire_uint(r, INT64_MAX);
		order->wait_ms = (int64_t)wire_uint(r, INT32_MAX);
		order->base = wire_uint(r, UINT64_MAX);
	} else if (order->kind != RELAY_STOP)
		r->error = WIRE_ERR_TYPE;
}

static void
get_orders(struct decoder *d, struct wire_reader *r)
{
	char leader[ELECT_ID_MAX], address[ELECT_ADDRESS_MAX];
	struct wire_reader list, one;
	struct relay_order order;
	uint64_t term;

	wire_token(r, leader, sizeof(leader));
	wire_str(r, address, sizeof(address));
	term = wire_uint(r, UINT64_MAX);
	list = wire_array(r, ITEMS_MAX);
	while (list.error == WIRE_OK && list.left > 0) {
		one = wire_array(&list, START_ITEMS);
		get_order(d, &one, &order);
		wire_end_array(&list, &one);
		if (list.error == WIRE_OK && d->to->order != NULL)
			d->to->order(leader, address, term, &order, d->to->ctx);
	}
	wire_end_array(r, &list);
}

/* Read a delta row: index in the base list, and the fields that change. */
static void
get_delta(struct decoder *d, struct wire_reader *r,
    const struct running_list *base, struct poll_running *row)
{
	uint64_t index;
	bool has_checkpoint;

	has_checkpoint = r->left == DELTA_CHECKPOINT_ITEMS;
	index = wire_uint(r, SIZE_MAX);
	if (base == NULL || index >= base->n) {
		r->error = WIRE_ERR_MALFORMED;
		return;
	}
	*row = base->rows[index];
	row->percent = (int)wire_uint(r, 100);
	row->measurement = (int)wire_uint(r, INT32_MAX);
	if (has_checkpoint)
		row->checkpoint = get_text(d, r, CHECKPOINT_MAX);
}

static void
get_running(struct decoder *d, struct wire_reader *r,
    const struct running_list *base, struct poll_running *row)
{
	if (r->left < RUNNING_ITEMS) {
		get_delta(d, r, base, row);
		return;
	}
	get_task(r, &row->task, &row->attempt);
	row->checkpoint = get_text(d, r, CHECKPOINT_MAX);
	row->percent = (int)wire_uint(r, 100);
	row->measurement = (int)wire_uint(r, INT32_MAX);
}

static void
get_finished(
    struct decoder *d, struct wire_reader *r, struct poll_finished *row)
{
	row->number = wire_uint(r, UINT64_MAX);
	get_task(r, &row->task, &row->attempt);
	row->how = (enum run_end)wire_uint(r, END_ALONE);
	row->checkpoint = get_text(d, r, CHECKPOINT_MAX);
}

/* Returns the running tasks, freed by the caller; NULL if out of memory. */
static struct poll_running *
get_all_running(struct decoder *d, struct wire_reader *r,
    const struct running_list *base, size_t *n)
{
	struct poll_running *rows;
	struct wire_reader list, one;

	list = wire_array(r, ITEMS_MAX);
	rows = calloc(list.left + 1, sizeof(*rows));
	while (rows != NULL && list.error == WIRE_OK && list.left > 0) {
		one = wire_array(&list, RUNNING_ITEMS);
		get_running(d, &one, base, &rows[(*n)++]);
		wire_end_array(&list, &one);
	}
	wire_end_array(r, &list);
	return rows;
}

static struct poll_finished *
get_all_finished(struct decoder *d, struct wire_reader *r, size_t *n)
{
	struct poll_finished *rows;
	struct wire_reader list, one;

	list = wire_array(r, ITEMS_MAX);
	rows = calloc(list.left + 1, sizeof(*rows));
	while (rows != NULL && list.error == WIRE_OK && list.left > 0) {
		one = wire_array(&list, FINISHED_ITEMS);
		get_finished(d, &one, &rows[(*n)++]);
		wire_end_array(&list, &one);
	}
	wire_end_array(r, &list);
	return rows;
}

/*
 * Read the running tasks of an answer.  Without the base list they can't be
 * decoded, and an incomplete list would make running tasks look stopped.  The
 * answer then becomes ANSWER_LOST and only its finished tasks are used, which
 * don't depend on the base.
 */
static struct poll_running *
get_running_or_lost(struct decoder *d, struct wire_reader *r,
    struct relay_answer *answer, size_t *n)
{
	const struct running_list *base;

	base = NULL;
	answer->base = wire_uint(r, UINT64_MAX);
	if (answer->base != 0 && d->to->base != NULL)
		base = d->to->base(answer->worker, answer->base, d->to->ctx);
	if (answer->base == 0 || base != NULL)
		return get_all_running(d, r, base, n);
	wire_next(r, MSGPACK_OBJECT_ARRAY);
	answer->answer = ANSWER_LOST;
	return calloc(1, sizeof(struct poll_running));
}

static void
get_poll_answer(
    struct decoder *d, struct wire_reader *r, struct relay_answer *answer)
{
	struct poll_finished *finished;
	struct poll_running *running;
	struct poll_result poll;

	memset(&poll, 0, sizeof(poll));
	poll.clock_ms = answer->clock_ms;
	answer->worker = get_text(d, r, SCHED_WORKER_ID_MAX - 1);
	poll.started_ms = (int64_t)wire_uint(r, INT64_MAX);
	running = get_running_or_lost(d, r, answer, &poll.nrunning);
	finished = get_all_finished(d, r, &poll.nfinished);
	if (running == NULL || finished == NULL)
		r->error = WIRE_ERR_MEMORY;
	poll.running = running;
	poll.finished = finished;
	answer->poll = &poll;
	if (r->error == WIRE_OK && d->to->answer != NULL)
		d->to->answer(answer, d->to->ctx);
	answer->poll = NULL;
	free(running);
	free(finished);
}

static void
get_answer(struct decoder *d, struct wire_reader *r)
{
	struct relay_answer answer;
	bool is_poll;

	is_poll = r->left > ANSWER_ITEMS;
	memset(&answer, 0, sizeof(answer));
	answer.number = wire_uint(r, UINT64_MAX);
	answer.answer = (enum worker_answer)wire_uint(r, ANSWER_REFUSED);
	answer.clock_ms = (int64_t)wire_uint(r, INT64_MAX);
	if (r->error != WIRE_OK)
		return;
	if (is_poll)
		get_poll_answer(d, r, &answer);
	else if (d->to->answer != NULL)
		d->to->answer(&answer, d->to->ctx);
}

/* A malformed answer is counted and skipped; the others are processed. */
static void
get_answers(struct decoder *d, struct wire_reader *r)
{
	struct wire_reader list, one;
	char member[ELECT_ID_MAX];

	wire_str(r, member, sizeof(member));
	list = wire_array(r, ITEMS_MAX);
	while (list.error == WIRE_OK && list.left > 0) {
		one = wire_array(&list, POLL_ANSWER_ITEMS);
		if (list.error != WIRE_OK)
			break;
		get_answer(d, &one);
		if (one.error != WIRE_OK || one.left > 0)
			wire_refused("answer");
	}
	wire_end_array(r, &list);
}

static void
get_message(struct wire_reader *r, void *out)
{
	struct decoder *d;
	uint64_t version, type;

	d = out;
	version = wire_uint(r, UINT64_MAX);
	if (r->error == WIRE_OK && version != RELAY_VERSION) {
		r->error = WIRE_ERR_VERSION;
		return;
	}
	type = wire_uint(r, UINT64_MAX);
	if (r->error != WIRE_OK)
		return;
	if (type == RELAY_ORDERS)
		get_orders(d, r);
	else if (type == RELAY_ANSWERS)
		get_answers(d, r);
	else
		r->error = WIRE_ERR_TYPE;
}

bool
relay_read(const void *data, size_t len, const struct relay_reader *to)
{
	enum wire_error error;
	struct decoder d;

	memset(&d, 0, sizeof(d));
	d.to = to;
	/*
	 * Each encoded string has a header of at least one byte, so its copy
	 * with a NUL needs no more space than its encoding.
	 */
	if ((d.texts = malloc(len + 1)) == NULL)
		return false;
	error = wire_decode_body(data, len, get_message, &d);
	free(d.texts);
	return error == WIRE_OK;
}

/* First byte of a msgpack array of up to 15 items; its low bits: the number. */
#define SHORT_ARRAY 0x90

bool
relay_is_message(const void *data, size_t len)
{
	const uint8_t *bytes;

	bytes = data;
	return len > 0 && (bytes[0] & 0xf0) == SHORT_ARRAY;
}

bool
relay_is_orders(const void *data, size_t len)
{
	const uint8_t *bytes;

	bytes = data;
	return len > 0 && bytes[0] == (SHORT_ARRAY | ORDERS_ITEMS);
}
