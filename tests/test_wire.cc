#include <cstring>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C" {
#include "counter.h"
#include "wire.h"
#include "wireconf.h"
}

// A message may claim four thousand million items: the decoder's allocation
// must return NULL as in the daemon, not abort the test.
extern "C" const char *
__asan_default_options()
{
	return "allocator_may_return_null=1";
}

namespace {

struct Buffer {
	Buffer()
	{
		msgpack_sbuffer_init(&b);
	}
	~Buffer()
	{
		msgpack_sbuffer_destroy(&b);
	}
	std::string
	str() const
	{
		return std::string(b.data, b.size);
	}
	msgpack_sbuffer b;
};

std::string
Message(const std::string &payload)
{
	struct wire_header h = { WIRE_CREDITS, "e1", 7, 9, 1234567890123 };
	Buffer out;

	EXPECT_EQ(
	    WIRE_OK, wire_encode(&out.b, &h, payload.data(), payload.size()));
	return out.str();
}

enum wire_error
Decode(const std::string &s)
{
	struct wire_header h;
	const void *payload;
	size_t len;

	return wire_decode(s.data(), s.size(), &h, &payload, &len);
}

uint64_t
Refused(const char *reason)
{
	std::string labels = std::string("reason=\"") + reason + "\"";

	return counter_value(
	    counter_get("lagoonpin_peer_refused", labels.c_str()));
}

TEST(Wire, EnvelopeComesBack)
{
	std::string s = Message("payload");
	struct wire_header h;
	const void *payload;
	size_t len;

	ASSERT_EQ(WIRE_OK, wire_decode(s.data(), s.size(), &h, &payload, &len));
	EXPECT_EQ(WIRE_CREDITS, h.type);
	EXPECT_STREQ("e1", h.from);
	EXPECT_EQ(7u, h.incarnation);
	EXPECT_EQ(9u, h.to_incarnation);
	EXPECT_EQ(1234567890123u, h.sequence);
	EXPECT_EQ("payload", std::string((const char *)payload, len));
	EXPECT_GE((const char *)payload, s.data()); // not a copy
	EXPECT_LE((const char *)payload + len, s.data() + s.size());
}

TEST(Wire, EveryCutIsRefusedAndCounted)
{
	std::string s = Message("payload");
	uint64_t before = Refused("cut");

	for (size_t len = 0; len < s.size(); len++)
		EXPECT_EQ(WIRE_ERR_TRUNCATED, Decode(s.substr(0, len))) << len;
	EXPECT_EQ(before + s.size(), Refused("cut"));
}

TEST(Wire, WhatDoesNotFitIsRefusedByName)
{
	std::string good = Message("p"), version = good, type = good;
	std::string deep(64, '\x91'), huge("\xdd\xff\xff\xff\xff", 5);

	version[1] = 2;
	type[2] = WIRE_TYPE_END;
	EXPECT_EQ(WIRE_ERR_VERSION, Decode(version));
	EXPECT_EQ(WIRE_ERR_TYPE, Decode(type));
	EXPECT_EQ(WIRE_ERR_MALFORMED, Decode(good + "x"));
	EXPECT_EQ(WIRE_ERR_MALFORMED, Decode("\x01"));
	EXPECT_EQ(WIRE_ERR_MALFORMED, Decode("\xc1"));
	EXPECT_EQ(
	    WIRE_ERR_TOO_LARGE, Decode(std::string(WIRE_MESSAGE_MAX + 1, 'x')));
	EXPECT_NE(WIRE_OK, Decode(deep));
	EXPECT_NE(WIRE_OK, Decode(huge));
	EXPECT_GE(Refused("unknown_version"), 1u);
	EXPECT_STREQ("unknown_version", wire_strerror(WIRE_ERR_VERSION));
}

// A message with any single byte changed either decodes or is refused with a
// reason; under the sanitizers this also detects reads out of bounds.
TEST(Wire, ChangedBytesNeverBreakTheDecoders)
{
	struct member_digest d = {}, back;
	struct wire_transfers t = {}, tback;
	Buffer digest, transfers;

	d.nrecords = 3;
	for (size_t i = 0; i < d.nrecords; i++)
		snprintf(d.records[i].id, sizeof(d.records[i].id), "e%zu", i);
	d.nshards = 1;
	t.count = 2;
	wire_encode_digest(&digest.b, &d);
	wire_encode_transfers(&transfers.b, &t);
	for (int value = 0; value < 256; value++) {
		std::string s = digest.str();
		for (size_t i = 0; i < s.size(); i++) {
			std::string x = s;
			x[i] = (char)value;
			wire_decode_digest(x.data(), x.size(), &back);
		}
		s = transfers.str();
		for (size_t i = 0; i < s.size(); i++) {
			std::string x = s;
			x[i] = (char)value;
			wire_decode_transfers(x.data(), x.size(), &tback);
		}
	}
	EXPECT_EQ(
	    WIRE_OK, wire_decode_digest(digest.b.data, digest.b.size, &back));
}

TEST(Wire, DigestComesBack)
{
	static struct member_digest d, back;
	Buffer out;

	d.probe = true;
	d.nrecords = MEMBER_DIGEST_MAX;
	d.records[0] = { "e1", 5, 6, MEMBER_LEAVING, true, true, 42, 3, 2, 4,
		"10.0.0.1:7100", "sala-sur" };
	d.records[1] = { "e2", 7, 8, MEMBER_ALIVE, false, false, 0, 0, 0, 0, "",
		"" };
	d.nshards = 1;
	d.shards[0] = { "sala-sur.r1", "e1", 12 };
	wire_encode_digest(&out.b, &d);
	ASSERT_EQ(WIRE_OK, wire_decode_digest(out.b.data, out.b.size, &back));
	EXPECT_EQ(0,
	    memcmp(&d.records[0], &back.records[0],
		offsetof(struct member_record, spare_connections)));
	EXPECT_TRUE(back.probe);
	EXPECT_STREQ("10.0.0.1:7100", back.records[0].address);
	EXPECT_STREQ("sala-sur", back.records[0].data_center);
	EXPECT_EQ(8u, back.records[1].counter);
	EXPECT_FALSE(back.records[1].has_details);
	EXPECT_EQ((size_t)MEMBER_DIGEST_MAX, back.nrecords);
	EXPECT_STREQ("sala-sur.r1", back.shards[0].shard);
	EXPECT_EQ(12u, back.shards[0].epoch);
	// No entry may report another as dead.
	d.records[1].state = MEMBER_DEAD;
	Buffer dead;
	wire_encode_digest(&dead.b, &d);
	EXPECT_EQ(WIRE_ERR_MALFORMED,
	    wire_decode_digest(dead.b.data, dead.b.size, &back));
}

TEST(Wire, TransfersAndWantsComeBack)
{
	static struct wire_transfers t, back;
	struct wire_credit_request want = { "custodio", { 3, 4 }, { 5, 6 } },
				   wback;
	Buffer out, wanted;

	snprintf(t.service, sizeof(t.service), "custodio");
	t.load = { 7, 8 };
	t.count = WIRE_TRANSFERS_MAX;
	for (size_t i = 0; i < t.count; i++) { // in groups of different sizes
		t.items[i] = { "w", "r1", "e1", 12 + i / 5 % 2, { 3, 5 } };
		snprintf(
		    t.items[i].worker, sizeof(t.items[i].worker), "w%zu", i);
	}
	wire_encode_transfers(&out.b, &t);
	ASSERT_EQ(
	    WIRE_OK, wire_decode_transfers(out.b.data, out.b.size, &back));
	EXPECT_EQ(0, memcmp(&t, &back, sizeof(t)));
	wire_encode_credit_request(&wanted.b, &want);
	ASSERT_EQ(WIRE_OK,
	    wire_decode_credit_request(wanted.b.data, wanted.b.size, &wback));
	EXPECT_STREQ("custodio", wback.service);
	EXPECT_EQ(3, wback.amount.slots);
	EXPECT_EQ(6, wback.load.needed);
	// One transfer too many, in the last group.
	std::string s = out.str(), group("\x96\xa1r\xa1o\x01\xa1w\x01\x01", 10);
	ASSERT_EQ((char)0x9d, s[12]); // the array of 13 groups
	s[12] = (char)(s[12] + 1);
	EXPECT_EQ(WIRE_ERR_TOO_LARGE,
	    wire_decode_transfers(
		(s + group).data(), s.size() + group.size(), &back));
	s = "\xc0";
	EXPECT_EQ(WIRE_ERR_MALFORMED,
	    wire_decode_credit_request(s.data(), s.size(), &wback));
}

TEST(Wire, ConfigurationComesBackAndEveryCutIsRefused)
{
	struct conf_update updates[] = { { "lp/w/team/a", 7, "{}", 2 },
		{ "lp/w/team/b", 9, nullptr, 0 } };
	struct conf_delta d = { true, 3, 10, updates, 2 }, back;
	char *storage;
	Buffer out;

	ASSERT_EQ(WIRE_OK, wire_encode_config(&out.b, &d));
	ASSERT_EQ(WIRE_OK,
	    wire_decode_config(out.b.data, out.b.size, &back, &storage));
	EXPECT_TRUE(back.full);
	EXPECT_EQ(3, back.since);
	EXPECT_EQ(10, back.revision);
	ASSERT_EQ(2u, back.n);
	EXPECT_STREQ("lp/w/team/a", back.updates[0].key);
	EXPECT_STREQ("{}", back.updates[0].text);
	EXPECT_EQ(nullptr, back.updates[1].text);
	wire_config_free(&back, storage);
	for (size_t len = 0; len < out.b.size; len++) {
		EXPECT_NE(WIRE_OK,
		    wire_decode_config(out.b.data, len, &back, &storage));
		wire_config_free(&back, storage);
	}
}

} // namespace
