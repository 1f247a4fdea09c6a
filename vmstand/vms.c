#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include "vms.h"

/* The list as it is from a time on; never changed once it is in here. */
struct version {
	TAILQ_ENTRY(version) link;
	int64_t since_ms;
	json_t *list;
};

TAILQ_HEAD(version_list, version);

struct vms {
	int64_t lag_ms;
	struct version_list versions; /* oldest first */
};

static enum vms_error add_version(struct vms *, json_t *, int64_t now_ms);
static void drop_old(struct vms *, int64_t now_ms);
static int check(const json_t *);
static json_t *find(json_t *, const char *);

struct vms *
vms_open(int64_t lag_ms)
{
	struct vms *v;

	if ((v = calloc(1, sizeof(*v))) == NULL)
		return NULL;
	v->lag_ms = lag_ms;
	TAILQ_INIT(&v->versions);
	return v;
}

void
vms_close(struct vms *v)
{
	struct version *version;

	if (v == NULL)
		return;
	while ((version = TAILQ_FIRST(&v->versions)) != NULL) {
		TAILQ_REMOVE(&v->versions, version, link);
		json_decref(version->list);
		free(version);
	}
	free(v);
}

void
vms_set_lag(struct vms *v, int64_t lag_ms)
{
	v->lag_ms = lag_ms;
}

/* Keep the newest version that readers may see and all younger ones. */
static void
drop_old(struct vms *v, int64_t now_ms)
{
	struct version *first, *second;

	while ((first = TAILQ_FIRST(&v->versions)) != NULL &&
	    (second = TAILQ_NEXT(first, link)) != NULL &&
	    second->since_ms + v->lag_ms <= now_ms) {
		TAILQ_REMOVE(&v->versions, first, link);
		json_decref(first->list);
		free(first);
	}
}

/* Takes over the reference to list. */
static enum vms_error
add_version(struct vms *v, json_t *list, int64_t now_ms)
{
	struct version *version;

	if (list == NULL || (version = calloc(1, sizeof(*version))) == NULL) {
		json_decref(list);
		return VMS_ERR_MEMORY;
	}
	version->since_ms = now_ms;
	version->list = list;
	TAILQ_INSERT_TAIL(&v->versions, version, link);
	drop_old(v, now_ms);
	return VMS_OK;
}

static int
check(const json_t *vm)
{
	const char *state;

	if (!json_is_string(json_object_get(vm, "id")) ||
	    !json_is_string(json_object_get(vm, "kind")) ||
	    !json_is_string(json_object_get(vm, "ip")))
		return -1;
	state = json_string_value(json_object_get(vm, "state"));
	if (state == NULL)
		return -1;
	return strcmp(state, "live") == 0 || strcmp(state, "leaving") == 0 ||
		strcmp(state, "gone") == 0 ?
	    0 :
	    -1;
}

static json_t *
find(json_t *list, const char *id)
{
	json_t *vm;
	size_t i;

	json_array_foreach(list, i, vm)
	{
		if (strcmp(json_string_value(json_object_get(vm, "id")), id) ==
		    0)
			return vm;
	}
	return NULL;
}

enum vms_error
vms_replace(struct vms *v, const json_t *vms, int64_t now_ms)
{
	const json_t *list;
	size_t i;

	list = json_is_array(vms) ? vms : json_object_get(vms, "vms");
	if (!json_is_array(list))
		return VMS_ERR_FORMAT;
	for (i = 0; i < json_array_size(list); i++) {
		if (check(json_array_get(list, i)) == -1)
			return VMS_ERR_FORMAT;
	}
	return add_version(v, json_deep_copy(list), now_ms);
}

enum vms_error
vms_change(struct vms *v, const char *id, const json_t *fields, int64_t now_ms)
{
	struct version *newest;
	json_t *list, *vm;

	if (!json_is_object(fields))
		return VMS_ERR_FORMAT;
	newest = TAILQ_LAST(&v->versions, version_list);
	list = newest == NULL ? json_array() : json_deep_copy(newest->list);
	if (list == NULL)
		return VMS_ERR_MEMORY;
	if ((vm = find(list, id)) == NULL) {
		if (json_object_get(fields, "kind") == NULL) {
			json_decref(list);
			return VMS_ERR_UNKNOWN;
		}
		vm = json_object();
		json_array_append_new(list, vm);
	}
	json_object_update(vm, (json_t *)fields);
	json_object_set_new(vm, "id", json_string(id));
	if (check(vm) == -1) {
		json_decref(list);
		return VMS_ERR_FORMAT;
	}
	return add_version(v, list, now_ms);
}

json_t *
vms_list(struct vms *v, int64_t now_ms)
{
	struct version *version;

	drop_old(v, now_ms);
	version = TAILQ_FIRST(&v->versions);
	if (version == NULL || version->since_ms + v->lag_ms > now_ms)
		return json_pack("{s:[]}", "vms");
	return json_pack("{s:O}", "vms", version->list);
}

const char *
vms_strerror(enum vms_error error)
{
	switch (error) {
	case VMS_OK:
		return "ok";
	case VMS_ERR_FORMAT:
		return "bad_format";
	case VMS_ERR_UNKNOWN:
		return "unknown_vm";
	case VMS_ERR_MEMORY:
		return "memory";
	}
	return "unknown";
}
