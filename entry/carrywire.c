#include <stdlib.h>
#include <string.h>

#include "carrywire.h"
#include "wire_int.h"

/* What a message holds. */
enum carry_type { CARRY_ORDERS = 1, CARRY_ANSWERS };

/* Items of the arrays. */
#define ORDERS_ITEMS 6 /* version, type, leader, address, term, orders */
#define ANSWERS_ITEMS 4 /* version, type, member, answers */
#define TASK_ITEMS 5 /* job, occurrence, step, index, attempt */
#define ORDER_ITEMS 4 /* kind, number, worker, address */
#define START_ITEMS (ORDER_ITEMS + TASK_ITEMS + 3)
#define STOP_ITEMS (ORDER_ITEMS + TASK_ITEMS)
#define PACE_ITEMS (ORDER_ITEMS + TASK_ITEMS + 1)
#define LOOK_ITEMS (ORDER_ITEMS + 4)
#define ANSWER_ITEMS 3 /* number, answer, the worker's clock */
#define LISTS_ITEMS (ANSWER_ITEMS + 4) /* worker, base, running, finished */
#define KNOWN_ITEMS 3 /* place in the base, percent, figure */
#define MOVED_ITEMS (KNOWN_ITEMS + 1) /* and its new checkpoint */
#define RUNNING_ITEMS (TASK_ITEMS + 3) /* checkpoint, percent, figure */
#define FINISHED_ITEMS (1 + TASK_ITEMS + 2) /* number; how, checkpoint */
/* More in one message are refused. */
#define ITEMS_MAX 65536
#define PAYLOAD_MAX ((size_t)64 * 1024)
#define CHECKPOINT_MAX 4096

void
carry_writer_init(struct carry_writer *w)
{
	msgpack_sbuffer_init(&w->items);
	w->n = 0;
	w->payload = NULL;
}

static void
writer_clear(struct carry_writer *w)
{
	msgpack_sbuffer_clear(&w->items);
	w->n = 0;
	free(w->payload);
	w->payload = NULL;
}

void
carry_writer_free(struct carry_writer *w)
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
put_payload(struct carry_writer *w, msgpack_packer *pk, const char *payload)
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
items_of(enum carry_kind kind)
{
	switch (kind) {
	case CARRY_START:
		return START_ITEMS;
	case CARRY_STOP:
		return STOP_ITEMS;
	case CARRY_PACE:
		return PACE_ITEMS;
	case CARRY_LOOK:
		return LOOK_ITEMS;
	}
	return 0;
}

void
carry_write_order(struct carry_writer *w, const struct carry_order *order)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, &w->items, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, items_of(order->kind));
	msgpack_pack_int(&pk, (int)order->kind);
	msgpack_pack_uint64(&pk, order->number);
	wire_put_str(&pk, order->worker);
	wire_put_str(&pk, order->address);
	if (order->kind != CARRY_LOOK)
		put_task(&pk, &order->task, order->attempt);
	if (order->kind == CARRY_START) {
		put_number(&pk, order->deadline_ms);
		wire_put_str(
		    &pk, order->checkpoint != NULL ? order->checkpoint : "");
		put_payload(w, &pk, order->payload);
	} else if (order->kind == CARRY_PACE)
		put_number(&pk, order->percent);
	else if (order->kind == CARRY_LOOK) {
		msgpack_pack_uint64(&pk, order->acknowledged);
		put_number(&pk, order->deadline_ms);
		put_number(&pk, order->wait_ms);
		msgpack_pack_uint64(&pk, order->base);
	}
	w->n++;
}

/* The array of what was gathered; false: some of it found no memory. */
static bool
put_items(struct carry_writer *w, msgpack_packer *pk, msgpack_sbuffer *out)
{
	size_t len;
	int failed;

	len = w->items.size;
	failed = msgpack_pack_array(pk, w->n);
	if (failed == 0 && len > 0)
		failed = msgpack_sbuffer_write(out, w->items.data, len);
	writer_clear(w);
	return failed == 0;
}

bool
carry_write_orders(struct carry_writer *w, const char *leader,
    const char *address, uint64_t term, msgpack_sbuffer *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ORDERS_ITEMS);
	msgpack_pack_int(&pk, CARRY_VERSION);
	msgpack_pack_int(&pk, CARRY_ORDERS);
	wire_put_str(&pk, leader);
	wire_put_str(&pk, address);
	msgpack_pack_uint64(&pk, term);
	return put_items(w, &pk, out);
}

static bool
same_run(const struct look_running *a, const struct look_running *b)
{
	return a->attempt == b->attempt && a->task.index == b->task.index &&
	    a->task.step == b->task.step &&
	    a->task.occurrence == b->task.occurrence &&
	    strcmp(a->task.job, b->task.job) == 0;
}

/* The row's place in the base; its n: it is new.  They keep their order. */
static size_t
place_of(const struct kept_list *base, const struct look_running *row,
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
put_known(msgpack_packer *pk, const struct look_running *row,
    const struct look_running *before, size_t place)
{
	bool moved;

	moved = strcmp(row->checkpoint, before->checkpoint) != 0;
	msgpack_pack_array(pk, moved ? MOVED_ITEMS : KNOWN_ITEMS);
	msgpack_pack_uint64(pk, place);
	put_number(pk, row->percent);
	put_number(pk, row->figure);
	if (moved)
		wire_put_str(pk, row->checkpoint);
}

static void
put_running(msgpack_packer *pk, const struct look_running *row)
{
	msgpack_pack_array(pk, RUNNING_ITEMS);
	put_task(pk, &row->task, row->attempt);
	wire_put_str(pk, row->checkpoint);
	put_number(pk, row->percent);
	put_number(pk, row->figure);
}

static void
put_all_running(msgpack_packer *pk, const struct look_result *look,
    const struct kept_list *base)
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
put_finished(msgpack_packer *pk, const struct look_finished *row)
{
	msgpack_pack_array(pk, FINISHED_ITEMS);
	msgpack_pack_uint64(pk, row->number);
	put_task(pk, &row->task, row->attempt);
	msgpack_pack_int(pk, (int)row->how);
	wire_put_str(pk, row->checkpoint);
}

void
carry_write_answer(struct carry_writer *w, const struct carry_answer *answer,
    const struct kept_list *base)
{
	const struct look_result *look;
	msgpack_packer pk;
	size_t i;

	look = answer->look;
	msgpack_packer_init(&pk, &w->items, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, look != NULL ? LISTS_ITEMS : ANSWER_ITEMS);
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
carry_write_answers(
    struct carry_writer *w, const char *member, msgpack_sbuffer *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ANSWERS_ITEMS);
	msgpack_pack_int(&pk, CARRY_VERSION);
	msgpack_pack_int(&pk, CARRY_ANSWERS);
	wire_put_str(&pk, member);
	return put_items(w, &pk, out);
}

/* Reading. */

struct reading {
	const struct carry_reader *to;
	char *texts; /* those read so far; each is shorter than its bytes */
	size_t used;
	const char *payload; /* of the last start */
};

/* A text of its own, up to that size. */
static const char *
get_text(struct reading *g, struct wire_reader *r, size_t max)
{
	const msgpack_object *o;
	char *text;

	if ((o = wire_next(r, MSGPACK_OBJECT_STR)) == NULL)
		return "";
	if (o->via.str.size > max ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL) {
		r->error = WIRE_ERR_FORM;
		return "";
	}
	text = g->texts + g->used;
	memcpy(text, o->via.str.ptr, o->via.str.size);
	text[o->via.str.size] = '\0';
	g->used += o->via.str.size + 1;
	return text;
}

static void
get_task(struct wire_reader *r, struct task_name *task, uint32_t *attempt)
{
	wire_str(r, task->job, sizeof(task->job));
	task->occurrence = (uint32_t)wire_uint(r, UINT32_MAX);
	task->step = (uint32_t)wire_uint(r, UINT32_MAX);
	task->index = (uint32_t)wire_uint(r, UINT32_MAX);
	*attempt = (uint32_t)wire_uint(r, UINT32_MAX);
}

static void
get_payload(struct reading *g, struct wire_reader *r, const char **payload)
{
	if (r->left > 0 && r->at->type == MSGPACK_OBJECT_NIL &&
	    g->payload != NULL)
		wire_next(r, MSGPACK_OBJECT_NIL);
	else
		g->payload = get_text(g, r, PAYLOAD_MAX);
	*payload = g->payload;
}

static void
get_order(struct reading *g, struct wire_reader *r, struct carry_order *order)
{
	memset(order, 0, sizeof(*order));
	order->kind = (enum carry_kind)wire_uint(r, CARRY_LOOK);
	order->number = wire_uint(r, UINT64_MAX);
	order->worker = get_text(g, r, SCHED_WORKER_ID_MAX - 1);
	order->address =
	    get_text(g, r, sizeof(((struct sched_worker *)NULL)->address) - 1);
	if (order->kind != CARRY_LOOK)
		get_task(r, &order->task, &order->attempt);
	if (order->kind == CARRY_START) {
		order->deadline_ms = (int64_t)wire_uint(r, INT64_MAX);
		order->checkpoint = get_text(g, r, CHECKPOINT_MAX);
		if (order->checkpoint[0] == '\0')
			order->checkpoint = NULL;
		get_payload(g, r, &order->payload);
	} else if (order->kind == CARRY_PACE)
		order->percent = (int)wire_uint(r, 100);
	else if (order->kind == CARRY_LOOK) {
		order->acknowledged = wire_uint(r, UINT64_MAX);
		order->deadline_ms = (int64_t)wire_uint(r, INT64_MAX);
		order->wait_ms = (int64_t)wire_uint(r, INT32_MAX);
		order->base = wire_uint(r, UINT64_MAX);
	} else if (order->kind != CARRY_STOP)
		r->error = WIRE_ERR_TYPE;
}

static void
get_orders(struct reading *g, struct wire_reader *r)
{
	char leader[ELECT_ID_MAX], address[ELECT_ADDRESS_MAX];
	struct wire_reader list, one;
	struct carry_order order;
	uint64_t term;

	wire_str(r, leader, sizeof(leader));
	wire_str(r, address, sizeof(address));
	term = wire_uint(r, UINT64_MAX);
	list = wire_array(r, ITEMS_MAX);
	while (list.error == WIRE_OK && list.left > 0) {
		one = wire_array(&list, START_ITEMS);
		get_order(g, &one, &order);
		wire_finish(&list, &one);
		if (list.error == WIRE_OK && g->to->order != NULL)
			g->to->order(leader, address, term, &order, g->to->ctx);
	}
	wire_finish(r, &list);
}

/* A row that the base has, with what is new of it. */
static void
get_known(struct reading *g, struct wire_reader *r,
    const struct kept_list *base, struct look_running *row)
{
	uint64_t place;
	bool moved;

	moved = r->left == MOVED_ITEMS;
	place = wire_uint(r, SIZE_MAX);
	if (base == NULL || place >= base->n) {
		r->error = WIRE_ERR_FORM;
		return;
	}
	*row = base->rows[place];
	row->percent = (int)wire_uint(r, 100);
	row->figure = (int)wire_uint(r, INT32_MAX);
	if (moved)
		row->checkpoint = get_text(g, r, CHECKPOINT_MAX);
}

static void
get_running(struct reading *g, struct wire_reader *r,
    const struct kept_list *base, struct look_running *row)
{
	if (r->left < RUNNING_ITEMS) {
		get_known(g, r, base, row);
		return;
	}
	get_task(r, &row->task, &row->attempt);
	row->checkpoint = get_text(g, r, CHECKPOINT_MAX);
	row->percent = (int)wire_uint(r, 100);
	row->figure = (int)wire_uint(r, INT32_MAX);
}

static void
get_finished(
    struct reading *g, struct wire_reader *r, struct look_finished *row)
{
	row->number = wire_uint(r, UINT64_MAX);
	get_task(r, &row->task, &row->attempt);
	row->how = (enum look_end)wire_uint(r, END_ALONE);
	row->checkpoint = get_text(g, r, CHECKPOINT_MAX);
}

/* The list of running tasks, to be freed; NULL: no memory. */
static struct look_running *
get_all_running(struct reading *g, struct wire_reader *r,
    const struct kept_list *base, size_t *n)
{
	struct look_running *rows;
	struct wire_reader list, one;

	list = wire_array(r, ITEMS_MAX);
	rows = calloc(list.left + 1, sizeof(*rows));
	while (rows != NULL && list.error == WIRE_OK && list.left > 0) {
		one = wire_array(&list, RUNNING_ITEMS);
		get_running(g, &one, base, &rows[(*n)++]);
		wire_finish(&list, &one);
	}
	wire_finish(r, &list);
	return rows;
}

static struct look_finished *
get_all_finished(struct reading *g, struct wire_reader *r, size_t *n)
{
	struct look_finished *rows;
	struct wire_reader list, one;

	list = wire_array(r, ITEMS_MAX);
	rows = calloc(list.left + 1, sizeof(*rows));
	while (rows != NULL && list.error == WIRE_OK && list.left > 0) {
		one = wire_array(&list, FINISHED_ITEMS);
		get_finished(g, &one, &rows[(*n)++]);
		wire_finish(&list, &one);
	}
	wire_finish(r, &list);
	return rows;
}

/*
 * The running tasks of an answer.  Without its base they aren't known, and no
 * list may be made up: tasks that run would be taken for gone.  So the answer
 * counts as lost, but for the ends, which stay true.
 */
static struct look_running *
get_running_or_lose(struct reading *g, struct wire_reader *r,
    struct carry_answer *answer, size_t *n)
{
	const struct kept_list *base;

	base = NULL;
	answer->base = wire_uint(r, UINT64_MAX);
	if (answer->base != 0 && g->to->base != NULL)
		base = g->to->base(answer->worker, answer->base, g->to->ctx);
	if (answer->base == 0 || base != NULL)
		return get_all_running(g, r, base, n);
	wire_next(r, MSGPACK_OBJECT_ARRAY);
	answer->answer = ANSWER_LOST;
	return calloc(1, sizeof(struct look_running));
}

static void
get_look_answer(
    struct reading *g, struct wire_reader *r, struct carry_answer *answer)
{
	struct look_finished *finished;
	struct look_running *running;
	struct look_result look;

	memset(&look, 0, sizeof(look));
	look.clock_ms = answer->clock_ms;
	answer->worker = get_text(g, r, SCHED_WORKER_ID_MAX - 1);
	running = get_running_or_lose(g, r, answer, &look.nrunning);
	finished = get_all_finished(g, r, &look.nfinished);
	if (running == NULL || finished == NULL)
		r->error = WIRE_ERR_MEMORY;
	look.running = running;
	look.finished = finished;
	answer->look = &look;
	if (r->error == WIRE_OK && g->to->answer != NULL)
		g->to->answer(answer, g->to->ctx);
	free(running);
	free(finished);
}

static void
get_answer(struct reading *g, struct wire_reader *r)
{
	struct carry_answer answer;
	bool look;

	look = r->left > ANSWER_ITEMS;
	memset(&answer, 0, sizeof(answer));
	answer.number = wire_uint(r, UINT64_MAX);
	answer.answer = (enum worker_answer)wire_uint(r, ANSWER_REFUSED);
	answer.clock_ms = (int64_t)wire_uint(r, INT64_MAX);
	if (r->error != WIRE_OK)
		return;
	if (look)
		get_look_answer(g, r, &answer);
	else if (g->to->answer != NULL)
		g->to->answer(&answer, g->to->ctx);
}

/* One damaged answer says nothing about the others. */
static void
get_answers(struct reading *g, struct wire_reader *r)
{
	struct wire_reader list, one;
	char member[ELECT_ID_MAX];

	wire_str(r, member, sizeof(member));
	list = wire_array(r, ITEMS_MAX);
	while (list.error == WIRE_OK && list.left > 0) {
		one = wire_array(&list, LISTS_ITEMS);
		if (list.error != WIRE_OK)
			break;
		get_answer(g, &one);
		if (one.error != WIRE_OK || one.left > 0)
			wire_refused("answer");
	}
	wire_finish(r, &list);
}

static void
get_message(struct wire_reader *r, void *out)
{
	struct reading *g;
	uint64_t version, type;

	g = out;
	version = wire_uint(r, UINT64_MAX);
	if (r->error == WIRE_OK && version != CARRY_VERSION) {
		r->error = WIRE_ERR_VERSION;
		return;
	}
	type = wire_uint(r, UINT64_MAX);
	if (r->error != WIRE_OK)
		return;
	if (type == CARRY_ORDERS)
		get_orders(g, r);
	else if (type == CARRY_ANSWERS)
		get_answers(g, r);
	else
		r->error = WIRE_ERR_TYPE;
}

bool
carry_read(const void *data, size_t len, const struct carry_reader *to)
{
	enum wire_error error;
	struct reading g;

	memset(&g, 0, sizeof(g));
	g.to = to;
	/* Each text has a byte or more before it, in place of the NUL. */
	if ((g.texts = malloc(len + 1)) == NULL)
		return false;
	error = wire_decode_body(data, len, get_message, &g);
	free(g.texts);
	return error == WIRE_OK;
}

/* A short array of msgpack begins with this and its number of items. */
#define SHORT_ARRAY 0x90

bool
carry_is_message(const void *data, size_t len)
{
	const uint8_t *bytes;

	bytes = data;
	return len > 0 && (bytes[0] & 0xf0) == SHORT_ARRAY;
}

bool
carry_is_orders(const void *data, size_t len)
{
	const uint8_t *bytes;

	bytes = data;
	return len > 0 && bytes[0] == (SHORT_ARRAY | ORDERS_ITEMS);
}
