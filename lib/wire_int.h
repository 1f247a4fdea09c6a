#ifndef WIRE_INT_H
#define WIRE_INT_H

#include "wire.h"

/* Reader of untrusted msgpack, shared by the payload codecs. */

/* Reads the items of one array in order; keeps the first error. */
struct wire_reader {
	const msgpack_object *at;
	size_t left;
	enum wire_error error;
};

/* Decodes the items of the outermost array into out. */
typedef void wire_body(struct wire_reader *, void *out);

/* Decodes a buffer of exactly one array; body must read all its items. */
enum wire_error wire_decode_body(const void *, size_t, wire_body *, void *out);

/* After an error, these return NULL, 0, "" or an empty array. */
const msgpack_object *wire_next(struct wire_reader *, msgpack_object_type);
uint64_t wire_uint(struct wire_reader *, uint64_t max);
void wire_str(struct wire_reader *, char *, size_t);
/* The same, but of an identifier; see valid_token(). */
void wire_token(struct wire_reader *, char *, size_t);
struct wire_reader wire_array(struct wire_reader *, size_t max);
/* Passes on an error of inner; items left unread are one, too. */
void wire_end_array(struct wire_reader *, const struct wire_reader *inner);

void wire_put_str(msgpack_packer *, const char *);

#endif /* WIRE_INT_H */
