// Explores every interleaving, up to the printed depth, of a few entries that
// share one endpoint with two slots: calls, transfers of credits, lost,
// repeated and reordered messages, takeovers with a fence, restarts, and
// abandoned calls.  A paused owner is one whose next step comes late, so it is
// covered too.  After each step the endpoint runs no more calls than it has
// slots, and the running calls, the credits that could still be used and the
// calls that could still arrive together do not exceed the slots.
//
// The states are explored breadth first with the credit table itself
// (core/credit), by replaying the whole path for each step.  Each break removes
// one safeguard; the same search must then find a violation.
#include <algorithm>
#include <cstdio>
#include <string>
#include <unordered_set>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "credit.h"
}

namespace {

constexpr int kCapacity = 2;
// The sanitizers make a step ten times slower.
#ifdef __SANITIZE_ADDRESS__
constexpr int kDepthTwo = 8, kDepthThree = 6;
#else
constexpr int kDepthTwo = 9, kDepthThree = 7;
#endif
constexpr char kWorker[] = "w1";
const char *const kNames[] = { "e1", "e2", "e3" };

enum Break {
	kNone,
	kFenceSkipped, // the new owner issues the whole capacity at once
	kLateRemoval, // the credit is removed only after the message
	kDuplicateAccepted, // a duplicate message is accepted
	kAbandonedReused, // the credit of an abandoned call is reused
	kOldEpochServed, // the endpoint runs calls of a lower epoch
	kRestartIssues, // a restarted owner issues at its old epoch
	kAnyIncarnation // a message to a former incarnation is accepted
};

enum Op : uint8_t {
	kTake,
	kArrive,
	kEnd,
	kAbandon,
	kTransfer,
	kRemove,
	kDeliver,
	kLose,
	kRepeat,
	kTakeover,
	kReport,
	kRestart
};

struct Action {
	Op op;
	uint8_t a, b;
};

struct Limits {
	int entries, depth, epochs, calls, repeats, restarts;
};

struct Call {
	int entry;
	uint64_t incarnation, epoch;
	bool running, abandoned;
};

enum Kind { kFence, kAnswer, kStatus, kCredits };

struct Message {
	Kind kind;
	int from, to;
	uint64_t from_incarnation, to_incarnation, sequence, epoch;
	int used, older;
	bool delivered;
	struct credit_transfer transfer;
};

class Cluster {
      public:
	Cluster(const Limits &l, Break b) : limits(l), broken(b)
	{
		for (int e = 0; e < l.entries; e++)
			Start(e, 1);
		Do({ kTakeover, 0, 0 });
		while (!net.empty()) // the fence and its answer
			Do({ kDeliver, 0, 0 });
	}
	~Cluster()
	{
		for (auto *table : tables)
			credit_close(table);
	}
	Cluster(const Cluster &) = delete;
	Cluster &operator=(const Cluster &) = delete;

	std::vector<Action> Actions() const;
	void Do(Action);
	bool InvariantHolds() const;
	std::string Encode() const;

      private:
	void
	Start(int e, uint64_t incarnation)
	{
		struct credit_options o = { kNames[e], incarnation, nullptr,
			nullptr };
		tables.resize(std::max<size_t>(tables.size(), e + 1));
		incarnations.resize(tables.size());
		unremoved.resize(tables.size());
		tables[e] = credit_open(&o);
		incarnations[e] = incarnation;
		unremoved[e] = 0;
	}
	const struct credit_worker *
	Row(int e) const
	{
		return credit_find(tables[e], kWorker);
	}
	int
	Running(bool older_only) const
	{
		int n = 0;
		for (auto &c : calls)
			n += c.running &&
			    (!older_only || c.epoch < endpoint_epoch);
		return n;
	}
	void
	Issue(int e, uint64_t at, int used)
	{
		credit_issue(tables[e], kWorker, "r1", at,
		    { kCapacity, kCapacity }, { used, used });
	}
	void
	Release(const Call &c, enum credit_end end)
	{
		if (c.incarnation == incarnations[c.entry] && !c.abandoned)
			credit_release(tables[c.entry], kWorker, c.epoch,
			    CREDIT_CALL, end);
	}
	void Arrive(int i);
	void Transfer(int from, int to);
	void Deliver(Message &);
	void Takeover(int e);

	Limits limits;
	Break broken;
	std::vector<struct credit_table *> tables;
	std::vector<uint64_t> incarnations;
	std::vector<int> unremoved; // sent credits, for kLateRemoval
	std::vector<Call> calls;
	std::vector<Message> net;
	uint64_t endpoint_epoch = 0, epoch = 0, sequence = 0;
	int owner = 0, repeats = 0, restarts = 0;
};

std::vector<Action>
Cluster::Actions() const
{
	std::vector<Action> out;
	uint8_t n = limits.entries;

	for (uint8_t e = 0; e < n; e++) {
		const struct credit_worker *row = Row(e);
		bool spare = row != nullptr && row->spare.slots > 0;
		if (spare && (int)calls.size() < limits.calls)
			out.push_back({ kTake, e, 0 });
		for (uint8_t f = 0; f < n && spare; f++) {
			if (f != e)
				out.push_back({ kTransfer, e, f });
		}
		if (unremoved[e] > 0)
			out.push_back({ kRemove, e, 0 });
		if ((int)epoch < limits.epochs)
			out.push_back({ kTakeover, e, 0 });
		if (restarts < limits.restarts)
			out.push_back({ kRestart, e, 0 });
	}
	if (endpoint_epoch == epoch)
		out.push_back({ kReport, 0, 0 });
	for (uint8_t i = 0; i < calls.size(); i++) {
		out.push_back({ calls[i].running ? kEnd : kArrive, i, 0 });
		if (!calls[i].abandoned)
			out.push_back({ kAbandon, i, 0 });
	}
	for (uint8_t i = 0; i < net.size(); i++) {
		out.push_back({ kDeliver, i, 0 });
		out.push_back({ kLose, i, 0 });
		if (repeats < limits.repeats)
			out.push_back({ kRepeat, i, 0 });
	}
	return out;
}

void
Cluster::Arrive(int i)
{
	Call &c = calls[i];

	if (c.epoch < endpoint_epoch && broken != kOldEpochServed) {
		Release(c, CREDIT_ENDED); // refused as not run
		if (c.incarnation == incarnations[c.entry])
			credit_fenced(tables[c.entry], kWorker, c.epoch + 1);
		calls.erase(calls.begin() + i);
		return;
	}
	endpoint_epoch = std::max(endpoint_epoch, c.epoch);
	c.running = true;
}

void
Cluster::Transfer(int from, int to)
{
	Message m = { kCredits, from, to, incarnations[from], incarnations[to],
		++sequence, 0, 0, 0, false, {} };

	struct credit_peer peer = { kNames[to], incarnations[to] };

	credit_give(tables[from], kWorker, &peer, { 1, 1 }, &m.transfer);
	m.epoch = m.transfer.epoch;
	net.push_back(m);
	if (broken == kLateRemoval) {
		credit_give_cancel(tables[from], kNames[to], &m.transfer);
		unremoved[from]++;
	}
}

void
Cluster::Deliver(Message &m)
{
	struct credit_origin origin = { kNames[m.from], m.from_incarnation,
		m.sequence, m.to_incarnation };
	size_t stale;

	if (m.kind == kFence && m.epoch >= endpoint_epoch) {
		endpoint_epoch = m.epoch;
		net.push_back({ kAnswer, 0, m.to, 0, m.to_incarnation, 0,
		    endpoint_epoch, Running(false), 0, false, {} });
	} else if (m.kind == kAnswer &&
	    m.to_incarnation == incarnations[m.to]) {
		Issue(m.to, m.epoch, m.used);
	} else if (m.kind == kStatus &&
	    m.to_incarnation == incarnations[m.to]) {
		struct credit_usage usage = { { m.used, m.used }, m.older >= 0,
			{ m.older, m.older } };
		credit_report(tables[m.to], kWorker, m.epoch, &usage);
	} else if (m.kind == kCredits) {
		if (broken == kDuplicateAccepted)
			origin.sequence = ++sequence;
		if (broken == kAnyIncarnation)
			origin.to_incarnation = incarnations[m.to];
		credit_receive(tables[m.to], &origin, &m.transfer, 1, &stale);
	}
}

void
Cluster::Takeover(int e)
{
	bool same = broken == kRestartIssues && owner == e && restarts > 0;

	epoch += same ? 0 : 1;
	owner = e;
	if (broken == kFenceSkipped)
		Issue(e, epoch, 0);
	else
		net.push_back({ kFence, e, e, 0, incarnations[e], 0, epoch, 0,
		    0, false, {} });
}

void
Cluster::Do(Action x)
{
	const struct credit_peer gone = { "gone", 1 };
	struct credit_transfer dropped;
	uint64_t at;

	switch (x.op) {
	case kTake:
		if (credit_take(tables[x.a], kWorker, CREDIT_CALL, &at) ==
		    CREDIT_OK)
			calls.push_back(
			    { x.a, incarnations[x.a], at, false, false });
		break;
	case kArrive:
		Arrive(x.a);
		break;
	case kEnd:
		Release(calls[x.a], CREDIT_ENDED);
		calls.erase(calls.begin() + x.a);
		break;
	case kAbandon:
		Release(calls[x.a],
		    broken == kAbandonedReused ? CREDIT_ENDED :
						 CREDIT_ABANDONED);
		calls[x.a].abandoned = true;
		break;
	case kTransfer:
		Transfer(x.a, x.b);
		break;
	case kRemove:
		credit_give(tables[x.a], kWorker, &gone, { 1, 1 }, &dropped);
		unremoved[x.a]--;
		break;
	case kDeliver: {
		Message m = net[x.a];
		net.erase(net.begin() + x.a);
		Deliver(m);
		break;
	}
	case kLose:
		net.erase(net.begin() + x.a);
		break;
	case kRepeat: {
		Message m = net[x.a];
		repeats++;
		net[x.a].delivered = true; // the remaining copy is a duplicate
		Deliver(m);
		break;
	}
	case kTakeover:
		Takeover(x.a);
		break;
	case kReport: // in alternate epochs with the older calls listed
		net.push_back({ kStatus, 0, owner, 0, incarnations[owner], 0,
		    endpoint_epoch, Running(false),
		    epoch % 2 ? Running(true) : -1, false, {} });
		break;
	case kRestart:
		credit_close(tables[x.a]);
		Start(x.a, incarnations[x.a] + 1);
		restarts++;
		break;
	}
}

bool
Cluster::InvariantHolds() const
{
	int running = Running(false);
	int usable = running;

	for (int e = 0; e < limits.entries; e++) {
		const struct credit_worker *row = Row(e);
		if (row != nullptr && row->epoch == endpoint_epoch)
			usable += row->spare.slots;
	}
	for (auto &c : calls)
		usable += !c.running && c.epoch == endpoint_epoch;
	for (auto &m : net)
		usable += m.kind == kCredits && m.epoch == endpoint_epoch &&
		    !m.delivered && m.to_incarnation == incarnations[m.to];
	return running <= kCapacity && usable <= kCapacity;
}

std::string
Cluster::Encode() const
{
	std::vector<std::string> parts;
	std::string s;
	auto add = [&s](int64_t v) { s.push_back((char)v); };

	for (auto &c : calls) {
		parts.push_back({ 'c', (char)c.entry, (char)c.incarnation,
		    (char)c.epoch, (char)c.running, (char)c.abandoned });
	}
	for (auto &m : net) {
		parts.push_back({ 'm', (char)m.kind, (char)m.from, (char)m.to,
		    (char)m.from_incarnation, (char)m.to_incarnation,
		    (char)m.epoch, (char)m.used, (char)m.older,
		    (char)m.delivered });
	}
	std::sort(parts.begin(), parts.end());
	for (auto &p : parts)
		s += p;
	for (int e = 0; e < limits.entries; e++) {
		const struct credit_worker *r = Row(e);
		add(incarnations[e]), add(unremoved[e]), add(r != nullptr);
		if (r == nullptr)
			continue;
		add(r->epoch), add(r->issued), add(r->fenced),
		    add(r->spare.slots);
		add(r->busy.slots), add(r->older.slots),
		    add(r->used_at_fence.slots);
	}
	add(endpoint_epoch), add(epoch), add(owner), add(repeats),
	    add(restarts);
	return s;
}

// Returns the depth of the first violation, or 0.
int
Explore(const char *name, const Limits &limits, Break broken)
{
	std::vector<std::vector<Action>> level = { {} }, next;
	std::unordered_set<std::string> seen;
	size_t states = 1, steps = 0;

	for (int depth = 1; depth <= limits.depth; depth++) {
		next.clear();
		for (auto &path : level) {
			Cluster before(limits, broken);
			for (auto x : path)
				before.Do(x);
			for (auto x : before.Actions()) {
				Cluster w(limits, broken);
				for (auto y : path)
					w.Do(y);
				w.Do(x);
				steps++;
				if (!w.InvariantHolds()) {
					printf("%s: violated at depth %d\n",
					    name, depth);
					return depth;
				}
				if (!seen.insert(w.Encode()).second)
					continue;
				next.push_back(path);
				next.back().push_back(x);
			}
		}
		states += next.size();
		level.swap(next);
	}
	printf("%s: depth %d, %zu states, %zu steps, no violation\n", name,
	    limits.depth, states, steps);
	return 0;
}

// entries, depth, epochs, calls, repeats, restarts
TEST(CreditModel, TwoEntries)
{
	EXPECT_EQ(
	    0, Explore("two entries", { 2, kDepthTwo, 3, 4, 1, 1 }, kNone));
}

TEST(CreditModel, ThreeEntries)
{
	EXPECT_EQ(
	    0, Explore("three entries", { 3, kDepthThree, 3, 4, 1, 1 }, kNone));
}

TEST(CreditModel, EachBreakIsCaught)
{
	const struct {
		const char *name;
		Break broken;
	} cases[] = {
		{ "fence skipped", kFenceSkipped },
		{ "credit removed after sending", kLateRemoval },
		{ "duplicate accepted", kDuplicateAccepted },
		{ "abandoned credit reused", kAbandonedReused },
		{ "endpoint serves old epochs", kOldEpochServed },
		{ "restarted owner issues again", kRestartIssues },
		{ "message to a former incarnation accepted", kAnyIncarnation },
	};

	for (auto &c : cases)
		EXPECT_GT(Explore(c.name, { 2, 8, 3, 4, 1, 1 }, c.broken), 0)
		    << c.name;
}

} // namespace
