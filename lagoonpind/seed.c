#include <stdio.h>
#include <string.h>

#include "mesh.h"

/*
 * Seed addresses.  An entry normally finds its peers in the registry.  One that
 * starts while the store is unavailable would find none, have no configuration
 * and refuse all calls.  Until a peer is known, it therefore sends its own
 * record to the addresses of --peers and to the entry VMs of the VM list, at
 * its own peer port; an entry that receives it replies with gossip.
 */

#define SEED_ADDRESS_SIZE (SETTING_IP_SIZE + 16)

static void close_seed_connections(struct mesh *);
static void send_to_addresses(struct mesh *, const void *, size_t);
static void send_to_vms(struct mesh *, const void *, size_t);
static void send_seed(struct mesh *, const char *, int, const void *, size_t);

void
seed_tick(struct mesh *mesh)
{
	struct member_digest digest;
	struct wire_header header;
	msgpack_sbuffer payload, out;

	if (member_count(mesh->members) > 0) {
		if (mesh->seeding)
			close_seed_connections(mesh);
		return;
	}
	if (mesh->entry->phase != ENTRY_RUNNING)
		return;
	mesh->seeding = true;
	memset(&digest, 0, sizeof(digest));
	digest.nrecords = 1;
	digest.records[0] = *member_self(mesh->members);
	memset(&header, 0, sizeof(header));
	header.type = WIRE_GOSSIP;
	strlcpy(header.from, mesh->entry->opt.id, sizeof(header.from));
	header.incarnation = mesh->entry->incarnation;
	header.sequence = ++mesh->sequence;
	msgpack_sbuffer_init(&payload);
	msgpack_sbuffer_init(&out);
	if (wire_encode_digest(&payload, &digest) == WIRE_OK &&
	    wire_encode(&out, &header, payload.data, payload.size) == WIRE_OK) {
		send_to_addresses(mesh, out.data, out.size);
		send_to_vms(mesh, out.data, out.size);
	}
	msgpack_sbuffer_destroy(&payload);
	msgpack_sbuffer_destroy(&out);
}

static void
send_to_addresses(struct mesh *mesh, const void *data, size_t len)
{
	const struct setting_addresses *peers;
	size_t i;

	peers = &mesh->entry->opt.peers;
	for (i = 0; i < peers->n; i++)
		send_seed(mesh, peers->at[i].ip, peers->at[i].port, data, len);
}

static void
send_to_vms(struct mesh *mesh, const void *data, size_t len)
{
	struct vm *vm;

	TAILQ_FOREACH (vm, fleet_vms(mesh->entry->fleet), link) {
		if (vm->info.kind == VM_ENTRY && vm->info.state != VM_GONE)
			send_seed(mesh, vm->info.ip, mesh->entry->opt.peer.port,
			    data, len);
	}
}

static void
send_seed(
    struct mesh *mesh, const char *ip, int port, const void *data, size_t len)
{
	const struct setting_address *own;
	char address[SEED_ADDRESS_SIZE];

	own = &mesh->entry->opt.peer;
	if (port == own->port && strcmp(ip, own->ip) == 0)
		return;
	snprintf(address, sizeof(address), "%s:%d", ip, port);
	if (peer_connect(mesh->peer, address, address) == PEER_OK)
		peer_send(mesh->peer, address, data, len);
}

static void
close_seed_connections(struct mesh *mesh)
{
	const struct setting_addresses *peers;
	char address[SEED_ADDRESS_SIZE];
	struct vm *vm;
	size_t i;

	mesh->seeding = false;
	peers = &mesh->entry->opt.peers;
	for (i = 0; i < peers->n; i++) {
		snprintf(address, sizeof(address), "%s:%d", peers->at[i].ip,
		    peers->at[i].port);
		peer_disconnect(mesh->peer, address);
	}
	TAILQ_FOREACH (vm, fleet_vms(mesh->entry->fleet), link) {
		if (vm->info.kind != VM_ENTRY)
			continue;
		snprintf(address, sizeof(address), "%s:%d", vm->info.ip,
		    mesh->entry->opt.peer.port);
		peer_disconnect(mesh->peer, address);
	}
}
