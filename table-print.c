#include "cmd.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/*
 * Prints JSON as text tables.  A list of objects has a column per key, an
 * object has a line per member, and lists of objects within an object follow it
 * as separate tables.
 */

#define COLUMN_GAP 2

/*
 * Returns the text of a cell.  Control characters become blanks, so that they
 * do not reach a terminal.
 */
static char *cell_text(const json_t *j)
{
	char *text, *p;

	if (!j || json_is_null(j))
		return xstrdup("-");
	if (json_is_string(j))
		text = xstrdup(json_string_value(j));
	else {
		text = json_dumps(j, JSON_COMPACT | JSON_ENCODE_ANY);
		if (!text)
			abort();
	}
	for (p = text; *p; p++)
		if (iscntrl((unsigned char)*p))
			*p = ' ';
	return text;
}

/*
 * Returns the number of characters of a UTF-8 text, by counting all bytes but
 * continuation bytes.
 */
static size_t text_width(const char *text)
{
	size_t n = 0;

	for (; *text; text++)
		n += ((unsigned char)*text & 0xc0) != 0x80;
	return n;
}

/*
 * Prints a cell, padded to the column's width, or the last cell of a line with
 * a newline.
 */
static void cell_print(FILE *f, const char *text, size_t width, bool last)
{
	size_t n = text_width(text);

	fputs(text, f);
	if (last)
		fputc('\n', f);
	else
		fprintf(f, "%*s", (int)(width - n + COLUMN_GAP), "");
}

/* Returns true if j is a non-empty list of objects. */
static bool is_rows(const json_t *j)
{
	return json_is_array(j) && json_is_object(json_array_get(j, 0));
}

/* Returns true if any row has this key. */
static bool rows_have_key(const json_t *rows, const char *key)
{
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row) {
		if (json_object_get(row, key))
			return true;
	}
	return false;
}

/*
 * Returns the keys of all rows, as the members of an object.  Keys that
 * identify a row come first, for readability; the others follow in order of
 * appearance.
 */
static json_t *rows_keys(const json_t *rows)
{
	static const char *const identifiers[] = {
		"job", "revision", "vm", "key", "wave", "team", "pool", "unit",
	};
	json_t *keys = json_object(), *row;
	const char *key;
	json_t *value;
	size_t i;

	for (i = 0; i < NELEMS(identifiers); i++)
		if (rows_have_key(rows, identifiers[i]))
			json_object_set_new(keys, identifiers[i], json_true());
	json_array_foreach(rows, i, row) {
		json_object_foreach(row, key, value) {
			if (!json_object_get(keys, key))
				json_object_set_new(keys, key, json_true());
		}
	}
	return keys;
}

/* Returns the width of a column, including its heading. */
static size_t column_width(const json_t *rows, const char *key)
{
	size_t i, n, width = text_width(key);
	json_t *row;
	char *text;

	json_array_foreach(rows, i, row) {
		text = cell_text(json_object_get(row, key));
		n = text_width(text);
		if (n > width)
			width = n;
		free(text);
	}
	return width;
}

/* Prints a row, or the headings if row is NULL. */
static void row_print(FILE *f, json_t *keys, const json_t *row,
		      const size_t *widths)
{
	size_t column = 0, last = json_object_size(keys) - 1;
	const char *key;
	json_t *value;
	char *text, *p;

	json_object_foreach(keys, key, value) {
		if (row)
			text = cell_text(json_object_get(row, key));
		else {
			text = xstrdup(key);
			for (p = text; *p; p++)
				*p = (char)toupper((unsigned char)*p);
		}
		cell_print(f, text, widths[column], column == last);
		free(text);
		column++;
	}
}

/* Prints a list of objects as a table. */
static void rows_print(FILE *f, const json_t *rows)
{
	json_t *keys = rows_keys(rows), *row, *value;
	size_t *widths, i = 0;
	const char *key;

	if (!json_object_size(keys)) {
		json_decref(keys);
		return;
	}
	widths = xcalloc(json_object_size(keys), sizeof(*widths));
	json_object_foreach(keys, key, value) {
		widths[i++] = column_width(rows, key);
	}
	row_print(f, keys, NULL, widths);
	json_array_foreach(rows, i, row)
		row_print(f, keys, row, widths);
	free(widths);
	json_decref(keys);
}

/* Prints an object: first the members that take one line, then its lists. */
static void object_print(FILE *f, json_t *j)
{
	const char *key;
	size_t width = 0, n;
	json_t *value;
	char *text;

	json_object_foreach(j, key, value) {
		n = text_width(key);
		if (!is_rows(value) && n > width)
			width = n;
	}
	json_object_foreach(j, key, value) {
		if (is_rows(value))
			continue;
		cell_print(f, key, width, false);
		text = cell_text(value);
		cell_print(f, text, 0, true);
		free(text);
	}
	json_object_foreach(j, key, value) {
		if (!is_rows(value))
			continue;
		fprintf(f, "%s%s:\n", width ? "\n" : "", key);
		rows_print(f, value);
		width = 1;
	}
}

/* Prints a JSON value as a table. */
void table_print(FILE *f, const json_t *j)
{
	json_t *value;
	char *text;
	size_t i;

	if (is_rows(j)) {
		rows_print(f, j);
	} else if (json_is_object(j)) {
		object_print(f, (json_t *)j);
	} else if (json_is_array(j)) {
		json_array_foreach(j, i, value) {
			text = cell_text(value);
			cell_print(f, text, 0, true);
			free(text);
		}
	} else {
		text = cell_text(j);
		cell_print(f, text, 0, true);
		free(text);
	}
}
