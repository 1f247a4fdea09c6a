#include <sys/queue.h>

#include <string.h>

#include "member.h"
#include "member_int.h"

#define NEAR_TRIES 8 /* random picks to find one in the own data centre */
#define REVIVE_EVERY 8 /* heartbeats between messages to a silent member */
#define SILENT_CHOICE 8 /* silent members that it is chosen from */
#define ASKS_MAX 4 /* members asked directly in one heartbeat */
#define DETAILS_MAX 4 /* records with details in one message */

static void note_pause(struct members *, int64_t);
static void forget_silent(struct members *, int64_t);
static struct member *pick(struct members *, bool);
static struct member *pick_silent(struct members *, int64_t);
static void put_record(
    struct member_digest *, const struct member_record *, bool);
static bool in_digest(const struct member_digest *, const char *);
static void fill_members(struct members *, struct member_digest *, int64_t);
static void fill_shards(struct members *, struct member_digest *);
static void ask_accused(struct members *, int64_t);

/*
 * After a pause everybody looks silent, since nothing was read meanwhile.
 * Judged at once, all peers would be dead and their shards taken over.  So
 * every silence starts anew, and this entry doesn't act before it has news.
 */
static void
note_pause(struct members *m, int64_t now_ms)
{
	struct member *member;
	int64_t gap_ms;

	gap_ms = now_ms - m->ticked_ms;
	m->ticked_ms = now_ms;
	if (gap_ms < m->options.pause_ms)
		return;
	TAILQ_FOREACH (member, &m->heard, heard)
		member->heard_ms = now_ms;
	m->paused_ms = now_ms;
	m->rejoin_ms = now_ms + m->options.silence_ms;
	if (m->options.on_paused != NULL)
		m->options.on_paused(gap_ms, m->options.ctx);
}

/* Silent longest are last, so this looks only at the silent ones. */
static void
forget_silent(struct members *m, int64_t now_ms)
{
	struct member *member, *fresher;

	member = TAILQ_LAST(&m->heard, member_queue);
	while (member != NULL &&
	    now_ms - member->heard_ms >= m->options.forget_ms) {
		fresher = TAILQ_PREV(member, member_queue, heard);
		if (!member->registered)
			member_drop(m, member);
		member = fresher;
	}
}

static struct member *
pick(struct members *m, bool near)
{
	struct member *member;
	int tries;

	if (m->count == 0)
		return NULL;
	member = NULL;
	for (tries = 0; tries < NEAR_TRIES; tries++) {
		member = m->array[gsl_rng_uniform_int(m->rng, m->count)];
		if (member->record.state == MEMBER_LEFT ||
		    member->record.address[0] == '\0')
			continue;
		if (!near ||
		    strcmp(member->record.data_center, m->self.data_center) ==
			0)
			return member;
	}
	return member;
}

/*
 * Two sides of a healed partition each take the other for dead and would
 * never speak again if only the living were sent to.
 */
static struct member *
pick_silent(struct members *m, int64_t now_ms)
{
	struct member *member, *fresher;
	unsigned long skip;

	if (m->ticks % REVIVE_EVERY != 0)
		return NULL;
	member = TAILQ_LAST(&m->heard, member_queue);
	if (member == NULL || !member_silent(m, member, now_ms))
		return NULL;
	for (skip = gsl_rng_uniform_int(m->rng, SILENT_CHOICE); skip > 0;
	     skip--) {
		fresher = TAILQ_PREV(member, member_queue, heard);
		if (fresher == NULL || !member_silent(m, fresher, now_ms))
			break;
		member = fresher;
	}
	return member;
}

static void
put_record(struct member_digest *digest, const struct member_record *record,
    bool details)
{
	struct member_record *to;

	to = &digest->records[digest->nrecords++];
	*to = *record;
	to->has_details = details;
}

static bool
in_digest(const struct member_digest *digest, const char *id)
{
	size_t i;

	for (i = 0; i < digest->nrecords; i++) {
		if (strcmp(digest->records[i].id, id) == 0)
			return true;
	}
	return false;
}

/*
 * A few members in turn are passed on with their details, so that each is
 * told of again and again; the rest of the room goes to the freshest news,
 * which spreads it fastest.  Silent ones are left out: their records must die
 * out, not go round for ever.
 */
static void
fill_members(struct members *m, struct member_digest *digest, int64_t now_ms)
{
	struct member *member;
	size_t i;

	for (i = 0; i < DETAILS_MAX && i < m->count; i++) {
		member = TAILQ_FIRST(&m->turn);
		TAILQ_REMOVE(&m->turn, member, turn);
		TAILQ_INSERT_TAIL(&m->turn, member, turn);
		if (digest->nrecords < m->options.digest_max &&
		    !member_silent(m, member, now_ms) &&
		    member->details_counter != 0)
			put_record(digest, &member->record, true);
	}
	TAILQ_FOREACH (member, &m->heard, heard) {
		if (digest->nrecords >= m->options.digest_max ||
		    member_silent(m, member, now_ms))
			return;
		if (member->record.counter != 0 &&
		    !in_digest(digest, member->record.id))
			put_record(digest, &member->record, false);
	}
}

static void
fill_shards(struct members *m, struct member_digest *digest)
{
	struct shard_node *node, *first;

	first = TAILQ_FIRST(&m->shard_turn);
	while (digest->nshards < MEMBER_SHARDS_MAX) {
		node = TAILQ_FIRST(&m->shard_turn);
		if (node == NULL || (digest->nshards > 0 && node == first))
			return;
		TAILQ_REMOVE(&m->shard_turn, node, turn);
		TAILQ_INSERT_TAIL(&m->shard_turn, node, turn);
		digest->shards[digest->nshards++] = node->shard;
	}
}

void
gossip_send(struct members *m, struct member *target, bool probe_requested,
    int64_t now_ms)
{
	struct member_digest digest;

	if (target == NULL || target->record.address[0] == '\0')
		return;
	digest.probe = probe_requested;
	digest.nrecords = 0;
	digest.nshards = 0;
	put_record(&digest, &m->self, true);
	fill_members(m, &digest, now_ms);
	fill_shards(m, &digest);
	m->options.on_send(target, &digest, m->options.ctx);
}

/*
 * With many entries news of one takes long to come round, so its silence
 * proves little.  Before it is held to be dead it is asked, and has a
 * heartbeat's time to answer.
 */
void
gossip_probe(struct members *m, struct member *member, int64_t now_ms)
{
	if (member->probed_ms != 0)
		return;
	member->probed_ms = now_ms;
	gossip_send(m, member, true, now_ms);
}

static void
ask_accused(struct members *m, int64_t now_ms)
{
	struct member *member;
	int asks;

	asks = 0;
	TAILQ_FOREACH_REVERSE(member, &m->heard, member_queue, heard)
	{
		if (asks == ASKS_MAX || !member_silent(m, member, now_ms))
			return;
		if (!member_unregistered_or_gone(m, member) ||
		    member->record.state == MEMBER_LEFT ||
		    member->probed_ms != 0)
			continue;
		gossip_probe(m, member, now_ms);
		asks++;
	}
}

void
member_tick(struct members *m, int64_t now_ms)
{
	int i;

	note_pause(m, now_ms);
	forget_silent(m, now_ms);
	m->ticks++;
	m->self.counter++;
	/* One in its own data centre, the rest anywhere. */
	for (i = 0; i < m->options.fanout; i++)
		gossip_send(
		    m, pick(m, i == 0 && m->options.fanout > 1), false, now_ms);
	gossip_send(m, pick_silent(m, now_ms), true, now_ms);
	ask_accused(m, now_ms);
}

void
member_announce(struct members *m, int64_t now_ms)
{
	size_t i;

	m->self.counter++;
	for (i = 0; i < m->count; i++) {
		if (!member_silent(m, m->array[i], now_ms))
			gossip_send(m, m->array[i], false, now_ms);
	}
}
