// Explores every order of events, up to a given depth, of a store, two entries
// and two operators.  Outages of the store need no events of their own: they
// are the orders in which no event of the store occurs for a while.
#include <gtest/gtest.h>
#include <xxhash.h>

#include <cstdio>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "conf.h"
}

namespace {

// Faults injected by the driver; the checks must find each one.
enum fault {
	NONE,
	REVISION_CHECK_REMOVED, // a late event is applied as the newest
	TOMBSTONE_DROPPED, // deletions are not sent to peers
	SNAPSHOT_UNCHECKED, // a snapshot replaces the whole state
	CAS_WITHOUT_REVISION, // a write ignores the revision the operator read
	GAP_IGNORED, // a resumed watch is treated as complete
	PEER_RECORDS_LOST, // a peer's revision is applied without its records
};

enum action {
	READ_0,
	READ_1,
	WRITE_0,
	WRITE_1,
	DELETE_A,
	DELETE_B,
	COMPACT,
	RANGE, // the store answers a range read; from here on per entry
	RANGE_RECEIVED, // that answer arrives
	EVENT, // the watch's next event arrives
	REPEAT_OLDEST, // the oldest event arrives again
	NEWEST_FIRST, // the newest event arrives before the others
	SKIP_EVENT, // the watch is resumed one event too late
	PEER_EXPORT, // the other entry exports what this one lacks
	PEER_IMPORT, // that answer arrives
	RESTART,
	NACTIONS
};

const int FIRST_OF_ENTRY = RANGE;
const int NSTEPS = FIRST_OF_ENTRY + 2 * (NACTIONS - FIRST_OF_ENTRY);
const char *const KEYS[] = { "lp/w/team/a", "lp/w/team/b" };

struct change {
	int key;
	int64_t revision;
	int serial; // identifies the value; 0: deleted
	std::string text;
};

struct delta {
	bool waiting, full;
	int64_t since, revision;
	std::vector<struct change> changes;
};

struct node {
	struct conf *conf;
	bool watching;
	int64_t from, cursor; // of the watch
	struct delta range, peer_delta;
	int64_t revision, shown_revision[2]; // highest values since the start
};

class Cluster {
      public:
	explicit Cluster(enum fault f) : fault(f)
	{
		write(0, 0);
		write(1, 0);
		for (int e = 0; e < 2; e++) {
			start(e);
			do_range(e);
			do_range_received(e);
		}
	}
	~Cluster()
	{
		conf_close(nodes[0].conf);
		conf_close(nodes[1].conf);
	}
	Cluster(const Cluster &) = delete;
	Cluster &operator=(const Cluster &) = delete;

	bool
	enabled(int step) const
	{
		const struct node &n = nodes[entry_of(step)];

		switch (action_of(step)) {
		case WRITE_0:
		case WRITE_1:
			return read_revision[step - WRITE_0] >= 0;
		case DELETE_A:
		case DELETE_B:
			return at(step - DELETE_A, head()).serial != 0;
		case COMPACT:
			return compacted < head();
		case RANGE:
			return !n.range.waiting;
		case RANGE_RECEIVED:
			return n.range.waiting;
		case EVENT:
		case SKIP_EVENT:
			return can_watch(n);
		case PEER_EXPORT:
			return !n.peer_delta.waiting;
		case PEER_IMPORT:
			return n.peer_delta.waiting;
		default:
			return true;
		}
	}

	void
	step(int s)
	{
		int e = entry_of(s);

		switch (action_of(s)) {
		case READ_0:
		case READ_1:
			do_read(s - READ_0);
			break;
		case WRITE_0:
		case WRITE_1:
			do_write(s - WRITE_0);
			break;
		case DELETE_A:
		case DELETE_B:
			store.push_back(
			    { s - DELETE_A, head() + 1, 0, std::string() });
			break;
		case COMPACT:
			compacted = head();
			break;
		case RANGE:
			do_range(e);
			break;
		case RANGE_RECEIVED:
			do_range_received(e);
			break;
		case EVENT:
			do_event(e);
			break;
		case REPEAT_OLDEST:
			apply_change(e, store.front());
			break;
		case NEWEST_FIRST:
			apply_change(e, store.back());
			break;
		case SKIP_EVENT:
			nodes[e].cursor++;
			nodes[e].from = nodes[e].cursor;
			break;
		case PEER_EXPORT:
			do_peer_export(e);
			break;
		case PEER_IMPORT:
			do_peer_import(e);
			break;
		case RESTART:
			start(e);
			break;
		default:
			break;
		}
		check();
	}

	// Let the store answer and deliver everything in flight.
	void
	finish()
	{
		for (int e = 0; e < 2; e++) {
			if (nodes[e].range.waiting)
				do_range_received(e);
			if (nodes[e].peer_delta.waiting)
				do_peer_import(e);
			while (can_watch(nodes[e]))
				do_event(e);
			if (!conf_advance(nodes[e].conf, nodes[e].from,
				nodes[e].cursor) ||
			    !nodes[e].watching || nodes[e].cursor < head()) {
				do_range(e);
				do_range_received(e);
			}
			check();
			for (int k = 0; k < 2; k++) {
				if (serial_at(e, k) != at(k, head()).serial)
					fail("an accepted change isn't in "
					     "force at the end");
			}
			if (conf_revision(nodes[e].conf) != head())
				fail("the last revision isn't in force");
		}
	}

	XXH128_hash_t
	digest() const
	{
		std::string s;

		for (const auto &c : store)
			add(&s, { c.key, c.serial });
		add(&s, { compacted, read_revision[0], read_revision[1] });
		for (const auto &n : nodes)
			add_node(&s, n);
		return XXH3_128bits(s.data(), s.size());
	}

	std::string failure;

      private:
	enum fault fault;
	std::vector<struct change> store; // one change per revision, from 1
	std::set<int> refused;
	int serials = 0;
	int64_t compacted = 0;
	int64_t read_revision[2] = { -1, -1 }; // of key a, per operator
	struct node nodes[2] = {};

	static int
	entry_of(int step)
	{
		return step < FIRST_OF_ENTRY ? 0 : (step - FIRST_OF_ENTRY) % 2;
	}
	static int
	action_of(int step)
	{
		if (step < FIRST_OF_ENTRY)
			return step;
		return FIRST_OF_ENTRY + (step - FIRST_OF_ENTRY) / 2;
	}
	static void
	add(std::string *s, std::initializer_list<int64_t> numbers)
	{
		for (int64_t n : numbers)
			s->push_back((char)n);
	}
	static void
	add_delta(std::string *s, const struct delta &d)
	{
		add(s, { d.waiting, d.full, d.since, d.revision });
		for (const auto &c : d.changes)
			add(s, { c.key, c.revision, c.serial });
		s->push_back('|');
	}
	static void
	add_node(std::string *s, const struct node &n)
	{
		const struct conf_item *item;
		struct conf_delta probe;

		add(s,
		    { n.watching, n.from, n.cursor, n.shown_revision[0],
			n.shown_revision[1], n.revision,
			conf_revision(n.conf) });
		for (const char *key : KEYS) {
			item = conf_get(n.conf, key);
			if (item == nullptr)
				continue;
			add(s,
			    { item->revision, item->present,
				item->present ? item->record.as.team.tasks :
						0 });
		}
		// The revisions at which exports change from partial to full.
		for (int64_t since = 0; since < 8; since++) {
			conf_export(n.conf, since, &probe);
			s->push_back((char)probe.full);
			conf_delta_free(&probe);
		}
		add_delta(s, n.range);
		add_delta(s, n.peer_delta);
	}

	int64_t
	head() const
	{
		return (int64_t)store.size();
	}
	// The last change of a key up to a revision.
	struct change
	at(int key, int64_t revision) const
	{
		for (int64_t r = revision; r > 0; r--) {
			if (store[(size_t)r - 1].key == key)
				return store[(size_t)r - 1];
		}
		return { key, 0, 0, std::string() };
	}
	bool
	can_watch(const struct node &n) const
	{
		return n.watching && n.cursor < head() && n.cursor >= compacted;
	}
	void
	fail(const char *why)
	{
		if (failure.empty())
			failure = why;
	}

	void
	write(int key, int64_t)
	{
		std::string text;

		serials++;
		text = std::string(R"({"schema":1,"name":")") + KEYS[key][10] +
		    R"(","tasks":)" + std::to_string(serials) + "}";
		store.push_back({ key, head() + 1, serials, text });
	}
	void
	do_read(int who)
	{
		const struct conf_item *item;

		item = conf_get(nodes[who].conf, KEYS[0]);
		read_revision[who] =
		    item != nullptr && item->present ? item->revision : 0;
	}
	void
	do_write(int who)
	{
		struct change now = at(0, head());
		int64_t revision = now.serial == 0 ? 0 : now.revision;
		int64_t compare = read_revision[who];

		if (fault == CAS_WITHOUT_REVISION)
			compare = revision;
		if (compare != revision) {
			refused.insert(++serials);
			read_revision[who] = -1;
			return;
		}
		if (read_revision[who] != revision)
			fail("a write replaced a change that the operator "
			     "hadn't read");
		write(0, revision);
		read_revision[who] = -1;
	}

	void
	start(int e)
	{
		struct conf_options o = {};

		o.tombstones_max = 1;
		conf_close(nodes[e].conf);
		nodes[e] = {};
		nodes[e].conf = conf_open(&o);
	}
	static struct conf_update
	update(const struct change &c)
	{
		return { KEYS[c.key], c.revision,
			c.serial == 0 ? nullptr : c.text.data(),
			c.text.size() };
	}
	void
	apply_change(int e, const struct change &c)
	{
		const struct conf_item *item =
		    conf_get(nodes[e].conf, KEYS[c.key]);
		struct conf_update u = update(c);

		if (fault == REVISION_CHECK_REMOVED && item != nullptr &&
		    u.revision <= item->revision)
			u.revision = item->revision + 1;
		conf_apply(nodes[e].conf, &u);
	}
	void
	do_range(int e)
	{
		struct delta d = { true, true, 0, head(), {} };

		for (int k = 0; k < 2; k++) {
			if (at(k, head()).serial != 0)
				d.changes.push_back(at(k, head()));
		}
		nodes[e].range = d;
	}
	void
	do_range_received(int e)
	{
		struct delta d = nodes[e].range;
		struct conf_options o = {};

		if (fault == SNAPSHOT_UNCHECKED) {
			conf_close(nodes[e].conf);
			nodes[e].conf = conf_open(&o);
		}
		import(e, d);
		nodes[e].range = {};
		nodes[e].watching = true;
		nodes[e].from = nodes[e].cursor = d.revision;
	}
	void
	do_event(int e)
	{
		struct node &n = nodes[e];
		const struct change &c = store[(size_t)n.cursor];

		apply_change(e, c);
		n.cursor = c.revision;
		if (!conf_advance(
			n.conf, fault == GAP_IGNORED ? 0 : n.from, n.cursor))
			n.watching = false;
	}
	void
	do_peer_export(int e)
	{
		struct delta d = { true, false, 0, 0, {} };
		struct conf_delta out;
		int key, serial;

		conf_export(nodes[!e].conf, conf_revision(nodes[e].conf), &out);
		d.full = out.full;
		d.since = out.since;
		d.revision = out.revision;
		for (size_t i = 0; i < out.n; i++) {
			key = out.updates[i].key[10] == 'b';
			serial = out.updates[i].text != nullptr;
			if (serial == 0 && fault == TOMBSTONE_DROPPED)
				continue;
			d.changes.push_back(
			    { key, out.updates[i].revision, serial,
				serial ? std::string(out.updates[i].text,
					     out.updates[i].len) :
					 std::string() });
		}
		conf_delta_free(&out);
		nodes[e].peer_delta = d;
	}
	void
	do_peer_import(int e)
	{
		struct delta d = nodes[e].peer_delta;
		int64_t before = conf_revision(nodes[e].conf);

		nodes[e].peer_delta = {};
		if (fault == PEER_RECORDS_LOST) {
			d.full = false;
			d.changes.clear();
		}
		import(e, d);
		if ((d.full || d.since <= before) &&
		    conf_revision(nodes[e].conf) < d.revision)
			fail("an entry stays below the revision of a peer's "
			     "answer");
	}
	void
	import(int e, const struct delta &d)
	{
		std::vector<struct conf_update> updates;
		struct conf_delta in;

		for (const auto &c : d.changes)
			updates.push_back(update(c));
		in = { d.full, d.since, d.revision, updates.data(),
			updates.size() };
		conf_import(nodes[e].conf, &in);
	}

	int
	serial_at(int e, int key) const
	{
		const struct conf_item *item;

		item = conf_get(nodes[e].conf, KEYS[key]);
		if (item == nullptr || !item->present)
			return 0;
		return (int)item->record.as.team.tasks;
	}
	// The revision in the store of the value in force, regardless of the
	// revision that the entry claims.
	int64_t
	revision_shown(int e, int key)
	{
		const struct conf_item *item;
		int serial = serial_at(e, key);

		if (serial == 0) {
			item = conf_get(nodes[e].conf, KEYS[key]);
			return item != nullptr ? item->revision :
						 conf_revision(nodes[e].conf);
		}
		if (refused.count(serial) != 0)
			fail("a refused change is in force");
		for (const auto &c : store) {
			if (c.serial == serial)
				return c.revision;
		}
		fail("a value that was never written is in force");
		return 0;
	}
	bool
	absent_since(int key, int64_t revision) const
	{
		for (int64_t r = revision; r <= head(); r++) {
			if (at(key, r).serial == 0)
				return true;
		}
		return false;
	}
	void
	check()
	{
		for (int e = 0; e < 2; e++) {
			struct node &n = nodes[e];
			int64_t revision = conf_revision(n.conf);

			if (revision < n.revision)
				fail("the revision in force decreased");
			if (revision > head())
				fail("a revision that doesn't exist is in "
				     "force");
			n.revision = revision;
			for (int k = 0; k < 2; k++)
				check_key(e, k, revision);
		}
	}
	void
	check_key(int e, int k, int64_t revision)
	{
		int64_t shown_revision = revision_shown(e, k);

		if (shown_revision < nodes[e].shown_revision[k])
			fail("an older record replaced a newer one");
		nodes[e].shown_revision[k] = shown_revision;
		if (shown_revision < at(k, revision).revision)
			fail("a record is older than the revision in force");
		if (serial_at(e, k) == 0 && !absent_since(k, revision))
			fail("a record is missing");
	}
};

struct outcome {
	size_t states;
	size_t edges;
	std::string failure, path;
};

struct hash_less {
	bool
	operator()(const XXH128_hash_t &a, const XXH128_hash_t &b) const
	{
		return a.high64 != b.high64 ? a.high64 < b.high64 :
					      a.low64 < b.low64;
	}
};

struct outcome
explore(enum fault fault, size_t depth)
{
	std::set<XXH128_hash_t, hash_less> known;
	std::deque<std::string> queue = { std::string() };
	struct outcome o = {};

	while (!queue.empty() && o.failure.empty()) {
		std::string path = queue.front();
		Cluster world(fault);

		queue.pop_front();
		o.edges++;
		for (char s : path)
			world.step(s);
		o.path = path;
		o.failure = world.failure;
		if (!o.failure.empty() || !known.insert(world.digest()).second)
			continue;
		for (int s = 0; path.size() < depth && s < NSTEPS; s++) {
			if (world.enabled(s))
				queue.push_back(path + (char)s);
		}
		world.finish();
		o.failure = world.failure;
	}
	o.states = known.size();
	return o;
}

std::string
steps(const std::string &path)
{
	std::string s;

	for (char c : path)
		s += std::to_string((int)c) + " ";
	return s;
}

// The sanitizers make the search ten times slower.
#ifdef __SANITIZE_ADDRESS__
const size_t DEPTH = 5;
#else
const size_t DEPTH = 6;
#endif

} // namespace

/*
 * Once the store answers, both entries have each accepted change in force.  No
 * running entry ever returns to an older state, whatever arrives late, twice,
 * out of order or not at all: events, snapshots, answers of peers, compactions
 * and restarts.
 */
TEST(ConfModel, EveryOrderKeepsTheOneOrder)
{
	struct outcome o = explore(NONE, DEPTH);

	printf("depth %zu: %zu states, %zu orders\n", DEPTH, o.states, o.edges);
	EXPECT_EQ(o.failure, "") << "steps " << steps(o.path);
	EXPECT_GT(o.states, 1000u);
}

TEST(ConfModel, EveryDeliberateFaultIsFound)
{
	const struct {
		enum fault fault;
		const char *name;
	} faults[] = {
		{ REVISION_CHECK_REMOVED, "revision check removed" },
		{ TOMBSTONE_DROPPED, "tombstone dropped" },
		{ SNAPSHOT_UNCHECKED, "snapshot replaces newer records" },
		{ CAS_WITHOUT_REVISION, "CAS without the operator's revision" },
		{ GAP_IGNORED, "gap of a resumed watch ignored" },
		{ PEER_RECORDS_LOST,
		    "peer's revision applied without its records" },
	};

	for (const auto &f : faults) {
		struct outcome o = explore(f.fault, DEPTH);

		printf("%s: %s (steps %s)\n", f.name, o.failure.c_str(),
		    steps(o.path).c_str());
		EXPECT_NE(o.failure, "") << f.name;
	}
}
