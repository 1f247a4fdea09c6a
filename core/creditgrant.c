#include <sys/queue.h>
#include <sys/tree.h>

#include <stdlib.h>
#include <string.h>

#include "credit.h"
#include "credit_int.h"

/*
 * What an owner gave away, by peer.  Credits pass on from peer to peer, so
 * this is only a hint of where they are, and never goes below zero: it tells
 * the owner when raising the epoch would bring credits back.
 */

static struct credit_grant *find(struct credit_worker *, const char *);
static void drop(struct credit_grant *);
static struct credit_holding *statement_of(
    struct credit_table *, const char *, const char *);
static int stated(struct credit_table *, const char *, uint64_t);
static void forget_before(struct credit_table *, int64_t);

static struct credit_grant *
find(struct credit_worker *row, const char *peer)
{
	struct credit_grant *grant;

	LIST_FOREACH (grant, &row->grants, link) {
		if (strcmp(grant->peer, peer) == 0)
			return grant;
	}
	return NULL;
}

static void
drop(struct credit_grant *grant)
{
	LIST_REMOVE(grant, link);
	free(grant);
}

void
credit_grants_clear(struct credit_worker *row)
{
	struct credit_grant *grant, *next;

	for (grant = LIST_FIRST(&row->grants); grant != NULL; grant = next) {
		next = LIST_NEXT(grant, link);
		drop(grant);
	}
}

void
credit_grant_add(struct credit_worker *row, const char *peer,
    uint64_t incarnation, struct credit_amount amount, int sign)
{
	struct credit_grant *grant;

	if ((grant = find(row, peer)) == NULL) {
		if (sign < 0 || (grant = calloc(1, sizeof(*grant))) == NULL)
			return;
		strlcpy(grant->peer, peer, sizeof(grant->peer));
		LIST_INSERT_HEAD(&row->grants, grant, link);
	}
	if (sign > 0 && incarnation != grant->incarnation) {
		/* What its former incarnation had went with it. */
		credit_amount_add(&row->lost, grant->amount, 1);
		memset(&grant->amount, 0, sizeof(grant->amount));
		grant->incarnation = incarnation;
	}
	credit_amount_add(&grant->amount, amount, sign);
	if (grant->amount.slots < 0)
		grant->amount.slots = 0;
	if (grant->amount.connections < 0)
		grant->amount.connections = 0;
	if (grant->amount.slots == 0 && grant->amount.connections == 0)
		drop(grant);
}

void
credit_abandoned(struct credit_table *book, const char *peer,
    const char *worker, uint64_t epoch, struct credit_amount amount)
{
	struct credit_worker *row;

	row = credit_row(book, worker);
	if (row == NULL || !row->issued || row->epoch != epoch ||
	    !credit_amount_valid(amount))
		return;
	credit_amount_add(&row->lost, amount, 1);
	credit_grant_add(row, peer, 0, amount, -1);
}

int
credit_expire_peers(
    struct credit_table *book, credit_dead_cb *is_dead, void *ctx)
{
	const struct credit_worker *first, *next;
	struct credit_grant *grant, *following;
	struct credit_worker *row;
	int slots;

	slots = 0;
	for (first = credit_first(book); first != NULL; first = next) {
		next = credit_next(first);
		row = credit_row(book, first->worker);
		for (grant = LIST_FIRST(&row->grants); grant != NULL;
		     grant = following) {
			following = LIST_NEXT(grant, link);
			if (!is_dead(grant->peer, grant->incarnation, ctx))
				continue;
			slots += grant->amount.slots;
			credit_amount_add(&row->lost, grant->amount, 1);
			drop(grant);
		}
	}
	return slots;
}

int
credit_lost(struct credit_table *book, const char *shard)
{
	const struct credit_worker *row;
	int slots;

	slots = 0;
	for (row = credit_first(book); row != NULL; row = credit_next(row)) {
		if (row->issued && strcmp(row->shard, shard) == 0)
			slots += row->lost.slots;
	}
	return slots;
}

static struct credit_holding *
statement_of(struct credit_table *book, const char *peer, const char *shard)
{
	struct credit_holding *st;

	LIST_FOREACH (st, &book->statements, link) {
		if (strcmp(st->peer, peer) == 0 &&
		    strcmp(st->shard, shard) == 0)
			return st;
	}
	if ((st = calloc(1, sizeof(*st))) == NULL)
		return NULL;
	strlcpy(st->peer, peer, sizeof(st->peer));
	strlcpy(st->shard, shard, sizeof(st->shard));
	LIST_INSERT_HEAD(&book->statements, st, link);
	return st;
}

void
credit_set_holding(struct credit_table *book, const char *peer,
    const char *shard, uint64_t epoch, int slots, int64_t now_ms)
{
	struct credit_holding *st;

	if ((st = statement_of(book, peer, shard)) == NULL)
		return;
	st->epoch = epoch;
	st->slots = slots;
	st->stated_ms = now_ms;
}

static void
forget_before(struct credit_table *book, int64_t before_ms)
{
	struct credit_holding *st, *next;

	for (st = LIST_FIRST(&book->statements); st != NULL; st = next) {
		next = LIST_NEXT(st, link);
		if (st->stated_ms >= before_ms)
			continue;
		LIST_REMOVE(st, link);
		free(st);
	}
}

void
credit_free_holdings(struct credit_table *book)
{
	forget_before(book, INT64_MAX);
}

static int
stated(struct credit_table *book, const char *shard, uint64_t epoch)
{
	struct credit_holding *st;
	int slots;

	slots = 0;
	LIST_FOREACH (st, &book->statements, link) {
		if (st->epoch == epoch && strcmp(st->shard, shard) == 0)
			slots += st->slots;
	}
	return slots;
}

int
credit_unaccounted(struct credit_table *book, const char *shard, int64_t now_ms,
    int64_t max_age_ms)
{
	const struct credit_worker *row;
	uint64_t epoch;
	int slots;

	forget_before(book, now_ms - max_age_ms);
	epoch = 0;
	slots = 0;
	for (row = credit_first(book); row != NULL; row = credit_next(row)) {
		if (!row->issued || row->fenced ||
		    strcmp(row->shard, shard) != 0)
			continue;
		epoch = row->epoch > epoch ? row->epoch : epoch;
		slots += row->capacity.slots - row->used_at_fence.slots -
		    row->spare.slots - row->busy.slots - row->lost.slots;
	}
	slots -= stated(book, shard, epoch);
	return slots < 0 ? 0 : slots;
}
