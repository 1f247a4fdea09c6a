#include <cmath>
#include <random>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "interference.h"
}

namespace {

constexpr double kTargetMs = 50;
constexpr double kShortestMs = 10;
constexpr double kBadEffect = 3.5, kGoodEffect = 0.3;

// Serving tasks whose load varies, each with its own phase, beside fillers
// that come and go.  Tail latencies are listed each half second, with noise.
struct Worker {
	struct load_estimate load = {};
	double phase;
	double bad = 0, good = 0; // shares of the worker's processors

	double
	TrueLoad(int64_t now_ms) const
	{
		return 0.45 * (1 + 0.5 * sin(now_ms / 2200.0 + phase));
	}
	double
	DisturbedLoad(int64_t now_ms) const
	{
		return TrueLoad(now_ms) *
		    (1 + kBadEffect * bad + kGoodEffect * good);
	}
};

struct World {
	struct interference *interference = interference_new();
	std::mt19937 random;
	int web, bad, good;
	std::vector<Worker> workers;
	int64_t now_ms = 1000;

	explicit World(unsigned seed, size_t n = 20) : random(seed), workers(n)
	{
		web = interference_image(interference, "web");
		bad = interference_image(interference, "bad");
		good = interference_image(interference, "good");
		for (auto &w : workers)
			w.phase =
			    std::uniform_real_distribution<>(0, 6)(random);
	}
	~World()
	{
		interference_free(interference);
	}
	// Processes one list of each worker; fillers change on some of the
	// workers.
	void
	Step(double share_bad, double share_good)
	{
		std::uniform_real_distribution<> uniform(0, 1);
		std::normal_distribution<> noise(1, 0.05);

		now_ms += 500;
		for (auto &w : workers) {
			struct filler_usage usages[2] = { { bad, w.bad },
				{ good, w.good } };
			double load = std::min(0.97, w.DisturbedLoad(now_ms));

			interference_update(interference, web, &w.load, usages,
			    2, kShortestMs / (1 - load) * noise(random),
			    kTargetMs, now_ms);
			if (uniform(random) > 0.3)
				continue;
			w.bad = uniform(random) < share_bad ? 0.15 : 0;
			w.good = uniform(random) < share_good ? 0.15 : 0;
		}
	}
	double
	Bad() const
	{
		return interference_effect(interference, web, bad);
	}
	double
	Good() const
	{
		return interference_effect(interference, web, good);
	}
};

} // namespace

// A few seconds with both images beside the serving tasks are enough to tell
// them apart.
TEST(Interference, TellsWhoDisturbsFromMixedTails)
{
	int wrong = 0;

	for (unsigned seed = 0; seed < 50; seed++) {
		World world(seed);
		for (int i = 0; i < 16; i++)
			world.Step(0.3, 0.5);
		if (world.Bad() < 2 || world.Good() > 1)
			wrong++;
	}
	EXPECT_LE(wrong, 2);
}

TEST(Interference, LearnsHowMuch)
{
	World world(1);

	for (int i = 0; i < 120; i++)
		world.Step(0.3, 0.5);
	/*
	 * The longest tails are capped, so that strong effects are
	 * underestimated.
	 */
	EXPECT_GT(world.Bad(), kBadEffect / 2);
	EXPECT_LT(world.Bad(), kBadEffect * 1.2);
	EXPECT_NEAR(world.Good(), kGoodEffect, 0.4);
}

// Where most tasks of an image are disturbed, most tails are long.  They must
// not be taken for the normal ones.
TEST(Interference, SeesADisturbanceOfMostTasks)
{
	World world(1);

	for (int i = 0; i < 60; i++)
		world.Step(0.7, 0.5);
	EXPECT_GT(world.Bad(), 2);
	EXPECT_LT(world.Good(), 1);
}

// A varying load makes tails longer and shorter without any filler to blame.
TEST(Interference, LoadAloneBlamesNoFiller)
{
	World world(1);

	for (int i = 0; i < 40; i++)
		world.Step(0, 0.5);
	EXPECT_LT(world.Good(), 1);
}

// The estimated load is that of the task alone, whatever runs beside it.
TEST(Interference, FollowsTheLoadBesideFillers)
{
	World world(2);
	double sum = 0;
	int n = 0;

	for (int i = 0; i < 60; i++)
		world.Step(0.3, 0.5);
	for (int i = 0; i < 20; i++) {
		world.Step(0.3, 0.5);
		for (auto &w : world.workers) {
			sum += std::abs(load_estimate_value(&w.load) -
			    w.TrueLoad(world.now_ms));
			n++;
		}
	}
	EXPECT_LT(sum / n, 0.08);
}

// The tasks of a step run on many workers and serve the same users.  With an
// estimate for each task, the effects of fillers and of users could not be
// told apart for seconds: harmless fillers were throttled, and harmful ones
// admitted. With a common estimate, tasks beside other fillers provide the
// difference.
TEST(Interference, OneLoadForAllTasksOfAStep)
{
	struct interference *p = interference_new();
	struct load_estimate load = {};
	int web = interference_image(p, "web"),
	    bad = interference_image(p, "bad");
	int good = interference_image(p, "good");
	std::mt19937 random(3);
	std::normal_distribution<> noise(1, 0.05);
	double error = 0;
	int n = 0;

	for (int64_t now_ms = 1000; now_ms < 7000; now_ms += 40) {
		int task = (int)(now_ms / 40 % 6);
		struct filler_usage usages[2] = { { bad, task == 0 ? 0.1 : 0 },
			{ good, task < 4 ? 0.2 : 0 } };
		double users = 0.45 * (1 + 0.5 * sin(now_ms / 2200.0));
		double disturbed = users *
		    (1 + kBadEffect * usages[0].share +
			kGoodEffect * usages[1].share);

		interference_update(p, web, &load, usages, 2,
		    kShortestMs / (1 - disturbed) * noise(random), kTargetMs,
		    now_ms);
		if (now_ms < 3000)
			continue;
		error += std::abs(load_estimate_value(&load) - users);
		n++;
	}
	EXPECT_LT(error / n, 0.06);
	EXPECT_NEAR(interference_effect(p, web, bad), kBadEffect, 1);
	EXPECT_LT(interference_effect(p, web, good), 0.6);
	interference_free(p);
}

// One listed tail in thirty is far off.  The minimum is no measure of the
// shortest tail: with it every load and effect is wrong from then on.
TEST(Interference, OneShortTailIsNotTheShortest)
{
	struct interference *p = interference_new();
	struct load_estimate load = {};
	int web = interference_image(p, "web");

	for (int i = 0; i < 600; i++)
		interference_update(p, web, &load, nullptr, 0,
		    i % 60 == 0 ? 5 : 13 + i % 20, kTargetMs, 1000 + 40 * i);
	// The lowest load is assumed to be 0.2, so that the tail without load
	// is 0.8 of 13 ms.
	EXPECT_NEAR(interference_load_limit(p, web, kTargetMs),
	    1 - 0.8 * 13 / 50, 0.04);
	interference_free(p);
}

TEST(Interference, NothingIsKnownAtFirst)
{
	World world(1);
	struct load_estimate none = {};

	EXPECT_DOUBLE_EQ(world.Bad(), 1);
	EXPECT_GT(load_estimate_value(&none), 0.3);
	EXPECT_DOUBLE_EQ(
	    interference_load_limit(world.interference, world.web, kTargetMs),
	    0.8);
}

TEST(Interference, ImagesRunOut)
{
	struct interference *p = interference_new();
	struct filler_usage usage = { IMAGE_NONE, 0.1 };
	struct load_estimate load = {};
	char name[16];

	for (int i = 0; i < INTERFERENCE_IMAGES_MAX; i++) {
		snprintf(name, sizeof(name), "i%d", i);
		EXPECT_EQ(interference_image(p, name), i);
	}
	EXPECT_EQ(interference_image(p, "one more"), IMAGE_NONE);
	interference_update(p, IMAGE_NONE, &load, &usage, 1, 10, 50, 1000);
	interference_update(p, 0, &load, &usage, 1, 10, 50, 1000);
	EXPECT_DOUBLE_EQ(interference_effect(p, 0, IMAGE_NONE), 1);
	interference_free(p);
}

// The next leader continues with what the former one has learnt.
TEST(Interference, WhatIsLearntIsHandedOn)
{
	World world(1), next(2);

	for (int i = 0; i < 40; i++)
		world.Step(0.3, 0.5);
	interference_foreach(
	    world.interference,
	    [](const char *serving, const char *filler, double effect,
		void *ctx) {
		    interference_set_effect(
			static_cast<struct interference *>(ctx), serving,
			filler, effect);
	    },
	    next.interference);
	EXPECT_DOUBLE_EQ(next.Bad(), world.Bad());
	EXPECT_DOUBLE_EQ(next.Good(), world.Good());
}
