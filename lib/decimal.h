#ifndef DECIMAL_H
#define DECIMAL_H

#include <stdint.h>

#include <jansson.h>

/*
 * 64-bit integers in the JSON of the store's gateway.  The gateway writes them
 * as decimal strings, since many JSON parsers keep only 53 bits of a number,
 * and accepts both forms.
 */

/* The value of a member; 0 when it is absent or isn't an integer. */
int64_t decimal_member(const json_t *object, const char *name);

#endif /* DECIMAL_H */
