#include "reduce.h"

#include <stdlib.h>
#include <string.h>

/*
 * A worker that restarts forgets what it ran.  If its cell changes hands
 * around that time, the new owner hears every worker, finds no trace of a job
 * that did run, and would say so: the home would run it again, or answer
 * "not run".  So a worker is given work that must not run twice only once
 * its boot is in the cell's row, and an owner that finds another boot there
 * leaves a lasting mark: "no trace" is no proof in this cell until every home
 * has had a day to ask after what it had sent here.
 */
#define FORGOTTEN_MS 86400000
#define BOOTS_RETRY_MS 300
#define BOOTS_GIVE_UP_MS 5000

/* The key of a cell's row. */
static bstr boots_key(const struct cell *c)
{
	return bstr_printf("boots/%.*s/%.*s", BSTR_ARG(c->unit->id.pool),
			   BSTR_ARG(c->unit->id.dc));
}

/* The boot that the row has for a VM; NULL if it has none. */
static worker_boot *boot_find(const boots_row *row, bstr vm)
{
	u_int i;

	for (i = 0; i < row->boots.boots_len; i++)
		if (bstr_eq(row->boots.boots_val[i].vm, vm))
			return &row->boots.boots_val[i];
	return NULL;
}

/* Is the boot that a worker last told durable? */
bool boot_recorded(const struct worker *w)
{
	const worker_boot *b = boot_find(&w->cell->boots, w->vm);

	return w->cell->boots_loaded && b && bstr_eq(b->boot, w->boot_id);
}

/* Take entries of VMs that are no longer this cell's out of a row. */
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
		 * One that moved to another pool was emptied before; one that
		 * is dead or was removed took along what it remembered.
		 */
		if (w || !vm_find(st, b[i].vm))
			row->history_lost = TRUE;
		xdr_free(XDR_PROC(xdr_worker_boot), (char *)&b[i]);
		b[i] = b[--row->boots.boots_len];
	}
	return n != row->boots.boots_len;
}

/* Enter a worker's boot into a row; true if that changes it. */
static bool boots_enter(const struct worker *w, boots_row *row)
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

/* The row as it should be; true if it differs from the one on the table. */
static bool boots_next(struct state *st, struct cell *c, boots_row *row)
{
	struct worker *w, *next;
	bool changed;

	xdr_copy(XDR_PROC(xdr_boots_row), row, &c->boots, sizeof(*row));
	changed = c->rows_known && boots_prune(st, c, row);
	HASH_ITER(hh, c->workers, w, next) {
		if (w->fenced && !w->dead && w->listed)
			changed = boots_enter(w, row) || changed;
	}
	return changed;
}

/* Is it durable which workers have forgotten? */
bool boots_durable(struct state *st, struct cell *c)
{
	boots_row row;
	bool changed;

	if (!c->boots_loaded || c->boots_request)
		return false;
	changed = boots_next(st, c, &row);
	xdr_free(XDR_PROC(xdr_boots_row), (char *)&row);
	return !changed;
}

/* Write the row. */
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

/* Put a row that is on the table in force. */
static void boots_take(struct state *st, struct cell *c, const boots_row *row,
		       uint64_t revision)
{
	bool before = c->boots.history_lost;

	xdr_free(XDR_PROC(xdr_boots_row), (char *)&c->boots);
	xdr_copy(XDR_PROC(xdr_boots_row), &c->boots, row, sizeof(*row));
	c->boots_revision = revision;
	c->boots_loaded = true;
	c->dirty = true;
	if (row->history_lost && !before)
		c->forgotten_at = st->now;
}

/* The row was read. */
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
		boots_take(st, u->cell, &row, r->revision);
	xdr_free(XDR_PROC(xdr_boots_row), (char *)&row);
}

/* The row was written, or it is not known whether: then it is read again. */
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
	boots_take(st, u->cell, &row, row_version(ev, key));
	bstr_free(&key);
	xdr_free(XDR_PROC(xdr_boots_row), (char *)&row);
}

/* Keep the row up to the workers' boots. */
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
	changed = boots_next(st, c, &row);
	if (changed) {
		c->forgotten_at = st->now;
	} else if (row.history_lost &&
		   st->now - c->forgotten_at >= FORGOTTEN_MS) {
		row.history_lost = FALSE;
		changed = true;
	}
	if (changed)
		boots_write(st, c, &row);
	xdr_free(XDR_PROC(xdr_boots_row), (char *)&row);
}
