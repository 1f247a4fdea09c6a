#ifndef PLAN_H
#define PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * What the callers do: when each request comes, of which kind, for which
 * service, through which entry.  The same seed gives the same plan.
 */

#define PLAN_SERVICES_MAX 8
#define PLAN_NAME_SIZE 64

struct plan;

enum plan_kind {
	PLAN_IDEMPOTENT,
	PLAN_NON_IDEMPOTENT,
	PLAN_WATCH,
	PLAN_NKINDS
};

/* How the balancer before the entries chooses. */
enum plan_balance {
	PLAN_RANDOM,
	PLAN_ROUND_ROBIN,
	PLAN_SKEWED /* half of the requests go to the first entry */
};

struct plan_options {
	unsigned long seed;
	double rate_per_s;
	bool poisson; /* else at even distances */
	const char *services; /* NAME or NAME:SHARE, comma separated */
	int non_idempotent_percent;
	int watch_percent;
	int urgent_percent;
	enum plan_balance balance;
	size_t nentries;
	size_t ndirect; /* endpoints that every second call goes to; or 0 */
	int64_t body_bytes;
};

struct plan_request {
	uint64_t number; /* from 1 on */
	int64_t at_us; /* since the start */
	enum plan_kind kind;
	const char *service;
	bool urgent;
	bool direct; /* to an endpoint, past the entries */
	size_t body_bytes; /* from 1 to twice the mean */
};

/* NULL: no memory or services that can't be read. */
struct plan *plan_open(const struct plan_options *);
void plan_close(struct plan *);
void plan_next(struct plan *, struct plan_request *);
/* The balancer's choice for a request or a repeat. */
size_t plan_target(struct plan *, bool direct);

const char *plan_kind_name(enum plan_kind);

#endif /* PLAN_H */
