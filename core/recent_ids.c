#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "recent_ids.h"

struct mark {
	uint64_t hash; /* 0: empty */
	int64_t sent_ms;
};

struct recent_ids {
	struct recent_ids_options o;
	struct mark *marks;
};

static uint64_t hash_of(const char *);

static uint64_t
hash_of(const char *id)
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
	r->marks = calloc(o->ids_max, sizeof(*r->marks));
	if (r->marks == NULL) {
		free(r);
		return NULL;
	}
	return r;
}

void
recent_ids_close(struct recent_ids *r)
{
	free(r->marks);
	free(r);
}

void
recent_ids_add(struct recent_ids *r, const char *id, int64_t now_ms)
{
	struct mark *m;
	uint64_t hash;

	hash = hash_of(id);
	m = &r->marks[hash & (r->o.ids_max - 1)];
	m->hash = hash;
	m->sent_ms = now_ms;
}

bool
recent_ids_has(const struct recent_ids *r, const char *id, int64_t now_ms)
{
	const struct mark *m;
	uint64_t hash;

	hash = hash_of(id);
	m = &r->marks[hash & (r->o.ids_max - 1)];
	return m->hash == hash && now_ms - m->sent_ms < r->o.keep_ms;
}
