// Records of other writers among those that entries register: an invalid one
// replaces and ends no entry.

#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "lagoonpind/mesh.h"
}

namespace {

const char kRecord[] =
    "{\"schema\":1,\"id\":\"e1\",\"peer\":\"127.0.0.1:7401\","
    "\"data_center\":\"dc\",\"listen\":\"127.0.0.1:7400\","
    "\"incarnation\":1796600000000}";

// kRecord with one part replaced.
std::string
With(const std::string &from, const std::string &to)
{
	std::string text = kRecord;
	size_t at = text.find(from);

	EXPECT_NE(at, std::string::npos) << from;
	return text.replace(at, from.size(), to);
}

std::string
Field(const std::string &text, const char *id = "e1")
{
	struct member_record record;
	char listen[MEMBER_ADDRESS_MAX];
	const char *field = registry_parse(
	    id, text.data(), text.size(), &record, listen, sizeof(listen));

	return field != nullptr ? field : "";
}

} // namespace

TEST(Registry, ARecordIsRead)
{
	const std::string text = kRecord;
	struct member_record record;
	char listen[MEMBER_ADDRESS_MAX];

	ASSERT_EQ(registry_parse("e1", text.data(), text.size(), &record,
		      listen, sizeof(listen)),
	    nullptr);
	EXPECT_STREQ(record.id, "e1");
	EXPECT_STREQ(record.address, "127.0.0.1:7401");
	EXPECT_STREQ(record.data_center, "dc");
	EXPECT_STREQ(listen, "127.0.0.1:7400");
	EXPECT_EQ(record.incarnation, 1796600000000u);
}

// Guards against a number that isn't the time of a start and is taken for a
// later incarnation: the entry of that id ends, each time it is started, and
// the others take it for dead.
TEST(Registry, ANumberThatIsNoStartReplacesNoEntry)
{
	for (const char *number :
	    { "-1", "0", "9223372036854775807", "99999999999999", "1.5",
		"1e300", "\"1796600000000\"", "null", "[]" })
		EXPECT_EQ(Field(With("1796600000000", number)), "incarnation")
		    << number;
	for (const char *number : { "1e999", "99999999999999999999" })
		EXPECT_EQ(Field(With("1796600000000", number)), "not_json")
		    << number;
}

// Guards against ids and addresses that can't be used and are passed on to the
// other entries.
TEST(Registry, AnOddIdOrAddressNamesNoEntry)
{
	for (const char *address : { "127.0.0.1", "127.0.0.1:0",
		 "127.0.0.1:65536", "127.0.0.1:99999999999", "127.0.0.1:8080x",
		 "127.0.0.1:-1", "127.0.0.1: 1", "host:1", ":1", "" }) {
		EXPECT_EQ(Field(With("127.0.0.1:7401", address)), "peer")
		    << address;
		EXPECT_EQ(Field(With("127.0.0.1:7400", address)), "listen")
		    << address;
	}
	EXPECT_EQ(Field(With("\"e1\"", "\"e\\n1\""), "e\n1"), "id");
	EXPECT_EQ(Field(kRecord, "e2"), "id");
	EXPECT_EQ(Field(With("\"dc\"", "\"d\\nc\"")), "data_center");
	EXPECT_EQ(
	    Field(With("\"dc\"", "\"" + std::string(1 << 20, 'd') + "\"")),
	    "data_center");
	EXPECT_EQ(Field(With("\"dc\"", "\"d\\u0000c\"")), "not_json");
	EXPECT_EQ(
	    Field(With("\"dc\"", "\"dc\",\"data_center\":\"dd\"")), "not_json");
	EXPECT_EQ(Field(With("\"schema\":1", "\"schema\":2")), "schema");
	EXPECT_EQ(Field(std::string(100000, '[')), "not_json");
}
