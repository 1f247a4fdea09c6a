#include <stddef.h>
#include <string.h>

#include "schema.h"

#define DAY_MS (24LL * 3600 * 1000)
#define AMOUNT_MAX 1000000000LL
#define BODY_MAX (16LL * 1024 * 1024) /* bytes */

static const char *const class_words[] = { "tail", "throughput", NULL };

#define AT(member) offsetof(struct record, as.member)
#define END                                  \
	{                                    \
		NULL, NULL, 0, 0, 0, 0, NULL \
	}

static const struct schema_field service_1[] = {
	{ NULL, "deadline_ms", AT(service.deadline_ms), 1, DAY_MS,
	    SCHEMA_REQUIRED, NULL },
	{ NULL, "slots_per_call", AT(service.slots_per_call), 1, 64, 1, NULL },
	END
};

static const struct schema_field service_2[] = {
	{ NULL, "deadline_ms", AT(service.deadline_ms), 1, DAY_MS,
	    SCHEMA_REQUIRED, NULL },
	{ NULL, "class", AT(service.service_class), 0, 1, SERVICE_TAIL,
	    class_words },
	{ NULL, "target_p99_ms", AT(service.target_p99_ms), 1, DAY_MS,
	    SCHEMA_DEADLINE, NULL },
	{ NULL, "max_body_bytes", AT(service.body_max), 1, BODY_MAX,
	    SCHEMA_BODY_DEFAULT, NULL },
	{ "hedge", "percent", AT(service.hedge_percent), 0, 100, 0, NULL }, END
};

static const struct schema_field team_1[] = {
	{ NULL, "cpu_millis", AT(team.cpu_millis), 0, AMOUNT_MAX,
	    RECORD_NO_LIMIT, NULL },
	{ NULL, "memory_mib", AT(team.memory_mib), 0, AMOUNT_MAX,
	    RECORD_NO_LIMIT, NULL },
	{ NULL, "calls_per_s", AT(team.calls_per_s), 1, AMOUNT_MAX,
	    RECORD_NO_LIMIT, NULL },
	{ NULL, "tasks", AT(team.tasks), 0, AMOUNT_MAX, RECORD_NO_LIMIT, NULL },
	END
};

static const struct schema_field policy_1[] = {
	{ NULL, "tail_weight", AT(policy.tail_weight), 0, 1000, SCHEMA_REQUIRED,
	    NULL },
	{ NULL, "throughput_weight", AT(policy.throughput_weight), 0, 1000,
	    SCHEMA_REQUIRED, NULL },
	{ NULL, "eviction_weight", AT(policy.eviction_weight), 0, 1000,
	    SCHEMA_REQUIRED, NULL },
	{ NULL, "retry_percent", AT(policy.retry_percent), 0, 100, 10, NULL },
	{ NULL, "protect_after", AT(policy.protect_after), 1, 100, 2, NULL },
	{ NULL, "hold_off_ms", AT(policy.hold_off_ms), 0, DAY_MS, 30000, NULL },
	{ NULL, "explore_percent", AT(policy.explore_percent), 0, 50, 2, NULL },
	{ NULL, "half_life_ms", AT(policy.half_life_ms), 1000, DAY_MS, 600000,
	    NULL },
	END
};

static const struct schema schemas[RECORD_NKINDS][SCHEMA_MAX] = {
	[RECORD_SERVICE] = { { service_1, true }, { service_2, true } },
	[RECORD_TEAM] = { { team_1, true }, { NULL, false } },
	[RECORD_POLICY] = { { policy_1, false }, { NULL, false } },
};

const struct schema *
schema_find(enum record_kind kind, int64_t version)
{
	const struct schema *s;

	if (version < 1 || version > SCHEMA_MAX)
		return NULL;
	s = &schemas[kind][version - 1];
	return s->fields == NULL ? NULL : s;
}

bool
schema_has_field(const struct schema *s, const char *group, const char *name)
{
	const struct schema_field *f;

	if (group == NULL && strcmp(name, "schema") == 0)
		return true;
	if (group == NULL && s->named && strcmp(name, "name") == 0)
		return true;
	for (f = s->fields; f->name != NULL; f++) {
		if (strcmp(f->name, name) != 0)
			continue;
		if (group == NULL ?
			f->group == NULL :
			f->group != NULL && strcmp(f->group, group) == 0)
			return true;
	}
	return false;
}

bool
schema_has_group(const struct schema *s, const char *name)
{
	const struct schema_field *f;

	for (f = s->fields; f->name != NULL; f++) {
		if (f->group != NULL && strcmp(f->group, name) == 0)
			return true;
	}
	return false;
}

bool
schema_has_member(const struct schema *s, size_t offset)
{
	const struct schema_field *f;

	for (f = s->fields; f->name != NULL; f++) {
		if (f->offset == offset)
			return true;
	}
	return false;
}
