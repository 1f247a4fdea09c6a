#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "jsonfield.h"
#include "log.h"
#include "node_int.h"
#include "validate.h"

/* The leader record and the leader's heartbeat key in the store. */

struct record_read {
	struct node *node;
	struct elect_record record;
};

/*
 * Far more leaders than there will be.  The term after a larger one need not be
 * a number that others read, and attempt numbers, which hold it in 22 of 32
 * bits, would not rise.
 */
#define TERM_MAX 4000000

static void on_record(const struct kv_result *, void *);
static void on_pulse(const struct kv_result *, void *);
static void on_record_written(const struct kv_result *, void *);

/* Returns false if the value is not a valid leader record. */
static bool
decode_leader(const struct kv_item *item, struct elect_leader *leader)
{
	int64_t incarnation, term;
	json_t *object;
	bool result;

	memset(leader, 0, sizeof(*leader));
	object = json_loadb(item->value, item->len, 0, NULL);
	result = json_to_string(json_object_get(object, "id"), leader->id,
		     sizeof(leader->id)) &&
	    valid_token(leader->id, sizeof(leader->id)) &&
	    json_to_string(json_object_get(object, "address"), leader->address,
		sizeof(leader->address)) &&
	    valid_address(leader->address, sizeof(leader->address)) &&
	    json_to_int64(json_object_get(object, "incarnation"), 0, INT64_MAX,
		&incarnation) &&
	    json_to_int64(json_object_get(object, "term"), 1, TERM_MAX, &term);
	json_decref(object);
	if (!result)
		return false;
	leader->incarnation = (uint64_t)incarnation;
	leader->term = (uint64_t)term;
	return true;
}

/*
 * An invalid record names no leader, but its revision is used, so that a
 * takeover can replace it.  If it counted as a failed read, no entry could
 * ever lead.
 */
static void
read_leader(
    struct node *node, const struct kv_item *item, struct elect_record *record)
{
	record->found = true;
	if (!decode_leader(item, &record->leader)) {
		memset(&record->leader, 0, sizeof(record->leader));
		refused_note(&node->refused, KEY_LEADER, "not_a_leader");
	}
	record->leader.revision = item->revision;
}

void
election_read_record(struct elect *e, void *ctx)
{
	struct record_read *rr;
	struct node *node;

	node = ctx;
	if ((rr = calloc(1, sizeof(*rr))) == NULL) {
		elect_read(e, NULL, clock_now_ms());
		return;
	}
	rr->node = node;
	node->opt.kv.get(node->opt.kv.self, KEY_LEADER, on_record, rr);
}

static void
on_record(const struct kv_result *result, void *ctx)
{
	struct record_read *rr;
	struct node *node;

	rr = ctx;
	node = rr->node;
	if (result->error != KV_OK)
		goto fail;
	if (result->nitems > 0)
		read_leader(node, &result->items[0], &rr->record);
	node->opt.kv.get(node->opt.kv.self, KEY_PULSE, on_pulse, rr);
	return;

fail:
	elect_read(&node->elect, NULL, clock_now_ms());
	free(rr);
}

static void
on_pulse(const struct kv_result *result, void *ctx)
{
	struct record_read *rr;
	struct node *node;

	rr = ctx;
	node = rr->node;
	if (result->error != KV_OK)
		elect_read(&node->elect, NULL, clock_now_ms());
	else {
		if (result->nitems > 0)
			rr->record.pulse_revision = result->items[0].revision;
		elect_read(&node->elect, &rr->record, clock_now_ms());
	}
	free(rr);
}

void
election_write_record(
    struct elect *e, uint64_t term, int64_t revision, void *ctx)
{
	struct kv_compare compare;
	struct kv_txn txn;
	struct kv_put put;
	struct node *node;
	json_t *record;
	char *value;

	node = ctx;
	memset(&txn, 0, sizeof(txn));
	record = json_pack("{ss ss sI sI}", "id", node->id, "address",
	    node->address, "incarnation", (json_int_t)node->incarnation, "term",
	    (json_int_t)term);
	value = json_dumps(record, JSON_COMPACT);
	json_decref(record);
	if (value == NULL) {
		elect_write_done(e, ELECT_WRITE_CONFLICT, 0, clock_now_ms());
		return;
	}
	compare.key = KEY_LEADER;
	compare.revision = revision;
	put.key = KEY_LEADER;
	put.value = value;
	put.len = strlen(value);
	txn.compares = &compare;
	txn.ncompares = 1;
	txn.puts = &put;
	txn.nputs = 1;
	log_info("takeover_try", "term=%llu replaces=%s silent_ms=%lld",
	    (unsigned long long)term,
	    e->leader.id[0] != '\0' ? e->leader.id : "-",
	    (long long)(clock_now_ms() - e->heard_ms));
	node->opt.kv.txn(node->opt.kv.self, &txn, on_record_written, node);
	free(value);
}

static void
on_record_written(const struct kv_result *result, void *ctx)
{
	enum elect_write_result outcome;
	struct node *node;

	node = ctx;
	outcome = ELECT_WRITE_CONFLICT;
	if (result->error == KV_OK)
		outcome = ELECT_WRITE_DONE;
	else if (result->error == KV_UNKNOWN)
		outcome = ELECT_WRITE_UNKNOWN;
	elect_write_done(
	    &node->elect, outcome, result->revision, clock_now_ms());
}
