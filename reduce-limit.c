/*
 * Teams' upper limits, enforced without a table access per start.  A team's
 * row divides its limit into an allowance for each cell.  The allowances never
 * add up to more than the limit, and a cell starts tasks only within its own.
 * A cell that is cut off from the platform goes on with the allowance that it
 * holds; until it gives that up, no other cell can have it.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

#define ALLOWANCE_RETRY_MS 300
#define ALLOWANCE_GIVE_UP_MS 5000
/* Period after which half of the allowance not needed in it is given back. */
#define ALLOWANCE_IDLE_MS 10000
/* Least amount requested at a time while half of the limit is unallocated. */
#define ALLOWANCE_BLOCK 4

/*
 * Returns how much of the cell's allowance a team uses.  A start that may
 * still run on a worker that went silent counts as used.
 */
uint32_t team_used(const struct cell_team *t)
{
	return t->running + t->unconfirmed;
}

static bstr allowance_key(bstr team)
{
	return bstr_printf("allow/%.*s", BSTR_ARG(team));
}

/* Returns a cell's allowance in a row, NULL if it has none. */
static cell_allowance *allowance_find(const allowance_row *row,
				      const cell_id *cell)
{
	u_int i;

	for (i = 0; i < row->allowances.allowances_len; i++) {
		cell_allowance *a = &row->allowances.allowances_val[i];

		if (bstr_eq(a->cell.pool, cell->pool) &&
		    bstr_eq(a->cell.dc, cell->dc))
			return a;
	}
	return NULL;
}

static uint32_t allowance_total(const allowance_row *row)
{
	uint32_t sum = 0;
	u_int i;

	for (i = 0; i < row->allowances.allowances_len; i++)
		sum += row->allowances.allowances_val[i].amount;
	return sum;
}

/* Returns a team's limit by the configuration in force at this VM. */
static uint32_t team_limit(struct state *st, bstr team)
{
	const struct team *t = config_find_team(st->config, team);

	return t ? t->limit : 0;
}

/*
 * Returns how much of its allowance a cell may use: less than all of it after
 * the limit was lowered, or while other cells request a part of it.
 */
static uint32_t allowance_usable(struct state *st, const struct cell_team *t)
{
	uint64_t sum = allowance_total(&t->row);
	uint64_t limit = team_limit(st, t->team);
	uint32_t fair, usable = t->allowance;

	if (sum > limit)
		usable = (uint32_t)(usable * limit / sum);
	if (!t->return_requested)
		return usable;
	fair = (uint32_t)(limit / (t->row.allowances.allowances_len + 1));
	if (usable <= fair)
		return usable;
	return usable - t->return_requested > fair &&
			       usable > t->return_requested
		       ? usable - t->return_requested
		       : fair;
}

/*
 * Returns the number of slots of workers that are not fenced yet, which may run
 * tasks that an earlier owner started.
 */
static uint32_t cell_unfenced(struct state *st, struct cell *c)
{
	struct worker *w, *next;
	uint32_t slots = 0;
	struct vm *v;

	if (!c->rows_known)
		return UINT32_MAX;
	HASH_ITER(hh, c->workers, w, next) {
		v = vm_find(st, w->vm);
		if (!w->fenced && !w->dead)
			slots += v ? v->row.slots : UINT32_MAX / 2;
	}
	return slots;
}

/*
 * Returns how many more tasks of a team may be started in the cell now.  A new
 * owner has to leave room for the tasks that may run on workers that have not
 * answered to it yet, because they count against the same allowance.
 */
uint32_t allowance_available(struct state *st, struct cell *c,
			     struct cell_team *t)
{
	uint64_t used = team_used(t), usable = allowance_usable(st, t);

	used += cell_unfenced(st, c);
	return t->loaded && used < usable ? (uint32_t)(usable - used) : 0;
}

/* Updates a team's allowance from its row. */
static void allowance_apply_row(struct cell *c, struct cell_team *t,
				const table_row *r)
{
	cell_allowance *a;

	xdr_free(XDR_PROC(xdr_allowance_row), (char *)&t->row);
	memset(&t->row, 0, sizeof(t->row));
	t->revision = r->revision;
	t->stale = false;
	if (r->revision)
		t->loaded = xdr_decode(XDR_PROC(xdr_allowance_row), r->value,
				       &t->row, sizeof(t->row));
	else
		t->loaded = true;
	a = allowance_find(&t->row, &c->unit->id);
	t->allowance = a ? a->amount : 0;
	/*
	 * A write that returned a part of the allowance went unanswered.  It
	 * may still take effect while the row is at the revision that it
	 * checks, and another cell could then take that part.  So the part
	 * must not be used here, or the team would run more than its limit.
	 */
	t->capped = t->capped && t->cap_revision == t->revision;
	if (t->capped && t->allowance > t->cap)
		t->allowance = t->cap;
}

/*
 * Finds a team and its cell by the name of a request: "pool dc team".  Returns
 * NULL if this VM does not own the cell or the cell has no such team.
 */
static struct cell_team *allowance_find_team(struct state *st, bstr name,
					     struct cell **c)
{
	struct cell_team *t = NULL;
	cell_id id = {0};
	struct unit *u;
	bstr part[3];
	u_int i, n = 0, from = 0;

	for (i = 0; i <= name.bstr_len && n < 3; i++) {
		if (i < name.bstr_len && name.bstr_val[i] != ' ')
			continue;
		part[n++] = bstr_ref(name.bstr_val + from, i - from);
		from = i + 1;
	}
	if (n < 3)
		return NULL;
	id.pool = part[0];
	id.dc = part[1];
	u = unit_of_cell(st, &id);
	if (!u || !u->cell)
		return NULL;
	*c = u->cell;
	HASH_FIND_BSTR(u->cell->teams, part[2], t);
	return t;
}

static void allowance_load(struct state *st, struct cell *c,
			   struct cell_team *t)
{
	bstr name = bstr_printf("%.*s %.*s %.*s", BSTR_ARG(c->unit->id.pool),
				BSTR_ARG(c->unit->id.dc), BSTR_ARG(t->team));
	bstr key = allowance_key(t->team);

	t->request = table_read(st, REQ_ALLOWANCE_READ, name, &key, 1);
	bstr_free(&key);
	bstr_free(&name);
}

/* Writes a team's row with a new amount for this cell. */
static void allowance_write(struct state *st, struct cell *c,
			    struct cell_team *t, uint32_t amount)
{
	uint32_t limit = team_limit(st, t->team), sum;
	bstr key = allowance_key(t->team), name;
	cell_allowance *a;
	allowance_row row;
	fx_commit k = {0};

	xdr_copy(XDR_PROC(xdr_allowance_row), &row, &t->row, sizeof(row));
	a = allowance_find(&row, &c->unit->id);
	if (!a) {
		row.allowances.allowances_val = xrealloc(
			row.allowances.allowances_val,
			row.allowances.allowances_len + 1, sizeof(*a));
		a = &row.allowances
			     .allowances_val[row.allowances.allowances_len++];
		xdr_copy(XDR_PROC(xdr_cell_id), &a->cell, &c->unit->id,
			 sizeof(a->cell));
	}
	a->amount = amount;
	sum = allowance_total(&row);
	row.limit = sum > limit ? sum : limit;
	name = bstr_printf("%.*s %.*s %.*s", BSTR_ARG(c->unit->id.pool),
			   BSTR_ARG(c->unit->id.dc), BSTR_ARG(t->team));
	/* Fails if this VM has been replaced as the owner of the cell. */
	commit_check(&k, c->unit->name, c->unit->revision);
	commit_check(&k, key, t->revision);
	commit_put(&k, key, XDR_PROC(xdr_allowance_row), &row);
	/* A decrease applies at once, an increase only when committed. */
	if (amount < t->allowance)
		t->allowance = amount;
	t->commit_allowance = amount;
	t->request = table_commit(st, REQ_ALLOWANCE_COMMIT, name, &k,
				  st->now + ALLOWANCE_GIVE_UP_MS);
	xdr_free(XDR_PROC(xdr_allowance_row), (char *)&row);
	bstr_free(&key);
	bstr_free(&name);
}

/* Handles the outcome of reading a team's row. */
void allowance_read(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct cell *c = NULL;
	struct cell_team *t = allowance_find_team(st, rq->name, &c);

	if (!t || t->request != rq->id)
		return;
	t->request = 0;
	t->retry_at = st->now;
	if (ev->outcome == PLATFORM_OK && ev->rows.rows_len)
		allowance_apply_row(c, t, &ev->rows.rows_val[0]);
	else
		t->retry_at = st->now + ALLOWANCE_RETRY_MS;
	c->dirty = true;
}

/*
 * Handles the outcome of writing a team's row.  After a conflict or an unknown
 * outcome, the row is read before it is written again.  Until then the lesser
 * of the old and the new amount is in force, so a cell goes on with that while
 * the platform is down.  Only the owner of this cell changes the cell's
 * allowance: after a conflict, the other writer has changed that of another
 * cell, or is the next owner of this one, which leaves room for the tasks that
 * may run here until the workers answer to it.
 */
void allowance_committed(struct state *st, struct request *rq,
			 const ev_platform *ev)
{
	struct cell *c = NULL;
	struct cell_team *t = allowance_find_team(st, rq->name, &c);
	cell_allowance *a;
	u_int i;

	if (!t || t->request != rq->id)
		return;
	t->request = 0;
	if (ev->outcome == PLATFORM_UNKNOWN) {
		if (!t->capped || t->commit_allowance < t->cap)
			t->cap = t->commit_allowance;
		t->capped = true;
		t->cap_revision = t->revision;
	}
	if (ev->outcome != PLATFORM_OK) {
		t->stale = true;
		t->retry_at = st->now + (int64_t)state_random(st, 100);
		return;
	}
	for (i = 0; i < rq->commit.writes.writes_len; i++) {
		xdr_free(XDR_PROC(xdr_allowance_row), (char *)&t->row);
		t->loaded = xdr_decode(XDR_PROC(xdr_allowance_row),
				       rq->commit.writes.writes_val[i].value,
				       &t->row, sizeof(t->row));
		t->revision = row_revision(ev,
					   rq->commit.writes.writes_val[i].key);
	}
	a = allowance_find(&t->row, &c->unit->id);
	t->allowance = a ? a->amount : 0;
	t->capped = false; /* that write can't take effect any more */
	t->retry_at = st->now + ALLOWANCE_RETRY_MS / 3;
	c->dirty = true;
}

/* Requests the other cells of a team to return amount of their allowances. */
static void allowance_request_more(struct state *st, struct cell *c,
				   struct cell_team *t, uint32_t amount)
{
	peer_message msg = {.kind = PM_LIMIT_REQUEST};
	struct unit *u;
	bstr owner;
	u_int i;

	if (st->now < t->request_more_at)
		return;
	t->request_more_at = st->now + ALLOWANCE_RETRY_MS * 2;
	t->stale = true; /* they will change the row */
	for (i = 0; i < t->row.allowances.allowances_len; i++) {
		cell_allowance *a = &t->row.allowances.allowances_val[i];

		u = unit_of_cell(st, &a->cell);
		if (!a->amount || !u || u == c->unit)
			continue;
		owner = unit_choose(st, u);
		if (!owner.bstr_len)
			continue;
		msg.peer_message_u.limit_request = (pm_limit_request){
			a->cell, t->team, amount};
		peer_send(st, owner, &msg);
	}
}

/* Handles another cell's request for a part of this cell's allowance. */
void allowance_requested(struct state *st, const pm_limit_request *m)
{
	struct unit *u = unit_of_cell(st, &m->cell);
	struct cell_team *t;

	if (!unit_is_active(st, u) || !u->cell)
		return;
	/* An earlier owner may have left an allowance: read the row first. */
	t = cell_team_get(st, u->cell, m->team);
	t->return_requested = m->amount;
	t->loaded = t->loaded && t->allowance;
	t->retry_at = st->now;
	effect_wake(st, st->now);
}

/*
 * Returns how much allowance the team needs beyond what it uses: one for each
 * queued task, bounded in proportion to the cell's running tasks.
 */
static uint32_t allowance_need(const struct cell *c, const struct cell_team *t)
{
	uint32_t most = 2 * (c->running + 16);

	return t->queued < most ? t->queued : most;
}

/* Allocates more to this cell, or requests it from other cells. */
static void allowance_grow(struct state *st, struct cell *c,
			   struct cell_team *t)
{
	uint32_t need = allowance_need(c, t), limit = team_limit(st, t->team);
	uint32_t sum = allowance_total(&t->row), unallocated;

	unallocated = sum < limit ? limit - sum : 0;
	/* Allocate in blocks, so that a steady stream needs fewer writes. */
	need += need / 2;
	if (need < ALLOWANCE_BLOCK &&
	    unallocated >= limit / 2 + ALLOWANCE_BLOCK)
		need = ALLOWANCE_BLOCK;
	if (need > unallocated) {
		if (!t->return_requested)
			allowance_request_more(st, c, t, need - unallocated);
		need = unallocated;
	}
	if (need)
		allowance_write(st, c, t, t->allowance + need);
}

/* Gives back allowance that other cells request or that has been idle. */
static void allowance_shrink(struct state *st, struct cell *c,
			     struct cell_team *t)
{
	uint32_t used = team_used(t), usable = allowance_usable(st, t);
	uint32_t keep = used + allowance_need(c, t), idle;

	if (usable < t->allowance) {
		/* Reduce it to the usable amount, but not below use. */
		if (keep > usable)
			keep = usable;
		if (keep < used)
			keep = used;
		if (keep < t->allowance)
			allowance_write(st, c, t, keep);
		if (keep <= usable)
			t->return_requested = 0;
		return;
	}
	t->return_requested = 0;
	if (t->peak_need < keep)
		t->peak_need = keep;
	/* While the platform is down, no other cell could take it. */
	if (st->now - t->idle_at < ALLOWANCE_IDLE_MS || !st->platform_up)
		return;
	idle = t->allowance > t->peak_need ? t->allowance - t->peak_need : 0;
	if (idle)
		allowance_write(st, c, t, t->allowance - (idle + 1) / 2);
	t->peak_need = keep;
	t->idle_at = st->now;
}

/* Reads, grows and shrinks the allowances of a cell when due. */
void limits_tick(struct state *st, struct cell *c)
{
	struct cell_team *t, *next;

	HASH_ITER(hh, c->teams, t, next) {
		if (t->request || st->now < t->retry_at)
			continue;
		if (!t->loaded || t->stale) {
			if (t->queued || t->return_requested || team_used(t))
				allowance_load(st, c, t);
			continue;
		}
		if (t->queued && !allowance_available(st, c, t))
			allowance_grow(st, c, t);
		if (!t->request)
			allowance_shrink(st, c, t);
	}
}
