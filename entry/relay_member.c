#include <stdlib.h>
#include <string.h>

#include "relay.h"
#include "clock.h"
#include "log.h"
#include "node_int.h"

/*
 * The member's side of carry.h: make a leader's calls, give the answers back.
 */

/*
 * While the connection to the leader is made anew, answers are kept for so
 * long.  A worker that has told of an end counts it as told; if the leader
 * never hears of it, it starts the task again when the worker's lease is over.
 */
#define KEEP_MS 5000
#define KEPT_RETRY_MS 50
/* Answers are gathered for so long. */
#define REPLY_MS 2

/* Answers for one leader, gathered for a moment. */
struct answers {
	TAILQ_ENTRY(answers) link;
	char leader[ELECT_ID_MAX];
	int64_t since_ms;
	struct relay_writer gathered;
	msgpack_sbuffer message; /* that couldn't be sent yet; may be empty */
};

struct carried_call {
	struct node *node;
	char leader[ELECT_ID_MAX];
	char worker[SCHED_WORKER_ID_MAX];
	uint64_t number;
	uint64_t base; /* of a look: the list that the leader has */
	bool look;
};

static struct answers *
answers_for(struct node *node, const char *leader)
{
	struct answers *answers;

	TAILQ_FOREACH (answers, &node->answers, link) {
		if (strcmp(answers->leader, leader) == 0 &&
		    answers->message.size == 0)
			return answers;
	}
	if ((answers = calloc(1, sizeof(*answers))) == NULL)
		return NULL;
	strlcpy(answers->leader, leader, sizeof(answers->leader));
	answers->since_ms = clock_now_ms();
	relay_writer_init(&answers->gathered);
	msgpack_sbuffer_init(&answers->message);
	TAILQ_INSERT_TAIL(&node->answers, answers, link);
	return answers;
}

static void
answers_free(struct node *node, struct answers *answers)
{
	TAILQ_REMOVE(&node->answers, answers, link);
	relay_writer_free(&answers->gathered);
	msgpack_sbuffer_destroy(&answers->message);
	free(answers);
}

/* false: the leader can't be reached now. */
static bool
send_answers(struct node *node, struct answers *answers)
{
	if (answers->message.size == 0 &&
	    !relay_write_answers(
		&answers->gathered, node->id, &answers->message)) {
		/* The leader gives up on them by itself. */
		log_error("carry", "error=memory");
		return true;
	}
	return members_send_bytes(node, answers->leader, "answers",
	    answers->message.data, answers->message.size);
}

void
relay_send_answers(struct node *node)
{
	struct answers *answers, *next;
	int64_t now_ms;

	now_ms = clock_now_ms();
	for (answers = TAILQ_FIRST(&node->answers); answers != NULL;
	     answers = next) {
		next = TAILQ_NEXT(answers, link);
		if (!send_answers(node, answers) &&
		    now_ms - answers->since_ms < KEEP_MS) {
			node_schedule_reply(node, KEPT_RETRY_MS);
			continue;
		}
		answers_free(node, answers);
	}
	running_lists_expire(&node->lists, now_ms);
}

void
relay_free_answers(struct node *node)
{
	struct answers *answers;

	while ((answers = TAILQ_FIRST(&node->answers)) != NULL)
		answers_free(node, answers);
	running_lists_free(&node->lists);
}

/* The answer of a look says what changed since the one that is its base. */
static void
write_answer(struct answers *answers, const struct carried_call *call,
    const struct worker_result *result)
{
	const struct running_list *base;
	struct relay_answer answer;
	struct running_lists *lists;

	memset(&answer, 0, sizeof(answer));
	answer.number = call->number;
	answer.answer = result->answer;
	answer.clock_ms = result->clock_ms;
	if (!call->look || result->poll == NULL) {
		relay_write_answer(&answers->gathered, &answer, NULL);
		return;
	}
	lists = &call->node->lists;
	answer.worker = call->worker;
	answer.look = result->poll;
	base = call->base != 0 ?
	    running_list_find(lists, call->worker, call->base) :
	    NULL;
	relay_write_answer(&answers->gathered, &answer, base);
	running_list_put(lists, call->worker, call->number,
	    result->poll->running, result->poll->nrunning, clock_now_ms());
}

static void
on_called(const struct worker_result *result, void *ctx)
{
	struct carried_call *call;
	struct answers *answers;

	call = ctx;
	answers =
	    call->node->closing ? NULL : answers_for(call->node, call->leader);
	if (answers != NULL) {
		write_answer(answers, call, result);
		node_schedule_reply(call->node, REPLY_MS);
	}
	free(call);
}

static void
make_call(const struct worker_ops *ops, const struct relay_order *order,
    const struct worker_order *to, struct carried_call *call)
{
	struct worker_start start;
	struct worker_poll look;

	switch (order->kind) {
	case RELAY_START:
		start.order = *to;
		start.payload = order->payload;
		start.checkpoint = order->checkpoint;
		start.deadline_ms = order->deadline_ms;
		ops->start(ops->self, &start, on_called, call);
		break;
	case RELAY_STOP:
		ops->stop(ops->self, to, on_called, call);
		break;
	case RELAY_PACE:
		ops->pace(ops->self, to, order->percent, on_called, call);
		break;
	case RELAY_POLL:
		look.worker = to->worker;
		look.term = to->term;
		look.acknowledged = order->acknowledged;
		look.deadline_ms = order->deadline_ms;
		look.wait_ms = order->wait_ms;
		ops->poll(ops->self, &look, on_called, call);
		break;
	}
}

static void
on_order(const char *leader, const char *address, uint64_t term,
    const struct relay_order *order, void *ctx)
{
	struct sched_worker worker;
	struct carried_call *call;
	struct worker_order to;
	struct node *node;

	node = ctx;
	/* Not called, the leader gives up on it by itself. */
	if (peer_connect(node->peer, leader, address) != PEER_OK ||
	    (call = calloc(1, sizeof(*call))) == NULL)
		return;
	call->node = node;
	strlcpy(call->leader, leader, sizeof(call->leader));
	strlcpy(call->worker, order->worker, sizeof(call->worker));
	call->number = order->number;
	call->base = order->base;
	call->look = order->kind == RELAY_POLL;
	memset(&worker, 0, sizeof(worker));
	strlcpy(worker.id, order->worker, sizeof(worker.id));
	strlcpy(worker.address, order->address, sizeof(worker.address));
	to.worker = &worker;
	to.task = &order->task;
	to.attempt = order->attempt;
	to.term = term;
	make_call(&node->opt.workers, order, &to, call);
}

void
relay_handle_orders(struct node *node, const void *message, size_t len)
{
	struct relay_reader reader;

	memset(&reader, 0, sizeof(reader));
	reader.order = on_order;
	reader.ctx = node;
	relay_read(message, len, &reader);
}
