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
