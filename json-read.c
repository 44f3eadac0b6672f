#include "json-read.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

#define TREE_BYTES 4096	   /* of the parser */
#define TREE_TEXT_COPIES 4 /* a string, and the parser's growing buffer */

/*
 * Upper bounds of what jansson allocates, beside its text, for the value that a
 * character begins or separates: its node, its share of the table of the list
 * or object that it is in, its own table.
 */
static const uint16_t tree_bytes_of[UCHAR_MAX + 1] = {
	['{'] = 256,
	['['] = 160,
	[':'] = 160,
	[','] = 96,
};

/*
 * Parses a JSON text.  Rejects duplicate keys, because it is undefined which
 * value applies.
 */
json_t *json_read(bstr text)
{
	return json_loadb(text.bstr_val ? text.bstr_val : "", text.bstr_len,
			  JSON_REJECT_DUPLICATES, NULL);
}

/*
 * Returns at most how many bytes the tree of a JSON text takes. That can be a
 * hundred times the text: "{}" is an object with its hash table.
 */
size_t json_tree_bytes(bstr text)
{
	size_t bytes = TREE_BYTES + TREE_TEXT_COPIES * (size_t)text.bstr_len;
	bool quoted = false;
	u_int i;

	for (i = 0; i < text.bstr_len; i++) {
		unsigned char c = (unsigned char)text.bstr_val[i];

		if (c == '"')
			quoted = !quoted;
		else if (!quoted)
			bytes += tree_bytes_of[c];
		else if (c == '\\')
			i++; /* the next character is escaped */
	}
	return bytes;
}

/* Reads a non-negative integer; jansson's integers end at 2^63 - 1. */
bool json_read_u64(const json_t *j, const char *key, uint64_t *n)
{
	const json_t *v = json_object_get(j, key);

	if (!json_is_integer(v) || json_integer_value(v) < 0)
		return false;
	*n = (uint64_t)json_integer_value(v);
	return true;
}

/* Reads a non-negative integer of up to 32 bits. */
bool json_read_u32(const json_t *j, const char *key, uint32_t *n)
{
	uint64_t wide;

	if (!json_read_u64(j, key, &wide) || wide > UINT32_MAX)
		return false;
	*n = (uint32_t)wide;
	return true;
}

/* Reads a boolean. */
bool json_read_bool(const json_t *j, const char *key, bool_t *b)
{
	const json_t *v = json_object_get(j, key);

	*b = json_is_true(v);
	return json_is_boolean(v);
}

/* Reads a string of at most max bytes; the caller frees the copy. */
bool json_read_text(const json_t *j, const char *key, size_t max, bstr *text)
{
	const json_t *v = json_object_get(j, key);

	if (!json_is_string(v) || json_string_length(v) > max)
		return false;
	*text = bstr_from_json(v);
	return true;
}

/*
 * Decodes a base64 string of at most BSTR_MAX bytes, the bound of the XDR
 * schema.
 */
bool json_read_bytes(const json_t *j, const char *key, bstr *bytes)
{
	const json_t *v = json_object_get(j, key);

	if (!json_is_string(v) ||
	    !base64_decode(
		    bstr_ref(json_string_value(v), json_string_length(v)),
		    bytes))
		return false;
	if (bytes->bstr_len <= BSTR_MAX)
		return true;
	bstr_free(bytes);
	return false;
}

/* Returns bytes as a base64 string. */
json_t *json_write_bytes(bstr b)
{
	bstr text = base64_encode(b);
	json_t *j = bstr_to_json(text);

	bstr_free(&text);
	return j;
}

/*
 * Serializes j without white space and drops the reference.  Returns an empty
 * string if j contains a string that is not UTF-8.
 */
bstr json_write(json_t *j)
{
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	return text ? (bstr){(u_int)strlen(text), text} : BSTR_NONE;
}

/* Returns true if a text is the same within the quotes of a JSON string. */
static bool text_is_plain(bstr text)
{
	u_int i;

	for (i = 0; i < text.bstr_len; i++) {
		char c = text.bstr_val[i];

		if (c < 0x20 || c > 0x7e || c == '"' || c == '\\')
			return false;
	}
	return true;
}

/*
 * Returns text as a JSON string with its quotes.  Plain text, which nearly all
 * texts are, is copied without the JSON library.  If text is not UTF-8, all its
 * non-ASCII bytes become '?'.
 */
bstr json_quote(bstr text)
{
	json_t *j;
	char *quoted;

	if (text_is_plain(text))
		return bstr_printf("\"%.*s\"", BSTR_ARG(text));
	j = bstr_to_json(text);
	quoted = json_dumps(j, JSON_COMPACT | JSON_ENCODE_ANY);
	json_decref(j);
	if (!quoted)
		abort(); /* out of memory */
	return (bstr){(u_int)strlen(quoted), quoted};
}

/* Sets a number, or omits it if it is 0. */
void json_set_nonzero(json_t *j, const char *key, int64_t n)
{
	if (n)
		json_object_set_new(j, key, json_integer(n));
}

/* Sets a string, or omits it if it is empty. */
void json_set_nonempty(json_t *j, const char *key, bstr text)
{
	if (text.bstr_len)
		json_object_set_new(j, key, bstr_to_json(text));
}
