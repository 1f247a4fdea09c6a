#ifndef TALLY_H
#define TALLY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "plan.h"

/*
 * What came of the requests: outcomes by kind, reasons, latencies, and the
 * findings that fail a run.
 */

struct tally;

/* What the caller knows in the end. */
enum tally_outcome {
	TALLY_ANSWERED,
	TALLY_NOT_RUN,
	TALLY_UNKNOWN, /* the entry said so */
	TALLY_NO_ANSWER, /* the connection or the time was over */
	TALLY_REOPEN, /* a watch that its entry asked to open again */
	TALLY_NOUTCOMES
};

/* Any of these fails the run. */
enum tally_fault {
	TALLY_WRONG_ANSWER, /* not the answer to this request */
	TALLY_CUT_AS_WHOLE, /* a shortened answer passed off as whole */
	TALLY_NO_OUTCOME, /* an entry's answer without its outcome */
	TALLY_RAN_TWICE, /* a non-idempotent request, by the audit */
	TALLY_RAN_THOUGH_NOT_RUN, /* told "not run" only, but it ran */
	TALLY_ANSWERED_WITHOUT_RUN, /* answered, but ran nowhere */
	TALLY_AUDIT_FAILED, /* the workers couldn't be asked */
	TALLY_JOB_LOST, /* accepted, but unknown later or never finished */
	TALLY_NFAULTS
};

/* NULL without memory. */
struct tally *tally_open(void);
void tally_close(struct tally *);

void tally_sent(struct tally *, enum plan_kind, bool repeat);
/* One try's outcome and reason, as "not-run" and "queue_full". */
void tally_reason(struct tally *, const char *outcome, const char *reason);
void tally_final(struct tally *, enum plan_kind, enum tally_outcome);
/* Of a call answered at its first try, through an entry or directly. */
void tally_latency(struct tally *, bool direct, double ms);
/* From the first try to the answer, repeats and waits included. */
void tally_total_latency(struct tally *, double ms);
void tally_fault(struct tally *, enum tally_fault, const char *id);
void tally_count(struct tally *, const char *name, uint64_t n);

uint64_t tally_finals(const struct tally *, enum tally_outcome);
uint64_t tally_faults(const struct tally *);
/* Latency at a quantile in ms; 0 without any. */
double tally_quantile(const struct tally *, bool direct, double quantile);

/* The caller drops the reference. */
json_t *tally_json(const struct tally *);
void tally_print(const struct tally *);

#endif /* TALLY_H */
