#include <err.h>
#include <stdio.h>
#include <string.h>

#include "load.h"

#define NS_PER_US 1000

int64_t
load_now_us(void)
{
	return (int64_t)(uv_hrtime() / NS_PER_US);
}

void
load_ask(struct load *load, const struct load_question *q)
{
	struct httpc_request request;
	char address[SETTING_ADDRESS_SIZE], url[LOAD_URL_SIZE];

	settings_address_text(q->to, address, sizeof(address));
	snprintf(url, sizeof(url), "http://%s%s", address, q->path);
	memset(&request, 0, sizeof(request));
	request.method = q->method;
	request.url = url;
	request.body = q->body;
	request.body_len = q->body == NULL ? 0 : strlen(q->body);
	request.connect_timeout_ms = q->timeout_ms;
	request.timeout_ms = q->timeout_ms;
	request.on_done = q->on_done;
	request.ctx = q->ctx;
	if (httpc_start(load->httpc, &request) == NULL)
		err(1, "%s", url);
}
