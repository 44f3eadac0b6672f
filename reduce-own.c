#include "reduce.h"

#include <stdlib.h>
#include <string.h>

#define UNIT_RETRY_MS 300
/* How long another VM must be the better owner before we hand over. */
#define UNIT_UNWANTED_MS 1000

/* Find a unit by the key of its row. */
struct unit *unit_find(struct state *st, bstr name)
{
	struct unit *u;

	HASH_FIND_BSTR(st->units, name, u);
	return u;
}

/* The unit of a cell; NULL if the configuration has none. */
struct unit *unit_of_cell(struct state *st, const cell_id *id)
{
	bstr name = bstr_printf("cell/%.*s/%.*s", BSTR_ARG(id->pool),
				BSTR_ARG(id->dc));
	struct unit *u = unit_find(st, name);

	bstr_free(&name);
	return u;
}

/* The unit of a shard. */
struct unit *unit_of_shard(struct state *st, uint32_t index)
{
	bstr name = bstr_printf("shard/%u", index);
	struct unit *u = unit_find(st, name);

	bstr_free(&name);
	return u;
}

/* May this VM decide for the unit now? */
bool unit_is_active(const struct state *st, const struct unit *u)
{
	(void)st;
	return u && u->state == UNIT_OWNED && !u->unverified;
}

/* Make a unit, idle; takes name. */
static struct unit *unit_new(struct state *st, enum unit_kind kind, bstr name)
{
	struct unit *u = xcalloc(1, sizeof(*u));

	u->kind = kind;
	u->name = name;
	u->row_unread = true;
	HASH_ADD_BSTR(st->units, name, u);
	return u;
}

/* Free what an owner has of a unit. */
static void unit_free_body(struct state *st, struct unit *u)
{
	if (u->cell)
		cell_free(st, u->cell);
	if (u->shard)
		shard_free(st, u->shard);
	u->cell = NULL;
	u->shard = NULL;
}

/* Free all units. */
void units_free(struct state *st)
{
	struct unit *u, *next;

	HASH_ITER(hh, st->units, u, next) {
		unit_free_body(st, u);
		HASH_DEL(st->units, u); /* NOLINT(clang-analyzer-core.*) */
		bstr_free(&u->name);
		bstr_free(&u->id.pool);
		bstr_free(&u->id.dc);
		bstr_free(&u->unknown_owner);
		free(u);
	}
}

/* Give a unit up without touching its row. */
void unit_drop(struct state *st, struct unit *u, const char *why)
{
	if (u->state == UNIT_OWNED || u->state == UNIT_RELEASING) {
		effect_log(st, LOG_DISOWNED, "%.*s epoch %llu: %s",
			   BSTR_ARG(u->name), (unsigned long long)u->epoch,
			   why);
		effect_count(st, COUNT_RETRY_OWNER_CHANGED, 1);
	}
	unit_free_body(st, u);
	u->state = UNIT_IDLE;
	u->row_unread = true;
	u->unverified = false;
	u->verifying = false;
	u->handover_wanted_at = 0;
	u->retry_at = st->now + UNIT_RETRY_MS +
		      (int64_t)state_random(st, UNIT_RETRY_MS);
}

/* What is owned may have been taken over: ask before acting again. */
void units_mark_unverified(struct state *st)
{
	struct unit *u, *next;

	HASH_ITER(hh, st->units, u, next)
		u->unverified = u->state != UNIT_IDLE;
}

/* Read a unit's row. */
static void unit_ask(struct state *st, struct unit *u)
{
	table_read(st, REQ_UNIT_READ, u->name, &u->name, 1);
}

/*
 * The commit holds only while the owner that is replaced has not renewed.
 * One that was cut off may be back since our last scan: it has read its
 * units as its own and decides for them, so they must not be taken from it.
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

/* Write a unit's row over the version that was read, of an owner. */
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
 * May the owner that a row names be replaced?  An owner whose lease holds
 * hands over by itself.  A name that is in no member row may belong to a VM
 * that joined since our last scan: it is believed gone the second time.
 */
static bool unit_owner_gone(struct state *st, struct unit *u, bstr owner)
{
	struct member *m = member_find(st, owner);

	if (!owner.bstr_len || bstr_eq(owner, st->vm))
		return true;
	/* One that is leaving hands over itself, until its lease ends. */
	if (m)
		return m->lease_expired;
	if (bstr_eq(u->unknown_owner, owner))
		return true;
	bstr_set(&u->unknown_owner, owner);
	u->retry_at = st->now + 2 * (int64_t)st->member_renew_ms;
	return false;
}

/* The row of a unit we have was read: is it still ours? */
static void unit_checked(struct state *st, struct unit *u, const table_row *r,
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
 * The row of a unit that we don't have was read.  It may name us all the
 * same, if we dropped the unit or our release got no answer: we are alive,
 * so nobody would take it over, and it would stay without an owner.
 */
static void unit_found(struct state *st, struct unit *u, bstr owner)
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

/* A unit's row was read. */
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
		unit_found(st, u, row.owner);
	} else if (u->verifying) {
		unit_checked(st, u, r, &row);
	}
	xdr_free(XDR_PROC(xdr_unit_row), (char *)&row);
}

/* A shard's journal has been read, or a cell needs none. */
void unit_loaded(struct state *st, struct unit *u)
{
	u->state = UNIT_OWNED;
	/* The claim may have taken longer than our lease lasted. */
	u->unverified = !lease_valid(st);
	effect_log(st, LOG_OWNED, "%.*s epoch %llu", BSTR_ARG(u->name),
		   (unsigned long long)u->epoch);
	effect_count(st, COUNT_TAKEOVERS, 1);
}

/* Our claim on a unit has an outcome. */
void unit_claimed(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct unit *u = unit_find(st, rq->name);

	if (!u || u->state != UNIT_CLAIMING)
		return;
	if (ev->outcome != PLATFORM_OK) {
		unit_drop(st, u, "claim lost");
		return;
	}
	u->revision = row_version(ev, u->name);
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

/* Our release has an outcome; whatever it is, we let go. */
void unit_released(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct unit *u = unit_find(st, rq->name);

	(void)ev;
	if (u && u->state == UNIT_RELEASING)
		unit_drop(st, u, "handed over");
}

/*
 * Hand a unit over.  A shard's records must be durable first; a cell's
 * tasks are found on the workers by the next owner, queued ones are asked
 * after by their homes.
 */
static void unit_release(struct state *st, struct unit *u)
{
	if (u->shard && !shard_is_flushed(u->shard))
		return;
	u->state = UNIT_RELEASING;
	unit_write(st, u, REQ_UNIT_RELEASE, st->vm, BSTR_NONE, u->epoch);
}

/* Should another VM have this unit, and has it been so for a while? */
static bool unit_unwanted(struct state *st, struct unit *u)
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
	return st->now - u->handover_wanted_at >= UNIT_UNWANTED_MS;
}

/* Move one unit on. */
static void unit_step(struct state *st, struct unit *u)
{
	switch (u->state) {
	case UNIT_IDLE:
		if (!u->configured || !lease_valid(st) || !st->scanned_at ||
		    st->stopping || st->now < u->retry_at ||
		    (!u->row_unread && !bstr_eq(unit_choose(st, u), st->vm) &&
		     !unit_is_fallback_owner(st, u)))
			return;
		u->state = UNIT_READING;
		unit_ask(st, u);
		return;
	case UNIT_OWNED:
		if (!lease_valid(st))
			return;
		if (u->unverified) {
			if (!u->verifying)
				unit_ask(st, u);
			u->verifying = true;
		} else if (unit_unwanted(st, u)) {
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

/* Make the units that the configuration names; mark those it does not. */
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

/* Acquire, check and hand over. */
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
		unit_step(st, u);
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
