#include <gtest/gtest.h>

extern "C" {
#include "jsonfield.h"
}

namespace {

bool
Whole(const char *text, int64_t *value)
{
	json_t *field = json_loads(text, JSON_DECODE_ANY, nullptr);
	bool ok = json_to_int64(field, 0, 1000, value);

	json_decref(field);
	return ok;
}

} // namespace

TEST(JsonField, AWholeNumberIsTakenAsItIs)
{
	int64_t value = -1;

	EXPECT_TRUE(Whole("0", &value));
	EXPECT_EQ(value, 0);
	EXPECT_TRUE(Whole("1000", &value));
	EXPECT_EQ(value, 1000);
	EXPECT_TRUE(Whole("7.0", &value));
	EXPECT_EQ(value, 7);
}

TEST(JsonField, WhatIsNoWholeNumberInRangeIsOfAnotherType)
{
	for (const char *text : { "-1", "1001", "1.5", "1e300", "-0.5", "\"7\"",
		 "true", "null", "[]", "{}" }) {
		int64_t value = -7;
		EXPECT_FALSE(Whole(text, &value)) << text;
		EXPECT_EQ(value, -7) << text;
	}
}

TEST(JsonField, LeftOutIsNotOfAnotherType)
{
	json_t *text = json_string("x");
	int64_t value = -1;

	EXPECT_TRUE(json_to_int64_or(nullptr, 0, 10, 5, &value));
	EXPECT_EQ(value, 5);
	EXPECT_FALSE(json_to_int64_or(text, 0, 10, 5, &value));
	json_decref(text);
}

TEST(JsonField, ANameFitsAndIsNotEmpty)
{
	json_t *empty = json_string(""), *three = json_string("abc");
	json_t *cut = json_stringn("a\0b", 3);
	char buf[4], small[3];

	EXPECT_FALSE(json_to_string(empty, buf, sizeof(buf)));
	EXPECT_FALSE(json_to_string(nullptr, buf, sizeof(buf)));
	EXPECT_FALSE(json_to_string(three, small, sizeof(small)));
	EXPECT_FALSE(json_to_string(cut, buf, sizeof(buf)));
	ASSERT_TRUE(json_to_string(three, buf, sizeof(buf)));
	EXPECT_STREQ(buf, "abc");
	json_decref(empty);
	json_decref(three);
	json_decref(cut);
}
