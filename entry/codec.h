#ifndef CODEC_H
#define CODEC_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "graph.h"
#include "scheduler.h"

/*
 * Jobs and their progress as JSON text, for the store and for messages
 * between entries.  What an earlier version didn't write has its default.
 */

/* A task's name as a row of so many fields; NULL: no memory. */
#define CODEC_TASK_FIELDS 4
json_t *codec_task(const struct task_name *);
/* The same from that column of a row on; false: it isn't one. */
bool codec_read_task(const json_t *row, size_t at, struct task_name *);

/* Freed by the caller; NULL: no memory, or text that isn't UTF-8. */
char *codec_graph(const struct graph *, size_t *len);
/* NULL: damaged, or no memory. */
struct graph *codec_read_graph(const char *, size_t len);

/* What a next leader needs to know of a job that hasn't ended. */
char *codec_progress(const struct sched_job *, size_t *len);
/* -1: damaged.  The job must be new. */
int codec_read_progress(struct sched_job *, const char *, size_t len);

/* A job that ended, and when: milliseconds since 1970; 0: not told. */
char *codec_ended(enum sched_job_state, int64_t ended_ms, size_t *len);
int codec_read_ended(const char *, size_t len, enum sched_job_state *);
/* 0: not told, as by an earlier version, or damaged. */
int64_t codec_read_ended_ms(const char *, size_t len);

#endif /* CODEC_H */
