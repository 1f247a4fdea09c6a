#include <string>

#include <gtest/gtest.h>

extern "C" {
#include "counter.h"
#include "refused.h"
}

namespace {

uint64_t
Counted(const char *reason)
{
	std::string label = std::string("reason=\"") + reason + "\"";

	return counter_value(counter_get("test_refused", label.c_str()));
}

} // namespace

// The list is read again every few seconds: without deduplication its invalid
// entries would fill the log, and the counter would count reads of the list.
TEST(Refused, AnEntryCountsOnceForAReason)
{
	struct refused r;

	counter_reset();
	refused_init(&r, "test_refused");
	for (int i = 0; i < 5; i++) {
		refused_note(&r, "a", "state");
		refused_note(&r, "b", "state");
	}
	EXPECT_EQ(Counted("state"), 2u);
	refused_note(&r, "a", "service");
	EXPECT_EQ(Counted("service"), 1u);
	refused_free(&r);
}

TEST(Refused, AnEntryThatWasGoodMeanwhileCountsAgain)
{
	struct refused r;

	counter_reset();
	refused_init(&r, "test_refused");
	refused_note(&r, "a", "state");
	refused_clear(&r, "a");
	refused_note(&r, "a", "state");
	EXPECT_EQ(Counted("state"), 2u);
	refused_free(&r);
}

TEST(Refused, MemoryIsBounded)
{
	struct refused r;

	counter_reset();
	refused_init(&r, "test_refused");
	for (int i = 0; i < 5000; i++)
		refused_note(&r, std::to_string(i).c_str(), "state");
	EXPECT_LE(r.n, 1024u);
	refused_free(&r);
}
