/*
 * What membership costs an entry and how old its picture of the others gets,
 * by the size of the digest.  Entries are joined in memory; messages are
 * encoded and decoded as on the wire.  Prints a table; --check isn't timed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "member.h"
#include "wire.h"

#define TICK_MS 1000
#define WARM_TICKS 120
#define TICKS 600
#define FRAME_BYTES 68 /* ZMTP frame, TCP, IP and Ethernet headers */
#define NODES_MAX 80

struct node {
	struct members *members;
	int id;
};

struct totals {
	uint64_t messages;
	uint64_t bytes;
	int64_t now_ms;
};

static struct node nodes[NODES_MAX];
static struct totals totals;
static int64_t ages[NODES_MAX * NODES_MAX * TICKS];

static void
deliver(const struct member *to, const struct member_digest *digest, void *ctx)
{
	static struct member_digest copy;
	struct wire_header header;
	msgpack_sbuffer payload, message;
	const void *body;
	size_t len;

	(void)ctx;
	memset(&header, 0, sizeof(header));
	header.type = WIRE_GOSSIP;
	strlcpy(header.from, digest->records[0].id, sizeof(header.from));
	header.incarnation = digest->records[0].incarnation;
	header.sequence = digest->records[0].counter;
	msgpack_sbuffer_init(&payload);
	msgpack_sbuffer_init(&message);
	wire_encode_digest(&payload, digest);
	wire_encode(&message, &header, payload.data, payload.size);
	totals.messages++;
	totals.bytes += message.size + FRAME_BYTES;
	if (wire_decode(message.data, message.size, &header, &body, &len) !=
		WIRE_OK ||
	    wire_decode_digest(body, len, &copy) != WIRE_OK)
		abort();
	member_merge(
	    nodes[atoi(to->record.id + 1)].members, &copy, totals.now_ms);
	msgpack_sbuffer_destroy(&payload);
	msgpack_sbuffer_destroy(&message);
}

static struct member_options
options_of(int i, size_t digest_max, unsigned long seed)
{
	struct member_options o;

	memset(&o, 0, sizeof(o));
	snprintf(o.self.id, sizeof(o.self.id), "e%d", i);
	snprintf(o.self.address, sizeof(o.self.address), "10.20.30.%d:7100", i);
	snprintf(o.self.data_center, sizeof(o.self.data_center), "sala-norte%d",
	    i % 5);
	o.self.incarnation = 1796233715000;
	o.self.revision = 123456;
	o.self.held_slots = 60;
	o.self.needed_slots = 40;
	o.self.spare_connections = 400;
	o.self.store_answers = true;
	o.fanout = 2;
	o.heartbeat_ms = TICK_MS;
	o.silence_ms = 10000;
	o.pause_ms = 10000;
	o.forget_ms = 600000;
	o.digest_max = digest_max;
	o.seed = seed * 1000 + (unsigned long)i;
	o.on_send = deliver;
	return o;
}

static void
start(int count, size_t digest_max, unsigned long seed)
{
	struct member_options o;
	char shard[MEMBER_ID_MAX];
	int i, j;

	for (i = 0; i < count; i++) {
		o = options_of(i, digest_max, seed);
		nodes[i].members = member_open(&o, totals.now_ms);
	}
	for (i = 0; i < count; i++) {
		snprintf(shard, sizeof(shard), "sala-norte%d.rack%d", i % 5, i);
		member_own_shard(nodes[i].members, shard, 3);
		for (j = 0; j < count; j++) {
			o = options_of(j, digest_max, seed);
			member_registry_update(
			    nodes[i].members, &o.self, "", totals.now_ms);
		}
	}
}

static void
tick_all(int count)
{
	int i;

	totals.now_ms += TICK_MS;
	for (i = 0; i < count; i++)
		member_tick(nodes[i].members, totals.now_ms);
}

static int
compare(const void *a, const void *b)
{
	const int64_t *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

static void
run(int count, size_t digest_max, unsigned long seed)
{
	const struct member *member;
	struct timespec from, to;
	size_t n;
	double cpu_us, silent;
	int i, t;

	memset(&totals, 0, sizeof(totals));
	start(count, digest_max, seed);
	for (t = 0; t < WARM_TICKS; t++)
		tick_all(count);
	totals.messages = totals.bytes = 0;
	n = 0;
	silent = 0;
	cpu_us = 0;
	for (t = 0; t < TICKS; t++) {
		clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &from);
		tick_all(count);
		clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &to);
		cpu_us += (double)(to.tv_sec - from.tv_sec) * 1e6 +
		    (double)(to.tv_nsec - from.tv_nsec) / 1e3;
		for (i = 0; i < count; i++) {
			for (member = member_first(nodes[i].members);
			     member != NULL; member = member_next(member)) {
				ages[n++] = totals.now_ms - member->heard_ms;
				silent += ages[n - 1] >= 5000;
			}
		}
	}
	qsort(ages, n, sizeof(ages[0]), compare);
	printf("%7d %6zu %4lu %9.0f %10.0f %8.1f %7lld %7lld %7lld %9.2e\n",
	    count, digest_max, seed,
	    (double)totals.bytes / (double)totals.messages,
	    (double)totals.bytes * 2 / count / TICKS, cpu_us / count / TICKS,
	    (long long)ages[n / 2], (long long)ages[n * 999 / 1000],
	    (long long)ages[n - 1], silent / (double)n);
	for (i = 0; i < count; i++)
		member_close(nodes[i].members);
}

int
main(void)
{
	static const size_t digests[] = { 12, 16, 20, 28, 44 };
	unsigned long seed;
	size_t i;

	printf("%7s %6s %4s %9s %10s %8s %7s %7s %7s %9s\n", "entries",
	    "digest", "seed", "B/message", "B/s in+out", "us/tick", "p50_ms",
	    "p999_ms", "max_ms", "over 5 s");
	for (i = 0; i < sizeof(digests) / sizeof(digests[0]); i++) {
		for (seed = 1; seed <= 2; seed++) {
			run(9, digests[i], seed);
			run(80, digests[i], seed);
		}
	}
	return 0;
}
