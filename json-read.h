/*
 * Helpers for JSON from untrusted sources.  Each json_read_* function for a
 * member returns false if the member is missing, has the wrong type or
 * exceeds its bound.
 */
#ifndef JSON_READ_H
#define JSON_READ_H

#include "bamboofront.h"

/* Returns NULL if text is not JSON or an object has a duplicate key. */
json_t *json_read(bstr text);
size_t json_tree_bytes(bstr text);
bool json_read_u64(const json_t *j, const char *key, uint64_t *n);
bool json_read_u32(const json_t *j, const char *key, uint32_t *n);
bool json_read_bool(const json_t *j, const char *key, bool_t *b);
/* Copies a string of at most max bytes. */
bool json_read_text(const json_t *j, const char *key, size_t max, bstr *text);
/* Decodes a base64 string of at most BSTR_MAX bytes. */
bool json_read_bytes(const json_t *j, const char *key, bstr *bytes);
/* Returns b as a base64 string. */
json_t *json_write_bytes(bstr b);
/* Set a member, or omit it if its value is 0 or empty. */
void json_set_nonzero(json_t *j, const char *key, int64_t n);
void json_set_nonempty(json_t *j, const char *key, bstr text);
/* Returns text as a JSON string with its quotes. */
bstr json_quote(bstr text);
/* Serializes j and drops the reference; empty if a string is not UTF-8. */
bstr json_write(json_t *j);

#endif
