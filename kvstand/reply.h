#ifndef REPLY_H
#define REPLY_H

#include "httpd.h"

/* How the stand-in answers. */

extern const struct httpd_header gateway_json;

/* Gives the body up; NULL is answered by a reset. */
void gateway_reply(struct httpd_request *, int status, char *body);
/* The connection ends without a whole answer. */
void gateway_lose(struct httpd_request *);

#endif /* REPLY_H */
