#include <sys/tree.h>

#include <stdlib.h>

#include "lease.h"

#define FIRST_ID 1000

struct lease {
	RB_ENTRY(lease) by_id;
	RB_ENTRY(lease) by_end;
	int64_t id;
	int64_t ttl_s;
	int64_t ends_ms;
};

RB_HEAD(lease_id_tree, lease);
RB_HEAD(lease_end_tree, lease);

struct leases {
	struct lease_id_tree by_id;
	struct lease_end_tree by_end;
	int64_t next_id;
	lease_over_fn *over;
	void *ctx;
};

static int compare_ids(struct lease *, struct lease *);
static int compare_ends(struct lease *, struct lease *);
static struct lease *find(const struct leases *, int64_t);
static void end(struct leases *, struct lease *);

RB_PROTOTYPE(lease_id_tree, lease, by_id, compare_ids)
RB_PROTOTYPE(lease_end_tree, lease, by_end, compare_ends)
RB_GENERATE(lease_id_tree, lease, by_id, compare_ids)
RB_GENERATE(lease_end_tree, lease, by_end, compare_ends)

static int
compare_ids(struct lease *a, struct lease *b)
{
	return (a->id > b->id) - (a->id < b->id);
}

static int
compare_ends(struct lease *a, struct lease *b)
{
	if (a->ends_ms != b->ends_ms)
		return a->ends_ms < b->ends_ms ? -1 : 1;
	return compare_ids(a, b);
}

struct leases *
leases_open(lease_over_fn *over, void *ctx)
{
	struct leases *l;

	if ((l = calloc(1, sizeof(*l))) == NULL)
		return NULL;
	RB_INIT(&l->by_id);
	RB_INIT(&l->by_end);
	l->next_id = FIRST_ID;
	l->over = over;
	l->ctx = ctx;
	return l;
}

void
leases_close(struct leases *l)
{
	struct lease *lease, *next;

	if (l == NULL)
		return;
	for (lease = RB_MIN(lease_id_tree, &l->by_id); lease != NULL;
	     lease = next) {
		next = RB_NEXT(lease_id_tree, &l->by_id, lease);
		RB_REMOVE(lease_id_tree, &l->by_id, lease);
		free(lease);
	}
	free(l);
}

static struct lease *
find(const struct leases *l, int64_t id)
{
	struct lease probe;

	probe.id = id;
	return RB_FIND(
	    lease_id_tree, (struct lease_id_tree *)&l->by_id, &probe);
}

int64_t
lease_grant(struct leases *l, int64_t ttl_s, int64_t now_ms)
{
	struct lease *lease;

	if ((lease = calloc(1, sizeof(*lease))) == NULL)
		return 0;
	lease->id = l->next_id++;
	lease->ttl_s = ttl_s;
	lease->ends_ms = now_ms + ttl_s * 1000;
	RB_INSERT(lease_id_tree, &l->by_id, lease);
	RB_INSERT(lease_end_tree, &l->by_end, lease);
	return lease->id;
}

int64_t
lease_keepalive(struct leases *l, int64_t id, int64_t now_ms)
{
	struct lease *lease;

	if ((lease = find(l, id)) == NULL)
		return 0;
	RB_REMOVE(lease_end_tree, &l->by_end, lease);
	lease->ends_ms = now_ms + lease->ttl_s * 1000;
	RB_INSERT(lease_end_tree, &l->by_end, lease);
	return lease->ttl_s;
}

static void
end(struct leases *l, struct lease *lease)
{
	int64_t id;

	id = lease->id;
	RB_REMOVE(lease_id_tree, &l->by_id, lease);
	RB_REMOVE(lease_end_tree, &l->by_end, lease);
	free(lease);
	l->over(id, l->ctx);
}

bool
lease_revoke(struct leases *l, int64_t id)
{
	struct lease *lease;

	if ((lease = find(l, id)) == NULL)
		return false;
	end(l, lease);
	return true;
}

bool
lease_lives(const struct leases *l, int64_t id)
{
	return find(l, id) != NULL;
}

void
lease_expire(struct leases *l, int64_t now_ms)
{
	struct lease *lease, *next;

	for (lease = RB_MIN(lease_end_tree, &l->by_end); lease != NULL;
	     lease = next) {
		if (lease->ends_ms > now_ms)
			break;
		next = RB_NEXT(lease_end_tree, &l->by_end, lease);
		end(l, lease);
	}
}

int64_t
lease_due_ms(const struct leases *l)
{
	const struct lease *lease;

	lease = RB_MIN(lease_end_tree, (struct lease_end_tree *)&l->by_end);
	return lease != NULL ? lease->ends_ms : INT64_MAX;
}
