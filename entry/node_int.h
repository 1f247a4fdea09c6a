#ifndef NODE_INT_H
#define NODE_INT_H

#include <sys/queue.h>

#include <jansson.h>

#include "relay.h"
#include "codec.h"
#include "elect.h"
#include "node.h"
#include "pacer.h"
#include "peer.h"
#include "refused.h"

/* Shared by the files of an entry; not for its users. */

/* Keys in the store. */
#define KEY_MAX 200
#define KEY_JOB "lp/j/" /* + job: what was handed in */
#define KEY_PROGRESS "lp/p/" /* + job: ends, failures, checkpoints */
#define KEY_ENDED "lp/e/" /* + job: how it ended */
#define KEY_LEADER "lp/leader" /* who leads, and its term */
#define KEY_PULSE "lp/pulse" /* rewritten while the leader has the store */
#define KEY_LEARNT "lp/learnt" /* what is known of fillers */
#define KEY_WORKERS "lp/workers" /* those that may run something */

#define MEMBERS_MAX 512

/* Headers of a message, or of a write, beside its own bytes; roughly. */
#define FRAME_BYTES 80
#define PUT_BYTES 80
#define WRITE_BYTES 300
/* The store takes values as base64 text. */
#define BASE64_GROWTH 1.34

/*
 * A leader that was replaced without knowing acts for no longer: it freezes
 * 1.3 s after the store or a member last confirmed it.
 */
#define LEAD_FORMER_MS 1600

struct member {
	TAILQ_ENTRY(member) link;
	char id[ELECT_ID_MAX];
	char address[ELECT_ADDRESS_MAX];
	double power;
	int64_t heard_ms;
	uint64_t term; /* that it follows */
	bool leaving; /* it won't lead */
	bool has_store; /* the store answers it */
	char data_center[GRAPH_NAME_MAX];
	int64_t
	    avoid_until_ms; /* it lost an order: it carries none until then */
	bool can_relay; /* it reads orders of our version */
	struct relay_writer orders; /* gathered for it */
	uint64_t listed; /* the list of members that it has */
	int64_t list_sent_ms;
};
TAILQ_HEAD(members, member);

/* A request of a caller on its way to the leader. */
enum leader_request_kind {
	LEADER_REQUEST_STATE,
	LEADER_REQUEST_CANCEL,
	LEADER_REQUEST_JOB,
	LEADER_REQUEST_STORE
};

/* A job as it was stored. */
struct stored_job {
	const char *text; /* NULL: not told */
	size_t len;
	int64_t revision;
};

struct leader_request {
	TAILQ_ENTRY(leader_request) link;
	struct node *node;
	uint64_t number;
	enum leader_request_kind kind;
	char job[GRAPH_ID_MAX];
	char *body; /* of LEADER_REQUEST_JOB and LEADER_REQUEST_STORE: the job's
		       text */
	size_t body_len;
	int64_t revision; /* of LEADER_REQUEST_JOB: when it was stored */
	int64_t created_ms;
	int64_t deadline_ms;
	int64_t resend_ms;
	int sent;
	int64_t read_ms; /* the store not before */
	bool reading; /* the store, since no leader answers */
	bool dead; /* the caller left while the store was read */
	node_replied *replied; /* NULL: nobody waits */
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
	struct members members; /* as leader: heard; else: as it told us */
	uint64_t members_version;
	uint64_t
	    members_list_version; /* as member: the version of the last list, */
	uint64_t members_list_term; /* of that term's leader */
	uint64_t heartbeats_sent;
	struct leader_requests leader_requests;
	uint64_t next_request;
	int64_t hello_ms;
	int64_t heartbeat_ms;
	struct lead *lead; /* NULL: not leading */
	struct accept *accept;
	struct answers_list answers; /* of workers, for leaders */
	struct running_lists lists; /* of workers, as leaders were told */
	struct pacer link; /* what our link can still take */
	struct refused refused; /* other writers' entries in our place */
	uv_timer_t reply_timer;
	/* configuration */
	int64_t config_version; /* 0: none yet */
	const struct entry_config *config;
	int64_t config_revision; /* the watch goes on from here */
	bool config_reading;
	bool config_watching;
	int64_t config_read_ms;
	int64_t peer_config_version; /* the highest that others have */
	/* the leader's counts of jobs that haven't begun */
	json_t *learnt; /* what the leader knew of fillers, or NULL */
	json_t *pending;
	int64_t pending_ms;
	json_t *full; /* queues that take no jobs that last, or NULL */
	int64_t full_ms; /* when the leader said so */
	int64_t outranked_ms; /* as leader, by a member since; 0: by none */
};

/* members.c: messages between entries */
enum node_error members_open(struct node *);
void members_tick(struct node *, int64_t now_ms);
void members_close(struct node *);
/* Takes the message over; false: certainly not sent. */
bool members_send(struct node *, const char *id, json_t *message);
/* Bytes of a message of that kind; the same. */
bool members_send_bytes(
    struct node *, const char *id, const char *kind, const void *, size_t len);
/* A member that is much stronger than we are, and could lead. */
bool members_stronger(const struct node *, int64_t now_ms);
/* Tell the members that we lead no more: one of them takes over at once. */
void members_resign(struct node *, bool alone);
extern const struct elect_actions node_elect_actions;
struct member *member_get(struct node *, const char *id);

/* asks.c: requests to the leader */
void leader_requests_tick(struct node *, int64_t now_ms);
void leader_requests_handle_answer(struct node *, const json_t *message);
void leader_requests_handle_request(struct node *, const json_t *message);
void leader_requests_leader_changed(struct node *);
struct leader_request *leader_request_new(struct node *,
    enum leader_request_kind, const char *job, int64_t deadline_ms,
    node_replied *, void *ctx);
void leader_requests_close(struct node *);

/* accept.c: new jobs into the store */
struct accept *accept_open(struct node *);
/* Store a job; the text is copied. */
void accept_text(struct accept *, const char *id, const char *text, size_t len,
    int64_t deadline_ms, node_replied *, void *ctx);
void accept_tick(struct accept *, int64_t now_ms);
void accept_close(struct accept *);
bool accept_idle(const struct accept *);

/* config.c */
void config_tick(struct node *, int64_t now_ms);

/* node.c */
/* The store answers us, as far as we know. */
bool node_has_store(const struct node *);
/* The leader has no room for new jobs that last in this queue. */
bool node_queue_full(const struct node *, const char *queue, int64_t now_ms);

/* election.c: the leader's record in the store */
void election_read_record(struct elect *, void *ctx);
void election_write_record(
    struct elect *, uint64_t term, int64_t revision, void *);

/* lead.c: what the leader does */
struct lead *lead_open(struct node *);
void lead_close(struct lead *);
void lead_tick(struct lead *, int64_t now_ms);
void lead_config(struct lead *);
/* Answers of workers that a member carried; lead may be NULL. */
void lead_carried(struct lead *, const void *message, size_t len);
/* Members came or went. */
void lead_members(struct lead *);
bool lead_has_store(const struct lead *, int64_t now_ms);
/* No leader of an earlier term acts any more. */
bool lead_is_exclusive(const struct lead *, int64_t now_ms);
json_t *lead_pending(struct lead *);
/* Queues that take no new jobs that last; see sched_measure_headroom(). */
json_t *lead_full_queues(struct lead *);
/* What was learnt of fillers, for a next leader; see interference_foreach(). */
json_t *lead_learnt(struct lead *);
typedef void lead_answered(
    const struct node_reply *, uint64_t number, const char *from, void *ctx);
/* from and number are given back with the answer. */
void lead_request(struct lead *, enum leader_request_kind, const char *id,
    const struct stored_job *, uint64_t number, const char *from,
    lead_answered *, void *ctx);
/* Answers for a leader wait: send them after so long. */
void node_schedule_reply(struct node *, uint64_t delay_ms);
/* Stop and free the lead; the record is given up when it may be. */
void node_step_down(struct node *, const char *reason);

#endif /* NODE_INT_H */
