#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "mesh.h"

/* GET /v1/entries: the entries as this entry knows them. */

static const char *state_name(enum member_state);
static json_t *describe(const struct member_record *, const char *, int64_t);
static json_t *describe_self(struct entry *);
static json_t *describe_member(struct entry *, const struct member *, int64_t);

/* State names of the operators' API. */
static const char *
state_name(enum member_state state)
{
	switch (state) {
	case MEMBER_ALIVE:
		return "live";
	case MEMBER_DEAD:
	case MEMBER_LEFT:
		return "gone";
	default:
		return member_state_name(state);
	}
}

static json_t *
describe(
    const struct member_record *record, const char *listen, int64_t silent_ms)
{
	return json_pack(
	    "{s:s, s:s, s:s, s:s, s:I, s:I, s:b, s:i, s:i, s:i, s:I}", "id",
	    record->id, "listen", listen, "peer", record->address,
	    "data_center", record->data_center, "incarnation",
	    (json_int_t)record->incarnation, "revision",
	    (json_int_t)record->revision, "store_answers",
	    record->store_answers, "held_slots", record->held_slots,
	    "needed_slots", record->needed_slots, "spare_connections",
	    record->spare_connections, "silent_ms", (json_int_t)silent_ms);
}

static json_t *
describe_self(struct entry *e)
{
	struct member_record record;
	char listen[MEMBER_ADDRESS_MAX];
	json_t *object;

	record = *member_self(mesh_members(e));
	record.revision = (uint64_t)conf_revision(entry_conf(e));
	record.store_answers = store_reachable(e->store, clock_now_ms());
	snprintf(listen, sizeof(listen), "%s:%d", e->opt.listen.ip,
	    httpd_port(e->httpd));
	object = describe(&record, listen, 0);
	json_object_set_new(
	    object, "state", json_string(state_name(record.state)));
	return object;
}

static json_t *
describe_member(struct entry *e, const struct member *member, int64_t now_ms)
{
	struct member_verdict verdict;
	json_t *object;

	verdict =
	    member_evaluate(mesh_members(e), member->record.id, 0, now_ms);
	object = describe(&member->record, member->listen, verdict.silent_ms);
	json_object_set_new(
	    object, "state", json_string(state_name(verdict.state)));
	json_object_set_new(
	    object, "registered", json_boolean(member->registered));
	return object;
}

bool
entries_http(struct entry *e, struct httpd_request *request)
{
	const struct member *member;
	json_t *list;
	int64_t now_ms;

	if (strcmp(httpd_path(request), "/v1/entries") != 0)
		return false;
	if (strcmp(httpd_method(request), "GET") != 0) {
		reply_error(request, 405, "method", NULL, "only GET");
		return true;
	}
	now_ms = clock_now_ms();
	list = json_array();
	json_array_append_new(list, describe_self(e));
	for (member = member_first(mesh_members(e)); member != NULL;
	     member = member_next(member))
		json_array_append_new(list, describe_member(e, member, now_ms));
	reply_json(request, 200, json_pack("{s:o}", "entries", list));
	return true;
}
