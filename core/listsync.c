#include <string.h>

#include "listsync.h"

/* Answers of a slow store. */
#define ANSWER_MAX_MS INT64_C(300)
/* Workers may rewrite their entries later than agreed by this part. */
#define REPORT_RESERVE_DIVISOR 5

static int64_t
with_reserve(int64_t report_ms)
{
	return report_ms + report_ms / REPORT_RESERVE_DIVISOR;
}

int64_t
listsync_age_max_ms(int64_t report_ms, int64_t answer_ms)
{
	int64_t overdue_ms;

	overdue_ms = LISTSYNC_WATCH_MS + LISTSYNC_OVERDUE_MS;
	return with_reserve(report_ms) + LISTSYNC_GAP_MS + overdue_ms +
	    LISTSYNC_RETRY_MS + answer_ms;
}

int64_t
listsync_entry_max_ms(const struct listsync_options *options)
{
	int64_t max_ms, needed_ms;

	max_ms = options->apply_ms - CONFIRMATION_ORDER_MS;
	needed_ms = with_reserve(options->report_ms) + LISTSYNC_WATCH_MS +
	    LISTSYNC_OVERDUE_MS + LISTSYNC_RETRY_MS + ANSWER_MAX_MS;
	return max_ms > needed_ms ? max_ms : needed_ms;
}

void
listsync_init(struct listsync *sync, const struct listsync_options *options)
{
	int64_t age_max_ms;

	memset(sync, 0, sizeof(*sync));
	sync->report_ms = with_reserve(options->report_ms);
	sync->fresh_ms = options->apply_ms - CONFIRMATION_ORDER_MS;
	/* By a shorter time tasks would wait while nothing is wrong. */
	age_max_ms = listsync_age_max_ms(options->report_ms, ANSWER_MAX_MS);
	if (sync->fresh_ms < age_max_ms)
		sync->fresh_ms = age_max_ms;
}

/*
 * The store didn't serve this entry at that time, nor the workers perhaps: they
 * have until settle_ms later to report.
 */
static void
note_away(struct listsync *sync, int64_t at_ms)
{
	if (at_ms <= sync->away_ms)
		return;
	sync->away_ms = at_ms;
	sync->settle_ms = sync->report_ms;
	if (sync->hung || sync->unanswered > 0)
		sync->settle_ms += LISTSYNC_HUNG_MS;
}

/* The list was that of the store at this time. */
static void
prove(struct listsync *sync, int64_t at_ms)
{
	if (sync->proven_ms != 0 && at_ms - sync->proven_ms > LISTSYNC_GAP_MS)
		note_away(sync, at_ms);
	sync->proven_ms = at_ms;
	if (at_ms - sync->away_ms < sync->settle_ms)
		return;
	sync->hung = false;
	confirmation_note(&sync->known, CONFIRMED_BY_STORE,
	    at_ms - sync->report_ms - LISTSYNC_GAP_MS);
}

void
listsync_loaded(
    struct listsync *sync, int64_t begun_ms, int64_t away_ms, int64_t now_ms)
{
	sync->hung = true;
	note_away(sync, away_ms);
	sync->read_ms = begun_ms;
	sync->read_took_ms = now_ms - begun_ms;
	prove(sync, begun_ms);
}

void
listsync_want_read(struct listsync *sync)
{
	sync->read_wanted = true;
}

/*
 * On a slow link a second read beside the first would slow both down until
 * neither is answered in time.
 */
static int64_t
read_limit_ms(const struct listsync *sync)
{
	int64_t limit_ms;

	limit_ms = LISTSYNC_READ_FACTOR * sync->read_took_ms;
	if (limit_ms < LISTSYNC_RETRY_MS)
		return LISTSYNC_RETRY_MS;
	return limit_ms < LISTSYNC_READ_MAX_MS ? limit_ms :
						 LISTSYNC_READ_MAX_MS;
}

static bool
is_overdue(const struct listsync *sync, int64_t now_ms)
{
	int64_t limit_ms;

	limit_ms = sync->last.kind == LISTSYNC_WATCH ?
	    LISTSYNC_WATCH_MS + LISTSYNC_OVERDUE_MS :
	    read_limit_ms(sync);
	return now_ms - sync->last_ms >= limit_ms;
}

bool
listsync_due(
    const struct listsync *sync, enum listsync_kind *kind, int64_t now_ms)
{
	if (sync->unanswered >= LISTSYNC_CALLS_MAX ||
	    (sync->last_open && !is_overdue(sync, now_ms)))
		return false;
	*kind = LISTSYNC_READ;
	if (!sync->last_open && !sync->read_wanted &&
	    now_ms - sync->read_ms < LISTSYNC_READ_INTERVAL_MS) {
		*kind = LISTSYNC_WATCH;
		return true;
	}
	return now_ms - sync->read_begun_ms >= LISTSYNC_RETRY_MS;
}

void
listsync_begin(struct listsync *sync, enum listsync_kind kind,
    struct listsync_call *call, int64_t now_ms)
{
	call->kind = kind;
	call->number = sync->last.number + 1;
	call->begun_ms = now_ms;
	sync->last = *call;
	sync->last_ms = now_ms;
	sync->last_open = true;
	sync->unanswered++;
	if (kind == LISTSYNC_READ)
		sync->read_begun_ms = now_ms;
}

void
listsync_continue(
    struct listsync *sync, const struct listsync_call *call, int64_t now_ms)
{
	if (call->number == sync->last.number)
		sync->last_ms = now_ms;
}

bool
listsync_use(struct listsync *sync, const struct listsync_call *call)
{
	if (call->number < sync->used)
		return false;
	sync->used = call->number;
	return true;
}

static void
note_complete(
    struct listsync *sync, const struct listsync_call *call, int64_t now_ms)
{
	if (call->kind == LISTSYNC_READ) {
		sync->read_wanted = false;
		sync->read_ms = call->begun_ms;
		sync->read_took_ms = now_ms - call->begun_ms;
	}
	if (!sync->read_wanted)
		prove(sync, call->begun_ms);
}

/* The call failed, perhaps after some pages; no later one was answered. */
static void
note_failure(struct listsync *sync, const struct listsync_call *call,
    enum listsync_end end, int64_t now_ms)
{
	sync->read_wanted = true;
	if (end != LISTSYNC_FAILED)
		return;
	if (now_ms - call->begun_ms >= LISTSYNC_HANG_MS)
		sync->hung = true;
	note_away(sync, call->begun_ms);
}

void
listsync_end(struct listsync *sync, const struct listsync_call *call,
    enum listsync_end end, int64_t now_ms)
{
	sync->unanswered--;
	if (call->number == sync->last.number)
		sync->last_open = false;
	if (end == LISTSYNC_COMPLETE)
		note_complete(sync, call, now_ms);
	else if (end != LISTSYNC_OUTDATED && call->number >= sync->used)
		note_failure(sync, call, end, now_ms);
}

int64_t
listsync_age_ms(const struct listsync *sync, int64_t now_ms)
{
	return confirmation_age_ms(&sync->known, now_ms);
}

bool
listsync_is_fresh(const struct listsync *sync, int64_t now_ms)
{
	return confirmation_is_fresh(&sync->known, sync->fresh_ms, now_ms);
}
