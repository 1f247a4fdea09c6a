#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include "check.h"

static void check_line(struct check_watch *, const struct check_expected *);
static bool same_hash(const char *, uint64_t);

static const char *const names[] = { "right", "broken", "other_request",
	"other_body" };

uint64_t
check_hash(const void *body, size_t len)
{
	return XXH64(body, len, 0);
}

static bool
same_hash(const char *text, uint64_t hash)
{
	return strtoull(text, NULL, 16) == hash;
}

enum check_result
check_answer(
    const struct check_expected *expected, const char *answer, size_t len)
{
	enum check_result result;
	const char *id, *hash;
	json_int_t size;
	json_t *root;

	if ((root = json_loadb(answer, len, 0, NULL)) == NULL)
		return CHECK_BROKEN;
	if (json_unpack(root, "{s:s,s:I,s:s}", "request", &id, "size", &size,
		"hash", &hash) == -1)
		result = CHECK_BROKEN;
	else if (strcmp(id, expected->id) != 0)
		result = CHECK_OTHER_REQUEST;
	else if (size != (json_int_t)expected->size ||
	    !same_hash(hash, expected->hash))
		result = CHECK_OTHER_BODY;
	else
		result = CHECK_RIGHT;
	json_decref(root);
	return result;
}

static void
check_line(struct check_watch *w, const struct check_expected *expected)
{
	const char *id, *hash, *worker, *said;
	json_int_t line;
	json_t *root;
	int last;

	root = json_loadb(w->line, w->line_len, 0, NULL);
	said = json_string_value(json_object_get(root, "lagoonpin-watch"));
	if (said != NULL && strcmp(said, "reopen") == 0) {
		w->reopen = true;
		json_decref(root);
		return;
	}
	if (w->reopen || root == NULL ||
	    json_unpack(root, "{s:s,s:I,s:s,s:s,s:b}", "request", &id, "line",
		&line, "worker", &worker, "hash", &hash, "last", &last) == -1) {
		w->result = CHECK_BROKEN;
		json_decref(root);
		return;
	}
	if (strcmp(id, expected->id) != 0)
		w->result = CHECK_OTHER_REQUEST;
	else if (!same_hash(hash, expected->hash))
		w->result = CHECK_OTHER_BODY;
	else if (line == 1 && w->last_line > 0)
		w->moves++;
	else if (line != w->last_line + 1)
		w->result = CHECK_BROKEN;
	w->last_line = line;
	w->lines++;
	w->complete = last != 0;
	strlcpy(w->worker, worker, sizeof(w->worker));
	json_decref(root);
}

void
check_watch_data(struct check_watch *w, const struct check_expected *expected,
    const char *data, size_t len)
{
	size_t i;

	for (i = 0; i < len && w->result == CHECK_RIGHT; i++) {
		if (data[i] == '\n') {
			check_line(w, expected);
			w->line_len = 0;
		} else if (w->line_len < sizeof(w->line)) {
			w->line[w->line_len++] = data[i];
		} else {
			w->result = CHECK_BROKEN;
		}
	}
}

const char *
check_name(enum check_result result)
{
	return names[result];
}
