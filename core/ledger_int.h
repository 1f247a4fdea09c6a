#ifndef LEDGER_INT_H
#define LEDGER_INT_H

#include "ledger.h"

/* What the files of the ledger share. */

/* Note that the task's record changed. */
void ledger_changed(struct ledger *, struct ledger_task *);
/* The task's record is what the store has confirmed. */
bool ledger_is_committed(const struct ledger *, const struct ledger_task *);

/* The job's counts, made on first use; NULL: no memory. */
struct ledger_job *ledger_job_get(struct ledger *, const char *id);

void ledger_insert_pending(struct ledger *, struct ledger_task *);
/* Give up the room or the waiting place that the task holds. */
void ledger_release_room(struct ledger_task *);
/*
 * The attempt has certainly ended: give its room back and let the task wait
 * for another one, or end it if it was cancelled.
 */
void ledger_unbind(struct ledger *, struct ledger_task *, const char *reason);
/* The task leaves the ledger in this state with the next write. */
void ledger_end_task(
    struct ledger *, struct ledger_task *, enum task_state, const char *reason);
/* Free what the store has confirmed as gone. */
void ledger_sweep(struct ledger *);
/* Drop everything: nothing more is sent. */
void ledger_end_ownership(struct ledger *, enum ledger_lost);

#endif /* LEDGER_INT_H */
