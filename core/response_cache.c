#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "response_cache.h"

#define TABLE_SIZE 1024

struct item {
	LIST_ENTRY(item) link;
	TAILQ_ENTRY(item) age_link;
	uint64_t hash;
	int64_t stored_ms;
	size_t bytes;
	int status;
	char *id;
	char *type;
	char *body;
	size_t len;
};

LIST_HEAD(item_list, item);
TAILQ_HEAD(item_queue, item);

struct response_cache {
	struct response_cache_options o;
	struct item_list table[TABLE_SIZE];
	struct item_queue ages; /* oldest first */
	size_t answers;
	size_t bytes;
};

static struct item_list *list_of(struct response_cache *, const char *);
static struct item *find(struct response_cache *, const char *, uint64_t);
static void item_free(struct response_cache *, struct item *);
static void make_room(struct response_cache *, size_t, int64_t);

static struct item_list *
list_of(struct response_cache *k, const char *id)
{
	return &k->table[XXH64(id, strlen(id), 0) % TABLE_SIZE];
}

struct response_cache *
response_cache_open(const struct response_cache_options *o)
{
	struct response_cache *k;
	int i;

	if ((k = calloc(1, sizeof(*k))) == NULL)
		return NULL;
	k->o = *o;
	for (i = 0; i < TABLE_SIZE; i++)
		LIST_INIT(&k->table[i]);
	TAILQ_INIT(&k->ages);
	return k;
}

void
response_cache_close(struct response_cache *k)
{
	struct item *it, *next;

	for (it = TAILQ_FIRST(&k->ages); it != NULL; it = next) {
		next = TAILQ_NEXT(it, age_link);
		item_free(k, it);
	}
	free(k);
}

uint64_t
response_cache_hash(const struct response_cache_key *key)
{
	uint64_t hash;

	/* With the NULs, so that the parts can't run into each other. */
	hash = XXH64(key->id, strlen(key->id) + 1, 0);
	hash = XXH64(key->team, strlen(key->team) + 1, hash);
	hash = XXH64(key->service, strlen(key->service) + 1, hash);
	return XXH64(key->len > 0 ? key->body : "", key->len, hash);
}

static struct item *
find(struct response_cache *k, const char *id, uint64_t hash)
{
	struct item *it;

	LIST_FOREACH (it, list_of(k, id), link) {
		if (it->hash == hash && strcmp(it->id, id) == 0)
			return it;
	}
	return NULL;
}

static void
item_free(struct response_cache *k, struct item *it)
{
	LIST_REMOVE(it, link);
	TAILQ_REMOVE(&k->ages, it, age_link);
	k->answers--;
	k->bytes -= it->bytes;
	free(it->id);
	free(it->type);
	free(it->body);
	free(it);
}

static void
make_room(struct response_cache *k, size_t bytes, int64_t now_ms)
{
	struct item *it, *next;

	for (it = TAILQ_FIRST(&k->ages); it != NULL; it = next) {
		next = TAILQ_NEXT(it, age_link);
		if (now_ms - it->stored_ms < k->o.keep_ms &&
		    k->answers < k->o.entries_max &&
		    k->bytes + bytes <= k->o.bytes_max)
			return;
		item_free(k, it);
	}
}

void
response_cache_put(struct response_cache *k, const char *id, uint64_t hash,
    const struct cached_response *a, int64_t now_ms)
{
	struct item *it;
	size_t bytes;

	bytes = sizeof(*it) + strlen(id) + strlen(a->type) + a->len;
	if (bytes > k->o.bytes_max || find(k, id, hash) != NULL)
		return;
	make_room(k, bytes, now_ms);
	if ((it = calloc(1, sizeof(*it))) == NULL)
		return;
	it->id = strdup(id);
	it->type = strdup(a->type);
	it->body = malloc(a->len + 1);
	if (it->id == NULL || it->type == NULL || it->body == NULL)
		goto fail;
	memcpy(it->body, a->body, a->len);
	it->len = a->len;
	it->hash = hash;
	it->status = a->status;
	it->stored_ms = now_ms;
	it->bytes = bytes;
	LIST_INSERT_HEAD(list_of(k, id), it, link);
	TAILQ_INSERT_TAIL(&k->ages, it, age_link);
	k->answers++;
	k->bytes += bytes;
	return;

fail:
	free(it->id);
	free(it->type);
	free(it->body);
	free(it);
}

int
response_cache_get(struct response_cache *k, const char *id, uint64_t hash,
    int64_t now_ms, struct cached_response *a)
{
	struct item *it;

	if ((it = find(k, id, hash)) == NULL ||
	    now_ms - it->stored_ms >= k->o.keep_ms)
		return -1;
	a->status = it->status;
	a->type = it->type;
	a->body = it->body;
	a->len = it->len;
	return 0;
}
