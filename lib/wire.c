#include <stdbool.h>
#include <string.h>

#include "counter.h"
#include "wire.h"
#include "wire_int.h"

#define ENVELOPE_ITEMS 7
#define RECORD_ITEMS 4
#define DETAILS_ITEMS 6
#define DIGEST_ITEMS 3
#define SHARD_ITEMS 3
#define TRANSFERS_ITEMS 4
#define GROUP_ITEMS 3
#define TRANSFER_ITEMS 3
#define CREDIT_REQUEST_ITEMS 5
#define AMOUNT_MAX 1000000

/* Flags of a member record, with its state in the low bits. */
#define FLAG_STATE 7
#define FLAG_STORE 8

static void put_record(msgpack_packer *, const struct member_record *);
static bool same_group(
    const struct credit_transfer *, const struct credit_transfer *);
static size_t group_size(const struct wire_transfers *, size_t);
static void put_group(msgpack_packer *, const struct credit_transfer *, size_t);
static void put_load(msgpack_packer *, struct lending_load);
static struct lending_load read_load(struct wire_reader *);
static void read_envelope(struct wire_reader *, void *);
static void read_record(struct wire_reader *, struct member_record *);
static void read_shard(struct wire_reader *, struct member_shard *);
static void read_digest(struct wire_reader *, void *);
static void read_group(struct wire_reader *, struct wire_transfers *);
static void read_transfers(struct wire_reader *, void *);
static void read_credit_request(struct wire_reader *, void *);

struct envelope {
	struct wire_header *header;
	const void *payload;
	size_t len;
};

void
wire_refused(const char *reason)
{
	counter_inc_reason("lagoonpin_peer_refused", reason);
}

enum wire_error
wire_encode(struct msgpack_sbuffer *out, const struct wire_header *header,
    const void *payload, size_t len)
{
	msgpack_packer pk;

	if (len > WIRE_MESSAGE_MAX - 2 * MEMBER_ID_MAX)
		return WIRE_ERR_TOO_LARGE;
	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, ENVELOPE_ITEMS);
	msgpack_pack_int(&pk, WIRE_VERSION);
	msgpack_pack_int(&pk, (int)header->type);
	wire_put_str(&pk, header->from);
	msgpack_pack_uint64(&pk, header->incarnation);
	msgpack_pack_uint64(&pk, header->to_incarnation);
	msgpack_pack_uint64(&pk, header->sequence);
	msgpack_pack_bin(&pk, len);
	if (msgpack_pack_bin_body(&pk, payload, len) != 0)
		return WIRE_ERR_MEMORY;
	return WIRE_OK;
}

static void
read_envelope(struct wire_reader *r, void *out)
{
	struct envelope *envelope = out;
	struct wire_header *header = envelope->header;
	const msgpack_object *o;
	uint64_t type;

	if (wire_uint(r, UINT64_MAX) != WIRE_VERSION && r->error == WIRE_OK)
		r->error = WIRE_ERR_VERSION;
	type = wire_uint(r, UINT64_MAX);
	if (r->error == WIRE_OK && (type == 0 || type >= WIRE_TYPE_END))
		r->error = WIRE_ERR_TYPE;
	header->type = (enum wire_type)type;
	wire_str(r, header->from, sizeof(header->from));
	header->incarnation = wire_uint(r, UINT64_MAX);
	header->to_incarnation = wire_uint(r, UINT64_MAX);
	header->sequence = wire_uint(r, UINT64_MAX);
	if ((o = wire_next(r, MSGPACK_OBJECT_BIN)) == NULL)
		return;
	envelope->payload = o->via.bin.ptr;
	envelope->len = o->via.bin.size;
}

enum wire_error
wire_decode(const void *data, size_t len, struct wire_header *header,
    const void **payload, size_t *payload_len)
{
	struct envelope envelope;
	enum wire_error error;

	memset(&envelope, 0, sizeof(envelope));
	memset(header, 0, sizeof(*header));
	envelope.header = header;
	error = wire_decode_body(data, len, read_envelope, &envelope);
	*payload = envelope.payload;
	*payload_len = envelope.len;
	return error;
}

static void
put_record(msgpack_packer *pk, const struct member_record *record)
{
	int flags;

	flags = (int)record->state | (record->store_answers ? FLAG_STORE : 0);
	msgpack_pack_array(
	    pk, RECORD_ITEMS + (record->has_details ? DETAILS_ITEMS : 0));
	wire_put_str(pk, record->id);
	msgpack_pack_uint64(pk, record->incarnation);
	msgpack_pack_uint64(pk, record->counter);
	msgpack_pack_int(pk, flags);
	if (!record->has_details)
		return;
	msgpack_pack_uint64(pk, record->revision);
	msgpack_pack_int(pk, record->held_slots);
	msgpack_pack_int(pk, record->needed_slots);
	msgpack_pack_int(pk, record->spare_connections);
	wire_put_str(pk, record->address);
	wire_put_str(pk, record->data_center);
}

enum wire_error
wire_encode_digest(
    struct msgpack_sbuffer *out, const struct member_digest *digest)
{
	msgpack_packer pk;
	size_t i;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, DIGEST_ITEMS);
	msgpack_pack_int(&pk, digest->probe ? 1 : 0);
	msgpack_pack_array(&pk, digest->nrecords);
	for (i = 0; i < digest->nrecords; i++)
		put_record(&pk, &digest->records[i]);
	msgpack_pack_array(&pk, digest->nshards);
	for (i = 0; i < digest->nshards; i++) {
		msgpack_pack_array(&pk, SHARD_ITEMS);
		wire_put_str(&pk, digest->shards[i].shard);
		wire_put_str(&pk, digest->shards[i].owner);
		msgpack_pack_uint64(&pk, digest->shards[i].epoch);
	}
	return WIRE_OK;
}

static void
read_record(struct wire_reader *r, struct member_record *record)
{
	struct wire_reader inner;
	uint64_t flags, state;

	memset(record, 0, sizeof(*record));
	inner = wire_array(r, RECORD_ITEMS + DETAILS_ITEMS);
	wire_str(&inner, record->id, sizeof(record->id));
	record->incarnation = wire_uint(&inner, UINT64_MAX);
	record->counter = wire_uint(&inner, UINT64_MAX);
	flags = wire_uint(&inner, FLAG_STATE | FLAG_STORE);
	state = flags & FLAG_STATE;
	/* Entries declare only these states; the others are inferred. */
	if (state != MEMBER_ALIVE && state != MEMBER_LEAVING &&
	    state != MEMBER_LEFT)
		inner.error = WIRE_ERR_MALFORMED;
	record->state = (enum member_state)state;
	record->store_answers = (flags & FLAG_STORE) != 0;
	if (inner.error == WIRE_OK && inner.left > 0) {
		record->has_details = true;
		record->revision = wire_uint(&inner, UINT64_MAX);
		record->held_slots = (int)wire_uint(&inner, AMOUNT_MAX);
		record->needed_slots = (int)wire_uint(&inner, AMOUNT_MAX);
		record->spare_connections = (int)wire_uint(&inner, AMOUNT_MAX);
		wire_str(&inner, record->address, sizeof(record->address));
		wire_str(
		    &inner, record->data_center, sizeof(record->data_center));
	}
	wire_end_array(r, &inner);
}

static void
read_shard(struct wire_reader *r, struct member_shard *shard)
{
	struct wire_reader inner;

	inner = wire_array(r, SHARD_ITEMS);
	wire_str(&inner, shard->shard, sizeof(shard->shard));
	wire_str(&inner, shard->owner, sizeof(shard->owner));
	shard->epoch = wire_uint(&inner, UINT64_MAX);
	wire_end_array(r, &inner);
}

static void
read_digest(struct wire_reader *r, void *out)
{
	struct member_digest *digest = out;
	struct wire_reader inner;

	digest->probe = wire_uint(r, 1) == 1;
	inner = wire_array(r, MEMBER_DIGEST_MAX);
	for (digest->nrecords = 0; inner.error == WIRE_OK && inner.left > 0;
	     digest->nrecords++)
		read_record(&inner, &digest->records[digest->nrecords]);
	wire_end_array(r, &inner);
	inner = wire_array(r, MEMBER_SHARDS_MAX);
	for (digest->nshards = 0; inner.error == WIRE_OK && inner.left > 0;
	     digest->nshards++)
		read_shard(&inner, &digest->shards[digest->nshards]);
	wire_end_array(r, &inner);
}

enum wire_error
wire_decode_digest(const void *data, size_t len, struct member_digest *digest)
{
	return wire_decode_body(data, len, read_digest, digest);
}

static bool
same_group(const struct credit_transfer *a, const struct credit_transfer *b)
{
	return a->epoch == b->epoch && strcmp(a->shard, b->shard) == 0 &&
	    strcmp(a->owner, b->owner) == 0;
}

/* Counts the transfers from first on with the same shard, owner and epoch. */
static size_t
group_size(const struct wire_transfers *transfers, size_t first)
{
	size_t n;

	for (n = 1; first + n < transfers->count; n++) {
		if (!same_group(
			&transfers->items[first], &transfers->items[first + n]))
			break;
	}
	return n;
}

static void
put_group(msgpack_packer *pk, const struct credit_transfer *items, size_t n)
{
	size_t i;

	msgpack_pack_array(pk, GROUP_ITEMS + TRANSFER_ITEMS * n);
	wire_put_str(pk, items->shard);
	wire_put_str(pk, items->owner);
	msgpack_pack_uint64(pk, items->epoch);
	for (i = 0; i < n; i++) {
		wire_put_str(pk, items[i].worker);
		msgpack_pack_int(pk, items[i].amount.slots);
		msgpack_pack_int(pk, items[i].amount.connections);
	}
}

enum wire_error
wire_encode_transfers(
    struct msgpack_sbuffer *out, const struct wire_transfers *transfers)
{
	msgpack_packer pk;
	size_t first, groups, n;

	groups = 0;
	for (first = 0; first < transfers->count; first += n) {
		n = group_size(transfers, first);
		groups++;
	}
	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, TRANSFERS_ITEMS);
	wire_put_str(&pk, transfers->service);
	put_load(&pk, transfers->load);
	msgpack_pack_array(&pk, groups);
	for (first = 0; first < transfers->count; first += n) {
		n = group_size(transfers, first);
		put_group(&pk, &transfers->items[first], n);
	}
	return WIRE_OK;
}

static void
put_load(msgpack_packer *pk, struct lending_load load)
{
	msgpack_pack_int(pk, load.held);
	msgpack_pack_int(pk, load.needed);
}

static struct lending_load
read_load(struct wire_reader *r)
{
	struct lending_load load;

	load.held = (int)wire_uint(r, AMOUNT_MAX);
	load.needed = (int)wire_uint(r, AMOUNT_MAX);
	return load;
}

static void
read_group(struct wire_reader *r, struct wire_transfers *transfers)
{
	struct credit_transfer common, *item;
	struct wire_reader inner;

	memset(&common, 0, sizeof(common));
	inner =
	    wire_array(r, GROUP_ITEMS + TRANSFER_ITEMS * WIRE_TRANSFERS_MAX);
	wire_str(&inner, common.shard, sizeof(common.shard));
	wire_str(&inner, common.owner, sizeof(common.owner));
	common.epoch = wire_uint(&inner, UINT64_MAX);
	while (inner.error == WIRE_OK && inner.left > 0) {
		if (transfers->count == WIRE_TRANSFERS_MAX) {
			inner.error = WIRE_ERR_TOO_LARGE;
			break;
		}
		item = &transfers->items[transfers->count++];
		*item = common;
		wire_str(&inner, item->worker, sizeof(item->worker));
		item->amount.slots = (int)wire_uint(&inner, AMOUNT_MAX);
		item->amount.connections = (int)wire_uint(&inner, AMOUNT_MAX);
	}
	wire_end_array(r, &inner);
}

static void
read_transfers(struct wire_reader *r, void *out)
{
	struct wire_transfers *transfers = out;
	struct wire_reader groups;

	transfers->count = 0;
	wire_str(r, transfers->service, sizeof(transfers->service));
	transfers->load = read_load(r);
	groups = wire_array(r, WIRE_TRANSFERS_MAX);
	while (groups.error == WIRE_OK && groups.left > 0)
		read_group(&groups, transfers);
	wire_end_array(r, &groups);
}

enum wire_error
wire_decode_transfers(
    const void *data, size_t len, struct wire_transfers *transfers)
{
	return wire_decode_body(data, len, read_transfers, transfers);
}

enum wire_error
wire_encode_credit_request(
    struct msgpack_sbuffer *out, const struct wire_credit_request *request)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, CREDIT_REQUEST_ITEMS);
	wire_put_str(&pk, request->service);
	msgpack_pack_int(&pk, request->amount.slots);
	msgpack_pack_int(&pk, request->amount.connections);
	put_load(&pk, request->load);
	return WIRE_OK;
}

static void
read_credit_request(struct wire_reader *r, void *out)
{
	struct wire_credit_request *request = out;

	wire_str(r, request->service, sizeof(request->service));
	request->amount.slots = (int)wire_uint(r, AMOUNT_MAX);
	request->amount.connections = (int)wire_uint(r, AMOUNT_MAX);
	request->load = read_load(r);
}

enum wire_error
wire_decode_credit_request(
    const void *data, size_t len, struct wire_credit_request *request)
{
	return wire_decode_body(data, len, read_credit_request, request);
}

const char *
wire_strerror(enum wire_error error)
{
	static const char *const names[] = { "ok", "no_memory",
		"unknown_version", "unknown_type", "cut", "too_large",
		"malformed" };

	if ((size_t)error >= sizeof(names) / sizeof(names[0]))
		return "unknown";
	return names[error];
}
