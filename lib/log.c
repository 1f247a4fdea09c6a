#include <ctype.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "clock.h"
#include "log.h"

#define LINE_MAX_BYTES 2048

static void format_time(char *, size_t);

static const char *const level_names[] = { "error", "warn", "info", "debug" };
static bool to_stdout;
static enum log_level threshold = LOG_LEVEL_INFO;
static char identity[128];

void
log_to_stdout(void)
{
	to_stdout = true;
}

void
log_set_level(enum log_level level)
{
	threshold = level;
}

int
log_parse_level(const char *name, enum log_level *level)
{
	size_t i;

	for (i = 0; i < sizeof(level_names) / sizeof(level_names[0]); i++) {
		if (strcmp(name, level_names[i]) == 0) {
			*level = (enum log_level)i;
			return 0;
		}
	}
	return -1;
}

void
log_set_identity(const char *key, const char *value)
{
	char quoted[64];

	snprintf(identity, sizeof(identity), " %s=%s", key,
	    log_quote(value, quoted, sizeof(quoted)));
}

static void
format_time(char *buf, size_t size)
{
	char date[32];
	struct tm tm;
	int64_t wall_ms;
	time_t seconds;

	wall_ms = clock_wall_ms();
	seconds = (time_t)(wall_ms / 1000);
	gmtime_r(&seconds, &tm);
	strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(buf, size, "%s.%03dZ", date, (int)(wall_ms % 1000));
}

void
log_event(enum log_level level, const char *event, const char *fmt, ...)
{
	char line[LINE_MAX_BYTES], date[64];
	va_list ap;
	int head;

	if (level > threshold)
		return;
	format_time(date, sizeof(date));
	head =
	    snprintf(line, sizeof(line), "time=%s level=%s event=%s%s%s", date,
		level_names[level], event, identity, fmt[0] == '\0' ? "" : " ");
	if (head < 0 || (size_t)head >= sizeof(line))
		return;
	va_start(ap, fmt);
	vsnprintf(line + head, sizeof(line) - (size_t)head, fmt, ap);
	va_end(ap);
	fprintf(to_stdout ? stdout : stderr, "%s\n", line);
	if (to_stdout)
		fflush(stdout);
}

const char *
log_quote(const char *value, char *buf, unsigned long size)
{
	unsigned long at;
	unsigned char c;

	if (size < 3) {
		if (size > 0)
			buf[0] = '\0';
		return buf;
	}
	at = 0;
	buf[at++] = '"';
	for (; *value != '\0' && at + 3 < size; value++) {
		c = (unsigned char)*value;
		if (c == '"' || c == '\\')
			buf[at++] = '\\';
		buf[at++] = iscntrl(c) ? '?' : (char)c;
	}
	buf[at++] = '"';
	buf[at] = '\0';
	return buf;
}
