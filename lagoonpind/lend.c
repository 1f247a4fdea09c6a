#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "lend.h"
#include "log.h"

/* Credits for calls to endpoints: the credit table of this entry. */

#define RETURN_INTERVAL_MS 5000 /* return of idle credits to owners */
#define RECOVER_INTERVAL_MS 1000 /* search for lost credits */
/* Minimum interval between epoch raises for lost credits of a shard. */
#define RAISE_INTERVAL_MS 10000
/* One lost slot in so many of the shard is worth a new epoch. */
#define LOST_SHARE 8
#define HOLDING_REPORT_INTERVAL_MS 5000
/* Age limit of a holding report; tolerates two lost ones. */
#define HOLDING_REPORT_MAX_MS 12000
/* Slots unaccounted in all samples of a window were lost with a message. */
#define UNACCOUNTED_SAMPLES 30
#define REQUEST_BURST 8
/* In bench/credit_skew.c, 100 ms increases call waits from 85 % load on. */
#define REQUEST_REFILL_MS 50

static int lend_open(struct entry *);
static void lend_tick(struct entry *, int64_t);
static void lend_vm_changed(struct entry *, struct vm *, enum fleet_change);
static void lend_close(struct entry *);
static void on_spare(const struct credit_worker *, void *);
static bool is_dead(const char *, uint64_t, void *);
static int unaccounted_lost(struct lend *, struct shard_recovery *, int64_t);
static void recover_shard(struct entry *, struct fleet_shard *, int64_t);
static void recover_lost(struct entry *, int64_t);
static struct shard_recovery *recovery_of(struct lend *, const char *);

const struct module lend_module = {
	.name = "lend",
	.open = lend_open,
	.tick = lend_tick,
	.vm_changed = lend_vm_changed,
	.close = lend_close,
};

static int
lend_open(struct entry *e)
{
	struct credit_options options;
	struct lend *lend;

	if ((lend = calloc(1, sizeof(*lend))) == NULL)
		return -1;
	lend->entry = e;
	memset(&options, 0, sizeof(options));
	options.self = e->opt.id;
	options.incarnation = e->incarnation;
	options.on_spare = on_spare;
	options.ctx = lend;
	lend->rng = gsl_rng_alloc(gsl_rng_taus2);
	lend->table = credit_open(&options);
	if (lend->rng == NULL || lend->table == NULL) {
		gsl_rng_free(lend->rng);
		credit_close(lend->table);
		free(lend);
		return -1;
	}
	gsl_rng_set(lend->rng, (unsigned long)e->opt.seed);
	lending_rate_init(
	    &lend->wants, REQUEST_BURST, REQUEST_REFILL_MS, clock_now_ms());
	e->lend = lend;
	borrow_open(e);
	return 0;
}

static void
lend_close(struct entry *e)
{
	struct shard_recovery *recovery, *next;

	credit_close(e->lend->table);
	gsl_rng_free(e->lend->rng);
	for (recovery = e->lend->recoveries; recovery != NULL;
	     recovery = next) {
		next = recovery->next;
		free(recovery);
	}
	free(e->lend);
	e->lend = NULL;
}

static void
on_spare(const struct credit_worker *row, void *ctx)
{
	struct lend *lend = ctx;

	if (lend->on_change != NULL)
		lend->on_change(lend->entry, row, lend->on_change_ctx);
}

static void
lend_vm_changed(struct entry *e, struct vm *vm, enum fleet_change change)
{
	(void)change;
	if (vm->info.kind != VM_WORKER)
		return;
	credit_set_draining(
	    e->lend->table, vm->info.id, vm->info.state != VM_LIVE);
	if (vm->info.state == VM_GONE)
		credit_forget(e->lend->table, vm->info.id);
}

static void
lend_tick(struct entry *e, int64_t now_ms)
{
	struct lend *lend = e->lend;

	owners_report_abandoned(e);
	if (now_ms - lend->returned_ms >= RETURN_INTERVAL_MS ||
	    e->phase != ENTRY_RUNNING) {
		lend->returned_ms = now_ms;
		owners_return(e);
	}
	if (now_ms - lend->holdings_sent_ms >= HOLDING_REPORT_INTERVAL_MS) {
		lend->holdings_sent_ms = now_ms;
		owners_report_held(e);
	}
	if (now_ms - lend->recovered_ms >= RECOVER_INTERVAL_MS) {
		lend->recovered_ms = now_ms;
		recover_lost(e, now_ms);
	}
}

void
lend_issue(struct entry *e, const char *worker, uint64_t epoch,
    struct credit_amount used)
{
	struct credit_amount capacity;
	enum credit_error error;
	struct vm *vm;

	vm = fleet_find(e->fleet, worker);
	if (vm == NULL || vm->shard == NULL) {
		counter_inc_reason("lagoonpin_lend_refused", "unknown_worker");
		return;
	}
	capacity.slots = vm->info.slots;
	capacity.connections = vm->info.connections;
	error = credit_issue(
	    e->lend->table, worker, vm->shard->name, epoch, capacity, used);
	if (error != CREDIT_OK)
		counter_inc_reason(
		    "lagoonpin_lend_refused", credit_strerror(error));
	credit_set_draining(e->lend->table, worker, vm->info.state != VM_LIVE);
}

void
lend_report(struct entry *e, const char *worker, uint64_t epoch,
    const struct credit_usage *usage)
{
	credit_report(e->lend->table, worker, epoch, usage);
}

void
lend_on_lost(struct entry *e, lend_lost *cb, void *ctx)
{
	e->lend->on_lost = cb;
	e->lend->on_lost_ctx = ctx;
}

void
lend_on_change(struct entry *e, lend_changed *cb, void *ctx)
{
	e->lend->on_change = cb;
	e->lend->on_change_ctx = ctx;
}

const struct credit_worker *
lend_first(struct entry *e)
{
	return credit_first(e->lend->table);
}

const struct credit_worker *
lend_next(const struct credit_worker *row)
{
	return credit_next(row);
}

struct credit_amount
lend_spare(const struct entry *e)
{
	return credit_spare(e->lend->table);
}

enum credit_error
lend_take(
    struct entry *e, const char *worker, enum credit_kind kind, uint64_t *epoch)
{
	return credit_take(e->lend->table, worker, kind, epoch);
}

void
lend_release(struct entry *e, const char *worker, uint64_t epoch,
    enum credit_kind kind, enum credit_end end)
{
	const struct credit_worker *row;
	enum credit_error error;

	row = credit_find(e->lend->table, worker);
	if (end == CREDIT_ABANDONED && row != NULL && row->epoch == epoch) {
		counter_inc_reason("lagoonpin_lend_lost", "abandoned");
		if (!row->issued)
			owners_abandoned(e->lend, row, kind);
	}
	error = credit_release(e->lend->table, worker, epoch, kind, end);
	if (error != CREDIT_OK)
		counter_inc_reason(
		    "lagoonpin_lend_refused", credit_strerror(error));
}

void
lend_fenced(struct entry *e, const char *worker, uint64_t epoch)
{
	counter_inc_reason("lagoonpin_lend_lost", "fenced");
	credit_fenced(e->lend->table, worker, epoch + 1);
}

static bool
is_dead(const char *peer, uint64_t incarnation, void *ctx)
{
	struct entry *e = ctx;
	enum member_state state;

	state =
	    member_evaluate(mesh_members(e), peer, incarnation, clock_now_ms())
		.state;
	return state == MEMBER_DEAD || state == MEMBER_LEFT;
}

static struct shard_recovery *
recovery_of(struct lend *lend, const char *shard)
{
	struct shard_recovery *recovery;

	for (recovery = lend->recoveries; recovery != NULL;
	     recovery = recovery->next) {
		if (strcmp(recovery->shard, shard) == 0)
			return recovery;
	}
	if ((recovery = calloc(1, sizeof(*recovery))) == NULL)
		return NULL;
	strlcpy(recovery->shard, shard, sizeof(recovery->shard));
	recovery->raised_ms = -RAISE_INTERVAL_MS;
	recovery->next = lend->recoveries;
	lend->recoveries = recovery;
	return recovery;
}

/*
 * The minimum of unaccounted slots over a window of samples; 0 before the
 * window is complete.  Slots are unaccounted for a while due to credits in
 * transit and outdated holding reports, lost ones in every sample.
 */
static int
unaccounted_lost(
    struct lend *lend, struct shard_recovery *recovery, int64_t now_ms)
{
	int unaccounted;

	unaccounted = credit_unaccounted(
	    lend->table, recovery->shard, now_ms, HOLDING_REPORT_MAX_MS);
	if (recovery->samples == 0 || unaccounted < recovery->unaccounted)
		recovery->unaccounted = unaccounted;
	if (++recovery->samples < UNACCOUNTED_SAMPLES)
		return 0;
	recovery->samples = 0;
	if (recovery->unaccounted > 0)
		counter_inc_reason("lagoonpin_lend_lost", "missing");
	return recovery->unaccounted;
}

/*
 * Raising the shard's epoch replaces lost credits, at the cost of a write to
 * the store, a fence of each worker, and retries of the calls in transit,
 * which are refused.
 */
static void
recover_shard(struct entry *e, struct fleet_shard *shard, int64_t now_ms)
{
	struct lend *lend = e->lend;
	struct shard_recovery *recovery;
	struct vm *vm;
	int lost, slots;

	if ((recovery = recovery_of(lend, shard->name)) == NULL)
		return;
	lost = credit_lost(lend->table, shard->name) +
	    unaccounted_lost(lend, recovery, now_ms);
	slots = 0;
	TAILQ_FOREACH (vm, &shard->workers, shard_link)
		slots += vm->info.slots;
	if (lost == 0 || lost * LOST_SHARE < slots || lend->on_lost == NULL ||
	    now_ms - recovery->raised_ms < RAISE_INTERVAL_MS)
		return;
	recovery->raised_ms = now_ms;
	log_info("credits_lost", "shard=%s slots=%d", shard->name, lost);
	lend->on_lost(e, shard->name, lost, lend->on_lost_ctx);
}

static void
recover_lost(struct entry *e, int64_t now_ms)
{
	struct fleet_shard *shard;

	if (credit_expire_peers(e->lend->table, is_dead, e) > 0)
		counter_inc_reason("lagoonpin_lend_lost", "peer_dead");
	TAILQ_FOREACH (shard, fleet_racks(e->fleet), link)
		recover_shard(e, shard, now_ms);
}
