#ifndef SAMPLE_H
#define SAMPLE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Iterates over 0..n-1 in scattered order without repeats.  A random number
 * determines the start and a stride that is coprime to n.  Adjacent elements of
 * an array are often in the same rack, and a stride of 1 would sample one rack
 * only.
 */
struct sample {
	size_t n;
	size_t at;
	size_t stride;
	size_t left;
};

/* Start an iteration over the indexes below n. */
void sample_start(struct sample *, size_t n, uint64_t random);

/* Returns the next index, or n after the last one. */
size_t sample_next(struct sample *);

#endif /* SAMPLE_H */
