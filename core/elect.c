#include <string.h>

#include "elect.h"

/*
 * Heartbeats come every 150 ms, and losing four in a row is unlikely on a
 * working link.  The takeover completes within a second of a leader's death.
 */
#define SILENCE_MS 600
/* Delay by rank, so that members don't try to take over at the same time. */
#define RANK_STEP_MS 120
#define RANKS_MAX 5
/* Silence of the leader after which a member grants its vote. */
#define GRANT_MS 350
/* Time to wait for votes. */
#define VOTE_MS 120
/* Delay after a lost vote or a failed read or write. */
#define RETRY_MS 250
/* The leader writes its heartbeat key every 500 ms. */
#define STALE_MS 1600
/* Time for a leader that lost the store to reconnect. */
#define NO_STORE_MS 300
/* Time for a new leader to send its first heartbeat. */
#define GRACE_MS 500

static void
change_role(struct elect *e, enum elect_role role)
{
	if (e->role == role)
		return;
	e->role = role;
	e->opt.actions->changed(e, e->opt.ctx);
}

void
elect_init(struct elect *e, const struct elect_options *options, int64_t now_ms)
{
	memset(e, 0, sizeof(*e));
	e->opt = *options;
	e->role = ELECT_FOLLOWER;
	e->leader_has_store = true;
	/* The leader is unknown; start a vote at the first tick. */
	e->heard_ms = now_ms - SILENCE_MS;
}

static int64_t
rank_delay_ms(const struct elect *e)
{
	uint32_t rank;

	rank = e->rank < RANKS_MAX ? e->rank : RANKS_MAX;
	return (int64_t)rank * RANK_STEP_MS;
}

static int64_t
later(int64_t a_ms, int64_t b_ms)
{
	return a_ms > b_ms ? a_ms : b_ms;
}

/*
 * The leader is suspected when its heartbeats stop, or when it has no store
 * while this entry has had access for some time.  After an outage of the whole
 * store the leader regains access at about the same time as this entry.
 * Without the delay all members would try to take over at that moment, and the
 * first write would win, however weak its entry.
 */
static bool
leader_suspected(const struct elect *e, int64_t now_ms)
{
	int64_t since_ms;

	if (now_ms - e->heard_ms >= SILENCE_MS + rank_delay_ms(e))
		return true;
	since_ms =
	    later(e->no_store_ms, later(e->store_failed_ms, e->store_back_ms));
	return !e->leader_has_store &&
	    now_ms - since_ms >= NO_STORE_MS + rank_delay_ms(e);
}

static void
start_vote(struct elect *e, int64_t now_ms)
{
	e->grants = 0;
	e->denials = 0;
	e->vote_resigned = false;
	e->read_done = false;
	e->vote_start_ms = now_ms;
	change_role(e, ELECT_PRECANDIDATE);
	e->opt.actions->request_votes(e, e->opt.ctx);
	if (!e->reading) {
		e->reading = true;
		e->opt.actions->read_record(e, e->opt.ctx);
	}
}

static bool
may_claim(const struct elect *e, int64_t now_ms)
{
	if (e->leader.id[0] == '\0' || e->vote_resigned || e->leader_resigned)
		return true;
	/* The leader is a previous incarnation of this entry. */
	if (strcmp(e->leader.id, e->opt.self) == 0)
		return true;
	if (e->members > 0 && 2 * e->grants >= e->members)
		return true;
	return e->denials == 0 && now_ms - e->pulse_ms >= STALE_MS;
}

static void
abandon_vote(struct elect *e, int64_t now_ms)
{
	e->retry_ms = now_ms + RETRY_MS;
	change_role(e, ELECT_FOLLOWER);
}

static void
decide_vote(struct elect *e, int64_t now_ms)
{
	if (!e->read_done) {
		if (!e->reading)
			abandon_vote(e, now_ms);
		return;
	}
	if (!may_claim(e, now_ms)) {
		abandon_vote(e, now_ms);
		return;
	}
	e->claim_ms = now_ms;
	change_role(e, ELECT_CANDIDATE);
	e->opt.actions->write_record(
	    e, e->leader.term + 1, e->leader.revision, e->opt.ctx);
}

void
elect_tick(struct elect *e, int64_t now_ms)
{
	switch (e->role) {
	case ELECT_FOLLOWER:
		if (now_ms >= e->retry_ms && leader_suspected(e, now_ms))
			start_vote(e, now_ms);
		break;
	case ELECT_PRECANDIDATE:
		if (!leader_suspected(e, now_ms))
			change_role(e, ELECT_FOLLOWER);
		else if (now_ms - e->vote_start_ms >= VOTE_MS ||
		    (e->read_done && may_claim(e, now_ms)))
			decide_vote(e, now_ms);
		break;
	case ELECT_CANDIDATE:
	case ELECT_LEADER:
		break;
	}
}

/* Follow a leader of a later term. */
static void
follow_leader(
    struct elect *e, const struct elect_leader *leader, int64_t now_ms)
{
	e->leader = *leader;
	e->leader_resigned = false;
	e->leader_has_store = true;
	e->heard_ms = now_ms - SILENCE_MS + GRACE_MS;
	e->role = ELECT_FOLLOWER;
	e->opt.actions->changed(e, e->opt.ctx);
}

bool
elect_heartbeat(struct elect *e, const struct elect_leader *leader,
    bool has_store, uint32_t rank, uint32_t members, int64_t now_ms)
{
	if (leader->term < e->leader.term)
		return false;
	if (leader->term > e->leader.term)
		follow_leader(e, leader, now_ms);
	if (e->role == ELECT_LEADER)
		return false;
	e->heard_ms = now_ms;
	e->rank = rank;
	e->members = members;
	if (e->leader_has_store && !has_store)
		e->no_store_ms = now_ms;
	e->leader_has_store = has_store;
	return true;
}

bool
elect_grants_vote(const struct elect *e, uint64_t term, int64_t now_ms)
{
	if (term < e->leader.term || e->role == ELECT_LEADER)
		return false;
	if (term > e->leader.term)
		return true;
	return e->leader_resigned || !e->leader_has_store ||
	    now_ms - e->heard_ms >= GRANT_MS;
}

void
elect_vote(struct elect *e, uint64_t term, bool grant, bool resigned)
{
	if (e->role != ELECT_PRECANDIDATE || term != e->leader.term)
		return;
	if (grant)
		e->grants++;
	else
		e->denials++;
	if (resigned)
		e->vote_resigned = true;
}

void
elect_resigned(struct elect *e, uint64_t term, bool alone, int64_t now_ms)
{
	if (term != e->leader.term || e->role == ELECT_LEADER)
		return;
	e->leader_resigned = true;
	e->no_active_leader = alone;
	e->heard_ms = now_ms - SILENCE_MS;
	e->retry_ms = 0;
}

void
elect_store_failed(struct elect *e, int64_t at_ms)
{
	e->store_failed_ms = later(e->store_failed_ms, at_ms);
}

void
elect_read(struct elect *e, const struct elect_record *record, int64_t now_ms)
{
	e->reading = false;
	if (record == NULL) {
		elect_store_failed(e, now_ms);
		/* The outcome of a write is unknown until a read succeeds. */
		if (e->role == ELECT_CANDIDATE)
			e->retry_ms = now_ms + RETRY_MS;
		return;
	}
	if (e->store_back_ms <= e->store_failed_ms && e->store_failed_ms != 0)
		e->store_back_ms = now_ms;
	if (e->pulse_ms == 0 || e->pulse_revision != record->pulse_revision) {
		e->pulse_revision = record->pulse_revision;
		e->pulse_ms = now_ms;
	}
	e->read_done = true;
	if (!record->found || record->leader.term <= e->leader.term) {
		if (record->found)
			e->leader.revision = record->leader.revision;
		return;
	}
	if (strcmp(record->leader.id, e->opt.self) == 0 &&
	    record->leader.incarnation == e->opt.incarnation &&
	    e->role == ELECT_CANDIDATE) {
		elect_write_done(
		    e, ELECT_WRITE_DONE, record->leader.revision, now_ms);
		return;
	}
	if (e->role == ELECT_LEADER) {
		elect_step_down(e, now_ms);
		return;
	}
	follow_leader(e, &record->leader, now_ms);
	/* A previous incarnation of this entry sends no heartbeats. */
	if (strcmp(record->leader.id, e->opt.self) == 0)
		e->heard_ms = now_ms - SILENCE_MS;
}

void
elect_write_done(struct elect *e, enum elect_write_result result,
    int64_t revision, int64_t now_ms)
{
	if (e->role != ELECT_CANDIDATE)
		return;
	if (result == ELECT_WRITE_DONE) {
		e->no_former_leader = e->leader_resigned && e->no_active_leader;
		strlcpy(e->leader.id, e->opt.self, sizeof(e->leader.id));
		strlcpy(e->leader.address, e->opt.address,
		    sizeof(e->leader.address));
		e->leader.incarnation = e->opt.incarnation;
		e->leader.term++;
		e->leader_resigned = false;
		e->leader.revision = revision;
		e->leader_has_store = true;
		change_role(e, ELECT_LEADER);
		return;
	}
	e->retry_ms = now_ms + (result == ELECT_WRITE_UNKNOWN ? RETRY_MS : 0);
	change_role(e, ELECT_FOLLOWER);
}

void
elect_step_down(struct elect *e, int64_t now_ms)
{
	e->heard_ms = now_ms;
	e->retry_ms = now_ms + RETRY_MS;
	change_role(e, ELECT_FOLLOWER);
}
