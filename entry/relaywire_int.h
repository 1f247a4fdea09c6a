#ifndef RELAYWIRE_INT_H
#define RELAYWIRE_INT_H

/* Layout of the relay messages; for relaywire.c and relayread.c only. */

enum relay_type { RELAY_ORDERS = 1, RELAY_ANSWERS };

/* Numbers of items in the arrays. */
#define ORDERS_ITEMS 6 /* version, type, leader, address, term, orders */
#define ANSWERS_ITEMS 4 /* version, type, member, answers */
#define TASK_ITEMS 5 /* job, occurrence, step, index, attempt */
#define ORDER_ITEMS 4 /* kind, number, worker, address */
#define START_ITEMS (ORDER_ITEMS + TASK_ITEMS + 3)
#define STOP_ITEMS (ORDER_ITEMS + TASK_ITEMS)
#define PACE_ITEMS (ORDER_ITEMS + TASK_ITEMS + 1)
#define POLL_ITEMS (ORDER_ITEMS + 4)
#define ANSWER_ITEMS 3 /* number, answer, the worker's clock */
/* worker, its start, base, running, finished */
#define POLL_ANSWER_ITEMS (ANSWER_ITEMS + 5)
#define DELTA_ITEMS 3 /* index in the base, percent, measurement */
#define DELTA_CHECKPOINT_ITEMS (DELTA_ITEMS + 1) /* and its new checkpoint */
#define RUNNING_ITEMS (TASK_ITEMS + 3) /* checkpoint, percent, measurement */
#define FINISHED_ITEMS (1 + TASK_ITEMS + 2) /* number; how, checkpoint */
/* A message with longer arrays is rejected. */
#define ITEMS_MAX 65536
#define PAYLOAD_MAX ((size_t)64 * 1024)
#define CHECKPOINT_MAX 4096

#endif /* RELAYWIRE_INT_H */
