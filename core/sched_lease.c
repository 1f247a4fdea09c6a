#include "sched_int.h"

/*
 * Leases of the tasks that run on workers: how far each is renewed, when all
 * leases on a worker have surely expired, and what the worker record in the
 * store tells the next leader of it.  A lease deadline is a time on the
 * worker's own clock and never moves back.
 */

/* Margin for the delay of a request and of timers. */
#define EXPIRY_MARGIN_MS 150
/*
 * A worker is silent after this many consecutive calls without an answer over
 * at least this time.  Its lease is then no longer renewed, and the worker
 * record says so.  One lost answer, or several on one broken connection, do not
 * justify a write to the store.
 */
#define SILENT_MISSES 2
#define SILENT_MS 250
/*
 * The lease of a draining worker with a known leave time is renewed to at most
 * this long after that time, so that its tasks do not wait a whole lease to be
 * restarted elsewhere.  If the worker stays longer, the lease is renewed to
 * this long after the current time.
 */
#define LEAVE_LEASE_MS INT64_C(2500)
/*
 * The lease is no longer renewed once it extends LEAVE_COVER_MS past the leave
 * time, as workers stay a little longer than announced.  It is renewed again
 * when it extends less than LEAVE_SPARE_MS past that time: enough for a poll
 * under way, a write to the store and another poll.
 */
#define LEAVE_COVER_MS 2000
#define LEAVE_SPARE_MS 800
/*
 * A call without an answer may be carried out this long after the next
 * incarnation first answers, or after the list first tells it.
 */
#define FORMER_ORDER_MS 2500

/*
 * The longest lease of an incarnation that may have received an order for a
 * former one.  Such an order names a time on another clock, so the worker
 * grants as much as it ever does.
 */
static int64_t
longest_lease_ms(const struct sched *s)
{
	return s->opt.lease_max_ms > s->opt.lease_ms ? s->opt.lease_max_ms :
						       s->opt.lease_ms;
}

/*
 * Whether the incarnation that tells this start (0: none) may have received
 * orders for a former one.  A former leader may have seen a restart of which
 * this one knows only that the recorded incarnation is another.
 */
static bool
may_hold_longest_lease(const struct sched_worker *worker, int64_t started_ms)
{
	if (worker->inc.former_orders)
		return true;
	if (worker->inherited == RECORD_NONE)
		return false;
	if (worker->inherited_start_ms == SCHED_START_UNKNOWN)
		return true;
	if (worker->inherited_start_ms == SCHED_START_ANY)
		return false;
	return started_ms != 0 && started_ms != worker->inherited_start_ms;
}

bool
sched_worker_may_hold_longest_lease(const struct sched_worker *worker)
{
	if (worker->inc.heard_ms != 0)
		return worker->inc.former_orders || worker->inc.doubted_ms != 0;
	return may_hold_longest_lease(worker, worker->listed_start_ms);
}

/*
 * Bounds the leases granted by former leaders at the first answer of a worker.
 * The worker has then seen our term and accepts no renewal from a former
 * leader; before that, one may have renewed by a whole lease.  The worker read
 * its clock no earlier than the poll was sent.
 */
static void
init_granted(
    const struct sched *s, struct sched_worker *worker, int64_t clock_ms)
{
	int64_t left_ms;

	if (may_hold_longest_lease(worker, worker->inc.started_ms))
		left_ms = longest_lease_ms(s) + FORMER_ORDER_MS;
	else if (worker->inc.expires_ms != 0)
		left_ms = worker->inc.expires_ms - worker->poll_sent_ms;
	else
		left_ms = s->opt.lease_ms;
	if (worker->inc.granted_ms < clock_ms + left_ms)
		worker->inc.granted_ms = clock_ms + left_ms;
}

void
worker_note_answer(struct sched *s, struct sched_worker *worker,
    int64_t clock_ms, int64_t now_ms)
{
	if (worker->inc.heard_ms == 0)
		init_granted(s, worker, clock_ms);
	worker->inc.misses = 0;
	worker->inc.noted_misses = 0;
	if (worker->inc.lapsed || worker->inc.heard_ms == 0)
		crash_incarnation_answered(s, worker, now_ms);
	worker->inc.lapsed = false;
	/* An answer overtaken by later ones carries an older clock reading. */
	if (worker->inc.heard_ms != 0 &&
	    clock_ms < worker_clock(worker, now_ms))
		return;
	worker->inc.heard_ms = now_ms;
	worker->inc.clock_ms = clock_ms;
}

/*
 * Lower bound of the worker's clock.  With a higher value, a lease granted from
 * it could outlast the time that the next leader waits for.
 */
int64_t
worker_clock(const struct sched_worker *worker, int64_t now_ms)
{
	return worker->inc.clock_ms +
	    (int64_t)((double)(now_ms - worker->inc.heard_ms) /
		CLOCK_SLOW_FACTOR);
}

int64_t
worker_deadline_local_ms(const struct sched_worker *worker, int64_t worker_ms)
{
	int64_t left;

	left = worker_ms - worker->inc.clock_ms;
	if (left < 0)
		left = 0;
	return worker->inc.heard_ms +
	    (int64_t)((double)left * CLOCK_SLOW_FACTOR) + EXPIRY_MARGIN_MS;
}

/* When a lease of this length on the worker's clock has surely expired. */
static int64_t
expiry_after_ms(int64_t from_ms, int64_t lease_ms)
{
	return from_ms + (int64_t)((double)lease_ms * CLOCK_SLOW_FACTOR) +
	    EXPIRY_MARGIN_MS;
}

/* The same of the leases that former leaders granted. */
static int64_t
former_expiry_ms(const struct sched *s, int64_t lease_ms)
{
	return expiry_after_ms(s->opt.taken_ms + s->opt.former_ms, lease_ms);
}

int64_t
lease_former_expiry_ms(const struct sched *s)
{
	return former_expiry_ms(s, longest_lease_ms(s));
}

/*
 * The list may tell a restart that no answer has told: nothing was sent to the
 * former incarnation since, but an order from before may have reached the next.
 */
static int64_t
heard_expiry_ms(const struct sched *s, const struct sched_worker *worker)
{
	int64_t expiry_ms, next_ms;

	expiry_ms = worker_deadline_local_ms(worker, worker->inc.granted_ms);
	if (worker->inc.doubted_ms == 0)
		return expiry_ms;
	next_ms = expiry_after_ms(
	    worker->inc.doubted_ms + FORMER_ORDER_MS, longest_lease_ms(s));
	return next_ms > expiry_ms ? next_ms : expiry_ms;
}

/*
 * When all leases on the worker have surely expired.  A former leader may have
 * renewed those of a worker that has not answered this leader, until former_ms
 * into our term, unless the worker record holds an expiry time.  Without that
 * time the wait would start again with each leader, and the tasks would not be
 * restarted while leaders succeed each other within a lease.  The expiry time
 * in the record is reliable: nobody renews while the record has it, and the
 * record is changed only on condition of the term.  It is that of the recorded
 * incarnation; if the list tells another one, only the longest lease bounds.
 */
int64_t
lease_expiry_ms(const struct sched *s, const struct sched_worker *worker)
{
	if (worker->inc.heard_ms != 0)
		return heard_expiry_ms(s, worker);
	if (may_hold_longest_lease(worker, worker->listed_start_ms))
		return lease_former_expiry_ms(s) + FORMER_ORDER_MS;
	if (worker->inc.expires_ms != 0)
		return worker->inc.expires_ms;
	return former_expiry_ms(s, s->opt.lease_ms);
}

int64_t
sched_worker_lease_left_ms(
    const struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	int64_t left_ms;

	if (worker->inc.dead || worker->inc.lapsed || worker_is_empty(worker))
		return 0;
	left_ms = lease_expiry_ms(s, worker) - now_ms;
	return left_ms > 0 ? left_ms : 0;
}

/* The worker record surely permits renewal of the lease. */
static bool
may_renew(const struct sched_worker *worker)
{
	return (worker->record_may & RECORD_BIT(RECORD_EXPIRING)) == 0 &&
	    worker->record_wanted != RECORD_EXPIRING &&
	    incarnation_is_proven(worker);
}

/* Upper bound of the worker's clock at its leave time, or now if later. */
static int64_t
leave_clock(const struct sched_worker *worker, int64_t now_ms)
{
	int64_t leaves_ms;

	leaves_ms = worker->leaves_ms > now_ms ? worker->leaves_ms : now_ms;
	return worker->inc.clock_ms + leaves_ms - worker->inc.heard_ms;
}

static bool
has_leave_time(const struct sched_worker *worker)
{
	return worker->draining && worker->leaves_ms != 0;
}

/* Lease deadline, on the worker's clock, that a poll sent now may grant. */
static int64_t
renewal_deadline(
    const struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	int64_t deadline_ms, max_ms;

	deadline_ms = worker_clock(worker, now_ms) + s->opt.lease_ms;
	if (!has_leave_time(worker))
		return deadline_ms;
	max_ms = leave_clock(worker, now_ms) + LEAVE_LEASE_MS;
	return deadline_ms < max_ms ? deadline_ms : max_ms;
}

/*
 * The lease extends far enough past the announced leave time that it is not
 * renewed for now.  The next leader then finds the remaining time in the worker
 * record.  Otherwise it would have to wait for a whole lease and for renewals
 * that the former leader may still have sent.
 */
static bool
lease_covers_leave(const struct sched_worker *worker, int64_t now_ms)
{
	int64_t left_ms;

	if (!has_leave_time(worker))
		return false;
	left_ms = worker->inc.granted_ms - leave_clock(worker, now_ms);
	return left_ms >= (worker->record_wanted == RECORD_EXPIRING ?
				  LEAVE_SPARE_MS :
				  LEAVE_COVER_MS);
}

/*
 * A lease is renewed only while the worker answers and the worker record surely
 * does not say that it expires.  Repeated polls of a silent worker renew
 * nothing, so that its expiry time does not move.
 */
int64_t
lease_renew(const struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	int64_t deadline_ms;

	if (worker->inc.heard_ms == 0 || !may_renew(worker) ||
	    worker->inc.dead || s->frozen)
		return 0;
	deadline_ms = renewal_deadline(s, worker, now_ms);
	if (deadline_ms > worker->inc.granted_ms)
		worker->inc.granted_ms = deadline_ms;
	return deadline_ms;
}

void
lease_request_record(
    struct sched *s, struct sched_worker *worker, enum worker_record record)
{
	if (worker->record_wanted == record)
		return;
	worker->record_wanted = record;
	s->opt.actions->record(s, worker, s->opt.ctx);
}

/* Leases of the present incarnation are no longer than the usual one. */
static bool
holds_usual_lease(
    const struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	return s->opt.lease_max_ms <= s->opt.lease_ms ||
	    worker->inc.granted_ms - worker_clock(worker, now_ms) <=
	    s->opt.lease_ms;
}

/* What a row of the longest lease tells: only an expiring one bounds it. */
static int64_t
longest_lease_start(const struct sched_worker *worker)
{
	return worker->record_wanted == RECORD_EXPIRING ? SCHED_START_ANY :
							  SCHED_START_UNKNOWN;
}

/* The start to record of a worker that has not answered this leader. */
static int64_t
unheard_record_start(const struct sched_worker *worker)
{
	if (worker->inherited == RECORD_NONE)
		return worker->listed_start_ms;
	if (worker->inherited_start_ms == SCHED_START_ANY)
		return longest_lease_start(worker);
	return worker->inherited_start_ms;
}

int64_t
sched_worker_record_start(
    const struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	/*
	 * The wait for the longest lease covers each incarnation.  Otherwise it
	 * would start again with each leader.
	 */
	if (sched_worker_may_hold_longest_lease(worker) &&
	    (worker->inc.heard_ms == 0 || worker->inc.doubted_ms != 0))
		return longest_lease_start(worker);
	if (worker->inc.heard_ms == 0)
		return unheard_record_start(worker);
	if (worker->record_wanted != RECORD_EXPIRING &&
	    worker->inc.started_ms != 0 &&
	    !holds_usual_lease(s, worker, now_ms))
		return SCHED_START_UNKNOWN;
	return worker->inc.started_ms;
}

void
sched_worker_recording(
    const struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	worker->record_may |= RECORD_BIT(worker->record_wanted);
	worker->record_empty = worker_is_empty(worker);
	worker->record_start_ms = sched_worker_record_start(s, worker, now_ms);
}

void
sched_worker_recorded(struct sched_worker *worker, enum worker_record record)
{
	worker->record_may = RECORD_BIT(record);
	worker->stored_start_ms = worker->record_start_ms;
}

bool
worker_is_silent(const struct sched_worker *worker, int64_t now_ms)
{
	return worker->inc.misses >= SILENT_MISSES &&
	    now_ms - worker->inc.silent_ms >= SILENT_MS;
}

/*
 * If most workers are silent, the fault is rather in our own network link.
 * With RECORD_EXPIRING in the store, their leases could not be renewed when
 * they answer again while the store is unavailable.
 */
static void
update_most_silent(struct sched *s, int64_t now_ms)
{
	struct sched_worker *worker;
	uint32_t listed, silent;

	if (s->silent_ms == now_ms)
		return;
	s->silent_ms = now_ms;
	listed = 0;
	silent = 0;
	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (!worker->listed)
			continue;
		listed++;
		if (worker_is_silent(worker, now_ms))
			silent++;
	}
	s->most_silent = 2 * silent > listed && silent > 1;
}

/* The record state of a worker that answers. */
static enum worker_record
record_for_live(const struct sched_worker *worker, int64_t now_ms)
{
	if (!worker->draining)
		return RECORD_IN_USE;
	return lease_covers_leave(worker, now_ms) ? RECORD_EXPIRING :
						    RECORD_CLOSED;
}

void
lease_update_record(
    struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	if (worker->record_wanted == RECORD_NONE)
		return;
	if (worker_is_silent(worker, now_ms))
		update_most_silent(s, now_ms);
	if (worker->inc.dead ||
	    (worker_is_silent(worker, now_ms) && !s->most_silent))
		lease_request_record(s, worker, RECORD_EXPIRING);
	else if (worker->inc.heard_ms != 0 && worker->inc.misses == 0)
		lease_request_record(
		    s, worker, record_for_live(worker, now_ms));
	if (worker->record_wanted != RECORD_IN_USE && !worker->record_empty &&
	    worker_is_empty(worker)) {
		worker->record_empty = true;
		s->opt.actions->record(s, worker, s->opt.ctx);
	}
	if (worker->record_start_ms !=
	    sched_worker_record_start(s, worker, now_ms))
		s->opt.actions->record(s, worker, s->opt.ctx);
}
