#ifndef GENERATE_H
#define GENERATE_H

#include <stdio.h>

/*
 * Write a trace of a deployment ("valdivieso" or "alexandria") at today's
 * size, drawn from a seed.  The held-out one has other interference, other
 * jobs and other faults, and is not used for tuning.  -1: no such
 * deployment.
 */
int generate(FILE *, const char *deployment, unsigned long seed, int held_out);

#endif /* GENERATE_H */
