#ifndef WATCH_H
#define WATCH_H

#include "kvs.h"

/*
 * Watches: each is told every change in its span from its start revision on.
 * Texts are lines of JSON as the gateway streams them.
 */

struct watches;
struct watch;

/* A line for the watcher; last: the watch is over and must be closed. */
typedef void watch_send(const char *line, size_t len, bool last, void *ctx);

/* NULL without memory. */
struct watches *watches_open(const struct kvs *);
/* Every watch must be closed before. */
void watches_close(struct watches *);
size_t watches_count(const struct watches *);

/*
 * start_revision 0: from now on.  Sends the answer and what has happened since
 * before it returns.  NULL: no memory.
 */
struct watch *watch_open(struct watches *, const struct kvs_span *,
    int64_t start_revision, watch_send *, void *ctx);
void watch_close(struct watch *);

/* Tell all watches what is new. */
void watches_flush(struct watches *);
/* Tell all watches how far they have been told. */
void watches_progress(struct watches *);
/* While held back, nothing is sent. */
void watches_hold(struct watches *, bool hold);

#endif /* WATCH_H */
