#include <err.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "log.h"
#include "settings.h"
#include "gateway.h"

#define EXIT_LISTEN 1

static void parse(struct gateway_options *, int, char **);
static void on_signal(uv_signal_t *, int);

static struct gateway *gateway;
static uv_signal_t sigterm;
static uv_signal_t sigint;

static void
parse(struct gateway_options *o, int argc, char **argv)
{
	static int64_t port, history, progress_ms, seed;
	struct setting table[] = {
		{ "ip", "KVSTAND_IP", "IP number to listen on", NULL,
		    SETTING_IP, &o->ip, 0, 0, "127.0.0.1", NULL, NULL },
		{ "port", "KVSTAND_PORT", "port to listen on; 0: any free one",
		    NULL, SETTING_INTEGER, &port, 0, 65535, "2379", NULL,
		    NULL },
		{ "history", "KVSTAND_HISTORY", "versions kept", NULL,
		    SETTING_INTEGER, &history, 100, 10000000, "10000", NULL,
		    NULL },
		{ "progress-ms", "KVSTAND_PROGRESS_MS",
		    "between messages to idle watches", "ms", SETTING_INTEGER,
		    &progress_ms, 10, 3600000, "10000", NULL, NULL },
		{ "seed", "KVSTAND_SEED", "seed of the faults", NULL,
		    SETTING_INTEGER, &seed, 0, 2147483647, "1", NULL, NULL },
	};
	struct settings_options so;
	struct settings_args args;

	memset(&so, 0, sizeof(so));
	so.program = "kvstand";
	so.doc = "Play the platform's key-value service.";
	so.table = table;
	so.n = sizeof(table) / sizeof(table[0]);
	settings_parse(&so, argc, argv, &args);
	o->port = (int)port;
	o->history_max = (size_t)history;
	o->progress_ms = progress_ms;
	o->seed = (unsigned long)seed;
}

static void
on_signal(uv_signal_t *signal, int number)
{
	(void)signal;
	log_info("stopping", "signal=%d", number);
	gateway_close(gateway);
	uv_close((uv_handle_t *)&sigterm, NULL);
	uv_close((uv_handle_t *)&sigint, NULL);
}

int
main(int argc, char **argv)
{
	struct gateway_options options;
	enum gateway_error error;
	uv_loop_t *loop;

	memset(&options, 0, sizeof(options));
	parse(&options, argc, argv);
	loop = uv_default_loop();
	options.loop = loop;
	if ((gateway = gateway_open(&options, &error)) == NULL)
		errx(EXIT_LISTEN, "%s:%d: %s", options.ip, options.port,
		    gateway_strerror(error));
	log_info(
	    "listening", "ip=%s port=%d", options.ip, gateway_port(gateway));
	printf("%d\n", gateway_port(gateway));
	fflush(stdout);
	uv_signal_init(loop, &sigterm);
	uv_signal_init(loop, &sigint);
	uv_signal_start(&sigterm, on_signal, SIGTERM);
	uv_signal_start(&sigint, on_signal, SIGINT);
	uv_run(loop, UV_RUN_DEFAULT);
	return 0;
}
