#include <sys/queue.h>

#include <string.h>

#include "member.h"
#include "member_int.h"

#define LOCAL_TRIES 8 /* random picks to find a suitable member */
#define SILENT_INTERVAL 8 /* heartbeats between probes of silent members */
#define SILENT_CANDIDATES 8 /* silent members that it is picked from */
#define PROBES_MAX 4 /* probes of suspected members per heartbeat */
#define DETAILS_MAX 4 /* records of others with details per message */

static void check_pause(struct members *, int64_t);
static void drop_silent(struct members *, int64_t);
static struct member *pick_member(struct members *, bool);
static struct member *pick_silent_member(struct members *, int64_t);
static void add_record(
    struct member_digest *, const struct member_record *, bool);
static bool in_digest(const struct member_digest *, const char *);
static void add_members(struct members *, struct member_digest *, int64_t);
static void add_shards(struct members *, struct member_digest *);
static void probe_suspects(struct members *, int64_t);

/*
 * After a pause of this entry all members look silent, since nothing was
 * received meanwhile, and it would take all of them for dead and take over
 * their shards.  So the silence of every member is measured anew from now on,
 * and this entry may not act until it has news.
 */
static void
check_pause(struct members *m, int64_t now_ms)
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

/* The queue is ordered by last news, so only the silent ones are visited. */
static void
drop_silent(struct members *m, int64_t now_ms)
{
	struct member *member, *newer;

	member = TAILQ_LAST(&m->heard, member_queue);
	while (member != NULL &&
	    now_ms - member->heard_ms >= m->options.forget_ms) {
		newer = TAILQ_PREV(member, member_queue, heard);
		if (!member->registered)
			member_drop(m, member);
		member = newer;
	}
}

static struct member *
pick_member(struct members *m, bool local)
{
	struct member *member;
	int tries;

	if (m->count == 0)
		return NULL;
	member = NULL;
	for (tries = 0; tries < LOCAL_TRIES; tries++) {
		member = m->array[gsl_rng_uniform_int(m->rng, m->count)];
		if (member->record.state == MEMBER_LEFT ||
		    member->record.address[0] == '\0')
			continue;
		if (!local ||
		    strcmp(member->record.data_center, m->self.data_center) ==
			0)
			return member;
	}
	return member;
}

/*
 * If messages went only to live members, the two sides of a partition would
 * not find each other again after it has healed, since each takes the other
 * for dead.
 */
static struct member *
pick_silent_member(struct members *m, int64_t now_ms)
{
	struct member *member, *newer;
	unsigned long skip;

	if (m->ticks % SILENT_INTERVAL != 0)
		return NULL;
	member = TAILQ_LAST(&m->heard, member_queue);
	if (member == NULL || !member_silent(m, member, now_ms))
		return NULL;
	for (skip = gsl_rng_uniform_int(m->rng, SILENT_CANDIDATES); skip > 0;
	     skip--) {
		newer = TAILQ_PREV(member, member_queue, heard);
		if (newer == NULL || !member_silent(m, newer, now_ms))
			break;
		member = newer;
	}
	return member;
}

static void
add_record(struct member_digest *digest, const struct member_record *record,
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
 * A few members are passed on with details in rotation, so that each one's are
 * sent again and again.  The rest of the message has the most recent records,
 * so that news spreads fast.  Silent members are left out: otherwise their
 * records would circulate for ever.
 */
static void
add_members(struct members *m, struct member_digest *digest, int64_t now_ms)
{
	struct member *member;
	size_t i;

	for (i = 0; i < DETAILS_MAX && i < m->count; i++) {
		member = TAILQ_FIRST(&m->rotation);
		TAILQ_REMOVE(&m->rotation, member, rotation);
		TAILQ_INSERT_TAIL(&m->rotation, member, rotation);
		if (digest->nrecords < m->options.digest_max &&
		    !member_silent(m, member, now_ms) &&
		    member->details_counter != 0)
			add_record(digest, &member->record, true);
	}
	TAILQ_FOREACH (member, &m->heard, heard) {
		if (digest->nrecords >= m->options.digest_max ||
		    member_silent(m, member, now_ms))
			return;
		if (member->record.counter != 0 &&
		    !in_digest(digest, member->record.id))
			add_record(digest, &member->record, false);
	}
}

static void
add_shards(struct members *m, struct member_digest *digest)
{
	struct shard_node *node, *first;

	first = TAILQ_FIRST(&m->shard_rotation);
	while (digest->nshards < MEMBER_SHARDS_MAX) {
		node = TAILQ_FIRST(&m->shard_rotation);
		if (node == NULL || (digest->nshards > 0 && node == first))
			return;
		TAILQ_REMOVE(&m->shard_rotation, node, rotation);
		TAILQ_INSERT_TAIL(&m->shard_rotation, node, rotation);
		digest->shards[digest->nshards++] = node->shard;
	}
}

void
gossip_send(
    struct members *m, struct member *target, bool probe, int64_t now_ms)
{
	struct member_digest digest;

	if (target == NULL || target->record.address[0] == '\0')
		return;
	digest.probe = probe;
	digest.nrecords = 0;
	digest.nshards = 0;
	add_record(&digest, &m->self, true);
	add_members(m, &digest, now_ms);
	add_shards(m, &digest);
	m->options.on_send(target, &digest, m->options.ctx);
}

/*
 * With many entries news of one may take long to arrive, so silence alone is
 * weak evidence.  Before a member is declared dead it gets a probe and has one
 * heartbeat interval to reply.
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
probe_suspects(struct members *m, int64_t now_ms)
{
	struct member *member;
	int probes;

	probes = 0;
	TAILQ_FOREACH_REVERSE(member, &m->heard, member_queue, heard)
	{
		if (probes == PROBES_MAX || !member_silent(m, member, now_ms))
			return;
		if (!member_unregistered_or_gone(m, member) ||
		    member->record.state == MEMBER_LEFT ||
		    member->probed_ms != 0)
			continue;
		gossip_probe(m, member, now_ms);
		probes++;
	}
}

void
member_tick(struct members *m, int64_t now_ms)
{
	int i;

	check_pause(m, now_ms);
	drop_silent(m, now_ms);
	m->ticks++;
	m->self.counter++;
	/* The first target is in the same data centre, the others anywhere. */
	for (i = 0; i < m->options.fanout; i++)
		gossip_send(m, pick_member(m, i == 0 && m->options.fanout > 1),
		    false, now_ms);
	gossip_send(m, pick_silent_member(m, now_ms), true, now_ms);
	probe_suspects(m, now_ms);
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
