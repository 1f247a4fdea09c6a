#include <sys/queue.h>

#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>

#include "usage.h"

#define SAMPLES_MAX 512
#define WINDOWS_MAX 64

struct window {
	int64_t end_ms;
	uint64_t calls;
	double p99_ms;
};

struct service {
	SLIST_ENTRY(service) link;
	char *name;
	int64_t window_end_ms; /* of the open window; 0: none is open */
	uint64_t calls;
	double samples_ms[SAMPLES_MAX];
	struct window closed[WINDOWS_MAX]; /* a ring */
	size_t nclosed; /* ever */
};

SLIST_HEAD(service_list, service);

struct usage {
	int64_t window_ms;
	int64_t lag_ms;
	struct service_list services;
};

static struct service *find_service(struct usage *, const char *);
static void close_window(struct service *, int64_t now_ms);

struct usage *
usage_open(int64_t window_ms, int64_t lag_ms)
{
	struct usage *u;

	if ((u = calloc(1, sizeof(*u))) == NULL)
		return NULL;
	u->window_ms = window_ms;
	u->lag_ms = lag_ms;
	SLIST_INIT(&u->services);
	return u;
}

void
usage_close(struct usage *u)
{
	struct service *s;

	if (u == NULL)
		return;
	while ((s = SLIST_FIRST(&u->services)) != NULL) {
		SLIST_REMOVE_HEAD(&u->services, link);
		free(s->name);
		free(s);
	}
	free(u);
}

int64_t
usage_lag_ms(const struct usage *u)
{
	return u->lag_ms;
}

static struct service *
find_service(struct usage *u, const char *name)
{
	struct service *s;

	SLIST_FOREACH (s, &u->services, link) {
		if (strcmp(s->name, name) == 0)
			return s;
	}
	if ((s = calloc(1, sizeof(*s))) == NULL)
		return NULL;
	if ((s->name = strdup(name)) == NULL) {
		free(s);
		return NULL;
	}
	SLIST_INSERT_HEAD(&u->services, s, link);
	return s;
}

static void
close_window(struct service *s, int64_t now_ms)
{
	struct window *w;
	size_t n;

	if (s->window_end_ms == 0 || now_ms < s->window_end_ms)
		return;
	n = s->calls < SAMPLES_MAX ? (size_t)s->calls : SAMPLES_MAX;
	gsl_sort(s->samples_ms, 1, n);
	w = &s->closed[s->nclosed++ % WINDOWS_MAX];
	w->end_ms = s->window_end_ms;
	w->calls = s->calls;
	w->p99_ms =
	    gsl_stats_quantile_from_sorted_data(s->samples_ms, 1, n, 0.99);
	s->calls = 0;
	s->window_end_ms = 0;
}

void
usage_call(struct usage *u, const char *service, double ms, int64_t now_ms)
{
	struct service *s;

	if ((s = find_service(u, service)) == NULL)
		return;
	close_window(s, now_ms);
	if (s->window_end_ms == 0)
		s->window_end_ms = now_ms + u->window_ms;
	s->samples_ms[s->calls++ % SAMPLES_MAX] = ms;
}

void
usage_each(struct usage *u, int64_t now_ms, usage_visit *visit, void *ctx)
{
	struct usage_window view;
	struct service *s;
	struct window *w;
	size_t back;

	SLIST_FOREACH (s, &u->services, link) {
		close_window(s, now_ms);
		for (back = 1; back <= s->nclosed && back <= WINDOWS_MAX;
		     back++) {
			w = &s->closed[(s->nclosed - back) % WINDOWS_MAX];
			if (w->end_ms > now_ms - u->lag_ms)
				continue;
			view.service = s->name;
			view.end_ms = w->end_ms;
			view.calls = w->calls;
			view.p99_ms = w->p99_ms;
			visit(&view, ctx);
			break;
		}
	}
}
