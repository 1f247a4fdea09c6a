#include <sys/tree.h>

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node_int.h"
#include "relay.h"
#include "route.h"

/* The leader's side of the relay; see relay.h. */

/* Cover the member's own timeout for the call and the way both ways. */
#define ORDER_TIMEOUT_MS 700
#define POLL_TIMEOUT_SLACK_MS 800
/* A member is not used for this long after it lost an order. */
#define AVOID_MS 2000
/* A member whose last hello is older than this gets no new orders. */
#define HELLO_MAX_AGE_MS 1200
/* A silent member is checked again at the interval of hello messages. */
#define SILENT_RETRY_MS 500
/* Size of a message without its orders: names, address and term. */
#define ORDERS_BYTES 50

/*
 * The term is in the upper half of an order's number.  An entry that leads
 * again would otherwise match a late answer from its earlier term to a new
 * order, for another worker or of another kind.
 */
#define TERM_SHIFT 32

/* An order in flight. */
struct relayed_order {
	RB_ENTRY(relayed_order) by_number;
	uint64_t number;
	char member[ELECT_ID_MAX];
	char worker[SCHED_WORKER_ID_MAX];
	int64_t expires_ms;
	worker_done *done;
	void *ctx;
};
RB_HEAD(relayed_order_tree, relayed_order);

struct order_relay {
	struct node *node;
	struct relayed_order_tree orders;
	struct routes routes;
	struct route_member *members; /* for the routes to choose from */
	struct running_lists lists; /* the last of each worker */
	uint64_t last_number;
	bool enabled;
	relay_late_cb *late;
	void *late_ctx;
};

static int
relayed_order_cmp(struct relayed_order *a, struct relayed_order *b)
{
	if (a->number != b->number)
		return a->number < b->number ? -1 : 1;
	return 0;
}

RB_PROTOTYPE(relayed_order_tree, relayed_order, by_number, relayed_order_cmp)
RB_GENERATE(relayed_order_tree, relayed_order, by_number, relayed_order_cmp)

static bool
member_is_usable(const void *data, int64_t now_ms, int64_t *until_ms)
{
	const struct member *member;

	member = data;
	*until_ms = now_ms + SILENT_RETRY_MS;
	if (now_ms < member->avoid_until_ms) {
		*until_ms = member->avoid_until_ms;
		return false;
	}
	return member->can_relay &&
	    now_ms - member->heard_ms <= HELLO_MAX_AGE_MS;
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
	c->last_number = node->elect.leader.term << TERM_SHIFT;
	RB_INIT(&c->orders);
	routes_init(&c->routes, member_is_usable);
	running_lists_init(&c->lists);
	relay_update_members(c);
	return c;
}

/* If out of memory, the leader makes the calls itself. */
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
finish(struct order_relay *c, struct relayed_order *order,
    const struct worker_result *result)
{
	RB_REMOVE(relayed_order_tree, &c->orders, order);
	order->done(result, order->ctx);
	free(order);
}

static void
finish_lost(struct order_relay *c, struct relayed_order *order)
{
	struct worker_result lost;

	memset(&lost, 0, sizeof(lost));
	lost.answer = ANSWER_LOST;
	finish(c, order, &lost);
}

/*
 * Discard unsent orders of this term.  If we lead again, they would be sent as
 * orders of the later term.
 */
static void
discard_unsent(struct order_relay *c)
{
	struct member *member;

	TAILQ_FOREACH (member, &c->node->members, link)
		relay_writer_clear(&member->orders);
}

void
relay_close(struct order_relay *c)
{
	struct relayed_order *order;

	discard_unsent(c);
	while ((order = RB_MIN(relayed_order_tree, &c->orders)) != NULL)
		finish_lost(c, order);
	routes_free(&c->routes);
	running_lists_free(&c->lists);
	free(c->members);
	free(c);
}

void
relay_enable(struct order_relay *c, bool enabled)
{
	if (c->enabled != enabled)
		log_info("carry", "by_members=%d", (int)enabled);
	c->enabled = enabled;
}

/* Returns NULL if the leader is to make the call itself. */
static struct member *
choose_member(struct order_relay *c, const struct sched_worker *worker)
{
	if (!c->enabled)
		return NULL;
	return route_choose(
	    &c->routes, worker->id, worker->data_center, clock_now_ms());
}

/* Number the order and add it to the member's batch. */
static void
enqueue_order(struct order_relay *c, struct member *member,
    struct relay_order *order, int64_t timeout_ms, worker_done *done, void *ctx)
{
	struct relayed_order *relayed;

	if ((relayed = calloc(1, sizeof(*relayed))) == NULL) {
		log_error("carry", "error=memory");
		abort();
	}
	relayed->number = ++c->last_number;
	strlcpy(relayed->member, member->id, sizeof(relayed->member));
	strlcpy(relayed->worker, order->worker, sizeof(relayed->worker));
	relayed->expires_ms = clock_now_ms() + timeout_ms;
	relayed->done = done;
	relayed->ctx = ctx;
	RB_INSERT(relayed_order_tree, &c->orders, relayed);
	order->number = relayed->number;
	relay_write_order(&member->orders, order);
}

static void
init_order(struct relay_order *order, enum relay_kind kind,
    const struct sched_worker *worker)
{
	memset(order, 0, sizeof(*order));
	order->kind = kind;
	order->worker = worker->id;
	order->address = worker->address;
}

static void
init_task_order(struct relay_order *order, enum relay_kind kind,
    const struct worker_order *from)
{
	init_order(order, kind, from->worker);
	order->task = *from->task;
	order->attempt = from->attempt;
}

static void
start_task(
    void *self, const struct worker_start *from, worker_done *done, void *ctx)
{
	const struct worker_ops *direct;
	struct relay_order order;
	struct member *member;
	struct order_relay *c;

	c = self;
	direct = &c->node->opt.workers;
	if ((member = choose_member(c, from->order.worker)) == NULL) {
		direct->start(direct->self, from, done, ctx);
		return;
	}
	init_task_order(&order, RELAY_START, &from->order);
	order.payload = from->payload;
	order.checkpoint = from->checkpoint;
	order.deadline_ms = from->deadline_ms;
	enqueue_order(c, member, &order, ORDER_TIMEOUT_MS, done, ctx);
}

static void
stop_task(
    void *self, const struct worker_order *from, worker_done *done, void *ctx)
{
	const struct worker_ops *direct;
	struct relay_order order;
	struct member *member;
	struct order_relay *c;

	c = self;
	direct = &c->node->opt.workers;
	if ((member = choose_member(c, from->worker)) == NULL) {
		direct->stop(direct->self, from, done, ctx);
		return;
	}
	init_task_order(&order, RELAY_STOP, from);
	enqueue_order(c, member, &order, ORDER_TIMEOUT_MS, done, ctx);
}

static void
pace_task(void *self, const struct worker_order *from, int percent,
    worker_done *done, void *ctx)
{
	const struct worker_ops *direct;
	struct relay_order order;
	struct member *member;
	struct order_relay *c;

	c = self;
	direct = &c->node->opt.workers;
	if ((member = choose_member(c, from->worker)) == NULL) {
		direct->pace(direct->self, from, percent, done, ctx);
		return;
	}
	init_task_order(&order, RELAY_PACE, from);
	order.percent = percent;
	enqueue_order(c, member, &order, ORDER_TIMEOUT_MS, done, ctx);
}

static void
poll_worker(
    void *self, const struct worker_poll *from, worker_done *done, void *ctx)
{
	const struct worker_ops *direct;
	struct relay_order order;
	struct member *member;
	struct order_relay *c;

	c = self;
	direct = &c->node->opt.workers;
	if ((member = choose_member(c, from->worker)) == NULL) {
		direct->poll(direct->self, from, done, ctx);
		return;
	}
	init_order(&order, RELAY_POLL, from->worker);
	order.acknowledged = from->acknowledged;
	order.deadline_ms = from->deadline_ms;
	order.wait_ms = from->wait_ms;
	order.base = running_list_number(&c->lists, from->worker->id);
	enqueue_order(c, member, &order, from->wait_ms + POLL_TIMEOUT_SLACK_MS,
	    done, ctx);
}

void
relay_worker_ops(struct order_relay *c, struct worker_ops *ops)
{
	ops->self = c;
	ops->start = start_task;
	ops->stop = stop_task;
	ops->pace = pace_task;
	ops->poll = poll_worker;
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
		/* Orders that were not sent expire like unanswered ones. */
		if (!relay_write_orders(&member->orders, node->id,
			node->address, node->elect.leader.term, &message) ||
		    !members_send_bytes(c->node, member->id, "orders",
			message.data, message.size))
			member->avoid_until_ms = clock_now_ms() + AVOID_MS;
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
	struct relayed_order *order, *next;
	struct member *member;

	routes_expire(&c->routes, now_ms);
	running_lists_expire(&c->lists, now_ms);
	for (order = RB_MIN(relayed_order_tree, &c->orders); order != NULL;
	     order = next) {
		next = RB_NEXT(relayed_order_tree, &c->orders, order);
		if (now_ms < order->expires_ms)
			continue;
		member = member_get(c->node, order->member);
		if (member != NULL)
			member->avoid_until_ms = now_ms + AVOID_MS;
		counter_inc_reason("lagoonpin_carry_lost", "no_answer");
		finish_lost(c, order);
	}
}

/*
 * Report the task ends in an answer that is too late for its order.  The
 * worker considers them reported, so without this a finished task would be
 * started again after the worker's lease expires.
 */
static void
report_late_ends(struct order_relay *c, const struct relay_answer *answer)
{
	if (answer->poll == NULL || answer->poll->nfinished == 0)
		return;
	counter_inc_reason("lagoonpin_carry_late", "ends");
	c->late(answer->worker, answer->poll, c->late_ctx);
}

/* A lost call may mean that this member can't reach the worker. */
static void
update_route(struct order_relay *c, const struct relayed_order *order,
    enum worker_answer answer)
{
	if (answer == ANSWER_LOST || answer == ANSWER_NOT_SENT)
		route_call_lost(&c->routes, order->worker, clock_now_ms());
	else
		route_call_answered(&c->routes, order->worker);
}

/* Rows of the answer may point into the current list until it is replaced. */
static void
store_list(struct order_relay *c, const struct relay_answer *answer)
{
	running_list_put(&c->lists, answer->worker, answer->number,
	    answer->poll->running, answer->poll->nrunning, clock_now_ms());
}

static void
on_answer(const struct relay_answer *answer, void *ctx)
{
	struct worker_result result;
	struct relayed_order key, *order;
	struct order_relay *c;

	c = ctx;
	key.number = answer->number;
	if ((order = RB_FIND(relayed_order_tree, &c->orders, &key)) == NULL) {
		exchange_drop("order",
		    answer->number >> TERM_SHIFT ==
			    c->last_number >> TERM_SHIFT ?
			EXCHANGE_LATE :
			EXCHANGE_FORMER_LEADER);
		report_late_ends(c, answer);
		return;
	}
	update_route(c, order, answer->answer);
	if (answer->answer == ANSWER_LOST) {
		report_late_ends(c, answer);
		if (answer->worker != NULL)
			running_list_remove(&c->lists, answer->worker);
		finish_lost(c, order);
		return;
	}
	memset(&result, 0, sizeof(result));
	result.answer = answer->answer;
	result.clock_ms = answer->clock_ms;
	result.poll = answer->poll;
	finish(c, order, &result);
	if (answer->poll != NULL)
		store_list(c, answer);
}

static const struct running_list *
find_base(const char *worker, uint64_t number, void *ctx)
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
	reader.base = find_base;
	reader.ctx = c;
	relay_read(message, len, &reader);
}
