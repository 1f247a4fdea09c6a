#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "route.h"
}

namespace {

struct Fleet {
	struct routes routes;
	std::vector<std::string> ids;
	std::vector<struct route_member> members;

	Fleet(const std::vector<double> &powers, size_t near)
	{
		routes_init(&routes);
		for (size_t i = 0; i < powers.size(); i++)
			ids.push_back("entry-" + std::to_string(i));
		for (size_t i = 0; i < powers.size(); i++)
			members.push_back(
			    { ids[i].c_str(), powers[i], i < near });
	}
	~Fleet()
	{
		routes_free(&routes);
	}
	size_t
	Choose(const std::string &worker, int64_t now_ms = 1000)
	{
		double best_score = -1;
		size_t best = 0;

		for (size_t i = 0; i < members.size(); i++) {
			double score = route_score(
			    &routes, &members[i], worker.c_str(), now_ms);
			if (score > best_score) {
				best_score = score;
				best = i;
			}
		}
		return best;
	}
};

TEST(Route, KeepsAWorkerWithItsMember)
{
	Fleet fleet({ 0.25, 0.25, 0.25 }, 3);
	size_t first = fleet.Choose("w1");

	route_lost(&fleet.routes, "w1", 1000);
	EXPECT_EQ(fleet.Choose("w1"), first);
	route_answered(&fleet.routes, "w1");
	route_lost(&fleet.routes, "w1", 1000);
	EXPECT_EQ(fleet.Choose("w1"), first);
}

// A member is cut from a worker but not from the leader.  Its calls are lost
// one after the other; the leader must get through before what runs on the
// worker lapses, and must not send the next call over the cut again once it
// got through.
TEST(Route, MovesAfterLossesInARowAndStaysThere)
{
	Fleet fleet({ 0.25, 0.25, 0.25, 0.25, 0.25, 0.25 }, 6);
	std::map<size_t, int> seen;

	for (int i = 0; i < 40; i++) {
		seen[fleet.Choose("w1")]++;
		route_lost(&fleet.routes, "w1", 1000);
	}
	EXPECT_EQ(seen.size(), 6u);
	size_t last = fleet.Choose("w1");
	route_answered(&fleet.routes, "w1");
	EXPECT_EQ(fleet.Choose("w1", 30000), last);
}

// One worker that answers nobody must not move the others: each move costs
// new connections, and workers reset those over their cap.
TEST(Route, LossesOfOneWorkerMoveNoOther)
{
	Fleet fleet({ 0.25, 0.12, 0.5 }, 3);
	size_t before = fleet.Choose("w2");

	for (int i = 0; i < 10; i++)
		route_lost(&fleet.routes, "w1", 1000);
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
		route_lost(&fleet.routes, "w1", 1000);
		far = far || fleet.Choose("w1") != 0;
	}
	EXPECT_TRUE(far);
}

TEST(Route, ForgetsOldLosses)
{
	Fleet fleet({ 0.5, 0.5, 0.5 }, 3);
	size_t first = fleet.Choose("w1");

	for (int i = 0; i < 7; i++)
		route_lost(&fleet.routes, "w1", 1000);
	routes_expire(&fleet.routes, 61000);
	EXPECT_TRUE(LIST_EMPTY(&fleet.routes.list));
	EXPECT_EQ(fleet.Choose("w1", 61000), first);
}

} // namespace
