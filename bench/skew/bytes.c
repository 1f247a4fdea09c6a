#include <stdio.h>
#include <string.h>

#include "skew.h"
#include "wire.h"

#define FRAME_BYTES 68 /* ZMTP frame, TCP, IP and Ethernet headers */

/* Of the sizes that the daemon's have. */
#define FROM "e12"
#define SERVICE "custodio"
#define SHARD_FORMAT "sala-norte.r%s"
#define INCARNATION 1796233715000
#define SEQUENCE 100000

static double message_bytes(enum wire_type, const msgpack_sbuffer *);

static double
message_bytes(enum wire_type type, const msgpack_sbuffer *payload)
{
	struct wire_header header;
	msgpack_sbuffer out;
	double bytes;

	memset(&header, 0, sizeof(header));
	header.type = type;
	strlcpy(header.from, FROM, sizeof(header.from));
	header.incarnation = header.to_incarnation = INCARNATION;
	header.sequence = SEQUENCE;
	msgpack_sbuffer_init(&out);
	wire_encode(&out, &header, payload->data, payload->size);
	bytes = (double)out.size + FRAME_BYTES;
	msgpack_sbuffer_destroy(&out);
	return bytes;
}

double
want_bytes(struct lending_load load)
{
	struct wire_credit_request want;
	msgpack_sbuffer payload;
	double bytes;

	memset(&want, 0, sizeof(want));
	strlcpy(want.service, SERVICE, sizeof(want.service));
	want.load = load;
	want.amount.slots = want.amount.connections = load.needed;
	msgpack_sbuffer_init(&payload);
	wire_encode_credit_request(&payload, &want);
	bytes = 2 * message_bytes(WIRE_CREDIT_REQUEST, &payload);
	msgpack_sbuffer_destroy(&payload);
	return bytes;
}

double
transfers_bytes(const struct message *message)
{
	static struct wire_transfers transfers;
	msgpack_sbuffer payload;
	double bytes;
	size_t i;

	strlcpy(transfers.service, SERVICE, sizeof(transfers.service));
	transfers.count = message->count;
	for (i = 0; i < message->count; i++) {
		transfers.items[i] = message->items[i];
		snprintf(transfers.items[i].shard,
		    sizeof(transfers.items[i].shard), SHARD_FORMAT,
		    message->items[i].shard);
	}
	msgpack_sbuffer_init(&payload);
	wire_encode_transfers(&payload, &transfers);
	bytes = 2 * message_bytes(WIRE_CREDITS, &payload);
	msgpack_sbuffer_destroy(&payload);
	return bytes;
}
