// Tests of the configuration in force on one entry.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "conf.h"
}

namespace {

struct change {
	const char *key;
	int64_t revision;
	std::string text; // "": deleted
};

std::string
team(const char *name, int tasks)
{
	return std::string(R"({"schema":1,"name":")") + name + R"(","tasks":)" +
	    std::to_string(tasks) + "}";
}

void
count_change(const struct conf_item *, void *ctx)
{
	++*static_cast<int *>(ctx);
}

class Conf : public ::testing::Test {
      protected:
	int changes = 0;
	struct conf *conf = nullptr;
	struct conf *peer = nullptr;

	void
	SetUp() override
	{
		struct conf_options o = {};

		o.tombstones_max = 2;
		o.on_change = count_change;
		o.ctx = &changes;
		conf = conf_open(&o);
		o.on_change = nullptr;
		peer = conf_open(&o);
	}

	void
	TearDown() override
	{
		conf_close(conf);
		conf_close(peer);
	}

	static struct conf_update
	update(const struct change &c)
	{
		return { c.key, c.revision,
			c.text.empty() ? nullptr : c.text.data(),
			c.text.size() };
	}

	static enum conf_error
	apply(struct conf *to, const struct change &c)
	{
		struct conf_update u = update(c);

		return conf_apply(to, &u);
	}

	static enum conf_error
	snapshot(struct conf *to, const std::vector<struct change> &list,
	    int64_t revision)
	{
		std::vector<struct conf_update> updates;

		for (const auto &c : list)
			updates.push_back(update(c));
		return conf_snapshot(
		    to, updates.data(), updates.size(), revision);
	}

	static int64_t
	tasks(const struct conf *of, const char *name)
	{
		const struct record_team *t = conf_team(of, name);

		return t == nullptr ? -7 : t->tasks;
	}

	static bool
	send_changes(const struct conf *from, struct conf *to)
	{
		struct conf_delta e;
		bool full;

		EXPECT_EQ(conf_export(from, conf_revision(to), &e), CONF_OK);
		full = e.full;
		EXPECT_EQ(conf_import(to, &e), CONF_OK);
		conf_delta_free(&e);
		return full;
	}
};

const char *const A = "lp/w/team/a";
const char *const B = "lp/w/team/b";

} // namespace

TEST_F(Conf, NothingOlderReplacesWhatIsThere)
{
	EXPECT_EQ(apply(conf, { A, 5, team("a", 5) }), CONF_OK);
	EXPECT_EQ(apply(conf, { A, 5, team("a", 5) }), CONF_STALE);
	EXPECT_EQ(apply(conf, { A, 4, team("a", 4) }), CONF_STALE);
	EXPECT_EQ(apply(conf, { A, 3, "" }), CONF_STALE);
	EXPECT_EQ(tasks(conf, "a"), 5);
	EXPECT_EQ(apply(conf, { A, 7, "" }), CONF_OK);
	EXPECT_EQ(apply(conf, { A, 6, team("a", 6) }), CONF_STALE);
	EXPECT_EQ(tasks(conf, "a"), -7);
	EXPECT_EQ(apply(conf, { A, 0, "" }), CONF_ERR_REVISION);
	EXPECT_EQ(apply(conf, { "lp/w/entry/e", 9, "{}" }), CONF_ERR_KEY);
	EXPECT_EQ(changes, 2);
	EXPECT_EQ(conf_policy(conf)->tail_weight, 1);
}

TEST_F(Conf, RevisionMovesOnlyWithoutAGap)
{
	EXPECT_FALSE(conf_advance(conf, 3, 5));
	EXPECT_EQ(conf_revision(conf), 0);
	EXPECT_EQ(snapshot(conf, {}, 4), CONF_OK);
	EXPECT_TRUE(conf_advance(conf, 3, 6));
	EXPECT_EQ(conf_revision(conf), 6);
	EXPECT_TRUE(conf_advance(conf, 2, 5));
	EXPECT_EQ(conf_revision(conf), 6);
	EXPECT_FALSE(conf_advance(conf, 7, 9));
	EXPECT_EQ(conf_revision(conf), 6);
}

TEST_F(Conf, SnapshotReplacesOnlyWhatIsOlder)
{
	apply(conf, { A, 3, team("a", 3) });
	apply(conf, { B, 9, team("b", 9) });
	apply(conf, { "lp/w/team/c", 3, team("c", 3) });
	snapshot(conf, { { A, 4, team("a", 4) }, { B, 2, team("b", 2) } }, 6);
	EXPECT_EQ(tasks(conf, "a"), 4);
	EXPECT_EQ(tasks(conf, "b"), 9);
	EXPECT_EQ(tasks(conf, "c"), -7);
	EXPECT_EQ(apply(conf, { "lp/w/team/c", 5, team("c", 5) }), CONF_STALE);
	EXPECT_EQ(conf_revision(conf), 6);
	EXPECT_EQ(snapshot(conf, {}, 5), CONF_STALE);
	EXPECT_EQ(tasks(conf, "a"), 4);
	EXPECT_EQ(conf_revision(conf), 6);
}

/*
 * A newer entry writes a record with a schema that this one cannot read.  This
 * entry reports the record and keeps team a's quota of revision 3 in force; a
 * later valid record replaces it.
 */
TEST_F(Conf, ABadRecordLeavesTheOlderOneInForce)
{
	const struct conf_item *item;

	apply(conf, { A, 3, team("a", 3) });
	EXPECT_EQ(apply(conf, { A, 5, R"({"schema":9,"name":"a"})" }),
	    CONF_BAD_RECORD);
	EXPECT_EQ(apply(conf, { A, 4, "bad" }), CONF_STALE);
	EXPECT_EQ(tasks(conf, "a"), 3);
	item = conf_get(conf, A);
	EXPECT_EQ(item->bad_revision, 5);
	EXPECT_STREQ(item->fault.field, "schema");
	snapshot(conf, { { A, 5, R"({"schema":9,"name":"a"})" } }, 6);
	EXPECT_EQ(tasks(conf, "a"), 3);
	EXPECT_TRUE(send_changes(conf, peer));
	EXPECT_EQ(tasks(peer, "a"), 3);
	EXPECT_EQ(conf_get(peer, A)->bad_revision, 5);
	EXPECT_EQ(apply(conf, { A, 7, team("b", 1) }), CONF_BAD_RECORD);
	EXPECT_STREQ(conf_get(conf, A)->fault.field, "name");
	EXPECT_EQ(apply(conf, { A, 8, team("a", 8) }), CONF_OK);
	EXPECT_EQ(conf_get(conf, A)->bad_revision, 0);
	EXPECT_EQ(tasks(conf, "a"), 8);
	EXPECT_EQ(apply(conf, { A, 9, "bad" }), CONF_BAD_RECORD);
	snapshot(conf, {}, 10);
	EXPECT_EQ(conf_get(conf, A)->bad_revision, 0);
	EXPECT_EQ(tasks(conf, "a"), -7);
}

/*
 * A deleted team must not reappear.  More deletions happen than tombstones are
 * kept, then an event from before the deletion arrives late, and a peer that
 * was unreachable still has the team.
 */
TEST_F(Conf, ForgottenDeletionsStayDeleted)
{
	char key[32];
	int i;

	snapshot(conf, { { A, 1, team("a", 1) } }, 1);
	send_changes(conf, peer);
	EXPECT_EQ(tasks(peer, "a"), 1);
	apply(conf, { A, 2, "" });
	conf_advance(conf, 1, 2);
	for (i = 3; i < 8; i++) {
		snprintf(key, sizeof(key), "lp/w/team/t%d", i);
		apply(conf, { key, i, "" });
		conf_advance(conf, i - 1, i);
	}
	EXPECT_EQ(conf_get(conf, A), nullptr) << "the tombstone is dropped";
	EXPECT_EQ(apply(conf, { A, 1, team("a", 1) }), CONF_STALE);
	EXPECT_EQ(tasks(conf, "a"), -7);
	EXPECT_TRUE(send_changes(conf, peer)) << "all records are sent";
	EXPECT_EQ(tasks(peer, "a"), -7);
	EXPECT_EQ(conf_revision(peer), 7);
	EXPECT_FALSE(send_changes(conf, peer));
}

/*
 * A deleted team must not reappear.  It was deleted, created again and deleted
 * again; this entry saw only the first deletion and then a snapshot without the
 * team, and the event of the second creation arrives late.
 */
TEST_F(Conf, ASnapshotRenewsAnOlderDeletion)
{
	apply(conf, { A, 3, "" });
	snapshot(conf, {}, 5);
	EXPECT_EQ(apply(conf, { A, 4, team("a", 4) }), CONF_STALE);
	EXPECT_EQ(tasks(conf, "a"), -7);
}

/*
 * A peer must not keep a deleted team.  The entry that sends it changes got its
 * own state from a snapshot after the deletion, so it never saw the team and
 * has no tombstone to send; it must send all records instead.
 */
TEST_F(Conf, AfterASnapshotAnEntrySendsAllRecords)
{
	snapshot(peer, { { A, 1, team("a", 1) } }, 2);
	snapshot(conf, {}, 3);
	EXPECT_TRUE(send_changes(conf, peer));
	EXPECT_EQ(tasks(peer, "a"), -7);
}

TEST_F(Conf, DeletionsAheadOfTheRevisionAreAllRemembered)
{
	apply(conf, { A, 5, "" });
	apply(conf, { B, 6, "" });
	apply(conf, { "lp/w/team/c", 7, "" });
	EXPECT_EQ(apply(conf, { A, 4, team("a", 4) }), CONF_STALE);
	EXPECT_NE(conf_get(conf, A), nullptr);
	conf_advance(conf, 0, 7);
	EXPECT_EQ(conf_get(conf, A), nullptr);
}

TEST_F(Conf, APeersAnswerForAnotherRevisionMovesNothing)
{
	struct conf_delta e;

	apply(conf, { A, 4, team("a", 4) });
	conf_advance(conf, 0, 5);
	ASSERT_EQ(conf_export(conf, 4, &e), CONF_OK);
	EXPECT_FALSE(e.full);
	EXPECT_EQ(conf_import(peer, &e), CONF_OK);
	EXPECT_EQ(conf_revision(peer), 0);
	conf_delta_free(&e);
}
