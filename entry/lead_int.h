#ifndef LEAD_INT_H
#define LEAD_INT_H

#include "node_int.h"
#include "outbox.h"

/* Shared by the files of the leader's part. */

/* What saving keeps for a job (sched_job.data). */
struct saved {
	int64_t revision; /* of its progress in the store; 0: none */
	bool in_flight;
	bool alone; /* a write with it was refused: it goes by itself */
	int64_t retry_ms; /* not again before */
};

/* Progress read before its job is known. */
struct loaded_progress {
	TAILQ_ENTRY(loaded_progress) link;
	char job[GRAPH_ID_MAX];
	char *text;
	size_t len;
	int64_t revision;
};
TAILQ_HEAD(loaded_progresses, loaded_progress);

/* A request that waits until the job is saved. */
struct waiter {
	TAILQ_ENTRY(waiter) link;
	char job[GRAPH_ID_MAX];
	uint64_t change;
	struct node_reply reply;
	uint64_t number;
	char from[ELECT_ID_MAX];
	lead_answered *answered;
	void *ctx;
};
TAILQ_HEAD(waiters, waiter);

struct unknown_job {
	LIST_ENTRY(unknown_job) link;
	char id[GRAPH_ID_MAX];
};
LIST_HEAD(unknowns, unknown_job);

#define FORGET_MAX 256

/* Where the sweep of ended jobs' records is. */
struct sweep {
	bool out; /* a page is read, or records of it are removed */
	int64_t next_ms; /* no page before */
	int64_t sent_ms; /* the write */
	size_t n; /* records that it removes */
	char after[KEY_MAX]; /* looked at up to here; "": at the beginning */
	char upto[KEY_MAX]; /* the same after this page; "": it is the last */
	uint64_t removed; /* by this sweep */
};

struct lead {
	struct node *node;
	struct sched *sched;
	struct order_relay *order_relay;
	struct outbox outbox; /* of orders that members carry */
	struct worker_ops workers; /* by members, or directly */
	uv_timer_t timer;
	bool closed;
	bool deposed; /* a worker has seen a later term */
	int calls; /* under way, that point here */
	int handles;
	/* loading */
	int loading; /* parts that aren't read yet */
	bool ready;
	int64_t opened_ms;
	int64_t load_ms; /* last logged */
	struct loaded_progresses progresses;
	/* saving */
	int saves; /* writes under way */
	bool save_wanted;
	bool save_soon; /* an end that callers wait for is among them */
	int64_t save_since_ms;
	int64_t save_retry_ms;
	int64_t pulse_ms; /* last written, or tried */
	bool pulse_in_flight;
	char *learnt_text; /* as last written */
	int64_t learnt_ms; /* as of */
	int64_t confirmed_ms; /* the store last said that we lead */
	/* A former leader started nothing stored after it; 0: not known. */
	int64_t settled_revision;
	int64_t tick_ms; /* we last ran */
	int64_t resumed_ms; /* after a pause; 0: never */
	struct waiters waiters;
	/* the record of workers */
	int64_t record_revision;
	bool record_in_flight;
	bool record_dirty;
	int64_t record_refresh_ms; /* write it again after so long; 0: not */
	int64_t record_ms; /* last sent */
	int64_t record_retry_ms;
	/* watches */
	int64_t jobs_revision;
	bool jobs_in_flight;
	int64_t jobs_ms;
	bool jobs_compacted; /* read all anew, */
	char jobs_after[KEY_MAX]; /* from here, */
	int64_t jobs_reread_revision; /* and watch from there */
	int64_t workers_revision;
	bool workers_in_flight;
	int64_t workers_ms;
	bool workers_reread;
	int64_t reread_ms; /* the whole list was last read */
	struct unknowns unknowns; /* jobs that the store is asked about */
	/* ended jobs whose keys may go */
	char forget[FORGET_MAX][GRAPH_ID_MAX];
	size_t nforget;
	bool forget_in_flight;
	struct sweep sweep; /* for records that former leaders left */
};

/* lead.c */
/* Each call that points to the lead holds it; the last one frees it. */
void lead_ref(struct lead *);
void lead_unref(struct lead *);
/* The job is new to us; inherited: stored before our term. */
struct sched_job *lead_add_job(
    struct lead *, const char *id, const struct stored_job *, bool inherited);
/* An item of the store under KEY_JOB. */
struct sched_job *lead_add_stored_job(
    struct lead *, const struct kv_item *, bool inherited);
void lead_wakeup(struct lead *);

/*
 * What was learnt of fillers, as text that stays the lead's; NULL: the store
 * needs no newer one now.  Kept only by entries it would be lost when all lose
 * power, and serving tasks would be late until it is learnt anew.  It has a key
 * of its own, as the pulse is written each 500 ms.
 */
const char *lead_learnt_text(struct lead *, int64_t now_ms);
/* As the last leader wrote it; what can't be read is passed over. */
void lead_learnt_load(struct lead *, const struct kv_item *);

/* lead_request.c */
/* A worker names a job that isn't known: ask the store. */
void lead_unknown(struct sched *, const char *id, void *ctx);

/* lead_load.c */
void load_start(struct lead *);
/* Begin to lead once all is read. */
void load_check(struct lead *);
void load_free(struct lead *);

/* lead_save.c */
void save_actions(struct sched *, void *ctx);
void save_forget(struct sched *, const char *job, void *ctx);
void save_tick(struct lead *, int64_t now_ms);
/* Name the leader's record at our revision: the write fails once it isn't. */
void save_compare_leader(const struct lead *, struct kv_compare *);
/* Common to the answers of all writes; false: the lead is over. */
bool save_answered(struct lead *, const struct kv_result *, int64_t sent_ms);

/* lead_sweep.c */
void sweep_tick(struct lead *, int64_t now_ms);

/* lead_record.c */
/* What the record should say of the worker changed, or it is forgotten. */
void lead_record_changed(struct sched *, struct sched_worker *, void *ctx);
void lead_record_load(struct lead *, const struct kv_item *);
void lead_record_tick(struct lead *, int64_t now_ms);

/* lead_calls.c */
extern const struct sched_actions lead_sched_actions;
void lead_late_ends(const char *id, const struct poll_result *, void *ctx);

/* lead_fleet.c */
void fleet_worker(struct lead *, const char *key, const char *value, size_t len,
    int64_t now_ms);
void fleet_tick(struct lead *, int64_t now_ms);
/* A whole list was read: those not in it have left. */
void fleet_begin(struct lead *);
void fleet_end(struct lead *, int64_t now_ms);

#endif /* LEAD_INT_H */
