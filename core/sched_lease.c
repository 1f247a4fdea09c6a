#include "sched_int.h"

/*
 * Leases of what runs on workers: until when each is renewed, when all there
 * has surely lapsed, and what the store's record says of it to a next leader.
 * A lease is counted on the worker's own clock and never shortens.
 */

/* A worker's clock may run slower than ours, by 2 % and some reserve. */
#define SLOW_CLOCK 1.03
/* Reserve for the way of an order and for timers, in milliseconds. */
#define LAPSE_MARGIN_MS 150
/*
 * After so many calls in a row without an answer, over so long, the lease is
 * left to expire, and the record says so.  One lost answer, or some on one
 * connection that broke, are no reason for a write.
 */
#define EXPIRE_MISSES 2
#define EXPIRE_MS 250
/*
 * What runs on a worker that has said when it leaves is renewed to no later
 * than this after that time: its tasks wait no whole lease to be started
 * elsewhere.  While it stays longer it is renewed by as much.
 */
#define LEAVE_LEASE_MS INT64_C(2500)
/*
 * It is left to expire with this much beyond that time, as workers stay a
 * little longer than they say, and renewed again with less: enough for a look
 * that is under way, a write and another look.
 */
#define LEAVE_COVER_MS 2000
#define LEAVE_SPARE_MS 800

/*
 * With its first answer the worker has seen our term, and a former leader
 * can't renew any more; until then it may have, by a whole lease.  The clock
 * was read no sooner than the look was sent.
 */
static void
first_heard(
    const struct sched *s, struct sched_worker *worker, int64_t clock_ms)
{
	int64_t left_ms;

	left_ms = s->opt.lease_ms;
	if (worker->expires_ms != 0)
		left_ms = worker->expires_ms - worker->poll_sent_ms;
	if (worker->granted_ms < clock_ms + left_ms)
		worker->granted_ms = clock_ms + left_ms;
}

void
worker_note_answer(struct sched *s, struct sched_worker *worker,
    int64_t clock_ms, int64_t now_ms)
{
	if (worker->heard_ms == 0)
		first_heard(s, worker, clock_ms);
	worker->misses = 0;
	if (worker->lapsed)
		crash_resolve(s, worker, LOSS_REFUTED, now_ms);
	worker->lapsed = false;
	/* An answer that others have overtaken tells an earlier time. */
	if (worker->heard_ms != 0 && clock_ms < worker_clock(worker, now_ms))
		return;
	worker->heard_ms = now_ms;
	worker->clock_ms = clock_ms;
}

/*
 * No more than it surely is: with more, a lease granted by it would outlast
 * what a next leader waits for.
 */
int64_t
worker_clock(const struct sched_worker *worker, int64_t now_ms)
{
	return worker->clock_ms +
	    (int64_t)((double)(now_ms - worker->heard_ms) / SLOW_CLOCK);
}

int64_t
worker_deadline_local_ms(const struct sched_worker *worker, int64_t worker_ms)
{
	int64_t left;

	left = worker_ms - worker->clock_ms;
	if (left < 0)
		left = 0;
	return worker->heard_ms + (int64_t)((double)left * SLOW_CLOCK) +
	    LAPSE_MARGIN_MS;
}

int64_t
lease_former_expiry_ms(const struct sched *s)
{
	return s->opt.taken_ms + s->opt.former_ms +
	    (int64_t)((double)s->opt.lease_ms * SLOW_CLOCK) + LAPSE_MARGIN_MS;
}

/*
 * When all that runs there has surely lapsed.  One that hasn't answered this
 * leader may have been renewed by a former one, for former_ms into our term;
 * or the record says when it lapses.  Without the latter the wait would begin
 * anew with each leader, and what ran there would stay away as long as leaders
 * follow each other within a lease.  The word of the record holds, as nobody
 * renews while it says so, and it is changed on condition of the term.
 */
int64_t
lease_expiry_ms(const struct sched *s, const struct sched_worker *worker)
{
	if (worker->heard_ms != 0)
		return worker_deadline_local_ms(worker, worker->granted_ms);
	if (worker->expires_ms != 0)
		return worker->expires_ms;
	return lease_former_expiry_ms(s);
}

int64_t
sched_worker_lease_left_ms(
    const struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	int64_t left_ms;

	if (worker->dead || worker->lapsed || worker_is_empty(worker))
		return 0;
	left_ms = lease_expiry_ms(s, worker) - now_ms;
	return left_ms > 0 ? left_ms : 0;
}

/* The store surely has it as one whose lease may be renewed. */
static bool
may_renew(const struct sched_worker *worker)
{
	return (worker->record_may & RECORD_BIT(RECORD_EXPIRING)) == 0 &&
	    worker->record_wanted != RECORD_EXPIRING && worker->misses == 0;
}

/* Its clock when it leaves, or now if it has stayed longer, at the latest. */
static int64_t
clock_at_leaving(const struct sched_worker *worker, int64_t now_ms)
{
	int64_t leaves_ms;

	leaves_ms = worker->leaves_ms > now_ms ? worker->leaves_ms : now_ms;
	return worker->clock_ms + leaves_ms - worker->heard_ms;
}

static bool
says_when_it_leaves(const struct sched_worker *worker)
{
	return worker->draining && worker->leaves_ms != 0;
}

/* Until when, on its clock, a look that is sent now renews what runs there. */
static int64_t
renewed_to(
    const struct sched *s, const struct sched_worker *worker, int64_t now_ms)
{
	int64_t deadline_ms, most_ms;

	deadline_ms = worker_clock(worker, now_ms) + s->opt.lease_ms;
	if (!says_when_it_leaves(worker))
		return deadline_ms;
	most_ms = clock_at_leaving(worker, now_ms) + LEAVE_LEASE_MS;
	return deadline_ms < most_ms ? deadline_ms : most_ms;
}

/*
 * Its lease outlasts the time at which it said that it leaves, so it isn't
 * renewed for now.  A next leader then finds in the record how much is left,
 * where else it would have to wait for a whole lease and for what the last
 * leader may still have done.
 */
static bool
expires_by_leaving(const struct sched_worker *worker, int64_t now_ms)
{
	int64_t left_ms;

	if (!says_when_it_leaves(worker))
		return false;
	left_ms = worker->granted_ms - clock_at_leaving(worker, now_ms);
	return left_ms >= (worker->record_wanted == RECORD_EXPIRING ?
				  LEAVE_SPARE_MS :
				  LEAVE_COVER_MS);
}

/*
 * A lease is renewed only while the worker answers and the record surely
 * doesn't have it expire.  Repeats to a silent one carry none, so that the time
 * of its lapse stays where it is.
 */
int64_t
lease_renew(const struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	int64_t deadline_ms;

	if (worker->heard_ms == 0 || !may_renew(worker) || worker->dead ||
	    s->frozen)
		return 0;
	deadline_ms = renewed_to(s, worker, now_ms);
	if (deadline_ms > worker->granted_ms)
		worker->granted_ms = deadline_ms;
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

void
sched_worker_recording(struct sched_worker *worker)
{
	worker->record_may |= RECORD_BIT(worker->record_wanted);
	worker->record_empty = worker_is_empty(worker);
}

void
sched_worker_recorded(struct sched_worker *worker, enum worker_record record)
{
	worker->record_may = RECORD_BIT(record);
}

bool
worker_is_silent(const struct sched_worker *worker, int64_t now_ms)
{
	return worker->misses >= EXPIRE_MISSES &&
	    now_ms - worker->silent_ms >= EXPIRE_MS;
}

/*
 * With most workers silent it is rather our link that is cut.  Said to expire,
 * they couldn't be renewed when they answer again without the store.
 */
static void
count_silent(struct sched *s, int64_t now_ms)
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

/* Of a worker that answers. */
static enum worker_record
record_of(const struct sched_worker *worker, int64_t now_ms)
{
	if (!worker->draining)
		return RECORD_IN_USE;
	return expires_by_leaving(worker, now_ms) ? RECORD_EXPIRING :
						    RECORD_CLOSED;
}

/* What a next leader needs to know of it. */
void
lease_update_record(
    struct sched *s, struct sched_worker *worker, int64_t now_ms)
{
	if (worker->record_wanted == RECORD_NONE)
		return;
	if (worker_is_silent(worker, now_ms))
		count_silent(s, now_ms);
	if (worker->dead ||
	    (worker_is_silent(worker, now_ms) && !s->most_silent))
		lease_request_record(s, worker, RECORD_EXPIRING);
	else if (worker->heard_ms != 0 && worker->misses == 0)
		lease_request_record(s, worker, record_of(worker, now_ms));
	if (worker->record_wanted != RECORD_IN_USE && !worker->record_empty &&
	    worker_is_empty(worker)) {
		worker->record_empty = true;
		s->opt.actions->record(s, worker, s->opt.ctx);
	}
}
