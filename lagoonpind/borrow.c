#include <string.h>

#include "clock.h"
#include "counter.h"
#include "lend.h"

/* Lending of credits between entries on demand: requests and grants. */

#define RESPONSE_TIMEOUT_MS 100 /* of a request to a peer */
/* Minimum interval between selections of a peer for the same demand. */
#define REQUEST_INTERVAL_MS 10
#define WAITING_MAX_MS 200 /* how long a report of waiting calls is valid */

static bool serves(const struct credit_worker *, const char *, void *);
static struct lend_demand *demand_of(
    struct lend *, const char *, enum credit_kind);
static int waiting_calls(struct lend *, const char *, int64_t);
static struct lending_load own_load(struct entry *, const char *, int64_t);
static int offer_of(
    const struct member *, const struct wire_credit_request *, int64_t);
static const struct member *best_peer(
    struct entry *, const struct wire_credit_request *, int64_t);
static bool send_want(
    struct entry *, const char *, const struct wire_credit_request *);
static bool request_credits(struct entry *, struct lend_demand *, int64_t);
static struct credit_amount offer_for(
    struct entry *, const struct wire_credit_request *, int64_t);
static void on_want(
    struct entry *, const struct wire_header *, const void *, size_t, void *);
static void on_response(
    struct entry *, const struct wire_header *, const struct wire_transfers *);
static void on_credits(
    struct entry *, const struct wire_header *, const void *, size_t, void *);

void
borrow_open(struct entry *e)
{
	mesh_handle(e, WIRE_CREDIT_REQUEST, on_want, NULL);
	mesh_handle(e, WIRE_CREDITS, on_credits, NULL);
	owners_open(e);
}

static bool
serves(const struct credit_worker *row, const char *service, void *ctx)
{
	struct entry *e = ctx;
	struct vm *vm;

	vm = fleet_find(e->fleet, row->worker);
	return vm != NULL && vm->info.state == VM_LIVE &&
	    vm_has_service(vm, service);
}

static struct lend_demand *
demand_of(struct lend *lend, const char *service, enum credit_kind kind)
{
	struct lend_demand *d;
	size_t i;

	for (i = 0; i < lend->ndemands; i++) {
		d = &lend->demands[i];
		if (d->kind == kind && strcmp(d->service, service) == 0)
			return d;
	}
	if (lend->ndemands == LEND_DEMANDS_MAX ||
	    strlen(service) >= sizeof(d->service))
		return NULL;
	d = &lend->demands[lend->ndemands++];
	strlcpy(d->service, service, sizeof(d->service));
	d->kind = kind;
	return d;
}

/* Calls of the service that wait here, by the last recent report. */
static int
waiting_calls(struct lend *lend, const char *service, int64_t now_ms)
{
	struct lend_demand *d;

	d = demand_of(lend, service, CREDIT_CALL);
	return d == NULL || now_ms - d->reported_ms > WAITING_MAX_MS ?
	    0 :
	    d->waiting;
}

static struct lending_load
own_load(struct entry *e, const char *service, int64_t now_ms)
{
	struct lending_load load;

	load = lending_load_of(e->lend->table, serves, service, e);
	load.needed = lending_needed(
	    load.needed, waiting_calls(e->lend, service, now_ms));
	return load;
}

/* Estimates a peer's offer from the load it last reported. */
static int
offer_of(const struct member *member, const struct wire_credit_request *want,
    int64_t now_ms)
{
	struct lending_load load;

	if (want->amount.slots == 0)
		return member->record.spare_connections;
	load.held = member->record.held_slots;
	load.needed = member->record.needed_slots;
	return lending_estimate(load, now_ms - member->load_ms, want->load);
}

/*
 * The live peer with the largest estimated offer.  A peer in another data
 * centre is chosen only if the local ones can't meet the request and its offer
 * is more than twice theirs.
 */
static const struct member *
best_peer(
    struct entry *e, const struct wire_credit_request *want, int64_t now_ms)
{
	const struct member *best[2] = { NULL, NULL }, *member;
	int near, offer, offers[2] = { 0, 0 }, equals[2] = { 0, 0 };

	for (member = member_first(mesh_members(e)); member != NULL;
	     member = member_next(member)) {
		near =
		    strcmp(member->record.data_center, e->opt.data_center) == 0;
		offer = offer_of(member, want, now_ms);
		if (offer < offers[near] || offer == 0 ||
		    member_evaluate(
			mesh_members(e), member->record.id, 0, now_ms)
			    .state != MEMBER_ALIVE)
			continue;
		equals[near] = offer == offers[near] ? equals[near] + 1 : 1;
		/* Random among equals: entries choose different ones. */
		if (gsl_rng_uniform_int(
			e->lend->rng, (unsigned long)equals[near]) != 0)
			continue;
		best[near] = member;
		offers[near] = offer;
	}
	near =
	    offers[1] >= want->amount.connections || offers[0] <= 2 * offers[1];
	if (!lending_worthwhile(offers[near], want->load.held))
		return NULL;
	return best[near];
}

static bool
send_want(
    struct entry *e, const char *peer, const struct wire_credit_request *want)
{
	msgpack_sbuffer payload;
	bool sent;

	msgpack_sbuffer_init(&payload);
	wire_encode_credit_request(&payload, want);
	sent =
	    mesh_send(e, peer, WIRE_CREDIT_REQUEST, payload.data, payload.size);
	msgpack_sbuffer_destroy(&payload);
	counter_inc_reason("lagoonpin_lend_wants", sent ? "sent" : "not_sent");
	return sent;
}

/*
 * One request at a time: several requests with the same load would each be
 * granted a fair share, and credits would oscillate between entries.
 */
static bool
request_credits(struct entry *e, struct lend_demand *d, int64_t now_ms)
{
	const struct member *peer;
	struct wire_credit_request want;

	if (d->asked_ms != 0 && now_ms - d->asked_ms < RESPONSE_TIMEOUT_MS)
		return true;
	if (now_ms < d->next_ask_ms)
		return false;
	d->next_ask_ms = now_ms + REQUEST_INTERVAL_MS;
	memset(&want, 0, sizeof(want));
	strlcpy(want.service, d->service, sizeof(want.service));
	if (d->kind == CREDIT_CALL) {
		want.load = own_load(e, d->service, now_ms);
		want.amount.slots = want.load.needed;
		want.amount.connections = want.load.needed;
	} else
		want.amount.connections = 2 * d->waiting;
	if ((peer = best_peer(e, &want, now_ms)) == NULL) {
		counter_inc_reason("lagoonpin_lend_refused", "no_peer_spare");
		return false;
	}
	if (!lending_rate_take(&e->lend->wants, now_ms)) {
		counter_inc_reason("lagoonpin_lend_refused", "asked_too_often");
		return false;
	}
	if (!send_want(e, peer->record.id, &want)) {
		/* Unreachable: assume no offer until it reports its load. */
		member_set_load(mesh_members(e), peer->record.id, 0, 0, now_ms);
		return false;
	}
	d->asked_ms = now_ms;
	return true;
}

bool
lend_request(
    struct entry *e, const char *service, enum credit_kind kind, int waiting)
{
	struct lend_demand *d;
	int64_t now_ms;

	now_ms = clock_now_ms();
	d = demand_of(e->lend, service, kind);
	if (waiting <= 0 || d == NULL)
		return false;
	d->waiting = waiting;
	d->reported_ms = now_ms;
	return request_credits(e, d, now_ms);
}

struct lending_load
lend_load(struct entry *e)
{
	const struct credit_worker *row;
	struct lending_load load;
	int64_t now_ms;
	size_t i;
	int waiting;

	memset(&load, 0, sizeof(load));
	for (row = credit_first(e->lend->table); row != NULL;
	     row = credit_next(row)) {
		if (row->draining)
			continue;
		load.held += row->spare.slots + row->busy.slots;
		load.needed += row->busy.slots;
	}
	waiting = 0;
	now_ms = clock_now_ms();
	for (i = 0; i < e->lend->ndemands; i++) {
		if (e->lend->demands[i].kind == CREDIT_CALL)
			waiting += waiting_calls(
			    e->lend, e->lend->demands[i].service, now_ms);
	}
	load.needed = lending_needed(load.needed, waiting);
	return load;
}

bool
borrow_send(struct entry *e, const char *to, enum wire_type type,
    const struct wire_transfers *transfers)
{
	msgpack_sbuffer payload;
	bool sent;

	msgpack_sbuffer_init(&payload);
	wire_encode_transfers(&payload, transfers);
	sent = mesh_send(e, to, type, payload.data, payload.size);
	msgpack_sbuffer_destroy(&payload);
	return sent;
}

/* The amount to grant to a peer from the spare credits. */
static struct credit_amount
offer_for(
    struct entry *e, const struct wire_credit_request *want, int64_t now_ms)
{
	struct credit_amount amount;
	struct lending_load load;
	int spare;

	amount = want->amount;
	if (amount.slots == 0)
		return amount;
	load = lending_load_of(e->lend->table, serves, want->service, e);
	spare = load.held - load.needed;
	load.needed = lending_needed(
	    load.needed, waiting_calls(e->lend, want->service, now_ms));
	amount.slots = lending_offer(load, want->load, spare, amount.slots);
	amount.connections = amount.slots;
	return amount;
}

/*
 * Credits are deducted from the table before the message is sent.  They are
 * restored only if it was certainly not sent.  A grant of nothing is sent as
 * well, with this entry's load, so that the peer asks another one.
 */
static void
on_want(struct entry *e, const struct wire_header *header, const void *payload,
    size_t len, void *ctx)
{
	static struct wire_transfers out;
	struct lending_request request;
	const struct member *member;
	struct wire_credit_request want;
	int64_t now_ms;
	size_t i;

	(void)ctx;
	if (wire_decode_credit_request(payload, len, &want) != WIRE_OK)
		return;
	/* Credits sent to another incarnation than the sender's are lost. */
	member = member_find(mesh_members(e), header->from);
	if (member == NULL ||
	    member->record.incarnation != header->incarnation) {
		counter_inc_reason("lagoonpin_lend_refused", "unknown_peer");
		return;
	}
	now_ms = clock_now_ms();
	member_set_load(mesh_members(e), header->from, want.load.held,
	    want.load.needed, now_ms);
	request.service = want.service;
	request.peer.peer = header->from;
	request.peer.incarnation = header->incarnation;
	request.wanted = offer_for(e, &want, now_ms);
	out.count = 0;
	if (e->phase == ENTRY_RUNNING && request.wanted.connections > 0)
		out.count = lending_grant(e->lend->table, serves, e, &request,
		    e->lend->rotation, out.items, WIRE_TRANSFERS_MAX);
	e->lend->rotation += (unsigned int)out.count;
	if (out.count == 0)
		counter_inc_reason("lagoonpin_lend_refused", "nothing_spare");
	else
		counter_inc_reason("lagoonpin_lend_granted", "wanted");
	strlcpy(out.service, want.service, sizeof(out.service));
	out.load = own_load(e, want.service, now_ms);
	if (borrow_send(e, header->from, WIRE_CREDITS, &out))
		return;
	for (i = 0; i < out.count; i++)
		credit_give_cancel(e->lend->table, header->from, &out.items[i]);
}

/* Response to a request; if calls still wait, ask another peer. */
static void
on_response(struct entry *e, const struct wire_header *header,
    const struct wire_transfers *in)
{
	struct lend_demand *d;
	int64_t now_ms;
	size_t i, k;

	now_ms = clock_now_ms();
	member_set_load(mesh_members(e), header->from, in->load.held,
	    in->load.needed, now_ms);
	for (i = 0; i < e->lend->ndemands; i++) {
		d = &e->lend->demands[i];
		if (d->asked_ms == 0 || strcmp(d->service, in->service) != 0)
			continue;
		d->asked_ms = 0;
		for (k = 0; k < in->count; k++)
			d->waiting -= d->kind == CREDIT_CALL ?
			    in->items[k].amount.slots :
			    in->items[k].amount.connections;
		if (d->waiting < 0)
			d->waiting = 0;
		if (d->waiting > 0 &&
		    now_ms - d->reported_ms <= WAITING_MAX_MS) {
			d->next_ask_ms = 0;
			request_credits(e, d, now_ms);
		}
	}
}

static void
on_credits(struct entry *e, const struct wire_header *header,
    const void *payload, size_t len, void *ctx)
{
	static struct wire_transfers in;
	struct credit_origin origin;
	enum credit_error error;
	size_t stale;

	(void)ctx;
	if (wire_decode_transfers(payload, len, &in) != WIRE_OK)
		return;
	origin.from = header->from;
	origin.incarnation = header->incarnation;
	origin.sequence = header->sequence;
	origin.to_incarnation = header->to_incarnation;
	error =
	    credit_receive(e->lend->table, &origin, in.items, in.count, &stale);
	if (error != CREDIT_OK) {
		counter_inc_reason(
		    "lagoonpin_lend_refused", credit_strerror(error));
		return;
	}
	if (stale > 0)
		counter_add(counter_get("lagoonpin_lend_refused",
				"reason=\"old_epoch\""),
		    stale);
	if (in.service[0] != '\0')
		on_response(e, header, &in);
}
