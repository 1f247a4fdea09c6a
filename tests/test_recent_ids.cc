#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "recent_ids.h"
}

namespace {

TEST(Recent, RemembersForAWhileInConstantSpace)
{
	recent_ids_options o = { 1024, 1000 };
	recent_ids *r = recent_ids_open(&o);
	recent_ids_add(r, "p1", 0);
	EXPECT_TRUE(recent_ids_has(r, "p1", 999));
	EXPECT_FALSE(recent_ids_has(r, "p1", 1000));
	EXPECT_FALSE(recent_ids_has(r, "p2", 0));
	EXPECT_FALSE(recent_ids_has(r, "", 0));
	int found = 0;
	for (int i = 0; i < 100; i++)
		recent_ids_add(r, std::to_string(i).c_str(), 5);
	for (int i = 0; i < 100; i++)
		found += recent_ids_has(r, std::to_string(i).c_str(), 5);
	EXPECT_GE(found, 80);
	recent_ids_close(r);
}

} // namespace
