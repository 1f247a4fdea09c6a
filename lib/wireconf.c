#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "wire_int.h"
#include "wireconf.h"

#define CONFIG_ITEMS 4
#define UPDATE_ITEMS 3
#define UPDATES_MAX 100000

struct config_out {
	struct conf_delta *delta;
	char *storage;
	size_t size;
	size_t used;
};

static void read_config(struct wire_reader *, void *);
static void read_update(
    struct wire_reader *, struct config_out *, struct conf_update *);
static const char *copy_string(
    struct wire_reader *, struct config_out *, const msgpack_object *);

enum wire_error
wire_encode_config(struct msgpack_sbuffer *out, const struct conf_delta *delta)
{
	const struct conf_update *update;
	msgpack_packer pk;
	size_t i;

	msgpack_packer_init(&pk, out, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, CONFIG_ITEMS);
	msgpack_pack_int(&pk, delta->full ? 1 : 0);
	msgpack_pack_int64(&pk, delta->since);
	msgpack_pack_int64(&pk, delta->revision);
	msgpack_pack_array(&pk, delta->n);
	for (i = 0; i < delta->n; i++) {
		update = &delta->updates[i];
		msgpack_pack_array(&pk, UPDATE_ITEMS);
		wire_put_str(&pk, update->key);
		msgpack_pack_int64(&pk, update->revision);
		/* An empty text marks a deletion, as no record is empty. */
		msgpack_pack_str(&pk, update->text == NULL ? 0 : update->len);
		if (update->text != NULL)
			msgpack_pack_str_body(&pk, update->text, update->len);
	}
	return out->size > WIRE_MESSAGE_MAX ? WIRE_ERR_TOO_LARGE : WIRE_OK;
}

/* Copies a string to the storage, NUL-terminated; "" if empty. */
static const char *
copy_string(
    struct wire_reader *r, struct config_out *out, const msgpack_object *o)
{
	char *to;

	if (o == NULL || o->via.str.size == 0)
		return "";
	if (out->size - out->used <= o->via.str.size) {
		r->error = WIRE_ERR_MALFORMED;
		return "";
	}
	to = out->storage + out->used;
	memcpy(to, o->via.str.ptr, o->via.str.size);
	to[o->via.str.size] = '\0';
	out->used += o->via.str.size + 1;
	return to;
}

static void
read_update(
    struct wire_reader *r, struct config_out *out, struct conf_update *update)
{
	const msgpack_object *text;
	struct wire_reader inner;

	inner = wire_array(r, UPDATE_ITEMS);
	update->key =
	    copy_string(&inner, out, wire_next(&inner, MSGPACK_OBJECT_STR));
	update->revision = (int64_t)wire_uint(&inner, INT64_MAX);
	text = wire_next(&inner, MSGPACK_OBJECT_STR);
	update->text = copy_string(&inner, out, text);
	update->len = text == NULL ? 0 : text->via.str.size;
	if (update->len == 0)
		update->text = NULL;
	wire_end_array(r, &inner);
}

static void
read_config(struct wire_reader *r, void *ctx)
{
	struct config_out *out = ctx;
	struct conf_delta *delta = out->delta;
	struct wire_reader inner;
	size_t count;

	delta->full = wire_uint(r, 1) == 1;
	delta->since = (int64_t)wire_uint(r, INT64_MAX);
	delta->revision = (int64_t)wire_uint(r, INT64_MAX);
	inner = wire_array(r, UPDATES_MAX);
	count = inner.left;
	if (inner.error == WIRE_OK) {
		delta->updates = calloc(count + 1, sizeof(*delta->updates));
		if (delta->updates == NULL)
			inner.error = WIRE_ERR_MEMORY;
	}
	for (; inner.error == WIRE_OK && inner.left > 0; delta->n++)
		read_update(&inner, out, &delta->updates[delta->n]);
	wire_end_array(r, &inner);
}

enum wire_error
wire_decode_config(
    const void *data, size_t len, struct conf_delta *delta, char **storage)
{
	struct config_out out;

	memset(delta, 0, sizeof(*delta));
	memset(&out, 0, sizeof(out));
	out.delta = delta;
	/* Each string has a header byte in the message: room for its NUL. */
	out.size = len + 1;
	*storage = out.storage = malloc(out.size);
	if (out.storage == NULL)
		return WIRE_ERR_MEMORY;
	return wire_decode_body(data, len, read_config, &out);
}

void
wire_config_free(struct conf_delta *delta, char *storage)
{
	free(delta->updates);
	delta->updates = NULL;
	free(storage);
}
