#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

RB_HEAD(vm_tree, vm);

struct fleet {
	struct fleet_options opt;
	struct vm_tree tree;
	struct vm_list vms;
	struct fleet_shards shards;
	int64_t applied_ms; /* -1: never */
};

static int vm_compare(struct vm *, struct vm *);
static struct vm *vm_add(struct fleet *, const struct vm_info *);
static int vm_join_shard(struct fleet *, struct vm *);
static void vm_update(
    struct fleet *, struct vm *, const struct vm_info *, int64_t);
static void vm_set_state(struct fleet *, struct vm *, enum vm_state, int64_t);
static bool same_address(const struct vm_info *, const struct vm_info *);

RB_PROTOTYPE(vm_tree, vm, by_id, vm_compare)
RB_GENERATE(vm_tree, vm, by_id, vm_compare)

static int
vm_compare(struct vm *a, struct vm *b)
{
	return strcmp(a->info.id, b->info.id);
}

struct fleet *
fleet_open(const struct fleet_options *options)
{
	struct fleet *f;

	if ((f = calloc(1, sizeof(*f))) == NULL)
		return NULL;
	f->opt = *options;
	f->applied_ms = -1;
	RB_INIT(&f->tree);
	TAILQ_INIT(&f->vms);
	TAILQ_INIT(&f->shards);
	return f;
}

void
fleet_close(struct fleet *f)
{
	struct fleet_shard *s;
	struct vm *v;

	if (f == NULL)
		return;
	while ((v = TAILQ_FIRST(&f->vms)) != NULL) {
		TAILQ_REMOVE(&f->vms, v, link);
		free(v);
	}
	while ((s = TAILQ_FIRST(&f->shards)) != NULL) {
		TAILQ_REMOVE(&f->shards, s, link);
		free(s);
	}
	free(f);
}

/* Returns false if one of them has no id. */
static bool
keep_refused(struct fleet *f, const struct fleet_list *list)
{
	struct vm *v;
	bool named;
	size_t i;

	named = true;
	for (i = 0; i < list->nrefused; i++) {
		if (list->refused[i].id[0] == '\0')
			named = false;
		else if ((v = fleet_find(f, list->refused[i].id)) != NULL) {
			v->listed = true;
			v->missing_since_ms = 0;
		}
	}
	return named;
}

static void
note_absent(struct fleet *f, int64_t now_ms)
{
	struct vm *v;

	TAILQ_FOREACH (v, &f->vms, link) {
		if (v->listed || v->info.state == VM_GONE)
			continue;
		if (v->missing_since_ms == 0)
			v->missing_since_ms = now_ms;
		/*
		 * A lagging list may omit a live VM once.  Treating it as gone
		 * would let its tasks start elsewhere while they still run.  A
		 * VM absent for gone_after_ms was terminated by the platform.
		 */
		if (now_ms - v->missing_since_ms >= f->opt.gone_after_ms)
			vm_set_state(f, v, VM_GONE, now_ms);
	}
}

int
fleet_apply_list(struct fleet *f, const struct fleet_list *list, int64_t now_ms)
{
	struct vm *v;
	size_t i;

	TAILQ_FOREACH (v, &f->vms, link)
		v->listed = false;
	for (i = 0; i < list->n; i++) {
		v = fleet_find(f, list->infos[i].id);
		if (v == NULL && (v = vm_add(f, &list->infos[i])) == NULL)
			return -1;
		v->listed = true;
		v->missing_since_ms = 0;
		vm_update(f, v, &list->infos[i], now_ms);
	}
	if (keep_refused(f, list))
		note_absent(f, now_ms);
	else {
		TAILQ_FOREACH (v, &f->vms, link)
			v->missing_since_ms = 0;
	}
	f->applied_ms = now_ms;
	return 0;
}

int
fleet_apply(
    struct fleet *f, const struct vm_info *infos, size_t n, int64_t now_ms)
{
	struct fleet_list list;

	memset(&list, 0, sizeof(list));
	list.infos = (struct vm_info *)infos;
	list.n = n;
	return fleet_apply_list(f, &list, now_ms);
}

static struct vm *
vm_add(struct fleet *f, const struct vm_info *info)
{
	struct vm *v;

	if ((v = calloc(1, sizeof(*v))) == NULL)
		return NULL;
	v->info = *info;
	if (info->kind == VM_WORKER && vm_join_shard(f, v) == -1) {
		free(v);
		return NULL;
	}
	RB_INSERT(vm_tree, &f->tree, v);
	TAILQ_INSERT_TAIL(&f->vms, v, link);
	if (v->shard != NULL && info->state != VM_GONE)
		v->shard->nworkers++;
	if (f->opt.on_change != NULL)
		f->opt.on_change(v, FLEET_ADDED, f->opt.ctx);
	return v;
}

static int
vm_join_shard(struct fleet *f, struct vm *v)
{
	char name[sizeof(v->shard->name)];
	struct fleet_shard *s;

	snprintf(
	    name, sizeof(name), "%s.%s", v->info.data_center, v->info.rack);
	if ((s = fleet_find_shard(f, name)) == NULL) {
		if ((s = calloc(1, sizeof(*s))) == NULL)
			return -1;
		snprintf(s->name, sizeof(s->name), "%s", name);
		TAILQ_INIT(&s->workers);
		TAILQ_INSERT_TAIL(&f->shards, s, link);
	}
	v->shard = s;
	TAILQ_INSERT_TAIL(&s->workers, v, shard_link);
	return 0;
}

static void
vm_update(
    struct fleet *f, struct vm *v, const struct vm_info *info, int64_t now_ms)
{
	struct vm_info old;

	old = v->info;
	v->info = *info;
	v->info.state = old.state;
	/* The rack of a worker is fixed; in another rack it has another id. */
	memcpy(v->info.data_center, old.data_center, sizeof(old.data_center));
	memcpy(v->info.rack, old.rack, sizeof(old.rack));
	vm_set_state(f, v, info->state, now_ms);
	if (!same_address(&old, &v->info) && f->opt.on_change != NULL)
		f->opt.on_change(v, FLEET_ADDRESS, f->opt.ctx);
}

static bool
same_address(const struct vm_info *a, const struct vm_info *b)
{
	return strcmp(a->ip, b->ip) == 0 &&
	    a->control_port == b->control_port &&
	    a->endpoint_port == b->endpoint_port &&
	    a->cpu_millis == b->cpu_millis && a->memory_mib == b->memory_mib &&
	    a->accelerators == b->accelerators && a->slots == b->slots &&
	    a->connections == b->connections;
}

static void
vm_set_state(struct fleet *f, struct vm *v, enum vm_state state, int64_t now_ms)
{
	if (v->info.state == state)
		return;
	if (v->shard != NULL) {
		if (state == VM_GONE)
			v->shard->nworkers--;
		else if (v->info.state == VM_GONE)
			v->shard->nworkers++;
	}
	v->info.state = state;
	v->gone_ms = state == VM_GONE ? now_ms : 0;
	if (f->opt.on_change != NULL)
		f->opt.on_change(v, FLEET_STATE, f->opt.ctx);
}

int64_t
fleet_age_ms(const struct fleet *f, int64_t now_ms)
{
	return f->applied_ms == -1 ? -1 : now_ms - f->applied_ms;
}

struct vm *
fleet_find(struct fleet *f, const char *id)
{
	struct vm key;

	if (snprintf(key.info.id, sizeof(key.info.id), "%s", id) >=
	    (int)sizeof(key.info.id))
		return NULL;
	return RB_FIND(vm_tree, &f->tree, &key);
}

struct fleet_shard *
fleet_find_shard(struct fleet *f, const char *name)
{
	struct fleet_shard *s;

	TAILQ_FOREACH (s, &f->shards, link) {
		if (strcmp(s->name, name) == 0)
			return s;
	}
	return NULL;
}

struct vm_list *
fleet_vms(struct fleet *f)
{
	return &f->vms;
}

struct fleet_shards *
fleet_racks(struct fleet *f)
{
	return &f->shards;
}

bool
vm_has_service(const struct vm *v, const char *service)
{
	size_t i;

	for (i = 0; i < v->info.nservices; i++) {
		if (strcmp(v->info.services[i], service) == 0)
			return true;
	}
	return false;
}

const char *
vm_state_name(enum vm_state state)
{
	static const char *const names[] = { "live", "leaving", "gone" };

	return names[state];
}
