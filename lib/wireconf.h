#ifndef WIRECONF_H
#define WIRECONF_H

#include <stddef.h>

#include <msgpack.h>

#include "conf.h"
#include "wire.h"

/* Payload of WIRE_CONFIG: operators' records that an entry has loaded. */

enum wire_error wire_encode_config(
    struct msgpack_sbuffer *out, const struct conf_delta *);
/*
 * Keys and texts point to copies in *storage.  The caller frees both with
 * wire_config_free(), also after an error.
 */
enum wire_error wire_decode_config(
    const void *, size_t len, struct conf_delta *, char **storage);
void wire_config_free(struct conf_delta *, char *storage);

#endif /* WIRECONF_H */
