#include <sys/tree.h>

#include <stdlib.h>
#include <string.h>

#include "relay.h"
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
/* Greetings come so often: a silent member is looked at again. */
#define SILENT_RETRY_MS 500
/* What a message of orders has besides them: names, address and term. */
#define ORDERS_BYTES 50

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

struct order_relay {
	struct node *node;
	struct carried_tree orders;
	struct routes routes;
	struct route_member *members; /* that the routes choose from */
	struct running_lists lists; /* what workers listed last */
	uint64_t next;
	bool use;
	relay_late_cb *late;
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

static bool
may_carry(const void *data, int64_t now_ms, int64_t *until_ms)
{
	const struct member *member;

	member = data;
	*until_ms = now_ms + SILENT_RETRY_MS;
	if (now_ms < member->avoid_until_ms) {
		*until_ms = member->avoid_until_ms;
		return false;
	}
	return member->can_relay && now_ms - member->heard_ms <= FRESH_MS;
}

struct order_relay *
relay_open(struct node *node, relay_late_cb *late, void *late_ctx)
{
	struct order_relay *c;

	if ((c = calloc(1, sizeof(*c))) == NULL)
		return NULL;
	c->node = node;
	c->late = late;
	c->late_ctx = late_ctx;
	c->next = node->elect.leader.term << TERM_SHIFT;
	RB_INIT(&c->orders);
	routes_init(&c->routes, may_carry);
	running_lists_init(&c->lists);
	relay_update_members(c);
	return c;
}

/* Without memory the leader makes its calls itself. */
void
relay_update_members(struct order_relay *c)
{
	struct member *member;
	size_t n;

	n = 0;
	TAILQ_FOREACH (member, &c->node->members, link)
		n++;
	free(c->members);
	c->members = calloc(n + 1, sizeof(*c->members));
	n = 0;
	TAILQ_FOREACH (member, &c->node->members, link) {
		if (c->members == NULL)
			break;
		c->members[n].id = member->id;
		c->members[n].power = member->power;
		c->members[n].data_center = member->data_center;
		c->members[n++].data = member;
	}
	routes_set_members(&c->routes, c->members, n);
}

static void
finish(struct order_relay *c, struct carried *order,
    const struct worker_result *result)
{
	RB_REMOVE(carried_tree, &c->orders, order);
	order->done(result, order->ctx);
	free(order);
}

static void
lose(struct order_relay *c, struct carried *order)
{
	struct worker_result lost;

	memset(&lost, 0, sizeof(lost));
	lost.answer = ANSWER_LOST;
	finish(c, order, &lost);
}

/*
 * Orders of this term that weren't sent yet.  Sent with those of a next term
 * of ours they would pass for orders of that term.
 */
static void
drop_gathered(struct order_relay *c)
{
	struct member *member;

	TAILQ_FOREACH (member, &c->node->members, link)
		relay_writer_clear(&member->orders);
}

void
relay_close(struct order_relay *c)
{
	struct carried *order;

	drop_gathered(c);
	while ((order = RB_MIN(carried_tree, &c->orders)) != NULL)
		lose(c, order);
	routes_free(&c->routes);
	running_lists_free(&c->lists);
	free(c->members);
	free(c);
}

void
relay_enable(struct order_relay *c, bool use)
{
	if (c->use != use)
		log_info("carry", "by_members=%d", (int)use);
	c->use = use;
}

/* NULL: the leader makes the call itself. */
static struct member *
pick_member(struct order_relay *c, const struct sched_worker *worker)
{
	if (!c->use)
		return NULL;
	return route_choose(
	    &c->routes, worker->id, worker->data_center, clock_now_ms());
}

/* Number the order, and give it to the member. */
static void
give(struct order_relay *c, struct member *member, struct relay_order *order,
    int64_t timeout_ms, worker_done *done, void *ctx)
{
	struct carried *carried;

	if ((carried = calloc(1, sizeof(*carried))) == NULL) {
		log_error("carry", "error=memory");
		abort();
	}
	carried->number = ++c->next;
	strlcpy(carried->member, member->id, sizeof(carried->member));
	strlcpy(carried->worker, order->worker, sizeof(carried->worker));
	carried->give_up_ms = clock_now_ms() + timeout_ms;
	carried->done = done;
	carried->ctx = ctx;
	RB_INSERT(carried_tree, &c->orders, carried);
	order->number = carried->number;
	relay_write_order(&member->orders, order);
}

static void
order_of(struct relay_order *order, enum relay_kind kind,
    const struct sched_worker *worker)
{
	memset(order, 0, sizeof(*order));
	order->kind = kind;
	order->worker = worker->id;
	order->address = worker->address;
}

static void
order_of_task(struct relay_order *order, enum relay_kind kind,
    const struct worker_order *from)
{
	order_of(order, kind, from->worker);
	order->task = *from->task;
	order->attempt = from->attempt;
}

static void
start(void *self, const struct worker_start *from, worker_done *done, void *ctx)
{
	const struct worker_ops *direct;
	struct relay_order order;
	struct member *member;
	struct order_relay *c;

	c = self;
	direct = &c->node->opt.workers;
	if ((member = pick_member(c, from->order.worker)) == NULL) {
		direct->start(direct->self, from, done, ctx);
		return;
	}
	order_of_task(&order, RELAY_START, &from->order);
	order.payload = from->payload;
	order.checkpoint = from->checkpoint;
	order.deadline_ms = from->deadline_ms;
	give(c, member, &order, ORDER_MS, done, ctx);
}

static void
stop(void *self, const struct worker_order *from, worker_done *done, void *ctx)
{
	const struct worker_ops *direct;
	struct relay_order order;
	struct member *member;
	struct order_relay *c;

	c = self;
	direct = &c->node->opt.workers;
	if ((member = pick_member(c, from->worker)) == NULL) {
		direct->stop(direct->self, from, done, ctx);
		return;
	}
	order_of_task(&order, RELAY_STOP, from);
	give(c, member, &order, ORDER_MS, done, ctx);
}

static void
pace(void *self, const struct worker_order *from, int percent,
    worker_done *done, void *ctx)
{
	const struct worker_ops *direct;
	struct relay_order order;
	struct member *member;
	struct order_relay *c;

	c = self;
	direct = &c->node->opt.workers;
	if ((member = pick_member(c, from->worker)) == NULL) {
		direct->pace(direct->self, from, percent, done, ctx);
		return;
	}
	order_of_task(&order, RELAY_PACE, from);
	order.percent = percent;
	give(c, member, &order, ORDER_MS, done, ctx);
}

static void
look(void *self, const struct worker_poll *from, worker_done *done, void *ctx)
{
	const struct worker_ops *direct;
	struct relay_order order;
	struct member *member;
	struct order_relay *c;

	c = self;
	direct = &c->node->opt.workers;
	if ((member = pick_member(c, from->worker)) == NULL) {
		direct->poll(direct->self, from, done, ctx);
		return;
	}
	order_of(&order, RELAY_POLL, from->worker);
	order.acknowledged = from->acknowledged;
	order.deadline_ms = from->deadline_ms;
	order.wait_ms = from->wait_ms;
	order.base = running_list_number(&c->lists, from->worker->id);
	give(c, member, &order, from->wait_ms + LOOK_SLACK_MS, done, ctx);
}

void
relay_worker_ops(struct order_relay *c, struct worker_ops *ops)
{
	ops->self = c;
	ops->start = start;
	ops->stop = stop;
	ops->pace = pace;
	ops->poll = look;
}

void
relay_flush(struct order_relay *c)
{
	const struct node *node;
	struct member *member;
	msgpack_sbuffer message;

	node = c->node;
	TAILQ_FOREACH (member, &c->node->members, link) {
		if (member->orders.n == 0)
			continue;
		msgpack_sbuffer_init(&message);
		/* Not sent: given up on in a moment, as if it were lost. */
		if (!relay_write_orders(&member->orders, node->id,
			node->address, node->elect.leader.term, &message) ||
		    !members_send_bytes(c->node, member->id, "orders",
			message.data, message.size))
			member->avoid_until_ms = clock_now_ms() + REST_MS;
		msgpack_sbuffer_destroy(&message);
	}
}

double
relay_pending_bytes(const struct order_relay *c)
{
	const struct member *member;
	double bytes;

	bytes = 0;
	TAILQ_FOREACH (member, &c->node->members, link) {
		if (member->orders.n > 0)
			bytes += FRAME_BYTES + ORDERS_BYTES +
			    (double)member->orders.items.size;
	}
	return bytes;
}

void
relay_tick(struct order_relay *c, int64_t now_ms)
{
	struct carried *order, *next;
	struct member *member;

	routes_expire(&c->routes, now_ms);
	running_lists_expire(&c->lists, now_ms);
	for (order = RB_MIN(carried_tree, &c->orders); order != NULL;
	     order = next) {
		next = RB_NEXT(carried_tree, &c->orders, order);
		if (now_ms < order->give_up_ms)
			continue;
		member = member_get(c->node, order->member);
		if (member != NULL)
			member->avoid_until_ms = now_ms + REST_MS;
		counter_reason("lagoonpin_carry_lost", "no_answer");
		lose(c, order);
	}
}

/*
 * Ends of an answer that is no answer to an order any more.  The worker has
 * told them, so a task that is done there must not be started again once the
 * worker seems to have lapsed.
 */
static void
note_late(struct order_relay *c, const struct relay_answer *answer)
{
	if (answer->look == NULL || answer->look->nfinished == 0)
		return;
	counter_reason("lagoonpin_carry_late", "ends");
	c->late(answer->worker, answer->look, c->late_ctx);
}

/* The member may be the one that can't reach the worker. */
static void
note_route(struct order_relay *c, const struct carried *order,
    enum worker_answer answer)
{
	if (answer == ANSWER_LOST || answer == ANSWER_NOT_SENT)
		route_call_lost(&c->routes, order->worker, clock_now_ms());
	else
		route_call_answered(&c->routes, order->worker);
}

/* Rows of the answer may be the kept list's until that is replaced. */
static void
keep_list(struct order_relay *c, const struct relay_answer *answer)
{
	running_list_put(&c->lists, answer->worker, answer->number,
	    answer->look->running, answer->look->nrunning, clock_now_ms());
}

static void
on_answer(const struct relay_answer *answer, void *ctx)
{
	struct worker_result result;
	struct carried key, *order;
	struct order_relay *c;

	c = ctx;
	key.number = answer->number;
	if ((order = RB_FIND(carried_tree, &c->orders, &key)) == NULL) {
		note_late(c, answer);
		return;
	}
	note_route(c, order, answer->answer);
	if (answer->answer == ANSWER_LOST) {
		note_late(c, answer);
		if (answer->worker != NULL)
			running_list_remove(&c->lists, answer->worker);
		lose(c, order);
		return;
	}
	memset(&result, 0, sizeof(result));
	result.answer = answer->answer;
	result.clock_ms = answer->clock_ms;
	result.poll = answer->look;
	finish(c, order, &result);
	if (answer->look != NULL)
		keep_list(c, answer);
}

static const struct running_list *
base_of(const char *worker, uint64_t number, void *ctx)
{
	struct order_relay *c;

	c = ctx;
	return running_list_find(&c->lists, worker, number);
}

void
relay_handle_answers(struct order_relay *c, const void *message, size_t len)
{
	struct relay_reader reader;

	memset(&reader, 0, sizeof(reader));
	reader.answer = on_answer;
	reader.base = base_of;
	reader.ctx = c;
	relay_read(message, len, &reader);
}
