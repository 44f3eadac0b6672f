#include "reduce.h"

#include <stdlib.h>
#include <string.h>

/*
 * Upper limits, without asking anybody per start.  A team's row gives each
 * cell a part of the limit; the parts never add up to more than it, and a
 * cell starts only within its part.  A cell that is cut off goes on with
 * what it holds; what it holds can't be given to another.
 */
#define ALLOW_RETRY_MS 300
#define ALLOW_GIVE_UP_MS 5000
#define IDLE_MS 10000
/* The least that is taken at a time while half of the limit is free. */
#define BLOCK 4

/* What a team uses of what the cell holds. */
uint32_t team_used(const struct cell_team *t)
{
	return t->running + t->unconfirmed;
}

/* The key of a team's row. */
static bstr allow_key(bstr team)
{
	return bstr_printf("allow/%.*s", BSTR_ARG(team));
}

/* The hold of a cell in a row, if it has one. */
static allowance_hold *allow_find(const allowance_row *row, const cell_id *cell)
{
	u_int i;

	for (i = 0; i < row->holds.holds_len; i++) {
		allowance_hold *h = &row->holds.holds_val[i];

		if (bstr_eq(h->cell.pool, cell->pool) &&
		    bstr_eq(h->cell.dc, cell->dc))
			return h;
	}
	return NULL;
}

/* The sum of all holds. */
static uint32_t allow_sum(const allowance_row *row)
{
	uint32_t sum = 0;
	u_int i;

	for (i = 0; i < row->holds.holds_len; i++)
		sum += row->holds.holds_val[i].amount;
	return sum;
}

/* The upper limit in force here. */
static uint32_t team_limit(struct state *st, bstr team)
{
	const struct team *t = config_find_team(st->config, team);

	return t ? t->limit : 0;
}

/*
 * What the cell may use of its hold: less than all of it while the limit is
 * being lowered, or while other cells have asked for a part.
 */
static uint32_t allow_ceiling(struct state *st, const struct cell_team *t)
{
	uint64_t sum = allow_sum(&t->row), limit = team_limit(st, t->team);
	uint32_t fair, held = t->allowance;

	if (sum > limit)
		held = (uint32_t)(held * limit / sum);
	if (!t->return_requested)
		return held;
	fair = (uint32_t)(limit / (t->row.holds.holds_len + 1));
	if (held <= fair)
		return held;
	return held - t->return_requested > fair && held > t->return_requested
		       ? held - t->return_requested
		       : fair;
}

/* Slots of workers that may run what an earlier owner started. */
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
 * How many more tasks of a team may be started here now.  A new owner has
 * to leave room for what may run on workers that have not answered to it
 * yet: those tasks count against the same hold.
 */
uint32_t allowance_available(struct state *st, struct cell *c,
			     struct cell_team *t)
{
	uint64_t used = team_used(t), ceiling = allow_ceiling(st, t);

	used += cell_unfenced(st, c);
	return t->loaded && used < ceiling ? (uint32_t)(ceiling - used) : 0;
}

/* Take a row that was read. */
static void allow_take(struct cell *c, struct cell_team *t, const table_row *r)
{
	allowance_hold *h;

	xdr_free(XDR_PROC(xdr_allowance_row), (char *)&t->row);
	memset(&t->row, 0, sizeof(t->row));
	t->revision = r->revision;
	t->stale = false;
	if (r->revision)
		t->loaded = xdr_decode(XDR_PROC(xdr_allowance_row), r->value,
				       &t->row, sizeof(t->row));
	else
		t->loaded = true;
	h = allow_find(&t->row, &c->unit->id);
	t->allowance = h ? h->amount : 0;
	/*
	 * A write that gave some back went unanswered and may still land, as
	 * long as the row is at the version that it checks.  Another cell
	 * could then take that part: it must not be spent here meanwhile, or
	 * the team would run more than its limit.
	 */
	t->capped = t->capped && t->cap_revision == t->revision;
	if (t->capped && t->allowance > t->cap)
		t->allowance = t->cap;
}

/* Find a cell's team by the name of a request: "pool dc team". */
static struct cell_team *allow_who(struct state *st, bstr name, struct cell **c)
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

/* Read a team's row. */
static void allow_load(struct state *st, struct cell *c, struct cell_team *t)
{
	bstr name = bstr_printf("%.*s %.*s %.*s", BSTR_ARG(c->unit->id.pool),
				BSTR_ARG(c->unit->id.dc), BSTR_ARG(t->team));
	bstr key = allow_key(t->team);

	t->request = table_read(st, REQ_ALLOWANCE_READ, name, &key, 1);
	bstr_free(&key);
	bstr_free(&name);
}

/* Write the row with another hold for this cell. */
static void allow_write(struct state *st, struct cell *c, struct cell_team *t,
			uint32_t amount)
{
	uint32_t limit = team_limit(st, t->team), sum;
	bstr key = allow_key(t->team), name;
	allowance_hold *h;
	allowance_row row;
	fx_commit k = {0};

	xdr_copy(XDR_PROC(xdr_allowance_row), &row, &t->row, sizeof(row));
	h = allow_find(&row, &c->unit->id);
	if (!h) {
		row.holds.holds_val = xrealloc(row.holds.holds_val,
					       row.holds.holds_len + 1,
					       sizeof(*h));
		h = &row.holds.holds_val[row.holds.holds_len++];
		xdr_copy(XDR_PROC(xdr_cell_id), &h->cell, &c->unit->id,
			 sizeof(h->cell));
	}
	h->amount = amount;
	sum = allow_sum(&row);
	row.limit = sum > limit ? sum : limit;
	name = bstr_printf("%.*s %.*s %.*s", BSTR_ARG(c->unit->id.pool),
			   BSTR_ARG(c->unit->id.dc), BSTR_ARG(t->team));
	/* The cell's row too: an owner that was replaced changes nothing. */
	commit_check(&k, c->unit->name, c->unit->revision);
	commit_check(&k, key, t->revision);
	commit_put(&k, key, XDR_PROC(xdr_allowance_row), &row);
	/* Less is in force at once, more only when it is committed. */
	if (amount < t->allowance)
		t->allowance = amount;
	t->commit_allowance = amount;
	t->request = table_commit(st, REQ_ALLOWANCE_COMMIT, name, &k,
				  st->now + ALLOW_GIVE_UP_MS);
	xdr_free(XDR_PROC(xdr_allowance_row), (char *)&row);
	bstr_free(&key);
	bstr_free(&name);
}

/* A team's row was read. */
void allowance_read(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct cell *c = NULL;
	struct cell_team *t = allow_who(st, rq->name, &c);

	if (!t || t->request != rq->id)
		return;
	t->request = 0;
	t->retry_at = st->now;
	if (ev->outcome == PLATFORM_OK && ev->rows.rows_len)
		allow_take(c, t, &ev->rows.rows_val[0]);
	else
		t->retry_at = st->now + ALLOW_RETRY_MS;
	c->dirty = true;
}

/*
 * A change of the hold has its outcome.  After a lost race or an unknown
 * outcome the row is read before it is written again; what is held until then
 * is the lesser of old and new, so a cell whose platform is down goes on with
 * that.  Nobody but this cell's owner changes its hold: who won the race has
 * changed another cell's, or is a successor, which counts what may run here
 * until the workers answer to it.
 */
void allowance_committed(struct state *st, struct request *rq,
			 const ev_platform *ev)
{
	struct cell *c = NULL;
	struct cell_team *t = allow_who(st, rq->name, &c);
	allowance_hold *h;
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
		t->revision = row_version(ev,
					  rq->commit.writes.writes_val[i].key);
	}
	h = allow_find(&t->row, &c->unit->id);
	t->allowance = h ? h->amount : 0;
	t->capped = false; /* the row's version has moved on */
	t->retry_at = st->now + ALLOW_RETRY_MS / 3;
	c->dirty = true;
}

/* Ask the cells that hold the limit to give some of it back. */
static void allow_want(struct state *st, struct cell *c, struct cell_team *t,
		       uint32_t amount)
{
	peer_message msg = {.kind = PM_LIMIT_REQUEST};
	struct unit *u;
	bstr owner;
	u_int i;

	if (st->now < t->request_more_at)
		return;
	t->request_more_at = st->now + ALLOW_RETRY_MS * 2;
	t->stale = true; /* they will change the row */
	for (i = 0; i < t->row.holds.holds_len; i++) {
		allowance_hold *h = &t->row.holds.holds_val[i];

		u = unit_of_cell(st, &h->cell);
		if (!h->amount || !u || u == c->unit)
			continue;
		owner = unit_choose(st, u);
		if (!owner.bstr_len)
			continue;
		msg.peer_message_u.limit_request = (pm_limit_request){
			h->cell, t->team, amount};
		peer_send(st, owner, &msg);
	}
}

/* Another cell of the team needs some of what we hold. */
void allowance_requested(struct state *st, const pm_limit_request *m)
{
	struct unit *u = unit_of_cell(st, &m->cell);
	struct cell_team *t;

	if (!unit_is_active(st, u) || !u->cell)
		return;
	/* A hold left by an earlier owner is known only from the row. */
	t = cell_team_get(st, u->cell, m->team);
	t->return_requested = m->amount;
	t->loaded = t->loaded && t->allowance;
	t->retry_at = st->now;
	effect_wake(st, st->now);
}

/* How much the team needs here beyond what it uses. */
static uint32_t allow_need(const struct cell *c, const struct cell_team *t)
{
	uint32_t most = 2 * (c->running + 16);

	return t->queued < most ? t->queued : most;
}

/* Get more, if work waits for it. */
static void allow_grow(struct state *st, struct cell *c, struct cell_team *t)
{
	uint32_t need = allow_need(c, t), limit = team_limit(st, t->team);
	uint32_t sum = allow_sum(&t->row), free_part;

	free_part = sum < limit ? limit - sum : 0;
	/* A block, so that a steady stream does not write at each step. */
	need += need / 2;
	if (need < BLOCK && free_part >= limit / 2 + BLOCK)
		need = BLOCK;
	if (need > free_part) {
		if (!t->return_requested)
			allow_want(st, c, t, need - free_part);
		need = free_part;
	}
	if (need)
		allow_write(st, c, t, t->allowance + need);
}

/* Give back what was asked for, or what has not been used for a while. */
static void allow_shrink(struct state *st, struct cell *c, struct cell_team *t)
{
	uint32_t used = team_used(t), ceiling = allow_ceiling(st, t);
	uint32_t keep = used + allow_need(c, t), idle;

	if (ceiling < t->allowance) {
		/* Lowered or asked for: down to the ceiling, not below use. */
		if (keep > ceiling)
			keep = ceiling;
		if (keep < used)
			keep = used;
		if (keep < t->allowance)
			allow_write(st, c, t, keep);
		if (keep <= ceiling)
			t->return_requested = 0;
		return;
	}
	t->return_requested = 0;
	if (t->peak_need < keep)
		t->peak_need = keep;
	/* Nobody can take it while the platform is down. */
	if (st->now - t->idle_at < IDLE_MS || !st->platform_up)
		return;
	idle = t->allowance > t->peak_need ? t->allowance - t->peak_need : 0;
	if (idle)
		allow_write(st, c, t, t->allowance - (idle + 1) / 2);
	t->peak_need = keep;
	t->idle_at = st->now;
}

/* Look after the allowances of a cell. */
void limits_tick(struct state *st, struct cell *c)
{
	struct cell_team *t, *next;

	HASH_ITER(hh, c->teams, t, next) {
		if (t->request || st->now < t->retry_at)
			continue;
		if (!t->loaded || t->stale) {
			if (t->queued || t->return_requested || team_used(t))
				allow_load(st, c, t);
			continue;
		}
		if (t->queued && !allowance_available(st, c, t))
			allow_grow(st, c, t);
		if (!t->request)
			allow_shrink(st, c, t);
	}
}
