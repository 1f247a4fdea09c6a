#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "shard.h"
}

namespace {

const struct shard_options options = { 5000, 10000 };

std::vector<std::string>
homes(const std::vector<const char *> &ids)
{
	std::vector<std::string> out;

	for (int i = 0; i < 200; i++) {
		std::string shard = "dc.rack" + std::to_string(i);
		out.push_back(ids[shard_preferred_owner(
		    shard.c_str(), ids.data(), ids.size())]);
	}
	return out;
}

TEST(Shard, AnEntryThatLeavesMovesOnlyItsOwnShards)
{
	std::vector<const char *> all = { "e1", "e2", "e3", "e4", "e5" };
	std::vector<const char *> fewer = { "e5", "e4", "e3", "e1" };
	auto before = homes(all), after = homes(fewer);
	int of_e2 = 0;

	for (size_t i = 0; i < before.size(); i++) {
		if (before[i] == "e2")
			of_e2++;
		else
			EXPECT_EQ(before[i], after[i]);
	}
	EXPECT_GT(of_e2, 20);
	EXPECT_LT(of_e2, 60);
	EXPECT_EQ(shard_preferred_owner("dc.r", nullptr, 0), 0U);
}

/*
 * Every combination of what is known about an owner.  Only the home takes over.
 * Silence alone or an expired lease alone never suffices, and an entry that
 * hears no peer waits for twice the silence.
 */
TEST(Shard, TakesOverOnlyOnTwoSourcesOrAnAnnouncement)
{
	for (int bits = 0; bits < 512; bits++) {
		struct shard_owner owner = {};
		bool is_home = bits & 1, alone = bits & 2;
		owner.none = bits & 4;
		owner.self = bits & 8;
		owner.left = bits & 16;
		owner.vm_gone = bits & 32;
		owner.registered = bits & 64;
		bool silent_enough = bits & 128;
		owner.silent_ms = bits & 256 ? 10000 : 5000;
		owner.silent_ms -= silent_enough ? 0 : 1;
		bool certain =
		    owner.none || owner.self || owner.left || owner.vm_gone;
		bool two_sources = !owner.registered &&
		    owner.silent_ms >= (alone ? 10000 : 5000);
		EXPECT_EQ(shard_evaluate(&options, &owner, is_home, alone) !=
			SHARD_NO_TAKEOVER,
		    is_home && (certain || two_sources))
		    << bits;
	}
}

TEST(Shard, MovesOnlyToAStableHome)
{
	struct shard_owner_watch watch = {};

	EXPECT_FALSE(shard_hand_over(&options, &watch, "e1", "e1", 0));
	EXPECT_FALSE(shard_hand_over(&options, &watch, "e2", "e1", 1));
	EXPECT_FALSE(shard_hand_over(&options, &watch, "e2", "e1", 10000));
	EXPECT_FALSE(shard_hand_over(&options, &watch, "e1", "e1", 10001));
	EXPECT_FALSE(shard_hand_over(&options, &watch, "e2", "e1", 10002));
	EXPECT_FALSE(shard_hand_over(&options, &watch, "e3", "e1", 20002));
	EXPECT_TRUE(shard_hand_over(&options, &watch, "e3", "e1", 30002));
}

} // namespace
