#include <string.h>

#include "ledger_int.h"

static void apply_commit(struct ledger *, uint64_t, int64_t, int64_t, int64_t);
static bool is_own_write(const struct ledger *, const struct ledger_head *);
static bool all_fenced(struct ledger *);

void
ledger_acquire(struct ledger *l, const struct ledger_head *head,
    int64_t revision, uint64_t min_epoch, int64_t now_ms)
{
	l->epoch = head->epoch > min_epoch ? head->epoch + 1 : min_epoch + 1;
	l->revision = revision;
	l->settled = revision == 0 || (head->owner[0] == '\0' && head->settled);
	l->committed = head->change;
	l->change = head->change + 1;
	l->phase = LEDGER_ACQUIRING;
	l->taken_ms = now_ms;
	l->confirmed_ms = now_ms;
}

void
ledger_release(struct ledger *l, int64_t now_ms)
{
	if (l->phase == LEDGER_ACQUIRING) {
		/* No call was sent; the next owner's epoch supersedes this. */
		ledger_end_ownership(l, LOST_RELEASED);
		return;
	}
	if (l->phase != LEDGER_OWNED)
		return;
	l->settled = l->settled || all_fenced(l);
	l->phase = LEDGER_RELEASING;
	l->release_at = ++l->change;
	l->write_at_ms = now_ms;
}

void
ledger_reacquire(struct ledger *l)
{
	if (l->phase == LEDGER_OWNED)
		ledger_end_ownership(l, LOST_REACQUIRE);
}

/*
 * Whether every worker with tasks has been fenced, so that it refuses all
 * former owners.  Only then may the next owner skip the wait for leases that a
 * former owner could still renew.
 */
static bool
all_fenced(struct ledger *l)
{
	struct ledger_worker *w;

	TAILQ_FOREACH (w, &l->workers, link) {
		if (!w->fenced && !TAILQ_EMPTY(&w->tasks))
			return false;
	}
	return true;
}

const char *
ledger_owner(const struct ledger *l)
{
	return l->phase == LEDGER_RELEASING ? "" : l->self;
}

bool
ledger_task_in_record(const struct ledger_task *t)
{
	return t->r.state < TASK_DONE;
}

uint64_t
ledger_begin_write(struct ledger *l, int64_t now_ms)
{
	struct ledger_job *job;
	uint32_t n;

	(void)now_ms;
	l->write = WRITE_SENT;
	l->written = l->change;
	n = 0;
	TAILQ_FOREACH (job, &l->jobs, link) {
		if (l->opt.max_job_removals != 0 &&
		    n >= l->opt.max_job_removals)
			break;
		if (job->open == 0 && job->removed_at == 0)
			job->removed_at = l->change;
		if (job->removed_at != 0)
			n++;
	}
	return l->written;
}

static void
apply_commit(struct ledger *l, uint64_t change, int64_t revision,
    int64_t sent_ms, int64_t now_ms)
{
	l->revision = revision;
	l->committed = change;
	l->write = WRITE_IDLE;
	l->store_unavailable = false;
	if (sent_ms > l->confirmed_ms)
		l->confirmed_ms = sent_ms;
	if (l->phase == LEDGER_ACQUIRING) {
		l->phase = LEDGER_OWNED;
		l->taken_ms = now_ms;
	}
	ledger_sweep(l);
	if (l->release_at != 0 && l->release_at <= change)
		ledger_end_ownership(l, LOST_RELEASED);
}

void
ledger_write_done(
    struct ledger *l, int64_t revision, int64_t sent_ms, int64_t now_ms)
{
	if (l->write != WRITE_SENT)
		return;
	apply_commit(l, l->written, revision, sent_ms, now_ms);
}

void
ledger_write_refused(struct ledger *l)
{
	if (l->write == WRITE_SENT)
		ledger_end_ownership(l, LOST_CONFLICT);
}

void
ledger_write_unknown(struct ledger *l, int64_t now_ms)
{
	if (l->write != WRITE_SENT)
		return;
	/*
	 * The write may have taken effect, or may do so later.  Assuming
	 * either could start a task that the record has on another worker.
	 * Until the record is read back, nothing more is written or bound.
	 * Tasks whose binds were committed earlier aren't affected.
	 */
	l->write = WRITE_UNKNOWN;
	l->store_unavailable = true;
	l->read_at_ms = now_ms;
}

void
ledger_write_not_sent(struct ledger *l, int64_t now_ms)
{
	if (l->write != WRITE_SENT)
		return;
	l->write = WRITE_IDLE;
	l->store_unavailable = true;
	l->write_at_ms = now_ms + l->opt.retry_ms;
}

/* Whether the header is from a write of this ownership that got no answer. */
static bool
is_own_write(const struct ledger *l, const struct ledger_head *head)
{
	if (head->epoch != l->epoch || head->change > l->written)
		return false;
	if (head->change <= l->committed)
		return false;
	return head->owner[0] == '\0' ?
	    l->release_at != 0 && head->change >= l->release_at :
	    strcmp(head->owner, l->self) == 0;
}

void
ledger_read_done(struct ledger *l, const struct ledger_head *head,
    int64_t revision, int64_t sent_ms, int64_t now_ms)
{
	if (!l->reading || l->phase == LEDGER_LOST)
		return;
	l->reading = false;
	l->read_at_ms = now_ms + l->opt.retry_ms;
	if (head == NULL) {
		l->store_unavailable = true;
		return;
	}
	l->store_unavailable = false;
	if (revision == l->revision) {
		/*
		 * The write hasn't taken effect, but still may.  The next write
		 * compares the same revision, so only one of them can succeed.
		 */
		if (l->write == WRITE_UNKNOWN)
			l->write = WRITE_IDLE;
		if (l->phase != LEDGER_ACQUIRING && sent_ms > l->confirmed_ms)
			l->confirmed_ms = sent_ms;
	} else if (is_own_write(l, head)) {
		apply_commit(l, head->change, revision, sent_ms, now_ms);
	} else {
		ledger_end_ownership(l, LOST_OWNER);
		return;
	}
	if (l->higher_epoch_seen && l->phase == LEDGER_OWNED)
		ledger_end_ownership(l, LOST_FENCED);
}

void
ledger_fenced(struct ledger *l, uint64_t epoch, int64_t now_ms)
{
	if (epoch <= l->epoch || l->phase == LEDGER_LOST)
		return;
	if (epoch > l->higher_epoch)
		l->higher_epoch = epoch;
	l->higher_epoch_seen = true;
	l->read_at_ms = now_ms;
}

void
ledger_set_store_available(struct ledger *l, bool available)
{
	l->store_unavailable = !available;
}

bool
ledger_may_send(const struct ledger *l, int64_t now_ms)
{
	/*
	 * An owner that the store hasn't confirmed for hold_ms may have been
	 * replaced, and the next owner relies on it having stopped by then.
	 */
	return l->phase == LEDGER_OWNED && !l->higher_epoch_seen &&
	    now_ms + l->opt.margin_ms < l->confirmed_ms + l->opt.hold_ms;
}

void
ledger_end_ownership(struct ledger *l, enum ledger_lost reason)
{
	if (l->phase == LEDGER_LOST || l->phase == LEDGER_RELEASED)
		return;
	l->phase = reason == LOST_RELEASED ? LEDGER_RELEASED : LEDGER_LOST;
	l->opt.actions->lost(l, reason, l->opt.ctx);
}
