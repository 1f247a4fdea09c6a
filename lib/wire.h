#ifndef WIRE_H
#define WIRE_H

#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "credit.h"
#include "lending.h"
#include "member.h"

/*
 * Messages between entries, as msgpack: an envelope
 * [version, type, from, incarnation, to incarnation, sequence, payload]
 * and one payload for each type.  Anything that doesn't fit is refused by
 * name and counted as lagoonpin_peer_refused{reason="..."}; nothing of a
 * refused message is used.
 */

#define WIRE_VERSION 1
#define WIRE_MESSAGE_MAX 1048576 /* bytes */
#define WIRE_TRANSFERS_MAX 64 /* transfers in one message */

enum wire_type {
	WIRE_GOSSIP = 1, /* struct member_digest */
	WIRE_CREDITS, /* struct wire_transfers: given, or returned */
	WIRE_ABANDONED, /* struct wire_transfers: lost at the borrower */
	WIRE_CREDIT_REQUEST, /* struct wire_credit_request */
	WIRE_CONFIG, /* wireconf.h */
	WIRE_HOLDING_REPORT, /* struct wire_transfers without workers: a
				statement */
	WIRE_TYPE_END
};

enum wire_error {
	WIRE_OK,
	WIRE_ERR_MEMORY,
	WIRE_ERR_VERSION, /* not WIRE_VERSION */
	WIRE_ERR_TYPE, /* an unknown message type */
	WIRE_ERR_TRUNCATED, /* ends too early */
	WIRE_ERR_TOO_LARGE, /* over WIRE_MESSAGE_MAX, or too many items */
	WIRE_ERR_MALFORMED /* wrong kind of value, out of range, trailing bytes
			    */
};

struct wire_header {
	enum wire_type type;
	char from[MEMBER_ID_MAX];
	uint64_t incarnation;
	uint64_t to_incarnation; /* the receiver's, 0: any */
	uint64_t sequence; /* one count for all messages of an incarnation */
};

struct wire_transfers {
	char service[MEMBER_ID_MAX]; /* that this answers a want for; or "" */
	struct lending_load load; /* of the sender, for that service */
	size_t count;
	struct credit_transfer items[WIRE_TRANSFERS_MAX];
};

/* An entry short of credits asks a peer for some. */
struct wire_credit_request {
	char service[MEMBER_ID_MAX];
	struct credit_amount amount; /* the most that is wanted */
	struct lending_load load; /* of the sender */
};

/* Append a whole message; out is initialised by the caller. */
enum wire_error wire_encode(struct msgpack_sbuffer *out,
    const struct wire_header *, const void *payload, size_t len);
/* *payload points into data. */
enum wire_error wire_decode(const void *data, size_t len, struct wire_header *,
    const void **payload, size_t *payload_len);

enum wire_error wire_encode_digest(
    struct msgpack_sbuffer *out, const struct member_digest *);
enum wire_error wire_decode_digest(
    const void *, size_t len, struct member_digest *);
enum wire_error wire_encode_transfers(
    struct msgpack_sbuffer *out, const struct wire_transfers *);
enum wire_error wire_decode_transfers(
    const void *, size_t len, struct wire_transfers *);
enum wire_error wire_encode_credit_request(
    struct msgpack_sbuffer *out, const struct wire_credit_request *);
enum wire_error wire_decode_credit_request(
    const void *, size_t len, struct wire_credit_request *);

/* Count a refusal of the peer protocol. */
void wire_refused(const char *reason);
/* A word such as "unknown_version"; also the reason that is counted. */
const char *wire_strerror(enum wire_error);

#endif /* WIRE_H */
