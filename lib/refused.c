#include <stdlib.h>
#include <string.h>

#include "counter.h"
#include "log.h"
#include "refused.h"

/* Keys kept; the oldest is dropped first and is logged again if read again. */
#define ENTRIES_MAX 1024
/* Bytes of a quoted key in the log; keys in the store have up to 200 bytes. */
#define QUOTED_MAX 512

struct refused_entry {
	TAILQ_ENTRY(refused_entry) link;
	const char *reason; /* static string */
	char key[];
};

void
refused_init(struct refused *r, const char *counter)
{
	TAILQ_INIT(&r->list);
	r->n = 0;
	r->counter = counter;
}

static void
entry_free(struct refused *r, struct refused_entry *entry)
{
	TAILQ_REMOVE(&r->list, entry, link);
	r->n--;
	free(entry);
}

void
refused_free(struct refused *r)
{
	struct refused_entry *entry;

	while ((entry = TAILQ_FIRST(&r->list)) != NULL)
		entry_free(r, entry);
}

static struct refused_entry *
entry_find(struct refused *r, const char *key)
{
	struct refused_entry *entry;

	TAILQ_FOREACH (entry, &r->list, link) {
		if (strcmp(entry->key, key) == 0)
			return entry;
	}
	return NULL;
}

static void
entry_add(struct refused *r, const char *key, const char *reason)
{
	struct refused_entry *entry;
	size_t len;

	len = strlen(key) + 1;
	/* If out of memory, the entry is logged again at the next read. */
	if ((entry = malloc(sizeof(*entry) + len)) == NULL)
		return;
	memcpy(entry->key, key, len);
	entry->reason = reason;
	TAILQ_INSERT_HEAD(&r->list, entry, link);
	if (++r->n > ENTRIES_MAX)
		entry_free(r, TAILQ_LAST(&r->list, refused_list));
}

void
refused_note(struct refused *r, const char *key, const char *reason)
{
	struct refused_entry *entry;
	char quoted[QUOTED_MAX];

	if ((entry = entry_find(r, key)) != NULL) {
		if (strcmp(entry->reason, reason) == 0)
			return;
		entry_free(r, entry);
	}
	entry_add(r, key, reason);
	counter_inc_reason(r->counter, reason);
	log_warn("entry_refused", "key=%s reason=%s",
	    log_quote(key, quoted, sizeof(quoted)), reason);
}

void
refused_clear(struct refused *r, const char *key)
{
	struct refused_entry *entry;

	if ((entry = entry_find(r, key)) != NULL)
		entry_free(r, entry);
}
