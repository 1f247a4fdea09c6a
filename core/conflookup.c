#include "conf.h"

static const struct conf_item *find_present(
    const struct conf *, enum record_kind, const char *);

static struct record_policy default_policy;

static const struct conf_item *
find_present(const struct conf *c, enum record_kind kind, const char *name)
{
	char key[RECORD_KEY_SIZE];
	const struct conf_item *item;

	if (record_key(kind, name, key, sizeof(key)) == NULL)
		return NULL;
	item = conf_get(c, key);
	return item != NULL && item->present ? item : NULL;
}

const struct record_service *
conf_service(const struct conf *c, const char *name)
{
	const struct conf_item *item;

	item = find_present(c, RECORD_SERVICE, name);
	return item == NULL ? NULL : &item->record.as.service;
}

const struct record_team *
conf_team(const struct conf *c, const char *name)
{
	const struct conf_item *item;

	item = find_present(c, RECORD_TEAM, name);
	return item == NULL ? NULL : &item->record.as.team;
}

const struct record_policy *
conf_policy(const struct conf *c)
{
	const struct conf_item *item;

	if ((item = find_present(c, RECORD_POLICY, "")) != NULL)
		return &item->record.as.policy;
	record_policy_default(&default_policy);
	return &default_policy;
}
