#include <stdbool.h>
#include <string.h>

#include "validate.h"
#include "wire.h"
#include "wire_int.h"

static enum wire_error count_error(enum wire_error);
static struct wire_reader reader_init(const msgpack_object *);

static enum wire_error
count_error(enum wire_error error)
{
	if (error != WIRE_OK)
		wire_refused(wire_strerror(error));
	return error;
}

void
wire_put_str(msgpack_packer *pk, const char *s)
{
	size_t len;

	len = strlen(s);
	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, s, len);
}

static struct wire_reader
reader_init(const msgpack_object *object)
{
	struct wire_reader r;

	memset(&r, 0, sizeof(r));
	if (object->type != MSGPACK_OBJECT_ARRAY) {
		r.error = WIRE_ERR_MALFORMED;
		return r;
	}
	r.at = object->via.array.ptr;
	r.left = object->via.array.size;
	return r;
}

const msgpack_object *
wire_next(struct wire_reader *r, msgpack_object_type type)
{
	if (r->error != WIRE_OK)
		return NULL;
	if (r->left == 0 || r->at->type != type) {
		r->error = WIRE_ERR_MALFORMED;
		return NULL;
	}
	r->left--;
	return r->at++;
}

uint64_t
wire_uint(struct wire_reader *r, uint64_t max)
{
	const msgpack_object *o;

	if ((o = wire_next(r, MSGPACK_OBJECT_POSITIVE_INTEGER)) == NULL)
		return 0;
	if (o->via.u64 > max) {
		r->error = WIRE_ERR_MALFORMED;
		return 0;
	}
	return o->via.u64;
}

void
wire_str(struct wire_reader *r, char *to, size_t size)
{
	const msgpack_object *o;

	to[0] = '\0';
	if ((o = wire_next(r, MSGPACK_OBJECT_STR)) == NULL)
		return;
	if (o->via.str.size == 0)
		return;
	if (o->via.str.size >= size ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size) != NULL) {
		r->error = WIRE_ERR_MALFORMED;
		return;
	}
	memcpy(to, o->via.str.ptr, o->via.str.size);
	to[o->via.str.size] = '\0';
}

void
wire_token(struct wire_reader *r, char *to, size_t size)
{
	wire_str(r, to, size);
	if (r->error == WIRE_OK && !valid_token(to, size))
		r->error = WIRE_ERR_MALFORMED;
}

struct wire_reader
wire_array(struct wire_reader *r, size_t max)
{
	struct wire_reader inner;
	const msgpack_object *o;

	memset(&inner, 0, sizeof(inner));
	if ((o = wire_next(r, MSGPACK_OBJECT_ARRAY)) == NULL) {
		inner.error = r->error;
		return inner;
	}
	inner = reader_init(o);
	if (inner.left > max)
		inner.error = WIRE_ERR_TOO_LARGE;
	return inner;
}

void
wire_end_array(struct wire_reader *r, const struct wire_reader *inner)
{
	if (r->error != WIRE_OK)
		return;
	r->error = inner->error;
	if (r->error == WIRE_OK && inner->left > 0)
		r->error = WIRE_ERR_MALFORMED;
}

/*
 * msgpack allocates the number of items that an array header declares.  More
 * items than the message can hold cost only address space, as no item is
 * written before its bytes are read.  Such a message is rejected as truncated,
 * or as out of memory if the allocation fails.
 */
enum wire_error
wire_decode_body(const void *data, size_t len, wire_body *body, void *out)
{
	msgpack_unpacked unpacked;
	msgpack_unpack_return got;
	struct wire_reader outer, r;
	size_t offset;

	if (len > WIRE_MESSAGE_MAX)
		return count_error(WIRE_ERR_TOO_LARGE);
	memset(&outer, 0, sizeof(outer));
	offset = 0;
	msgpack_unpacked_init(&unpacked);
	got = msgpack_unpack_next(&unpacked, data, len, &offset);
	if (got == MSGPACK_UNPACK_CONTINUE)
		outer.error = WIRE_ERR_TRUNCATED;
	else if (got == MSGPACK_UNPACK_NOMEM_ERROR)
		outer.error = WIRE_ERR_MEMORY;
	else if (got != MSGPACK_UNPACK_SUCCESS || offset != len)
		outer.error = WIRE_ERR_MALFORMED;
	else {
		r = reader_init(&unpacked.data);
		body(&r, out);
		wire_end_array(&outer, &r);
	}
	msgpack_unpacked_destroy(&unpacked);
	return count_error(outer.error);
}
