#include <sys/queue.h>
#include <sys/tree.h>

#include <stdlib.h>
#include <string.h>

#include "credit.h"
#include "credit_int.h"

#define WINDOW_BITS 64

static int compare_seen(const struct credit_seen *, const struct credit_seen *);
static enum credit_error window_insert(struct credit_seen *, uint64_t);
static enum credit_error check_origin(
    struct credit_table *, const struct credit_origin *);
static enum credit_error receive_transfer(
    struct credit_table *, const char *, const struct credit_transfer *);

RB_GENERATE_INTERNAL(credit_peers, credit_seen, node, compare_seen,
    __attribute__((unused)) static)

static int
compare_seen(const struct credit_seen *a, const struct credit_seen *b)
{
	return strcmp(a->peer, b->peer);
}

enum credit_error
credit_give(struct credit_table *table, const char *worker,
    const struct credit_peer *to, struct credit_amount amount,
    struct credit_transfer *transfer)
{
	struct credit_worker *row;

	if (!credit_amount_valid(amount) || strlen(to->peer) >= CREDIT_ID_MAX)
		return CREDIT_ERR_INVALID;
	if ((row = credit_row(table, worker)) == NULL)
		return CREDIT_ERR_UNKNOWN_WORKER;
	if (!credit_amount_covers(row->spare, amount))
		return CREDIT_ERR_EMPTY;
	credit_row_add_spare(table, row, amount, -1);
	if (row->issued)
		credit_grant_add(row, to->peer, to->incarnation, amount, 1);
	memset(transfer, 0, sizeof(*transfer));
	strlcpy(transfer->worker, row->worker, sizeof(transfer->worker));
	strlcpy(transfer->shard, row->shard, sizeof(transfer->shard));
	strlcpy(transfer->owner, row->owner, sizeof(transfer->owner));
	transfer->epoch = row->epoch;
	transfer->amount = amount;
	return CREDIT_OK;
}

void
credit_give_cancel(struct credit_table *table, const char *peer,
    const struct credit_transfer *transfer)
{
	struct credit_worker *row;

	row = credit_row(table, transfer->worker);
	if (row == NULL || row->epoch != transfer->epoch)
		return;
	credit_row_add_spare(table, row, transfer->amount, 1);
	if (row->issued)
		credit_grant_add(row, peer, 0, transfer->amount, -1);
}

static enum credit_error
window_insert(struct credit_seen *seen, uint64_t sequence)
{
	uint64_t distance;

	if (sequence > seen->high) {
		distance = sequence - seen->high;
		seen->bits =
		    distance < WINDOW_BITS ? seen->bits << distance : 0;
		seen->bits |= 1;
		seen->high = sequence;
		return CREDIT_OK;
	}
	distance = seen->high - sequence;
	if (distance >= WINDOW_BITS)
		return CREDIT_ERR_TOO_OLD;
	if ((seen->bits & ((uint64_t)1 << distance)) != 0)
		return CREDIT_ERR_DUPLICATE;
	seen->bits |= (uint64_t)1 << distance;
	return CREDIT_OK;
}

/*
 * Refuses duplicate messages, which would duplicate credits.  They are
 * detected by the sender's incarnation and sequence number.  A receiver that
 * has restarted no longer knows these, and calls of its previous incarnation
 * may still be running, so it refuses messages sent to that incarnation.
 */
static enum credit_error
check_origin(struct credit_table *table, const struct credit_origin *origin)
{
	struct credit_seen key, *seen;

	if (origin->to_incarnation != table->incarnation)
		return CREDIT_ERR_NOT_FOR_US;
	if (strlcpy(key.peer, origin->from, sizeof(key.peer)) >=
	    sizeof(key.peer))
		return CREDIT_ERR_INVALID;
	seen = RB_FIND(credit_peers, &table->peers, &key);
	if (seen == NULL) {
		if ((seen = calloc(1, sizeof(*seen))) == NULL)
			return CREDIT_ERR_MEMORY;
		strlcpy(seen->peer, origin->from, sizeof(seen->peer));
		seen->incarnation = origin->incarnation;
		if (RB_INSERT(credit_peers, &table->peers, seen) != NULL) {
			free(seen);
			return CREDIT_ERR_INVALID;
		}
	}
	if (origin->incarnation < seen->incarnation)
		return CREDIT_ERR_OLD_INCARNATION;
	if (origin->incarnation > seen->incarnation) {
		seen->incarnation = origin->incarnation;
		seen->high = 0;
		seen->bits = 0;
	}
	return window_insert(seen, origin->sequence);
}

static enum credit_error
receive_transfer(struct credit_table *table, const char *from,
    const struct credit_transfer *transfer)
{
	struct credit_worker *row;

	if (!credit_amount_valid(transfer->amount) || transfer->epoch == 0)
		return CREDIT_ERR_INVALID;
	row = credit_row_ensure(table, transfer->worker, transfer->shard);
	if (row == NULL)
		return CREDIT_ERR_MEMORY;
	if (transfer->epoch < row->epoch ||
	    (transfer->epoch == row->epoch && row->fenced))
		return CREDIT_ERR_OLD_EPOCH;
	if (transfer->epoch > row->epoch)
		credit_row_set_epoch(table, row, transfer->epoch);
	if (!row->issued)
		strlcpy(row->owner, transfer->owner, sizeof(row->owner));
	credit_row_add_spare(table, row, transfer->amount, 1);
	if (row->issued)
		credit_grant_add(row, from, 0, transfer->amount, -1);
	return CREDIT_OK;
}

enum credit_error
credit_receive(struct credit_table *table, const struct credit_origin *origin,
    const struct credit_transfer *transfers, size_t count, size_t *stale)
{
	enum credit_error error;
	size_t i;

	*stale = 0;
	if ((error = check_origin(table, origin)) != CREDIT_OK)
		return error;
	for (i = 0; i < count; i++) {
		if (receive_transfer(table, origin->from, &transfers[i]) !=
		    CREDIT_OK)
			(*stale)++;
	}
	return CREDIT_OK;
}

void
credit_free_peers(struct credit_table *table)
{
	struct credit_seen *seen, *next;

	for (seen = RB_MIN(credit_peers, &table->peers); seen != NULL;
	     seen = next) {
		next = RB_NEXT(credit_peers, &table->peers, seen);
		RB_REMOVE(credit_peers, &table->peers, seen);
		free(seen);
	}
}
