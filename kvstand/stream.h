#ifndef STREAM_H
#define STREAM_H

#include <sys/queue.h>

#include "httpd.h"
#include "watch.h"

/* Watches over HTTP: each is an answer that goes on. */

struct stream;
LIST_HEAD(stream_list, stream);

/* Answers a request for a watch; the stream ends by itself. */
void stream_start(struct stream_list *, struct watches *,
    struct httpd_request *, const char *body, size_t len);
/* Reset them all. */
void stream_break_all(struct stream_list *);

#endif /* STREAM_H */
