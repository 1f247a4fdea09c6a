#ifndef CODEC_H
#define CODEC_H

#include <stdbool.h>
#include <stddef.h>

#include <jansson.h>

#include "graph.h"
#include "scheduler.h"

/*
 * Encoding of jobs and their progress as JSON text, for the store and for
 * messages between entries.  Fields that an earlier version didn't write get
 * their default.
 */

/*
 * Encode a task's name as an array of CODEC_TASK_FIELDS.  Returns NULL if out
 * of memory.
 */
#define CODEC_TASK_FIELDS 4
json_t *codec_task(const struct task_name *);
/* Decode a task's name that begins at that column; false if invalid. */
bool codec_read_task(const json_t *row, size_t at, struct task_name *);

/*
 * The text is freed by the caller.  Returns NULL if out of memory or if a
 * string isn't UTF-8.
 */
char *codec_graph(const struct graph *, size_t *len);
/* Returns NULL if the text is invalid or if out of memory. */
struct graph *codec_read_graph(const char *, size_t len);

/* Encode what a new leader needs to know about a job that hasn't ended. */
char *codec_progress(const struct sched_job *, size_t *len);
/* Apply progress to a new job.  Returns -1 if the text is invalid. */
int codec_read_progress(struct sched_job *, const char *, size_t len);

/*
 * Encode the losses of a job's tasks alone, for the members that may lead next.
 * Returns NULL if out of memory.
 */
json_t *codec_losses(const struct sched_job *);
/* Add them to those that are loaded.  Returns -1 if the object is invalid. */
int codec_read_losses(struct sched_job *, const json_t *);

/* What the record of an ended job says. */
enum ended_record {
	ENDED_INVALID, /* another writer's, or damaged */
	ENDED_STATE, /* how the job ended */
	ENDED_TOMBSTONE /* no such job was stored, and none may be */
};

/* ended_ms: when the job ended, in ms since 1970; 0 if unknown. */
char *codec_ended(enum sched_job_state, int64_t ended_ms, size_t *len);
/* The record of a job that doesn't exist; written_ms: in ms since 1970. */
char *codec_tombstone(int64_t written_ms, size_t *len);
/* The state is set for ENDED_STATE only. */
enum ended_record codec_read_ended(
    const char *, size_t len, enum sched_job_state *);
/*
 * When the job ended, or the tombstone was written.  Returns 0 if the text is
 * invalid or of a version that didn't write it.
 */
int64_t codec_read_ended_ms(const char *, size_t len);

#endif /* CODEC_H */
