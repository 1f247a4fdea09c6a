#include <sys/queue.h>
#include <sys/tree.h>

#include <stdlib.h>
#include <string.h>

#include "credit.h"
#include "credit_int.h"

static int compare_rows(
    const struct credit_worker *, const struct credit_worker *);
static struct credit_amount amount_per_call(enum credit_kind);
static void fence_row(
    struct credit_table *, struct credit_worker *, uint64_t epoch);
static struct credit_amount amount_min(
    struct credit_amount, struct credit_amount);

RB_GENERATE_INTERNAL(credit_rows, credit_worker, node, compare_rows,
    __attribute__((unused)) static)

static int
compare_rows(const struct credit_worker *a, const struct credit_worker *b)
{
	return strcmp(a->worker, b->worker);
}

void
credit_amount_add(
    struct credit_amount *to, struct credit_amount amount, int sign)
{
	to->slots += sign * amount.slots;
	to->connections += sign * amount.connections;
}

bool
credit_amount_valid(struct credit_amount a)
{
	return a.slots >= 0 && a.slots <= CREDIT_AMOUNT_MAX &&
	    a.connections >= 0 && a.connections <= CREDIT_AMOUNT_MAX;
}

bool
credit_amount_covers(struct credit_amount a, struct credit_amount need)
{
	return a.slots >= need.slots && a.connections >= need.connections;
}

static struct credit_amount
amount_per_call(enum credit_kind kind)
{
	struct credit_amount a;

	a.slots = kind == CREDIT_CALL ? 1 : 0;
	a.connections = 1;
	return a;
}

static struct credit_amount
amount_min(struct credit_amount a, struct credit_amount b)
{
	if (b.slots < a.slots)
		a.slots = b.slots;
	if (b.connections < a.connections)
		a.connections = b.connections;
	return a;
}

struct credit_table *
credit_open(const struct credit_options *options)
{
	struct credit_table *table;

	if ((table = calloc(1, sizeof(*table))) == NULL)
		return NULL;
	if (strlcpy(table->self, options->self, sizeof(table->self)) >=
	    sizeof(table->self)) {
		free(table);
		return NULL;
	}
	table->incarnation = options->incarnation;
	table->on_spare = options->on_spare;
	table->ctx = options->ctx;
	RB_INIT(&table->rows);
	RB_INIT(&table->peers);
	LIST_INIT(&table->holdings);
	return table;
}

void
credit_close(struct credit_table *table)
{
	struct credit_worker *row;

	if (table == NULL)
		return;
	while ((row = RB_ROOT(&table->rows)) != NULL) {
		RB_REMOVE(credit_rows, &table->rows, row);
		credit_grants_clear(row);
		free(row);
	}
	credit_free_peers(table);
	credit_free_holdings(table);
	free(table);
}

struct credit_worker *
credit_row(struct credit_table *table, const char *worker)
{
	struct credit_worker key;

	if (strlcpy(key.worker, worker, sizeof(key.worker)) >=
	    sizeof(key.worker))
		return NULL;
	return RB_FIND(credit_rows, &table->rows, &key);
}

struct credit_worker *
credit_row_ensure(
    struct credit_table *table, const char *worker, const char *shard)
{
	struct credit_worker *row;

	if ((row = credit_row(table, worker)) != NULL)
		return row;
	if (strlen(worker) >= CREDIT_ID_MAX || strlen(shard) >= CREDIT_ID_MAX)
		return NULL;
	if ((row = calloc(1, sizeof(*row))) == NULL)
		return NULL;
	strlcpy(row->worker, worker, sizeof(row->worker));
	strlcpy(row->shard, shard, sizeof(row->shard));
	LIST_INIT(&row->grants);
	if (RB_INSERT(credit_rows, &table->rows, row) != NULL) {
		free(row);
		return NULL;
	}
	return row;
}

void
credit_row_add_spare(struct credit_table *table, struct credit_worker *row,
    struct credit_amount amount, int sign)
{
	/*
	 * Credits released by refused calls are void.  If they were reused,
	 * the endpoint would refuse all calls of this entry until credits of
	 * a new epoch are issued.
	 */
	if (row->fenced && sign > 0)
		return;
	credit_amount_add(&row->spare, amount, sign);
	row->min_spare = amount_min(row->min_spare, row->spare);
	if (!row->draining)
		credit_amount_add(&table->spare, amount, sign);
	if (table->on_spare != NULL)
		table->on_spare(row, table->ctx);
}

/*
 * Credits of lower epochs can no longer be used, because the endpoint would
 * refuse the call.  Calls in progress continue and are counted in older.
 */
void
credit_row_set_epoch(
    struct credit_table *table, struct credit_worker *row, uint64_t epoch)
{
	static const struct credit_amount none;

	credit_row_add_spare(table, row, row->spare, -1);
	credit_amount_add(&row->older, row->busy, 1);
	row->busy = none;
	row->min_spare = none;
	row->capacity = none;
	row->used_at_fence = none;
	row->lost = none;
	row->issued = false;
	row->fenced = false;
	row->owner[0] = '\0';
	row->epoch = epoch;
	credit_grants_clear(row);
}

enum credit_error
credit_issue(struct credit_table *table, const char *worker, const char *shard,
    uint64_t epoch, struct credit_amount capacity, struct credit_amount used)
{
	struct credit_worker *row;
	struct credit_usage usage;

	if (epoch == 0 || !credit_amount_valid(capacity) ||
	    !credit_amount_valid(used))
		return CREDIT_ERR_INVALID;
	if ((row = credit_row_ensure(table, worker, shard)) == NULL)
		return CREDIT_ERR_MEMORY;
	if (epoch < row->epoch)
		return CREDIT_ERR_OLD_EPOCH;
	if (epoch == row->epoch) {
		memset(&usage, 0, sizeof(usage));
		usage.used = used;
		credit_report(table, worker, epoch, &usage);
		return CREDIT_ERR_ISSUED;
	}
	credit_row_set_epoch(table, row, epoch);
	strlcpy(row->shard, shard, sizeof(row->shard));
	strlcpy(row->owner, table->self, sizeof(row->owner));
	row->issued = true;
	row->capacity = capacity;
	row->used_at_fence = amount_min(used, capacity);
	credit_amount_add(&capacity, row->used_at_fence, -1);
	credit_row_add_spare(table, row, capacity, 1);
	return CREDIT_OK;
}

/*
 * Once the endpoint is fenced, calls of lower epochs can end but not start.
 * Each report at this epoch is therefore an upper bound for them from then on,
 * whatever the order of the reports.
 */
enum credit_error
credit_report(struct credit_table *table, const char *worker, uint64_t epoch,
    const struct credit_usage *usage)
{
	struct credit_worker *row;
	struct credit_amount bound, left, ended;

	if ((row = credit_row(table, worker)) == NULL)
		return CREDIT_ERR_UNKNOWN_WORKER;
	if (epoch != row->epoch || !row->issued)
		return CREDIT_ERR_OLD_EPOCH;
	bound = usage->has_older ? usage->older : usage->used;
	if (!credit_amount_valid(bound))
		return CREDIT_ERR_INVALID;
	left = amount_min(row->used_at_fence, bound);
	ended = row->used_at_fence;
	credit_amount_add(&ended, left, -1);
	row->used_at_fence = left;
	credit_row_add_spare(table, row, ended, 1);
	return CREDIT_OK;
}

enum credit_error
credit_take(struct credit_table *table, const char *worker,
    enum credit_kind kind, uint64_t *epoch)
{
	struct credit_worker *row;
	struct credit_amount need;

	if ((row = credit_row(table, worker)) == NULL)
		return CREDIT_ERR_UNKNOWN_WORKER;
	if (row->draining)
		return CREDIT_ERR_LEAVING;
	need = amount_per_call(kind);
	if (!credit_amount_covers(row->spare, need))
		return CREDIT_ERR_EMPTY;
	credit_row_add_spare(table, row, need, -1);
	credit_amount_add(&row->busy, need, 1);
	*epoch = row->epoch;
	return CREDIT_OK;
}

enum credit_error
credit_release(struct credit_table *table, const char *worker, uint64_t epoch,
    enum credit_kind kind, enum credit_end end)
{
	struct credit_worker *row;
	struct credit_amount amount;

	if ((row = credit_row(table, worker)) == NULL)
		return CREDIT_ERR_UNKNOWN_WORKER;
	amount = amount_per_call(kind);
	if (epoch != row->epoch) {
		if (!credit_amount_covers(row->older, amount))
			return CREDIT_ERR_INVALID;
		credit_amount_add(&row->older, amount, -1);
		return CREDIT_OK;
	}
	if (!credit_amount_covers(row->busy, amount))
		return CREDIT_ERR_INVALID;
	credit_amount_add(&row->busy, amount, -1);
	/*
	 * An abandoned call may still be running or arrive later.  If its
	 * credit were reused, the endpoint would get one call too many.
	 */
	if (end == CREDIT_ENDED)
		credit_row_add_spare(table, row, amount, 1);
	else if (row->issued)
		credit_amount_add(&row->lost, amount, 1);
	return CREDIT_OK;
}

static void
fence_row(struct credit_table *table, struct credit_worker *row, uint64_t epoch)
{
	/*
	 * This entry may be about to issue the credits of the new epoch, which
	 * credit_issue() refuses for a row that has reached it.  The row is
	 * therefore raised only to the epoch before.
	 */
	if (epoch > row->epoch + 1)
		credit_row_set_epoch(table, row, epoch - 1);
	else if (epoch != row->epoch + 1)
		return;
	credit_row_add_spare(table, row, row->spare, -1);
	row->fenced = true;
}

void
credit_fenced(struct credit_table *table, const char *worker, uint64_t epoch)
{
	struct credit_worker *row, *other;

	if ((row = credit_row(table, worker)) == NULL)
		return;
	/* Epochs are per shard, so its other workers refuse calls as well. */
	RB_FOREACH (other, credit_rows, &table->rows) {
		if (strcmp(other->shard, row->shard) == 0)
			fence_row(table, other, epoch);
	}
}

void
credit_set_draining(
    struct credit_table *table, const char *worker, bool draining)
{
	struct credit_worker *row;

	row = credit_row(table, worker);
	if (row == NULL || row->draining == draining)
		return;
	credit_amount_add(&table->spare, row->spare, draining ? -1 : 1);
	row->draining = draining;
	if (table->on_spare != NULL)
		table->on_spare(row, table->ctx);
}

void
credit_idle(struct credit_table *table, credit_idle_cb *cb, void *ctx)
{
	struct credit_worker *row;
	struct credit_amount min_spare;

	RB_FOREACH (row, credit_rows, &table->rows) {
		min_spare = row->min_spare;
		if (min_spare.slots > 0 || min_spare.connections > 0)
			cb(row, min_spare, ctx);
		row->min_spare = row->spare;
	}
}

const struct credit_worker *
credit_first(struct credit_table *table)
{
	return RB_MIN(credit_rows, &table->rows);
}

const struct credit_worker *
credit_next(const struct credit_worker *row)
{
	return RB_NEXT(credit_rows, NULL, (struct credit_worker *)row);
}

const struct credit_worker *
credit_find(struct credit_table *table, const char *worker)
{
	return credit_row(table, worker);
}

struct credit_amount
credit_spare(const struct credit_table *table)
{
	return table->spare;
}

bool
credit_forget(struct credit_table *table, const char *worker)
{
	struct credit_worker *row;

	if ((row = credit_row(table, worker)) == NULL)
		return true;
	if (row->busy.connections > 0 || row->older.connections > 0)
		return false;
	if (!row->draining)
		credit_amount_add(&table->spare, row->spare, -1);
	RB_REMOVE(credit_rows, &table->rows, row);
	credit_grants_clear(row);
	free(row);
	return true;
}

const char *
credit_strerror(enum credit_error error)
{
	static const char *const names[] = { "ok", "no_memory", "invalid",
		"unknown_worker", "no_credit", "leaving", "old_epoch",
		"already_minted", "duplicate", "too_old", "old_incarnation",
		"not_for_us" };

	if ((size_t)error >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[error];
}
