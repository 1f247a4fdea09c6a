#include "clock.h"
#include "lead_int.h"
#include "log.h"

/* The leader's side of data centres that operators closed to new work. */

void
lead_closures(struct lead *l)
{
	sched_set_closures(l->sched, &l->node->closures.set);
	lead_wakeup(l);
}

void
lead_closed_check(struct lead *l, int64_t now_ms)
{
	const struct confirmation *confirmed;
	bool is_unknown;

	is_unknown = closed_is_unknown(l->node, now_ms);
	if (is_unknown == l->sched->closures_unknown)
		return;
	l->sched->closures_unknown = is_unknown;
	confirmed = &l->node->closures.confirmed;
	log_info(is_unknown ? "closures_old" : "closures_known",
	    "age_ms=%lld confirmed_by=%s limit_ms=%lld",
	    (long long)confirmation_age_ms(confirmed, now_ms),
	    confirmation_source_name(confirmed->by),
	    (long long)closed_limit_ms(l->node));
	l->sched->place_wanted = true;
	lead_wakeup(l);
}

void
lead_closed_log(struct lead *l, int64_t now_ms)
{
	const struct closures *closures;
	uint32_t workers, runs;
	size_t i;

	closures = &l->node->closures;
	for (i = 0; i < closures->set.n; i++) {
		sched_count_data_center(
		    l->sched, closures->set.names[i], &workers, &runs);
		log_info("data_center_is_closed",
		    "data_center=%s for_ms=%lld age_ms=%lld workers=%u "
		    "running=%u",
		    closures->set.names[i],
		    (long long)(now_ms - closures->since_ms[i]),
		    (long long)confirmation_age_ms(
			&closures->confirmed, now_ms),
		    workers, runs);
	}
}

json_t *
lead_shut_queues(struct lead *l)
{
	struct sched_queue *queue;
	json_t *shut;

	shut = json_array();
	if (!l->ready || l->node->closures.set.n == 0)
		return shut;
	TAILQ_FOREACH (queue, &l->sched->queues, link) {
		if (sched_all_closed(l->sched, queue->terms.service))
			json_array_append_new(shut, json_string(queue->name));
	}
	return shut;
}
