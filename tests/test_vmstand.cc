#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "vmstand/vms.h"
}

namespace {

class VmsTest : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		v = vms_open(1000);
	}

	void
	TearDown() override
	{
		vms_close(v);
	}

	vms_error
	change(const char *id, const char *fields, int64_t now_ms)
	{
		json_t *json = json_loads(fields, JSON_DECODE_ANY, nullptr);
		vms_error error = vms_change(v, id, json, now_ms);
		json_decref(json);
		return error;
	}

	/* Returns "id:state" of each VM in the list that readers get. */
	std::string
	seen(int64_t now_ms)
	{
		std::string text;
		json_t *list = vms_list(v, now_ms), *vm;
		size_t i;
		json_array_foreach(json_object_get(list, "vms"), i, vm)
		{
			text += json_string_value(json_object_get(vm, "id"));
			text += ":";
			text += json_string_value(json_object_get(vm, "state"));
			text += " ";
		}
		json_decref(list);
		return text;
	}

	struct vms *v;
};

const char *const LIVE = R"({"kind":"worker","ip":"127.0.0.1","state":"live"})";

/*
 * A VM changes to leaving; readers get it as live until the lag has passed.
 * Changes become visible one by one and in order.
 */
TEST_F(VmsTest, ReadersSeeEachChangeAfterTheLag)
{
	ASSERT_EQ(VMS_OK, change("w1", LIVE, 0));
	ASSERT_EQ(VMS_OK, change("w1", R"({"state":"leaving"})", 400));
	ASSERT_EQ(VMS_OK, change("w1", R"({"state":"gone"})", 800));
	EXPECT_EQ("", seen(999));
	EXPECT_EQ("w1:live ", seen(1000));
	EXPECT_EQ("w1:live ", seen(1399));
	EXPECT_EQ("w1:leaving ", seen(1400));
	EXPECT_EQ("w1:gone ", seen(1800));
	EXPECT_EQ("w1:gone ", seen(99999));
}

TEST_F(VmsTest, AWrongChangeChangesNothing)
{
	ASSERT_EQ(VMS_OK, change("w1", LIVE, 0));
	EXPECT_EQ(VMS_ERR_UNKNOWN, change("w2", R"({"state":"gone"})", 0));
	EXPECT_EQ(VMS_ERR_FORMAT, change("w1", R"({"state":"lost"})", 0));
	EXPECT_EQ(VMS_ERR_FORMAT, change("w1", "3", 0));
	EXPECT_EQ(VMS_ERR_FORMAT, change("w2", R"({"kind":"worker"})", 0));
	EXPECT_EQ("w1:live ", seen(1000));
}

TEST_F(VmsTest, AWholeListReplacesTheOld)
{
	change("w1", LIVE, 0);
	json_t *list = json_pack("[{s:s,s:s,s:s,s:s}]", "id", "w9", "kind",
	    "worker", "ip", "127.0.0.1", "state", "live");
	EXPECT_EQ(VMS_OK, vms_replace(v, list, 1));
	json_decref(list);
	EXPECT_EQ("w9:live ", seen(1001));
	list = json_pack("[i]", 3);
	EXPECT_EQ(VMS_ERR_FORMAT, vms_replace(v, list, 2));
	json_decref(list);
}

} // namespace
