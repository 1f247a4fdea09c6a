#include <stdlib.h>
#include <string.h>

#include "callers.h"
#include "conf.h"
#include "counter.h"
#include "learn.h"

/* Services from the configuration records and the VM list. */

#define RETRY_PERCENT_DEFAULT 10
/* Retries within BUDGET_BUCKETS that need no successes, so that a service with
 * few calls may retry. */
#define RETRY_RESERVE 10
#define WEIGHT_DEFAULT 1

static void service_apply(struct call_service *, const struct conf *);

struct call_service *
service_find(struct callers *cs, const char *name)
{
	struct call_service *s;

	LIST_FOREACH (s, &cs->services, link) {
		if (strcmp(s->name, name) == 0)
			return s;
	}
	return NULL;
}

struct call_service *
service_new(struct callers *cs, const char *name)
{
	struct call_service *s;
	int i;

	if ((s = calloc(1, sizeof(*s))) == NULL)
		return NULL;
	if (strlcpy(s->name, name, sizeof(s->name)) >= sizeof(s->name))
		goto fail;
	for (i = 0; i < NLANES; i++) {
		s->lanes[i].admit =
		    admit_add_service(cs->admit, WEIGHT_DEFAULT);
		if (s->lanes[i].admit == NULL)
			goto fail;
	}
	TAILQ_INIT(&s->hedges);
	s->kind = learn_kind(callers_learn(cs->entry), name);
	learn_mark_service(callers_learn(cs->entry), s->kind);
	s->deadline_ms = cs->entry->opt.deadline_ms;
	s->body_max = (size_t)cs->entry->opt.body_max_bytes;
	budget_init(&s->budget, RETRY_PERCENT_DEFAULT, 0, RETRY_RESERVE);
	s->latency = latency_get("lagoonpin_call_ms", name);
	LIST_INSERT_HEAD(&cs->services, s, link);
	service_apply(s, entry_conf(cs->entry));
	return s;

fail:
	for (i = 0; i < NLANES; i++) {
		if (s->lanes[i].admit != NULL)
			admit_remove_service(s->lanes[i].admit);
	}
	free(s);
	return NULL;
}

void
service_free(struct call_service *s)
{
	int i;

	for (i = 0; i < NLANES; i++) {
		admit_remove_service(s->lanes[i].admit);
		free(s->lanes[i].candidates);
	}
	LIST_REMOVE(s, link);
	free(s);
}

/* Applies the configuration records to the service. */
static void
service_apply(struct call_service *s, const struct conf *conf)
{
	const struct record_service *r;
	const struct record_policy *p;
	int64_t weight;
	int i;

	p = conf_policy(conf);
	s->budget.percent[BUDGET_RETRY] = (uint32_t)p->retry_percent;
	r = conf_service(conf, s->name);
	s->has_record = r != NULL;
	if (r == NULL)
		return;
	s->deadline_ms = r->deadline_ms;
	if (r->body_max > 0)
		s->body_max = (size_t)r->body_max;
	s->budget.percent[BUDGET_HEDGE] = (uint32_t)r->hedge_percent;
	weight = r->service_class == SERVICE_TAIL ? p->tail_weight :
						    p->throughput_weight;
	for (i = 0; i < NLANES; i++)
		admit_set_weight(s->lanes[i].admit, (unsigned int)weight);
}

void
services_apply_conf(struct callers *cs, int64_t now_ms)
{
	const struct conf_item *it;
	const struct conf *conf;
	struct call_service *s;
	char name[RECORD_NAME_SIZE];
	enum record_kind kind;

	conf = entry_conf(cs->entry);
	for (it = conf_first(conf); it != NULL; it = conf_next(conf, it)) {
		if (!record_key_parse(it->key, &kind, name))
			continue;
		if (kind == RECORD_TEAM)
			quota_set(cs->quota, name,
			    it->present ? it->record.as.team.calls_per_s : 0,
			    now_ms);
		else if (kind == RECORD_SERVICE && it->present &&
		    service_find(cs, name) == NULL)
			service_new(cs, name);
	}
	LIST_FOREACH (s, &cs->services, link)
		service_apply(s, conf);
}
