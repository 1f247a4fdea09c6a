#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "vmlist.h"

#define PORT_MAX 65535
#define RESOURCE_MAX 1000000000LL
#define SLOTS_MAX 100000

static int get_text(const json_t *, const char *, char *, size_t);
static int get_word(const json_t *, const char *, const char *const *, int *);
static int get_int(const json_t *, const char *, int64_t, int64_t *);
static int get_services(const json_t *, struct vm_info *);
static const char *parse_vm(const json_t *, struct vm_info *);
static const char *parse_worker(const json_t *, struct vm_info *);

static const char *const kinds[] = { "worker", "entry", NULL };
static const char *const states[] = { "live", "leaving", "gone", NULL };

enum vmlist_error
vmlist_parse(const char *text, size_t len, struct vm_info **infos, size_t *n,
    struct vmlist_fault *fault)
{
	enum vmlist_error error;
	const char *field;
	json_t *root, *vms;
	size_t i;

	memset(fault, 0, sizeof(*fault));
	*infos = NULL;
	*n = 0;
	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	vms = json_object_get(root, "vms");
	if (!json_is_array(vms)) {
		error = VMLIST_ERR_JSON;
		goto out;
	}
	*n = json_array_size(vms);
	if ((*infos = calloc(*n + 1, sizeof(**infos))) == NULL) {
		error = VMLIST_ERR_MEMORY;
		goto out;
	}
	for (i = 0; i < *n; i++) {
		field = parse_vm(json_array_get(vms, i), &(*infos)[i]);
		if (field == NULL)
			continue;
		fault->index = i;
		strlcpy(fault->field, field, sizeof(fault->field));
		free(*infos);
		*infos = NULL;
		*n = 0;
		error = VMLIST_ERR_FIELD;
		goto out;
	}
	error = VMLIST_OK;
out:
	json_decref(root);
	return error;
}

/* Returns the name of the first invalid field, or NULL. */
static const char *
parse_vm(const json_t *vm, struct vm_info *info)
{
	int word;

	if (get_text(vm, "id", info->id, sizeof(info->id)) == -1)
		return "id";
	if (get_word(vm, "kind", kinds, &word) == -1)
		return "kind";
	info->kind = (enum vm_kind)word;
	if (get_word(vm, "state", states, &word) == -1)
		return "state";
	info->state = (enum vm_state)word;
	if (get_text(vm, "ip", info->ip, sizeof(info->ip)) == -1)
		return "ip";
	if (get_text(vm, "data_center", info->data_center,
		sizeof(info->data_center)) == -1)
		return "data_center";
	if (info->kind == VM_ENTRY)
		return NULL;
	return parse_worker(vm, info);
}

static const char *
parse_worker(const json_t *vm, struct vm_info *info)
{
	int64_t value;

	if (get_text(vm, "rack", info->rack, sizeof(info->rack)) == -1)
		return "rack";
	if (get_int(vm, "control_port", PORT_MAX, &value) == -1)
		return "control_port";
	info->control_port = (int)value;
	if (get_int(vm, "endpoint_port", PORT_MAX, &value) == -1)
		return "endpoint_port";
	info->endpoint_port = (int)value;
	if (get_int(vm, "cpu_millis", RESOURCE_MAX, &info->cpu_millis) == -1)
		return "cpu_millis";
	if (get_int(vm, "memory_mib", RESOURCE_MAX, &info->memory_mib) == -1)
		return "memory_mib";
	if (get_int(vm, "accelerators", RESOURCE_MAX, &info->accelerators) ==
	    -1)
		return "accelerators";
	if (get_int(vm, "slots", SLOTS_MAX, &value) == -1)
		return "slots";
	info->slots = (int)value;
	if (get_int(vm, "connections", SLOTS_MAX, &value) == -1)
		return "connections";
	info->connections = (int)value;
	if (get_services(vm, info) == -1)
		return "services";
	return NULL;
}

static int
get_text(const json_t *object, const char *key, char *buf, size_t size)
{
	const char *text;

	text = json_string_value(json_object_get(object, key));
	if (text == NULL || text[0] == '\0')
		return -1;
	return strlcpy(buf, text, size) < size ? 0 : -1;
}

static int
get_word(
    const json_t *object, const char *key, const char *const *words, int *index)
{
	const char *text;

	text = json_string_value(json_object_get(object, key));
	if (text == NULL)
		return -1;
	for (*index = 0; words[*index] != NULL; (*index)++) {
		if (strcmp(text, words[*index]) == 0)
			return 0;
	}
	return -1;
}

static int
get_int(const json_t *object, const char *key, int64_t max, int64_t *value)
{
	json_t *field;

	field = json_object_get(object, key);
	if (!json_is_integer(field))
		return -1;
	*value = json_integer_value(field);
	return *value < 0 || *value > max ? -1 : 0;
}

static int
get_services(const json_t *vm, struct vm_info *info)
{
	json_t *services;
	const char *name;
	size_t i, size;

	services = json_object_get(vm, "services");
	if (!json_is_array(services) ||
	    json_array_size(services) > FLEET_SERVICES_MAX)
		return -1;
	size = sizeof(info->services[0]);
	info->nservices = json_array_size(services);
	for (i = 0; i < info->nservices; i++) {
		name = json_string_value(json_array_get(services, i));
		if (name == NULL ||
		    strlcpy(info->services[i], name, size) >= size)
			return -1;
	}
	return 0;
}

const char *
vmlist_strerror(enum vmlist_error error)
{
	switch (error) {
	case VMLIST_OK:
		return "no error";
	case VMLIST_ERR_JSON:
		return "not a JSON object with an array \"vms\"";
	case VMLIST_ERR_FIELD:
		return "a field is missing or out of range";
	case VMLIST_ERR_MEMORY:
		return "out of memory";
	}
	return "unknown error";
}
