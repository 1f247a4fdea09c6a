#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"
#include "clock.h"
#include "counter.h"
#include "log.h"

/* Ownership of shards: acquisition, takeover, hand-over and loss. */

#define READ_INTERVAL_MS 500 /* of the record of an unowned shard */
#define RETRY_MS 500 /* delay after a failed call or write */
#define CONFIRM_MAX_MS 60000 /* longest interval of ownership checks */
#define CALL_TIMEOUT_MS 5000 /* of a call to a worker, plus its wait */
#define LOST_AFTER 3 /* unanswered calls until a worker is lost */
#define RENEW_GAP_MS 50 /* the worker itself delays its response */
#define MAX_FAILURES 5
#define MAX_NO_ROOM 3
#define JOB_REMOVALS_MAX 40 /* jobs removed in one write */

struct own_read {
	struct pending_request request;
	char shard[LEDGER_SHARD_MAX];
};

static bool is_home(struct batch_shard *, const char **, int64_t);
static void read_record(struct batch_shard *, int64_t);
static void on_record(const struct store_range_result *, void *);
static void evaluate_record(
    struct batch_shard *, const struct ledger_doc *, int64_t, int64_t);
static enum shard_verdict owner_verdict(
    struct batch_shard *, const struct ledger_head *, int64_t);
static void acquire(struct batch_shard *, const struct ledger_doc *, int64_t,
    enum shard_verdict, int64_t);
static struct ledger *open_ledger(struct batch_shard *);
static int load_ledger(struct batch_shard *, const struct ledger_doc *);
static void add_workers(struct batch_shard *, int64_t);
static void log_kept_off(struct batch_shard *, const char *, uint64_t);

size_t
own_live_entries(struct batch *b, const char **ids, size_t max, int64_t now_ms)
{
	const struct member *m;
	struct members *members;
	enum member_state state;
	size_t n;

	n = 0;
	if (b->entry->phase == ENTRY_RUNNING)
		ids[n++] = b->entry->opt.id;
	members = mesh_members(b->entry);
	for (m = member_first(members); m != NULL && n < max;
	     m = member_next(m)) {
		state = member_evaluate(members, m->record.id, 0, now_ms).state;
		if (state == MEMBER_ALIVE || state == MEMBER_SUSPECT)
			ids[n++] = m->record.id;
	}
	return n;
}

static bool
is_home(struct batch_shard *s, const char **home, int64_t now_ms)
{
	const char *ids[BATCH_LIVE_MAX];
	size_t n, at;

	n = own_live_entries(s->batch, ids, BATCH_LIVE_MAX, now_ms);
	at = shard_preferred_owner(s->name, ids, n);
	*home = at < n ? ids[at] : "";
	return strcmp(*home, s->batch->entry->opt.id) == 0;
}

void
own_tick(struct batch_shard *s, int64_t now_ms)
{
	const char *home;
	struct entry *e;

	e = s->batch->entry;
	if (e->phase != ENTRY_RUNNING || !watch_loaded(e))
		return;
	if (s->ledger == NULL) {
		if (!s->reading && now_ms >= s->next_try_ms &&
		    member_may_act(mesh_members(e), now_ms) &&
		    is_home(s, &home, now_ms))
			read_record(s, now_ms);
		return;
	}
	if (s->ledger->phase != LEDGER_OWNED || is_home(s, &home, now_ms) ||
	    home[0] == '\0') {
		s->home.preferred[0] = '\0';
		return;
	}
	if (!shard_hand_over(
		&s->batch->shard_options, &s->home, home, e->opt.id, now_ms))
		return;
	log_info("shard_hand_over", "shard=%s epoch=%llu to=%s reason=home",
	    s->name, (unsigned long long)s->ledger->epoch, home);
	counter_inc_reason("lagoonpin_shard_hand_overs", "home");
	ledger_release(s->ledger, now_ms);
}

/* Reads the ledger record to decide whether to acquire the shard. */
static void
read_record(struct batch_shard *s, int64_t now_ms)
{
	struct store_range_request request = { 0 };
	char key[BATCH_KEY_MAX];
	struct own_read *r;

	s->next_try_ms = now_ms + READ_INTERVAL_MS;
	if ((r = calloc(1, sizeof(*r))) == NULL)
		return;
	strlcpy(r->shard, s->name, sizeof(r->shard));
	snprintf(key, sizeof(key), BATCH_LEDGER_PREFIX "%s", s->name);
	request.key = key;
	if (store_range(s->batch->entry->store, &request, on_record, r) !=
	    STORE_OK) {
		free(r);
		return;
	}
	request_begin(s->batch, &r->request, NULL);
	s->reading = true;
}

static void
on_record(const struct store_range_result *result, void *ctx)
{
	struct ledger_fault fault;
	struct ledger_doc doc;
	enum ledger_json_error error;
	struct batch_shard *s;
	struct own_read *r;
	int64_t revision;

	r = ctx;
	if (r->request.batch == NULL)
		goto out;
	s = batch_shard_find(r->request.batch, r->shard);
	request_end(&r->request);
	if (s == NULL)
		goto out;
	s->reading = false;
	if (result->error != STORE_OK) {
		counter_inc_reason("lagoonpin_shard_reads_failed",
		    store_strerror(result->error));
		goto out;
	}
	memset(&doc, 0, sizeof(doc));
	revision = 0;
	if (result->nkvs > 0) {
		revision = result->kvs[0].mod_revision;
		error = ledger_json_parse(
		    result->kvs[0].value, result->kvs[0].len, &doc, &fault);
		if (error != LEDGER_JSON_OK) {
			/* Not acquired: an operator has to inspect it. */
			counter_inc_reason("lagoonpin_ledgers_refused",
			    ledger_json_strerror(error));
			log_error("ledger_refused",
			    "shard=%s error=%s field=%s index=%zu", s->name,
			    ledger_json_strerror(error), fault.field,
			    fault.index);
			goto out;
		}
	}
	evaluate_record(s, &doc, revision, clock_now_ms());
	ledger_doc_free(&doc);
out:
	free(r);
}

static enum shard_verdict
owner_verdict(
    struct batch_shard *s, const struct ledger_head *head, int64_t now_ms)
{
	struct shard_owner owner = { 0 };
	struct member_verdict v;
	struct members *members;
	size_t heard, answered;

	owner.none = head->owner[0] == '\0';
	owner.self = strcmp(head->owner, s->batch->entry->opt.id) == 0;
	members = mesh_members(s->batch->entry);
	if (!owner.none && !owner.self) {
		v = member_evaluate(members, head->owner, 0, now_ms);
		owner.left = v.state == MEMBER_LEFT;
		owner.vm_gone = v.vm == MEMBER_VM_GONE;
		owner.registered = v.state != MEMBER_DEAD;
		owner.silent_ms = v.silent_ms;
	}
	member_count_store_reachable(members, now_ms, &heard, &answered);
	/* An entry that knows no other can't be partitioned from one. */
	return shard_evaluate(&s->batch->shard_options, &owner, true,
	    heard == 0 && member_count(members) > 1);
}

static void
evaluate_record(struct batch_shard *s, const struct ledger_doc *doc,
    int64_t revision, int64_t now_ms)
{
	enum shard_verdict verdict;

	if (s->ledger != NULL || s->batch->entry->phase != ENTRY_RUNNING)
		return;
	verdict = owner_verdict(s, &doc->head, now_ms);
	if (verdict == SHARD_NO_TAKEOVER) {
		log_kept_off(s, doc->head.owner, doc->head.epoch);
		return;
	}
	acquire(s, doc, revision, verdict, now_ms);
}

/* The owner announces itself by gossip; only log it here. */
static void
log_kept_off(struct batch_shard *s, const char *owner, uint64_t epoch)
{
	log_debug("shard_kept_off", "shard=%s owner=%s epoch=%llu", s->name,
	    owner, (unsigned long long)epoch);
}

static struct ledger *
open_ledger(struct batch_shard *s)
{
	const struct options *opt;
	struct ledger_options options = { 0 };

	opt = &s->batch->entry->opt;
	options.shard = s->name;
	options.self = opt->id;
	options.lease_ms = opt->lease_ms;
	options.margin_ms = opt->margin_ms;
	options.hold_ms = opt->hold_ms;
	options.confirm_ms = opt->hold_ms / 4 < CONFIRM_MAX_MS ?
	    opt->hold_ms / 4 :
	    CONFIRM_MAX_MS;
	options.call_timeout_ms = opt->renew_ms + CALL_TIMEOUT_MS;
	options.renew_ms = RENEW_GAP_MS;
	options.retry_ms = RETRY_MS;
	options.ahead = (uint32_t)opt->ahead;
	options.lost_after = LOST_AFTER;
	options.max_failures = MAX_FAILURES;
	options.max_no_room = MAX_NO_ROOM;
	options.max_job_removals = JOB_REMOVALS_MAX;
	options.actions = &s->batch->actions;
	options.ctx = s;
	return ledger_open(&options);
}

static int
load_ledger(struct batch_shard *s, const struct ledger_doc *doc)
{
	enum ledger_error error;
	size_t i;

	for (i = 0; i < doc->ntasks; i++) {
		error = ledger_load_task(s->ledger, &doc->tasks[i]);
		if (error != LEDGER_OK) {
			log_error("ledger_not_loaded",
			    "shard=%s job=%s task=%u error=\"%s\"", s->name,
			    doc->tasks[i].job, doc->tasks[i].index,
			    ledger_strerror(error));
			return -1;
		}
		(void)record_get(s->batch, doc->tasks[i].job, clock_now_ms());
	}
	for (i = 0; i < doc->njobs; i++) {
		if (ledger_load_job(s->ledger, &doc->jobs[i]) != LEDGER_OK)
			return -1;
	}
	return 0;
}

static void
add_workers(struct batch_shard *s, int64_t now_ms)
{
	struct fleet_shard *rack;
	struct ledger_worker *w;
	struct vm *v;

	rack = fleet_find_shard(s->batch->entry->fleet, s->name);
	if (rack != NULL) {
		TAILQ_FOREACH (v, &rack->workers, shard_link)
			batch_worker_update(s, v, now_ms);
	}
	TAILQ_FOREACH (w, &s->ledger->workers, link) {
		w->heard_ms = now_ms;
		if (w->data == NULL)
			w->data = batch_worker_get(s->batch, w->id);
	}
}

static void
acquire(struct batch_shard *s, const struct ledger_doc *doc, int64_t revision,
    enum shard_verdict verdict, int64_t now_ms)
{
	if ((s->ledger = open_ledger(s)) == NULL)
		return;
	s->ledger->data = s;
	s->lost = false;
	s->announced = false;
	if (load_ledger(s, doc) == -1) {
		ledger_close(s->ledger);
		s->ledger = NULL;
		return;
	}
	add_workers(s, now_ms);
	ledger_acquire(s->ledger, &doc->head, revision, s->min_epoch, now_ms);
	s->inbox = INBOX_UNREAD;
	s->home.preferred[0] = '\0';
	log_info("shard_take",
	    "shard=%s epoch=%llu from=%s reason=%s tasks=%zu", s->name,
	    (unsigned long long)s->ledger->epoch,
	    doc->head.owner[0] == '\0' ? "-" : doc->head.owner,
	    shard_verdict_name(verdict), doc->ntasks);
	counter_inc_reason(
	    "lagoonpin_shard_takes", shard_verdict_name(verdict));
	batch_step(s, now_ms);
}

void
own_on_lost(struct ledger *l, enum ledger_lost reason, void *ctx)
{
	struct batch_shard *s;

	(void)l;
	s = ctx;
	s->lost = true;
	s->lost_reason = reason;
}

void
own_close(struct batch_shard *s, int64_t now_ms)
{
	struct ledger *l;
	uint64_t epoch;

	l = s->ledger;
	epoch = l->epoch;
	if (l->higher_epoch > s->min_epoch)
		s->min_epoch = l->higher_epoch;
	log_info("shard_lost", "shard=%s epoch=%llu reason=%s", s->name,
	    (unsigned long long)epoch, ledger_lost_name(s->lost_reason));
	counter_inc_reason(
	    "lagoonpin_shard_losses", ledger_lost_name(s->lost_reason));
	s->ledger = NULL;
	s->lost = false;
	s->next_try_ms = s->lost_reason == LOST_RELEASED ?
	    now_ms + READ_INTERVAL_MS :
	    now_ms;
	call_cancel(s->batch, s->name);
	inbox_clear(s);
	ledger_close(l);
}
