#include <string.h>

#include "lending.h"

#define FLOOR_SLOTS 4 /* kept for the next calls, in all */
#define FLOOR_CONNECTIONS 8
#define WORTH_SHARE 16
#define STALE_MS 100 /* news of a load older than that says little */
#define BACKLOG_SHARE 4
#define BACKLOG_MIN 2

struct asked {
	lending_filter *serves;
	const char *service;
	void *ctx;
};

static bool usable(const struct credit_worker *, const struct asked *);
static const struct credit_worker *usable_from(
    struct credit_table *, const struct credit_worker *, const struct asked *);
static struct credit_amount spare_of(
    struct credit_table *, const struct asked *, int *);
static int smaller(int, int);
static int free_connections(struct credit_amount, int);
static bool give_one(struct credit_table *, const struct credit_worker *,
    const struct credit_peer *, struct credit_amount, struct credit_transfer *);

static int
smaller(int a, int b)
{
	return a < b ? a : b;
}

/*
 * A backlog goes by itself once there are a few slots more than calls come in
 * for.  Counted in full it would draw far more, and leave a backlog where they
 * came from.
 */
int
lending_needed(int busy, int waiting)
{
	if (waiting < 0)
		waiting = 0;
	return busy + smaller(waiting, busy / BACKLOG_SHARE + BACKLOG_MIN);
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
	return smaller(smaller(wanted, fair > half ? fair : half), spare);
}

bool
lending_worthwhile(int offer, int held)
{
	return offer > 0 && offer * WORTH_SHARE >= held;
}

int
lending_estimate(
    struct lending_load told, int64_t age_ms, struct lending_load own)
{
	int offer;

	offer = lending_fair_share(told, own);
	if (lending_worthwhile(offer, own.held) || told.held == 0 ||
	    age_ms < STALE_MS)
		return offer;
	return own.held / WORTH_SHARE + 1;
}

struct lending_load
lending_load_of(struct credit_table *book, lending_filter *serves,
    const char *service, void *ctx)
{
	const struct credit_worker *row;
	struct lending_load load;

	memset(&load, 0, sizeof(load));
	for (row = credit_first(book); row != NULL; row = credit_next(row)) {
		if (row->leaving || !serves(row, service, ctx))
			continue;
		load.held += row->spare.slots + row->busy.slots;
		load.needed += row->busy.slots;
	}
	return load;
}

static bool
usable(const struct credit_worker *row, const struct asked *asked)
{
	return !row->leaving && row->spare.connections > 0 &&
	    asked->serves(row, asked->service, asked->ctx);
}

/* The first usable row from this one on, round the end of the book. */
static const struct credit_worker *
usable_from(struct credit_table *book, const struct credit_worker *row,
    const struct asked *asked)
{
	for (; row != NULL; row = credit_next(row)) {
		if (usable(row, asked))
			return row;
	}
	for (row = credit_first(book); row != NULL; row = credit_next(row)) {
		if (usable(row, asked))
			return row;
	}
	return NULL;
}

static struct credit_amount
spare_of(struct credit_table *book, const struct asked *asked, int *rows)
{
	const struct credit_worker *row;
	struct credit_amount sum;

	memset(&sum, 0, sizeof(sum));
	*rows = 0;
	for (row = credit_first(book); row != NULL; row = credit_next(row)) {
		if (!usable(row, asked))
			continue;
		sum.slots += row->spare.slots;
		sum.connections += row->spare.connections;
		(*rows)++;
	}
	return sum;
}

/*
 * What may go with so many slots.  A slot that stays behind without a
 * connection could not be used by anyone.
 */
static int
free_connections(struct credit_amount spare, int slots)
{
	int left;

	left = spare.connections - (spare.slots - slots);
	return left < slots ? slots : left;
}

static bool
give_one(struct credit_table *book, const struct credit_worker *row,
    const struct credit_peer *peer, struct credit_amount want,
    struct credit_transfer *out)
{
	struct credit_amount amount;

	amount.slots = smaller(want.slots, row->spare.slots);
	amount.connections = amount.slots;
	if (want.slots == 0)
		amount.connections =
		    smaller(want.connections, free_connections(row->spare, 0));
	if (amount.connections <= 0 ||
	    amount.connections > row->spare.connections)
		return false;
	return credit_give(book, row->worker, peer, amount, out) == CREDIT_OK;
}

/*
 * Starts at another worker each time and takes the same share of each, so
 * that neither side ends up with credits for a few workers only.  A slot is
 * useless without a connection.
 */
size_t
lending_grant(struct credit_table *book, lending_filter *serves, void *ctx,
    const struct lending_request *request, unsigned int turn,
    struct credit_transfer *out, size_t max)
{
	const struct asked asked = { serves, request->service, ctx };
	const struct credit_worker *row;
	struct credit_amount left, share, spare;
	size_t given;
	int at, rows;

	spare = spare_of(book, &asked, &rows);
	left = request->wanted;
	left.slots = smaller(left.slots, spare.slots);
	left.connections = left.slots > 0 ?
	    left.slots :
	    smaller(left.connections, (spare.connections + 1) / 2);
	if (rows == 0 || (request->wanted.slots > 0 && left.slots == 0))
		return 0;
	share.slots = (left.slots + rows - 1) / rows;
	share.connections = (left.connections + rows - 1) / rows;
	given = 0;
	row = credit_first(book);
	for (at = -(int)(turn % (unsigned int)rows); at < rows; at++) {
		row = usable_from(book, row, &asked);
		if (row == NULL || given == max || left.connections <= 0)
			break;
		share.slots = smaller(share.slots, left.slots);
		share.connections =
		    smaller(share.connections, left.connections);
		if (at >= 0 &&
		    give_one(book, row, &request->peer, share, &out[given])) {
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
    struct credit_amount spare_here)
{
	struct credit_amount back;

	back.slots =
	    smaller((idle.slots + 1) / 2, spare_here.slots - FLOOR_SLOTS);
	if (back.slots < 0)
		back.slots = 0;
	back.connections = smaller((idle.connections + 1) / 2,
	    spare_here.connections - FLOOR_CONNECTIONS);
	if (back.connections < back.slots)
		back.connections = back.slots;
	back.connections = smaller(smaller(back.connections, idle.connections),
	    free_connections(row, back.slots));
	if (back.slots > back.connections)
		back.slots = back.connections;
	return back;
}
