#ifndef LEAD_INT_H
#define LEAD_INT_H

#include "listsync.h"
#include "node_int.h"
#include "outbox.h"

/* Internal to the files of the leader. */

/* Save state of a job (sched_job.data). */
struct job_save {
	int64_t revision; /* of its progress in the store; 0: none */
	bool in_flight;
	bool single; /* a shared write was refused: write it alone */
	int64_t retry_ms; /* no write before */
};

/* Progress that was read before its job is known. */
struct loaded_progress {
	TAILQ_ENTRY(loaded_progress) link;
	char job[GRAPH_ID_MAX];
	char *text;
	size_t len;
	int64_t revision;
};
TAILQ_HEAD(loaded_progresses, loaded_progress);

/* A reply that is sent once the job is saved. */
struct pending_reply {
	TAILQ_ENTRY(pending_reply) link;
	char job[GRAPH_ID_MAX];
	uint64_t change;
	struct node_reply reply;
	struct exchange_id id; /* of the request */
	char from[ELECT_ID_MAX];
	lead_answered *answered;
	void *ctx;
};
TAILQ_HEAD(pending_replies, pending_reply);

struct unknown_job {
	LIST_ENTRY(unknown_job) link;
	char id[GRAPH_ID_MAX];
};
LIST_HEAD(unknown_jobs, unknown_job);

struct tombstone_request;
TAILQ_HEAD(tombstone_requests, tombstone_request);

#define EXPIRED_JOBS_MAX 256

/* State of the sweep of ended jobs' records. */
struct sweep {
	bool in_flight; /* a page is read, or its records are removed */
	int64_t next_ms; /* no page before */
	int64_t sent_ms; /* time of the removal */
	size_t n; /* records in the removal */
	char after[KEY_MAX]; /* last key examined; "": at the beginning */
	char next_after[KEY_MAX]; /* after this page; "": no more pages */
	uint64_t removed; /* by this sweep */
};

struct lead {
	struct node *node;
	struct sched *sched;
	struct order_relay *order_relay;
	struct outbox outbox; /* of orders that members relay */
	struct worker_ops workers; /* relayed by members, or direct */
	uv_timer_t timer;
	bool closed;
	bool deposed; /* a worker has seen a later term */
	int calls; /* references by calls under way */
	int handles;
	/* loading */
	int loading; /* parts that haven't been read yet */
	bool ready;
	int64_t opened_ms;
	int64_t load_logged_ms;
	struct loaded_progresses progresses;
	/* saving */
	int saves; /* writes under way */
	bool save_wanted;
	bool save_urgent; /* a job ended, and callers wait for its save */
	int64_t save_since_ms;
	int64_t save_retry_ms;
	int64_t pulse_ms; /* last written, or tried */
	bool pulse_in_flight;
	char *learnt_text; /* as last written */
	int64_t learnt_ms; /* when it was encoded */
	int64_t confirmed_ms; /* when the store last confirmed that we lead */
	/* No former leader started a job stored after it; 0: unknown. */
	int64_t exclusive_revision;
	int64_t tick_ms; /* last tick */
	int64_t resumed_ms; /* end of the last suspension; 0: never */
	struct pending_replies pending_replies;
	/* worker record */
	int64_t record_revision;
	bool record_in_flight;
	bool record_dirty;
	int64_t record_refresh_ms; /* time until the next rewrite; 0: none */
	int64_t record_ms; /* last sent */
	int64_t record_retry_ms;
	/* watches */
	int64_t jobs_revision;
	bool jobs_in_flight;
	int64_t jobs_ms;
	bool jobs_compacted; /* history lost: read all jobs again */
	char jobs_after[KEY_MAX]; /* last key read */
	int64_t jobs_reread_revision; /* continue the watch from here */
	struct listsync listsync; /* of the list of workers */
	int64_t workers_revision;
	int64_t list_old_ms; /* since when the list is too old to start by */
	uint32_t room_unknown; /* workers with entries that are too old */
	int64_t entries_old_ms; /* since when there are any */
	struct unknown_jobs unknown_jobs; /* looked up in the store */
	struct tombstone_requests tombstones; /* not written yet */
	size_t ntombstones; /* of these */
	bool tombstones_in_flight;
	int64_t tombstones_ms; /* no write before */
	/* ended jobs whose records may be removed */
	char expired_jobs[EXPIRED_JOBS_MAX][GRAPH_ID_MAX];
	size_t nexpired_jobs;
	bool expired_in_flight;
	struct sweep sweep; /* of records that former leaders left */
};

/* lead.c */
/* References by calls under way; the last one frees a closed lead. */
void lead_ref(struct lead *);
void lead_unref(struct lead *);
/* Adds a job unless it is known; inherited: stored before this term. */
struct sched_job *lead_add_job(
    struct lead *, const char *id, const struct stored_job *, bool inherited);
/* The same for an item of the store under KEY_JOB. */
struct sched_job *lead_add_stored_job(
    struct lead *, const struct kv_item *, bool inherited);
void lead_wakeup(struct lead *);

/*
 * Learned interference effects as text, owned by the lead; NULL: no write is
 * due or needed.  If only entries had them, they would be lost in a power
 * failure of all, and serving tasks would miss their targets until the effects
 * are learned again.  They have their own key, as the heartbeat key is written
 * each 500 ms.
 */
const char *lead_learnt_text(struct lead *, int64_t now_ms);
/* Loads the effects as the last leader wrote them; invalid ones are ignored. */
void lead_learnt_load(struct lead *, const struct kv_item *);

/* lead_request.c */
/* A worker lists a job that isn't known: look it up in the store. */
void lead_unknown_job(struct sched *, const char *id, void *ctx);

/* lead_tombstone.c */
enum tombstone_result {
	TOMBSTONE_WRITTEN, /* the job doesn't exist, and won't */
	TOMBSTONE_FOUND, /* the store has an item of the job */
	TOMBSTONE_FAILED, /* nothing is known: ask again */
	TOMBSTONE_FULL /* too many are kept: nothing was done */
};
/* found: for TOMBSTONE_FOUND, that under KEY_JOB or else KEY_ENDED. */
typedef void tombstone_done(
    enum tombstone_result, const struct kv_item *found, void *ctx);
/*
 * Write that a job which the store doesn't have may not be created any more.
 * The callback is called once, from within this function if the result is
 * TOMBSTONE_FULL.
 */
void tombstone_add(struct lead *, const char *job, tombstone_done *, void *ctx);
void tombstone_tick(struct lead *, int64_t now_ms);
/* Calls the callbacks of those not written with TOMBSTONE_FAILED. */
void tombstone_close(struct lead *);

/* lead_load.c */
void load_start(struct lead *);
/* Completes the load once all parts and the configuration have been read. */
void load_check(struct lead *);
void load_free(struct lead *);

/* lead_save.c */
void save_schedule(struct sched *, void *ctx);
bool save_job_expired(struct sched *, const char *job, void *ctx);
void save_tick(struct lead *, int64_t now_ms);
/* The condition of a write that the leader record still has our revision. */
void save_compare_leader(const struct lead *, struct kv_compare *);
/* Handles the result of any conditional write; false: the lead has ended. */
bool save_handle_result(
    struct lead *, const struct kv_result *, int64_t sent_ms);

/* lead_sweep.c */
void sweep_tick(struct lead *, int64_t now_ms);

/* lead_record.c */
/* The wanted record of a worker changed, or the worker was removed. */
void lead_record_changed(struct sched *, struct sched_worker *, void *ctx);
void lead_record_load(struct lead *, const struct kv_item *);
void lead_record_tick(struct lead *, int64_t now_ms);

/* lead_calls.c */
extern const struct sched_actions lead_sched_actions;
void lead_late_ends(const char *id, const struct poll_result *, void *ctx);

/* lead_closed.c */
/* Starts nothing while other data centres may have been closed. */
void lead_closed_check(struct lead *, int64_t now_ms);
/* Logs how much still runs in each closed data centre. */
void lead_closed_log(struct lead *, int64_t now_ms);

/* lead_fleet.c */
/* Takes the entry of a worker; call_number: of the call that returned it. */
void fleet_worker(struct lead *, uint64_t call_number, const struct kv_item *,
    int64_t now_ms);
void fleet_tick(struct lead *, int64_t now_ms);
/* Allows or stops starts by the age of the list of workers. */
void fleet_check_age(struct lead *, int64_t now_ms);
/* Logs when entries of workers get too old to start by, and new again. */
void fleet_note_rooms(struct lead *, const struct sched_load *, int64_t now_ms);

#endif /* LEAD_INT_H */
