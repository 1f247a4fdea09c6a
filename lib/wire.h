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
 * and one payload for each type.  An invalid message is rejected as a whole
 * and counted as lagoonpin_peer_refused{reason="..."}.
 */

#define WIRE_VERSION 1
#define WIRE_MESSAGE_MAX 1048576 /* bytes */
#define WIRE_TRANSFERS_MAX 64 /* transfers in one message */

enum wire_type {
	WIRE_GOSSIP = 1, /* struct member_digest */
	WIRE_CREDITS, /* struct wire_transfers: granted or returned */
	WIRE_ABANDONED, /* struct wire_transfers: lost by the borrower */
	WIRE_CREDIT_REQUEST, /* struct wire_credit_request */
	WIRE_CONFIG, /* wireconf.h */
	/* struct wire_transfers without workers: a holding report */
	WIRE_HOLDING_REPORT,
	WIRE_TYPE_END
};

enum wire_error {
	WIRE_OK,
	WIRE_ERR_MEMORY,
	WIRE_ERR_VERSION, /* not WIRE_VERSION */
	WIRE_ERR_TYPE, /* unknown message type */
	WIRE_ERR_TRUNCATED, /* ends too early */
	WIRE_ERR_TOO_LARGE, /* over WIRE_MESSAGE_MAX, or too many items */
	/* wrong type, out of range, or trailing bytes */
	WIRE_ERR_MALFORMED
};

struct wire_header {
	enum wire_type type;
	char from[MEMBER_ID_MAX];
	uint64_t incarnation;
	uint64_t to_incarnation; /* of the receiver, 0: any */
	uint64_t sequence; /* one sequence for all messages of an incarnation */
};

struct wire_transfers {
	/* of the credit request that this answers, or "" */
	char service[MEMBER_ID_MAX];
	struct lending_load load; /* of the sender, for that service */
	size_t count;
	struct credit_transfer items[WIRE_TRANSFERS_MAX];
};

/* Request for credits from a peer. */
struct wire_credit_request {
	char service[MEMBER_ID_MAX];
	struct credit_amount amount; /* upper limit of the request */
	struct lending_load load; /* of the sender */
};

/* Appends a whole message to out, which the caller initialises. */
enum wire_error wire_encode(struct msgpack_sbuffer *out,
    const struct wire_header *, const void *payload, size_t len);
/* Decodes the envelope; *payload points into data. */
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

/* Counts a rejected message of the peer protocol. */
void wire_refused(const char *reason);
/* Returns a fixed word such as "unknown_version", also the counted reason. */
const char *wire_strerror(enum wire_error);

#endif /* WIRE_H */
