#ifndef STORE_CODEC_H
#define STORE_CODEC_H

#include "store.h"

/*
 * Message bodies of the store's JSON gateway.  Encoders return NUL-terminated
 * text that the caller frees, or NULL if out of memory.  Decoders return -1 if
 * the text is not a valid response or memory runs out.  Keys are bytes to the
 * store but text here: an entry whose key contains a NUL is left out, logged
 * and counted.
 */

char *store_encode_range(const struct store_range_request *);
char *store_encode_txn(const struct store_txn_request *);
char *store_encode_lease_grant(int64_t ttl_s);
char *store_encode_lease_id(int64_t lease);
char *store_encode_watch(const char *prefix, int64_t start_revision);

/* The caller frees a result with the function of the same type. */
int store_decode_range(const char *, size_t, struct store_range_result *);
void store_free_range(struct store_range_result *);
int store_decode_txn(const char *, size_t, struct store_txn_result *);
void store_free_txn(struct store_txn_result *);
int store_decode_lease(const char *, size_t, struct store_lease_result *);
int store_decode_keepalive(const char *, size_t, struct store_lease_result *);
/* Decodes the body of a rejected request: of a 4xx status instead of 200. */
enum store_error store_decode_refusal(const char *, size_t);

struct store_event {
	enum store_watch_event type;
	struct store_kv kv;
};

/* One message of a watch. */
struct store_watch_message {
	bool created;
	bool cancelled;
	int64_t compact_revision; /* 0: not compacted */
	int64_t revision;
	struct store_event *events;
	size_t nevents;
	int64_t refused_revision; /* of the last refused event; 0: none */
};

int store_decode_watch(const char *, size_t, struct store_watch_message *);
void store_free_watch(struct store_watch_message *);

#endif /* STORE_CODEC_H */
