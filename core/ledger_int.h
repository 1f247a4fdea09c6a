#ifndef LEDGER_INT_H
#define LEDGER_INT_H

#include "ledger.h"

/* Shared by the ledger's source files only. */

/* Record a change to the task's stored fields. */
void ledger_changed(struct ledger *, struct ledger_task *);
/* Whether the store has confirmed the task's last change. */
bool ledger_is_committed(const struct ledger *, const struct ledger_task *);

/* The counts of a job, created on first use; NULL if out of memory. */
struct ledger_job *ledger_job_get(struct ledger *, const char *id);

void ledger_insert_pending(struct ledger *, struct ledger_task *);
/* Release the task's reserved resources, or its place in the queue. */
void ledger_release_room(struct ledger_task *);
/*
 * Unbind a task whose attempt has certainly ended: release its room and make
 * it pending, or end it if it was cancelled.
 */
void ledger_unbind(struct ledger *, struct ledger_task *, const char *reason);
/* End the task in the given state; the next write removes it. */
void ledger_end_task(
    struct ledger *, struct ledger_task *, enum task_state, const char *reason);
/* Free ended tasks, accepted items and removed jobs once committed. */
void ledger_sweep(struct ledger *);
/* End the ownership and tell the caller; nothing more is sent. */
void ledger_end_ownership(struct ledger *, enum ledger_lost);

#endif /* LEDGER_INT_H */
