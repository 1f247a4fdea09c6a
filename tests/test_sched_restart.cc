#include "sched_fixture.h"

// Workers that tell their start and restart under the id that they had: they
// hold nothing of before, and count ends and time anew.
class SchedRestart : public SchedSim {
      protected:
	static constexpr int64_t kStarted = 1700000000000;

	struct sched_worker *
	JoinTelling(const char *id, int64_t cpu, int64_t born = kStarted)
	{
		sim[id].started_ms = born;
		sim[id].clock_base_ms = now - 1;
		List(id, born);
		return Join(id, cpu);
	}

	// The list of workers tells that start.
	void
	List(const std::string &id, int64_t born)
	{
		sched_worker_list_start(
		    s, sched_worker_get(s, id.c_str()), born, now);
	}

	// The worker crashes.
	void
	GoDown(const std::string &id)
	{
		SimWorker &m = sim[id];

		m.reachable = false;
		m.running.clear();
		m.ended.clear();
	}

	// Its next incarnation begins.
	void
	ComeBack(const std::string &id, int64_t born, bool listed = true)
	{
		SimWorker &m = sim[id];

		m.reachable = true;
		m.started_ms = born;
		m.clock_base_ms = now;
		m.last_end = 0;
		if (listed)
			List(id, born);
	}

	void
	Restart(const std::string &id, int64_t born, int64_t down_ms = 500)
	{
		GoDown(id);
		Simulate(down_ms);
		ComeBack(id, born);
	}

	// Runs short jobs, so that the worker's ends reach that number.
	void
	RunShortJobs(uint32_t n)
	{
		struct graph *g = Graph("short", n, 100);

		run_ms["short"] = 200;
		Add(g);
		Simulate(2000);
		ASSERT_EQ(StateOf("short"), "completed");
	}

	std::string
	StateOf(const char *job)
	{
		return sched_job_state_name(sched_job_find(s, job)->state);
	}

	size_t
	StartsOf(const char *job) const
	{
		size_t n = 0;

		for (auto &o : started)
			n += strcmp(o.task.job, job) == 0;
		return n;
	}
};

// Guards against a task that is done on a restarted worker and starts again.
TEST_F(SchedRestart, EndsAfterARestartAreListedAndCount)
{
	JoinTelling("w", 4000);
	RunShortJobs(8);
	Restart("w", kStarted + 7000);
	Simulate(1000);
	run_ms["b"] = 300;
	Add(Graph("b", 3, 1000));
	Simulate(1500);
	EXPECT_EQ(StateOf("b"), "completed");
	EXPECT_EQ(StartsOf("b"), 3u);
}

// Guards against taking the larger of two starts for the later one.
TEST_F(SchedRestart, ARestartAfterAClockStepBackIsARestart)
{
	JoinTelling("w", 4000);
	RunShortJobs(8);
	Restart("w", kStarted - 60000);
	Simulate(1000);
	run_ms["b"] = 300;
	Add(Graph("b", 3, 1000));
	Simulate(1500);
	EXPECT_EQ(StateOf("b"), "completed");
	EXPECT_EQ(StartsOf("b"), 3u);
}

// Guards against waiting for a lease, or for lists, to restart what was lost.
TEST_F(SchedRestart, RunsOfTheFormerIncarnationAreLostAtTheFirstAnswer)
{
	JoinTelling("w", 4000);
	run_ms["a"] = 50000;
	Add(Graph("a", 2, 1000));
	Simulate(1500);
	ASSERT_EQ(started.size(), 2u);
	Restart("w", kStarted + 7000);
	Simulate(600);
	EXPECT_EQ(started.size(), 4u);
	ASSERT_EQ(lost.size(), 2u);
	EXPECT_EQ(lost[0].cause, LOSS_OTHER_INCARNATION);
	EXPECT_EQ(RunningAnywhere(), 2u);
}

// Guards against leases on the former incarnation's clock.
TEST_F(SchedRestart, LeasesAreGrantedOnThePresentClock)
{
	JoinTelling("w", 4000);
	Simulate(20000);
	Restart("w", kStarted + 7000);
	Simulate(300);
	renewed = 0;
	Simulate(1500);
	EXPECT_GT(renewed, 0);
	EXPECT_LE(renewed, now - sim["w"].clock_base_ms + options.lease_ms);
}

// Guards against ends of a restarted worker that a poll discards unseen.
TEST_F(SchedRestart, APollAfterALostOneAcknowledgesNothing)
{
	struct sched_worker *w = JoinTelling("w", 4000);

	RunShortJobs(8);
	EXPECT_GT(AcknowledgedByPoll(w), 0u);
	GoDown("w");
	while (w->inc.misses < 2)
		Simulate(50);
	EXPECT_EQ(AcknowledgedByPoll(w), 0u);
}

// Guards against a second run of a task whose start is carried out by the next
// incarnation, which doesn't know that the former one was told to stop it.
TEST_F(SchedRestart, AStartThatReachesTheNextLifeRunsOnce)
{
	JoinTelling("w", 4000);
	Simulate(1000);
	sim["w"].start_answer = ANSWER_LOST;
	run_ms["a"] = 600;
	Add(Graph("a", 1, 1000));
	Simulate(100);
	ASSERT_EQ(started.size(), 1u);
	ASSERT_EQ(StopsOf(started[0]), 1u);
	GoDown("w");
	ComeBack("w", kStarted + 7000);
	sim["w"].delayed.push_back({ started[0], now + 250 });
	JoinTelling("x", 4000);
	for (int i = 0; i < 60; i++) {
		Simulate(50);
		EXPECT_LE(RunningAnywhere(), 1u);
	}
	EXPECT_EQ(StateOf("a"), "completed");
}

// Guards against a worker that is back, but taken for gone for good.
TEST_F(SchedRestart, AWorkerThatWasReplacedAtItsAddressComesBack)
{
	JoinTelling("w", 4000);
	Simulate(1000);
	sim["w"].replaced = true;
	Simulate(1500);
	sim["w"].replaced = false;
	ComeBack("w", kStarted + 7000, false);
	const struct resources capacity = { 4000, 64000, 0 };
	List("w", kStarted + 7000);
	sched_worker_listed(
	    s, sched_worker_find(s, "w"), &capacity, false, 0, now);
	Add(Graph("a", 1, 1000));
	Simulate(2000);
	EXPECT_EQ(RunningAnywhere(), 1u);
}

// Guards against a task that crashes its workers and is never given up, as
// each worker seems to answer again.
TEST_F(SchedRestart, ACrashIsConfirmedByTheNextIncarnation)
{
	JoinTelling("w", 4000);
	run_ms["a"] = 50000;
	Add(Graph("a", 1, 1000));
	Simulate(1500);
	Restart("w", kStarted + 7000, 8000); // its lease expires first
	Simulate(1000);
	ASSERT_GE(lost.size(), 2u);
	EXPECT_EQ(lost[0].cause, LOSS_LAPSED);
	EXPECT_EQ(lost[1].cause, LOSS_CONFIRMED);
}

// Guards against starts by the capacity and labels of the former incarnation,
// which may have been of another kind.
TEST_F(SchedRestart, NothingStartsUntilTheListTellsThePresentIncarnation)
{
	JoinTelling("w", 4000);
	Simulate(1000);
	GoDown("w");
	Simulate(500);
	ComeBack("w", kStarted + 7000, false);
	Simulate(1000);
	Add(Graph("a", 1, 1000));
	Simulate(1000);
	EXPECT_EQ(started.size(), 0u);
	List("w", kStarted + 7000);
	Simulate(500);
	EXPECT_EQ(started.size(), 1u);
}

// Guards against an entry of the former incarnation, which the store still has,
// being taken for a restart: the worker can't replace it while it is cut off.
TEST_F(SchedRestart, AnOldEntryInTheListIsNoRestart)
{
	JoinTelling("w", 4000);
	Simulate(1000);
	Restart("w", kStarted + 7000);
	Simulate(1000);
	run_ms["a"] = 2000;
	Add(Graph("a", 2, 1000));
	Simulate(1000);
	List("w", kStarted);
	Simulate(2000);
	EXPECT_EQ(StartsOf("a"), 2u);
	EXPECT_EQ(StateOf("a"), "completed");
}

// Guards against an end of the former incarnation that is told late, after the
// next incarnation has numbered more ends, and is taken for one that was
// processed.
TEST_F(SchedRestart, ALateEndOfTheFormerLifeCounts)
{
	struct sched_worker *w = JoinTelling("w", 4000);

	run_ms["a"] = 50000;
	Add(Graph("a", 1, 1000));
	Simulate(1000);
	Restart("w", kStarted + 7000);
	RunShortJobs(8);
	poll_finished end = End(3, started[0], END_DONE);
	struct poll_result late = { kStarted, now, nullptr, 0, &end, 1 };
	sched_late_ends_reported(s, w, &late, now);
	Simulate(100);
	EXPECT_EQ(StateOf("a"), "completed");
	EXPECT_GE(w->inc.processed, 8u);
}

// Guards against the end of the present incarnation by a refusal that an order
// for the former incarnation met at its old address.
TEST_F(SchedRestart, ARefusalMeantForTheFormerLifeEndsNotThePresentOne)
{
	struct sched_worker *w = JoinTelling("w", 4000);
	const struct task_name task = { "gone", 0, 0, 0 };

	Simulate(1000);
	uint32_t former = w->inc.serial;
	Restart("w", kStarted + 7000);
	Simulate(1000);
	sched_stop_answered(
	    s, w, former, &task, 1, ANSWER_OTHER_INCARNATION, 0, now);
	Add(Graph("a", 1, 1000));
	Simulate(500);
	EXPECT_EQ(RunningAnywhere(), 1u);
}

// Guards against blaming a task for the end of a worker that had said that it
// leaves, and is back under its id.
TEST_F(SchedRestart, AnAnnouncedRestartIsNoCrash)
{
	JoinTelling("w", 4000);
	run_ms["a"] = 50000;
	Add(Graph("a", 1, 1000));
	Simulate(1000);
	ListAsDraining("w", 4000);
	Simulate(500);
	GoDown("w");
	Simulate(500);
	ComeBack("w", kStarted + 7000);
	const struct resources capacity = { 4000, 64000, 0 };
	sched_worker_listed(
	    s, sched_worker_find(s, "w"), &capacity, false, 0, now);
	Simulate(500);
	ASSERT_EQ(lost.size(), 1u);
	EXPECT_EQ(lost[0].crashes, 0u);
	EXPECT_EQ(RunningAnywhere(), 1u);
}

// Guards against a second run of a task whose start reaches the next
// incarnation, which is cut off before it answers.  The leader has heard only
// the former one, but the list tells the restart: the lease of the former one
// bounds nothing.
TEST_F(SchedRestart, AListedRestartAllowsTheLongestLeaseUnderTheSameLeader)
{
	s->opt.lease_max_ms = 10000;
	JoinTelling("w", 4000);
	Simulate(1000);
	GoDown("w");
	Add(Graph("a", 1, 1000));
	Simulate(100);
	ASSERT_EQ(started.size(), 1u);
	JoinTelling("x", 4000);
	Simulate(500);
	sim["w"].running.push_back({ started[0], now });
	List("w", kStarted + 7000);
	for (int64_t end = now + s->opt.lease_max_ms; now < end;) {
		Simulate(50);
		ASSERT_LE(RunningAnywhere(), 1u) << now - end;
	}
}

// Guards against a lease that is counted from the first answer alone: a start
// for the former incarnation that had no answer reaches the next one seconds
// later, which refuses it as old, but takes the lease from it.
TEST_F(SchedRestart, ALateOrderForTheFormerLifeAllowsTheLongestLease)
{
	constexpr int64_t kLateMs = 2000;
	struct sched_worker *w = JoinTelling("w", 4000);

	s->opt.lease_max_ms = 10000;
	Simulate(1000);
	GoDown("w");
	Add(Graph("a", 1, 1000));
	Simulate(100);
	ASSERT_EQ(started.size(), 1u);
	Simulate(400);
	ComeBack("w", kStarted + 7000);
	Simulate(kLateMs);
	ASSERT_EQ(sim["w"].running.size(), 1u);
	int64_t lease_end = now + s->opt.lease_max_ms;
	sim["w"].reachable = false;
	EXPECT_GE(now + sched_worker_lease_left_ms(s, w, now), lease_end);
}
