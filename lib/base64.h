#ifndef BASE64_H
#define BASE64_H

#include <stddef.h>

/*
 * Standard base64 with padding, as the store's JSON gateway encodes keys and
 * values; implemented with OpenSSL's EVP.
 */

/*
 * Returns a NUL-terminated string, freed by the caller.  NULL: out of memory or
 * input too long.
 */
char *base64_encode(const void *data, size_t len);

/*
 * Returns *len bytes and a terminating NUL, freed by the caller.  NULL: not
 * base64, or out of memory.
 */
char *base64_decode(const char *text, size_t text_len, size_t *len);

#endif /* BASE64_H */
