#include <stdlib.h>
#include <string.h>

#include "reply.h"

const struct httpd_header gateway_json = { "content-type", "application/json" };

void
gateway_reply(struct httpd_request *r, int status, char *body)
{
	if (body == NULL) {
		gateway_lose(r);
		return;
	}
	httpd_reply(r, status, &gateway_json, 1, body, strlen(body));
	free(body);
}

void
gateway_lose(struct httpd_request *r)
{
	httpd_on_disconnect(r, NULL, NULL);
	httpd_begin(r, 200, &gateway_json, 1);
	httpd_abort(r);
}
