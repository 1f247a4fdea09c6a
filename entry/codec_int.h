#ifndef CODEC_INT_H
#define CODEC_INT_H

#include "codec.h"

/* Internal to the files of the codec. */

/* codec.c */
/*
 * Releases the value and returns its text, which the caller frees.  Returns
 * NULL if the value is NULL or if out of memory.
 */
char *codec_dump(json_t *, size_t *len);

#endif /* CODEC_INT_H */
