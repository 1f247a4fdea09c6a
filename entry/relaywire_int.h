#ifndef RELAYWIRE_INT_H
#define RELAYWIRE_INT_H

/* The form of the messages of carrywire.h; for their two files alone. */

/* What a message holds. */
enum relay_type { RELAY_ORDERS = 1, RELAY_ANSWERS };

/* Items of the arrays. */
#define ORDERS_ITEMS 6 /* version, type, leader, address, term, orders */
#define ANSWERS_ITEMS 4 /* version, type, member, answers */
#define TASK_ITEMS 5 /* job, occurrence, step, index, attempt */
#define ORDER_ITEMS 4 /* kind, number, worker, address */
#define START_ITEMS (ORDER_ITEMS + TASK_ITEMS + 3)
#define STOP_ITEMS (ORDER_ITEMS + TASK_ITEMS)
#define PACE_ITEMS (ORDER_ITEMS + TASK_ITEMS + 1)
#define POLL_ITEMS (ORDER_ITEMS + 4)
#define ANSWER_ITEMS 3 /* number, answer, the worker's clock */
#define POLL_ANSWER_ITEMS \
	(ANSWER_ITEMS + 4) /* worker, base, running, finished */
#define DELTA_ITEMS 3 /* place in the base, percent, figure */
#define DELTA_CHECKPOINT_ITEMS (DELTA_ITEMS + 1) /* and its new checkpoint */
#define RUNNING_ITEMS (TASK_ITEMS + 3) /* checkpoint, percent, figure */
#define FINISHED_ITEMS (1 + TASK_ITEMS + 2) /* number; how, checkpoint */
/* More in one message are refused. */
#define ITEMS_MAX 65536
#define PAYLOAD_MAX ((size_t)64 * 1024)
#define CHECKPOINT_MAX 4096

#endif /* RELAYWIRE_INT_H */
