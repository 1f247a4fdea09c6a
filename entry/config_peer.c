#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node_int.h"

/*
 * The configuration between entries.  Heartbeats and hello messages carry the
 * version in force and when it was last confirmed to be the newest.  An entry
 * that learns of a newer version requests its content: only on request, as a
 * configuration is far larger than a heartbeat.
 *
 * What an entry can't answer it leaves unanswered: the other one asks the next
 * peer soon.
 */

/* An answer may hold up heartbeats on the same link for this time at most. */
#define ANSWER_MAX_MS 300
#define MS_PER_S 1000

/* Order of the numbers in the field "sync". */
enum sync_field { SYNC_SENT, SYNC_RETURNED, SYNC_HELD, SYNC_AGE, SYNC_FIELDS };

void
config_add_sync(
    struct node *node, json_t *message, const struct echo *echo, int64_t now_ms)
{
	struct echo_row row;

	row = echo_send(echo, now_ms);
	json_object_set_new(message, "sync",
	    json_pack("[IIII]", (json_int_t)row.sent, (json_int_t)row.returned,
		(json_int_t)row.held_ms,
		(json_int_t)confsync_age_ms(&node->confsync, now_ms)));
	closed_add(node, message, now_ms);
}

/* Gets the peer's row; false if it sends none, as older releases do. */
static bool
get_sync(const json_t *message, struct echo_row *row, int64_t *age_ms)
{
	int64_t fields[SYNC_FIELDS];
	const json_t *list;
	size_t i;

	list = json_object_get(message, "sync");
	if (json_array_size(list) != SYNC_FIELDS)
		return false;
	for (i = 0; i < SYNC_FIELDS; i++) {
		if (!json_is_integer(json_array_get(list, i)))
			return false;
		fields[i] = json_integer_value(json_array_get(list, i));
	}
	row->sent = fields[SYNC_SENT];
	row->returned = fields[SYNC_RETURNED];
	row->held_ms = fields[SYNC_HELD];
	*age_ms = fields[SYNC_AGE];
	return true;
}

void
config_handle_version(
    struct node *node, const json_t *message, const char *from, int64_t now_ms)
{
	int64_t version;

	version = json_integer_value(json_object_get(message, "config"));
	if (confsync_peer_reported(&node->confsync, version, now_ms))
		strlcpy(
		    node->config_reporter, from, sizeof(node->config_reporter));
}

void
config_handle_sync(struct node *node, const json_t *message, const char *from,
    struct echo *echo, int64_t now_ms)
{
	int64_t version, age_ms, sent_ms;
	struct echo_row row;

	config_handle_version(node, message, from, now_ms);
	version = json_integer_value(json_object_get(message, "config"));
	if (!get_sync(message, &row, &age_ms))
		return;
	if (!echo_receive(echo, &row, node->opened_ms, now_ms, &sent_ms))
		sent_ms = -1;
	else if (age_ms >= 0)
		confsync_peer_confirmed(
		    &node->confsync, version, sent_ms - age_ms);
	closed_handle_peer(node, message, sent_ms, now_ms);
}

const struct echo *
config_leader_echo(struct node *node, const struct elect_leader *leader)
{
	if (strcmp(node->leader_echo_id, leader->id) != 0 ||
	    node->leader_echo_incarnation != leader->incarnation) {
		memset(&node->leader_echo, 0, sizeof(node->leader_echo));
		strlcpy(node->leader_echo_id, leader->id,
		    sizeof(node->leader_echo_id));
		node->leader_echo_incarnation = leader->incarnation;
	}
	return &node->leader_echo;
}

void
config_handle_heartbeat(struct node *node, const json_t *message,
    const struct elect_leader *leader, int64_t now_ms)
{
	config_leader_echo(node, leader);
	config_handle_sync(
	    node, message, leader->id, &node->leader_echo, now_ms);
}

/*
 * The peer to ask: first the one that reported the version, then the members in
 * turn, which probably have it by then.
 */
static const char *
choose_peer(const struct node *node)
{
	const struct member *member;
	uint32_t n, turn;

	if (node->confsync.asks == 0)
		return node->config_reporter;
	n = 0;
	TAILQ_FOREACH (member, &node->members, link) {
		if (strcmp(member->id, node->id) != 0)
			n++;
	}
	if (n == 0)
		return node->config_reporter;
	turn = (node->confsync.asks - 1) % n;
	TAILQ_FOREACH (member, &node->members, link) {
		if (strcmp(member->id, node->id) != 0 && turn-- == 0)
			return member->id;
	}
	return node->config_reporter;
}

/* Returns true once the request is on its way. */
static bool
send_request(struct node *node, const char *id)
{
	const struct member *member;
	struct exchange_id request;
	json_t *message;

	if ((member = member_get(node, id)) != NULL &&
	    peer_connect(node->peer, id, member->address) != PEER_OK)
		return false;
	message = json_pack("{ss ss ss sI}", "t", "config_request", "id",
	    node->id, "address", node->address, "version",
	    (json_int_t)node->confsync.version);
	request = exchange_next(node);
	exchange_put(message, &request);
	return members_send(node, id, message);
}

void
config_peer_tick(struct node *node, int64_t now_ms)
{
	if (confsync_ask_due(&node->confsync, now_ms)) {
		strlcpy(node->config_ask, choose_peer(node),
		    sizeof(node->config_ask));
		confsync_ask_begin(&node->confsync, now_ms);
		counter_inc("lagoonpin_config_requests", "");
	}
	if (!confsync_is_behind(&node->confsync))
		node->config_ask[0] = '\0';
	/* A peer that isn't connected yet takes the request a little later. */
	if (node->config_ask[0] != '\0' && send_request(node, node->config_ask))
		node->config_ask[0] = '\0';
}

/* The reason for not answering; NULL: none. */
static const char *
refuse_request(struct node *node, int64_t version)
{
	if (node->config_value == NULL || node->confsync.version <= version)
		return "not_newer";
	if ((double)node->config_len * MS_PER_S >
	    node->opt.link_bytes_per_s * ANSWER_MAX_MS)
		return "too_large";
	if (pacer_available(&node->link, clock_now_ms()) <= 0)
		return "link_busy";
	return NULL;
}

void
config_handle_request(struct node *node, const json_t *message)
{
	const char *id, *address, *reason;
	struct exchange_id request;
	json_t *answer;
	int64_t version;

	id = json_string_value(json_object_get(message, "id"));
	address = json_string_value(json_object_get(message, "address"));
	version = json_integer_value(json_object_get(message, "version"));
	if (id == NULL || address == NULL ||
	    peer_connect(node->peer, id, address) != PEER_OK)
		reason = "address";
	else
		reason = refuse_request(node, version);
	if (reason != NULL) {
		counter_inc_reason("lagoonpin_config_request_refused", reason);
		return;
	}
	answer = json_pack("{ss ss sI ss ss%}", "t", "config", "id", node->id,
	    "version", (json_int_t)node->confsync.version, "key",
	    node->config_key, "value", node->config_value, node->config_len);
	if (exchange_get(message, &request))
		exchange_put(answer, &request);
	members_send(node, id, answer);
}

/*
 * Several peers may have been asked, and the answer of each is as good: only a
 * higher version takes effect.
 */

void
config_handle_answer(struct node *node, const json_t *message)
{
	enum exchange_fault fault;
	struct exchange_id request;
	struct kv_item item;
	const json_t *value;

	fault = exchange_check(node, message, &request);
	if (fault != EXCHANGE_OK) {
		exchange_drop("config", fault);
		return;
	}
	memset(&item, 0, sizeof(item));
	value = json_object_get(message, "value");
	item.key = json_string_value(json_object_get(message, "key"));
	item.value = json_string_value(value);
	item.len = json_string_length(value);
	if (item.key == NULL || item.value == NULL) {
		counter_inc_reason("lagoonpin_peer_refused", "field");
		return;
	}
	if (config_apply(node, &item, "peer") == CONFIG_INVALID)
		confsync_refused(&node->confsync,
		    json_integer_value(json_object_get(message, "version")));
}
