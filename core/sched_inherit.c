#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "sched_int.h"

/*
 * Tasks that earlier leaders may have left on workers that have not answered
 * this leader.  A task that no worker lists may run on such a worker; it waits
 * until the worker has answered, its incarnation is over, or all leases there
 * have expired.
 *
 * The worker record names the tasks of workers on which no leader starts
 * anything any more, and only these tasks wait for such a worker.  If all tasks
 * waited for each silent worker, none would start while workers keep leaving
 * and leaders succeed each other, as some worker would always have just gone.
 */

void
sched_worker_inherit(struct sched_worker *worker,
    const struct sched_inherited *from, int64_t now_ms)
{
	worker->inherited = from->record;
	worker->inherited_start_ms = from->started_ms;
	worker->record_start_ms = from->started_ms;
	worker->stored_start_ms = from->started_ms;
	worker->record_may = RECORD_BIT(from->record);
	worker->record_wanted = from->record;
	if (from->record == RECORD_EXPIRING)
		worker->inc.expires_ms = now_ms + from->lease_left_ms;
	if (from->record == RECORD_IN_USE || !from->tasks_known)
		return;
	worker->inherited_tasks =
	    reallocarray(NULL, from->ntasks + 1, sizeof(struct task_name));
	if (worker->inherited_tasks == NULL)
		return; /* NULL: any task may run there */
	if (from->ntasks > 0)
		memcpy(worker->inherited_tasks, from->tasks,
		    from->ntasks * sizeof(struct task_name));
	worker->ninherited_tasks = from->ntasks;
}

void
inherit_forget(struct sched_worker *worker)
{
	worker->inherited = RECORD_NONE;
	free(worker->inherited_tasks);
	worker->inherited_tasks = NULL;
	worker->ninherited_tasks = 0;
}

/*
 * The next leader starts a task that the record of its worker doesn't name,
 * unless the store says that the task is done.  So the record names a task
 * until the end of its run is saved, and tells no tasks as long as some of the
 * ends aren't known.  Otherwise a leader that ends between the two writes
 * leaves a task that is done to be run again.
 */
bool
sched_worker_each_task(const struct sched_worker *worker,
    void (*each)(const struct task_name *, void *ctx), void *ctx)
{
	const struct sched_stray *stray;
	const struct sched_end *end;
	const struct sched_run *run;
	struct task_name name;
	size_t i;

	if (!worker->inc.fenced) {
		for (i = 0; i < worker->ninherited_tasks; i++)
			each(&worker->inherited_tasks[i], ctx);
		return worker->inherited_tasks != NULL;
	}
	if (worker->inc.more_ends)
		return false;
	TAILQ_FOREACH (run, &worker->runs, by_worker) {
		sched_task_name(run->task, &name);
		each(&name, ctx);
	}
	SLIST_FOREACH (stray, &worker->inc.strays, link)
		each(&stray->task, ctx);
	STAILQ_FOREACH (end, &worker->inc.ends, link)
		each(&end->task, ctx);
	return true;
}

/* No task is named by sched_worker_each_task(). */
bool
worker_is_empty(const struct sched_worker *worker)
{
	if (!worker->inc.fenced)
		return worker->inherited_tasks != NULL &&
		    worker->ninherited_tasks == 0;
	return !worker->inc.more_ends && TAILQ_EMPTY(&worker->runs) &&
	    SLIST_EMPTY(&worker->inc.strays) && STAILQ_EMPTY(&worker->inc.ends);
}

bool
sched_worker_settled(const struct sched_worker *worker)
{
	return worker->inc.dead || worker->inc.lapsed || worker->inc.fenced ||
	    worker_is_empty(worker);
}

static uint64_t
hash_task_name(const struct task_name *name)
{
	uint64_t hash;

	hash = XXH64(name->job, strlen(name->job), name->occurrence);
	hash = XXH64(&name->step, sizeof(name->step), hash);
	return XXH64(&name->index, sizeof(name->index), hash);
}

static int
hash_cmp(const void *a, const void *b)
{
	const uint64_t *left, *right;

	left = a;
	right = b;
	return *left < *right ? -1 : *left > *right;
}

/* If memory is short or the tasks are unknown, all tasks wait. */
static void
add_inherited_tasks(struct sched *s, const struct sched_worker *worker)
{
	uint64_t *hashes;
	size_t i;

	if (worker->inherited_tasks == NULL) {
		s->any_task_inherited = true;
		return;
	}
	hashes = reallocarray(s->inherited_hashes,
	    s->ninherited_hashes + worker->ninherited_tasks + 1,
	    sizeof(*hashes));
	if (hashes == NULL) {
		s->any_task_inherited = true;
		return;
	}
	s->inherited_hashes = hashes;
	for (i = 0; i < worker->ninherited_tasks; i++)
		s->inherited_hashes[s->ninherited_hashes++] =
		    hash_task_name(&worker->inherited_tasks[i]);
}

void
sched_record_lost(struct sched *s)
{
	s->record_lost = true;
}

/* Ends the wait for workers that only the lost record named. */
static void
check_record_lost(struct sched *s, int64_t now_ms)
{
	int64_t expiry_ms;

	expiry_ms = lease_former_expiry_ms(s);
	if (now_ms >= expiry_ms)
		s->record_lost = false;
	else
		sched_due(s, expiry_ms);
}

void
inherit_update(struct sched *s, int64_t now_ms)
{
	struct sched_worker *worker;
	uint64_t unsettled;

	if (s->unsettled == 0)
		return;
	if (s->record_lost)
		check_record_lost(s, now_ms);
	/*
	 * Hashes of serials, not a count: one worker may be added as another
	 * is settled.
	 */
	unsettled = s->record_lost ? 1 : 0;
	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (worker->inherited != RECORD_NONE &&
		    !sched_worker_settled(worker))
			unsettled += XXH64(
			    &worker->inc.serial, sizeof(worker->inc.serial), 1);
	}
	if (unsettled == s->unsettled)
		return;
	s->unsettled = unsettled;
	s->place_wanted = true;
	s->ninherited_hashes = 0;
	s->any_task_inherited = s->record_lost;
	s->former_leader_active = s->record_lost;
	RB_FOREACH (worker, sched_worker_tree, &s->workers) {
		if (worker->inherited == RECORD_NONE ||
		    sched_worker_settled(worker))
			continue;
		add_inherited_tasks(s, worker);
		if (worker->inherited == RECORD_IN_USE)
			s->former_leader_active = true;
	}
	if (s->ninherited_hashes > 1)
		qsort(s->inherited_hashes, s->ninherited_hashes,
		    sizeof(*s->inherited_hashes), hash_cmp);
}

bool
inherit_blocks(const struct sched *s, const struct sched_task *task)
{
	const struct sched_job *job;
	struct task_name name;
	uint64_t hash;

	job = task_job(task);
	/*
	 * The former leader may have received the job before it noticed that it
	 * was replaced.  It starts nothing on workers whose record says that
	 * nothing is started there.
	 */
	if (job->origin != ORIGIN_INHERITED)
		return job->origin == ORIGIN_OVERLAP && s->former_leader_active;
	if (s->any_task_inherited || s->ninherited_hashes == 0)
		return s->any_task_inherited;
	sched_task_name(task, &name);
	hash = hash_task_name(&name);
	return bsearch(&hash, s->inherited_hashes, s->ninherited_hashes,
		   sizeof(hash), hash_cmp) != NULL;
}
