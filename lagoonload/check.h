#ifndef CHECK_H
#define CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Is an answer the whole answer to the caller's own request?  An endpoint of
 * workstand names the request's id, its size and the hash of its body.
 */

enum check_result {
	CHECK_RIGHT,
	CHECK_BROKEN, /* not the document that an endpoint sends */
	CHECK_OTHER_REQUEST, /* another request's id */
	CHECK_OTHER_BODY /* the endpoint got another body */
};

struct check_expected {
	const char *id;
	size_t size;
	uint64_t hash; /* xxhash of the body */
};

uint64_t check_hash(const void *body, size_t len);
enum check_result check_answer(
    const struct check_expected *, const char *answer, size_t len);

/* A watch: lines as they come, counted from 1 by each endpoint. */
struct check_watch {
	char line[1024];
	size_t line_len;
	long long last_line;
	char worker[64];
	uint64_t lines;
	uint64_t moves; /* to another endpoint */
	bool complete; /* the endpoint's last line came */
	bool reopen; /* the entry stops and asks to open it again */
	enum check_result result; /* the first fault found */
};

void check_watch_data(struct check_watch *, const struct check_expected *,
    const char *data, size_t len);

const char *check_name(enum check_result);

#endif /* CHECK_H */
