#include <stdio.h>

#include "node_int.h"

/*
 * Records of jobs in the store.  All readers of KEY_ENDED come here: that a
 * record exists doesn't tell yet that its job has ended, as it may be a
 * tombstone or of another writer.
 */

enum ended_record
ended_read(
    struct node *node, const struct kv_item *item, enum sched_job_state *state)
{
	enum ended_record record;

	record = codec_read_ended(item->value, item->len, state);
	if (record == ENDED_INVALID)
		refused_note(&node->refused, item->key, "not_an_end");
	return record;
}

const struct kv_item *
job_record_compared(
    const struct kv_result *result, const char *prefix, const char *job)
{
	const struct kv_item *item;
	char key[KEY_MAX];

	snprintf(key, sizeof(key), "%s%s", prefix, job);
	item = kv_result_item(result, key);
	return item != NULL && item->revision > 0 ? item : NULL;
}
