#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "node_int.h"

/* Setup and shutdown of an entry, and the timer that drives its parts. */

#define TICK_MS 20
/*
 * Share of the link for messages that can wait, and the length of a burst.  The
 * rest is for responses to callers, and keeps the queue in front of heartbeats
 * short: without a limit, orders over a link of 2 Mbit/s took 600 ms under
 * load, their answers timed out, and each order was sent again.
 */
#define LINK_SHARE 0.9
#define LINK_BURST_MS 100
/* On leaving, open requests may take so long to be answered. */
#define LEAVE_TIMEOUT_MS 1500
/* What lasts so long is unlikely to pass soon. */
#define OUTRANKED_MS 2000

static void on_tick(uv_timer_t *);
static void on_handle_closed(uv_handle_t *);

struct node *
node_open(const struct node_options *options, enum node_error *error)
{
	struct elect_options elect;
	struct node *node;

	*error = NODE_ERR_MEMORY;
	if ((node = calloc(1, sizeof(*node))) == NULL)
		return NULL;
	node->opt = *options;
	strlcpy(node->id, options->id, sizeof(node->id));
	snprintf(node->address, sizeof(node->address), "%s:%d", options->ip,
	    options->port);
	/* Drawn, as clocks are stepped: no two lives have the same. */
	arc4random_buf(&node->incarnation, sizeof(node->incarnation));
	node->incarnation &= INT64_MAX;
	TAILQ_INIT(&node->leader_requests);
	TAILQ_INIT(&node->answers);
	running_lists_init(&node->lists);
	config_init(node);
	node->opened_ms = clock_now_ms();
	pacer_init(&node->link, LINK_SHARE * options->link_bytes_per_s,
	    LINK_BURST_MS, clock_now_ms());
	refused_init(&node->refused, "lagoonpin_record_refused");
	if ((node->accept = accept_open(node)) == NULL)
		goto fail;
	if ((*error = members_open(node)) != NODE_OK)
		goto fail;
	memset(&elect, 0, sizeof(elect));
	elect.self = node->id;
	elect.address = node->address;
	elect.incarnation = node->incarnation;
	elect.actions = &node_elect_actions;
	elect.ctx = node;
	elect_init(&node->elect, &elect, clock_now_ms());
	uv_timer_init(options->loop, &node->timer);
	node->timer.data = node;
	uv_timer_start(&node->timer, on_tick, 0, TICK_MS);
	uv_timer_init(options->loop, &node->reply_timer);
	node->reply_timer.data = node;
	node->open_handles = 2;
	return node;

fail:
	if (node->accept != NULL)
		accept_close(node->accept);
	free(node);
	return NULL;
}

const char *
node_strerror(enum node_error error)
{
	switch (error) {
	case NODE_OK:
		return "ok";
	case NODE_ERR_MEMORY:
		return "out of memory";
	case NODE_ERR_PEER:
		return "can't listen for other entries";
	}
	return "unknown";
}

void
node_set_gauges(const struct node *node)
{
	int64_t age_ms;

	counter_set(counter_get("lagoonpin_config_version", ""),
	    (uint64_t)node->confsync.version);
	age_ms = node_config_age_ms(node);
	if (age_ms >= 0)
		counter_set(counter_get("lagoonpin_config_age_ms", ""),
		    (uint64_t)age_ms);
	age_ms = node->lead != NULL ? lead_list_age_ms(node->lead) : 0;
	counter_set(counter_get("lagoonpin_worker_list_age_ms", ""),
	    age_ms > 0 ? (uint64_t)age_ms : 0);
	counter_set(counter_get("lagoonpin_data_centers_closed", ""),
	    node->closures.set.n);
	age_ms = confirmation_age_ms(&node->closures.confirmed, clock_now_ms());
	if (age_ms >= 0)
		counter_set(counter_get("lagoonpin_closures_age_ms", ""),
		    (uint64_t)age_ms);
	counter_set(counter_get("lagoonpin_workers_room_unknown", ""),
	    node->lead != NULL ? lead_rooms_unknown(node->lead) : 0);
}

bool
node_ready(const struct node *node)
{
	return !node->leaving && !node->closing && node->confsync.version > 0;
}

bool
node_configured(const struct node *node)
{
	return node->confsync.version > 0;
}

static bool
is_idle(const struct node *node)
{
	const struct leader_request *request;

	TAILQ_FOREACH (request, &node->leader_requests, link) {
		if (!request->dead)
			return false;
	}
	return accept_idle(node->accept);
}

static void
leave_tick(struct node *node, int64_t now_ms)
{
	void (*on_left)(void *);

	if (node->on_left == NULL)
		return;
	if (!is_idle(node) && now_ms - node->leaving_ms < LEAVE_TIMEOUT_MS)
		return;
	on_left = node->on_left;
	node->on_left = NULL;
	on_left(node->left_ctx);
}

bool
node_has_store(const struct node *node)
{
	const struct kv_ops *kv;

	kv = &node->opt.kv;
	return kv->answered_ms(kv->self) > kv->failed_ms(kv->self);
}

/* Gives up the lead: a member takes over at once. */
static void
hand_over(struct node *node, const char *reason, int64_t now_ms)
{
	bool exclusive;

	exclusive = lead_is_exclusive(node->lead, now_ms);
	node_step_down(node, reason);
	members_resign(node, exclusive);
}

/*
 * Why another member should lead; NULL: none should.  A weak entry may have
 * become leader while the stronger ones were absent or slower.  Its processor
 * and link can't keep up with the answers of hundreds of workers, so all jobs
 * take longer while it leads; a handover takes a tenth of a second.  A leader
 * that writes to the store but can't read the list of workers starts nothing,
 * while a member may be able to.
 */
static const char *
handover_reason(const struct node *node, int64_t now_ms)
{
	if (members_stronger(node, now_ms))
		return "stronger_member";
	if (lead_list_is_unread(node->lead, now_ms) &&
	    members_any_could_lead(node, now_ms))
		return "list_unread";
	return NULL;
}

/*
 * The handover waits until no former leader can act any more, since the next
 * leader would have to wait for that.
 */
static void
check_outranked(struct node *node, int64_t now_ms)
{
	const char *reason;

	reason = handover_reason(node, now_ms);
	if (!lead_has_store(node->lead, now_ms) ||
	    !lead_is_exclusive(node->lead, now_ms) || reason == NULL) {
		node->outranked_ms = 0;
		return;
	}
	if (node->outranked_ms == 0)
		node->outranked_ms = now_ms;
	if (now_ms - node->outranked_ms < OUTRANKED_MS)
		return;
	node->outranked_ms = 0;
	hand_over(node, reason, now_ms);
}

static void
on_tick(uv_timer_t *timer)
{
	struct node *node;
	int64_t now_ms;

	node = timer->data;
	if (node->closing)
		return;
	now_ms = clock_now_ms();
	elect_store_failed(
	    &node->elect, node->opt.kv.failed_ms(node->opt.kv.self));
	if (!node->leaving)
		elect_tick(&node->elect, now_ms);
	members_tick(node, now_ms);
	config_tick(node, now_ms);
	if (node->lead != NULL)
		lead_tick(node->lead, now_ms);
	if (node->lead != NULL)
		check_outranked(node, now_ms);
	leader_requests_tick(node, now_ms);
	accept_tick(node->accept, now_ms);
	leave_tick(node, now_ms);
}

void
node_step_down(struct node *node, const char *reason)
{
	log_info("step_down", "term=%llu reason=%s",
	    (unsigned long long)node->elect.leader.term, reason);
	elect_step_down(&node->elect, clock_now_ms());
}

void
node_leave(struct node *node, void (*on_left)(void *), void *ctx)
{
	node->leaving = true;
	node->leaving_ms = clock_now_ms();
	node->on_left = on_left;
	node->left_ctx = ctx;
	node->hello_ms = 0; /* tell the leader at once */
	if (node->lead != NULL)
		hand_over(node, "leaving", node->leaving_ms);
}

void
node_close(struct node *node)
{
	node->closing = true;
	if (node->lead != NULL)
		lead_close(node->lead);
	node->lead = NULL;
	leader_requests_close(node);
	accept_close(node->accept);
	relay_free_answers(node);
	members_close(node);
	json_decref(node->pending);
	node->pending = NULL;
	json_decref(node->full);
	node->full = NULL;
	json_decref(node->shut);
	node->shut = NULL;
	json_decref(node->learnt);
	node->learnt = NULL;
	json_decref(node->losses);
	node->losses = NULL;
	config_close(node);
	uv_timer_stop(&node->timer);
	uv_close((uv_handle_t *)&node->timer, on_handle_closed);
	uv_close((uv_handle_t *)&node->reply_timer, on_handle_closed);
}

static void
on_handle_closed(uv_handle_t *handle)
{
	struct node *node;

	node = handle->data;
	if (--node->open_handles > 0)
		return;
	refused_free(&node->refused);
	free(node);
}

static void
on_reply(uv_timer_t *timer)
{
	struct node *node;

	node = timer->data;
	if (!node->closing)
		relay_send_answers(node);
}

void
node_schedule_reply(struct node *node, uint64_t delay_ms)
{
	if (!uv_is_active((uv_handle_t *)&node->reply_timer) ||
	    uv_timer_get_due_in(&node->reply_timer) > delay_ms)
		uv_timer_start(&node->reply_timer, on_reply, delay_ms, 0);
}

/* Older counts may be less than half of the true ones. */
#define PENDING_MAX_AGE_MS 1500

int64_t
node_pending(struct node *node, const char *queue)
{
	int64_t count;
	json_t *counts;

	if (node->lead != NULL) {
		counts = lead_pending(node->lead);
		count = json_is_object(counts) ?
		    json_integer_value(json_object_get(counts, queue)) :
		    -1;
		json_decref(counts);
		return count;
	}
	if (!json_is_object(node->pending) ||
	    clock_now_ms() - node->pending_ms > PENDING_MAX_AGE_MS)
		return -1;
	return json_integer_value(json_object_get(node->pending, queue));
}

/* Older reports of full queues say nothing about the present room. */
#define FULL_MAX_AGE_MS 1500

static bool
has_name(const json_t *names, const char *wanted)
{
	const json_t *name;
	size_t i;

	json_array_foreach(names, i, name)
	{
		if (json_is_string(name) &&
		    strcmp(json_string_value(name), wanted) == 0)
			return true;
	}
	return false;
}

bool
node_queue_full(const struct node *node, const char *queue, int64_t now_ms)
{
	return now_ms - node->full_ms <= FULL_MAX_AGE_MS &&
	    has_name(node->full, queue);
}

bool
node_queue_shut(const struct node *node, const char *queue, int64_t now_ms)
{
	return now_ms - node->full_ms <= FULL_MAX_AGE_MS &&
	    has_name(node->shut, queue);
}
