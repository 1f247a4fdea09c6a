#ifndef REPORT_H
#define REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "httpd.h"
#include "node.h"

/*
 * What a worker tells: its owner about the tasks, and a test about all that
 * happened here.  The paths for tests are
 *	GET /stats		this worker
 *	GET /stats/all		all workers of the process, and violations
 *	GET /stats/tasks	starts of each task by attempt and worker
 *	POST /ran		{"ids":[...]} -> {"runs":[...]}
 *	POST /fault, /fault/all	{"mode","delay_ms","for_ms",
 *				 "probability_percent"}
 *	POST /leave		{"leaving":bool,"refuse":bool}
 */

/* True: the path was one for tests and is answered. */
bool report_handle(struct node *, struct httpd_request *);

/* Tasks, ends that wait, and calls in flight, of a shard. */
json_t *report_shard(struct node *, const char *shard);
/* Add "usage" and "services", as old as the lag makes them. */
void report_usage(
    struct node *, const char *shard, json_t *root, int64_t now_ms);

#endif /* REPORT_H */
