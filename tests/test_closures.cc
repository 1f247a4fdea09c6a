#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "closures.h"
}

namespace {

class Closures : public ::testing::Test {
      protected:
	void
	SetUp() override
	{
		closures_init(&c);
	}

	static struct closure_set
	Set(const std::vector<std::string> &names)
	{
		struct closure_set set;

		closure_set_clear(&set);
		for (auto &name : names)
			closure_set_add(&set, name.c_str());
		return set;
	}

	bool
	Read(const std::vector<std::string> &names, int64_t revision)
	{
		struct closure_set set = Set(names);

		return closures_replace(&c, &set, revision, now);
	}

	bool
	Event(const char *name, bool closed, int64_t revision)
	{
		return closures_change(&c, name, closed, revision, now);
	}

	struct closures c;
	int64_t now = 1000;
};

} // namespace

TEST_F(Closures, AWatchClosesAndOpens)
{
	EXPECT_FALSE(closures_has(&c, "a"));
	EXPECT_TRUE(Event("a", true, 5));
	EXPECT_TRUE(Event("b", true, 6));
	EXPECT_TRUE(closures_has(&c, "a"));
	EXPECT_TRUE(Event("a", false, 7));
	EXPECT_FALSE(closures_has(&c, "a"));
	EXPECT_TRUE(closures_has(&c, "b"));
}

// Guards against an answer that was overtaken, and brings back the past.
TEST_F(Closures, AnOlderReadChangesNothing)
{
	Event("a", true, 5);
	Event("a", false, 9);
	EXPECT_FALSE(Read({ "a" }, 7));
	EXPECT_FALSE(closures_has(&c, "a"));
	EXPECT_FALSE(Event("a", true, 8));
	EXPECT_FALSE(closures_has(&c, "a"));
}

// Guards against a data centre that stays closed, as no watch told its opening.
TEST_F(Closures, ANewerReadWithoutTheKeyOpens)
{
	Event("a", true, 5);
	EXPECT_TRUE(Read({ "b" }, 20));
	EXPECT_FALSE(closures_has(&c, "a"));
	EXPECT_TRUE(closures_has(&c, "b"));
}

TEST_F(Closures, ClosedOpenedAndClosedAgainInOneRead)
{
	Read({ "a" }, 5);
	now = 3000;
	EXPECT_FALSE(Read({ "a" }, 9));
	EXPECT_EQ(c.since_ms[0], 1000);
	EXPECT_TRUE(Event("a", false, 10));
	EXPECT_TRUE(Event("a", true, 11));
	EXPECT_EQ(c.since_ms[0], 3000);
}

// Guards against a watch that omits a change, and makes others forget it.
TEST_F(Closures, OnlyAReadTellsAll)
{
	EXPECT_FALSE(c.complete);
	Read({ "a" }, 5);
	EXPECT_TRUE(c.complete);
	Event("b", true, 9);
	EXPECT_FALSE(c.complete);
	EXPECT_FALSE(Read({ "a" }, 8));
	EXPECT_FALSE(c.complete);
	EXPECT_TRUE(Read({ "a", "b", "c" }, 9));
	EXPECT_TRUE(c.complete);
}

// Guards against starts where a closure doesn't fit the table.
TEST_F(Closures, WithTooManyAllCountAsClosed)
{
	struct closure_set set;

	closure_set_clear(&set);
	for (int i = 0; i <= CLOSURES_MAX; i++)
		closure_set_add(&set, std::to_string(i).c_str());
	EXPECT_TRUE(closures_replace(&c, &set, 5, now));
	EXPECT_TRUE(closures_has(&c, "any"));
	set = Set({ std::string(GRAPH_NAME_MAX, 'x') });
	EXPECT_TRUE(closure_set_has(&set, "any"));
}

// Guards against others that open what didn't fit the table.
TEST_F(Closures, NamesThatAreNotAllAreNotPassedOn)
{
	struct closure_set set;

	EXPECT_FALSE(closures_are_all(&c));
	Read({ "a" }, 5);
	EXPECT_TRUE(closures_are_all(&c));
	Event("b", true, 6);
	EXPECT_FALSE(closures_are_all(&c));
	closure_set_clear(&set);
	for (int i = 0; i <= CLOSURES_MAX; i++)
		closure_set_add(&set, std::to_string(i).c_str());
	closures_replace(&c, &set, 7, now);
	EXPECT_FALSE(closures_are_all(&c));
}

// Guards against an age that an overtaken read makes young.
TEST_F(Closures, AReadThatIsOvertakenConfirmsNothing)
{
	Read({ "a" }, 5);
	closures_confirm(&c, CONFIRMED_BY_STORE, 500);
	Event("b", true, 9);
	Read({ "a" }, 8);
	closures_confirm(&c, CONFIRMED_BY_STORE, 900);
	EXPECT_EQ(confirmation_age_ms(&c.confirmed, 1000), 500);
	Read({ "a", "b" }, 9);
	closures_confirm(&c, CONFIRMED_BY_STORE, 950);
	EXPECT_EQ(confirmation_age_ms(&c.confirmed, 1000), 50);
}

TEST_F(Closures, AConfirmationIsNeverTakenBack)
{
	EXPECT_EQ(confirmation_age_ms(&c.confirmed, 1000), -1);
	confirmation_note(&c.confirmed, CONFIRMED_BY_STORE, 900);
	confirmation_note(&c.confirmed, CONFIRMED_BY_PEER, 800);
	EXPECT_EQ(confirmation_age_ms(&c.confirmed, 1000), 100);
	EXPECT_EQ(c.confirmed.by, CONFIRMED_BY_STORE);
	EXPECT_TRUE(confirmation_is_fresh(&c.confirmed, 100, 1000));
	EXPECT_FALSE(confirmation_is_fresh(&c.confirmed, 100, 1001));
}
