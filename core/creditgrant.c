#include <sys/queue.h>
#include <sys/tree.h>

#include <stdlib.h>
#include <string.h>

#include "credit.h"
#include "credit_int.h"

/*
 * Credits that an owner has given away, by peer.  Peers may pass credits on to
 * other peers, so the amounts are only a hint of where credits are, and never
 * become negative.  From them the owner learns when raising the epoch would
 * recover credits.
 */

static struct credit_grant *find_grant(struct credit_worker *, const char *);
static void free_grant(struct credit_grant *);
static struct credit_holding *find_or_add_holding(
    struct credit_table *, const char *, const char *);
static int sum_holdings(struct credit_table *, const char *, uint64_t);
static void expire_holdings(struct credit_table *, int64_t);

static struct credit_grant *
find_grant(struct credit_worker *row, const char *peer)
{
	struct credit_grant *grant;

	LIST_FOREACH (grant, &row->grants, link) {
		if (strcmp(grant->peer, peer) == 0)
			return grant;
	}
	return NULL;
}

static void
free_grant(struct credit_grant *grant)
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
		free_grant(grant);
	}
}

void
credit_grant_add(struct credit_worker *row, const char *peer,
    uint64_t incarnation, struct credit_amount amount, int sign)
{
	struct credit_grant *grant;

	if ((grant = find_grant(row, peer)) == NULL) {
		if (sign < 0 || (grant = calloc(1, sizeof(*grant))) == NULL)
			return;
		strlcpy(grant->peer, peer, sizeof(grant->peer));
		LIST_INSERT_HEAD(&row->grants, grant, link);
	}
	if (sign > 0 && incarnation != grant->incarnation) {
		/* Credits of the previous incarnation are lost. */
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
		free_grant(grant);
}

void
credit_abandoned(struct credit_table *table, const char *peer,
    const char *worker, uint64_t epoch, struct credit_amount amount)
{
	struct credit_worker *row;

	row = credit_row(table, worker);
	if (row == NULL || !row->issued || row->epoch != epoch ||
	    !credit_amount_valid(amount))
		return;
	credit_amount_add(&row->lost, amount, 1);
	credit_grant_add(row, peer, 0, amount, -1);
}

int
credit_expire_peers(
    struct credit_table *table, credit_dead_cb *is_dead, void *ctx)
{
	const struct credit_worker *first, *next;
	struct credit_grant *grant, *following;
	struct credit_worker *row;
	int slots;

	slots = 0;
	for (first = credit_first(table); first != NULL; first = next) {
		next = credit_next(first);
		row = credit_row(table, first->worker);
		for (grant = LIST_FIRST(&row->grants); grant != NULL;
		     grant = following) {
			following = LIST_NEXT(grant, link);
			if (!is_dead(grant->peer, grant->incarnation, ctx))
				continue;
			slots += grant->amount.slots;
			credit_amount_add(&row->lost, grant->amount, 1);
			free_grant(grant);
		}
	}
	return slots;
}

int
credit_lost(struct credit_table *table, const char *shard)
{
	const struct credit_worker *row;
	int slots;

	slots = 0;
	for (row = credit_first(table); row != NULL; row = credit_next(row)) {
		if (row->issued && strcmp(row->shard, shard) == 0)
			slots += row->lost.slots;
	}
	return slots;
}

static struct credit_holding *
find_or_add_holding(
    struct credit_table *table, const char *peer, const char *shard)
{
	struct credit_holding *holding;

	LIST_FOREACH (holding, &table->holdings, link) {
		if (strcmp(holding->peer, peer) == 0 &&
		    strcmp(holding->shard, shard) == 0)
			return holding;
	}
	if ((holding = calloc(1, sizeof(*holding))) == NULL)
		return NULL;
	strlcpy(holding->peer, peer, sizeof(holding->peer));
	strlcpy(holding->shard, shard, sizeof(holding->shard));
	LIST_INSERT_HEAD(&table->holdings, holding, link);
	return holding;
}

void
credit_set_holding(struct credit_table *table, const char *peer,
    const char *shard, uint64_t epoch, int slots, int64_t now_ms)
{
	struct credit_holding *holding;

	if ((holding = find_or_add_holding(table, peer, shard)) == NULL)
		return;
	holding->epoch = epoch;
	holding->slots = slots;
	holding->reported_ms = now_ms;
}

static void
expire_holdings(struct credit_table *table, int64_t before_ms)
{
	struct credit_holding *holding, *next;

	for (holding = LIST_FIRST(&table->holdings); holding != NULL;
	     holding = next) {
		next = LIST_NEXT(holding, link);
		if (holding->reported_ms >= before_ms)
			continue;
		LIST_REMOVE(holding, link);
		free(holding);
	}
}

void
credit_free_holdings(struct credit_table *table)
{
	expire_holdings(table, INT64_MAX);
}

static int
sum_holdings(struct credit_table *table, const char *shard, uint64_t epoch)
{
	struct credit_holding *holding;
	int slots;

	slots = 0;
	LIST_FOREACH (holding, &table->holdings, link) {
		if (holding->epoch == epoch &&
		    strcmp(holding->shard, shard) == 0)
			slots += holding->slots;
	}
	return slots;
}

int
credit_unaccounted(struct credit_table *table, const char *shard,
    int64_t now_ms, int64_t max_age_ms)
{
	const struct credit_worker *row;
	uint64_t epoch;
	int slots;

	expire_holdings(table, now_ms - max_age_ms);
	epoch = 0;
	slots = 0;
	for (row = credit_first(table); row != NULL; row = credit_next(row)) {
		if (!row->issued || row->fenced ||
		    strcmp(row->shard, shard) != 0)
			continue;
		epoch = row->epoch > epoch ? row->epoch : epoch;
		slots += row->capacity.slots - row->used_at_fence.slots -
		    row->spare.slots - row->busy.slots - row->lost.slots;
	}
	slots -= sum_holdings(table, shard, epoch);
	return slots < 0 ? 0 : slots;
}
