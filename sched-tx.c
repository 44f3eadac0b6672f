/*
 * Construction of store transactions.
 */
#include "sched-state.h"

#include <stdlib.h>

/* Adds a request for a transaction, which is empty at first. */
struct tx *sched_tx(struct sched *s, enum purpose purpose, int64_t deadline,
		    struct request **rq)
{
	struct ask *ask;

	*rq = sched_ask(s, purpose, ASK_TX, deadline, &ask);
	sched_count(s, COUNT_TABLE_COMMITS, 1);
	return &ask->tx;
}

/* Returns how long a row may be before it is encoded as base64. */
size_t tx_row_bytes(const struct sched *s)
{
	return s->options.row_bytes / 4 * 3;
}

/* Returns the part of a table that holds a row. */
unsigned row_part(enum table table, bstr key)
{
	char c = key.bstr_len ? key.bstr_val[0] : '0';

	if (table != TABLE_JOBS)
		return 0;
	if (c >= '0' && c <= '9')
		return 1 + (unsigned)(c - '0');
	return 1 + 10 + ((unsigned)c - 'a') % 6;
}

/* Returns the key of the row that cancels a job; the caller frees it. */
bstr cancellation_key(const char *id)
{
	return bstr_printf("%s/cancel", id);
}

/* Returns the name of a row; the key is copied. */
static struct row_ref row_ref(enum table table, bstr key)
{
	return (struct row_ref){.table = table,
				.part = row_part(table, key),
				.key = bstr_copy(key)};
}

/* Adds the condition that a row still has a revision. */
void tx_expect(struct tx *t, enum table table, bstr key, uint64_t revision)
{
	t->conditions = xrealloc(t->conditions, t->condition_count + 1,
				 sizeof(*t->conditions));
	t->conditions[t->condition_count++] = (struct tx_expect){
		.row = row_ref(table, key), .revision = revision};
}

/* Adds the condition that this VM is still the owner. */
void tx_expect_owner(const struct sched *s, struct tx *t)
{
	tx_expect(t, TABLE_OWNER, bstr_lit(KEY_EPOCH), s->own.revision);
}

/* Returns true if a refused transaction shows that this VM is the owner. */
bool tx_finds_owner(const struct sched *s, const struct answer *a)
{
	size_t i;

	for (i = 0; i < a->row_count; i++)
		if (a->rows[i].table == TABLE_OWNER &&
		    bstr_eq_str(a->rows[i].key, KEY_EPOCH))
			return a->rows[i].revision == s->own.revision;
	return false;
}

/*
 * Finds out why a condition failed.  Returns true if this VM is still the owner
 * and the given row, which nobody but the owner writes, is newer than expected:
 * an earlier transaction without an answer has been carried out after all.  In
 * that case revision is set to that of the row, and the row is to be written
 * again.
 */
bool tx_row_was_rewritten(const struct sched *s, const struct answer *a,
			  enum table table, bstr key, uint64_t *revision)
{
	uint64_t before = *revision;
	size_t i;

	for (i = 0; i < a->row_count; i++)
		if (a->rows[i].table == table && bstr_eq(a->rows[i].key, key) &&
		    a->rows[i].revision > *revision)
			*revision = a->rows[i].revision;
	return *revision > before && tx_finds_owner(s, a);
}

/* Adds a write of a row; the value is moved. */
void tx_write(struct tx *t, enum table table, bstr key, bstr value)
{
	t->writes = xrealloc(t->writes, t->write_count + 1, sizeof(*t->writes));
	t->writes[t->write_count++] = (struct tx_write){
		.row = row_ref(table, key), .value = value};
}

/*
 * Adds the removal of a row.  The store takes the removal of a row that doesn't
 * exist for done, so a wrong name would go unnoticed.
 */
void tx_remove(struct tx *t, enum table table, bstr key)
{
	t->removes = xrealloc(t->removes, t->remove_count + 1,
			      sizeof(*t->removes));
	t->removes[t->remove_count++] = row_ref(table, key);
}
