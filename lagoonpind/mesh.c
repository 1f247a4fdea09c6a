#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "mesh.h"
#include "wireconf.h"

/*
 * The other entries: membership, messages to and from them, and the exchange of
 * configuration records.
 */

/*
 * Records in a heartbeat: 667 bytes a message at 80 entries, of which each
 * sends two a second (bench/gossip_cost.c).
 */
#define DIGEST_RECORDS 16
#define FORGET_MS 600000
#define QUEUE_MAX 128 /* messages queued for a peer, in each direction */
/*
 * TCP keep-alive probes are sent on each connection, two connections for each
 * other entry: at 80 entries, a shorter interval than two minutes would cost
 * more than the heartbeats.
 */
#define KEEPALIVE_S 120
/* From the announcement of leaving to the close of the sockets. */
#define LEAVE_LINGER_MS 300

static int mesh_open(struct entry *);
static void mesh_tick(struct entry *, int64_t);
static void mesh_vm_changed(struct entry *, struct vm *, enum fleet_change);
static void mesh_drain(struct entry *, int64_t);
static bool mesh_drained(const struct entry *);
static void mesh_close(struct entry *);
static bool open_members(struct mesh *);
static bool open_sockets(struct mesh *);
static bool other_modules_drained(const struct entry *);
static void update_self(struct mesh *, int64_t);
static void on_send(
    const struct member *, const struct member_digest *, void *);
static void on_paused(int64_t, void *);
static void on_message(const void *, size_t, void *);
static bool is_old_incarnation(const struct mesh *, const struct wire_header *);
static void on_gossip(
    struct entry *, const struct wire_header *, const void *, size_t, void *);
static void on_config(
    struct entry *, const struct wire_header *, const void *, size_t, void *);
static void send_config(struct mesh *, const struct member_record *);

const struct module mesh_module = {
	.name = "mesh",
	.open = mesh_open,
	.tick = mesh_tick,
	.http = entries_http,
	.vm_changed = mesh_vm_changed,
	.drain = mesh_drain,
	.drained = mesh_drained,
	.close = mesh_close,
};

static int
mesh_open(struct entry *e)
{
	struct mesh *mesh;

	if ((mesh = calloc(1, sizeof(*mesh))) == NULL)
		return -1;
	mesh->entry = e;
	e->mesh = mesh;
	if (!open_members(mesh) || !open_sockets(mesh)) {
		member_close(mesh->members);
		free(mesh);
		e->mesh = NULL;
		return -1;
	}
	mesh_handle(e, WIRE_GOSSIP, on_gossip, NULL);
	mesh_handle(e, WIRE_CONFIG, on_config, NULL);
	registry_open(mesh);
	return 0;
}

static bool
open_members(struct mesh *mesh)
{
	const struct options *opt = &mesh->entry->opt;
	struct member_options o;

	memset(&o, 0, sizeof(o));
	strlcpy(o.self.id, opt->id, sizeof(o.self.id));
	strlcpy(
	    o.self.data_center, opt->data_center, sizeof(o.self.data_center));
	snprintf(o.self.address, sizeof(o.self.address), "%s:%d", opt->peer.ip,
	    opt->peer.port);
	o.self.incarnation = mesh->entry->incarnation;
	o.fanout = (int)opt->fanout;
	o.heartbeat_ms = opt->heartbeat_ms;
	o.silence_ms = opt->silence_ms;
	o.pause_ms = opt->silence_ms / 2;
	if (o.pause_ms < 2 * opt->heartbeat_ms)
		o.pause_ms = 2 * opt->heartbeat_ms;
	o.forget_ms = FORGET_MS;
	o.digest_max = DIGEST_RECORDS;
	o.seed = (unsigned long)opt->seed;
	o.on_send = on_send;
	o.on_paused = on_paused;
	o.ctx = mesh;
	mesh->members = member_open(&o, clock_now_ms());
	return mesh->members != NULL;
}

static bool
open_sockets(struct mesh *mesh)
{
	const struct options *opt = &mesh->entry->opt;
	struct peer_options o;
	enum peer_error error;

	memset(&o, 0, sizeof(o));
	o.loop = &mesh->entry->loop;
	o.ip = opt->peer.ip;
	o.port = opt->peer.port;
	o.keepalive_s = opt->tcp_keepalive_s == 0 ? 0 : KEEPALIVE_S;
	o.retransmit_ms = (int)opt->silence_ms;
	o.queue_max = QUEUE_MAX;
	o.message_max = WIRE_MESSAGE_MAX;
	o.on_message = on_message;
	o.ctx = mesh;
	if ((mesh->peer = peer_open(&o, &error)) == NULL)
		log_error("peer_socket", "address=%s:%d reason=%s",
		    opt->peer.ip, opt->peer.port, peer_strerror(error));
	return mesh->peer != NULL;
}

static void
update_self(struct mesh *mesh, int64_t now_ms)
{
	struct member_record *self;
	struct lending_load load;
	struct entry *e;

	e = mesh->entry;
	self = member_self(mesh->members);
	self->store_answers = store_reachable(e->store, now_ms);
	self->revision = (uint64_t)conf_revision(entry_conf(e));
	memset(&load, 0, sizeof(load));
	self->spare_connections = 0;
	if (e->lend != NULL && e->phase == ENTRY_RUNNING) {
		load = lend_load(e);
		self->spare_connections = lend_spare(e).connections;
	}
	self->held_slots = load.held;
	self->needed_slots = load.needed;
	if (e->phase != ENTRY_RUNNING && self->state == MEMBER_ALIVE)
		self->state = MEMBER_LEAVING;
}

static void
mesh_tick(struct entry *e, int64_t now_ms)
{
	struct mesh *mesh = e->mesh;

	registry_tick(mesh, now_ms);
	if (now_ms < mesh->next_ms)
		return;
	mesh->next_ms = now_ms + e->opt.heartbeat_ms;
	update_self(mesh, now_ms);
	member_tick(mesh->members, now_ms);
	seed_tick(mesh);
	counter_set(counter_get("lagoonpin_members", ""),
	    (uint64_t)member_count(mesh->members) + 1);
}

static void
mesh_vm_changed(struct entry *e, struct vm *vm, enum fleet_change change)
{
	enum member_vm state;

	(void)change;
	if (vm->info.kind != VM_ENTRY)
		return;
	state = MEMBER_VM_LIVE;
	if (vm->info.state == VM_LEAVING)
		state = MEMBER_VM_LEAVING;
	else if (vm->info.state == VM_GONE)
		state = MEMBER_VM_GONE;
	member_set_vm(mesh_members(e), vm->info.id, state, clock_now_ms());
}

/* Announces to all members at once that this entry is leaving. */
static void
mesh_drain(struct entry *e, int64_t now_ms)
{
	update_self(e->mesh, now_ms);
	member_announce(e->mesh->members, now_ms);
}

static bool
other_modules_drained(const struct entry *e)
{
	size_t i;

	for (i = 0; i < nmodules; i++) {
		if (modules[i] != &mesh_module && modules[i]->drained != NULL &&
		    !modules[i]->drained(e))
			return false;
	}
	return true;
}

/*
 * After all other modules have drained, announces MEMBER_LEFT, so that others
 * take over without waiting for silence, and leaves time to send it.
 */
static bool
mesh_drained(const struct entry *e)
{
	struct mesh *mesh = e->mesh;
	int64_t now_ms;

	now_ms = clock_now_ms();
	if (mesh->left_ms == 0) {
		if (!other_modules_drained(e))
			return false;
		mesh->left_ms = now_ms;
		member_self(mesh->members)->state = MEMBER_LEFT;
		member_announce(mesh->members, now_ms);
		registry_leave(mesh);
	}
	return now_ms - mesh->left_ms >= LEAVE_LINGER_MS;
}

/* Keeps the struct: pending store callbacks run when the store closes. */
static void
mesh_close(struct entry *e)
{
	peer_close(e->mesh->peer);
	e->mesh->peer = NULL;
}

struct members *
mesh_members(const struct entry *e)
{
	return e->mesh->members;
}

void
mesh_handle(
    struct entry *e, enum wire_type type, mesh_handler *handler, void *ctx)
{
	e->mesh->handlers[type].handler = handler;
	e->mesh->handlers[type].ctx = ctx;
}

bool
mesh_send(struct entry *e, const char *id, enum wire_type type,
    const void *payload, size_t len)
{
	const struct member *member;
	struct mesh *mesh = e->mesh;
	struct wire_header header;
	msgpack_sbuffer out;
	bool sent;

	member = member_find(mesh->members, id);
	if (mesh->peer == NULL || member == NULL)
		return false;
	memset(&header, 0, sizeof(header));
	header.type = type;
	strlcpy(header.from, e->opt.id, sizeof(header.from));
	header.incarnation = e->incarnation;
	header.to_incarnation = member->record.incarnation;
	header.sequence = ++mesh->sequence;
	msgpack_sbuffer_init(&out);
	sent = wire_encode(&out, &header, payload, len) == WIRE_OK &&
	    peer_connect(mesh->peer, id, member->record.address) == PEER_OK &&
	    peer_send(mesh->peer, id, out.data, out.size) == PEER_OK;
	if (sent)
		counter_add(
		    counter_get("lagoonpin_peer_sent_bytes", ""), out.size);
	msgpack_sbuffer_destroy(&out);
	return sent;
}

static void
on_send(const struct member *to, const struct member_digest *digest, void *ctx)
{
	struct mesh *mesh = ctx;
	msgpack_sbuffer payload;

	msgpack_sbuffer_init(&payload);
	if (wire_encode_digest(&payload, digest) == WIRE_OK)
		mesh_send(mesh->entry, to->record.id, WIRE_GOSSIP, payload.data,
		    payload.size);
	msgpack_sbuffer_destroy(&payload);
}

static void
on_paused(int64_t gap_ms, void *ctx)
{
	(void)ctx;
	log_warn("paused", "gap_ms=%lld", (long long)gap_ms);
	counter_inc("lagoonpin_pauses", "");
}

static bool
is_old_incarnation(const struct mesh *mesh, const struct wire_header *header)
{
	const struct member *member;

	member = member_find(mesh->members, header->from);
	return member != NULL &&
	    header->incarnation < member->record.incarnation;
}

static void
on_message(const void *data, size_t len, void *ctx)
{
	struct mesh *mesh = ctx;
	struct wire_header header;
	const void *payload;
	size_t payload_len;

	counter_add(counter_get("lagoonpin_peer_received_bytes", ""), len);
	if (wire_decode(data, len, &header, &payload, &payload_len) != WIRE_OK)
		return;
	if (strcmp(header.from, mesh->entry->opt.id) == 0) {
		wire_refused("own_id");
		return;
	}
	/* A replaced process runs on until it learns of its successor. */
	if (is_old_incarnation(mesh, &header)) {
		wire_refused("old_incarnation");
		return;
	}
	if (mesh->handlers[header.type].handler == NULL) {
		wire_refused("unhandled_type");
		return;
	}
	mesh->handlers[header.type].handler(mesh->entry, &header, payload,
	    payload_len, mesh->handlers[header.type].ctx);
}

static void
on_gossip(struct entry *e, const struct wire_header *header,
    const void *payload, size_t len, void *ctx)
{
	static struct member_digest digest;

	(void)ctx;
	if (wire_decode_digest(payload, len, &digest) != WIRE_OK)
		return;
	if (digest.nrecords == 0 ||
	    strcmp(digest.records[0].id, header->from) != 0) {
		wire_refused("wrong_sender");
		return;
	}
	member_merge(mesh_members(e), &digest, clock_now_ms());
	send_config(e->mesh, &digest.records[0]);
}

/*
 * Sends a peer at a lower revision the records that it lacks.  A delta without
 * records is sent only to a peer that the store doesn't answer: others advance
 * with the next progress notification of their own watch.
 */
static void
send_config(struct mesh *mesh, const struct member_record *peer)
{
	const struct conf *conf;
	struct conf_delta delta;
	msgpack_sbuffer payload;

	conf = entry_conf(mesh->entry);
	if ((int64_t)peer->revision >= conf_revision(conf))
		return;
	if (conf_export(conf, (int64_t)peer->revision, &delta) != CONF_OK)
		return;
	msgpack_sbuffer_init(&payload);
	if (delta.n > 0 || !peer->store_answers) {
		if (wire_encode_config(&payload, &delta) != WIRE_OK)
			counter_inc_reason(
			    "lagoonpin_peer_dropped", "config_too_large");
		else if (mesh_send(mesh->entry, peer->id, WIRE_CONFIG,
			     payload.data, payload.size))
			counter_inc("lagoonpin_config_passed_on", "");
	}
	msgpack_sbuffer_destroy(&payload);
	conf_delta_free(&delta);
}

static void
on_config(struct entry *e, const struct wire_header *header,
    const void *payload, size_t len, void *ctx)
{
	struct conf_delta delta;
	enum conf_error error;
	int64_t before;
	char *storage;

	(void)ctx;
	before = conf_revision(entry_conf(e));
	if (wire_decode_config(payload, len, &delta, &storage) == WIRE_OK) {
		error = conf_import(entry_conf(e), &delta);
		if (error != CONF_OK && error != CONF_STALE)
			counter_inc_reason(
			    "lagoonpin_conf_refused", conf_strerror(error));
		if (conf_revision(entry_conf(e)) > before)
			log_info("conf_from_peer", "peer=%s revision=%lld",
			    header->from,
			    (long long)conf_revision(entry_conf(e)));
	}
	wire_config_free(&delta, storage);
}
