#include <random>
#include <set>

#include "sched_fixture.h"

namespace {

// Workers in data centres that operators close.
class Closed : public SchedSim {
      protected:
	struct sched_worker *
	JoinIn(const char *id, const char *data_center, int64_t cpu = 8000)
	{
		struct sched_worker *w = sched_worker_get(s, id);

		strlcpy(w->data_center, data_center, sizeof(w->data_center));
		return Join(id, cpu);
	}

	void
	Close(const std::vector<std::string> &names)
	{
		struct closure_set set;

		closure_set_clear(&set);
		for (auto &name : names)
			closure_set_add(&set, name.c_str());
		sched_set_closures(s, &set);
	}

	size_t
	StartedOn(const std::string &worker) const
	{
		size_t n = 0;

		for (auto &o : started)
			n += o.worker == worker;
		return n;
	}
};

} // namespace

TEST_F(Closed, NothingStartsInAClosedDataCenterAndWhatRunsGoesOn)
{
	struct graph *g = Graph("lasts", 4, 2000);

	g->steps[0].lasts = true;
	JoinIn("w1", "a", 16000);
	Simulate(200);
	Add(g);
	Simulate(300);
	JoinIn("w2", "b");
	Simulate(200);
	ASSERT_EQ(sim["w1"].running.size(), 4u);
	Close({ "a" });
	started.clear();
	Add(Graph("short", 4, 2000));
	Simulate(400);
	EXPECT_EQ(sim["w1"].running.size(), 4u);
	EXPECT_EQ(StartedOn("w1"), 0u);
	EXPECT_EQ(StartedOn("w2"), 4u);
}

TEST_F(Closed, AnOpenedDataCenterIsUsedAtOnce)
{
	JoinIn("w1", "a");
	Simulate(200);
	Close({ "a" });
	Add(Graph("short", 4, 2000));
	Simulate(1000);
	EXPECT_TRUE(started.empty());
	Close({});
	Simulate(100);
	EXPECT_EQ(StartedOn("w1"), 4u);
}

// Guards against a gang of which a part is started, and waits for the rest.
TEST_F(Closed, AGangThatNeedsTheClosedDataCenterWaitsWhole)
{
	struct graph *g = Graph("gang", 6, 2000);

	g->steps[0].gang = true;
	JoinIn("w1", "a");
	JoinIn("w2", "b");
	Simulate(200);
	Close({ "a" });
	Add(g);
	Simulate(1000);
	EXPECT_TRUE(started.empty());
	Close({});
	Simulate(200);
	EXPECT_EQ(started.size(), 6u);
}

TEST_F(Closed, AFillerIsNotStartedThereEither)
{
	struct graph *g = Graph("filler", 2, 1000);

	g->steps[0].filler = true;
	JoinIn("w1", "a");
	Simulate(200);
	Close({ "a" });
	Add(g);
	Simulate(1000);
	EXPECT_TRUE(started.empty());
}

// Guards against long-running tasks that are stopped on a worker that leaves,
// though their only other place is closed.
TEST_F(Closed, NothingIsMovedToAClosedDataCenter)
{
	struct graph *g = Graph("lasts", 2, 2000);

	g->steps[0].lasts = true;
	JoinIn("w1", "a");
	Simulate(200);
	Add(g);
	Simulate(200);
	JoinIn("w2", "b");
	Simulate(200);
	Close({ "b" });
	ListAsDraining("w1", 8000);
	Simulate(3000);
	EXPECT_EQ(sim["w1"].running.size(), 2u);
}

TEST_F(Closed, TheReasonForWaitingIsTold)
{
	struct sched_waiting waiting;
	struct sched_load load;

	JoinIn("w1", "a");
	Simulate(200);
	s->closures_unknown = true;
	Add(Graph("short", 2, 2000));
	Simulate(500);
	EXPECT_TRUE(started.empty());
	sched_explain_waiting(s, &waiting, now);
	EXPECT_EQ(waiting.cause, WAIT_CLOSURES);
	s->closures_unknown = false;
	Close({ "a" });
	sched_measure(s, &load, now);
	EXPECT_EQ(load.barred[BAR_CLOSED], 1u);
	EXPECT_EQ(load.usable, 0u);
}

TEST_F(Closed, AllWorkersOfAServiceAreClosed)
{
	JoinIn("w1", "a");
	JoinIn("w2", "b");
	Simulate(200);
	EXPECT_FALSE(sched_all_closed(s, "s"));
	Close({ "a", "unknown" });
	EXPECT_FALSE(sched_all_closed(s, "s"));
	Close({ "a", "b" });
	EXPECT_TRUE(sched_all_closed(s, "s"));
	EXPECT_FALSE(sched_all_closed(s, "other"));
}

// Guards against any order of closings, arrivals and departures that lets a
// start through.
TEST_F(Closed, NoOrderOfEventsStartsInAClosedDataCenter)
{
	static const char *const centers[] = { "a", "b", "c" };
	std::mt19937 random(11);
	std::set<std::string> closed;
	int serial = 0;

	for (int i = 0; i < 400; i++) {
		std::string center = centers[random() % 3];
		switch (random() % 4) {
		case 0:
			if (!closed.erase(center))
				closed.insert(center);
			Close({ closed.begin(), closed.end() });
			break;
		case 1:
			JoinIn(("w" + std::to_string(random() % 9)).c_str(),
			    centers[random() % 3], 200000);
			break;
		default:
			Add(Graph(("j" + std::to_string(serial++)).c_str(),
			    1 + random() % 3, 1000));
		}
		started.clear();
		Simulate(100);
		for (auto &o : started)
			EXPECT_FALSE(
			    closed.count(sched_worker_find(s, o.worker.c_str())
					     ->data_center))
			    << o.worker;
	}
	EXPECT_GT(s->counts.starts, 100u);
}
