#ifndef MESH_H
#define MESH_H

#include "lagoonpind.h"
#include "member.h"
#include "peer.h"
#include "refused.h"
#include "wire.h"

/* Shared by mesh.c, registry.c, registry_parse.c, seed.c and entries.c. */

enum registry_step {
	REGISTRY_NONE, /* no lease */
	REGISTRY_BUSY, /* a store request is in flight */
	REGISTRY_LEASED, /* lease granted, key not known to be written */
	REGISTRY_WRITTEN /* key written under the lease */
};

struct registry {
	struct watch_handler watch;
	enum registry_step step;
	int64_t lease; /* 0: none */
	int64_t key_revision; /* of this entry's key, as last seen; 0: none */
	int64_t next_ms; /* no store request before */
	bool replaced; /* a later incarnation of this entry is registered */
	bool revoking;
	struct refused refused; /* records that can't be used */
};

struct mesh_handler_entry {
	mesh_handler *handler;
	void *ctx;
};

struct mesh {
	struct entry *entry;
	struct members *members;
	struct peer *peer;
	struct mesh_handler_entry handlers[WIRE_TYPE_END];
	struct registry registry;
	uint64_t sequence;
	int64_t next_ms;
	bool seeding; /* connections of seed.c are open */
	int64_t left_ms; /* when MEMBER_LEFT was announced; 0: not yet */
};

void registry_open(struct mesh *);
void registry_tick(struct mesh *, int64_t now_ms);
/* Revoke the lease, which deletes the key: this entry has left. */
void registry_leave(struct mesh *);

/*
 * Reads what another entry registered under its id.  Returns NULL, or the name
 * of the field that can't be used.
 */
const char *registry_parse(const char *id, const char *text, size_t len,
    struct member_record *, char *listen, size_t size);

/* Contact seed addresses while no peer is known; run each heartbeat. */
void seed_tick(struct mesh *);

bool entries_http(struct entry *, struct httpd_request *);

#endif /* MESH_H */
