#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "platform/stand/itemset.h"
}

namespace {

// The stand-in for the store implements the protocol of the platform's store:
// the guarantees that the entries rely on must hold in runs against it.
class Itemset : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		set_ = itemset_open();
	}
	void
	TearDown() override
	{
		itemset_close(set_);
	}

	enum itemset_error
	Put(const char *key, const char *value, int64_t revision = -1,
	    uint64_t lease = 0)
	{
		struct itemset_compare compare = { key, revision };
		struct itemset_put put = { key, value, lease };
		struct itemset_txn txn = {};

		txn.compares = &compare;
		txn.ncompares = revision >= 0 ? 1 : 0;
		txn.puts = &put;
		txn.nputs = 1;
		return itemset_apply(set_, &txn);
	}

	enum itemset_error
	Remove(const char *key)
	{
		struct itemset_txn txn = {};

		txn.removes = &key;
		txn.nremoves = 1;
		return itemset_apply(set_, &txn);
	}

	std::vector<std::string>
	Changes(int64_t after)
	{
		std::vector<std::string> keys;
		enum itemset_error error;

		for (const struct item_change *change =
			 itemset_changes(set_, after, &error);
		     change != nullptr; change = itemset_changes_next(change))
			keys.push_back(std::string(change->key) +
			    (change->value != nullptr ? "" : " gone"));
		return keys;
	}

	struct itemset *set_ = nullptr;
};

using Keys = std::vector<std::string>;

} // namespace

TEST_F(Itemset, AKeyIsMadeOnceOnConditionThatThereIsNone)
{
	EXPECT_EQ(Put("lp/leader", "a", 0), ITEMSET_OK);
	EXPECT_EQ(Put("lp/leader", "b", 0), ITEMSET_ERR_CONFLICT);
	EXPECT_STREQ(itemset_get(set_, "lp/leader")->value, "a");
	int64_t revision = itemset_get(set_, "lp/leader")->revision;
	EXPECT_EQ(Put("lp/leader", "b", revision), ITEMSET_OK);
	EXPECT_EQ(Put("lp/leader", "c", revision), ITEMSET_ERR_CONFLICT);
	EXPECT_STREQ(itemset_get(set_, "lp/leader")->value, "b");
	EXPECT_LT(itemset_get(set_, "lp/leader")->created,
	    itemset_get(set_, "lp/leader")->revision);
}

TEST_F(Itemset, AFailedTransactionChangesNothing)
{
	struct itemset_compare compare = { "other", 5 };
	struct itemset_put put = { "key", "value", 0 };
	struct itemset_txn txn = {};
	int64_t before = itemset_revision(set_);

	txn.compares = &compare;
	txn.ncompares = 1;
	txn.puts = &put;
	txn.nputs = 1;
	EXPECT_EQ(itemset_apply(set_, &txn), ITEMSET_ERR_CONFLICT);
	EXPECT_EQ(itemset_get(set_, "key"), nullptr);
	EXPECT_EQ(itemset_revision(set_), before);
	EXPECT_EQ(Put("key", "value", -1, 17), ITEMSET_ERR_LEASE);
	EXPECT_EQ(itemset_get(set_, "key"), nullptr);
}

TEST_F(Itemset, ARangeGoesOnAfterAKey)
{
	Put("lp/j/2", "");
	Put("lp/j/1", "");
	Put("lp/p/1", "");
	const struct item *first = itemset_next(set_, "lp/j/", nullptr);
	ASSERT_NE(first, nullptr);
	EXPECT_STREQ(first->key, "lp/j/1");
	const struct item *second = itemset_next(set_, "lp/j/", "lp/j/1");
	ASSERT_NE(second, nullptr);
	EXPECT_STREQ(second->key, "lp/j/2");
	EXPECT_EQ(itemset_next(set_, "lp/j/", "lp/j/2"), nullptr);
	// The key to continue after may have been deleted.
	Remove("lp/j/1");
	EXPECT_STREQ(itemset_next(set_, "lp/j/", "lp/j/1")->key, "lp/j/2");
}

TEST_F(Itemset, ChangesComeInOrderWithRemovals)
{
	Put("a", "1");
	int64_t seen = itemset_revision(set_);
	Put("b", "1");
	Remove("a");
	EXPECT_EQ(Changes(seen), (Keys{ "b", "a gone" }));
	EXPECT_EQ(Changes(itemset_revision(set_)), Keys());
}

TEST_F(Itemset, CompactedChangesAreReportedAsCompacted)
{
	enum itemset_error error;

	Put("a", "1");
	int64_t seen = itemset_revision(set_);
	Put("b", "1");
	itemset_compact(set_);
	EXPECT_EQ(itemset_changes(set_, seen, &error), nullptr);
	EXPECT_EQ(error, ITEMSET_ERR_COMPACTED);
	seen = itemset_revision(set_);
	Put("c", "1");
	EXPECT_EQ(Changes(seen), (Keys{ "c" }));
}

TEST_F(Itemset, KeysOfALeaseAreDeletedWithIt)
{
	uint64_t lease = itemset_grant_lease(set_, 1000, 50000);
	uint64_t other = itemset_grant_lease(set_, 5000, 50000);

	Put("servers/1", "", -1, lease);
	Put("servers/2", "", -1, other);
	int64_t seen = itemset_revision(set_);
	EXPECT_FALSE(itemset_expire(set_, 50999));
	EXPECT_EQ(itemset_renew_lease(set_, lease, 50500), ITEMSET_OK);
	EXPECT_FALSE(itemset_expire(set_, 51499));
	EXPECT_TRUE(itemset_expire(set_, 51500));
	EXPECT_EQ(itemset_get(set_, "servers/1"), nullptr);
	EXPECT_NE(itemset_get(set_, "servers/2"), nullptr);
	EXPECT_EQ(Changes(seen), (Keys{ "servers/1 gone" }));
	EXPECT_EQ(itemset_renew_lease(set_, lease, 51500), ITEMSET_ERR_LEASE);
	EXPECT_EQ(itemset_revoke_lease(set_, other), ITEMSET_OK);
	EXPECT_EQ(itemset_get(set_, "servers/2"), nullptr);
}
