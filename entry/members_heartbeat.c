#include <string.h>

#include "members_int.h"

/*
 * Heartbeats of the leader and hello messages of the members: sent
 * periodically, and applied when received.  Heartbeats carry the member list.
 */

/*
 * Minimum interval of resending the member list to a member that hasn't
 * confirmed the current version.  The hello message confirms it, so the
 * interval exceeds HELLO_MS.  Sending the list with every heartbeat would cost
 * bandwidth quadratic in the number of members.
 */
#define LIST_RESEND_MS 600
/* Learned interference effects go with every 14th heartbeat: each 2.1 s. */
#define LEARNT_EVERY_HEARTBEATS 14
/* Only the first in the order of succession get what is not in the store yet.
 */
#define HANDOVER_MEMBERS 3

/* Received messages. */

/* The relay of orders prefers members in the worker's data centre. */
static void
set_data_center(struct node *node, struct member *member, const char *name)
{
	if (strcmp(member->data_center, name) == 0)
		return;
	strlcpy(member->data_center, name, sizeof(member->data_center));
	lead_members(node->lead);
}

void
members_handle_hello(struct node *node, const json_t *message, int64_t now_ms)
{
	struct member *member;

	config_handle_version(
	    node, message, members_get_text(message, "id"), now_ms);
	if (node->lead == NULL)
		return;
	member = members_add_or_update(node, members_get_text(message, "id"),
	    members_get_text(message, "address"),
	    json_number_value(json_object_get(message, "power")));
	if (member == NULL)
		return;
	member->heard_ms = now_ms;
	member->term = (uint64_t)members_get_integer(message, "term");
	member->leaving = json_is_true(json_object_get(message, "leaving"));
	member->has_store = json_is_true(json_object_get(message, "store"));
	member->can_relay =
	    members_get_integer(message, "carries") == RELAY_VERSION;
	member->listed = (uint64_t)members_get_integer(message, "listed");
	config_handle_sync(node, message, member->id, &member->echo, now_ms);
	member->sync_due = true;
	set_data_center(node, member, members_get_text(message, "data_center"));
}

/*
 * Load one row of the leader's member list.  It includes the data centre and
 * the relay version, so that a new leader can relay its first calls through
 * members before it has received their hello messages.
 */
static void
load_member(struct node *node, const json_t *row)
{
	struct member *member;
	const char *data_center;

	member = members_add_or_update(node,
	    json_string_value(json_array_get(row, 0)),
	    json_string_value(json_array_get(row, 1)),
	    json_number_value(json_array_get(row, 2)));
	if (member == NULL)
		return;
	data_center = json_string_value(json_array_get(row, 3));
	if (data_center != NULL)
		strlcpy(member->data_center, data_center,
		    sizeof(member->data_center));
	member->can_relay =
	    json_integer_value(json_array_get(row, 4)) == RELAY_VERSION;
}

static void
load_member_list(struct node *node, const json_t *list)
{
	const json_t *row;
	size_t i;

	members_free(node);
	json_array_foreach(list, i, row)
	{
		if (i >= MEMBERS_MAX)
			break;
		load_member(node, row);
	}
}

static bool
member_list_is_valid(const json_t *list)
{
	const json_t *row;
	size_t i;

	if (!json_is_array(list))
		return false;
	json_array_foreach(list, i, row)
	{
		if (!json_is_string(json_array_get(row, 0)) ||
		    !json_is_string(json_array_get(row, 1)))
			return false;
	}
	return true;
}

/*
 * Takes ownership of the lists.  NULL if the leader runs a version that doesn't
 * send them.
 */
static void
set_refusing_queues(
    struct node *node, json_t *full, json_t *shut, int64_t now_ms)
{
	json_decref(node->full);
	json_decref(node->shut);
	node->full = full;
	node->shut = shut;
	node->full_ms = now_ms;
}

void
members_handle_heartbeat(
    struct node *node, const json_t *message, int64_t now_ms)
{
	struct elect_leader leader;
	const json_t *list;
	uint64_t before;

	memset(&leader, 0, sizeof(leader));
	strlcpy(leader.id, members_get_text(message, "id"), sizeof(leader.id));
	strlcpy(leader.address, members_get_text(message, "address"),
	    sizeof(leader.address));
	leader.incarnation =
	    (uint64_t)members_get_integer(message, "incarnation");
	leader.term = (uint64_t)members_get_integer(message, "term");
	leader.revision = members_get_integer(message, "revision");
	if (leader.id[0] == '\0' || strcmp(leader.id, node->id) == 0)
		return;
	before = node->elect.leader.term;
	if (!elect_heartbeat(&node->elect, &leader,
		json_is_true(json_object_get(message, "store")),
		(uint32_t)members_get_integer(message, "rank"),
		(uint32_t)members_get_integer(message, "members"), now_ms)) {
		return;
	}
	if (leader.term > before || member_get(node, leader.id) == NULL)
		peer_connect(node->peer, leader.id, leader.address);
	list = json_object_get(message, "list");
	if (member_list_is_valid(list)) {
		load_member_list(node, list);
		node->members_list_version =
		    (uint64_t)members_get_integer(message, "listed");
		node->members_list_term = leader.term;
	}
	config_handle_heartbeat(node, message, &leader, now_ms);
	if (json_is_array(json_object_get(message, "learnt"))) {
		json_decref(node->learnt);
		node->learnt = json_incref(json_object_get(message, "learnt"));
	}
	json_decref(node->losses);
	node->losses = json_incref(json_object_get(message, "losses"));
	node->losses_ms = now_ms;
	json_decref(node->pending);
	node->pending = json_incref(json_object_get(message, "pending"));
	node->pending_ms = now_ms;
	set_refusing_queues(node, json_incref(json_object_get(message, "full")),
	    json_incref(json_object_get(message, "shut")), now_ms);
}

/* Periodic messages. */

static json_t *
encode_member_list(struct node *node)
{
	struct member *member;
	json_t *list;

	list = json_array();
	json_array_append_new(list,
	    json_pack("[ssfsi]", node->id, node->address, node->opt.power,
		node->opt.data_center, RELAY_VERSION));
	TAILQ_FOREACH (member, &node->members, link) {
		json_array_append_new(list,
		    json_pack("[ssfsi]", member->id, member->address,
			member->power, member->data_center,
			member->can_relay ? RELAY_VERSION : 0));
	}
	return list;
}

/* Whether the member's last hello reported another version of the list. */
static bool
needs_member_list(
    const struct node *node, struct member *member, int64_t now_ms)
{
	if (member->listed == node->members_version ||
	    now_ms - member->list_sent_ms < LIST_RESEND_MS)
		return false;
	member->list_sent_ms = now_ms;
	return true;
}

/* The fields that are the same for all members. */
static json_t *
heartbeat_common(struct node *node, int64_t now_ms, uint32_t members)
{
	return json_pack("{ss ss ss sI sI sI sb sI si so sO sO}", "t", "beat",
	    "id", node->id, "address", node->address, "incarnation",
	    (json_int_t)node->incarnation, "term",
	    (json_int_t)node->elect.leader.term, "revision",
	    (json_int_t)node->elect.leader.revision, "store",
	    (int)lead_has_store(node->lead, now_ms), "config",
	    (json_int_t)node->confsync.version, "members", (int)members,
	    "pending", lead_pending(node->lead), "full", node->full, "shut",
	    node->shut);
}

static json_t *
heartbeat_for_member(struct node *node, struct member *member,
    const json_t *common, json_t *list, uint32_t rank, int64_t now_ms)
{
	json_t *heartbeat;

	if ((heartbeat = json_copy((json_t *)common)) == NULL)
		return NULL;
	json_object_set_new(heartbeat, "rank", json_integer(rank));
	if (needs_member_list(node, member, now_ms)) {
		json_object_set(heartbeat, "list", list);
		json_object_set_new(heartbeat, "listed",
		    json_integer((json_int_t)node->members_version));
	}
	if (member->sync_due)
		config_add_sync(node, heartbeat, &member->echo, now_ms);
	member->sync_due = false;
	return heartbeat;
}

static uint32_t
count_members(const struct node *node)
{
	const struct member *member;
	uint32_t n;

	n = 0;
	TAILQ_FOREACH (member, &node->members, link)
		n++;
	return n;
}

static void
send_heartbeats(struct node *node, int64_t now_ms)
{
	json_t *heartbeat, *common, *list, *learnt, *losses;
	struct member *member;
	uint32_t n, rank;

	members_remove_silent(node, now_ms);
	n = count_members(node);
	set_refusing_queues(node, lead_full_queues(node->lead),
	    lead_shut_queues(node->lead), now_ms);
	common = heartbeat_common(node, now_ms, n > 0 ? n - 1 : 0);
	list = encode_member_list(node);
	learnt = NULL;
	if (node->heartbeats_sent++ % LEARNT_EVERY_HEARTBEATS ==
	    LEARNT_EVERY_HEARTBEATS - 1)
		learnt = lead_learnt(node->lead);
	losses = lead_unsaved_losses(node->lead);
	rank = 0;
	TAILQ_FOREACH (member, &node->members, link) {
		heartbeat = heartbeat_for_member(node, member, common, list,
		    member->leaving ? n : rank, now_ms);
		if (learnt != NULL && rank < HANDOVER_MEMBERS)
			json_object_set(heartbeat, "learnt", learnt);
		if (losses != NULL && rank < HANDOVER_MEMBERS)
			json_object_set(heartbeat, "losses", losses);
		members_send(node, member->id, heartbeat);
		/* A leaving member doesn't take a rank in the succession. */
		if (!member->leaving)
			rank++;
	}
	json_decref(list);
	json_decref(learnt);
	json_decref(losses);
	json_decref(common);
}

static bool
send_hello(struct node *node, int64_t now_ms)
{
	const struct elect_leader *leader;
	json_t *message;

	leader = &node->elect.leader;
	if (leader->id[0] == '\0' || strcmp(leader->id, node->id) == 0 ||
	    peer_connect(node->peer, leader->id, leader->address) != PEER_OK)
		return true;
	message = json_pack("{ss ss ss ss sf sI sI si sI sb sb}", "t", "hello",
	    "id", node->id, "data_center", node->opt.data_center, "address",
	    node->address, "power", node->opt.power, "term",
	    (json_int_t)leader->term, "config",
	    (json_int_t)node->confsync.version, "carries", RELAY_VERSION,
	    "listed",
	    (json_int_t)(node->members_list_term == leader->term ?
		    node->members_list_version :
		    0),
	    "leaving", (int)node->leaving, "store", (int)node_has_store(node));
	config_add_sync(
	    node, message, config_leader_echo(node, leader), now_ms);
	return members_send(node, leader->id, message);
}

void
members_tick(struct node *node, int64_t now_ms)
{
	if (node->lead != NULL) {
		if (now_ms - node->heartbeat_ms < HEARTBEAT_MS)
			return;
		node->heartbeat_ms = now_ms;
		send_heartbeats(node, now_ms);
		return;
	}
	if (now_ms - node->hello_ms < HELLO_MS)
		return;
	/* While the connection isn't established, retry on every tick. */
	if (send_hello(node, now_ms))
		node->hello_ms = now_ms;
}
