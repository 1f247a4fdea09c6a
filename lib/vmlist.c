#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "jsonfield.h"
#include "rawjson.h"
#include "validate.h"
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

/* Finds the array of VMs in a document that is valid but for its rows. */
static enum vmlist_error
find_rows(const char *text, size_t len, struct rawjson *rows)
{
	struct rawjson root;
	enum vmlist_error error;
	json_t *envelope;
	size_t head, tail;
	char *without;

	root.text = text;
	root.len = len;
	if (!rawjson_member(root, "vms", rows) || rows->len < 2 ||
	    rows->text[0] != '[' || rows->text[rows->len - 1] != ']')
		return VMLIST_ERR_JSON;
	head = (size_t)(rows->text - text) + 1;
	tail = len - head - (rows->len - 2);
	if ((without = malloc(head + tail)) == NULL)
		return VMLIST_ERR_MEMORY;
	memcpy(without, text, head);
	memcpy(without + head, text + len - tail, tail);
	envelope =
	    json_loadb(without, head + tail, JSON_REJECT_DUPLICATES, NULL);
	error = json_is_object(envelope) ? VMLIST_OK : VMLIST_ERR_JSON;
	json_decref(envelope);
	free(without);
	return error;
}

/* Notes a VM that can't be used; its id is "" if it can't be read. */
static void
refuse_row(struct fleet_list *list, size_t index, struct rawjson row,
    const char *field)
{
	struct fleet_refused *refused;
	struct rawjson value;
	json_t *id;

	refused = &list->refused[list->nrefused++];
	refused->index = index;
	refused->field = field;
	id = NULL;
	if (rawjson_member(row, "id", &value))
		id = json_loadb(value.text, value.len, JSON_DECODE_ANY, NULL);
	if (!json_to_string(id, refused->id, sizeof(refused->id)) ||
	    !valid_token(refused->id, sizeof(refused->id)))
		refused->id[0] = '\0';
	json_decref(id);
}

static void
read_row(struct fleet_list *list, size_t index, struct rawjson row)
{
	struct vm_info *info;
	const char *field;
	json_t *vm;

	info = &list->infos[list->n];
	memset(info, 0, sizeof(*info));
	field = "not_json";
	vm = json_loadb(row.text, row.len, JSON_REJECT_DUPLICATES, NULL);
	if (vm != NULL)
		field = parse_vm(vm, info);
	if (field == NULL)
		list->n++;
	else
		refuse_row(list, index, row, field);
	json_decref(vm);
}

enum vmlist_error
vmlist_parse(const char *text, size_t len, struct fleet_list *list)
{
	struct rawjson rows, rest, row;
	enum vmlist_error error;
	size_t i, n;

	memset(list, 0, sizeof(*list));
	if ((error = find_rows(text, len, &rows)) != VMLIST_OK)
		return error;
	n = 0;
	for (rest = rows; rawjson_row(&rest, &row);)
		n++;
	list->infos = calloc(n + 1, sizeof(*list->infos));
	list->refused = calloc(n + 1, sizeof(*list->refused));
	if (list->infos == NULL || list->refused == NULL) {
		vmlist_free(list);
		return VMLIST_ERR_MEMORY;
	}
	for (i = 0, rest = rows; rawjson_row(&rest, &row); i++)
		read_row(list, i, row);
	return VMLIST_OK;
}

void
vmlist_free(struct fleet_list *list)
{
	free(list->infos);
	free(list->refused);
	memset(list, 0, sizeof(*list));
}

/* Returns the name of the first invalid field, or NULL. */
static const char *
parse_vm(const json_t *vm, struct vm_info *info)
{
	int word;

	if (get_text(vm, "id", info->id, sizeof(info->id)) == -1 ||
	    !valid_token(info->id, sizeof(info->id)))
		return "id";
	if (get_word(vm, "kind", kinds, &word) == -1)
		return "kind";
	info->kind = (enum vm_kind)word;
	if (get_word(vm, "state", states, &word) == -1)
		return "state";
	info->state = (enum vm_state)word;
	if (get_text(vm, "ip", info->ip, sizeof(info->ip)) == -1 ||
	    !valid_ip(info->ip))
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
	return json_to_string(json_object_get(object, key), buf, size) ? 0 : -1;
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
	size_t i;

	services = json_object_get(vm, "services");
	if (!json_is_array(services) ||
	    json_array_size(services) > FLEET_SERVICES_MAX)
		return -1;
	info->nservices = json_array_size(services);
	for (i = 0; i < info->nservices; i++) {
		if (!json_to_string(json_array_get(services, i),
			info->services[i], sizeof(info->services[i])))
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
	case VMLIST_ERR_MEMORY:
		return "out of memory";
	}
	return "unknown error";
}
