/*
 * Ownership of units (cells and shards).  A VM claims a unit by writing its
 * name and the next epoch to the unit's row, and releases it by removing its
 * name.  Rendezvous hashing over the live members decides who should own it.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

#define UNIT_RETRY_MS 300
/* Hand a unit over once another VM has been its better owner for this long. */
#define UNIT_HANDOVER_MS 1000

/* Returns the unit with a row's key, or NULL. */
struct unit *unit_find(struct state *st, bstr name)
{
	struct unit *u;

	HASH_FIND_BSTR(st->units, name, u);
	return u;
}

/* Returns the unit of a cell, or NULL if no configuration has named it. */
struct unit *unit_of_cell(struct state *st, const cell_id *id)
{
	bstr name = bstr_printf("cell/%.*s/%.*s", BSTR_ARG(id->pool),
				BSTR_ARG(id->dc));
	struct unit *u = unit_find(st, name);

	bstr_free(&name);
	return u;
}

/* Finds the unit of a shard; NULL before there is a configuration. */
struct unit *unit_of_shard(struct state *st, uint32_t index)
{
	bstr name = bstr_printf("shard/%u", index);
	struct unit *u = unit_find(st, name);

	bstr_free(&name);
	return u;
}

/*
 * Returns true if this VM owns a unit and may act on it: its ownership does not
 * have to be verified first.
 */
bool unit_is_active(const struct state *st, const struct unit *u)
{
	(void)st;
	return u && u->state == UNIT_OWNED && !u->unverified;
}

/* Allocates an idle unit.  Takes ownership of name. */
static struct unit *unit_new(struct state *st, enum unit_kind kind, bstr name)
{
	struct unit *u = xcalloc(1, sizeof(*u));

	u->kind = kind;
	u->name = name;
	u->row_unread = true;
	HASH_ADD_BSTR(st->units, name, u);
	return u;
}

/* Frees the cell or shard state that a unit's owner keeps. */
static void unit_free_content(struct state *st, struct unit *u)
{
	if (u->cell)
		cell_free(st, u->cell);
	if (u->shard)
		shard_free(st, u->shard);
	u->cell = NULL;
	u->shard = NULL;
}

void units_free(struct state *st)
{
	struct unit *u, *next;

	HASH_ITER(hh, st->units, u, next) {
		unit_free_content(st, u);
		HASH_DEL(st->units, u); /* NOLINT(clang-analyzer-core.*) */
		bstr_free(&u->name);
		bstr_free(&u->id.pool);
		bstr_free(&u->id.dc);
		bstr_free(&u->unknown_owner);
		free(u);
	}
}

/*
 * Gives up a unit without writing its row, and reads the row again after a
 * random delay.
 */
void unit_drop(struct state *st, struct unit *u, const char *why)
{
	if (u->state == UNIT_OWNED || u->state == UNIT_RELEASING) {
		effect_log(st, LOG_DISOWNED, "%.*s epoch %llu: %s",
			   BSTR_ARG(u->name), (unsigned long long)u->epoch,
			   why);
		effect_count(st, COUNT_RETRY_OWNER_CHANGED, 1);
	}
	unit_free_content(st, u);
	u->state = UNIT_IDLE;
	u->row_unread = true;
	u->unverified = false;
	u->verifying = false;
	u->handover_wanted_at = 0;
	u->retry_at = st->now + UNIT_RETRY_MS +
		      (int64_t)state_random(st, UNIT_RETRY_MS);
}

/*
 * Has the rows of all units read before this VM acts on them again, because
 * other VMs may have taken them over.
 */
void units_mark_unverified(struct state *st)
{
	struct unit *u, *next;

	HASH_ITER(hh, st->units, u, next)
		u->unverified = u->state != UNIT_IDLE;
}

/* Requests a unit's row. */
static void unit_request_row(struct state *st, struct unit *u)
{
	table_read(st, REQ_UNIT_READ, u->name, &u->name, 1);
}

/*
 * Lets a commit fail if the owner that is replaced has renewed its lease.  An
 * owner that was cut off may be back since this VM's last scan: it has found
 * its name in its units' rows and acts on them again, so they must not be taken
 * from it.
 */
static void unit_check_owner(struct state *st, fx_commit *c, bstr owner)
{
	struct member *m = member_find(st, owner);
	bstr key;

	if (!owner.bstr_len || bstr_eq(owner, st->vm))
		return;
	key = bstr_printf("member/%.*s", BSTR_ARG(owner));
	commit_check(c, key, m ? m->revision : 0);
	bstr_free(&key);
}

/* Replaces a unit's row, whose owner is from, at the revision last read. */
static void unit_write(struct state *st, struct unit *u, enum request_kind kind,
		       bstr from, bstr owner, uint64_t epoch)
{
	unit_row row = {owner, epoch};
	fx_commit c = {0};

	commit_check(&c, u->name, u->revision);
	unit_check_owner(st, &c, from);
	commit_put(&c, u->name, XDR_PROC(xdr_unit_row), &row);
	table_commit(st, kind, u->name, &c,
		     st->now + (int64_t)st->member_lease_ms);
}

/*
 * Returns true if the owner that a row names can be replaced.  An owner with a
 * valid lease hands over by itself.  An owner without a member row may have
 * joined since our last scan, so it counts as gone only when it is seen for
 * the second time.
 */
static bool unit_owner_gone(struct state *st, struct unit *u, bstr owner)
{
	struct member *m = member_find(st, owner);

	if (!owner.bstr_len || bstr_eq(owner, st->vm))
		return true;
	/* Until its lease expires, a leaving owner hands over by itself. */
	if (m)
		return m->lease_expired;
	if (bstr_eq(u->unknown_owner, owner))
		return true;
	bstr_set(&u->unknown_owner, owner);
	u->retry_at = st->now + 2 * (int64_t)st->member_renew_ms;
	return false;
}

/* Drops a unit if its row shows that this VM no longer owns it. */
static void unit_verify(struct state *st, struct unit *u, const table_row *r,
			const unit_row *row)
{
	u->verifying = false;
	if (r->revision && bstr_eq(row->owner, st->vm) &&
	    row->epoch == u->epoch)
		u->unverified = false;
	else
		unit_drop(st, u, "taken over while this VM was away");
}

/*
 * Handles the row of a unit that this VM does not own: claims the unit if this
 * VM should own it.  The row may still name this VM, if it dropped the unit or
 * its release got no answer.  As its lease is valid, no other VM would take the
 * unit over, and it would remain unserved; so it is released.
 */
static void unit_claim_or_release(struct state *st, struct unit *u, bstr owner)
{
	u->row_unread = false;
	if (bstr_eq(unit_choose(st, u), st->vm) ||
	    (!owner.bstr_len && unit_is_fallback_owner(st, u))) {
		if (!unit_owner_gone(st, u, owner))
			return;
		u->state = UNIT_CLAIMING;
		unit_write(st, u, REQ_UNIT_CLAIM, owner, st->vm, u->epoch + 1);
	} else if (bstr_eq(owner, st->vm)) {
		u->state = UNIT_RELEASING;
		unit_write(st, u, REQ_UNIT_RELEASE, owner, BSTR_NONE, u->epoch);
	}
}

/* Handles the read of a unit's row. */
void unit_read(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct unit *u = unit_find(st, rq->name);
	const table_row *r;
	unit_row row = {0};

	if (!u)
		return;
	r = row_find(ev, u->name);
	if (ev->outcome != PLATFORM_OK || !r ||
	    (r->revision && !xdr_decode(XDR_PROC(xdr_unit_row), r->value, &row,
					sizeof(row)))) {
		u->verifying = false;
		if (u->state == UNIT_READING)
			unit_drop(st, u, "its row could not be read");
		return;
	}
	if (u->state == UNIT_READING) {
		u->revision = r->revision;
		u->epoch = row.epoch;
		u->state = UNIT_IDLE;
		u->retry_at = st->now + UNIT_RETRY_MS;
		unit_claim_or_release(st, u, row.owner);
	} else if (u->verifying) {
		unit_verify(st, u, r, &row);
	}
	xdr_free(XDR_PROC(xdr_unit_row), (char *)&row);
}

/* Becomes the owner of a unit: a cell, or a shard whose journal is loaded. */
void unit_loaded(struct state *st, struct unit *u)
{
	u->state = UNIT_OWNED;
	/* Our lease may have expired before the claim was confirmed. */
	u->unverified = !lease_valid(st);
	effect_log(st, LOG_OWNED, "%.*s epoch %llu", BSTR_ARG(u->name),
		   (unsigned long long)u->epoch);
	effect_count(st, COUNT_TAKEOVERS, 1);
}

/* Handles the outcome of a claim. */
void unit_claimed(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct unit *u = unit_find(st, rq->name);

	if (!u || u->state != UNIT_CLAIMING)
		return;
	if (ev->outcome != PLATFORM_OK) {
		unit_drop(st, u, "claim lost");
		return;
	}
	u->revision = row_revision(ev, u->name);
	u->epoch++;
	bstr_free(&u->unknown_owner);
	if (u->kind == UNIT_CELL) {
		unit_loaded(st, u);
		cell_start(st, u);
	} else {
		u->state = UNIT_LOADING;
		shard_load(st, u);
	}
}

/* Handles the outcome of a release: drops the unit whatever it is. */
void unit_released(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct unit *u = unit_find(st, rq->name);

	(void)ev;
	if (u && u->state == UNIT_RELEASING)
		unit_drop(st, u, "handed over");
}

/*
 * Releases a unit.  A shard's records must be durable first.  The next owner of
 * a cell learns of started tasks from the workers, and the homes of queued ones
 * query it.
 */
static void unit_release(struct state *st, struct unit *u)
{
	if (u->shard && !shard_is_flushed(u->shard))
		return;
	u->state = UNIT_RELEASING;
	unit_write(st, u, REQ_UNIT_RELEASE, st->vm, BSTR_NONE, u->epoch);
}

/*
 * Returns true if an owned unit should be handed over: it is not configured,
 * this VM is stopping, or another VM has been its better owner for a while.
 */
static bool unit_handover_due(struct state *st, struct unit *u)
{
	bstr best;

	if (!u->configured || st->stopping)
		return true;
	best = unit_choose(st, u);
	if (!best.bstr_len || bstr_eq(best, st->vm) ||
	    unit_is_fallback_owner(st, u)) {
		u->handover_wanted_at = 0;
		return false;
	}
	if (!u->handover_wanted_at)
		u->handover_wanted_at = st->now;
	return st->now - u->handover_wanted_at >= UNIT_HANDOVER_MS;
}

/* Starts the next step of a unit that is idle or owned, if one is due. */
static void unit_advance(struct state *st, struct unit *u)
{
	switch (u->state) {
	case UNIT_IDLE:
		if (!u->configured || !lease_valid(st) ||
		    !st->members_scanned_at || st->stopping ||
		    st->now < u->retry_at ||
		    (!u->row_unread && !bstr_eq(unit_choose(st, u), st->vm) &&
		     !unit_is_fallback_owner(st, u)))
			return;
		u->state = UNIT_READING;
		unit_request_row(st, u);
		return;
	case UNIT_OWNED:
		if (!lease_valid(st))
			return;
		if (u->unverified) {
			if (!u->verifying)
				unit_request_row(st, u);
			u->verifying = true;
		} else if (unit_handover_due(st, u)) {
			unit_release(st, u);
		}
		return;
	case UNIT_READING:
	case UNIT_CLAIMING:
	case UNIT_LOADING:
	case UNIT_RELEASING:
		return;
	}
}

/* Creates the configured units, and marks those that no longer are. */
static void units_configure(struct state *st)
{
	struct unit *u, *un;
	struct pool *p, *pn;
	cell_id id;
	uint32_t i;
	size_t d;

	HASH_ITER(hh, st->units, u, un)
		u->configured = u->kind == UNIT_SHARD;
	for (i = 0; i < SHARD_COUNT; i++) {
		if (unit_of_shard(st, i))
			continue;
		u = unit_new(st, UNIT_SHARD, bstr_printf("shard/%u", i));
		u->index = i;
		u->configured = true;
	}
	HASH_ITER(hh, st->config->pools, p, pn) {
		for (d = 0; d < p->dc_count; d++) {
			id.pool = p->name;
			id.dc = p->dcs[d];
			u = unit_of_cell(st, &id);
			if (!u) {
				u = unit_new(st, UNIT_CELL,
					     bstr_printf("cell/%.*s/%.*s",
							 BSTR_ARG(id.pool),
							 BSTR_ARG(id.dc)));
				u->id.pool = bstr_copy(id.pool);
				u->id.dc = bstr_copy(id.dc);
			}
			u->configured = true;
		}
	}
}

/* Acquires, verifies and hands over units, and reports how many are owned. */
void units_tick(struct state *st)
{
	uint64_t cells = 0, shards = 0;
	struct unit *u, *next;

	if (!st->config)
		return;
	if (!st->units || st->units_revision != st->config->revision) {
		units_configure(st);
		st->units_revision = st->config->revision;
	}
	HASH_ITER(hh, st->units, u, next) {
		unit_advance(st, u);
		cells += u->kind == UNIT_CELL && u->state == UNIT_OWNED;
		shards += u->kind == UNIT_SHARD && u->state == UNIT_OWNED;
	}
	if (cells != st->reported_cells || shards != st->reported_shards) {
		effect_count(st, COUNT_CELLS, cells);
		effect_count(st, COUNT_SHARDS, shards);
	}
	st->reported_cells = cells;
	st->reported_shards = shards;
}
