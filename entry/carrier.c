#include <stdlib.h>
#include <string.h>

#include "carry.h"
#include "clock.h"
#include "log.h"
#include "node_int.h"

/* The member's side of carry.h: make a leader's calls, give the answers back.
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
	json_t *list;
};

struct carried_call {
	struct node *node;
	char leader[ELECT_ID_MAX];
	char worker[SCHED_WORKER_ID_MAX];
	json_int_t number;
	bool look;
};

static struct answers *
answers_for(struct node *node, const char *leader)
{
	struct answers *answers;

	TAILQ_FOREACH (answers, &node->answers, link) {
		if (strcmp(answers->leader, leader) == 0)
			return answers;
	}
	if ((answers = calloc(1, sizeof(*answers))) == NULL)
		return NULL;
	strlcpy(answers->leader, leader, sizeof(answers->leader));
	answers->since_ms = clock_now_ms();
	answers->list = json_array();
	TAILQ_INSERT_TAIL(&node->answers, answers, link);
	return answers;
}

static void
answers_free(struct node *node, struct answers *answers)
{
	TAILQ_REMOVE(&node->answers, answers, link);
	json_decref(answers->list);
	free(answers);
}

void
carry_reply(struct node *node)
{
	struct answers *answers, *next;
	int64_t now_ms;
	json_t *message;

	now_ms = clock_now_ms();
	for (answers = TAILQ_FIRST(&node->answers); answers != NULL;
	     answers = next) {
		next = TAILQ_NEXT(answers, link);
		message = json_pack("{ss ss sO}", "t", "answers", "id",
		    node->id, "answers", answers->list);
		if (!members_send(node, answers->leader, message) &&
		    now_ms - answers->since_ms < KEEP_MS) {
			node_reply_in(node, KEPT_RETRY_MS);
			continue;
		}
		answers_free(node, answers);
	}
}

void
carry_drop(struct node *node)
{
	struct answers *answers;

	while ((answers = TAILQ_FIRST(&node->answers)) != NULL)
		answers_free(node, answers);
}

static void
write_look(json_t *answer, const char *worker, const struct look_result *look)
{
	const struct look_finished *f;
	const struct look_running *r;
	json_t *running, *finished;
	size_t i;

	running = json_array();
	for (i = 0; i < look->nrunning; i++) {
		r = &look->running[i];
		json_array_append_new(running,
		    json_pack("[siiiIsii]", r->task.job,
			(int)r->task.occurrence, (int)r->task.step,
			(int)r->task.index, (json_int_t)r->attempt,
			r->checkpoint, r->percent, r->figure));
	}
	finished = json_array();
	for (i = 0; i < look->nfinished; i++) {
		f = &look->finished[i];
		json_array_append_new(finished,
		    json_pack("[IsiiiIis]", (json_int_t)f->number, f->task.job,
			(int)f->task.occurrence, (int)f->task.step,
			(int)f->task.index, (json_int_t)f->attempt, (int)f->how,
			f->checkpoint));
	}
	json_object_set_new(answer, "worker", json_string(worker));
	json_object_set_new(answer, "running", running);
	json_object_set_new(answer, "finished", finished);
}

static void
on_called(const struct worker_result *result, void *ctx)
{
	struct carried_call *call;
	struct answers *answers;
	json_t *answer;

	call = ctx;
	answers =
	    call->node->closing ? NULL : answers_for(call->node, call->leader);
	if (answers != NULL) {
		answer = json_pack("{sI si sI}", "number", call->number,
		    "answer", (int)result->answer, "clock_ms",
		    (json_int_t)result->clock_ms);
		if (call->look && result->look != NULL)
			write_look(answer, call->worker, result->look);
		json_array_append_new(answers->list, answer);
		node_reply_in(call->node, REPLY_MS);
	}
	free(call);
}

/* The worker of an order, as far as a call needs it. */
static int
read_worker(const json_t *order, struct sched_worker *worker)
{
	const char *id, *address;

	id = json_string_value(json_object_get(order, "worker"));
	address = json_string_value(json_object_get(order, "address"));
	memset(worker, 0, sizeof(*worker));
	if (id == NULL || address == NULL ||
	    strlcpy(worker->id, id, sizeof(worker->id)) >= sizeof(worker->id) ||
	    strlcpy(worker->address, address, sizeof(worker->address)) >=
		sizeof(worker->address))
		return -1;
	return 0;
}

static void
read_order(const json_t *order, struct worker_order *to, struct task_name *task,
    const struct sched_worker *worker)
{
	codec_read_task(json_object_get(order, "task"), 0, task);
	to->worker = worker;
	to->task = task;
	to->attempt =
	    (uint32_t)json_integer_value(json_object_get(order, "attempt"));
	to->term = (uint64_t)json_integer_value(json_object_get(order, "term"));
}

static void
call_start(const struct worker_ops *ops, const json_t *order,
    const struct worker_order *to, struct carried_call *call)
{
	struct worker_start start;
	const char *payload;

	payload = json_string_value(json_object_get(order, "payload"));
	start.order = *to;
	start.payload = payload != NULL ? payload : "";
	start.checkpoint =
	    json_string_value(json_object_get(order, "checkpoint"));
	start.deadline_ms =
	    json_integer_value(json_object_get(order, "deadline_ms"));
	ops->start(ops->self, &start, on_called, call);
}

static void
call_look(const struct worker_ops *ops, const json_t *order,
    const struct worker_order *to, struct carried_call *call)
{
	struct worker_look look;

	look.worker = to->worker;
	look.term = to->term;
	look.acknowledged = (uint64_t)json_integer_value(
	    json_object_get(order, "acknowledged"));
	look.deadline_ms =
	    json_integer_value(json_object_get(order, "deadline_ms"));
	look.wait_ms = json_integer_value(json_object_get(order, "wait_ms"));
	call->look = true;
	ops->look(ops->self, &look, on_called, call);
}

static void
call_one(struct node *node, const char *leader, const json_t *order)
{
	const struct worker_ops *ops;
	struct sched_worker worker;
	struct carried_call *call;
	struct worker_order to;
	struct task_name task;
	const char *kind;

	kind = json_string_value(json_object_get(order, "kind"));
	if (kind == NULL || read_worker(order, &worker) == -1 ||
	    (call = calloc(1, sizeof(*call))) == NULL)
		return; /* the leader gives up on it by itself */
	call->node = node;
	strlcpy(call->leader, leader, sizeof(call->leader));
	strlcpy(call->worker, worker.id, sizeof(call->worker));
	call->number = json_integer_value(json_object_get(order, "number"));
	read_order(order, &to, &task, &worker);
	ops = &node->opt.workers;
	if (strcmp(kind, "start") == 0)
		call_start(ops, order, &to, call);
	else if (strcmp(kind, "stop") == 0)
		ops->stop(ops->self, &to, on_called, call);
	else if (strcmp(kind, "pace") == 0)
		ops->pace(ops->self, &to,
		    (int)json_integer_value(json_object_get(order, "percent")),
		    on_called, call);
	else if (strcmp(kind, "look") == 0)
		call_look(ops, order, &to, call);
	else
		free(call);
}

void
carry_orders(struct node *node, const json_t *message)
{
	const char *leader, *address;
	const json_t *order;
	size_t i;

	leader = json_string_value(json_object_get(message, "id"));
	address = json_string_value(json_object_get(message, "address"));
	if (leader == NULL || address == NULL ||
	    peer_connect(node->peer, leader, address) != PEER_OK)
		return;
	json_array_foreach(json_object_get(message, "orders"), i, order)
	    call_one(node, leader, order);
}
