#ifndef RECORD_H
#define RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Operators' records: services, teams and the policy.  All schema versions of
 * a kind are parsed into the same struct.  A record is written in its original
 * schema, or in another one that can represent all of its fields.  Unknown
 * schemas and fields, wrong types and values out of range are rejected with the
 * name of the field.
 */

#define RECORD_NAME_SIZE 65 /* bytes of a name, including the NUL */
#define RECORD_FIELD_SIZE 64 /* bytes of a field name, including the NUL */
#define RECORD_KEY_SIZE 128 /* bytes of a record's key, including the NUL */
#define RECORD_TEXT_MAX 16384 /* bytes of a record's text */
#define RECORD_KEY_PREFIX "lp/w/"

#define RECORD_NO_LIMIT (-1) /* of a team: the field is missing */

enum record_kind { RECORD_SERVICE, RECORD_TEAM, RECORD_POLICY };
#define RECORD_NKINDS 3

enum record_error {
	RECORD_OK,
	RECORD_ERR_TOO_LARGE, /* the text is longer than RECORD_TEXT_MAX */
	RECORD_ERR_JSON, /* not JSON, or a duplicate field */
	RECORD_ERR_NOT_OBJECT,
	RECORD_ERR_UNKNOWN_SCHEMA, /* or the field is missing */
	RECORD_ERR_UNKNOWN_FIELD,
	RECORD_ERR_MISSING_FIELD,
	RECORD_ERR_TYPE,
	RECORD_ERR_RANGE,
	RECORD_ERR_WORD, /* not one of the allowed words */
	RECORD_ERR_NAME, /* invalid, or not the name in the key */
	RECORD_ERR_NOT_EXPRESSIBLE, /* the schema has no such field */
	RECORD_ERR_MEMORY
};

/* The error and the field, "" if it concerns no single field. */
struct record_fault {
	enum record_error error;
	char field[RECORD_FIELD_SIZE];
	char detail[96]; /* the allowed values, or "" */
};

/* Whether a service is tuned for tail latency or for throughput. */
enum service_class { SERVICE_TAIL, SERVICE_THROUGHPUT };

struct record_service {
	int64_t deadline_ms; /* of calls without a deadline of their own */
	enum service_class service_class;
	int64_t target_p99_ms;
	int64_t body_max; /* bytes of a call's body */
	int64_t hedge_percent; /* share of all calls that may be hedged */
	int64_t slots_per_call;
};

/*
 * Limits over the whole deployment, or RECORD_NO_LIMIT.  0 allows nothing and
 * is not valid for the call rate.
 */
struct record_team {
	int64_t cpu_millis;
	int64_t memory_mib;
	int64_t calls_per_s;
	int64_t tasks;
};

struct record_policy {
	int64_t tail_weight;
	int64_t throughput_weight;
	int64_t eviction_weight;
	int64_t retry_percent; /* retry budget, relative to recent successes */
	int64_t protect_after; /* evictions after which a task is protected */
	int64_t hold_off_ms; /* minimum time between evictions on a VM */
	int64_t explore_percent; /* share of choices made for exploration */
	int64_t half_life_ms; /* of the decay of learned effects */
};

struct record {
	enum record_kind kind;
	int schema; /* version of the original record */
	char name[RECORD_NAME_SIZE]; /* "" for the policy */
	union {
		struct record_service service;
		struct record_team team;
		struct record_policy policy;
	} as;
};

/*
 * Parses a record.  On an error *record is unchanged and *fault describes the
 * error; fault may be NULL.
 */
enum record_error record_parse(enum record_kind, const char *text, size_t len,
    struct record *record, struct record_fault *fault);

/*
 * Writes a record as JSON in the given schema, or in its own if schema is 0.
 * The caller frees *text.
 */
enum record_error record_text(
    const struct record *, int schema, char **text, struct record_fault *fault);

/* Sets the policy that applies while the store has none. */
void record_policy_default(struct record_policy *);

/* Whether a name consists of 1 to 64 letters, digits, '-', '_' and '.'. */
bool record_name_ok(const char *name);

const char *record_kind_name(enum record_kind); /* "service", ... */
bool record_kind_parse(const char *word, enum record_kind *kind);

/* Writes the store key to buf; NULL if the name is invalid or buf too small. */
const char *record_key(
    enum record_kind, const char *name, char *buf, size_t size);

/* Parses a store key into kind and name, which holds RECORD_NAME_SIZE bytes. */
bool record_key_parse(const char *key, enum record_kind *kind, char *name);

/* Returns a fixed word for each error, for responses and counters. */
const char *record_strerror(enum record_error);

#endif /* RECORD_H */
