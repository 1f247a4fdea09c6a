#include <gtest/gtest.h>

extern "C" {
#include "room.h"
}

TEST(Room, NoDimensionPassesItsCapacity)
{
	const struct resources capacity = { 4, 4, 2 };
	struct room room;

	/* All sequences of three reservations of 0-3 in each dimension. */
	for (int a = 0; a < 64 * 64 * 64; a++) {
		room_init(&room, &capacity);
		for (int i = 0, rest = a; i < 3; i++, rest /= 64) {
			struct resources r = { rest & 3, rest >> 2 & 3,
				rest >> 4 & 3 };
			struct resources before = room.used;
			bool fits = before.cpu_millis + r.cpu_millis <= 4 &&
			    before.memory_mib + r.memory_mib <= 4 &&
			    before.accelerators + r.accelerators <= 2;
			ASSERT_EQ(room_reserve(&room, &r) == ROOM_OK, fits);
			ASSERT_LE(room.used.cpu_millis, 4);
			ASSERT_LE(room.used.memory_mib, 4);
			ASSERT_LE(room.used.accelerators, 2);
			if (fits) {
				ASSERT_EQ(room_release(&room, &r), ROOM_OK);
				ASSERT_EQ(
				    room.used.cpu_millis, before.cpu_millis);
				ASSERT_EQ(room_reserve(&room, &r), ROOM_OK);
			}
		}
	}
}

TEST(Room, RefusesByReason)
{
	struct resources capacity = { 1000, 1000, 0 }, full = { 1000, 1, 0 },
			 one = { 1, 1, 0 }, card = { 1, 1, 1 },
			 negative = { -1, 0, 0 },
			 huge = { INT64_MAX, INT64_MAX, 0 };
	struct room room;

	room_init(&room, &capacity);
	EXPECT_EQ(room_reserve(&room, &full), ROOM_OK);
	EXPECT_EQ(room_reserve(&room, &one), ROOM_ERR_FULL);
	EXPECT_EQ(room_reserve(&room, &card), ROOM_ERR_TOO_LARGE);
	EXPECT_EQ(room_reserve(&room, &negative), ROOM_ERR_RANGE);
	EXPECT_EQ(room_reserve(&room, &huge), ROOM_ERR_RANGE);
	EXPECT_EQ(room_adopt(&room, &huge), ROOM_ERR_RANGE);
	EXPECT_EQ(room_release(&room, &capacity), ROOM_ERR_NOT_HELD);
	EXPECT_EQ(room_adopt(&room, &one), ROOM_OK);
	EXPECT_EQ(room.used.cpu_millis, 1001);
	EXPECT_EQ(room_reserve(&room, &one), ROOM_ERR_FULL);
}

// Guards against more being reserved in a VM than it held when it refused.
TEST(Room, ARefusalLimitsItToWhatItHolds)
{
	const struct resources capacity = { 8, 8, 0 }, two = { 2, 1, 0 };
	struct resources left;
	struct room room;

	room_init(&room, &capacity);
	ASSERT_EQ(room_reserve(&room, &two), ROOM_OK);
	ASSERT_EQ(room_reserve(&room, &two), ROOM_OK);
	room_limit(&room);
	room_get_free(&room, &left);
	EXPECT_EQ(left.cpu_millis, 0);
	EXPECT_EQ(room_check(&room, &two), ROOM_ERR_FULL);
	ASSERT_EQ(room_release(&room, &two), ROOM_OK);
	EXPECT_EQ(room_check(&room, &two), ROOM_OK);
	room_limit(&room);
	EXPECT_EQ(room_check(&room, &two), ROOM_ERR_FULL);
	room_lift_limit(&room);
	room_get_free(&room, &left);
	EXPECT_EQ(left.cpu_millis, 6);
}

TEST(Room, ALimitIsNoCapacityBeyondTheRecordedOne)
{
	const struct resources capacity = { 8, 8, 0 }, six = { 6, 6, 0 };
	const struct resources small = { 4, 4, 0 }, one = { 1, 1, 0 };
	struct room room;

	room_init(&room, &capacity);
	ASSERT_EQ(room_reserve(&room, &six), ROOM_OK);
	room_limit(&room);
	room_set_capacity(&room, &small);
	ASSERT_EQ(room_release(&room, &one), ROOM_OK);
	EXPECT_EQ(room_check(&room, &one), ROOM_ERR_FULL);
}
