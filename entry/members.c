#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node_int.h"

/*
 * Messages between entries: the leader's beats, the members' greetings, the
 * questions before a takeover, and callers' requests on their way to the
 * leader.  A message may be lost; each kind is repeated or asked for again.
 */

/* Four beats fit into the silence that makes a leader suspect. */
#define BEAT_MS 150
#define HELLO_MS 500
/* A member that is silent so long is left out of the list. */
#define MEMBER_MS 3000
/*
 * A member that hasn't confirmed the newest list gets it again so often, in
 * milliseconds: greetings, which confirm it, come each HELLO_MS.  Sent to all
 * in turn it would take bytes by the square of the members.
 */
#define LIST_MS 600
/* What was learnt of fillers goes with every so many: each 2.1 s. */
#define LEARNT_EVERY 14
/* To so many that would lead next; others find it in the store. */
#define LEARNT_HEIRS 3

/* A member with so many times our power leads better, */
#define STRONGER_TIMES 1.5
/* if it was heard so lately: its greetings come each HELLO_MS. */
#define STRONGER_HEARD_MS 1200

#define ZMTP_HEARTBEAT_MS 500
#define ZMTP_TIMEOUT_MS 1500
#define QUEUE_MAX 4096
#define MESSAGE_MAX ((size_t)4 * 1024 * 1024)
/* Of numbers with a fraction: figures learnt are good for two. */
#define DIGITS 4
/* kind="..." of a counter. */
#define KIND_LABEL_MAX 64

static void on_message(const void *, size_t, void *);
static void send_beats(struct node *, int64_t);

static const char *
text_of(const json_t *message, const char *key)
{
	const char *text;

	text = json_string_value(json_object_get(message, key));
	return text != NULL ? text : "";
}

static int64_t
number_of(const json_t *message, const char *key)
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

static void
forget_members(struct node *node)
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
	forget_members(node);
	peer_close(node->peer);
}

/* Bytes by kind of message: what the entry's link is used for. */
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
	text = json_dumps(message, JSON_COMPACT | JSON_REAL_PRECISION(DIGITS));
	sent = text != NULL &&
	    members_send_bytes(
		node, id, text_of(message, "t"), text, strlen(text));
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

/* In order of who should lead next: the strongest first. */
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

static struct member *
set_member(struct node *node, const char *id, const char *address, double power)
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

bool
members_stronger(const struct node *node, int64_t now_ms)
{
	const struct member *member;

	TAILQ_FOREACH (member, &node->members, link) {
		if (member->power >= STRONGER_TIMES * node->opt.power &&
		    !member->leaving && member->has_store &&
		    member->term == node->elect.leader.term &&
		    now_ms - member->heard_ms < STRONGER_HEARD_MS)
			return true;
	}
	return false;
}

/* The election's callbacks. */

static void
ask_members(struct elect *e, void *ctx)
{
	struct member *member;
	struct node *node;
	bool leader_asked;
	json_t *message;

	node = ctx;
	message = json_pack("{ss ss ss sI ss sI}", "t", "ask", "id", node->id,
	    "address", node->address, "term", (json_int_t)e->leader.term,
	    "leader", e->leader.id, "incarnation",
	    (json_int_t)e->leader.incarnation);
	leader_asked = false;
	TAILQ_FOREACH (member, &node->members, link) {
		if (strcmp(member->id, e->leader.id) == 0)
			leader_asked = true;
		members_send(node, member->id, json_incref(message));
	}
	if (!leader_asked && e->leader.id[0] != '\0' &&
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
	ask_members,
	election_read_record,
	election_write_record,
	on_changed,
};

/* What arrives. */

/* Which workers it is near to: known with its first greeting. */
static void
set_data_center(struct node *node, struct member *member, const char *name)
{
	if (strcmp(member->data_center, name) == 0)
		return;
	strlcpy(member->data_center, name, sizeof(member->data_center));
	lead_members(node->lead);
}

static void
on_hello(struct node *node, const json_t *message, int64_t now_ms)
{
	struct member *member;
	int64_t config;

	config = number_of(message, "config");
	if (config > node->peer_config_version)
		node->peer_config_version = config;
	if (node->lead == NULL)
		return;
	member = set_member(node, text_of(message, "id"),
	    text_of(message, "address"),
	    json_number_value(json_object_get(message, "power")));
	if (member == NULL)
		return;
	member->heard_ms = now_ms;
	member->term = (uint64_t)number_of(message, "term");
	member->leaving = json_is_true(json_object_get(message, "leaving"));
	member->has_store = json_is_true(json_object_get(message, "store"));
	member->can_relay = number_of(message, "carries") == RELAY_VERSION;
	member->listed = (uint64_t)number_of(message, "listed");
	set_data_center(node, member, text_of(message, "data_center"));
}

/* What a next leader needs at once: near members make its first calls. */
static void
read_member(struct node *node, const json_t *row)
{
	struct member *member;
	const char *data_center;

	member = set_member(node, json_string_value(json_array_get(row, 0)),
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
read_members(struct node *node, const json_t *list)
{
	const json_t *row;
	size_t i;

	forget_members(node);
	json_array_foreach(list, i, row)
	{
		if (i >= MEMBERS_MAX)
			break;
		read_member(node, row);
	}
}

static bool
members_valid(const json_t *list)
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

/* Takes the list over; NULL: the leader's version knows of none. */
static void
set_full(struct node *node, json_t *full, int64_t now_ms)
{
	json_decref(node->full);
	node->full = full;
	node->full_ms = now_ms;
}

static void
on_beat(struct node *node, const json_t *message, int64_t now_ms)
{
	struct elect_leader leader;
	const json_t *list;
	uint64_t before;
	int64_t config;

	memset(&leader, 0, sizeof(leader));
	strlcpy(leader.id, text_of(message, "id"), sizeof(leader.id));
	strlcpy(leader.address, text_of(message, "address"),
	    sizeof(leader.address));
	leader.incarnation = (uint64_t)number_of(message, "incarnation");
	leader.term = (uint64_t)number_of(message, "term");
	leader.revision = number_of(message, "revision");
	if (leader.id[0] == '\0' || strcmp(leader.id, node->id) == 0)
		return;
	before = node->elect.leader.term;
	if (!elect_heartbeat(&node->elect, &leader,
		json_is_true(json_object_get(message, "store")),
		(uint32_t)number_of(message, "rank"),
		(uint32_t)number_of(message, "members"), now_ms)) {
		return;
	}
	if (leader.term > before || member_get(node, leader.id) == NULL)
		peer_connect(node->peer, leader.id, leader.address);
	list = json_object_get(message, "list");
	if (members_valid(list)) {
		read_members(node, list);
		node->members_list_version =
		    (uint64_t)number_of(message, "listed");
		node->members_list_term = leader.term;
	}
	config = number_of(message, "config");
	if (config > node->peer_config_version)
		node->peer_config_version = config;
	if (json_is_array(json_object_get(message, "learnt"))) {
		json_decref(node->learnt);
		node->learnt = json_incref(json_object_get(message, "learnt"));
	}
	json_decref(node->pending);
	node->pending = json_incref(json_object_get(message, "pending"));
	node->pending_ms = now_ms;
	set_full(node, json_incref(json_object_get(message, "full")), now_ms);
}

static void
on_ask(struct node *node, const json_t *message, int64_t now_ms)
{
	const char *id;
	uint64_t term;
	bool resigned;

	id = text_of(message, "id");
	term = (uint64_t)number_of(message, "term");
	if (id[0] == '\0' ||
	    peer_connect(node->peer, id, text_of(message, "address")) !=
		PEER_OK)
		return;
	resigned = strcmp(text_of(message, "leader"), node->id) == 0 &&
	    (node->lead == NULL || node->elect.leader.term != term);
	members_send(node, id,
	    json_pack("{ss ss sI sb sb}", "t", "vote", "id", node->id, "term",
		(json_int_t)term, "grant",
		resigned || elect_grants_vote(&node->elect, term, now_ms),
		"resigned", (int)resigned));
	if (node->lead != NULL)
		node->heartbeat_ms = 0;
}

/* The leader gave up its term: no need to wait for silence. */
static void
on_resign(struct node *node, const json_t *message, int64_t now_ms)
{
	elect_resigned(&node->elect, (uint64_t)number_of(message, "term"),
	    json_is_true(json_object_get(message, "alone")), now_ms);
}

void
members_resign(struct node *node, bool alone)
{
	struct member *member;

	TAILQ_FOREACH (member, &node->members, link)
		members_send(node, member->id,
		    json_pack("{ss ss sI sb}", "t", "resign", "id", node->id,
			"term", (json_int_t)node->elect.leader.term, "alone",
			(int)alone));
}

static void
on_vote(struct node *node, const json_t *message)
{
	elect_vote(&node->elect, (uint64_t)number_of(message, "term"),
	    json_is_true(json_object_get(message, "grant")),
	    json_is_true(json_object_get(message, "resigned")));
}

static void
on_carried(struct node *node, const void *data, size_t len)
{
	if (relay_is_orders(data, len))
		relay_handle_orders(node, data, len);
	else
		lead_carried(node->lead, data, len);
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
		on_carried(node, data, len);
		return;
	}
	now_ms = clock_now_ms();
	if ((message = json_loadb(data, len, 0, NULL)) == NULL) {
		counter_reason("lagoonpin_peer_refused", "not_json");
		return;
	}
	type = text_of(message, "t");
	if (strcmp(type, "beat") == 0)
		on_beat(node, message, now_ms);
	else if (strcmp(type, "hello") == 0)
		on_hello(node, message, now_ms);
	else if (strcmp(type, "ask") == 0)
		on_ask(node, message, now_ms);
	else if (strcmp(type, "resign") == 0)
		on_resign(node, message, now_ms);
	else if (strcmp(type, "vote") == 0)
		on_vote(node, message);
	else if (strcmp(type, "request") == 0)
		leader_requests_handle_request(node, message);
	else if (strcmp(type, "answer") == 0)
		leader_requests_handle_answer(node, message);
	else if (strcmp(type, "orders") == 0 || strcmp(type, "answers") == 0)
		counter_reason("lagoonpin_peer_refused", "older_version");
	else
		counter_reason("lagoonpin_peer_refused", "unknown_type");
	json_decref(message);
}

/* What goes out by itself. */

static json_t *
list_members(struct node *node)
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

static void
drop_silent(struct node *node, int64_t now_ms)
{
	struct member *member, *next;

	/* It counts among those that may lead by now. */
	if (!lead_has_store(node->lead, now_ms))
		return;
	for (member = TAILQ_FIRST(&node->members); member != NULL;
	     member = next) {
		next = TAILQ_NEXT(member, link);
		if (now_ms - member->heard_ms < MEMBER_MS)
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

/* The member's newest word is that it has another list. */
static bool
needs_list(const struct node *node, struct member *member, int64_t now_ms)
{
	if (member->listed == node->members_version ||
	    now_ms - member->list_sent_ms < LIST_MS)
		return false;
	member->list_sent_ms = now_ms;
	return true;
}

/* What all beats of one round have in common. */
static json_t *
common_beat(struct node *node, int64_t now_ms, uint32_t members)
{
	return json_pack("{ss ss ss sI sI sI sb sI si so sO}", "t", "beat",
	    "id", node->id, "address", node->address, "incarnation",
	    (json_int_t)node->incarnation, "term",
	    (json_int_t)node->elect.leader.term, "revision",
	    (json_int_t)node->elect.leader.revision, "store",
	    (int)lead_has_store(node->lead, now_ms), "config",
	    (json_int_t)node->config_version, "members", (int)members,
	    "pending", lead_pending(node->lead), "full", node->full);
}

static json_t *
beat_for(struct node *node, struct member *member, const json_t *common,
    json_t *list, uint32_t rank, int64_t now_ms)
{
	json_t *beat;

	if ((beat = json_copy((json_t *)common)) == NULL)
		return NULL;
	json_object_set_new(beat, "rank", json_integer(rank));
	if (needs_list(node, member, now_ms)) {
		json_object_set(beat, "list", list);
		json_object_set_new(beat, "listed",
		    json_integer((json_int_t)node->members_version));
	}
	return beat;
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
send_beats(struct node *node, int64_t now_ms)
{
	json_t *beat, *common, *list, *learnt;
	struct member *member;
	uint32_t n, rank;

	drop_silent(node, now_ms);
	n = count_members(node);
	set_full(node, lead_full_queues(node->lead), now_ms);
	common = common_beat(node, now_ms, n > 0 ? n - 1 : 0);
	list = list_members(node);
	learnt = NULL;
	if (node->heartbeats_sent++ % LEARNT_EVERY == LEARNT_EVERY - 1)
		learnt = lead_learnt(node->lead);
	rank = 0;
	TAILQ_FOREACH (member, &node->members, link) {
		beat = beat_for(node, member, common, list,
		    member->leaving ? n : rank, now_ms);
		if (learnt != NULL && rank < LEARNT_HEIRS)
			json_object_set(beat, "learnt", learnt);
		members_send(node, member->id, beat);
		/* Nobody waits for one that won't lead. */
		if (!member->leaving)
			rank++;
	}
	json_decref(list);
	json_decref(learnt);
	json_decref(common);
}

static bool
send_hello(struct node *node)
{
	const struct elect_leader *leader;

	leader = &node->elect.leader;
	if (leader->id[0] == '\0' || strcmp(leader->id, node->id) == 0 ||
	    peer_connect(node->peer, leader->id, leader->address) != PEER_OK)
		return true;
	return members_send(node, leader->id,
	    json_pack("{ss ss ss ss sf sI sI si sI sb sb}", "t", "hello", "id",
		node->id, "data_center", node->opt.data_center, "address",
		node->address, "power", node->opt.power, "term",
		(json_int_t)leader->term, "config",
		(json_int_t)node->config_version, "carries", RELAY_VERSION,
		"listed",
		(json_int_t)(node->members_list_term == leader->term ?
			node->members_list_version :
			0),
		"leaving", (int)node->leaving, "store",
		(int)node_has_store(node)));
}

void
members_tick(struct node *node, int64_t now_ms)
{
	if (node->lead != NULL) {
		if (now_ms - node->heartbeat_ms < BEAT_MS)
			return;
		node->heartbeat_ms = now_ms;
		send_beats(node, now_ms);
		return;
	}
	if (now_ms - node->hello_ms < HELLO_MS)
		return;
	/* A connection that isn't made yet is tried again with each tick. */
	if (send_hello(node))
		node->hello_ms = now_ms;
}
