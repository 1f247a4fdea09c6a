#ifndef REFUSED_H
#define REFUSED_H

#include <sys/queue.h>

#include <stddef.h>

/*
 * Entries of the store that can't be used, by their keys.  Lists are read
 * again every few seconds: without this memory one entry of another writer
 * would be logged and counted as often, and hide what is new.
 */

struct refused_entry;
TAILQ_HEAD(refused_list, refused_entry);

struct refused {
	struct refused_list list; /* the latest first */
	size_t n;
	const char *counter; /* raised by its reason for each new entry */
};

void refused_init(struct refused *, const char *counter);
void refused_free(struct refused *);
/* Log and count it, unless the key was refused for that reason before. */
void refused_note(struct refused *, const char *key, const char *reason);
/* The key has an entry that can be used, or none any more. */
void refused_clear(struct refused *, const char *key);

#endif /* REFUSED_H */
