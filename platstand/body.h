#ifndef BODY_H
#define BODY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "httpd.h"

/* Requests and answers with JSON bodies. */

/* The body of a request; NULL: it isn't JSON. */
json_t *body_read(struct httpd_request *);
/* Answer with the JSON, which is given up. */
void body_reply(struct httpd_request *, int status, json_t *);
/* A parameter of the query, as it stands there; false: there is none. */
bool query_text(
    struct httpd_request *, const char *name, char *buf, size_t size);
int64_t query_number(struct httpd_request *, const char *name);

#endif /* BODY_H */
