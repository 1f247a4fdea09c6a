#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "route.h"
}

namespace {

struct Member {
	std::string id;
	bool usable = true;
	int64_t until_ms = 0;
};

bool
Usable(const void *data, int64_t now_ms, int64_t *until_ms)
{
	const Member *member = static_cast<const Member *>(data);

	*until_ms = member->until_ms;
	return member->usable || now_ms >= member->until_ms;
}

struct Fleet {
	struct routes routes;
	std::vector<Member> data;
	std::vector<struct route_member> members;

	Fleet(const std::vector<double> &powers, size_t near)
	{
		routes_init(&routes, Usable);
		data.resize(powers.size());
		for (size_t i = 0; i < powers.size(); i++) {
			data[i].id = "entry-" + std::to_string(i);
			members.push_back({ data[i].id.c_str(), powers[i],
			    i < near ? "here" : "there", &data[i] });
		}
		routes_set_members(&routes, members.data(), members.size());
	}
	~Fleet()
	{
		routes_free(&routes);
	}
	// Returns the index of the member, or SIZE_MAX if there is none.
	size_t
	Choose(const std::string &worker, int64_t now_ms = 1000)
	{
		void *chosen =
		    route_choose(&routes, worker.c_str(), "here", now_ms);

		return chosen == nullptr ?
		    SIZE_MAX :
		    static_cast<size_t>(
			static_cast<Member *>(chosen) - data.data());
	}
};

TEST(Route, KeepsAWorkerWithItsMember)
{
	Fleet fleet({ 0.25, 0.25, 0.25 }, 3);
	size_t first = fleet.Choose("w1");

	route_call_lost(&fleet.routes, "w1", 1000);
	EXPECT_EQ(fleet.Choose("w1"), first);
	route_call_answered(&fleet.routes, "w1");
	route_call_lost(&fleet.routes, "w1", 1000);
	EXPECT_EQ(fleet.Choose("w1"), first);
}

// A member is partitioned from a worker but not from the leader.  Its calls are
// lost one after the other; the leader must reach the worker through another
// member before the leases there expire, and must not return to the first
// member once a call was answered.
TEST(Route, MovesAfterLossesInARowAndStaysThere)
{
	Fleet fleet({ 0.25, 0.25, 0.25, 0.25, 0.25, 0.25 }, 6);
	std::map<size_t, int> seen;

	for (int i = 0; i < 40; i++) {
		seen[fleet.Choose("w1")]++;
		route_call_lost(&fleet.routes, "w1", 1000);
	}
	EXPECT_EQ(seen.size(), 6u);
	size_t last = fleet.Choose("w1");
	route_call_answered(&fleet.routes, "w1");
	EXPECT_EQ(fleet.Choose("w1", 30000), last);
}

// A worker that answers no call must not move the others: each move costs new
// connections, and workers reset connections over their limit.
TEST(Route, LossesOfOneWorkerMoveNoOther)
{
	Fleet fleet({ 0.25, 0.12, 0.5 }, 3);
	size_t before = fleet.Choose("w2");

	for (int i = 0; i < 10; i++)
		route_call_lost(&fleet.routes, "w1", 1000);
	EXPECT_EQ(fleet.Choose("w2"), before);
}

TEST(Route, SharesFollowPowerAndDataCenter)
{
	Fleet fleet({ 0.12, 0.5, 0.5, 0.5 }, 2);
	std::map<size_t, int> shares;

	for (int i = 0; i < 1000; i++)
		shares[fleet.Choose("w" + std::to_string(i))]++;
	EXPECT_LT(shares[2] + shares[3], 20);
	EXPECT_GT(shares[1], 3 * shares[0]);
	EXPECT_GT(shares[0], 50);
}

TEST(Route, GoesElsewhereWhenNearMembersFail)
{
	Fleet fleet({ 0.5, 0.5, 0.5 }, 1);
	bool far = false;

	for (int i = 0; i < 20; i++) {
		route_call_lost(&fleet.routes, "w1", 1000);
		far = far || fleet.Choose("w1") != 0;
	}
	EXPECT_TRUE(far);
}

TEST(Route, ForgetsOldLosses)
{
	Fleet fleet({ 0.5, 0.5, 0.5 }, 3);
	size_t first = fleet.Choose("w1");

	for (int i = 0; i < 7; i++)
		route_call_lost(&fleet.routes, "w1", 1000);
	EXPECT_EQ(fleet.Choose("w1", 61000), first);
	routes_expire(&fleet.routes, 61000);
	EXPECT_FALSE(RB_EMPTY(&fleet.routes.tree));
	routes_expire(&fleet.routes, 121000);
	EXPECT_TRUE(RB_EMPTY(&fleet.routes.tree));
	EXPECT_EQ(fleet.Choose("w1", 121000), first);
}

// Calls to the workers of half a data centre are lost.  A leader that evaluates
// all members for each call, and scans all workers with lost calls for each
// member, has no time left for its heartbeats and is deposed; so is the next
// one.
TEST(Route, LostCallsRaiseNoCostPerCall)
{
	Fleet fleet(std::vector<double>(97, 0.12), 20);

	for (int i = 0; i < 890; i++)
		fleet.Choose("w" + std::to_string(i));
	for (int i = 0; i < 500; i++)
		route_call_lost(
		    &fleet.routes, ("w" + std::to_string(i)).c_str(), 1000);
	uint64_t before = fleet.routes.evaluations;
	for (int round = 0; round < 10; round++) {
		for (int i = 0; i < 890; i++)
			fleet.Choose("w" + std::to_string(i), 1000 + round);
	}
	EXPECT_EQ(fleet.routes.evaluations, before);
}

// A member that lost an order is not used for a while: its workers are moved to
// the next best, and return once it is usable again.
TEST(Route, WorkersReturnToAMemberThatIsUsableAgain)
{
	Fleet fleet({ 0.25, 0.25, 0.25 }, 3);
	size_t first = fleet.Choose("w1");

	fleet.data[first].usable = false;
	fleet.data[first].until_ms = 3000;
	EXPECT_NE(fleet.Choose("w1", 1100), first);
	EXPECT_NE(fleet.Choose("w1", 2999), first);
	EXPECT_EQ(fleet.Choose("w1", 3000), first);
}

TEST(Route, WithoutAMemberToUseThereIsNone)
{
	Fleet fleet({ 0.25 }, 1);

	fleet.data[0].usable = false;
	fleet.data[0].until_ms = 2000;
	EXPECT_EQ(fleet.Choose("w1", 1000), SIZE_MAX);
	EXPECT_EQ(fleet.Choose("w1", 2000), 0u);
	routes_set_members(&fleet.routes, nullptr, 0);
	EXPECT_EQ(fleet.Choose("w1", 2000), SIZE_MAX);
}

} // namespace
