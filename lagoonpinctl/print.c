#include <err.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

#define NAME_SIZE 96
#define COLUMNS_MAX 32
#define COLUMN_GAP 2 /* spaces between columns */

struct columns {
	char names[COLUMNS_MAX][NAME_SIZE];
	int widths[COLUMNS_MAX];
	int n;
};

static json_t *flatten(json_t *);
static void flatten_into(json_t *, const char *, json_t *);
static char *value_text(json_t *);
static void add_column(struct columns *, const char *);
static void find_columns(struct columns *, json_t *);
static void print_row(FILE *, const struct columns *, json_t *);

/* Flattens nested objects to GROUP.FIELD; fields of "record" get no prefix. */
static json_t *
flatten(json_t *object)
{
	json_t *flat;

	if ((flat = json_object()) == NULL)
		err(CTL_REFUSED, "print");
	flatten_into(flat, "", object);
	return flat;
}

static void
flatten_into(json_t *flat, const char *prefix, json_t *object)
{
	char name[NAME_SIZE];
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		snprintf(name, sizeof(name), "%s%s%s", prefix,
		    *prefix == '\0' ? "" : ".", key);
		if (!json_is_object(value))
			json_object_set(flat, name, value);
		else if (*prefix == '\0' && strcmp(key, "record") == 0)
			flatten_into(flat, "", value);
		else
			flatten_into(flat, name, value);
	}
}

static char *
value_text(json_t *value)
{
	char *text;

	if (value == NULL || json_is_null(value))
		text = strdup("-");
	else if (json_is_string(value))
		text = strdup(*json_string_value(value) == '\0' ?
			"-" :
			json_string_value(value));
	else
		text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	if (text == NULL)
		err(CTL_REFUSED, "print");
	return text;
}

void
ctl_print_object(FILE *f, json_t *object)
{
	const char *key;
	json_t *flat, *value;
	char *text;
	int width;

	width = 0;
	flat = flatten(object);
	json_object_foreach(flat, key, value)
	{
		if ((int)strlen(key) > width)
			width = (int)strlen(key);
	}
	json_object_foreach(flat, key, value)
	{
		text = value_text(value);
		fprintf(f, "%-*s%s\n", width + COLUMN_GAP, key, text);
		free(text);
	}
	json_decref(flat);
}

static void
add_column(struct columns *c, const char *name)
{
	int i;

	for (i = 0; i < c->n; i++) {
		if (strcmp(c->names[i], name) == 0)
			return;
	}
	if (c->n == COLUMNS_MAX)
		return;
	strlcpy(c->names[c->n], name, NAME_SIZE);
	c->widths[c->n] = (int)strlen(name);
	c->n++;
}

/* Identifying columns come first, the rest in the order of the response. */
static void
find_columns(struct columns *c, json_t *rows)
{
	static const char *const first[] = { "id", "job", "index", "name",
		"shard", "owner", "state", "revision" };
	const char *key;
	json_t *row, *value;
	char *text;
	size_t i;
	int j;

	c->n = 0;
	for (j = 0; j < (int)(sizeof(first) / sizeof(first[0])); j++) {
		if (json_object_get(json_array_get(rows, 0), first[j]) != NULL)
			add_column(c, first[j]);
	}
	json_array_foreach(rows, i, row)
	{
		json_object_foreach(row, key, value) add_column(c, key);
	}
	json_array_foreach(rows, i, row)
	{
		for (j = 0; j < c->n; j++) {
			text = value_text(json_object_get(row, c->names[j]));
			if ((int)strlen(text) > c->widths[j])
				c->widths[j] = (int)strlen(text);
			free(text);
		}
	}
}

static void
print_row(FILE *f, const struct columns *c, json_t *row)
{
	char *text;
	int j;

	for (j = 0; j < c->n; j++) {
		text = row == NULL ?
		    strdup(c->names[j]) :
		    value_text(json_object_get(row, c->names[j]));
		if (text == NULL)
			err(CTL_REFUSED, "print");
		if (j + 1 == c->n)
			fprintf(f, "%s\n", text);
		else
			fprintf(f, "%-*s", c->widths[j] + COLUMN_GAP, text);
		free(text);
	}
}

void
ctl_print_table(FILE *f, json_t *array)
{
	struct columns c;
	json_t *rows, *row;
	size_t i;

	if ((rows = json_array()) == NULL)
		err(CTL_REFUSED, "print");
	json_array_foreach(array, i, row)
	    json_array_append_new(rows, flatten(row));
	find_columns(&c, rows);
	if (json_array_size(rows) == 0)
		fprintf(f, "none\n");
	else
		print_row(f, &c, NULL);
	json_array_foreach(rows, i, row) print_row(f, &c, row);
	json_decref(rows);
}

void
ctl_print_json(FILE *f, json_t *value)
{
	json_dumpf(value, f, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
	fputc('\n', f);
}
