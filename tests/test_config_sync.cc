#include "handover_fixture.h"

namespace {

// The users' bound on a change of the configuration.
constexpr int64_t kApplyMs = 2000;

// Three entries, the first of which leads; changes follow each other.
class ConfigSync : public Handover {
      protected:
	void
	OpenThree()
	{
		Open("e1", 3);
		Pass(1500);
		Open("e2", 2);
		Open("e3", 1);
		Pass(3000);
		// These clocks pass no faster than real messages do.
		loop_turn_ms = 12;
	}

	// Writes versions one after the other; returns the longest time until
	// one of the entries had it or a later one.
	int64_t
	LongestDelay(int64_t versions, int64_t gap_ms)
	{
		int64_t longest = 0;

		for (int64_t n = 0; n < versions; n++) {
			int64_t version = ++last_version;
			int64_t from_ms = clock_now_ms();

			Put("c/config", std::to_string(version));
			Pass(gap_ms);
			for (auto &[id, client] : clients)
				longest = std::max(
				    longest, Delay(client, version, from_ms));
		}
		return longest;
	}

	static int64_t
	Delay(const Client &client, int64_t version, int64_t from_ms)
	{
		auto found = client.applied_ms.lower_bound(version);

		return found == client.applied_ms.end() ?
		    INT64_MAX :
		    found->second - from_ms;
	}

	int64_t last_version = 1;
};

} // namespace

TEST_F(ConfigSync, ReachesEntriesThatTheStoreServes)
{
	OpenThree();
	EXPECT_LT(LongestDelay(3, 2500), kApplyMs);
}

// Guards against an entry that keeps an old version while its peers have it.
TEST_F(ConfigSync, ReachesAFollowerThatTheStoreRejects)
{
	OpenThree();
	clients["e3"].rejected = true;
	EXPECT_LT(LongestDelay(4, 2500), kApplyMs);
}

// Guards against a leader that keeps an old version while its members have it.
TEST_F(ConfigSync, ReachesALeaderThatTheStoreRejects)
{
	OpenThree();
	clients["e1"].rejected = true;
	EXPECT_LT(LongestDelay(1, 2500), kApplyMs);
}

// Guards against an entry that starts while the store rejects it and refuses
// all requests although its peers have the configuration.
TEST_F(ConfigSync, ReachesARestartedEntryThatTheStoreRejects)
{
	OpenThree();
	Kill(nodes.back());
	Open("e3", 1, true);
	clients["e3"].rejected = true;
	Pass(2500);
	EXPECT_EQ(clients["e3"].config.version, 1);
}

// Guards against followers that trust a leader which learns nothing itself.
TEST_F(ConfigSync, ReachesFollowersOfALeaderThatLearnsNothing)
{
	OpenThree();
	for (auto &[id, client] : clients)
		client.watch_hangs = true;
	Pass(500);
	clients["e1"].rejected = true;
	EXPECT_LT(LongestDelay(1, 4000), kApplyMs);
}
