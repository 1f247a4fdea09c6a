#include <string.h>

#include "clock.h"
#include "counter.h"
#include "lend.h"

/* Reports from borrowers to owners of credits, and the return of credits. */

static void send_by_owner(
    struct entry *, enum wire_type, struct wire_transfers *);
static void report_row(struct wire_transfers *, const struct credit_worker *);
static void on_held(
    struct entry *, const struct wire_header *, const void *, size_t, void *);
static void on_abandoned(
    struct entry *, const struct wire_header *, const void *, size_t, void *);
static void return_credits(
    const struct credit_worker *, struct credit_amount, void *);

void
owners_open(struct entry *e)
{
	mesh_handle(e, WIRE_ABANDONED, on_abandoned, NULL);
	mesh_handle(e, WIRE_HOLDING_REPORT, on_held, NULL);
}

/* Only a hint for the owner: what exceeds one message is dropped. */
void
owners_abandoned(
    struct lend *lend, const struct credit_worker *row, enum credit_kind kind)
{
	struct credit_transfer *item;

	if (lend->abandoned.count == WIRE_TRANSFERS_MAX)
		return;
	item = &lend->abandoned.items[lend->abandoned.count++];
	memset(item, 0, sizeof(*item));
	strlcpy(item->worker, row->worker, sizeof(item->worker));
	strlcpy(item->shard, row->shard, sizeof(item->shard));
	strlcpy(item->owner, row->owner, sizeof(item->owner));
	item->epoch = row->epoch;
	item->amount.slots = kind == CREDIT_CALL ? 1 : 0;
	item->amount.connections = 1;
}

/* Sends each owner its items of all, and empties all. */
static void
send_by_owner(struct entry *e, enum wire_type type, struct wire_transfers *all)
{
	static struct wire_transfers out;
	size_t i, kept;

	while (all->count > 0) {
		out.count = 0;
		kept = 0;
		for (i = 0; i < all->count; i++) {
			if (strcmp(all->items[i].owner, all->items[0].owner) ==
			    0)
				out.items[out.count++] = all->items[i];
		}
		for (i = 0; i < all->count; i++) {
			if (strcmp(all->items[i].owner, out.items[0].owner) !=
			    0)
				all->items[kept++] = all->items[i];
		}
		all->count = kept;
		if (strcmp(out.items[0].owner, e->opt.id) != 0)
			borrow_send(e, out.items[0].owner, type, &out);
	}
}

void
owners_report_abandoned(struct entry *e)
{
	send_by_owner(e, WIRE_ABANDONED, &e->lend->abandoned);
}

static void
on_abandoned(struct entry *e, const struct wire_header *header,
    const void *payload, size_t len, void *ctx)
{
	static struct wire_transfers transfers;
	size_t i;

	(void)ctx;
	if (wire_decode_transfers(payload, len, &transfers) != WIRE_OK)
		return;
	for (i = 0; i < transfers.count; i++)
		credit_abandoned(e->lend->table, header->from,
		    transfers.items[i].worker, transfers.items[i].epoch,
		    transfers.items[i].amount);
}

/* Adds a row to the holding report, which has an item for each shard. */
static void
report_row(struct wire_transfers *all, const struct credit_worker *row)
{
	struct credit_transfer *item;
	size_t i;
	int slots;

	slots = row->spare.slots + row->busy.slots;
	if (row->issued || row->fenced || slots == 0)
		return;
	for (i = 0; i < all->count; i++) {
		item = &all->items[i];
		if (item->epoch == row->epoch &&
		    strcmp(item->shard, row->shard) == 0)
			break;
	}
	if (i == WIRE_TRANSFERS_MAX)
		return;
	item = &all->items[i];
	if (i == all->count) {
		memset(item, 0, sizeof(*item));
		strlcpy(item->shard, row->shard, sizeof(item->shard));
		strlcpy(item->owner, row->owner, sizeof(item->owner));
		item->epoch = row->epoch;
		all->count++;
	}
	item->amount.slots += slots;
}

void
owners_report_held(struct entry *e)
{
	static struct wire_transfers all;
	const struct credit_worker *row;

	all.count = 0;
	for (row = credit_first(e->lend->table); row != NULL;
	     row = credit_next(row))
		report_row(&all, row);
	send_by_owner(e, WIRE_HOLDING_REPORT, &all);
}

static void
on_held(struct entry *e, const struct wire_header *header, const void *payload,
    size_t len, void *ctx)
{
	static struct wire_transfers in;
	size_t i;

	(void)ctx;
	if (wire_decode_transfers(payload, len, &in) != WIRE_OK)
		return;
	for (i = 0; i < in.count; i++)
		credit_set_holding(e->lend->table, header->from,
		    in.items[i].shard, in.items[i].epoch,
		    in.items[i].amount.slots, clock_now_ms());
}

/* Sends a message for each row; few rows are idle at any one time. */
static void
return_credits(
    const struct credit_worker *row, struct credit_amount idle, void *ctx)
{
	static struct wire_transfers transfers;
	struct entry *e = ctx;
	struct credit_peer owner;
	struct credit_amount returned;
	const struct member *member;

	member = member_find(mesh_members(e), row->owner);
	if (row->issued || member == NULL)
		return;
	returned = row->spare;
	if (e->phase == ENTRY_RUNNING)
		returned = lending_return(
		    idle, row->spare, credit_spare(e->lend->table));
	if (returned.connections == 0 ||
	    member_evaluate(mesh_members(e), row->owner, 0, clock_now_ms())
		    .state != MEMBER_ALIVE)
		return;
	owner.peer = row->owner;
	owner.incarnation = member->record.incarnation;
	if (credit_give(e->lend->table, row->worker, &owner, returned,
		&transfers.items[0]) != CREDIT_OK)
		return;
	transfers.service[0] = '\0';
	transfers.count = 1;
	if (borrow_send(e, member->record.id, WIRE_CREDITS, &transfers))
		counter_inc_reason("lagoonpin_lend_granted", "returned");
	else
		credit_give_cancel(
		    e->lend->table, member->record.id, &transfers.items[0]);
}

void
owners_return(struct entry *e)
{
	credit_idle(e->lend->table, return_credits, e);
}
