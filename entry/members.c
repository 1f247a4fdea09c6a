#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "members_int.h"
#include "validate.h"

/*
 * The other entries: their list, the connections to them, sending, and the
 * dispatch of received messages by type.  Messages may be lost; each kind is
 * sent periodically or resent by its sender until answered.
 */

/* A member that sent no hello for this long is removed from the list. */
#define MEMBER_TIMEOUT_MS 3000
/* A member of at least this multiple of our power should lead instead. */
#define STRONGER_FACTOR 1.5
/* No member takes over whose last hello, sent each HELLO_MS, is older. */
#define CANDIDATE_HELLO_MAX_MS 1200

#define ZMTP_HEARTBEAT_MS 500
#define ZMTP_TIMEOUT_MS 1500
#define QUEUE_MAX 4096
#define MESSAGE_MAX ((size_t)4 * 1024 * 1024)
/* Significant digits of reals in JSON; learned effects are exact to two. */
#define REAL_DIGITS 4
/* Size of the label kind="..." of a counter. */
#define KIND_LABEL_MAX 64

static void on_message(const void *, size_t, void *);

const char *
members_get_text(const json_t *message, const char *key)
{
	const char *text;

	text = json_string_value(json_object_get(message, key));
	return text != NULL ? text : "";
}

int64_t
members_get_integer(const json_t *message, const char *key)
{
	return json_integer_value(json_object_get(message, key));
}

enum node_error
members_open(struct node *node)
{
	struct peer_options options;
	enum peer_error error;

	TAILQ_INIT(&node->members);
	memset(&options, 0, sizeof(options));
	options.loop = node->opt.loop;
	options.ip = node->opt.ip;
	options.port = node->opt.port;
	options.heartbeat_ms = ZMTP_HEARTBEAT_MS;
	options.heartbeat_timeout_ms = ZMTP_TIMEOUT_MS;
	options.retransmit_ms = ZMTP_TIMEOUT_MS;
	options.queue_max = QUEUE_MAX;
	options.message_max = MESSAGE_MAX;
	options.on_message = on_message;
	options.ctx = node;
	if ((node->peer = peer_open(&options, &error)) == NULL) {
		log_error("peer_open", "address=%s error=%s", node->address,
		    peer_strerror(error));
		return NODE_ERR_PEER;
	}
	return NODE_OK;
}

static void
member_free(struct member *member)
{
	relay_writer_free(&member->orders);
	free(member);
}

void
members_free(struct node *node)
{
	struct member *member;

	while ((member = TAILQ_FIRST(&node->members)) != NULL) {
		TAILQ_REMOVE(&node->members, member, link);
		member_free(member);
	}
}

void
members_close(struct node *node)
{
	members_free(node);
	peer_close(node->peer);
}

/* Count the bytes sent by kind of message. */
static void
count_sent(const char *kind, size_t len)
{
	char label[KIND_LABEL_MAX];

	snprintf(label, sizeof(label), "kind=\"%s\"", kind);
	counter_add(counter_get("lagoonpin_peer_bytes_sent", label), len);
}

bool
members_send_bytes(struct node *node, const char *id, const char *kind,
    const void *data, size_t len)
{
	/* A refused send is counted by the peer layer. */
	if (peer_send(node->peer, id, data, len) != PEER_OK)
		return false;
	count_sent(kind, len);
	pacer_consume(&node->link, (double)(len + FRAME_BYTES), clock_now_ms());
	return true;
}

bool
members_send(struct node *node, const char *id, json_t *message)
{
	char *text;
	bool sent;

	if (message == NULL)
		return false;
	text = json_dumps(
	    message, JSON_COMPACT | JSON_REAL_PRECISION(REAL_DIGITS));
	sent = text != NULL &&
	    members_send_bytes(
		node, id, members_get_text(message, "t"), text, strlen(text));
	json_decref(message);
	free(text);
	return sent;
}

struct member *
member_get(struct node *node, const char *id)
{
	struct member *member;

	TAILQ_FOREACH (member, &node->members, link) {
		if (strcmp(member->id, id) == 0)
			return member;
	}
	return NULL;
}

/* The list is in the order of succession: by decreasing power, then by id. */
static void
insert_member(struct node *node, struct member *member)
{
	struct member *other;

	TAILQ_FOREACH (other, &node->members, link) {
		if (other->power < member->power ||
		    (other->power == member->power &&
			strcmp(other->id, member->id) > 0)) {
			TAILQ_INSERT_BEFORE(other, member, link);
			return;
		}
	}
	TAILQ_INSERT_TAIL(&node->members, member, link);
}

struct member *
members_add_or_update(
    struct node *node, const char *id, const char *address, double power)
{
	struct member *member;

	if (id[0] == '\0' || strcmp(id, node->id) == 0)
		return NULL;
	if (peer_connect(node->peer, id, address) != PEER_OK)
		return NULL;
	if ((member = member_get(node, id)) != NULL) {
		if (strcmp(member->address, address) == 0)
			return member;
		strlcpy(member->address, address, sizeof(member->address));
		node->members_version++;
		return member;
	}
	if ((member = calloc(1, sizeof(*member))) == NULL)
		return NULL;
	strlcpy(member->id, id, sizeof(member->id));
	strlcpy(member->address, address, sizeof(member->address));
	member->power = power;
	relay_writer_init(&member->orders);
	insert_member(node, member);
	node->members_version++;
	lead_members(node->lead);
	return member;
}

static bool
could_lead(const struct node *node, const struct member *member, int64_t now_ms)
{
	return strcmp(member->id, node->id) != 0 && !member->leaving &&
	    member->has_store && member->term == node->elect.leader.term &&
	    now_ms - member->heard_ms < CANDIDATE_HELLO_MAX_MS;
}

bool
members_any_could_lead(const struct node *node, int64_t now_ms)
{
	const struct member *member;

	TAILQ_FOREACH (member, &node->members, link) {
		if (could_lead(node, member, now_ms))
			return true;
	}
	return false;
}

bool
members_stronger(const struct node *node, int64_t now_ms)
{
	const struct member *member;

	TAILQ_FOREACH (member, &node->members, link) {
		if (member->power >= STRONGER_FACTOR * node->opt.power &&
		    could_lead(node, member, now_ms))
			return true;
	}
	return false;
}

void
members_remove_silent(struct node *node, int64_t now_ms)
{
	struct member *member, *next;

	/*
	 * Without the store we may have been replaced: a silent member may
	 * be the new leader or follow it, and still counts.
	 */
	if (!lead_has_store(node->lead, now_ms))
		return;
	for (member = TAILQ_FIRST(&node->members); member != NULL;
	     member = next) {
		next = TAILQ_NEXT(member, link);
		if (now_ms - member->heard_ms < MEMBER_TIMEOUT_MS)
			continue;
		log_info("member_lost", "member=%s silent_ms=%lld", member->id,
		    (long long)(now_ms - member->heard_ms));
		peer_disconnect(node->peer, member->id);
		TAILQ_REMOVE(&node->members, member, link);
		lead_members(node->lead);
		member_free(member);
		node->members_version++;
	}
}

static void
on_relay_message(struct node *node, const void *data, size_t len)
{
	if (relay_is_orders(data, len))
		relay_handle_orders(node, data, len);
	else
		lead_handle_answers(node->lead, data, len);
}

/* They become keys of the store, addresses and values in log lines. */
static bool
fields_are_valid(const json_t *message)
{
	const char *id, *job, *address;

	id = json_string_value(json_object_get(message, "id"));
	job = json_string_value(json_object_get(message, "job"));
	address = json_string_value(json_object_get(message, "address"));
	return (id == NULL || valid_token(id, ELECT_ID_MAX)) &&
	    (job == NULL || valid_token(job, GRAPH_ID_MAX)) &&
	    (address == NULL || valid_address(address, ELECT_ADDRESS_MAX));
}

static void
on_message(const void *data, size_t len, void *ctx)
{
	struct node *node;
	const char *type;
	json_t *message;
	int64_t now_ms;

	node = ctx;
	if (node->closing)
		return;
	if (relay_is_message(data, len)) {
		on_relay_message(node, data, len);
		return;
	}
	now_ms = clock_now_ms();
	if ((message = json_loadb(data, len, 0, NULL)) == NULL) {
		counter_inc_reason("lagoonpin_peer_refused", "not_json");
		return;
	}
	if (!fields_are_valid(message)) {
		counter_inc_reason("lagoonpin_peer_refused", "field");
		json_decref(message);
		return;
	}
	type = members_get_text(message, "t");
	if (strcmp(type, "beat") == 0)
		members_handle_heartbeat(node, message, now_ms);
	else if (strcmp(type, "hello") == 0)
		members_handle_hello(node, message, now_ms);
	else if (strcmp(type, "ask") == 0)
		members_handle_vote_request(node, message, now_ms);
	else if (strcmp(type, "resign") == 0)
		members_handle_resign(node, message, now_ms);
	else if (strcmp(type, "vote") == 0)
		members_handle_vote(node, message);
	else if (strcmp(type, "request") == 0)
		leader_requests_handle_request(node, message);
	else if (strcmp(type, "answer") == 0)
		leader_requests_handle_answer(node, message);
	else if (strcmp(type, "config_request") == 0)
		config_handle_request(node, message);
	else if (strcmp(type, "config") == 0)
		config_handle_answer(node, message);
	else if (strcmp(type, "orders") == 0 || strcmp(type, "answers") == 0)
		counter_inc_reason("lagoonpin_peer_refused", "older_version");
	else
		counter_inc_reason("lagoonpin_peer_refused", "unknown_type");
	json_decref(message);
}
