// Every interleaving, to the depth that is printed, of a few entries that
// share one endpoint of two slots: calls, gifts of credits, lost, repeated and
// reordered messages, takeovers with a fence, restarts, calls given up on.  A
// paused owner is one whose next step comes late, so it is in here too.  After
// each step the endpoint runs no more calls than it has slots, and credits
// that could still be used, plus calls that could still arrive, fit in the
// rest.
//
// The states are explored breadth first with the book itself (core/credit),
// by running the whole path again for each step.  Each break takes away one
// safeguard; the same search must then find a violation.
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
// With the sanitizers a step takes ten times as long.
#ifdef __SANITIZE_ADDRESS__
constexpr int kDepthTwo = 8, kDepthThree = 6;
#else
constexpr int kDepthTwo = 9, kDepthThree = 7;
#endif
constexpr char kWorker[] = "w1";
const char *const kNames[] = { "e1", "e2", "e3" };

enum Break {
	kNone,
	kFenceSkipped, // the new owner mints the whole capacity at once
	kLateGiveUp, // the message goes first, the credit is given up later
	kDuplicateTaken, // a repeated message isn't recognised
	kAbandonedReused, // the credit of a call given up on is used again
	kOldEpochServed, // the endpoint runs calls of a lower epoch
	kRestartMints, // a restarted owner mints at its old epoch
	kAnyIncarnation // a message to a former incarnation is taken
};

enum Op : uint8_t {
	kTake,
	kArrive,
	kEnd,
	kAbandon,
	kGive,
	kGiveUp,
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
	bool running, given_up;
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

class World {
      public:
	World(const Limits &l, Break b) : limits(l), broken(b)
	{
		for (int e = 0; e < l.entries; e++)
			Start(e, 1);
		Do({ kTakeover, 0, 0 });
		while (!net.empty()) // the fence and its answer
			Do({ kDeliver, 0, 0 });
	}
	~World()
	{
		for (auto *book : books)
			credit_close(book);
	}
	World(const World &) = delete;
	World &operator=(const World &) = delete;

	std::vector<Action> Actions() const;
	void Do(Action);
	bool Holds() const;
	std::string Encode() const;

      private:
	void
	Start(int e, uint64_t incarnation)
	{
		struct credit_options o = { kNames[e], incarnation, nullptr,
			nullptr };
		books.resize(std::max<size_t>(books.size(), e + 1));
		incarnations.resize(books.size());
		debts.resize(books.size());
		books[e] = credit_open(&o);
		incarnations[e] = incarnation;
		debts[e] = 0;
	}
	const struct credit_worker *
	Row(int e) const
	{
		return credit_find(books[e], kWorker);
	}
	int
	Running(bool older_only) const
	{
		int n = 0;
		for (auto &c : calls)
			n += c.running && (!older_only || c.epoch < endpoint);
		return n;
	}
	void
	Mint(int e, uint64_t at, int used)
	{
		credit_issue(books[e], kWorker, "r1", at,
		    { kCapacity, kCapacity }, { used, used });
	}
	void
	Release(const Call &c, enum credit_end end)
	{
		if (c.incarnation == incarnations[c.entry] && !c.given_up)
			credit_release(
			    books[c.entry], kWorker, c.epoch, CREDIT_CALL, end);
	}
	void Arrive(int i);
	void Give(int from, int to);
	void Deliver(Message &);
	void Takeover(int e);

	Limits limits;
	Break broken;
	std::vector<struct credit_table *> books;
	std::vector<uint64_t> incarnations;
	std::vector<int> debts; // given up later than sent (kLateGiveUp)
	std::vector<Call> calls;
	std::vector<Message> net;
	uint64_t endpoint = 0, epoch = 0, sequence = 0;
	int owner = 0, repeats = 0, restarts = 0;
};

std::vector<Action>
World::Actions() const
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
				out.push_back({ kGive, e, f });
		}
		if (debts[e] > 0)
			out.push_back({ kGiveUp, e, 0 });
		if ((int)epoch < limits.epochs)
			out.push_back({ kTakeover, e, 0 });
		if (restarts < limits.restarts)
			out.push_back({ kRestart, e, 0 });
	}
	if (endpoint == epoch)
		out.push_back({ kReport, 0, 0 });
	for (uint8_t i = 0; i < calls.size(); i++) {
		out.push_back({ calls[i].running ? kEnd : kArrive, i, 0 });
		if (!calls[i].given_up)
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
World::Arrive(int i)
{
	Call &c = calls[i];

	if (c.epoch < endpoint && broken != kOldEpochServed) {
		Release(c, CREDIT_ENDED); // refused as not run
		if (c.incarnation == incarnations[c.entry])
			credit_fenced(books[c.entry], kWorker, c.epoch + 1);
		calls.erase(calls.begin() + i);
		return;
	}
	endpoint = std::max(endpoint, c.epoch);
	c.running = true;
}

void
World::Give(int from, int to)
{
	Message m = { kCredits, from, to, incarnations[from], incarnations[to],
		++sequence, 0, 0, 0, false, {} };

	struct credit_peer peer = { kNames[to], incarnations[to] };

	credit_give(books[from], kWorker, &peer, { 1, 1 }, &m.transfer);
	m.epoch = m.transfer.epoch;
	net.push_back(m);
	if (broken == kLateGiveUp) {
		credit_give_cancel(books[from], kNames[to], &m.transfer);
		debts[from]++;
	}
}

void
World::Deliver(Message &m)
{
	struct credit_origin origin = { kNames[m.from], m.from_incarnation,
		m.sequence, m.to_incarnation };
	size_t stale;

	if (m.kind == kFence && m.epoch >= endpoint) {
		endpoint = m.epoch;
		net.push_back({ kAnswer, 0, m.to, 0, m.to_incarnation, 0,
		    endpoint, Running(false), 0, false, {} });
	} else if (m.kind == kAnswer &&
	    m.to_incarnation == incarnations[m.to]) {
		Mint(m.to, m.epoch, m.used);
	} else if (m.kind == kStatus &&
	    m.to_incarnation == incarnations[m.to]) {
		struct credit_usage usage = { { m.used, m.used }, m.older >= 0,
			{ m.older, m.older } };
		credit_report(books[m.to], kWorker, m.epoch, &usage);
	} else if (m.kind == kCredits) {
		if (broken == kDuplicateTaken)
			origin.sequence = ++sequence;
		if (broken == kAnyIncarnation)
			origin.to_incarnation = incarnations[m.to];
		credit_receive(books[m.to], &origin, &m.transfer, 1, &stale);
	}
}

void
World::Takeover(int e)
{
	bool same = broken == kRestartMints && owner == e && restarts > 0;

	epoch += same ? 0 : 1;
	owner = e;
	if (broken == kFenceSkipped)
		Mint(e, epoch, 0);
	else
		net.push_back({ kFence, e, e, 0, incarnations[e], 0, epoch, 0,
		    0, false, {} });
}

void
World::Do(Action x)
{
	const struct credit_peer gone = { "gone", 1 };
	struct credit_transfer dropped;
	uint64_t at;

	switch (x.op) {
	case kTake:
		if (credit_take(books[x.a], kWorker, CREDIT_CALL, &at) ==
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
		calls[x.a].given_up = true;
		break;
	case kGive:
		Give(x.a, x.b);
		break;
	case kGiveUp:
		credit_give(books[x.a], kWorker, &gone, { 1, 1 }, &dropped);
		debts[x.a]--;
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
		net[x.a].delivered = true; // the copy left is the second one
		Deliver(m);
		break;
	}
	case kTakeover:
		Takeover(x.a);
		break;
	case kReport: // alternately with and without the older calls apart
		net.push_back({ kStatus, 0, owner, 0, incarnations[owner], 0,
		    endpoint, Running(false), epoch % 2 ? Running(true) : -1,
		    false, {} });
		break;
	case kRestart:
		credit_close(books[x.a]);
		Start(x.a, incarnations[x.a] + 1);
		restarts++;
		break;
	}
}

bool
World::Holds() const
{
	int running = Running(false);
	int usable = running;

	for (int e = 0; e < limits.entries; e++) {
		const struct credit_worker *row = Row(e);
		if (row != nullptr && row->epoch == endpoint)
			usable += row->spare.slots;
	}
	for (auto &c : calls)
		usable += !c.running && c.epoch == endpoint;
	for (auto &m : net)
		usable += m.kind == kCredits && m.epoch == endpoint &&
		    !m.delivered && m.to_incarnation == incarnations[m.to];
	return running <= kCapacity && usable <= kCapacity;
}

std::string
World::Encode() const
{
	std::vector<std::string> parts;
	std::string s;
	auto add = [&s](int64_t v) { s.push_back((char)v); };

	for (auto &c : calls) {
		parts.push_back({ 'c', (char)c.entry, (char)c.incarnation,
		    (char)c.epoch, (char)c.running, (char)c.given_up });
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
		add(incarnations[e]), add(debts[e]), add(r != nullptr);
		if (r == nullptr)
			continue;
		add(r->epoch), add(r->issued), add(r->fenced),
		    add(r->spare.slots);
		add(r->busy.slots), add(r->older.slots),
		    add(r->used_at_fence.slots);
	}
	add(endpoint), add(epoch), add(owner), add(repeats), add(restarts);
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
			World before(limits, broken);
			for (auto x : path)
				before.Do(x);
			for (auto x : before.Actions()) {
				World w(limits, broken);
				for (auto y : path)
					w.Do(y);
				w.Do(x);
				steps++;
				if (!w.Holds()) {
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
		{ "given up after sending", kLateGiveUp },
		{ "duplicate accepted", kDuplicateTaken },
		{ "abandoned credit used again", kAbandonedReused },
		{ "endpoint serves old epochs", kOldEpochServed },
		{ "restarted owner mints again", kRestartMints },
		{ "message to a former incarnation taken", kAnyIncarnation },
	};

	for (auto &c : cases)
		EXPECT_GT(Explore(c.name, { 2, 8, 3, 4, 1, 1 }, c.broken), 0)
		    << c.name;
}

} // namespace
