/*
 * Hash tables whose keys are length-counted strings.
 */
#ifndef BSTR_HASH_H
#define BSTR_HASH_H

#include <uthash.h>

#define HASH_FIND_BSTR(head, key, out) \
	HASH_FIND(hh, head, (key).bstr_val, (key).bstr_len, out)
#define HASH_ADD_BSTR(head, field, add)                  \
	HASH_ADD_KEYPTR(hh, head, (add)->field.bstr_val, \
			(add)->field.bstr_len, add)

#endif
