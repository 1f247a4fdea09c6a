#include <string.h>

#include "log.h"
#include "members_int.h"

/*
 * The election between entries: vote requests and votes before a takeover, the
 * resignation of a leader, and the start and end of this entry's lead.
 */

/* Callbacks of the election. */

static void
request_votes(struct elect *e, void *ctx)
{
	struct member *member;
	struct node *node;
	bool leader_is_member;
	json_t *message;

	node = ctx;
	message = json_pack("{ss ss ss sI ss sI}", "t", "ask", "id", node->id,
	    "address", node->address, "term", (json_int_t)e->leader.term,
	    "leader", e->leader.id, "incarnation",
	    (json_int_t)e->leader.incarnation);
	node->vote = exchange_next(node);
	exchange_put(message, &node->vote);
	leader_is_member = false;
	TAILQ_FOREACH (member, &node->members, link) {
		if (strcmp(member->id, e->leader.id) == 0)
			leader_is_member = true;
		members_send(node, member->id, json_incref(message));
	}
	if (!leader_is_member && e->leader.id[0] != '\0' &&
	    strcmp(e->leader.id, node->id) != 0 &&
	    peer_connect(node->peer, e->leader.id, e->leader.address) ==
		PEER_OK)
		members_send(node, e->leader.id, json_incref(message));
	json_decref(message);
}

static void
on_changed(struct elect *e, void *ctx)
{
	struct node *node;

	node = ctx;
	log_info("election", "role=%d leader=%s term=%llu", (int)e->role,
	    e->leader.id[0] != '\0' ? e->leader.id : "-",
	    (unsigned long long)e->leader.term);
	if (e->role == ELECT_LEADER && node->lead == NULL) {
		node->lead = lead_open(node);
		if (node->lead == NULL)
			log_error("lead_open", "error=memory");
	}
	if (e->role != ELECT_LEADER && node->lead != NULL) {
		lead_close(node->lead);
		node->lead = NULL;
	}
	node->hello_ms = 0;
	node->heartbeat_ms = 0;
	leader_requests_leader_changed(node);
}

const struct elect_actions node_elect_actions = {
	request_votes,
	election_read_record,
	election_write_record,
	on_changed,
};

void
members_handle_vote_request(
    struct node *node, const json_t *message, int64_t now_ms)
{
	struct exchange_id request;
	const char *id;
	json_t *vote;
	uint64_t term;
	bool resigned;

	id = members_get_text(message, "id");
	term = (uint64_t)members_get_integer(message, "term");
	if (id[0] == '\0' ||
	    peer_connect(node->peer, id,
		members_get_text(message, "address")) != PEER_OK)
		return;
	resigned = strcmp(members_get_text(message, "leader"), node->id) == 0 &&
	    (node->lead == NULL || node->elect.leader.term != term);
	vote = json_pack("{ss ss sI sb sb}", "t", "vote", "id", node->id,
	    "term", (json_int_t)term, "grant",
	    resigned || elect_grants_vote(&node->elect, term, now_ms),
	    "resigned", (int)resigned);
	if (exchange_get(message, &request))
		exchange_put(vote, &request);
	members_send(node, id, vote);
	if (node->lead != NULL)
		node->heartbeat_ms = 0;
}

/* The leader resigned: an election starts without waiting for a timeout. */
void
members_handle_resign(struct node *node, const json_t *message, int64_t now_ms)
{
	elect_resigned(&node->elect,
	    (uint64_t)members_get_integer(message, "term"),
	    json_is_true(json_object_get(message, "alone")), now_ms);
}

void
members_resign(struct node *node, bool exclusive)
{
	struct member *member;

	TAILQ_FOREACH (member, &node->members, link)
		members_send(node, member->id,
		    json_pack("{ss ss sI sb}", "t", "resign", "id", node->id,
			"term", (json_int_t)node->elect.leader.term, "alone",
			(int)exclusive));
}

/* Notes that the voter has answered the last request; false: it had before. */
static bool
note_voter(struct node *node, const char *id)
{
	struct member *member;
	uint64_t *voted;

	member = member_get(node, id);
	voted = member != NULL ? &member->voted : &node->leader_voted;
	if (*voted == node->vote.number)
		return false;
	*voted = node->vote.number;
	return true;
}

/*
 * Votes for an earlier request tell what the voter heard then.  One that is
 * counted twice would let a minority depose a leader that the others hear.
 */
void
members_handle_vote(struct node *node, const json_t *message)
{
	enum exchange_fault fault;
	struct exchange_id id;

	fault = exchange_check(node, message, &id);
	if (fault == EXCHANGE_OK && !exchange_equal(&id, &node->vote))
		fault = EXCHANGE_LATE;
	if (fault == EXCHANGE_OK &&
	    !note_voter(node, members_get_text(message, "id")))
		fault = EXCHANGE_DOUBLED;
	if (fault != EXCHANGE_OK) {
		exchange_drop("vote", fault);
		return;
	}
	elect_vote(&node->elect, (uint64_t)members_get_integer(message, "term"),
	    json_is_true(json_object_get(message, "grant")),
	    json_is_true(json_object_get(message, "resigned")));
}
