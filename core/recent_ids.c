#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "recent_ids.h"

struct sent_id {
	uint64_t hash; /* 0: empty */
	int64_t sent_ms;
};

struct recent_ids {
	struct recent_ids_options o;
	struct sent_id *table;
};

static uint64_t id_hash(const char *);

static uint64_t
id_hash(const char *id)
{
	uint64_t hash;

	hash = XXH64(id, strlen(id), 0);
	return hash != 0 ? hash : 1;
}

struct recent_ids *
recent_ids_open(const struct recent_ids_options *o)
{
	struct recent_ids *r;

	if ((r = calloc(1, sizeof(*r))) == NULL)
		return NULL;
	r->o = *o;
	r->table = calloc(o->ids_max, sizeof(*r->table));
	if (r->table == NULL) {
		free(r);
		return NULL;
	}
	return r;
}

void
recent_ids_close(struct recent_ids *r)
{
	free(r->table);
	free(r);
}

void
recent_ids_add(struct recent_ids *r, const char *id, int64_t now_ms)
{
	struct sent_id *sent;
	uint64_t hash;

	hash = id_hash(id);
	sent = &r->table[hash & (r->o.ids_max - 1)];
	sent->hash = hash;
	sent->sent_ms = now_ms;
}

bool
recent_ids_has(const struct recent_ids *r, const char *id, int64_t now_ms)
{
	const struct sent_id *sent;
	uint64_t hash;

	hash = id_hash(id);
	sent = &r->table[hash & (r->o.ids_max - 1)];
	return sent->hash == hash && now_ms - sent->sent_ms < r->o.keep_ms;
}
