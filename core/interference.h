#ifndef INTERFERENCE_H
#define INTERFERENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Model of the interference between fillers and serving tasks, learnt from the
 * tail latencies that workers list.
 *
 * The tail of a serving task grows with its load as in a queue: it is the
 * shortest tail of the image divided by 1 - load.  Fillers on the same worker
 * multiply the load by 1 + the sum over the fillers of their effect times the
 * share of the worker's processors that they use.  The load changes within
 * seconds and is estimated per step; the effects are constant and are learnt
 * per pair of images.  The error of a predicted tail corrects load and effects
 * in proportion to their variances, as a Kalman filter does.
 */

#define INTERFERENCE_IMAGES_MAX 128
#define IMAGE_NONE (-1)

struct interference;

/*
 * Estimated load of a step's serving tasks without fillers; zeroed: nothing is
 * known.  The tasks serve the same users, so their loads rise and fall
 * together, and the tails of all of them correct one estimate.  Six tasks
 * listed each quarter of a second give it 24 tails a second.
 */
struct load_estimate {
	double load; /* 0 to 1 */
	double variance;
	int64_t at_ms; /* when it was last corrected; 0: never */
};

/* Use of a worker by fillers of one image. */
struct filler_usage {
	int filler; /* image */
	double share; /* of the worker's processors */
};

/* NULL: no memory. */
struct interference *interference_new(void);
void interference_free(struct interference *);

/* Return the number of an image, adding it if new; IMAGE_NONE: table full. */
int interference_image(struct interference *, const char *name);

/* Learn from the tail of a task and the usage by fillers on its worker. */
void interference_update(struct interference *, int serving,
    struct load_estimate *, const struct filler_usage *, size_t n,
    double tail_ms, double target_ms, int64_t now_ms);
/* The estimated load, or its prior before anything was learnt. */
double load_estimate_value(const struct load_estimate *);
/* Relative rise of load by a filler that uses all processors of the worker. */
double interference_effect(
    const struct interference *, int serving, int filler);
/* The load, including that of fillers, at which the tail meets the target. */
double interference_load_limit(
    const struct interference *, int serving, double target_ms);

/* Report the known effects, to be passed to the next leader. */
typedef void interference_pair_cb(
    const char *serving, const char *filler, double effect, void *ctx);
void interference_foreach(
    const struct interference *, interference_pair_cb *, void *ctx);
void interference_set_effect(struct interference *, const char *serving,
    const char *filler, double effect);

#endif /* INTERFERENCE_H */
