// Tests of operators' records: each schema version is read and written back
// unchanged; invalid records are refused with the name of the field.
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>

extern "C" {
#include "record.h"
}

namespace {

const char *const V1 =
    R"({"schema":1,"name":"custodio","deadline_ms":200,"slots_per_call":1})";
const char *const V2 =
    R"({"schema":2,"name":"custodio","deadline_ms":200,"class":"tail",)"
    R"("target_p99_ms":200,"max_body_bytes":1048576,"hedge":{"percent":0}})";

enum record_error
parse(enum record_kind kind, const std::string &text, struct record *r,
    struct record_fault *fault = nullptr)
{
	return record_parse(kind, text.data(), text.size(), r, fault);
}

std::string
write(const struct record *r, int schema, enum record_error *error = nullptr)
{
	enum record_error e;
	std::string s;
	char *text;

	e = record_text(r, schema, &text, nullptr);
	if (error != nullptr)
		*error = e;
	if (text != nullptr)
		s = text;
	free(text);
	return s;
}

} // namespace

TEST(Record, EachVersionComesBackAsItWasWritten)
{
	const struct {
		enum record_kind kind;
		const char *text;
	} cases[] = {
		{ RECORD_SERVICE, V1 },
		{ RECORD_SERVICE, V2 },
		{ RECORD_TEAM, R"({"schema":1,"name":"t"})" },
		{ RECORD_TEAM,
		    R"({"schema":1,"name":"t","cpu_millis":0,)"
		    R"("memory_mib":5,"calls_per_s":6,"tasks":7})" },
		{ RECORD_POLICY,
		    R"({"schema":1,"tail_weight":5,"throughput_weight":3,)"
		    R"("eviction_weight":2,"retry_percent":11,)"
		    R"("protect_after":3,"hold_off_ms":4,"explore_percent":6,)"
		    R"("half_life_ms":7000})" },
	};
	struct record r;

	for (const auto &c : cases) {
		ASSERT_EQ(parse(c.kind, c.text, &r), RECORD_OK) << c.text;
		EXPECT_EQ(write(&r, 0), c.text);
	}
	EXPECT_EQ(r.as.policy.half_life_ms, 7000);
}

TEST(Record, VersionsSayTheSameWhereTheyCan)
{
	struct record one, two;
	enum record_error error;

	ASSERT_EQ(parse(RECORD_SERVICE, V1, &one), RECORD_OK);
	ASSERT_EQ(parse(RECORD_SERVICE, V2, &two), RECORD_OK);
	EXPECT_EQ(write(&one, 2), V2);
	EXPECT_EQ(write(&two, 1), V1);
	EXPECT_EQ(memcmp(&one.as, &two.as, sizeof(one.as.service)), 0);
	two.as.service.hedge_percent = 5;
	EXPECT_EQ(write(&two, 1, &error), "");
	EXPECT_EQ(error, RECORD_ERR_NOT_EXPRESSIBLE);
	one.as.service.slots_per_call = 2;
	EXPECT_EQ(write(&one, 2, &error), "");
	EXPECT_EQ(error, RECORD_ERR_NOT_EXPRESSIBLE);
	EXPECT_EQ(write(&one, 3, &error), "");
	EXPECT_EQ(error, RECORD_ERR_UNKNOWN_SCHEMA);
}

TEST(Record, RefusesByErrorAndFieldAndLeavesTheRecordAlone)
{
	const struct {
		enum record_kind kind;
		std::string text;
		enum record_error error;
		const char *field;
	} cases[] = {
		{ RECORD_SERVICE, "{", RECORD_ERR_JSON, "" },
		{ RECORD_SERVICE, "", RECORD_ERR_JSON, "" },
		{ RECORD_SERVICE, R"({"schema":1,"schema":2})", RECORD_ERR_JSON,
		    "" },
		{ RECORD_SERVICE, "[1]", RECORD_ERR_NOT_OBJECT, "" },
		{ RECORD_SERVICE, R"({"name":"a"})", RECORD_ERR_UNKNOWN_SCHEMA,
		    "schema" },
		{ RECORD_SERVICE, R"({"schema":3})", RECORD_ERR_UNKNOWN_SCHEMA,
		    "schema" },
		{ RECORD_SERVICE, R"({"schema":"1"})",
		    RECORD_ERR_UNKNOWN_SCHEMA, "schema" },
		{ RECORD_SERVICE, R"({"schema":4294967297})",
		    RECORD_ERR_UNKNOWN_SCHEMA, "schema" },
		{ RECORD_TEAM, R"({"schema":2})", RECORD_ERR_UNKNOWN_SCHEMA,
		    "schema" },
		{ RECORD_SERVICE,
		    R"({"schema":1,"name":"a","deadline_ms":1,"class":"tail"})",
		    RECORD_ERR_UNKNOWN_FIELD, "class" },
		{ RECORD_SERVICE, R"({"schema":2,"hedge":{"ratio":1}})",
		    RECORD_ERR_UNKNOWN_FIELD, "hedge.ratio" },
		{ RECORD_SERVICE, R"({"schema":2,"percent":1})",
		    RECORD_ERR_UNKNOWN_FIELD, "percent" },
		{ RECORD_SERVICE, R"({"schema":2,"hedge":1})", RECORD_ERR_TYPE,
		    "hedge" },
		{ RECORD_SERVICE, R"({"schema":1,"name":"a"})",
		    RECORD_ERR_MISSING_FIELD, "deadline_ms" },
		{ RECORD_SERVICE, R"({"schema":1,"deadline_ms":1})",
		    RECORD_ERR_MISSING_FIELD, "name" },
		{ RECORD_SERVICE, R"({"schema":1,"name":"a/b"})",
		    RECORD_ERR_NAME, "name" },
		{ RECORD_SERVICE, R"({"schema":1,"name":7})", RECORD_ERR_TYPE,
		    "name" },
		{ RECORD_SERVICE,
		    R"({"schema":1,"name":")" + std::string(65, 'a') + "\"}",
		    RECORD_ERR_NAME, "name" },
		{ RECORD_SERVICE,
		    R"({"schema":1,"name":"a","deadline_ms":1.5})",
		    RECORD_ERR_TYPE, "deadline_ms" },
		{ RECORD_SERVICE, R"({"schema":1,"name":"a","deadline_ms":0})",
		    RECORD_ERR_RANGE, "deadline_ms" },
		{ RECORD_SERVICE,
		    R"({"schema":2,"name":"a","deadline_ms":1,"class":"x"})",
		    RECORD_ERR_WORD, "class" },
		{ RECORD_SERVICE,
		    R"({"schema":2,"name":"a","deadline_ms":1,)"
		    R"("hedge":{"percent":101}})",
		    RECORD_ERR_RANGE, "hedge.percent" },
		{ RECORD_TEAM, R"({"schema":1,"name":"a","tasks":-1})",
		    RECORD_ERR_RANGE, "tasks" },
		{ RECORD_TEAM, R"({"schema":1,"name":"a","calls_per_s":0})",
		    RECORD_ERR_RANGE, "calls_per_s" },
		{ RECORD_SERVICE,
		    R"({"schema":2,"name":"a","deadline_ms":1,)"
		    R"("max_body_bytes":0})",
		    RECORD_ERR_RANGE, "max_body_bytes" },
		{ RECORD_POLICY, R"({"schema":1,"name":"a"})",
		    RECORD_ERR_UNKNOWN_FIELD, "name" },
		{ RECORD_POLICY, R"({"schema":1,"tail_weight":1})",
		    RECORD_ERR_MISSING_FIELD, "throughput_weight" },
		{ RECORD_SERVICE, std::string(RECORD_TEXT_MAX + 1, ' '),
		    RECORD_ERR_TOO_LARGE, "" },
	};
	struct record_fault fault;
	struct record r, before;

	memset(&before, 7, sizeof(before));
	for (const auto &c : cases) {
		r = before;
		EXPECT_EQ(parse(c.kind, c.text, &r, &fault), c.error) << c.text;
		EXPECT_EQ(fault.error, c.error);
		EXPECT_STREQ(fault.field, c.field) << c.text;
		EXPECT_EQ(memcmp(&r, &before, sizeof(r)), 0);
	}
}

TEST(Record, KeysNameKindAndRecord)
{
	char key[RECORD_KEY_SIZE], name[RECORD_NAME_SIZE];
	enum record_kind kind;

	EXPECT_STREQ(
	    record_key(RECORD_TEAM, "a.b", key, sizeof(key)), "lp/w/team/a.b");
	ASSERT_TRUE(record_key_parse(key, &kind, name));
	EXPECT_EQ(kind, RECORD_TEAM);
	EXPECT_STREQ(name, "a.b");
	ASSERT_TRUE(record_key_parse("lp/w/policy", &kind, name));
	EXPECT_EQ(kind, RECORD_POLICY);
	EXPECT_EQ(record_key(RECORD_TEAM, "a/b", key, sizeof(key)), nullptr);
	for (const char *bad : { "lp/w/entry/e1", "lp/w/service/",
		 "lp/w/service/a/b", "lp/w/policy2", "x" })
		EXPECT_FALSE(record_key_parse(bad, &kind, name)) << bad;
}
