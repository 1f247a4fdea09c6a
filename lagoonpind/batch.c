#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "batch.h"
#include "clock.h"
#include "counter.h"
#include "log.h"

#define SETTLE_FACTOR 2 /* silences that a home lasts before a move */
#define RETIRE_FIRST_MS 60000 /* by then the peers are known */
#define EPOCH_MIN_AGE_MS 10000 /* before lost credits raise it */
#define SPLITMIX64_STEP 0x9e3779b97f4a7c15ULL

static int batch_open(struct entry *);
static void batch_tick(struct entry *, int64_t);
static bool batch_http(struct entry *, struct httpd_request *);
static void batch_vm_changed(struct entry *, struct vm *, enum fleet_change);
static void batch_drain(struct entry *, int64_t);
static bool batch_drained(const struct entry *);
static void batch_close(struct entry *);
static void on_credits_lost(struct entry *, const char *, int, void *);
static void announce_owned(struct batch_shard *);
static void free_workers(struct batch *);
static void set_gauges(struct batch *);

const struct module batch_module = {
	.name = "batch",
	.open = batch_open,
	.tick = batch_tick,
	.http = batch_http,
	.vm_changed = batch_vm_changed,
	.explain = state_explain,
	.drain = batch_drain,
	.drained = batch_drained,
	.close = batch_close,
};

static const struct ledger_actions actions = {
	.write = write_ledger,
	.read_back = read_ledger,
	.fence = fence_worker,
	.renew = renew_worker,
	.start = start_task,
	.stop = stop_task,
	.checkpoint = checkpoint_task,
	.stop_stray = stop_stray,
	.pick_worker = pick_worker,
	.outcome = finish_outcome,
	.ended = finish_ended,
};

static int
batch_open(struct entry *e)
{
	struct commit_loop_options options = {
		.loop = &e->loop,
		.store = e->store,
		.commit_ms = e->opt.commit_ms,
	};
	struct batch *b;

	if ((b = calloc(1, sizeof(*b))) == NULL)
		return -1;
	e->batch = b;
	b->entry = e;
	b->random = (uint64_t)e->opt.seed;
	b->shard_options.silence_ms = e->opt.silence_ms;
	b->shard_options.settle_ms = e->opt.silence_ms * SETTLE_FACTOR;
	b->next_retire_ms = clock_now_ms() + RETIRE_FIRST_MS;
	b->actions = actions;
	b->actions.lost = own_on_lost;
	TAILQ_INIT(&b->shards);
	TAILQ_INIT(&b->calls);
	LIST_INIT(&b->requests);
	if ((b->learn = learn_open(&(struct learn_options){ 0 })) == NULL)
		return -1;
	if ((b->commit = commit_loop_open(&options)) == NULL)
		return -1;
	inbox_open(b);
	lend_on_lost(e, on_credits_lost, b);
	return 0;
}

/* splitmix64, seeded by a setting so that a run can be reproduced. */
uint64_t
batch_random(struct batch *b)
{
	uint64_t z;

	b->random += SPLITMIX64_STEP;
	z = b->random;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

struct batch_shard *
batch_shard_find(struct batch *b, const char *name)
{
	struct batch_shard *s;

	TAILQ_FOREACH (s, &b->shards, link) {
		if (strcmp(s->name, name) == 0)
			return s;
	}
	return NULL;
}

struct batch_shard *
batch_shard_get(struct batch *b, const char *name)
{
	struct batch_shard *s;

	if ((s = batch_shard_find(b, name)) != NULL)
		return s;
	if ((s = calloc(1, sizeof(*s))) == NULL)
		return NULL;
	if (strlcpy(s->name, name, sizeof(s->name)) >= sizeof(s->name)) {
		free(s);
		return NULL;
	}
	s->batch = b;
	TAILQ_INIT(&s->items);
	TAILQ_INSERT_TAIL(&b->shards, s, link);
	return s;
}

uint64_t
batch_worker_hash(const char *id)
{
	return XXH64(id, strlen(id), 0);
}

struct batch_worker *
batch_worker_get(struct batch *b, const char *id)
{
	struct batch_worker *w;
	uint64_t hash;
	size_t bucket;

	hash = batch_worker_hash(id);
	bucket = hash % BATCH_WORKER_BUCKETS;
	SLIST_FOREACH (w, &b->workers[bucket], link) {
		if (strcmp(w->id, id) == 0)
			return w;
	}
	if ((w = calloc(1, sizeof(*w))) == NULL)
		return NULL;
	if ((w->learn = learn_worker_open(b->learn)) == NULL) {
		free(w);
		return NULL;
	}
	strlcpy(w->id, id, sizeof(w->id));
	w->hash = hash;
	w->bind.id = hash;
	w->bind.learnt = w->learn;
	TAILQ_INIT(&w->throttles);
	SLIST_INSERT_HEAD(&b->workers[bucket], w, link);
	return w;
}

void
batch_worker_update(struct batch_shard *s, struct vm *v, int64_t now_ms)
{
	struct resources capacity = { v->info.cpu_millis, v->info.memory_mib,
		v->info.accelerators };
	struct ledger_worker *w;

	if (s->ledger == NULL || v->info.kind != VM_WORKER)
		return;
	w = ledger_worker_find(s->ledger, v->info.id);
	if (v->info.state == VM_GONE) {
		if (w != NULL)
			ledger_worker_gone(w, now_ms);
		return;
	}
	w = ledger_worker_set(s->ledger, v->info.id, &capacity, now_ms);
	if (w == NULL) {
		log_error("worker_not_added", "worker=%s", v->info.id);
		return;
	}
	ledger_worker_set_draining(w, v->info.state == VM_LEAVING);
	w->data = batch_worker_get(s->batch, v->info.id);
}

static void
batch_vm_changed(struct entry *e, struct vm *v, enum fleet_change change)
{
	struct batch_shard *s;

	(void)change;
	if (e->batch == NULL || v->shard == NULL)
		return;
	if ((s = batch_shard_get(e->batch, v->shard->name)) == NULL)
		return;
	batch_worker_update(s, v, clock_now_ms());
}

static void
announce_owned(struct batch_shard *s)
{
	s->announced = true;
	log_info("shard_owned", "shard=%s epoch=%llu tasks=%zu", s->name,
	    (unsigned long long)s->ledger->epoch, s->ledger->ntasks);
	member_own_shard(
	    mesh_members(s->batch->entry), s->name, s->ledger->epoch);
}

void
batch_step(struct batch_shard *s, int64_t now_ms)
{
	struct entry *e;

	if (s->ledger == NULL)
		return;
	e = s->batch->entry;
	ledger_set_store_available(
	    s->ledger, store_reachable(e->store, now_ms));
	if (!s->lost)
		ledger_step(s->ledger, now_ms);
	if (!s->announced && s->ledger->phase == LEDGER_OWNED)
		announce_owned(s);
	if (s->lost)
		own_close(s, now_ms);
}

static void
set_gauges(struct batch *b)
{
	struct batch_shard *s;
	uint64_t owned, tasks;

	owned = 0;
	tasks = 0;
	TAILQ_FOREACH (s, &b->shards, link) {
		if (s->ledger == NULL)
			continue;
		owned++;
		tasks += s->ledger->ntasks;
	}
	counter_set(counter_get("lagoonpin_shards_owned", ""), owned);
	counter_set(counter_get("lagoonpin_tasks_open", ""), tasks);
}

static void
batch_tick(struct entry *e, int64_t now_ms)
{
	struct batch_shard *s;
	struct batch *b;

	b = e->batch;
	call_tick(b, now_ms);
	record_tick(b, now_ms);
	TAILQ_FOREACH (s, &b->shards, link) {
		own_tick(s, now_ms);
		inbox_tick(s, now_ms);
		evict_tick(s, now_ms);
		batch_step(s, now_ms);
	}
	retire_tick(b, now_ms);
	set_gauges(b);
}

static bool
batch_http(struct entry *e, struct httpd_request *r)
{
	return accept_http(e, r) || job_http(e, r) || state_http(e, r);
}

static void
batch_drain(struct entry *e, int64_t now_ms)
{
	struct batch_shard *s;

	TAILQ_FOREACH (s, &e->batch->shards, link) {
		if (s->ledger == NULL)
			continue;
		log_info("shard_hand_over", "shard=%s epoch=%llu reason=drain",
		    s->name, (unsigned long long)s->ledger->epoch);
		ledger_release(s->ledger, now_ms);
		batch_step(s, now_ms);
	}
}

static bool
batch_drained(const struct entry *e)
{
	const struct batch_shard *s;

	TAILQ_FOREACH (s, &e->batch->shards, link) {
		if (s->ledger != NULL)
			return false;
	}
	return LIST_EMPTY(&e->batch->requests);
}

static void
free_workers(struct batch *b)
{
	struct batch_throttle *t;
	struct batch_worker *w;
	size_t i;

	for (i = 0; i < BATCH_WORKER_BUCKETS; i++) {
		while ((w = SLIST_FIRST(&b->workers[i])) != NULL) {
			SLIST_REMOVE_HEAD(&b->workers[i], link);
			while ((t = TAILQ_FIRST(&w->throttles)) != NULL) {
				TAILQ_REMOVE(&w->throttles, t, link);
				free(t);
			}
			learn_worker_close(w->learn);
			free(w);
		}
	}
}

static void
batch_close(struct entry *e)
{
	struct batch_shard *s;
	struct batch *b;

	if ((b = e->batch) == NULL)
		return;
	/* Close it first: its callbacks use the shards. */
	if (b->commit != NULL)
		commit_loop_close(b->commit);
	while ((s = TAILQ_FIRST(&b->shards)) != NULL) {
		TAILQ_REMOVE(&b->shards, s, link);
		ledger_close(s->ledger);
		s->ledger = NULL;
		call_cancel(b, s->name);
		inbox_clear(s);
		free(s);
	}
	/* Detach the requests; the store's callbacks free them later. */
	while (!LIST_EMPTY(&b->requests))
		request_end(LIST_FIRST(&b->requests));
	record_close(b);
	free_workers(b);
	learn_close(b->learn);
	e->batch = NULL;
	free(b);
}

void
batch_item_name(struct batch *b, char *buf, size_t size)
{
	snprintf(buf, size, "%s-%llu-%llu", b->entry->opt.id,
	    (unsigned long long)b->entry->incarnation,
	    (unsigned long long)++b->nonce);
}

bool
batch_owner_epoch(const struct entry *e, const char *shard, uint64_t *epoch)
{
	struct batch_shard *s;

	s = batch_shard_find(e->batch, shard);
	if (s == NULL || s->ledger == NULL ||
	    !ledger_may_send(s->ledger, clock_now_ms()))
		return false;
	*epoch = s->ledger->epoch;
	return true;
}

/*
 * Credits lost with an entry are issued again only at a higher epoch: give up
 * the shard and reacquire it at once.  Its tasks keep running.
 */
static void
on_credits_lost(struct entry *e, const char *shard, int slots, void *ctx)
{
	struct batch_shard *s;
	int64_t now_ms;

	(void)ctx;
	s = batch_shard_find(e->batch, shard);
	if (s == NULL || s->ledger == NULL ||
	    s->ledger->phase != LEDGER_OWNED || s->ledger->higher_epoch_seen)
		return;
	now_ms = clock_now_ms();
	if (now_ms - s->ledger->taken_ms < EPOCH_MIN_AGE_MS)
		return;
	counter_inc_reason("lagoonpin_epoch_raises", "credits_lost");
	log_info("epoch_raise", "shard=%s epoch=%llu slots=%d", shard,
	    (unsigned long long)s->ledger->epoch, slots);
	ledger_reacquire(s->ledger);
}

void
request_begin(
    struct batch *b, struct pending_request *p, struct httpd_request *http)
{
	p->batch = b;
	p->http = http;
	LIST_INSERT_HEAD(&b->requests, p, link);
}

void
request_end(struct pending_request *p)
{
	LIST_REMOVE(p, link);
	p->batch = NULL;
	p->http = NULL;
}

void
request_gone(struct httpd_request *r, void *ctx)
{
	struct pending_request *p;

	(void)r;
	p = ctx;
	p->http = NULL;
}
