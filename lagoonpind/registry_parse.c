#include <string.h>

#include <jansson.h>

#include "jsonfield.h"
#include "mesh.h"
#include "validate.h"

#define SCHEMA 1
/*
 * 2200-01-01.  An incarnation is the time of day at its start, in milliseconds.
 * A larger number is none; it would replace every incarnation that ever starts.
 */
#define INCARNATION_MAX 7258118400000LL

static bool
get_text(const json_t *object, const char *name, char *buf, size_t size)
{
	return json_to_string(json_object_get(object, name), buf, size);
}

static const char *
read_record(const char *id, const json_t *object, struct member_record *record,
    char *listen, size_t size)
{
	int64_t schema, incarnation;

	if (!json_to_int64(
		json_object_get(object, "schema"), SCHEMA, SCHEMA, &schema))
		return "schema";
	if (!get_text(object, "id", record->id, sizeof(record->id)) ||
	    !valid_token(record->id, sizeof(record->id)) ||
	    strcmp(record->id, id) != 0)
		return "id";
	if (!get_text(
		object, "peer", record->address, sizeof(record->address)) ||
	    !valid_address(record->address, sizeof(record->address)))
		return "peer";
	if (!get_text(object, "data_center", record->data_center,
		sizeof(record->data_center)))
		return "data_center";
	if (!get_text(object, "listen", listen, size) ||
	    !valid_address(listen, size))
		return "listen";
	if (!json_to_int64(json_object_get(object, "incarnation"), 1,
		INCARNATION_MAX, &incarnation))
		return "incarnation";
	record->incarnation = (uint64_t)incarnation;
	return NULL;
}

const char *
registry_parse(const char *id, const char *text, size_t len,
    struct member_record *record, char *listen, size_t size)
{
	const char *field;
	json_t *object;

	memset(record, 0, sizeof(*record));
	object = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	field = "not_json";
	if (json_is_object(object))
		field = read_record(id, object, record, listen, size);
	json_decref(object);
	return field;
}
