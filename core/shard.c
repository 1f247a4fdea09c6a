#include <string.h>

#include <xxhash.h>

#include "shard.h"

size_t
shard_preferred_owner(const char *shard, const char *const *ids, size_t n)
{
	XXH64_hash_t seed, score, best_score;
	size_t best, i;

	seed = XXH64(shard, strlen(shard), 0);
	best = n;
	best_score = 0;
	for (i = 0; i < n; i++) {
		score = XXH64(ids[i], strlen(ids[i]), seed);
		if (best == n || score > best_score ||
		    (score == best_score && strcmp(ids[i], ids[best]) < 0)) {
			best = i;
			best_score = score;
		}
	}
	return best;
}

enum shard_verdict
shard_evaluate(const struct shard_options *opt, const struct shard_owner *owner,
    bool is_preferred, bool alone)
{
	int64_t silence_ms;

	if (!is_preferred)
		return SHARD_NO_TAKEOVER;
	if (owner->none)
		return SHARD_TAKE_UNOWNED;
	if (owner->self)
		return SHARD_TAKE_BACK;
	if (owner->left)
		return SHARD_TAKE_LEFT;
	if (owner->vm_gone)
		return SHARD_TAKE_GONE;
	/*
	 * An entry that is partitioned from its peers keeps its registry lease,
	 * and one whose lease expired in a store outage still gossips.  Only
	 * both signs together indicate a dead owner.
	 */
	silence_ms = alone ? 2 * opt->silence_ms : opt->silence_ms;
	if (!owner->registered && owner->silent_ms >= silence_ms)
		return SHARD_TAKE_LAPSED;
	return SHARD_NO_TAKEOVER;
}

bool
shard_hand_over(const struct shard_options *opt,
    struct shard_owner_watch *watch, const char *preferred, const char *self,
    int64_t now_ms)
{
	if (strcmp(preferred, self) == 0) {
		watch->preferred[0] = '\0';
		return false;
	}
	if (strcmp(preferred, watch->preferred) != 0) {
		strlcpy(watch->preferred, preferred, sizeof(watch->preferred));
		watch->since_ms = now_ms;
		return false;
	}
	return now_ms - watch->since_ms >= opt->settle_ms;
}

const char *
shard_verdict_name(enum shard_verdict verdict)
{
	static const char *const names[] = { "keep_off", "free", "taken_back",
		"owner_left", "owner_gone", "owner_lapsed" };

	return names[verdict];
}
