#ifndef NODE_INT_H
#define NODE_INT_H

#include <sys/queue.h>

#include <jansson.h>

#include "closures.h"
#include "codec.h"
#include "confsync.h"
#include "echo.h"
#include "elect.h"
#include "exchange.h"
#include "node.h"
#include "pacer.h"
#include "peer.h"
#include "refused.h"
#include "relay.h"

/* Internal to the files of an entry. */

/* Keys in the store. */
#define KEY_MAX 201 /* with the NUL */
#define KEY_JOB "lp/j/" /* + job: as submitted */
#define KEY_PROGRESS "lp/p/" /* + job: ends, failures, checkpoints */
#define KEY_ENDED "lp/e/" /* + job: final state, or a tombstone */
#define KEY_LEADER "lp/leader" /* the leader and its term */
#define KEY_PULSE "lp/pulse" /* heartbeat of the leader */
#define KEY_LEARNT "lp/learnt" /* learned interference effects */
#define KEY_WORKERS "lp/workers" /* the worker record */

#define MEMBERS_MAX 512

/* Members suspect the leader after the time of four heartbeats. */
#define HEARTBEAT_MS 150
#define HELLO_MS 500

/* Approximate overhead of a message, a put and a write. */
#define FRAME_BYTES 80
#define PUT_BYTES 80
#define WRITE_BYTES 300
/* The store takes values in base64. */
#define BASE64_GROWTH 1.34

/*
 * Maximum time for which a replaced leader may act: it freezes 1.3 s after the
 * last confirmation by the store or a member.
 */
#define LEAD_FORMER_MS 1600

struct member {
	TAILQ_ENTRY(member) link;
	char id[ELECT_ID_MAX];
	char address[ELECT_ADDRESS_MAX];
	double power;
	int64_t heard_ms;
	uint64_t term; /* that it follows */
	bool leaving; /* can't become the leader */
	bool has_store; /* it reaches the store */
	char data_center[GRAPH_NAME_MAX];
	int64_t avoid_until_ms; /* no orders to relay before; it lost one */
	bool can_relay; /* it reads orders of our version */
	struct relay_writer orders; /* batched for it */
	uint64_t listed; /* version of the member list that it has */
	int64_t list_sent_ms;
	struct echo echo; /* of its hello messages */
	bool sync_due; /* the next heartbeat answers a hello message */
	uint64_t voted; /* number of the vote request last answered */
};
TAILQ_HEAD(members, member);

/* Kinds of requests to the leader. */
enum leader_request_kind {
	LEADER_REQUEST_STATE,
	LEADER_REQUEST_CANCEL,
	LEADER_REQUEST_JOB,
	LEADER_REQUEST_STORE
};

/* A job as stored. */
struct stored_job {
	const char *text; /* NULL: not included */
	size_t len;
	int64_t revision;
};

struct leader_request {
	TAILQ_ENTRY(leader_request) link;
	struct node *node;
	struct exchange_id id;
	enum leader_request_kind kind;
	char job[GRAPH_ID_MAX];
	char *body; /* kinds JOB and STORE: text of the job */
	size_t body_len;
	int64_t revision; /* kind JOB: of the stored job */
	int64_t created_ms;
	int64_t deadline_ms;
	int64_t resend_ms;
	int sent;
	int64_t read_ms; /* no read of the store before */
	bool reading; /* from the store, since no leader answers */
	bool dead; /* the caller left during the read */
	node_replied *replied; /* NULL: no caller waits */
	void *ctx;
};
TAILQ_HEAD(leader_requests, leader_request);

struct lead;
struct accept;
struct answers;
TAILQ_HEAD(answers_list, answers);

struct node {
	struct node_options opt;
	char id[ELECT_ID_MAX];
	char address[ELECT_ADDRESS_MAX];
	uint64_t incarnation;
	uv_timer_t timer;
	int open_handles;
	bool closing;
	bool leaving;
	int64_t leaving_ms;
	void (*on_left)(void *);
	void *left_ctx;
	struct peer *peer;
	struct elect elect;
	struct members members; /* leader: heard; else: as it reported */
	uint64_t members_version;
	uint64_t members_list_version; /* of the last list received */
	uint64_t members_list_term; /* of the leader that sent it */
	uint64_t heartbeats_sent;
	struct leader_requests leader_requests;
	uint64_t next_request; /* number of the last one */
	struct exchange_id vote; /* the last request for votes */
	uint64_t leader_voted; /* number of that which the leader answered */
	int64_t hello_ms;
	int64_t heartbeat_ms;
	struct lead *lead; /* NULL: not leading */
	struct accept *accept;
	struct answers_list answers; /* of workers, for leaders */
	struct running_lists lists; /* of workers, as reported to leaders */
	struct pacer link; /* what the link can still take */
	struct refused refused; /* unusable items of other writers */
	uv_timer_t reply_timer;
	/* configuration */
	struct confsync confsync;
	const struct entry_config *config;
	struct closures closures; /* data centres that operators closed */
	/* of the read under way: */
	struct closure_set closures_read;
	int64_t config_read_revision; /* of its first page; 0: none yet */
	bool config_read_usable;
	int64_t config_revision; /* the watch continues from here */
	bool config_reading;
	bool config_watching;
	int64_t config_logged_ms; /* last line about a newer version */
	char config_key[KEY_MAX]; /* the item in force, for peers that ask */
	char *config_value; /* NULL: none */
	size_t config_len;
	char config_reporter[ELECT_ID_MAX]; /* of the highest version */
	char config_ask[ELECT_ID_MAX]; /* gets a request next; "": nobody */
	int64_t opened_ms; /* start of this process */
	struct echo leader_echo; /* of the heartbeats of this leader: */
	char leader_echo_id[ELECT_ID_MAX];
	uint64_t leader_echo_incarnation;
	/* reported by the leader */
	json_t *learnt; /* interference effects, or NULL */
	json_t *losses; /* that the leader has not saved, or NULL */
	int64_t losses_ms; /* when the leader reported them */
	json_t *pending;
	int64_t pending_ms;
	json_t *full; /* queues without room for long-running jobs, or NULL */
	json_t *shut; /* queues whose workers are all closed, or NULL */
	int64_t full_ms; /* when the leader reported both */
	int64_t outranked_ms; /* another member should lead since; 0: none */
};

/* members.c: the other entries and the connections to them */
enum node_error members_open(struct node *);
void members_close(struct node *);
/* Takes ownership of the message; false: certainly not sent. */
bool members_send(struct node *, const char *id, json_t *message);
/* The same for a binary message of that kind. */
bool members_send_bytes(
    struct node *, const char *id, const char *kind, const void *, size_t len);
/* A member follows us and reaches the store. */
bool members_any_could_lead(const struct node *, int64_t now_ms);
/* A much stronger member exists that could lead. */
bool members_stronger(const struct node *, int64_t now_ms);
struct member *member_get(struct node *, const char *id);

/* members_heartbeat.c: heartbeats and hello messages */
void members_tick(struct node *, int64_t now_ms);

/* members_vote.c: the election between entries */
/* Tells the members that we no longer lead: one of them takes over at once. */
void members_resign(struct node *, bool exclusive);
extern const struct elect_actions node_elect_actions;

/* leader_request.c: requests to the leader */
void leader_requests_tick(struct node *, int64_t now_ms);
void leader_requests_handle_answer(struct node *, const json_t *message);
void leader_requests_handle_request(struct node *, const json_t *message);
void leader_requests_leader_changed(struct node *);
struct leader_request *leader_request_new(struct node *,
    enum leader_request_kind, const char *job, int64_t deadline_ms,
    node_replied *, void *ctx);
void leader_requests_close(struct node *);

/* accept.c: storing of new jobs */
struct accept *accept_open(struct node *);
/* Stores a job; the text is copied. */
void accept_text(struct accept *, const char *id, const char *text, size_t len,
    int64_t deadline_ms, node_replied *, void *ctx);
void accept_tick(struct accept *, int64_t now_ms);
void accept_close(struct accept *);
bool accept_idle(const struct accept *);

/* config.c */
void config_init(struct node *);
void config_tick(struct node *, int64_t now_ms);
void config_close(struct node *);
/* Takes an item of the store; source: where it came from, for the log. */
enum config_reading config_apply(
    struct node *, const struct kv_item *, const char *source);

/* closed.c: data centres that operators closed */
/* Takes an item that a watch returned, if it closes or opens one. */
void closed_handle_event(struct node *, const struct kv_item *, int64_t now_ms);
/* Collects those of a page of a read. */
void closed_handle_page(struct node *, const struct kv_result *);
/* The read that began at begun_ms is complete. */
void closed_handle_read(struct node *, int64_t begun_ms, int64_t now_ms);
/* Adds what is known and how long ago it was confirmed. */
void closed_add(struct node *, json_t *message, int64_t now_ms);
/* Takes what a peer knows; sent_ms: not sent before, or -1 if not known. */
void closed_handle_peer(
    struct node *, const json_t *message, int64_t sent_ms, int64_t now_ms);
/* Tasks are started by what is known up to this age. */
int64_t closed_limit_ms(const struct node *);
/* What is known may be too old to start tasks by. */
bool closed_is_unknown(const struct node *, int64_t now_ms);

/* config_peer.c: the configuration between entries */
void config_peer_tick(struct node *, int64_t now_ms);
/* Adds how long ago our version was confirmed to be the newest. */
void config_add_sync(
    struct node *, json_t *message, const struct echo *, int64_t now_ms);
/* The echo of a leader's heartbeats; begins anew with another leader. */
const struct echo *config_leader_echo(
    struct node *, const struct elect_leader *);
/* Takes the leader's version and the age of what it knows. */
void config_handle_heartbeat(struct node *, const json_t *message,
    const struct elect_leader *, int64_t now_ms);
/* Takes the version that a peer has in force. */
void config_handle_version(
    struct node *, const json_t *message, const char *from, int64_t now_ms);
/* Takes that, and the age of what the peer knows. */
void config_handle_sync(struct node *, const json_t *message, const char *from,
    struct echo *, int64_t now_ms);
void config_handle_request(struct node *, const json_t *message);
void config_handle_answer(struct node *, const json_t *message);

/* node.c */
/* As far as known, the store can be reached. */
bool node_has_store(const struct node *);
/* The leader has no room for new long-running jobs of this queue. */
bool node_queue_full(const struct node *, const char *queue, int64_t now_ms);
/* All workers of this queue are in closed data centres. */
bool node_queue_shut(const struct node *, const char *queue, int64_t now_ms);

/* election.c: the leader record in the store */
void election_read_record(struct elect *, void *ctx);
void election_write_record(
    struct elect *, uint64_t term, int64_t revision, void *);

/* job_record.c: records of jobs in the store */
/*
 * What the item under KEY_ENDED says; one that says nothing is noted as
 * refused.
 */
enum ended_record ended_read(
    struct node *, const struct kv_item *, enum sched_job_state *);
/* The job's key among those that a write compared; NULL: it doesn't exist. */
const struct kv_item *job_record_compared(
    const struct kv_result *, const char *prefix, const char *job);

/* lead.c: the leader */
struct lead *lead_open(struct node *);
void lead_close(struct lead *);
void lead_tick(struct lead *, int64_t now_ms);
void lead_config(struct lead *);
/* Takes the data centres that are closed now. */
void lead_closures(struct lead *);
/* Answers of workers that a member relayed; lead may be NULL. */
void lead_handle_answers(struct lead *, const void *message, size_t len);
/* The list of members changed. */
void lead_members(struct lead *);
bool lead_has_store(const struct lead *, int64_t now_ms);
/* No leader of an earlier term can act any more. */
bool lead_is_exclusive(const struct lead *, int64_t now_ms);
/* The store has answered no read or watch of the list of workers lately. */
bool lead_list_is_unread(const struct lead *, int64_t now_ms);
/* Age of what is known of the workers' rooms; -1: nothing is. */
int64_t lead_list_age_ms(const struct lead *);
/* Workers whose entries are too old to start tasks by. */
uint32_t lead_rooms_unknown(const struct lead *);
json_t *lead_pending(struct lead *);
/*
 * Queues without room for new long-running jobs; see sched_measure_headroom().
 */
json_t *lead_full_queues(struct lead *);
/* Queues all of whose workers are in closed data centres. */
json_t *lead_shut_queues(struct lead *);
/* Interference effects for the next leader; see interference_foreach(). */
json_t *lead_learnt(struct lead *);
/*
 * Losses of tasks that aren't known to be in the store, as rows [job, losses];
 * NULL if there are none.
 */
json_t *lead_unsaved_losses(const struct lead *);
typedef void lead_answered(const struct node_reply *,
    const struct exchange_id *, const char *from, void *ctx);
/* The request and from are passed to the callback. */
void lead_request(struct lead *, enum leader_request_kind, const char *name,
    const struct stored_job *, const struct exchange_id *, const char *from,
    lead_answered *, void *ctx);
/* Sends the waiting answers to leaders within delay_ms. */
void node_schedule_reply(struct node *, uint64_t delay_ms);
/* Ends our lead: the lead is stopped and freed. */
void node_step_down(struct node *, const char *reason);

#endif /* NODE_INT_H */
