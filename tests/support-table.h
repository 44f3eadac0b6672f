/*
 * An in-memory fake of the platform's table and object store, for the
 * simulated fleets (support-fleet, support-sim).
 */
#ifndef SUPPORT_TABLE_H
#define SUPPORT_TABLE_H

#include "../bamboofront.h"
#include "../rows.h"

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
	struct fake_txn *txns; /* all that were applied, with their answers */
	uint64_t version;
	/* Called before each write; old is the present row, or NULL. */
	void (*before_write)(void *arg, const fx_commit *c,
			     const table_write *w, const struct fake_row *old);
	void *arg;
};

struct fake_row *fake_row_get(struct fake_row *rows, bstr key);
void fake_row_set(struct fake_table *t, bstr key, bstr value);
void fake_object_set(struct fake_table *t, bstr name, bstr body);

/*
 * Makes a key of a team, as its configuration has it.  digest gets what a
 * caller's request has.
 */
json_t *fake_key_new(const char *id, bstr *digest);

/* Stores a document as the first configuration, with its head row. */
void fake_config_set(struct fake_table *t, const json_t *doc);

/* Writes the row of a VM, or the head of the list of VMs. */
void fake_vm_set(struct fake_table *t, const vm_row *row);
void fake_vms_head_set(struct fake_table *t, uint64_t generation);

/*
 * Applies a transaction and fills in its answer.  Returns false if a check
 * fails, or if the id was applied before: p is then the answer of that time.
 */
bool fake_table_commit(struct fake_table *t, const fx_commit *c,
		       ev_platform *p);

/*
 * Answers any other request; returns false if the effect is no request to the
 * table or the object store.
 */
bool fake_table_request(struct fake_table *t, const effect *fx, ev_platform *p);
void fake_table_free(struct fake_table *t);

#endif
