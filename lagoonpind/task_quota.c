#include <string.h>

#include "batch.h"
#include "share.h"

/* Applies a team's limits to its bound tasks in a shard, with core/share. */

static struct share_limit team_limit(struct batch *, const char *);
static bool is_unlimited(const struct share_limit *);
static void add_usage(struct share_usage *, struct batch_shard *, const char *);

static struct share_limit
team_limit(struct batch *b, const char *team)
{
	struct share_limit limit;
	const struct record_team *record;

	limit.size.accelerators = SHARE_UNLIMITED;
	limit.size.cpu_millis = SHARE_UNLIMITED;
	limit.size.memory_mib = SHARE_UNLIMITED;
	limit.tasks = SHARE_UNLIMITED;
	if ((record = conf_team(entry_conf(b->entry), team)) == NULL)
		return limit;
	if (record->cpu_millis != RECORD_NO_LIMIT)
		limit.size.cpu_millis = record->cpu_millis;
	if (record->memory_mib != RECORD_NO_LIMIT)
		limit.size.memory_mib = record->memory_mib;
	if (record->tasks != RECORD_NO_LIMIT)
		limit.tasks = record->tasks;
	return limit;
}

static bool
is_unlimited(const struct share_limit *limit)
{
	return limit->tasks == SHARE_UNLIMITED &&
	    limit->size.cpu_millis == SHARE_UNLIMITED &&
	    limit->size.memory_mib == SHARE_UNLIMITED;
}

size_t
quota_shards(struct batch *b, const char *team, const char **shards, size_t max)
{
	struct share_limit limit;
	struct fleet_shard *rack;
	size_t n;

	n = 0;
	TAILQ_FOREACH (rack, fleet_racks(b->entry->fleet), link) {
		if (rack->nworkers > 0 && n < max)
			shards[n++] = rack->name;
	}
	limit = team_limit(b, team);
	return share_rank_shards(&limit, team, shards, n);
}

static void
add_usage(struct share_usage *use, struct batch_shard *s, const char *team)
{
	const struct batch_job *job;
	struct ledger_worker *w;
	struct ledger_task *t;

	TAILQ_FOREACH (w, &s->ledger->workers, link) {
		TAILQ_FOREACH (t, &w->tasks, link) {
			job = record_find(s->batch, t->r.job);
			if (job == NULL || job->phase != RECORD_READY ||
			    strcmp(job->job.team, team) != 0)
				continue;
			use->tasks++;
			use->size.cpu_millis += t->r.size.cpu_millis;
			use->size.memory_mib += t->r.size.memory_mib;
		}
	}
}

enum quota_verdict
quota_check(struct batch_shard *s, const struct batch_job *job,
    const struct resources *size)
{
	const char *shards[BATCH_SHARDS_MAX];
	struct share_limit limit;
	struct share_usage use = { 0 };
	size_t i, n;

	limit = team_limit(s->batch, job->job.team);
	if (is_unlimited(&limit))
		return QUOTA_OK;
	n = quota_shards(s->batch, job->job.team, shards, BATCH_SHARDS_MAX);
	for (i = 0; i < n; i++) {
		if (strcmp(shards[i], s->name) == 0)
			break;
	}
	if (i == n)
		return QUOTA_ELSEWHERE;
	add_usage(&use, s, job->job.team);
	return share_allows(&limit, &use, size, n) ? QUOTA_OK : QUOTA_FULL;
}
