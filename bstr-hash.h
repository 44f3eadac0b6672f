/*
 * uthash tables whose keys are length-counted strings (bstr).
 */
#ifndef BSTR_HASH_H
#define BSTR_HASH_H

#include <uthash.h>

/*
 * The pointer of an empty key may be NULL, which uthash would pass to memcmp:
 * undefined behaviour even for a length of 0.
 */
#define BSTR_KEY(b) ((b).bstr_val ? (b).bstr_val : "")

#define HASH_FIND_BSTR(head, key, out) \
	HASH_FIND(hh, head, BSTR_KEY(key), (key).bstr_len, out)
#define HASH_ADD_BSTR(head, field, add)                   \
	HASH_ADD_KEYPTR(hh, head, BSTR_KEY((add)->field), \
			(add)->field.bstr_len, add)

#endif
