#include "bamboofront.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* Returns a string that points to a C string, without owning it. */
bstr bstr_lit(const char *s)
{
	return bstr_ref(s, strlen(s));
}

/* Returns a string that points to len bytes, without owning them. */
bstr bstr_ref(const void *p, size_t len)
{
	return (bstr){(u_int)len, (char *)p};
}

/* Copies a C string. */
bstr bstr_new(const char *s)
{
	return bstr_from_bytes(s, strlen(s));
}

/* Copies len bytes; an empty string owns no memory. */
bstr bstr_from_bytes(const void *p, size_t len)
{
	bstr b = BSTR_NONE;

	if (!len)
		return b;
	b.bstr_val = xmalloc(len);
	memcpy(b.bstr_val, p, len);
	b.bstr_len = (u_int)len;
	return b;
}

/* Copies a string. */
bstr bstr_copy(bstr b)
{
	return bstr_from_bytes(b.bstr_val, b.bstr_len);
}

/* Formats into a new string; an empty string owns no memory. */
bstr bstr_vprintf(const char *fmt, va_list ap)
{
	char *s;
	int n;

	n = vasprintf(&s, fmt, ap);
	if (n < 0)
		abort();
	if (n)
		return (bstr){(u_int)n, s};
	free(s);
	return BSTR_NONE;
}

/* Formats into a new string. */
bstr bstr_printf(const char *fmt, ...)
{
	va_list ap;
	bstr b;

	va_start(ap, fmt);
	b = bstr_vprintf(fmt, ap);
	va_end(ap);
	return b;
}

/* Replaces dst with a copy of src, which may be part of dst. */
void bstr_set(bstr *dst, bstr src)
{
	bstr copy = bstr_copy(src);

	bstr_free(dst);
	*dst = copy;
}

/* Frees an owned string and makes it empty. */
void bstr_free(bstr *b)
{
	free(b->bstr_val);
	*b = BSTR_NONE;
}

/* Compares bytewise; a prefix sorts before the longer string. */
int bstr_cmp(bstr a, bstr b)
{
	u_int n = a.bstr_len < b.bstr_len ? a.bstr_len : b.bstr_len;
	int c = n ? memcmp(a.bstr_val, b.bstr_val, n) : 0;

	if (c)
		return c;
	return (a.bstr_len > b.bstr_len) - (a.bstr_len < b.bstr_len);
}

/* Returns true if two strings have the same bytes. */
bool bstr_eq(bstr a, bstr b)
{
	return a.bstr_len == b.bstr_len && !bstr_cmp(a, b);
}

/* Returns true if a string has the same bytes as a C string. */
bool bstr_eq_str(bstr a, const char *s)
{
	return bstr_eq(a, bstr_lit(s));
}

/*
 * Returns true if b is a name of at most max bytes.  A name needs no escaping
 * in row keys, URLs and log lines: it has lower-case letters, digits, '.', '_'
 * and '-', and starts with a letter or digit.
 */
bool bstr_is_name(bstr b, size_t max)
{
	u_int i;

	if (!b.bstr_len || b.bstr_len > max)
		return false;
	for (i = 0; i < b.bstr_len; i++) {
		unsigned char c = (unsigned char)b.bstr_val[i];

		if (islower(c) || isdigit(c))
			continue;
		if (i && (c == '.' || c == '_' || c == '-'))
			continue;
		return false;
	}
	return true;
}

/* Copies into a C string, which ends at the first embedded NUL. */
char *bstr_cstr(bstr b)
{
	char *s = xmalloc((size_t)b.bstr_len + 1);

	if (b.bstr_len)
		memcpy(s, b.bstr_val, b.bstr_len);
	s[b.bstr_len] = '\0';
	return s;
}

/*
 * Returns a JSON string.  If b is not UTF-8, all its non-ASCII bytes become
 * '?'.
 */
json_t *bstr_to_json(bstr b)
{
	json_t *j = json_stringn(b.bstr_val ? b.bstr_val : "", b.bstr_len);
	bstr copy;
	u_int i;

	if (j)
		return j;
	copy = bstr_copy(b);
	for (i = 0; i < copy.bstr_len; i++)
		if ((unsigned char)copy.bstr_val[i] >= 0x80)
			copy.bstr_val[i] = '?';
	j = json_stringn(copy.bstr_val, copy.bstr_len);
	bstr_free(&copy);
	return j;
}

/* Copies the value of a JSON string; empty if j is of another type. */
bstr bstr_from_json(const json_t *j)
{
	if (!json_is_string(j))
		return BSTR_NONE;
	return bstr_from_bytes(json_string_value(j), json_string_length(j));
}
