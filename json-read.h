/*
 * Reading JSON from outside: each reader checks the type and the bound of one
 * member and is false if it is missing or wrong.
 */
#ifndef JSON_READ_H
#define JSON_READ_H

#include "bamboofront.h"

json_t *json_read(bstr text); /* NULL: not JSON, or a key stands twice */
bool json_read_u64(const json_t *j, const char *key, uint64_t *n);
bool json_read_u32(const json_t *j, const char *key, uint32_t *n);
bool json_read_bool(const json_t *j, const char *key, bool_t *b);
bool json_read_text(const json_t *j, const char *key, size_t max, bstr *text);
bool json_read_bytes(const json_t *j, const char *key, bstr *bytes);
json_t *json_write_bytes(bstr b); /* a base64 string */
/* Set a member that is left out when it is 0 or empty. */
void json_set_nonzero(json_t *j, const char *key, int64_t n);
void json_set_nonempty(json_t *j, const char *key, bstr text);
bstr json_write(json_t *j); /* takes the reference; empty: not UTF-8 */

#endif
