#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "callers.h"
#include "clock.h"

/* The endpoints that calls may be sent to, from the VM list. */

/* How long an endpoint that refused as draining is avoided; by then the VM list
 * reports its state. */
#define REFUSED_DRAINING_MS 10000

static struct endpoint_slot *hash_slot(struct callers *, const char *);
static struct endpoint *endpoint_new(struct callers *, const char *);
static void update(struct endpoint *, const struct vm *);
static void join_services(struct endpoint *, const struct vm *);

struct endpoint *
endpoint_find(struct callers *cs, const char *id)
{
	struct endpoint *ep;

	SLIST_FOREACH (ep, hash_slot(cs, id), id_link) {
		if (strcmp(ep->id, id) == 0)
			return ep;
	}
	return NULL;
}

static struct endpoint_slot *
hash_slot(struct callers *cs, const char *id)
{
	return &cs->by_id[XXH64(id, strlen(id), 0) % CALL_ENDPOINT_TABLE];
}

static struct endpoint *
endpoint_new(struct callers *cs, const char *id)
{
	struct learn_worker *learnt;
	struct endpoint *ep;
	int i;

	if ((ep = calloc(1, sizeof(*ep))) == NULL)
		return NULL;
	ep->callers = cs;
	strlcpy(ep->id, id, sizeof(ep->id));
	learnt = callers_learnt(cs->entry, id);
	for (i = 0; i < NLANES; i++) {
		ep->lanes[i].endpoint = ep;
		ep->lanes[i].lane = (enum call_lane)i;
		ep->lanes[i].ce.learnt = learnt;
	}
	LIST_INIT(&ep->attempts);
	LIST_INSERT_HEAD(&cs->endpoints, ep, link);
	SLIST_INSERT_HEAD(hash_slot(cs, id), ep, id_link);
	return ep;
}

void
endpoint_free(struct endpoint *ep)
{
	struct call *c;

	LIST_FOREACH (c, &ep->callers->calls, link) {
		if (c->avoid == ep)
			c->avoid = NULL;
	}
	LIST_REMOVE(ep, link);
	SLIST_REMOVE(hash_slot(ep->callers, ep->id), ep, endpoint, id_link);
	free(ep);
}

int
data_center_number(const char *name)
{
	return (int)(XXH64(name, strlen(name), 0) & 0x7fffffff);
}

static void
join_services(struct endpoint *ep, const struct vm *v)
{
	struct endpoint_member *m;
	struct call_service *s;
	size_t i, j;
	int lane;

	for (i = 0; i < v->info.nservices; i++) {
		s = service_find(ep->callers, v->info.services[i]);
		if (s == NULL)
			s = service_new(ep->callers, v->info.services[i]);
		for (j = 0; j < ep->nmembers; j++) {
			if (ep->members[j].service == s)
				break;
		}
		if (s == NULL || j < ep->nmembers ||
		    ep->nmembers == FLEET_SERVICES_MAX)
			continue;
		m = &ep->members[ep->nmembers++];
		m->service = s;
		for (lane = 0; lane < NLANES; lane++)
			m->candidate_index[lane] = CALL_INDEX_NONE;
	}
}

static void
update(struct endpoint *ep, const struct vm *v)
{
	int i;

	strlcpy(ep->shard, v->shard != NULL ? v->shard->name : "",
	    sizeof(ep->shard));
	snprintf(ep->address, sizeof(ep->address), "%s:%d", v->info.ip,
	    v->info.endpoint_port);
	ep->state = v->info.state;
	ep->lanes[LANE_UNARY].ce.slots = v->info.slots;
	ep->lanes[LANE_WATCH].ce.slots = v->info.connections;
	for (i = 0; i < NLANES; i++) {
		ep->lanes[i].ce.data_center =
		    data_center_number(v->info.data_center);
	}
}

void
endpoint_changed(struct callers *cs, struct vm *v)
{
	struct endpoint *ep;
	int64_t now_ms;

	if (v->info.kind != VM_WORKER)
		return;
	now_ms = clock_now_ms();
	if ((ep = endpoint_find(cs, v->info.id)) == NULL) {
		if (v->info.state == VM_GONE)
			return;
		if ((ep = endpoint_new(cs, v->info.id)) == NULL)
			return;
		endpoint_load_credits(ep);
	}
	update(ep, v);
	join_services(ep, v);
	endpoint_refresh(ep, now_ms);
	ep->pinned = true;
	if (ep->state != VM_LIVE)
		call_watch_drain(ep);
	ep->pinned = false;
	if (ep->state == VM_GONE && LIST_EMPTY(&ep->attempts))
		endpoint_free(ep);
	callers_schedule_pass(cs);
}

bool
endpoint_usable(const struct endpoint *ep, int64_t now_ms)
{
	return ep->state == VM_LIVE && now_ms >= ep->refused_until_ms;
}

/* Use endpoints again that refused as draining but stayed in the VM list. */
void
endpoints_expire_refusals(struct callers *cs, int64_t now_ms)
{
	struct endpoint *ep;

	LIST_FOREACH (ep, &cs->endpoints, link) {
		if (ep->refused_until_ms == 0 || now_ms < ep->refused_until_ms)
			continue;
		ep->refused_until_ms = 0;
		endpoint_refresh(ep, now_ms);
		callers_schedule_pass(cs);
	}
}

void
endpoint_refused_draining(struct endpoint *ep, int64_t now_ms)
{
	ep->refused_until_ms = now_ms + REFUSED_DRAINING_MS;
	endpoint_refresh(ep, now_ms);
	call_watch_drain(ep);
}

void
endpoints_close(struct callers *cs)
{
	struct call_service *s, *next_s;
	struct endpoint *ep, *next_ep;

	for (ep = LIST_FIRST(&cs->endpoints); ep != NULL; ep = next_ep) {
		next_ep = LIST_NEXT(ep, link);
		endpoint_free(ep);
	}
	for (s = LIST_FIRST(&cs->services); s != NULL; s = next_s) {
		next_s = LIST_NEXT(s, link);
		service_free(s);
	}
}
