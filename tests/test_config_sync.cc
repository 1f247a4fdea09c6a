#include "handover_fixture.h"

namespace {

// The users' bound on a change of the configuration.
constexpr int64_t kApplyMs = 2000;
// Once workers see the effect of a version, no entry may use an older one for
// longer than this.
constexpr int64_t kRollbackMs = 250;

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
		// A step takes as long in real time as on the paused clock,
		// so that messages appear no slower than they are.
		loop_turn_ms = kStepMs / 4;
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

	// Hands a job in at an entry.
	void
	SubmitAt(struct node *node, const std::string &id)
	{
		struct graph *g = graph_new(1);

		strlcpy(g->id, id.c_str(), sizeof(g->id));
		strlcpy(g->queue, "q", sizeof(g->queue));
		g->terms = queue.terms;
		g->payload = strdup("p");
		g->steps[0].count = 1;
		g->steps[0].size = { 1000, 100, 0 };
		g->steps[0].estimate_ms = 100;
		node_submit(node, g, clock_now_ms() + 3000, Replied, this);
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

// Guards against a leader that starts a job accepted by a newer version than
// its own, and goes on to answer its own callers by the older one.
TEST_F(ConfigSync, AJobTakesItsVersionToTheLeader)
{
	OpenThree();
	for (int64_t n = 0; n < 5; n++) {
		int64_t version = ++last_version;

		clients["e1"].rejected = true;
		Put("c/config", std::to_string(version));
		// At another time between two hello messages.
		Pass(100 + n * 2 * kStepMs);
		int64_t from_ms = clock_now_ms();
		SubmitAt(nodes[1], "job" + std::to_string(n));
		Pass(400);
		EXPECT_LE(Delay(clients["e1"], version, from_ms), kRollbackMs);
		clients["e1"].rejected = false;
		Pass(1500);
	}
	EXPECT_EQ(accepted, 5);
}

// Guards against an entry that relays orders of a newer version than the one it
// answers its callers by, while it doesn't know yet that the store is silent.
TEST_F(ConfigSync, AVersionReachesASilencedFollowerBeforeItsEffectsMatter)
{
	OpenThree();
	for (int64_t n = 0; n < 5; n++) {
		clients["e3"].reads_hang = true;
		Pass(200 + n * kStepMs);
		EXPECT_LE(LongestDelay(1, 600), kRollbackMs);
		clients["e3"].reads_hang = false;
		AnswerHanging();
		Pass(1000);
	}
}
