#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "response_cache.h"

#define TABLE_SIZE 1024

struct entry {
	LIST_ENTRY(entry) link;
	TAILQ_ENTRY(entry) age_link;
	uint64_t hash;
	int64_t stored_ms;
	size_t bytes;
	int status;
	char *id;
	char *type;
	char *body;
	size_t len;
};

LIST_HEAD(entry_list, entry);
TAILQ_HEAD(entry_queue, entry);

struct response_cache {
	struct response_cache_options o;
	struct entry_list table[TABLE_SIZE];
	struct entry_queue by_age; /* oldest first */
	size_t nentries;
	size_t bytes;
};

static struct entry_list *hash_chain(struct response_cache *, const char *);
static struct entry *find_entry(
    struct response_cache *, const char *, uint64_t);
static void entry_free(struct response_cache *, struct entry *);
static void evict(struct response_cache *, size_t, int64_t);

static struct entry_list *
hash_chain(struct response_cache *cache, const char *id)
{
	return &cache->table[XXH64(id, strlen(id), 0) % TABLE_SIZE];
}

struct response_cache *
response_cache_open(const struct response_cache_options *o)
{
	struct response_cache *cache;
	int i;

	if ((cache = calloc(1, sizeof(*cache))) == NULL)
		return NULL;
	cache->o = *o;
	for (i = 0; i < TABLE_SIZE; i++)
		LIST_INIT(&cache->table[i]);
	TAILQ_INIT(&cache->by_age);
	return cache;
}

void
response_cache_close(struct response_cache *cache)
{
	struct entry *entry, *next;

	for (entry = TAILQ_FIRST(&cache->by_age); entry != NULL; entry = next) {
		next = TAILQ_NEXT(entry, age_link);
		entry_free(cache, entry);
	}
	free(cache);
}

uint64_t
response_cache_hash(const struct response_cache_key *key)
{
	uint64_t hash;

	/* The NULs are hashed too, so that adjacent strings stay distinct. */
	hash = XXH64(key->id, strlen(key->id) + 1, 0);
	hash = XXH64(key->team, strlen(key->team) + 1, hash);
	hash = XXH64(key->service, strlen(key->service) + 1, hash);
	return XXH64(key->len > 0 ? key->body : "", key->len, hash);
}

static struct entry *
find_entry(struct response_cache *cache, const char *id, uint64_t hash)
{
	struct entry *entry;

	LIST_FOREACH (entry, hash_chain(cache, id), link) {
		if (entry->hash == hash && strcmp(entry->id, id) == 0)
			return entry;
	}
	return NULL;
}

static void
entry_free(struct response_cache *cache, struct entry *entry)
{
	LIST_REMOVE(entry, link);
	TAILQ_REMOVE(&cache->by_age, entry, age_link);
	cache->nentries--;
	cache->bytes -= entry->bytes;
	free(entry->id);
	free(entry->type);
	free(entry->body);
	free(entry);
}

static void
evict(struct response_cache *cache, size_t bytes, int64_t now_ms)
{
	struct entry *entry, *next;

	for (entry = TAILQ_FIRST(&cache->by_age); entry != NULL; entry = next) {
		next = TAILQ_NEXT(entry, age_link);
		if (now_ms - entry->stored_ms < cache->o.keep_ms &&
		    cache->nentries < cache->o.entries_max &&
		    cache->bytes + bytes <= cache->o.bytes_max)
			return;
		entry_free(cache, entry);
	}
}

void
response_cache_put(struct response_cache *cache, const char *id, uint64_t hash,
    const struct cached_response *a, int64_t now_ms)
{
	struct entry *entry;
	size_t bytes;

	bytes = sizeof(*entry) + strlen(id) + strlen(a->type) + a->len;
	if (bytes > cache->o.bytes_max || find_entry(cache, id, hash) != NULL)
		return;
	evict(cache, bytes, now_ms);
	if ((entry = calloc(1, sizeof(*entry))) == NULL)
		return;
	entry->id = strdup(id);
	entry->type = strdup(a->type);
	entry->body = malloc(a->len + 1);
	if (entry->id == NULL || entry->type == NULL || entry->body == NULL)
		goto fail;
	memcpy(entry->body, a->body, a->len);
	entry->len = a->len;
	entry->hash = hash;
	entry->status = a->status;
	entry->stored_ms = now_ms;
	entry->bytes = bytes;
	LIST_INSERT_HEAD(hash_chain(cache, id), entry, link);
	TAILQ_INSERT_TAIL(&cache->by_age, entry, age_link);
	cache->nentries++;
	cache->bytes += bytes;
	return;

fail:
	free(entry->id);
	free(entry->type);
	free(entry->body);
	free(entry);
}

int
response_cache_get(struct response_cache *cache, const char *id, uint64_t hash,
    int64_t now_ms, struct cached_response *a)
{
	struct entry *entry;

	if ((entry = find_entry(cache, id, hash)) == NULL ||
	    now_ms - entry->stored_ms >= cache->o.keep_ms)
		return -1;
	a->status = entry->status;
	a->type = entry->type;
	a->body = entry->body;
	a->len = entry->len;
	return 0;
}
