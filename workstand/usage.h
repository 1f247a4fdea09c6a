#ifndef USAGE_H
#define USAGE_H

#include <stddef.h>
#include <stdint.h>

/*
 * How long the calls of each service took here, in windows that are reported
 * only after a lag, as the platform's measurements are.
 */

struct usage;

struct usage_window {
	const char *service;
	int64_t end_ms;
	uint64_t calls;
	double p99_ms;
};

typedef void usage_visit(const struct usage_window *, void *ctx);

struct usage *usage_open(int64_t window_ms, int64_t lag_ms);
void usage_close(struct usage *);
int64_t usage_lag_ms(const struct usage *);
void usage_call(struct usage *, const char *service, double ms, int64_t now_ms);
/* The newest window of each service that is old enough to be reported. */
void usage_each(struct usage *, int64_t now_ms, usage_visit *, void *ctx);

#endif /* USAGE_H */
