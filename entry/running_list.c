#include <stdlib.h>
#include <string.h>

#include "running_list.h"

/*
 * Workers are polled each second.  One not polled for this long is polled by
 * another member now.
 */
#define EXPIRE_MS 10000

static int
running_list_cmp(struct running_list *a, struct running_list *b)
{
	return strcmp(a->worker, b->worker);
}

RB_PROTOTYPE(running_lists, running_list, by_worker, running_list_cmp)
RB_GENERATE(running_lists, running_list, by_worker, running_list_cmp)

void
running_lists_init(struct running_lists *lists)
{
	RB_INIT(lists);
}

static void
list_free(struct running_lists *lists, struct running_list *list)
{
	RB_REMOVE(running_lists, lists, list);
	free(list->rows);
	free(list->texts);
	free(list);
}

void
running_lists_free(struct running_lists *lists)
{
	struct running_list *list;

	while ((list = RB_MIN(running_lists, lists)) != NULL)
		list_free(lists, list);
}

static struct running_list *
find_list(struct running_lists *lists, const char *worker)
{
	struct running_list key;

	strlcpy(key.worker, worker, sizeof(key.worker));
	return RB_FIND(running_lists, lists, &key);
}

const struct running_list *
running_list_find(
    struct running_lists *lists, const char *worker, uint64_t number)
{
	const struct running_list *list;

	list = find_list(lists, worker);
	return list != NULL && list->number == number ? list : NULL;
}

uint64_t
running_list_number(struct running_lists *lists, const char *worker)
{
	const struct running_list *list;

	list = find_list(lists, worker);
	return list != NULL ? list->number : 0;
}

void
running_list_remove(struct running_lists *lists, const char *worker)
{
	struct running_list *list;

	if ((list = find_list(lists, worker)) != NULL)
		list_free(lists, list);
}

/* Copy the rows and their checkpoints; returns false if out of memory. */
static bool
copy_rows(struct running_list *list, const struct poll_running *rows, size_t n)
{
	size_t i, len, size;
	char *at;

	size = 1;
	for (i = 0; i < n; i++)
		size += strlen(rows[i].checkpoint) + 1;
	list->rows = reallocarray(NULL, n + 1, sizeof(*rows));
	list->texts = malloc(size);
	if (list->rows == NULL || list->texts == NULL)
		return false;
	memcpy(list->rows, rows, n * sizeof(*rows));
	at = list->texts;
	for (i = 0; i < n; i++) {
		len = strlen(rows[i].checkpoint) + 1;
		memcpy(at, rows[i].checkpoint, len);
		list->rows[i].checkpoint = at;
		at += len;
	}
	list->n = n;
	return true;
}

void
running_list_put(struct running_lists *lists, const char *worker,
    uint64_t number, const struct poll_running *rows, size_t n, int64_t now_ms)
{
	struct running_list *list, *old;

	/*
	 * The rows may point to checkpoints in the current list, so copy them
	 * before freeing it.
	 */
	if ((list = calloc(1, sizeof(*list))) == NULL)
		return;
	strlcpy(list->worker, worker, sizeof(list->worker));
	list->number = number;
	list->updated_ms = now_ms;
	if (!copy_rows(list, rows, n)) {
		free(list->rows);
		free(list->texts);
		free(list);
		list = NULL;
	}
	if ((old = find_list(lists, worker)) != NULL)
		list_free(lists, old);
	if (list != NULL)
		RB_INSERT(running_lists, lists, list);
}

void
running_lists_expire(struct running_lists *lists, int64_t now_ms)
{
	struct running_list *list, *next;

	for (list = RB_MIN(running_lists, lists); list != NULL; list = next) {
		next = RB_NEXT(running_lists, lists, list);
		if (now_ms - list->updated_ms >= EXPIRE_MS)
			list_free(lists, list);
	}
}
