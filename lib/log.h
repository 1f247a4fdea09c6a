#ifndef LOG_H
#define LOG_H

/*
 * Structured log: each event is one line of key=value pairs, by default on
 * standard error, such as
 *
 * time=2026-12-02T17:45:35.123Z level=info event=task_started job=j1 task=3
 */

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG
};

/* Don't log events above this level; the default is info. */
void log_set_level(enum log_level);

/* Parse "error", "warn", "info" or "debug"; -1 for any other string. */
int log_parse_level(const char *, enum log_level *);

/* Log to standard output instead of standard error. */
void log_to_stdout(void);

/* Set a pair that follows the event in every line, such as entry=e1. */
void log_set_identity(const char *key, const char *value);

/*
 * Log one event.  The format yields further key=value pairs separated by
 * blanks, or is "".  Values that may contain blanks or come from outside the
 * process must be passed through log_quote() first.
 */
void log_event(enum log_level, const char *event, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/*
 * Quote a value: escapes quotes and backslashes, replaces control characters by
 * '?' and truncates the value to the buffer.  Returns buf.
 */
const char *log_quote(const char *value, char *buf, unsigned long size);

#define log_error(event, ...) log_event(LOG_LEVEL_ERROR, event, __VA_ARGS__)
#define log_warn(event, ...) log_event(LOG_LEVEL_WARN, event, __VA_ARGS__)
#define log_info(event, ...) log_event(LOG_LEVEL_INFO, event, __VA_ARGS__)
#define log_debug(event, ...) log_event(LOG_LEVEL_DEBUG, event, __VA_ARGS__)

#endif /* LOG_H */
