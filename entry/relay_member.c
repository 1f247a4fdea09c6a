#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "node_int.h"
#include "relay.h"

/*
 * The member's side of the relay, see relay.h: make the calls that a leader
 * orders and return the workers' answers.
 */

/*
 * Answers are kept for this long while the connection to the leader is being
 * reestablished.  A worker considers a task end reported once it has answered;
 * if that answer is lost, the leader starts the task again after the worker's
 * lease expires.
 */
#define UNSENT_KEEP_MS 5000
#define UNSENT_RETRY_MS 50
/* Answers are batched for this long. */
#define BATCH_MS 2

/* A batch of answers for one leader. */
struct answers {
	TAILQ_ENTRY(answers) link;
	char leader[ELECT_ID_MAX];
	int64_t since_ms;
	struct relay_writer batch;
	msgpack_sbuffer message; /* encoded but not sent yet; may be empty */
};

struct relayed_call {
	struct node *node;
	char leader[ELECT_ID_MAX];
	char worker[SCHED_WORKER_ID_MAX];
	uint64_t number;
	uint64_t base; /* of a poll: number of the leader's running list */
	bool is_poll;
};

static struct answers *
get_batch(struct node *node, const char *leader)
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
	relay_writer_init(&answers->batch);
	msgpack_sbuffer_init(&answers->message);
	TAILQ_INSERT_TAIL(&node->answers, answers, link);
	return answers;
}

static void
answers_free(struct node *node, struct answers *answers)
{
	TAILQ_REMOVE(&node->answers, answers, link);
	relay_writer_free(&answers->batch);
	msgpack_sbuffer_destroy(&answers->message);
	free(answers);
}

/* Returns false if the leader can't be reached. */
static bool
send_answers(struct node *node, struct answers *answers)
{
	if (answers->message.size == 0 &&
	    !relay_write_answers(
		&answers->batch, node->id, &answers->message)) {
		/* The orders time out at the leader. */
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
		    now_ms - answers->since_ms < UNSENT_KEEP_MS) {
			node_schedule_reply(node, UNSENT_RETRY_MS);
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

/* The answer to a poll is encoded as a delta to the leader's running list. */
static void
write_answer(struct answers *answers, const struct relayed_call *call,
    const struct worker_result *result)
{
	const struct running_list *base;
	struct relay_answer answer;
	struct running_lists *lists;

	memset(&answer, 0, sizeof(answer));
	answer.number = call->number;
	answer.answer = result->answer;
	answer.clock_ms = result->clock_ms;
	if (!call->is_poll || result->poll == NULL) {
		relay_write_answer(&answers->batch, &answer, NULL);
		return;
	}
	lists = &call->node->lists;
	answer.worker = call->worker;
	answer.poll = result->poll;
	base = call->base != 0 ?
	    running_list_find(lists, call->worker, call->base) :
	    NULL;
	relay_write_answer(&answers->batch, &answer, base);
	running_list_put(lists, call->worker, call->number,
	    result->poll->running, result->poll->nrunning, clock_now_ms());
}

static void
on_called(const struct worker_result *result, void *ctx)
{
	struct relayed_call *call;
	struct answers *answers;

	call = ctx;
	answers =
	    call->node->closing ? NULL : get_batch(call->node, call->leader);
	if (answers != NULL) {
		write_answer(answers, call, result);
		node_schedule_reply(call->node, BATCH_MS);
	}
	free(call);
}

static void
make_call(const struct worker_ops *ops, const struct relay_order *order,
    const struct worker_order *to, struct relayed_call *call)
{
	struct worker_start start;
	struct worker_poll poll;

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
		poll.worker = to->worker;
		poll.term = to->term;
		poll.acknowledged = order->acknowledged;
		poll.deadline_ms = order->deadline_ms;
		poll.wait_ms = order->wait_ms;
		ops->poll(ops->self, &poll, on_called, call);
		break;
	}
}

static void
on_order(const char *leader, const char *address, uint64_t term,
    const struct relay_order *order, void *ctx)
{
	struct sched_worker worker;
	struct relayed_call *call;
	struct worker_order to;
	struct node *node;

	node = ctx;
	/* Without a call the order times out at the leader. */
	if (peer_connect(node->peer, leader, address) != PEER_OK ||
	    (call = calloc(1, sizeof(*call))) == NULL)
		return;
	call->node = node;
	strlcpy(call->leader, leader, sizeof(call->leader));
	strlcpy(call->worker, order->worker, sizeof(call->worker));
	call->number = order->number;
	call->base = order->base;
	call->is_poll = order->kind == RELAY_POLL;
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
