#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <string>
#include <unordered_set>
#include <vector>

extern "C" {
#include <xxhash.h>
}

#include "ledger_world.h"

/*
 * Explores every order of events, up to a given depth, of two entries, one
 * store record and two workers with room for one task each.  Any call may be
 * delayed, reordered, answered late, or time out at its caller and still take
 * effect later; an entry may pause and resume; either entry may acquire the
 * shard at any time, rightly or not; time may pass.  After each event:
 * - no task runs on two workers, and no worker runs more tasks than it has room
 *   for;
 * - an attempt runs at most once, attempt numbers never decrease, and a
 *   finished task doesn't run again;
 * - an accepted task is in the inbox, in the record, or finished.
 * Each safeguard can be disabled (enum fault); the search must then find a
 * violation.
 */

namespace {

using namespace ledger_world;

typedef std::function<void(cluster &)> setup;

/* Deliver up to n calls in order. */
void
deliver(cluster &w, int n)
{
	for (int i = 0; i < n && !w.calls.empty(); i++)
		w.apply({ DELIVER, 0, 0 });
}

/* Entry 0 acquires the shard, with its tasks in the inbox. */
void
owned(cluster &w)
{
	w.apply({ TAKE, 0, 0 });
	deliver(w, 2);
}

/*
 * Both tasks are bound to the fenced worker, and the write is unconfirmed.  The
 * fence of the other worker is in flight; after its answer one task is rebound
 * there.
 */
void
one_fenced(cluster &w)
{
	auto at = [&w](call_kind kind, int worker) {
		for (size_t i = 0; i < w.calls.size(); i++)
			if (w.calls[i].kind == kind &&
			    w.calls[i].worker == worker)
				return (int)i;
		return 0;
	};

	owned(w);
	for (int i = 0; i < 2; i++)
		w.apply({ DELIVER, at(FENCE, 0), 0 });
}

/* The tasks are bound, the binds are confirmed, and the tasks are running. */
void
running(cluster &w)
{
	owned(w);
	for (int i = 0; i < 40 &&
	     w.sim_workers[0].running.size() + w.sim_workers[1].running.size() <
		 (size_t)w.ntasks;
	     i++)
		deliver(w, 1);
}

struct result {
	size_t states, transitions, completed;
	int depth; /* explored completely up to this depth */
	std::string violation, path;
};

struct trace {
	int parent;
	event last;
	int depth;
};

void
replay(cluster &w, const setup &start, const std::vector<trace> &nodes, int at)
{
	std::vector<event> path;

	start(w);
	for (; at > 0; at = nodes[(size_t)at].parent)
		path.push_back(nodes[(size_t)at].last);
	for (auto it = path.rbegin(); it != path.rend(); ++it)
		w.apply(*it);
}

std::string
describe(const std::vector<trace> &nodes, int at, const event &last)
{
	static const char *const names[] = { "deliver", "give_up", "pause",
		"wake", "take", "tick", "long_tick", "evict", "leave",
		"finish" };
	std::string out;
	auto text = [](const event &e) {
		return std::string(names[e.kind]) + "(" + std::to_string(e.a) +
		    "," + std::to_string(e.b) + ") ";
	};

	for (; at > 0; at = nodes[(size_t)at].parent)
		out = text(nodes[(size_t)at].last) + out;
	return out + text(last);
}

result
explore(fault f, int tasks, bounds b, const setup &start, int depth,
    size_t limit, int complete_every)
{
	std::unordered_set<uint64_t> seen;
	std::vector<trace> nodes;
	result out = {};

	nodes.push_back({ -1, {}, 0 });
	for (size_t at = 0; at < nodes.size() && at < limit; at++) {
		out.depth = nodes[at].depth;
		if (out.depth >= depth)
			break;
		cluster base(f, tasks, b);
		replay(base, start, nodes, (int)at);
		std::vector<event> events = base.enabled();
		for (auto &ev : events) {
			cluster w(f, tasks, b);
			replay(w, start, nodes, (int)at);
			w.apply(ev);
			out.transitions++;
			if (w.violation.empty()) {
				std::string k = w.key();
				if (!seen.insert(XXH64(k.data(), k.size(), 0))
					 .second)
					continue;
				nodes.push_back(
				    { (int)at, ev, nodes[at].depth + 1 });
				if (complete_every > 0 &&
				    nodes.size() % (size_t)complete_every ==
					0) {
					out.completed++;
					w.run_to_completion();
				}
			}
			if (!w.violation.empty()) {
				out.violation = w.violation;
				out.path = describe(nodes, (int)at, ev);
				out.states = nodes.size();
				return out;
			}
		}
	}
	out.states = nodes.size();
	return out;
}

/*
 * Entry 0 has its bind confirmed and is paused with the start in flight; entry
 * 1 has acquired the shard.
 */
void
taken_over(cluster &w)
{
	owned(w);
	for (int i = 0; i < 40 && w.nodes[0].ledger != nullptr; i++) {
		auto is_start = [](const call &c) { return c.kind == START; };
		if (std::any_of(w.calls.begin(), w.calls.end(), is_start))
			break;
		deliver(w, 1);
	}
	w.apply({ PAUSE, 0, 0 });
	w.apply({ TAKE, 1, 0 });
	for (int i = 0; i < 2; i++)
		w.apply({ DELIVER, (int)w.calls.size() - 1, 0 });
}

struct scenario {
	const char *name;
	int tasks;
	bounds remaining; /* in order of the members of struct bounds */
	setup start;
	int depth;
	int complete_every;
};

const scenario scenarios[] = {
	{ "bind and start", 1, { 1, 1, 2, 1, 0, 0, 0 }, owned, 11, 50 },
	{ "lost answers", 1, { 3, 0, 2, 0, 0, 0, 1 }, owned, 10, 50 },
	{ "lost start", 1, { 1, 0, 1, 0, 0, 0, 0 }, owned, 13, 50 },
	{ "takeover", 1, { 0, 0, 2, 0, 0, 0, 0 }, owned, 12, 50 },
	{ "evict", 1, { 2, 1, 2, 0, 0, 1, 1 }, running, 9, 50 },
	{ "former owner wakes", 1, { 0, 1, 2, 0, 0, 1, 0 }, taken_over, 11,
	    50 },
	{ "worker out of reach", 1, { 0, 0, 2, 1, 1, 0, 0 }, running, 10, 50 },
	{ "finish", 1, { 1, 0, 2, 0, 0, 1, 1 }, running, 8, 1 },
	{ "bound elsewhere", 2, { 1, 1, 1, 0, 0, 0, 0 }, one_fenced, 11, 20 },
	{ "two tasks", 2, { 1, 0, 2, 1, 0, 1, 1 }, running, 8, 50 },
};

/*
 * Limit of expanded states in a scenario; a higher limit takes longer and
 * reaches deeper.
 */
size_t
states_max()
{
	const char *more = getenv("LAGOONPIN_MODEL_STATES");

	return more == nullptr ? 25000 : strtoul(more, nullptr, 10);
}

TEST(LedgerModel, EveryInterleavingKeepsTheInvariants)
{
	for (auto &s : scenarios) {
		result r = explore(FAULT_NONE, s.tasks, s.remaining, s.start,
		    s.depth, states_max(), s.complete_every);
		printf("%-20s depth %d%s: %zu states, %zu transitions, "
		       "%zu run to completion\n",
		    s.name, r.depth,
		    r.depth < s.depth ? " (partially deeper)" : "", r.states,
		    r.transitions, r.completed);
		EXPECT_EQ(r.violation, "") << s.name << ": " << r.path;
	}
}

const struct {
	fault injected;
	const char *scenario;
	bool to_the_end; /* found only by running to completion */
} needed[] = {
	{ FAULT_NO_FENCE, "evict", false },
	{ FAULT_NO_EPOCH, "former owner wakes", false },
	{ FAULT_START_FIRST, "takeover", false },
	{ FAULT_NO_READ_BACK, "lost answers", true },
	{ FAULT_EARLY_RELEASE, "evict", false },
	{ FAULT_LOST_START, "lost start", false },
	{ FAULT_EARLY_ACK, "finish", true },
	{ FAULT_NO_HOLD, "worker out of reach", true },
	{ FAULT_STOP_UNFINISHED, "evict", false },
	{ FAULT_NO_REVISION, "takeover", false },
	{ FAULT_MOVE_STARTED, "bound elsewhere", false },
};

TEST(LedgerModel, EachSafeguardIsNeeded)
{
	for (auto &n : needed) {
		for (auto &s : scenarios) {
			if (strcmp(s.name, n.scenario) != 0)
				continue;
			result r =
			    explore(n.injected, s.tasks, s.remaining, s.start,
				s.depth, states_max(), n.to_the_end ? 1 : 0);
			printf("%-28s found in \"%s\": %s\n   %s\n",
			    fault_names[n.injected], s.name,
			    r.violation.c_str(), r.path.c_str());
			EXPECT_NE(r.violation, "") << fault_names[n.injected];
		}
	}
}

} // namespace
