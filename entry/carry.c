#include <sys/tree.h>

#include <stdlib.h>
#include <string.h>

#include "carry.h"
#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node_int.h"
#include "route.h"

/* The leader's side of orders that members carry; see carry.h. */

/* A member answers an order within its own timeout for it, and the way. */
#define ORDER_MS 700
#define LOOK_SLACK_MS 800
/* A member is passed over for so long after losing an order. */
#define REST_MS 2000
/* A member that greeted longer ago than this carries nothing new. */
#define FRESH_MS 1200

/*
 * Orders are numbered apart in each term: an entry that leads again would
 * else take a late answer to an order of its former term for one to a new
 * order, of another worker or kind.
 */
#define TERM_SHIFT 32

/* An order on its way. */
struct carried {
	RB_ENTRY(carried) by_number;
	uint64_t number;
	char member[ELECT_ID_MAX];
	char worker[SCHED_WORKER_ID_MAX];
	int64_t give_up_ms;
	worker_done *done;
	void *ctx;
};
RB_HEAD(carried_tree, carried);

struct carry {
	struct node *node;
	struct carried_tree orders;
	struct routes routes;
	uint64_t next;
	bool use;
	carry_late *late;
	void *late_ctx;
};

static int
carried_cmp(struct carried *a, struct carried *b)
{
	if (a->number != b->number)
		return a->number < b->number ? -1 : 1;
	return 0;
}

RB_PROTOTYPE(carried_tree, carried, by_number, carried_cmp)
RB_GENERATE(carried_tree, carried, by_number, carried_cmp)

struct carry *
carry_open(struct node *node, carry_late *late, void *late_ctx)
{
	struct carry *c;

	if ((c = calloc(1, sizeof(*c))) == NULL)
		return NULL;
	c->node = node;
	c->late = late;
	c->late_ctx = late_ctx;
	c->next = node->elect.leader.term << TERM_SHIFT;
	RB_INIT(&c->orders);
	routes_init(&c->routes);
	return c;
}

static void
finish(
    struct carry *c, struct carried *order, const struct worker_result *result)
{
	RB_REMOVE(carried_tree, &c->orders, order);
	order->done(result, order->ctx);
	free(order);
}

static void
lose(struct carry *c, struct carried *order)
{
	struct worker_result lost;

	memset(&lost, 0, sizeof(lost));
	lost.answer = ANSWER_LOST;
	finish(c, order, &lost);
}

void
carry_close(struct carry *c)
{
	struct carried *order;

	while ((order = RB_MIN(carried_tree, &c->orders)) != NULL)
		lose(c, order);
	routes_free(&c->routes);
	free(c);
}

void
carry_use(struct carry *c, bool use)
{
	if (c->use != use)
		log_info("carry", "by_members=%d", (int)use);
	c->use = use;
}

static struct member *
pick_member(struct carry *c, const struct sched_worker *worker)
{
	struct route_member candidate;
	struct member *member, *best;
	double score, best_score;
	int64_t now_ms;

	if (!c->use)
		return NULL;
	now_ms = clock_now_ms();
	best = NULL;
	best_score = 0;
	TAILQ_FOREACH (member, &c->node->members, link) {
		if (now_ms - member->heard_ms > FRESH_MS ||
		    now_ms < member->rest_until_ms)
			continue;
		candidate.id = member->id;
		candidate.power = member->power;
		candidate.near =
		    strcmp(member->data_center, worker->data_center) == 0;
		score = route_score(&c->routes, &candidate, worker->id, now_ms);
		if (score > best_score) {
			best = member;
			best_score = score;
		}
	}
	return best;
}

/* Takes the order over. */
static void
give(struct carry *c, struct member *member, const struct sched_worker *worker,
    json_t *order, int64_t timeout_ms, worker_done *done, void *ctx)
{
	struct carried *carried;

	if ((carried = calloc(1, sizeof(*carried))) == NULL) {
		log_error("carry", "error=memory");
		abort();
	}
	carried->number = ++c->next;
	strlcpy(carried->member, member->id, sizeof(carried->member));
	strlcpy(carried->worker, worker->id, sizeof(carried->worker));
	carried->give_up_ms = clock_now_ms() + timeout_ms;
	carried->done = done;
	carried->ctx = ctx;
	RB_INSERT(carried_tree, &c->orders, carried);
	json_object_set_new(
	    order, "number", json_integer((json_int_t)carried->number));
	if (member->orders == NULL)
		member->orders = json_array();
	json_array_append_new(member->orders, order);
}

static json_t *
write_order(const char *kind, const struct sched_worker *worker, uint64_t term)
{
	return json_pack("{ss ss ss sI}", "kind", kind, "worker", worker->id,
	    "address", worker->address, "term", (json_int_t)term);
}

static void
set_task(json_t *order, const struct worker_order *from)
{
	json_object_set_new(order, "task", codec_task(from->task));
	json_object_set_new(order, "attempt", json_integer(from->attempt));
}

static void
start(void *self, const struct worker_start *from, worker_done *done, void *ctx)
{
	const struct worker_ops *direct;
	struct member *member;
	struct carry *c;
	json_t *order;

	c = self;
	direct = &c->node->opt.workers;
	if ((member = pick_member(c, from->order.worker)) == NULL) {
		direct->start(direct->self, from, done, ctx);
		return;
	}
	order = write_order("start", from->order.worker, from->order.term);
	set_task(order, &from->order);
	json_object_set_new(order, "payload", json_string(from->payload));
	if (from->checkpoint != NULL)
		json_object_set_new(
		    order, "checkpoint", json_string(from->checkpoint));
	json_object_set_new(
	    order, "deadline_ms", json_integer(from->deadline_ms));
	give(c, member, from->order.worker, order, ORDER_MS, done, ctx);
}

static void
stop(void *self, const struct worker_order *from, worker_done *done, void *ctx)
{
	const struct worker_ops *direct;
	struct member *member;
	struct carry *c;
	json_t *order;

	c = self;
	direct = &c->node->opt.workers;
	if ((member = pick_member(c, from->worker)) == NULL) {
		direct->stop(direct->self, from, done, ctx);
		return;
	}
	order = write_order("stop", from->worker, from->term);
	set_task(order, from);
	give(c, member, from->worker, order, ORDER_MS, done, ctx);
}

static void
pace(void *self, const struct worker_order *from, int percent,
    worker_done *done, void *ctx)
{
	const struct worker_ops *direct;
	struct member *member;
	struct carry *c;
	json_t *order;

	c = self;
	direct = &c->node->opt.workers;
	if ((member = pick_member(c, from->worker)) == NULL) {
		direct->pace(direct->self, from, percent, done, ctx);
		return;
	}
	order = write_order("pace", from->worker, from->term);
	set_task(order, from);
	json_object_set_new(order, "percent", json_integer(percent));
	give(c, member, from->worker, order, ORDER_MS, done, ctx);
}

static void
look(void *self, const struct worker_look *from, worker_done *done, void *ctx)
{
	const struct worker_ops *direct;
	struct member *member;
	struct carry *c;
	json_t *order;

	c = self;
	direct = &c->node->opt.workers;
	if ((member = pick_member(c, from->worker)) == NULL) {
		direct->look(direct->self, from, done, ctx);
		return;
	}
	order = write_order("look", from->worker, from->term);
	json_object_set_new(order, "acknowledged",
	    json_integer((json_int_t)from->acknowledged));
	json_object_set_new(
	    order, "deadline_ms", json_integer(from->deadline_ms));
	json_object_set_new(order, "wait_ms", json_integer(from->wait_ms));
	give(c, member, from->worker, order, from->wait_ms + LOOK_SLACK_MS,
	    done, ctx);
}

void
carry_ops(struct carry *c, struct worker_ops *ops)
{
	ops->self = c;
	ops->start = start;
	ops->stop = stop;
	ops->pace = pace;
	ops->look = look;
}

void
carry_flush(struct carry *c)
{
	struct member *member;
	json_t *message;

	TAILQ_FOREACH (member, &c->node->members, link) {
		if (member->orders == NULL)
			continue;
		message =
		    json_pack("{ss ss ss so}", "t", "orders", "id", c->node->id,
			"address", c->node->address, "orders", member->orders);
		member->orders = NULL;
		/* Not sent: given up on in a moment, as if it were lost. */
		if (!members_send(c->node, member->id, message))
			member->rest_until_ms = clock_now_ms() + REST_MS;
	}
}

void
carry_tick(struct carry *c, int64_t now_ms)
{
	struct carried *order, *next;
	struct member *member;

	routes_expire(&c->routes, now_ms);
	for (order = RB_MIN(carried_tree, &c->orders); order != NULL;
	     order = next) {
		next = RB_NEXT(carried_tree, &c->orders, order);
		if (now_ms < order->give_up_ms)
			continue;
		member = member_get(c->node, order->member);
		if (member != NULL)
			member->rest_until_ms = now_ms + REST_MS;
		counter_reason("lagoonpin_carry_lost", "no_answer");
		lose(c, order);
	}
}

/* Rows of a look's answer, as the member's side writes them. */

struct look_rows {
	struct look_running *running;
	struct look_finished *finished;
};

static const char *
text_at(const json_t *row, size_t at)
{
	const char *text;

	text = json_string_value(json_array_get(row, at));
	return text != NULL ? text : "";
}

static void
read_rows(const json_t *answer, struct look_running *running,
    struct look_finished *finished)
{
	const json_t *row;
	size_t i;

	json_array_foreach(json_object_get(answer, "running"), i, row)
	{
		codec_read_task(row, 0, &running[i].task);
		running[i].attempt =
		    (uint32_t)json_integer_value(json_array_get(row, 4));
		running[i].checkpoint = text_at(row, 5);
		running[i].percent =
		    (int)json_integer_value(json_array_get(row, 6));
		running[i].figure =
		    (int)json_integer_value(json_array_get(row, 7));
	}
	json_array_foreach(json_object_get(answer, "finished"), i, row)
	{
		finished[i].number =
		    (uint64_t)json_integer_value(json_array_get(row, 0));
		codec_read_task(row, 1, &finished[i].task);
		finished[i].attempt =
		    (uint32_t)json_integer_value(json_array_get(row, 5));
		finished[i].how =
		    (enum look_end)json_integer_value(json_array_get(row, 6));
		finished[i].checkpoint = text_at(row, 7);
	}
}

/* The rows of an answer, read; false: no memory. */
static bool
read_look(
    const json_t *answer, struct look_result *look, struct look_rows *rows)
{
	look->nrunning = json_array_size(json_object_get(answer, "running"));
	look->nfinished = json_array_size(json_object_get(answer, "finished"));
	rows->running = calloc(look->nrunning + 1, sizeof(*rows->running));
	rows->finished = calloc(look->nfinished + 1, sizeof(*rows->finished));
	if (rows->running == NULL || rows->finished == NULL)
		return false;
	read_rows(answer, rows->running, rows->finished);
	look->running = rows->running;
	look->finished = rows->finished;
	return true;
}

static void
free_look(struct look_rows *rows)
{
	free(rows->running);
	free(rows->finished);
}

static void
finish_look(struct carry *c, struct carried *order, const json_t *answer,
    struct worker_result *result)
{
	struct look_result look;
	struct look_rows rows;

	look.clock_ms = result->clock_ms;
	if (read_look(answer, &look, &rows)) {
		result->look = &look;
		finish(c, order, result);
	} else
		lose(c, order);
	free_look(&rows);
}

/*
 * A member's answer to a look that was given up on.  The worker has told its
 * ends, so a task that is done there must not be started again once the
 * worker seems to have lapsed.
 */
static void
finish_late(struct carry *c, const json_t *answer)
{
	struct look_result look;
	struct look_rows rows;
	const char *worker;

	worker = json_string_value(json_object_get(answer, "worker"));
	if (worker == NULL || json_object_get(answer, "finished") == NULL)
		return;
	memset(&look, 0, sizeof(look));
	if (read_look(answer, &look, &rows) && look.nfinished > 0) {
		counter_reason("lagoonpin_carry_late", "ends");
		c->late(worker, &look, c->late_ctx);
	}
	free_look(&rows);
}

/* The member may be the one that can't reach the worker. */
static void
note_route(
    struct carry *c, const struct carried *order, enum worker_answer answer)
{
	if (answer == ANSWER_LOST || answer == ANSWER_NOT_SENT)
		route_lost(&c->routes, order->worker, clock_now_ms());
	else
		route_answered(&c->routes, order->worker);
}

static void
on_answer(struct carry *c, const json_t *answer)
{
	struct worker_result result;
	struct carried key, *order;

	key.number =
	    (uint64_t)json_integer_value(json_object_get(answer, "number"));
	if ((order = RB_FIND(carried_tree, &c->orders, &key)) == NULL) {
		finish_late(c, answer);
		return;
	}
	memset(&result, 0, sizeof(result));
	result.answer = (enum worker_answer)json_integer_value(
	    json_object_get(answer, "answer"));
	note_route(c, order, result.answer);
	result.clock_ms =
	    json_integer_value(json_object_get(answer, "clock_ms"));
	if (result.answer == ANSWER_OK &&
	    json_object_get(answer, "running") != NULL)
		finish_look(c, order, answer, &result);
	else
		finish(c, order, &result);
}

void
carry_answered(struct carry *c, const json_t *message)
{
	const json_t *answer;
	size_t i;

	json_array_foreach(json_object_get(message, "answers"), i, answer)
	    on_answer(c, answer);
}
