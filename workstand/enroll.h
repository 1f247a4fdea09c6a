#ifndef ENROLL_H
#define ENROLL_H

#include "httpc.h"
#include "node.h"

/*
 * Puts the process's workers on the list of VMs, one after another, and
 * tries again until the list has them.
 */

struct enroll;

struct enroll_options {
	struct stand *stand;
	struct httpc *httpc;
	const char *ip; /* of the list's stand-in */
	int port;
};

struct enroll *enroll_open(const struct enroll_options *);
void enroll_close(struct enroll *);

#endif /* ENROLL_H */
