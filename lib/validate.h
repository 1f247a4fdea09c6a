#ifndef VALIDATE_H
#define VALIDATE_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Checks of text that comes from outside the process: from the store, workers,
 * callers and peers.  Each text is checked once, where it is read, so that it
 * can be used later without another check.  size is that of the buffer that it
 * has to fit into, with its NUL.
 */

/*
 * An identifier: visible ASCII characters but for quotes and backslashes.  It
 * can be the value of a header, part of a key and a value in a log line.
 */
bool valid_token(const char *, size_t size);
/* A name that people gave: not empty, without control characters. */
bool valid_name(const char *, size_t size);
/* An IPv4 or IPv6 number. */
bool valid_ip(const char *);
/* IP:PORT, by number; an IPv6 address is in brackets. */
bool valid_address(const char *, size_t size);

#endif /* VALIDATE_H */
