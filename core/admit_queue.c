#include "admit_int.h"

/* Queues of the services, and trees of virtual times and deadlines. */

RB_GENERATE(admit_deadline_tree, admit_item, deadline_link, admit_deadline_cmp)
RB_GENERATE(admit_vtime_tree, admit_service, vtime_link, admit_vtime_cmp)

int
admit_deadline_cmp(const struct admit_item *a, const struct admit_item *b)
{
	if (a->deadline_ms != b->deadline_ms)
		return a->deadline_ms < b->deadline_ms ? -1 : 1;
	if (a->sequence != b->sequence)
		return a->sequence < b->sequence ? -1 : 1;
	return 0;
}

int
admit_vtime_cmp(const struct admit_service *a, const struct admit_service *b)
{
	if (a->vtime != b->vtime)
		return a->vtime < b->vtime ? -1 : 1;
	if (a->id != b->id)
		return a->id < b->id ? -1 : 1;
	return 0;
}

void
admit_vtime_insert(struct admit_vtime_tree *tree, struct admit_service *s)
{
	RB_INSERT(admit_vtime_tree, tree, s);
	s->tree = tree;
}

void
admit_vtime_remove(struct admit_service *s)
{
	if (s->tree == NULL)
		return;
	RB_REMOVE(admit_vtime_tree, s->tree, s);
	s->tree = NULL;
}

void
admit_enqueue(struct admit_item *it, bool at_head)
{
	struct admit_service *s;
	struct admit_queue *q;

	s = it->service;
	q = &s->queues[it->priority];
	if (at_head)
		TAILQ_INSERT_HEAD(q, it, link);
	else
		TAILQ_INSERT_TAIL(q, it, link);
	it->state = ADMIT_QUEUED;
	s->queued[it->priority]++;
	s->admit->queued++;
	s->admit->bytes += it->bytes;
	if (s->tree != NULL)
		return;
	/* An idle service doesn't catch up on the starts it didn't need. */
	if (s->vtime < s->admit->vtime)
		s->vtime = s->admit->vtime;
	admit_vtime_insert(&s->admit->ready, s);
}

void
admit_dequeue(struct admit_item *it)
{
	struct admit_service *s;

	s = it->service;
	TAILQ_REMOVE(&s->queues[it->priority], it, link);
	s->queued[it->priority]--;
	s->admit->queued--;
	s->admit->bytes -= it->bytes;
	if (s->queued[ADMIT_URGENT] + s->queued[ADMIT_NORMAL] == 0)
		admit_vtime_remove(s);
}

void
admit_detach(struct admit_item *it)
{
	struct admit_service *s;

	s = it->service;
	if (it->state == ADMIT_IDLE)
		return;
	if (it->state == ADMIT_QUEUED) {
		admit_dequeue(it);
	} else {
		s->running--;
		s->admit->running--;
	}
	RB_REMOVE(admit_deadline_tree, &s->admit->deadlines, it);
	it->state = ADMIT_IDLE;
}
