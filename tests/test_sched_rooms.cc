#include "sched_fixture.h"

namespace {

// Workers whose rooms may have changed since their entries were read.
class Rooms : public SchedSim {};

} // namespace

// Guards against starts on rooms that may have shrunk unnoticed.
TEST_F(Rooms, NothingStartsOnRoomsThatAreNotKnown)
{
	struct sched_waiting waiting;

	Join("w1", 8000);
	Simulate(200);
	s->rooms_unknown = true;
	Add(Graph("a", 2, 2000));
	Simulate(1000);
	EXPECT_TRUE(started.empty());
	sched_explain_waiting(s, &waiting, now);
	EXPECT_EQ(waiting.cause, WAIT_ROOMS);
	s->rooms_unknown = false;
	Simulate(100);
	EXPECT_EQ(RunningAnywhere(), 2u);
}

TEST_F(Rooms, AWorkerThatGuardsItsRoomIsUsedAllTheSame)
{
	Join("w1", 8000);
	Join("w2", 8000)->guards_room = true;
	Simulate(200);
	s->rooms_unknown = true;
	Add(Graph("a", 4, 2000));
	Simulate(200);
	EXPECT_EQ(sim["w2"].running.size(), 4u);
	EXPECT_TRUE(sim["w1"].running.empty());
}

// Guards against long-running tasks that are stopped on a draining worker, and
// can't be started elsewhere while rooms aren't known.
TEST_F(Rooms, NothingIsMovedOffADrainingWorkerToAnUnknownRoom)
{
	struct graph *g = Graph("a", 2, 2000);

	g->steps[0].lasts = true;
	Join("w1", 8000);
	Simulate(200);
	Add(g);
	Simulate(200);
	Join("w2", 8000);
	Simulate(200);
	s->rooms_unknown = true;
	ListAsDraining("w1", 8000);
	Simulate(2000);
	EXPECT_EQ(sim["w1"].running.size(), 2u);
	s->rooms_unknown = false;
	Simulate(2000);
	EXPECT_EQ(sim["w2"].running.size(), 2u);
}

// Guards against an entry that is taken for younger than it is.
TEST_F(Rooms, AnEntryIsAsOldAsItsWorkersClockTells)
{
	struct sched_worker *w = AddWorker("w1", 8000);

	EXPECT_EQ(sched_entry_age_ms(w, now), -1);
	sched_worker_entry_written(w, 5000, now);
	EXPECT_EQ(sched_entry_age_ms(w, now), -1);
	sched_act(s, now);
	// Its clock may be slow: what it calls 1000 ms may be 1030.
	Answer(w, {}, {}, 0, 6000);
	EXPECT_EQ(sched_entry_age_ms(w, now), 1030);
	EXPECT_EQ(sched_entry_age_ms(w, now + 200), 1230);
	// The entry was written after that answer.
	sched_worker_entry_written(w, 6150, now + 200);
	EXPECT_EQ(sched_entry_age_ms(w, now + 200), 50);
	// A time that is yet to come: it is no younger than its first reading.
	sched_worker_entry_written(w, 99000, now + 300);
	EXPECT_EQ(sched_entry_age_ms(w, now + 700), 400);
	sched_worker_entry_written(w, 99000, now + 700);
	EXPECT_EQ(sched_entry_age_ms(w, now + 900), 600);
}

TEST_F(Rooms, NothingStartsByAnEntryThatIsTooOld)
{
	struct sched_worker *w = Join("w1", 8000);
	struct sched_load load;

	s->opt.entry_max_ms = 3800;
	Simulate(200);
	sched_worker_entry_written(w, now - 3900, now);
	Add(Graph("a", 2, 2000));
	Simulate(300);
	EXPECT_TRUE(started.empty());
	sched_measure(s, &load, now);
	EXPECT_EQ(load.barred[BAR_ROOM_UNKNOWN], 1u);
	sched_worker_entry_written(w, now - 100, now);
	Simulate(300);
	EXPECT_EQ(started.size(), 2u);
}
