/*
 * The platform's table and object store in memory, for the virtual fleets.
 */
#ifndef SUPPORT_TABLE_H
#define SUPPORT_TABLE_H

#include "../bamboofront.h"

#include <uthash.h>

struct fake_row {
	char *key;
	uint64_t version;
	bstr value;
	UT_hash_handle hh;
};
struct fake_txn;
struct fake_table {
	struct fake_row *rows, *objects;
	struct fake_txn *txns; /* every one that was applied, for ever */
	uint64_t version;
	/* Told of each write before it is done; old: the row, or NULL. */
	void (*before_write)(void *arg, const fx_commit *c,
			     const table_write *w, const struct fake_row *old);
	void *arg;
};

struct fake_row *fake_row_get(struct fake_row *rows, bstr key);
void fake_row_set(struct fake_table *t, bstr key, bstr value);
void fake_object_set(struct fake_table *t, bstr name, bstr body);
/* True if it was applied now, not before. */
bool fake_table_commit(struct fake_table *t, const fx_commit *c,
		       ev_platform *p);
/* Answer any other request; false if it is none to table or store. */
bool fake_table_request(struct fake_table *t, const effect *fx, ev_platform *p);
void fake_table_free(struct fake_table *t);

#endif
