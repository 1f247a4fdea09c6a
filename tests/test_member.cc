#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "member.h"
}

namespace {

constexpr int kHeartbeat = 1000, kSilence = 5000, kPause = 4000;
constexpr int kForget = 600000;

struct Node;
using Nodes = std::map<std::string, Node *>;

struct Node {
	struct members *m = nullptr;
	Nodes *nodes = nullptr;
	bool partitioned = false;
	int64_t now = 0, paused_ms = 0;
	std::map<std::string, int> sent; // by data centre
	size_t largest = 0;
};

void
Send(const struct member *to, const struct member_digest *d, void *ctx)
{
	Node *self = static_cast<Node *>(ctx);
	auto it = self->nodes->find(to->record.id);

	self->sent[to->record.data_center]++;
	self->largest = std::max(self->largest, d->nrecords);
	if (it != self->nodes->end() && !self->partitioned &&
	    !it->second->partitioned)
		member_merge(it->second->m, d, self->now);
}

void
Paused(int64_t gap_ms, void *ctx)
{
	static_cast<Node *>(ctx)->paused_ms = gap_ms;
}

class Member : public ::testing::Test {
      protected:
	void
	Start(const std::string &id, uint64_t incarnation, int dc)
	{
		struct member_options o = {};
		Node *n = new Node;

		snprintf(o.self.id, sizeof(o.self.id), "%s", id.c_str());
		snprintf(o.self.address, sizeof(o.self.address), "127.0.0.1:1");
		snprintf(
		    o.self.data_center, sizeof(o.self.data_center), "dc%d", dc);
		o.self.incarnation = incarnation;
		o.fanout = 2;
		o.heartbeat_ms = kHeartbeat;
		o.silence_ms = kSilence;
		o.pause_ms = kPause;
		o.forget_ms = kForget;
		o.digest_max = 12;
		o.seed = nodes.size() + 1;
		o.on_send = Send;
		o.on_paused = Paused;
		o.ctx = n;
		n->nodes = &nodes;
		n->m = member_open(&o, now);
		if (nodes.count(id) != 0)
			Stop(id);
		nodes[id] = n;
	}
	void
	Stop(const std::string &id)
	{
		member_close(nodes[id]->m);
		delete nodes[id];
		nodes.erase(id);
	}
	void
	Register(struct members *m, const char *id, int dc)
	{
		struct member_record r = {};

		snprintf(r.id, sizeof(r.id), "%s", id);
		snprintf(r.address, sizeof(r.address), "127.0.0.1:1");
		snprintf(r.data_center, sizeof(r.data_center), "dc%d", dc);
		r.incarnation = 1;
		member_registry_update(m, &r, "127.0.0.1:2", now);
	}
	// Every entry knows e0 from its settings, and no other entry.
	void
	Cluster(int count)
	{
		for (int i = 0; i < count; i++)
			Start("e" + std::to_string(i), 1, i % 3);
		for (auto &n : nodes)
			Register(n.second->m, "e0", 0);
	}
	void
	Run(int ticks, const std::string &paused = "")
	{
		for (int i = 0; i < ticks; i++) {
			now += kHeartbeat;
			for (auto &n : nodes) {
				n.second->now = now;
				if (n.first != paused)
					member_tick(n.second->m, now);
			}
		}
	}
	enum member_state
	State(const std::string &by, const std::string &of,
	    uint64_t incarnation = 0)
	{
		return member_evaluate(
		    nodes[by]->m, of.c_str(), incarnation, now)
		    .state;
	}
	void
	TearDown() override
	{
		while (!nodes.empty())
			Stop(nodes.begin()->first);
	}

	int64_t now = 1000000;
	Nodes nodes;
};

TEST_F(Member, EightyEntriesFindEachOtherAtABoundedCost)
{
	const int ticks = 120;
	int sent = 0;

	Cluster(80);
	Run(ticks);
	for (auto &n : nodes) {
		EXPECT_EQ(79u, member_count(n.second->m));
		EXPECT_LE(n.second->largest, 12u);
		// Each entry sends to every data centre.
		EXPECT_EQ(3u, n.second->sent.size());
		for (auto &dc : n.second->sent)
			sent += dc.second;
	}
	// Two messages per tick, and occasionally a probe and its reply.
	EXPECT_LE(sent, 80 * (2 * ticks + 2 * (ticks / 8 + 1)));
}

// An entry dies.  Its gossip stops first: others suspect it, and none replaces
// it.  Then its registry lease expires, and both sources of evidence agree.
TEST_F(Member, DeathRequiresTwoSources)
{
	Cluster(9);
	for (auto &n : nodes)
		Register(n.second->m, "e4", 1);
	Run(20);
	EXPECT_EQ(MEMBER_ALIVE, State("e1", "e4"));
	member_registry_remove(
	    nodes["e1"]->m, "e4", now); // the store was unavailable
	EXPECT_EQ(MEMBER_ALIVE, State("e1", "e4"));
	Stop("e4");
	Run(10);
	EXPECT_EQ(MEMBER_SUSPECT, State("e2", "e4"));
	EXPECT_EQ(MEMBER_DEAD, State("e1", "e4"));
	Register(nodes["e1"]->m, "e4", 1); // its registration was only late
	EXPECT_EQ(MEMBER_SUSPECT, State("e1", "e4"));
	member_registry_remove(nodes["e1"]->m, "e4", now);
	EXPECT_EQ(MEMBER_DEAD, State("e1", "e4"));
	// A probe is sent before it counts as dead.
	member_registry_remove(nodes["e2"]->m, "e4", now);
	EXPECT_EQ(MEMBER_SUSPECT, State("e2", "e4"));
	Run(1);
	EXPECT_EQ(MEMBER_DEAD, State("e2", "e4"));
	member_set_vm(nodes["e3"]->m, "e4", MEMBER_VM_GONE, now);
	Run(1);
	EXPECT_EQ(MEMBER_DEAD, State("e3", "e4"));
	member_set_vm(
	    nodes["e3"]->m, "e5", MEMBER_VM_GONE, now); // the VM list is wrong
	EXPECT_EQ(MEMBER_ALIVE, State("e3", "e5"));
	Run(kForget / kHeartbeat + 10);
	EXPECT_EQ(nullptr, member_find(nodes["e2"]->m, "e4"));
}

TEST_F(Member, ARestartReplacesTheFormerIncarnation)
{
	Cluster(3);
	Run(5);
	Start("e1", 2, 1);
	Register(nodes["e1"]->m, "e0", 0);
	Run(5);
	EXPECT_EQ(MEMBER_DEAD, State("e0", "e1", 1));
	EXPECT_EQ(MEMBER_ALIVE, State("e0", "e1", 2));
	EXPECT_EQ(MEMBER_DEAD, State("e1", "e1", 1));
}

// An entry was paused.  When it resumes, all others look silent to it and their
// leases may look expired; it must not take over their shards.
TEST_F(Member, APausedEntryRejoinsBeforeItActs)
{
	struct member_digest old = {};

	Cluster(3);
	Run(5);
	Run(10, "e2");
	member_registry_remove(nodes["e2"]->m, "e0", now);
	EXPECT_FALSE(member_may_act(nodes["e2"]->m, now));
	member_tick(nodes["e2"]->m, now);
	EXPECT_EQ(10 * kHeartbeat, nodes["e2"]->paused_ms);
	member_merge(nodes["e2"]->m, &old, now); // was queued in the socket
	EXPECT_FALSE(member_may_act(nodes["e2"]->m, now));
	EXPECT_EQ(MEMBER_ALIVE, State("e2", "e0"));
	Run(3);
	EXPECT_TRUE(member_may_act(nodes["e2"]->m, now));
}

TEST_F(Member, APausedEntryThatIsCutOffActsAfterTheSilence)
{
	Cluster(3);
	Run(5);
	nodes["e2"]->partitioned = true;
	now += 10 * kHeartbeat;
	Run(1);
	EXPECT_FALSE(member_may_act(nodes["e2"]->m, now));
	Run(kSilence / kHeartbeat);
	EXPECT_TRUE(member_may_act(nodes["e2"]->m, now));
	EXPECT_EQ(MEMBER_SUSPECT, State("e2", "e1")); // only silent
	nodes["e2"]->partitioned = false;
	Run(2 * kSilence / kHeartbeat + 8); // both sides hear each other again
	EXPECT_EQ(MEMBER_ALIVE, State("e2", "e1"));
	EXPECT_EQ(MEMBER_ALIVE, State("e0", "e2"));
}

TEST_F(Member, LeavingAndLeftAreAcceptedAsAnnounced)
{
	Cluster(3);
	Run(5);
	member_self(nodes["e1"]->m)->state = MEMBER_LEAVING;
	Run(3);
	EXPECT_EQ(MEMBER_LEAVING, State("e0", "e1"));
	member_self(nodes["e1"]->m)->state = MEMBER_LEFT;
	Run(3);
	EXPECT_EQ(MEMBER_LEFT, State("e0", "e1"));
}

TEST_F(Member, AnUnknownEntryIsDeadOnlyAfterTheRegistryWasRead)
{
	Cluster(2);
	Run(10);
	EXPECT_EQ(MEMBER_SUSPECT, State("e0", "e77"));
	member_registry_loaded(nodes["e0"]->m, now);
	EXPECT_EQ(MEMBER_SUSPECT, State("e0", "e77"));
	Run(kSilence / kHeartbeat);
	EXPECT_EQ(MEMBER_DEAD, State("e0", "e77"));
}

TEST_F(Member, ShardsRevisionsAndStoreReachabilityArePropagated)
{
	size_t heard = 0, answered = 0;

	Cluster(9);
	member_own_shard(nodes["e3"]->m, "dc0.r1", 4);
	member_own_shard(nodes["e5"]->m, "dc0.r1", 5); // took over the shard
	member_self(nodes["e3"]->m)->revision = 42;
	member_self(nodes["e3"]->m)->store_answers = true;
	Run(20);
	for (auto &n : nodes) {
		ASSERT_NE(nullptr, member_shard_owner(n.second->m, "dc0.r1"));
		EXPECT_STREQ(
		    "e5", member_shard_owner(n.second->m, "dc0.r1")->owner);
	}
	EXPECT_EQ(42u, member_find(nodes["e0"]->m, "e3")->record.revision);
	member_count_store_reachable(nodes["e0"]->m, now, &heard, &answered);
	EXPECT_EQ(8u, heard);
	EXPECT_EQ(1u, answered);
}

} // namespace
