#include <string.h>

#include "lending.h"

/* Spare credit that is not returned, over all workers. */
#define RESERVE_SLOTS 4
#define RESERVE_CONNECTIONS 8
#define WORTHWHILE_SHARE 16
#define LOAD_STALE_MS 100 /* an older report of a peer's load is stale */
/* Limit of queued calls that count as need: busy / QUEUE_SHARE + QUEUE_MIN. */
#define QUEUE_SHARE 4
#define QUEUE_MIN 2

struct lending_scope {
	lending_filter *filter;
	const char *service;
	void *ctx;
};

static bool usable(const struct credit_worker *, const struct lending_scope *);
static const struct credit_worker *usable_from(struct credit_table *,
    const struct credit_worker *, const struct lending_scope *);
static struct credit_amount spare_of(
    struct credit_table *, const struct lending_scope *, int *);
static int min_int(int, int);
static int transferable_connections(struct credit_amount, int);
static bool transfer_credits(struct credit_table *,
    const struct credit_worker *, const struct credit_peer *,
    struct credit_amount, struct credit_transfer *);

static int
min_int(int a, int b)
{
	return a < b ? a : b;
}

/*
 * A queue drains once there are a few more slots than the arriving calls use.
 * Counting it in full would move far more slots than that, and build up a
 * queue at the lender.
 */
int
lending_needed(int busy, int waiting)
{
	if (waiting < 0)
		waiting = 0;
	return busy + min_int(waiting, busy / QUEUE_SHARE + QUEUE_MIN);
}

int
lending_fair_share(struct lending_load lender, struct lending_load borrower)
{
	int64_t slots;

	if (lender.needed + borrower.needed <= 0)
		return 0;
	slots = (int64_t)lender.held * borrower.needed -
	    (int64_t)borrower.held * lender.needed;
	slots /= lender.needed + borrower.needed;
	return slots < 0 ? 0 : (int)slots;
}

int
lending_offer(struct lending_load lender, struct lending_load borrower,
    int spare, int wanted)
{
	int fair, half;

	fair = lending_fair_share(lender, borrower);
	half = (spare + 1) / 2;
	return min_int(min_int(wanted, fair > half ? fair : half), spare);
}

bool
lending_worthwhile(int offer, int held)
{
	return offer > 0 && offer * WORTHWHILE_SHARE >= held;
}

int
lending_estimate(
    struct lending_load reported, int64_t age_ms, struct lending_load own)
{
	int offer;

	offer = lending_fair_share(reported, own);
	if (lending_worthwhile(offer, own.held) || reported.held == 0 ||
	    age_ms < LOAD_STALE_MS)
		return offer;
	return own.held / WORTHWHILE_SHARE + 1;
}

struct lending_load
lending_load_of(struct credit_table *table, lending_filter *filter,
    const char *service, void *ctx)
{
	const struct credit_worker *row;
	struct lending_load load;

	memset(&load, 0, sizeof(load));
	for (row = credit_first(table); row != NULL; row = credit_next(row)) {
		if (row->draining || !filter(row, service, ctx))
			continue;
		load.held += row->spare.slots + row->busy.slots;
		load.needed += row->busy.slots;
	}
	return load;
}

static bool
usable(const struct credit_worker *row, const struct lending_scope *scope)
{
	return !row->draining && row->spare.connections > 0 &&
	    scope->filter(row, scope->service, scope->ctx);
}

/* The first usable row from this one on, wrapping at the end of the table. */
static const struct credit_worker *
usable_from(struct credit_table *table, const struct credit_worker *row,
    const struct lending_scope *scope)
{
	for (; row != NULL; row = credit_next(row)) {
		if (usable(row, scope))
			return row;
	}
	for (row = credit_first(table); row != NULL; row = credit_next(row)) {
		if (usable(row, scope))
			return row;
	}
	return NULL;
}

static struct credit_amount
spare_of(
    struct credit_table *table, const struct lending_scope *scope, int *rows)
{
	const struct credit_worker *row;
	struct credit_amount sum;

	memset(&sum, 0, sizeof(sum));
	*rows = 0;
	for (row = credit_first(table); row != NULL; row = credit_next(row)) {
		if (!usable(row, scope))
			continue;
		sum.slots += row->spare.slots;
		sum.connections += row->spare.connections;
		(*rows)++;
	}
	return sum;
}

/*
 * Connections that can be transferred along with the slots.  Each remaining
 * slot keeps a connection, since a slot without one can't be used.
 */
static int
transferable_connections(struct credit_amount spare, int slots)
{
	int left;

	left = spare.connections - (spare.slots - slots);
	return left < slots ? slots : left;
}

static bool
transfer_credits(struct credit_table *table, const struct credit_worker *row,
    const struct credit_peer *peer, struct credit_amount want,
    struct credit_transfer *out)
{
	struct credit_amount amount;

	amount.slots = min_int(want.slots, row->spare.slots);
	amount.connections = amount.slots;
	if (want.slots == 0)
		amount.connections = min_int(
		    want.connections, transferable_connections(row->spare, 0));
	if (amount.connections <= 0 ||
	    amount.connections > row->spare.connections)
		return false;
	return credit_give(table, row->worker, peer, amount, out) == CREDIT_OK;
}

/*
 * Starts at another worker each time and takes the same share of each, so that
 * neither entry ends up with credits for a few workers only.  A slot is given
 * together with a connection, since it is useless without one.
 */
size_t
lending_grant(struct credit_table *table, lending_filter *filter, void *ctx,
    const struct lending_request *request, unsigned int turn,
    struct credit_transfer *out, size_t max)
{
	const struct lending_scope scope = { filter, request->service, ctx };
	const struct credit_worker *row;
	struct credit_amount left, share, spare;
	size_t given;
	int at, rows;

	spare = spare_of(table, &scope, &rows);
	left = request->wanted;
	left.slots = min_int(left.slots, spare.slots);
	left.connections = left.slots > 0 ?
	    left.slots :
	    min_int(left.connections, (spare.connections + 1) / 2);
	if (rows == 0 || (request->wanted.slots > 0 && left.slots == 0))
		return 0;
	share.slots = (left.slots + rows - 1) / rows;
	share.connections = (left.connections + rows - 1) / rows;
	given = 0;
	row = credit_first(table);
	for (at = -(int)(turn % (unsigned int)rows); at < rows; at++) {
		row = usable_from(table, row, &scope);
		if (row == NULL || given == max || left.connections <= 0)
			break;
		share.slots = min_int(share.slots, left.slots);
		share.connections =
		    min_int(share.connections, left.connections);
		if (at >= 0 &&
		    transfer_credits(
			table, row, &request->peer, share, &out[given])) {
			left.slots -= out[given].amount.slots;
			left.connections -= out[given].amount.connections;
			given++;
		}
		row = credit_next(row);
	}
	return given;
}

void
lending_rate_init(
    struct lending_rate *rate, int burst, int64_t refill_ms, int64_t now_ms)
{
	rate->burst = burst;
	rate->refill_ms = refill_ms;
	rate->tokens = burst;
	rate->refilled_ms = now_ms;
}

bool
lending_rate_take(struct lending_rate *rate, int64_t now_ms)
{
	int64_t more;

	more = (now_ms - rate->refilled_ms) / rate->refill_ms;
	if (more > 0) {
		rate->refilled_ms += more * rate->refill_ms;
		rate->tokens = more > rate->burst - rate->tokens ?
		    rate->burst :
		    rate->tokens + (int)more;
	}
	if (rate->tokens == 0)
		return false;
	rate->tokens--;
	return true;
}

struct credit_amount
lending_return(struct credit_amount idle, struct credit_amount row,
    struct credit_amount local_spare)
{
	struct credit_amount back;

	back.slots =
	    min_int((idle.slots + 1) / 2, local_spare.slots - RESERVE_SLOTS);
	if (back.slots < 0)
		back.slots = 0;
	back.connections = min_int((idle.connections + 1) / 2,
	    local_spare.connections - RESERVE_CONNECTIONS);
	if (back.connections < back.slots)
		back.connections = back.slots;
	back.connections = min_int(min_int(back.connections, idle.connections),
	    transferable_connections(row, back.slots));
	if (back.slots > back.connections)
		back.slots = back.connections;
	return back;
}
