#ifndef LISTSYNC_H
#define LISTSYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "confirmation.h"

/*
 * What a leader knows about the list of workers in the store: how old that is,
 * and when to read or watch the list.
 *
 * Workers may shrink while the store can't tell it: it is away, or a call to it
 * hangs.  A leader that took its list for the present state started tasks on
 * workers that had no room for them any more, which slowed down or ended all
 * that ran there.  So an answered call proves the list to be complete as of its
 * beginning, and calls are made beside one that hangs.
 *
 * Workers need the store, too: they rewrite their entries in intervals, and
 * can't while it is away.  So an answer proves nothing of changes that are
 * younger than an interval, and nothing at all until the store has been back
 * for an interval.
 *
 * All times are in milliseconds of one steady clock.
 */

/* A watch without a change is answered after this time. */
#define LISTSYNC_WATCH_MS INT64_C(300)
/* A watch that isn't answered by then is overdue. */
#define LISTSYNC_OVERDUE_MS INT64_C(200)
/* Minimum interval of reads. */
#define LISTSYNC_RETRY_MS INT64_C(300)
/* A read is overdue after this multiple of the time that the last one took. */
#define LISTSYNC_READ_FACTOR 4
/* Longest time until a read is overdue. */
#define LISTSYNC_READ_MAX_MS INT64_C(1000)
/* A watch may omit changes unnoticed, so the list is read as often. */
#define LISTSYNC_READ_INTERVAL_MS INT64_C(4000)
/* The store may be away unnoticed for this time. */
#define LISTSYNC_GAP_MS INT64_C(1000)
/* A call that fails after so long has hung. */
#define LISTSYNC_HANG_MS INT64_C(500)
/* Workers whose calls hung report by this much later after its return. */
#define LISTSYNC_HUNG_MS INT64_C(700)
/* Unanswered calls at a time, at most. */
#define LISTSYNC_CALLS_MAX 4

enum listsync_kind {
	LISTSYNC_READ, /* of the whole list, in pages */
	LISTSYNC_WATCH /* for changes since the last answer that was used */
};

/* A call to the store. */
struct listsync_call {
	enum listsync_kind kind;
	uint64_t number; /* higher than those of earlier calls */
	int64_t begun_ms;
};

/* How a call ended. */
enum listsync_end {
	LISTSYNC_COMPLETE, /* all of its answer was used */
	LISTSYNC_OUTDATED, /* its answer wasn't used, or not to the end */
	LISTSYNC_HISTORY_LOST, /* a watch can't tell the changes any more */
	LISTSYNC_FAILED /* workers may fail to reach the store, too */
};

struct listsync_options {
	int64_t report_ms; /* interval in which workers rewrite their entries */
	int64_t apply_ms; /* a change has to be in force within this time */
};

struct listsync {
	int64_t report_ms; /* with a reserve */
	int64_t fresh_ms; /* tasks may be started by a list of this age */
	int64_t away_ms; /* the store may have been away until then */
	int64_t settle_ms; /* time until workers have reported after that */
	bool hung; /* a call has hung since the list was last proven */
	struct confirmation known; /* changes up to then are in the list */
	int64_t proven_ms; /* start of the last complete call; 0: none */
	bool read_wanted; /* the list may be incomplete */
	int64_t read_ms; /* start of the last complete read */
	int64_t read_begun_ms; /* of the last read */
	int64_t read_took_ms; /* the last complete one */
	struct listsync_call last; /* the latest call */
	int64_t last_ms; /* its start, or that of its last page */
	bool last_open; /* it hasn't ended */
	uint64_t used; /* number of the latest call whose answer was used */
	uint32_t unanswered; /* calls that haven't ended */
};

/*
 * The age up to which a worker's own entry shows its room, if it tells when it
 * was written.  Where the users' bound is shorter than the time in which an
 * entry is rewritten and read, that time counts: else nothing would ever start.
 */
int64_t listsync_entry_max_ms(const struct listsync_options *);

void listsync_init(struct listsync *, const struct listsync_options *);
/*
 * The list was read when the term began, from begun_ms to now; the store may
 * have been away, with calls that hung, until away_ms.
 */
void listsync_loaded(
    struct listsync *, int64_t begun_ms, int64_t away_ms, int64_t now_ms);
/* Read the list as soon as possible. */
void listsync_want_read(struct listsync *);

/* Whether a call is due, and which. */
bool listsync_due(
    const struct listsync *, enum listsync_kind *, int64_t now_ms);
void listsync_begin(struct listsync *, enum listsync_kind,
    struct listsync_call *, int64_t now_ms);
/* The call goes on with another page. */
void listsync_continue(
    struct listsync *, const struct listsync_call *, int64_t now_ms);
/*
 * The call has an answer.  Returns false if it must not be used: it may be
 * older than that of a later call.
 */
bool listsync_use(struct listsync *, const struct listsync_call *);
void listsync_end(struct listsync *, const struct listsync_call *,
    enum listsync_end, int64_t now_ms);

/* Age of what is known about all workers; -1: nothing is. */
int64_t listsync_age_ms(const struct listsync *, int64_t now_ms);
/* The room of workers is known well enough to start tasks there. */
bool listsync_is_fresh(const struct listsync *, int64_t now_ms);

/*
 * The highest age while the store serves this entry, though a watch hangs and
 * the read beside it is lost; answer_ms: time of an answer.
 */
int64_t listsync_age_max_ms(int64_t report_ms, int64_t answer_ms);

#endif /* LISTSYNC_H */
