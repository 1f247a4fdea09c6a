#ifndef RAWJSON_H
#define RAWJSON_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Finds members and rows in a JSON text without decoding their values.  The
 * parser refuses a whole document for one number out of range, one member
 * written twice or one value nested too deeply; with this, each row of a list
 * can be decoded by itself.  Values are checked for balanced brackets only;
 * nothing recurses.
 */

/* Part of a text that belongs to the caller. */
struct rawjson {
	const char *text;
	size_t len;
};

/*
 * Finds the value of a member of the object that the text is.  The name is
 * compared as it is written, without escapes; the first one counts.
 */
bool rawjson_member(
    struct rawjson object, const char *name, struct rawjson *value);

/*
 * Takes the next row from an array.  *rest is at first the whole array, and
 * then what follows the row.  Returns false after the last row.
 */
bool rawjson_row(struct rawjson *rest, struct rawjson *row);

#endif /* RAWJSON_H */
