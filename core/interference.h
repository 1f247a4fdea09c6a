#ifndef INTERFERENCE_H
#define INTERFERENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * How much fillers of each image disturb serving tasks of each image, learnt
 * from the tails that workers list.
 *
 * The tail of a serving task grows with its load as in a queue: it is the
 * image's shortest tail over 1 - load.  Fillers beside it raise the load by a
 * factor: 1 + the sum over fillers of their effect times the share of the
 * worker's processors that they use.  The load swings within seconds and is
 * estimated for each step; the effects stay, and are learnt for each pair of
 * images.  A tail that isn't as predicted corrects load and effects in
 * proportion to what is not yet known of them.
 */

#define INTERFERENCE_IMAGES_MAX 128
#define IMAGE_NONE (-1)

struct interference;

/*
 * The load of a step's serving tasks without fillers; zeroed: nothing is known.
 * They serve the same users, so that their loads rise and fall together: the
 * tails of all of them, wherever they run, correct one estimate.  Of six tasks
 * listed each quarter of a second that is 24 tails a second for one load.
 */
struct load_estimate {
	double load; /* 0 to 1 */
	double variance;
	int64_t at_ms; /* when it was last corrected; 0: never */
};

/* What fillers of an image use beside it. */
struct filler_usage {
	int filler;
	double share; /* of the worker's processors */
};

/* NULL: no memory. */
struct interference *interference_new(void);
void interference_free(struct interference *);

/* The number of an image, made when first seen; IMAGE_NONE: none is free. */
int interference_image(struct interference *, const char *name);

/* The tail of one of the step's tasks, and what was beside it meanwhile. */
void interference_update(struct interference *, int serving,
    struct load_estimate *, const struct filler_usage *, size_t n,
    double tail_ms, double target_ms, int64_t now_ms);
/* The load to reckon with, also before anything was learnt. */
double load_estimate_value(const struct load_estimate *);
/* Rise of the load by a filler that uses all of the worker's processors. */
double interference_effect(
    const struct interference *, int serving, int filler);
/* The load, fillers' part included, at which the tail reaches the target. */
double interference_load_limit(
    const struct interference *, int serving, double target_ms);

/* Effects that are known, to hand them to a next leader. */
typedef void interference_pair_cb(
    const char *serving, const char *filler, double effect, void *ctx);
void interference_foreach(
    const struct interference *, interference_pair_cb *, void *ctx);
void interference_set_effect(struct interference *, const char *serving,
    const char *filler, double effect);

#endif /* INTERFERENCE_H */
