#ifndef REFUSED_H
#define REFUSED_H

#include <sys/queue.h>

#include <stddef.h>

/*
 * Keys of rejected store entries.  Lists are read again every few seconds;
 * without this list, an invalid entry would be logged and counted on every
 * read, and new ones would be lost among the repetitions.
 */

struct refused_entry;
TAILQ_HEAD(refused_list, refused_entry);

struct refused {
	struct refused_list list; /* most recent first */
	size_t n;
	const char *counter; /* of new entries, labelled by reason */
};

void refused_init(struct refused *, const char *counter);
void refused_free(struct refused *);
/* Logs and counts a rejected entry, unless its key already has this reason. */
void refused_note(struct refused *, const char *key, const char *reason);
/* Removes a key whose entry has become valid or was deleted. */
void refused_clear(struct refused *, const char *key);

#endif /* REFUSED_H */
