#include <ctype.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "learnimpl.h"

#define HISTORY_MS 300000
#define HALF_LIFE_MS 1800000
#define LATENCY_HALF_LIFE_MS 30000
#define PRIOR_WEIGHT 0.01
#define PRIOR_SD 0.05

static struct learn_tenant *find_current(struct learn_worker *, uint64_t);
static struct learn_tenant *find_slot(struct learn_worker *, int64_t);

struct learn *
learn_open(const struct learn_options *o)
{
	struct learn *l;

	if ((l = calloc(1, sizeof(*l))) == NULL)
		return NULL;
	if (o != NULL)
		l->o = *o;
	if (l->o.history_ms == 0)
		l->o.history_ms = HISTORY_MS;
	if (l->o.half_life_ms == 0)
		l->o.half_life_ms = HALF_LIFE_MS;
	if (l->o.latency_half_life_ms == 0)
		l->o.latency_half_life_ms = LATENCY_HALF_LIFE_MS;
	if (l->o.prior_weight == 0)
		l->o.prior_weight = PRIOR_WEIGHT;
	if (l->o.prior_sd == 0)
		l->o.prior_sd = PRIOR_SD;
	l->nkinds = 1;
	strlcpy(l->kinds[LEARN_KIND_OTHER].name, "other", LEARN_KIND_NAME_MAX);
	return l;
}

void
learn_close(struct learn *l)
{
	free(l);
}

int
learn_kind(struct learn *l, const char *name)
{
	int i;

	for (i = 0; i < l->nkinds; i++) {
		if (strncmp(l->kinds[i].name, name, LEARN_KIND_NAME_MAX - 1) ==
		    0)
			return i;
	}
	if (l->nkinds == LEARN_KINDS_MAX)
		return LEARN_KIND_OTHER;
	strlcpy(l->kinds[l->nkinds].name, name, LEARN_KIND_NAME_MAX);
	return l->nkinds++;
}

const char *
learn_kind_name(const struct learn *l, int kind)
{
	return l->kinds[kind].name;
}

void
learn_mark_service(struct learn *l, int kind)
{
	l->kinds[kind].service = 1;
}

void
learn_job_kind_name(const char *team, const char *job, char *buf, size_t size)
{
	size_t len;

	len = strlen(job);
	while (len > 1 &&
	    (isdigit((unsigned char)job[len - 1]) || job[len - 1] == '-' ||
		job[len - 1] == '.' || job[len - 1] == '_'))
		len--;
	strlcpy(buf, team, size);
	strlcat(buf, "/", size);
	if (strlen(buf) + len < size)
		size = strlen(buf) + len + 1;
	strlcat(buf, job, size);
}

struct learn_worker *
learn_worker_open(struct learn *l)
{
	struct learn_worker *w;

	if ((w = calloc(1, sizeof(*w))) == NULL)
		return NULL;
	w->learn = l;
	return w;
}

void
learn_worker_close(struct learn_worker *w)
{
	free(w);
}

static struct learn_tenant *
find_current(struct learn_worker *w, uint64_t tenant)
{
	int i;

	for (i = 0; i < w->ntenants; i++) {
		if (w->tenants[i].tenant == tenant &&
		    w->tenants[i].to_ms == INT64_MAX)
			return &w->tenants[i];
	}
	return NULL;
}

/*
 * Find a slot for a new tenant: that of the first to end if it ended longer ago
 * than any measurement can refer to, else an unused slot, else the first to
 * end.  NULL if all slots hold current tenants.
 */
static struct learn_tenant *
find_slot(struct learn_worker *w, int64_t now_ms)
{
	struct learn_tenant *first;
	int i;

	first = NULL;
	for (i = 0; i < w->ntenants; i++) {
		if (w->tenants[i].to_ms == INT64_MAX)
			continue;
		if (first == NULL || w->tenants[i].to_ms < first->to_ms)
			first = &w->tenants[i];
	}
	if (first != NULL && first->to_ms < now_ms - w->learn->o.history_ms)
		return first;
	if (w->ntenants < LEARN_TENANTS_MAX)
		return &w->tenants[w->ntenants++];
	return first;
}

void
learn_tenant_start(struct learn_worker *w, uint64_t tenant, int kind,
    int64_t cpu_millis, int64_t now_ms)
{
	struct learn_tenant *t;

	if (find_current(w, tenant) != NULL)
		return;
	if ((t = find_slot(w, now_ms)) == NULL)
		return;
	t->tenant = tenant;
	t->kind = kind;
	t->cpu_millis = cpu_millis;
	t->from_ms = now_ms;
	t->to_ms = INT64_MAX;
	w->version++;
}

void
learn_tenant_used(struct learn_worker *w, uint64_t tenant, int64_t cpu_millis)
{
	struct learn_tenant *t;

	if ((t = find_current(w, tenant)) == NULL)
		return;
	t->cpu_millis = cpu_millis;
	w->version++;
}

void
learn_tenant_end(struct learn_worker *w, uint64_t tenant, int64_t now_ms)
{
	struct learn_tenant *t;

	if ((t = find_current(w, tenant)) == NULL)
		return;
	t->to_ms = now_ms;
	w->version++;
}

size_t
learn_tenant_count(const struct learn_worker *w)
{
	size_t n;
	int i;

	n = 0;
	for (i = 0; i < w->ntenants; i++) {
		if (w->tenants[i].to_ms == INT64_MAX)
			n++;
	}
	return n;
}

int64_t
learn_cpu_millis(const struct learn_worker *w)
{
	int64_t sum;
	int i;

	sum = 0;
	for (i = 0; i < w->ntenants; i++) {
		if (w->tenants[i].to_ms == INT64_MAX)
			sum += w->tenants[i].cpu_millis;
	}
	return sum;
}

int64_t
learn_tenant_cpu(struct learn_worker *w, uint64_t tenant)
{
	const struct learn_tenant *t;

	t = find_current(w, tenant);
	return t != NULL ? t->cpu_millis : 0;
}

void
learn_shared_cpus(const struct learn_worker *w, uint64_t excluded,
    int64_t from_ms, int64_t to_ms, double cpus[LEARN_KINDS_MAX])
{
	const struct learn_tenant *t;
	int64_t from, to;
	int i;

	for (i = 0; i < w->learn->nkinds; i++)
		cpus[i] = 0;
	for (i = 0; i < w->ntenants; i++) {
		t = &w->tenants[i];
		from = t->from_ms > from_ms ? t->from_ms : from_ms;
		to = t->to_ms < to_ms ? t->to_ms : to_ms;
		if (t->tenant == excluded || to < from)
			continue;
		if (to_ms == from_ms)
			cpus[t->kind] +=
			    (double)t->cpu_millis / MILLIS_PER_PROCESSOR;
		else
			cpus[t->kind] += (double)t->cpu_millis /
			    MILLIS_PER_PROCESSOR * (double)(to - from) /
			    (double)(to_ms - from_ms);
	}
}

double
learn_decay(int64_t age_ms, int64_t half_life_ms)
{
	if (age_ms <= 0)
		return 1;
	return exp2(-(double)age_ms / (double)half_life_ms);
}
