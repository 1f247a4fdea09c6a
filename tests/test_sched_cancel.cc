#include "sched_fixture.h"

namespace {

// A job with two tasks, one on each of two workers, and room for more.
class Cancel : public SchedSim {
      protected:
	void
	RunOnTwoWorkers()
	{
		struct graph *g = Graph("a", 2, 1000);

		Join("w1", 4000);
		Join("w2", 4000);
		g->steps[0].per_worker = 1;
		job = Add(g);
		Simulate(500);
		ASSERT_EQ(RunningAnywhere(), 2u);
	}

	// The former leader was told of the job and runs a task of it.
	void
	RunByFormerLeader(const char *worker, uint32_t index)
	{
		Order o;

		memset(&o.task, 0, sizeof(o.task));
		strlcpy(o.task.job, "a", sizeof(o.task.job));
		o.task.index = index;
		o.worker = worker;
		o.attempt = 1;
		sim[worker].running.push_back({ o, now });
		Inherit(worker, RECORD_IN_USE);
	}

	// The worker receives no stops for a second: they are repeated, and no
	// more are sent once the run is gone.
	void
	ExpectStopsUntilGone(const char *worker)
	{
		SimWorker &m = sim[worker];
		size_t before = stopped.size();

		ASSERT_EQ(m.running.size(), 1u);
		Order o = m.running[0].order;
		m.receives_stops = false;
		Simulate(1000);
		EXPECT_EQ(m.running.size(), 1u);
		EXPECT_GE(StopsOf(o, before), 3u);
		m.receives_stops = true;
		Simulate(500);
		EXPECT_TRUE(m.running.empty());
		before = stopped.size();
		Simulate(2000);
		EXPECT_EQ(StopsOf(o, before), 0u);
	}

	struct sched_job *job = nullptr;
};

} // namespace

// A job is cancelled while some of its tasks run and others wait for room.
// Both runs are told to stop, repeatedly while the orders are lost.  The
// waiting tasks don't take the room that comes free, since the caller was told
// that the job is over.
TEST_F(Cancel, RunningTasksAreStoppedAndWaitingOnesNeverStart)
{
	struct graph *g = Graph("a", 4, 3000);

	Join("w1", 4000);
	Join("w2", 4000);
	job = Add(g);
	Simulate(500);
	ASSERT_EQ(RunningAnywhere(), 2u);
	size_t before = started.size();
	sched_job_cancel(s, job, now);
	sim["w2"].receives_stops = false;
	ExpectStopsUntilGone("w1");
	sim["w2"].receives_stops = true;
	Simulate(1000);
	EXPECT_EQ(RunningAnywhere(), 0u);
	EXPECT_EQ(started.size(), before);
	EXPECT_EQ(job->state, JOB_CANCELLED);
}

// A start gets no answer, the job is cancelled, and the worker starts the task
// two seconds later.  Stop orders are sent before the start and, as they are
// lost, also after the run is listed.  The task isn't tried on the other
// worker.
TEST_F(Cancel, AStartCarriedOutAfterTheCancelIsStopped)
{
	Join("w1", 4000);
	sim["w1"].start_answer = ANSWER_LOST;
	sim["w1"].start_delay_ms = 2000;
	sim["w1"].receives_stops = false;
	job = Add(Graph("a", 1, 1000));
	Simulate(100);
	ASSERT_EQ(started.size(), 1u);
	ASSERT_EQ(RunningAnywhere(), 0u);
	Join("w2", 4000);
	sched_job_cancel(s, job, now);
	Simulate(1500);
	EXPECT_GE(StopsOf(started[0]), 3u);
	EXPECT_EQ(RunningAnywhere(), 0u);
	Simulate(700);
	ExpectStopsUntilGone("w1");
	EXPECT_EQ(started.size(), 1u);
}

// As above, but the answer to the start is in flight at the cancellation and
// then reports that the task runs.  It is stopped as well.
TEST_F(Cancel, AStartAnsweredAfterTheCancelIsStopped)
{
	struct sched_worker *w = AddWorker("w1", 4000);

	job = Add(Graph("a", 1, 1000));
	Fence();
	ASSERT_EQ(started.size(), 1u);
	sched_job_cancel(s, job, now);
	ConfirmStarts();
	Answer(w, RunningRows());
	sched_act(s, now += 10);
	EXPECT_EQ(StopsOf(started[0]), 1u);
	sched_act(s, now += 1000);
	EXPECT_EQ(started.size(), 1u);
}

// Two workers run a former leader's tasks of a job.  One answers the new
// leader, the job is cancelled, and then the other worker lists its run, while
// the first one is still stopping.  The second run was in no list at the
// cancellation; it is told to stop as well, until it is gone.
TEST_F(Cancel, ARunListedOnlyAfterTheCancelIsStopped)
{
	RunByFormerLeader("w1", 0);
	RunByFormerLeader("w2", 1);
	Join("w1", 4000);
	Join("w2", 4000);
	sim["w2"].reachable = false;
	job = Add(Graph("a", 2, 1000), true);
	sched_load_end(s, now);
	Simulate(500);
	sim["w1"].receives_stops = false;
	sched_job_cancel(s, job, now);
	Simulate(500);
	sim["w2"].reachable = true;
	sim["w2"].receives_stops = false;
	Simulate(200);
	ExpectStopsUntilGone("w2");
	sim["w1"].receives_stops = true;
	Simulate(1000);
	EXPECT_EQ(RunningAnywhere(), 0u);
	EXPECT_TRUE(started.empty());
}

// A former leader's run belongs to a job that the new leader has never loaded,
// since it had ended before.  The store is asked and reports the job as
// cancelled.  From then on the run is told to stop with each list, and nothing
// is started for it.
TEST_F(Cancel, ARunOfAJobCancelledUnderAFormerLeaderIsStopped)
{
	RunByFormerLeader("w1", 0);
	Join("w1", 4000);
	Join("w2", 4000);
	sched_load_end(s, now);
	Simulate(300);
	ASSERT_FALSE(unknown.empty());
	EXPECT_EQ(unknown[0], "a");
	EXPECT_TRUE(stopped.empty());
	sched_job_add_ended(s, "a", JOB_CANCELLED, now);
	sim["w1"].receives_stops = false;
	Simulate(500);
	// A poll that waits for an end would delay the next stop.
	EXPECT_EQ(poll_waits["w1"], 0);
	EXPECT_GT(poll_waits["w2"], 0);
	ExpectStopsUntilGone("w1");
	EXPECT_TRUE(started.empty());
}

// The worker that runs a task is unreachable when the job is cancelled, and
// answers again before its lease has expired.  Stop orders are sent all the
// while and afterwards.
TEST_F(Cancel, AWorkerOutOfReachAtTheCancelStopsLater)
{
	RunOnTwoWorkers();
	size_t before = started.size();
	Order o = sim["w1"].running[0].order;
	sim["w1"].reachable = false;
	Simulate(200);
	sched_job_cancel(s, job, now);
	Simulate(2000);
	EXPECT_GE(StopsOf(o), 4u);
	EXPECT_EQ(sim["w1"].running.size(), 1u);
	EXPECT_TRUE(sim["w2"].running.empty());
	sim["w1"].reachable = true;
	ExpectStopsUntilGone("w1");
	EXPECT_EQ(started.size(), before);
}

// As above, but the worker answers only after its lease has been taken as
// expired and the run dropped, while the run still exists.  The run is found
// in the list and stopped; no task of the job is started again.
TEST_F(Cancel, ARunThatOutlivedItsLeaseIsStopped)
{
	RunOnTwoWorkers();
	size_t before = started.size();
	sim["w1"].reachable = false;
	Simulate(200);
	sched_job_cancel(s, job, now);
	Simulate(9000);
	EXPECT_TRUE(sched_worker_find(s, "w1")->inc.lapsed);
	sim["w1"].reachable = true;
	// Silent workers are polled at increasing intervals.
	for (int i = 0; i < 40 && sched_worker_find(s, "w1")->inc.misses > 0;
	     i++)
		Simulate(50);
	ExpectStopsUntilGone("w1");
	EXPECT_EQ(started.size(), before);
}

// Guards against records of ended jobs that nobody removes, as too many expired
// at once.
TEST_F(Cancel, AnEndedJobIsKeptUntilItCanBeForgotten)
{
	RunOnTwoWorkers();
	sched_job_cancel(s, job, now);
	Simulate(1000);
	forgets = false;
	now += options.keep_ms;
	Simulate(500);
	EXPECT_NE(sched_job_find(s, "a"), nullptr);
	forgets = true;
	Simulate(500);
	EXPECT_EQ(sched_job_find(s, "a"), nullptr);
}

// Guards against a mark that is dropped while the store still needs it, as it
// was set again shortly before.
TEST_F(Cancel, AnAbsentMarkIsKeptFromTheLastCallOn)
{
	sched_job_add_absent(s, "a", now);
	now += options.keep_ms - 100;
	sched_job_add_absent(s, "a", now);
	EXPECT_EQ(s->nabsent, 1u);
	Simulate(1000);
	EXPECT_NE(sched_job_find(s, "a"), nullptr);
	now += options.keep_ms;
	Simulate(500);
	EXPECT_EQ(sched_job_find(s, "a"), nullptr);
	EXPECT_EQ(s->nabsent, 0u);
}

// Guards against callers without an answer about a job, as a mark that it isn't
// stored is in the place of its end.
TEST_F(Cancel, AnEndReplacesAnAbsentMark)
{
	sched_job_add_absent(s, "a", now);
	struct sched_job *ended =
	    sched_job_add_ended(s, "a", JOB_COMPLETED, now);
	ASSERT_NE(ended, nullptr);
	EXPECT_FALSE(ended->absent);
	EXPECT_EQ(s->nabsent, 0u);
}
