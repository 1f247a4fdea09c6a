#ifndef WIRE_INT_H
#define WIRE_INT_H

#include "wire.h"

/* What the codecs of the payloads share: reading untrusted msgpack. */

/* Reads the items of one array in order; the first error sticks. */
struct wire_reader {
	const msgpack_object *at;
	size_t left;
	enum wire_error error;
};

/* Reads the items of the outermost array. */
typedef void wire_body(struct wire_reader *, void *out);

/* Decode a whole buffer, which must be one array used up by the body. */
enum wire_error wire_decode_body(const void *, size_t, wire_body *, void *out);

/* After an error these return NULL, 0, "" or an empty array. */
const msgpack_object *wire_next(struct wire_reader *, msgpack_object_type);
uint64_t wire_uint(struct wire_reader *, uint64_t max);
void wire_str(struct wire_reader *, char *, size_t);
struct wire_reader wire_array(struct wire_reader *, size_t max);
/* The inner array must be used up and without error. */
void wire_end_array(struct wire_reader *, const struct wire_reader *inner);

void wire_put_str(msgpack_packer *, const char *);

#endif /* WIRE_INT_H */
