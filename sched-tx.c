/*
 * Making transactions.
 */
#include "sched-state.h"

#include <stdlib.h>

/* Ask for a transaction, empty so far. */
struct tx *sched_tx(struct sched *s, enum purpose purpose, int64_t deadline,
		    struct request **rq)
{
	struct ask *ask;

	*rq = sched_ask(s, purpose, ASK_TX, deadline, &ask);
	sched_count(s, COUNT_TABLE_COMMITS, 1);
	return &ask->tx;
}

/* The part of a table that a row is in. */
unsigned row_part(enum table table, bstr key)
{
	char c = key.bstr_len ? key.bstr_val[0] : '0';

	if (table != TABLE_JOBS)
		return 0;
	if (c >= '0' && c <= '9')
		return 1 + (unsigned)(c - '0');
	return 1 + 10 + ((unsigned)c - 'a') % 6;
}

/* Demand that a row still has a revision. */
void tx_expect(struct tx *t, enum table table, bstr key, uint64_t revision)
{
	t->conditions = xrealloc(t->conditions, t->condition_count + 1,
				 sizeof(*t->conditions));
	t->conditions[t->condition_count++] = (struct tx_expect){
		.table = table,
		.part = row_part(table, key),
		.key = bstr_copy(key),
		.revision = revision};
}

/*
 * A condition did not hold.  If it was only that of a row which nobody but the
 * owner writes, and this VM still is the owner, then an earlier transaction
 * without an answer has been carried out after all: the answer tells the
 * revision of the row, and what was to be written is written again.
 */
bool tx_row_was_rewritten(const struct sched *s, const struct answer *a,
			  enum table table, bstr key, uint64_t *revision)
{
	uint64_t before = *revision;
	bool owner = false;
	size_t i;

	for (i = 0; i < a->row_count; i++) {
		if (a->rows[i].table == TABLE_OWNER &&
		    bstr_eq_str(a->rows[i].key, "epoch"))
			owner = a->rows[i].revision == s->own.revision;
		if (a->rows[i].table == table && bstr_eq(a->rows[i].key, key) &&
		    a->rows[i].revision > *revision)
			*revision = a->rows[i].revision;
	}
	return owner && *revision > before;
}

/* Write a row; the value is moved. */
void tx_write(struct tx *t, enum table table, bstr key, bstr value)
{
	t->writes = xrealloc(t->writes, t->write_count + 1, sizeof(*t->writes));
	t->writes[t->write_count++] = (struct tx_write){
		.table = table,
		.part = row_part(table, key),
		.key = bstr_copy(key),
		.value = value};
}

/* Remove a row. */
void tx_remove(struct tx *t, enum table table, bstr key)
{
	t->removes = xrealloc(t->removes, t->remove_count + 1,
			      sizeof(*t->removes));
	t->removes[t->remove_count++] = (struct tx_write){
		.table = table, .key = bstr_copy(key)};
}
