#ifndef MESH_H
#define MESH_H

#include "lagoonpind.h"
#include "member.h"
#include "peer.h"
#include "wire.h"

/* What mesh.c, registry.c and entries.c share. */

enum registry_step {
	REGISTRY_NONE, /* no lease */
	REGISTRY_BUSY, /* a call to the store is under way */
	REGISTRY_LEASED, /* a lease, but the key isn't known to be written */
	REGISTRY_WRITTEN /* the key is written under the lease */
};

struct registry {
	struct watch_handler watch;
	enum registry_step step;
	int64_t lease; /* 0: none */
	int64_t key_revision; /* of this entry's key, as last seen; 0: none */
	int64_t next_ms; /* for the next call */
	bool replaced; /* a later incarnation of this entry is registered */
	bool revoking;
};

struct mesh_handler_entry {
	mesh_handler *handler;
	void *ctx;
};

struct mesh {
	struct entry *entry;
	struct members *members;
	struct peer *peer;
	struct mesh_handler_entry slots[WIRE_TYPE_END];
	struct registry registry;
	uint64_t sequence;
	int64_t next_ms;
	bool seeding; /* connections of first contact are open */
	int64_t left_ms; /* when it said that it left; 0: not yet */
};

void registry_open(struct mesh *);
void registry_tick(struct mesh *, int64_t now_ms);
/* Delete the key with its lease: this entry has left. */
void registry_leave(struct mesh *);

/* Each heartbeat: first contact with peers, while none is known. */
void seed_tick(struct mesh *);

bool entries_http(struct entry *, struct httpd_request *);

#endif /* MESH_H */
