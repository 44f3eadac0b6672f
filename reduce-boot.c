/*
 * Durable record of the workers' boot ids.  A worker that restarts loses its
 * record of what it ran.  If the owner of its cell changes at about that time,
 * the new owner gets answers from all workers, finds no task of a job that did
 * run, and would report so; the home would then run the job again or answer
 * "not run".  So a worker gets tasks that must not run twice only once its boot
 * id is in the cell's row.  An owner that finds another boot id there sets
 * history_lost in the row: from then on the absence of a task does not prove
 * that a job did not run.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

/* history_lost stays for a day, in which homes query the jobs sent here. */
#define HISTORY_LOST_MS 86400000
#define BOOTS_RETRY_MS 300
#define BOOTS_GIVE_UP_MS 5000

static bstr boots_key(const struct cell *c)
{
	return bstr_printf("boots/%.*s/%.*s", BSTR_ARG(c->unit->id.pool),
			   BSTR_ARG(c->unit->id.dc));
}

/* Returns a VM's entry in a row, NULL if it has none. */
static worker_boot *boot_find(const boots_row *row, bstr vm)
{
	u_int i;

	for (i = 0; i < row->boots.boots_len; i++)
		if (bstr_eq(row->boots.boots_val[i].vm, vm))
			return &row->boots.boots_val[i];
	return NULL;
}

/* Returns true if the boot id that a worker last reported is durable. */
bool boot_recorded(const struct worker *w)
{
	const worker_boot *b = boot_find(&w->cell->boots, w->vm);

	return w->cell->boots_loaded && b && bstr_eq(b->boot, w->boot_id);
}

/*
 * Removes the entries of VMs that are dead or no longer in this cell from a
 * row.  Returns true if it removed any.
 */
static bool boots_prune(struct state *st, struct cell *c, boots_row *row)
{
	worker_boot *b = row->boots.boots_val;
	u_int i = 0, n = row->boots.boots_len;
	struct worker *w;

	while (i < row->boots.boots_len) {
		HASH_FIND_BSTR(c->workers, b[i].vm, w);
		if (w && !w->dead) {
			i++;
			continue;
		}
		/*
		 * A VM that moved to another pool had no tasks left.  With
		 * one that is dead or was removed, its task state is lost.
		 */
		if (w || !vm_find(st, b[i].vm))
			row->history_lost = TRUE;
		xdr_free(XDR_PROC(xdr_worker_boot), (char *)&b[i]);
		b[i] = b[--row->boots.boots_len];
	}
	return n != row->boots.boots_len;
}

/*
 * Records a worker's boot id in a row.  Returns true if the row has changed.
 */
static bool boots_record(const struct worker *w, boots_row *row)
{
	worker_boot *b = boot_find(row, w->vm);
	u_int n = row->boots.boots_len;

	if (b && bstr_eq(b->boot, w->boot_id))
		return false;
	if (b) {
		row->history_lost = TRUE;
		bstr_set(&b->boot, w->boot_id);
		return true;
	}
	row->boots.boots_val = xrealloc(row->boots.boots_val, n + 1,
					sizeof(*b));
	row->boots.boots_val[n] = (worker_boot){bstr_copy(w->vm),
						bstr_copy(w->boot_id)};
	row->boots.boots_len++;
	return true;
}

/*
 * Computes the row that fits the present workers, which the caller frees.
 * Returns true if it differs from the stored row.
 */
static bool boots_compute(struct state *st, struct cell *c, boots_row *row)
{
	struct worker *w, *next;
	bool changed;

	xdr_copy(XDR_PROC(xdr_boots_row), row, &c->boots, sizeof(*row));
	changed = c->rows_known && boots_prune(st, c, row);
	HASH_ITER(hh, c->workers, w, next) {
		if (w->fenced && !w->dead && w->listed)
			changed = boots_record(w, row) || changed;
	}
	return changed;
}

/* Returns true if all known restarts of the cell's workers are durable. */
bool boots_durable(struct state *st, struct cell *c)
{
	boots_row row;
	bool changed;

	if (!c->boots_loaded || c->boots_request)
		return false;
	changed = boots_compute(st, c, &row);
	xdr_free(XDR_PROC(xdr_boots_row), (char *)&row);
	return !changed;
}

static void boots_write(struct state *st, struct cell *c, const boots_row *row)
{
	bstr key = boots_key(c);
	fx_commit k = {0};

	commit_check(&k, c->unit->name, c->unit->revision);
	commit_check(&k, key, c->boots_revision);
	commit_put(&k, key, XDR_PROC(xdr_boots_row), row);
	c->boots_request = table_commit(st, REQ_BOOTS_COMMIT, c->unit->name, &k,
					st->now + BOOTS_GIVE_UP_MS);
	bstr_free(&key);
}

/* Adopts a row that is stored in the table. */
static void boots_apply(struct state *st, struct cell *c, const boots_row *row,
			uint64_t revision)
{
	bool before = c->boots.history_lost;

	xdr_free(XDR_PROC(xdr_boots_row), (char *)&c->boots);
	xdr_copy(XDR_PROC(xdr_boots_row), &c->boots, row, sizeof(*row));
	c->boots_revision = revision;
	c->boots_loaded = true;
	c->dirty = true;
	if (row->history_lost && !before)
		c->history_lost_at = st->now;
}

/* Handles the outcome of reading the row. */
void boots_read(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct unit *u = unit_find(st, rq->name);
	const table_row *r = ev->rows.rows_len ? ev->rows.rows_val : NULL;
	boots_row row = {0};

	if (!u || !u->cell || u->cell->boots_request != rq->id)
		return;
	u->cell->boots_request = 0;
	if (ev->outcome == PLATFORM_OK && r &&
	    (!r->revision ||
	     xdr_decode(XDR_PROC(xdr_boots_row), r->value, &row, sizeof(row))))
		boots_apply(st, u->cell, &row, r->revision);
	xdr_free(XDR_PROC(xdr_boots_row), (char *)&row);
}

/*
 * Handles the outcome of writing the row.  Unless the write succeeded, the row
 * is read again.
 */
void boots_committed(struct state *st, struct request *rq,
		     const ev_platform *ev)
{
	struct unit *u = unit_find(st, rq->name);
	boots_row row;
	bstr key;

	if (!u || !u->cell || u->cell->boots_request != rq->id)
		return;
	u->cell->boots_request = 0;
	u->cell->boots_loaded = false;
	if (ev->outcome != PLATFORM_OK ||
	    !xdr_decode(XDR_PROC(xdr_boots_row),
			rq->commit.writes.writes_val[0].value, &row,
			sizeof(row)))
		return;
	key = boots_key(u->cell);
	boots_apply(st, u->cell, &row, row_revision(ev, key));
	bstr_free(&key);
	xdr_free(XDR_PROC(xdr_boots_row), (char *)&row);
}

/* Updates the row when the workers' boot ids have changed. */
void boots_tick(struct state *st, struct cell *c)
{
	boots_row row;
	bool changed;
	bstr key;

	if (c->boots_request || st->now < c->boots_retry_at)
		return;
	if (!c->boots_loaded) {
		key = boots_key(c);
		c->boots_retry_at = st->now + BOOTS_RETRY_MS;
		c->boots_request = table_read(st, REQ_BOOTS_READ, c->unit->name,
					      &key, 1);
		bstr_free(&key);
		return;
	}
	changed = boots_compute(st, c, &row);
	if (changed) {
		c->history_lost_at = st->now;
	} else if (row.history_lost &&
		   st->now - c->history_lost_at >= HISTORY_LOST_MS) {
		row.history_lost = FALSE;
		changed = true;
	}
	if (changed)
		boots_write(st, c, &row);
	xdr_free(XDR_PROC(xdr_boots_row), (char *)&row);
}
