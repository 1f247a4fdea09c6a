#include <sys/queue.h>
#include <sys/tree.h>

#include <stdlib.h>
#include <string.h>

#include "member.h"
#include "member_int.h"

static int compare_members(const struct member *, const struct member *);
static int compare_shards(const struct shard_node *, const struct shard_node *);
static struct member *find(const struct members *, const char *);
static struct member *add(struct members *, const char *, int64_t);
static bool probe_timed_out(
    const struct members *, const struct member *, int64_t);
static void set_heard(struct members *, struct member *, int64_t);
static void merge_details(
    struct member *, const struct member_record *, int64_t);
static void merge_record(
    struct members *, const struct member_record *, int64_t);
static struct shard_node *shard_find(const struct members *, const char *);
static void shard_set(struct members *, const char *, const char *, uint64_t);

RB_GENERATE_INTERNAL(
    member_tree, member, node, compare_members, __attribute__((unused)) static)
RB_GENERATE_INTERNAL(shard_tree, shard_node, node, compare_shards,
    __attribute__((unused)) static)

static int
compare_members(const struct member *a, const struct member *b)
{
	return strcmp(a->record.id, b->record.id);
}

static int
compare_shards(const struct shard_node *a, const struct shard_node *b)
{
	return strcmp(a->shard.shard, b->shard.shard);
}

struct members *
member_open(const struct member_options *options, int64_t now_ms)
{
	struct members *m;

	if (options->self.id[0] == '\0' || options->fanout < 1 ||
	    options->digest_max < 1 || options->digest_max > MEMBER_DIGEST_MAX)
		return NULL;
	if ((m = calloc(1, sizeof(*m))) == NULL)
		return NULL;
	if ((m->rng = gsl_rng_alloc(gsl_rng_taus2)) == NULL) {
		free(m);
		return NULL;
	}
	gsl_rng_set(m->rng, options->seed);
	m->options = *options;
	m->self = options->self;
	m->self.has_details = true;
	m->ticked_ms = now_ms;
	m->loaded_ms = -1;
	RB_INIT(&m->tree);
	RB_INIT(&m->shards);
	TAILQ_INIT(&m->heard);
	TAILQ_INIT(&m->rotation);
	TAILQ_INIT(&m->shard_rotation);
	return m;
}

void
member_close(struct members *m)
{
	struct shard_node *node;

	if (m == NULL)
		return;
	while (m->count > 0)
		member_drop(m, m->array[0]);
	while ((node = TAILQ_FIRST(&m->shard_rotation)) != NULL) {
		TAILQ_REMOVE(&m->shard_rotation, node, rotation);
		free(node);
	}
	free(m->array);
	gsl_rng_free(m->rng);
	free(m);
}

static struct member *
find(const struct members *m, const char *id)
{
	struct member key;

	if (strlcpy(key.record.id, id, sizeof(key.record.id)) >=
	    sizeof(key.record.id))
		return NULL;
	return RB_FIND(member_tree, (struct member_tree *)&m->tree, &key);
}

static struct member *
add(struct members *m, const char *id, int64_t now_ms)
{
	struct member **array, *member;
	size_t room;

	if (m->count == m->capacity) {
		room = m->capacity == 0 ? 16 : m->capacity * 2;
		array = reallocarray(m->array, room, sizeof(struct member *));
		if (array == NULL)
			return NULL;
		m->array = array;
		m->capacity = room;
	}
	if ((member = calloc(1, sizeof(*member))) == NULL)
		return NULL;
	strlcpy(member->record.id, id, sizeof(member->record.id));
	member->heard_ms = now_ms;
	member->index = m->count;
	m->array[m->count++] = member;
	RB_INSERT(member_tree, &m->tree, member);
	TAILQ_INSERT_HEAD(&m->heard, member, heard);
	/* At the head, so that a new member is passed on soon. */
	TAILQ_INSERT_HEAD(&m->rotation, member, rotation);
	return member;
}

void
member_drop(struct members *m, struct member *member)
{
	struct member *last;

	last = m->array[--m->count];
	m->array[member->index] = last;
	last->index = member->index;
	RB_REMOVE(member_tree, &m->tree, member);
	TAILQ_REMOVE(&m->heard, member, heard);
	TAILQ_REMOVE(&m->rotation, member, rotation);
	free(member);
}

bool
member_silent(
    const struct members *m, const struct member *member, int64_t now_ms)
{
	return now_ms - member->heard_ms >= m->options.silence_ms;
}

bool
member_unregistered_or_gone(
    const struct members *m, const struct member *member)
{
	if (member->vm == MEMBER_VM_GONE)
		return true;
	return !member->registered &&
	    (member->was_registered || m->loaded_ms >= 0);
}

static void
set_heard(struct members *m, struct member *member, int64_t now_ms)
{
	member->heard_ms = now_ms;
	member->probed_ms = 0;
	TAILQ_REMOVE(&m->heard, member, heard);
	TAILQ_INSERT_HEAD(&m->heard, member, heard);
}

/*
 * Details have a counter of their own: short records may have advanced the
 * member's counter past that of its latest details.
 */
static void
merge_details(
    struct member *member, const struct member_record *record, int64_t now_ms)
{
	struct member_record *known;

	if (!record->has_details || record->counter <= member->details_counter)
		return;
	known = &member->record;
	member->details_counter = record->counter;
	member->load_ms = now_ms;
	known->has_details = true;
	known->revision = record->revision;
	known->held_slots = record->held_slots;
	known->needed_slots = record->needed_slots;
	known->spare_connections = record->spare_connections;
	memcpy(known->address, record->address, sizeof(known->address));
	memcpy(known->data_center, record->data_center,
	    sizeof(known->data_center));
}

static void
merge_record(
    struct members *m, const struct member_record *record, int64_t now_ms)
{
	struct member_record *known;
	struct member *member;

	if (strcmp(record->id, m->self.id) == 0)
		return;
	member = find(m, record->id);
	if (member == NULL && record->has_details)
		member = add(m, record->id, now_ms);
	if (member == NULL)
		return;
	known = &member->record;
	if (record->incarnation < known->incarnation)
		return;
	if (record->incarnation > known->incarnation) {
		known->incarnation = record->incarnation;
		known->counter = 0;
		member->details_counter = 0;
	}
	merge_details(member, record, now_ms);
	if (record->counter <= known->counter)
		return;
	known->counter = record->counter;
	known->state = record->state;
	known->store_answers = record->store_answers;
	set_heard(m, member, now_ms);
}

void
member_merge(
    struct members *m, const struct member_digest *digest, int64_t now_ms)
{
	size_t i;

	for (i = 0; i < digest->nrecords; i++)
		merge_record(m, &digest->records[i], now_ms);
	for (i = 0; i < digest->nshards; i++)
		shard_set(m, digest->shards[i].shard, digest->shards[i].owner,
		    digest->shards[i].epoch);
	/*
	 * Messages that were queued in the sockets during a pause are out of
	 * date and don't end it; they are read right after it.
	 */
	if (now_ms - m->paused_ms >= m->options.heartbeat_ms)
		m->rejoin_ms = 0;
	if (digest->probe && digest->nrecords > 0)
		gossip_send(m, find(m, digest->records[0].id), false, now_ms);
}

bool
member_may_act(const struct members *m, int64_t now_ms)
{
	if (now_ms - m->ticked_ms >= m->options.pause_ms)
		return false;
	return now_ms >= m->rejoin_ms;
}

void
member_registry_update(struct members *m, const struct member_record *record,
    const char *listen, int64_t now_ms)
{
	struct member_record *known;
	struct member *member;

	if (strcmp(record->id, m->self.id) == 0)
		return;
	if ((member = find(m, record->id)) == NULL)
		member = add(m, record->id, now_ms);
	if (member == NULL || record->incarnation < member->record.incarnation)
		return;
	known = &member->record;
	if (record->incarnation > known->incarnation) {
		known->incarnation = record->incarnation;
		known->counter = 0;
		known->state = MEMBER_ALIVE;
		member->details_counter = 0;
		set_heard(m, member, now_ms);
	}
	memcpy(known->address, record->address, sizeof(known->address));
	memcpy(known->data_center, record->data_center,
	    sizeof(known->data_center));
	strlcpy(member->listen, listen, sizeof(member->listen));
	member->registered = true;
	member->was_registered = true;
	member->listed = true;
}

void
member_registry_remove(struct members *m, const char *id, int64_t now_ms)
{
	struct member *member;

	if ((member = find(m, id)) == NULL)
		return;
	member->registered = false;
	if (now_ms - member->heard_ms > m->options.heartbeat_ms)
		gossip_probe(m, member, now_ms);
}

void
member_registry_begin(struct members *m)
{
	struct member *member;

	TAILQ_FOREACH (member, &m->heard, heard)
		member->listed = false;
}

void
member_registry_loaded(struct members *m, int64_t now_ms)
{
	struct member *member;

	TAILQ_FOREACH (member, &m->heard, heard) {
		if (member->registered && !member->listed)
			member_registry_remove(m, member->record.id, now_ms);
	}
	if (m->loaded_ms < 0)
		m->loaded_ms = now_ms;
}

void
member_set_load(
    struct members *m, const char *id, int held, int needed, int64_t now_ms)
{
	struct member *member;

	if ((member = find(m, id)) == NULL)
		return;
	member->record.held_slots = held;
	member->record.needed_slots = needed;
	member->load_ms = now_ms;
}

void
member_set_vm(
    struct members *m, const char *id, enum member_vm vm, int64_t now_ms)
{
	struct member *member;

	if ((member = find(m, id)) == NULL)
		return;
	member->vm = vm;
	if (vm == MEMBER_VM_GONE &&
	    now_ms - member->heard_ms > m->options.heartbeat_ms)
		gossip_probe(m, member, now_ms);
}

static bool
probe_timed_out(
    const struct members *m, const struct member *member, int64_t now_ms)
{
	return member->probed_ms != 0 &&
	    now_ms - member->probed_ms >= m->options.heartbeat_ms;
}

struct member_verdict
member_evaluate(const struct members *m, const char *id, uint64_t incarnation,
    int64_t now_ms)
{
	struct member_verdict verdict;
	const struct member *member;
	bool loaded, replaced;

	memset(&verdict, 0, sizeof(verdict));
	if (strcmp(id, m->self.id) == 0) {
		if (incarnation != 0 && incarnation < m->self.incarnation)
			verdict.state = MEMBER_DEAD;
		return verdict;
	}
	loaded =
	    m->loaded_ms >= 0 && now_ms - m->loaded_ms >= m->options.silence_ms;
	if ((member = find(m, id)) == NULL) {
		verdict.gossip_silent = true;
		verdict.registry_lapsed = m->loaded_ms >= 0;
		verdict.state = loaded ? MEMBER_DEAD : MEMBER_SUSPECT;
		return verdict;
	}
	verdict.vm = member->vm;
	verdict.silent_ms = now_ms - member->heard_ms;
	verdict.gossip_silent = member_silent(m, member, now_ms);
	verdict.registry_lapsed =
	    !member->registered && member_unregistered_or_gone(m, member);
	verdict.state = member->record.state;
	replaced = incarnation != 0 && incarnation < member->record.incarnation;
	if (verdict.state == MEMBER_LEFT && !replaced)
		return verdict;
	if (replaced ||
	    (verdict.gossip_silent && member_unregistered_or_gone(m, member) &&
		probe_timed_out(m, member, now_ms)))
		verdict.state = MEMBER_DEAD;
	else if (verdict.gossip_silent)
		verdict.state = MEMBER_SUSPECT;
	return verdict;
}

struct member_record *
member_self(struct members *m)
{
	return &m->self;
}

static struct shard_node *
shard_find(const struct members *m, const char *shard)
{
	struct shard_node key;

	if (strlcpy(key.shard.shard, shard, sizeof(key.shard.shard)) >=
	    sizeof(key.shard.shard))
		return NULL;
	return RB_FIND(shard_tree, (struct shard_tree *)&m->shards, &key);
}

static void
shard_set(
    struct members *m, const char *shard, const char *owner, uint64_t epoch)
{
	struct shard_node *node;

	if ((node = shard_find(m, shard)) == NULL) {
		if (strlen(shard) >= MEMBER_ID_MAX ||
		    (node = calloc(1, sizeof(*node))) == NULL)
			return;
		strlcpy(node->shard.shard, shard, sizeof(node->shard.shard));
		RB_INSERT(shard_tree, &m->shards, node);
		TAILQ_INSERT_HEAD(&m->shard_rotation, node, rotation);
	}
	if (epoch <= node->shard.epoch)
		return;
	node->shard.epoch = epoch;
	strlcpy(node->shard.owner, owner, sizeof(node->shard.owner));
	/* Pass on new owners first. */
	TAILQ_REMOVE(&m->shard_rotation, node, rotation);
	TAILQ_INSERT_HEAD(&m->shard_rotation, node, rotation);
}

void
member_own_shard(struct members *m, const char *shard, uint64_t epoch)
{
	shard_set(m, shard, m->self.id, epoch);
}

const struct member_shard *
member_shard_owner(const struct members *m, const char *shard)
{
	const struct shard_node *node;

	node = shard_find(m, shard);
	return node == NULL ? NULL : &node->shard;
}

const struct member *
member_first(struct members *m)
{
	return RB_MIN(member_tree, &m->tree);
}

const struct member *
member_next(const struct member *member)
{
	return RB_NEXT(member_tree, NULL, (struct member *)member);
}

const struct member *
member_find(const struct members *m, const char *id)
{
	return find(m, id);
}

size_t
member_count(const struct members *m)
{
	return m->count;
}

void
member_count_store_reachable(
    const struct members *m, int64_t now_ms, size_t *heard, size_t *answered)
{
	const struct member *member;

	*heard = 0;
	*answered = 0;
	TAILQ_FOREACH (member, &m->heard, heard) {
		if (member_silent(m, member, now_ms))
			return;
		if (member->record.counter == 0)
			continue;
		(*heard)++;
		if (member->record.store_answers)
			(*answered)++;
	}
}

const char *
member_state_name(enum member_state state)
{
	static const char *const names[] = { "alive", "suspect", "dead",
		"leaving", "left" };

	if ((size_t)state >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[state];
}
