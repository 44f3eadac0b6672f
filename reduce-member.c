/*
 * Membership of entry VMs.  Each VM renews a lease in its own member row,
 * scans the rows of the others and pings them.
 */
#include "reduce.h"

#include <stdlib.h>
#include <string.h>

#define MEMBER_PREFIX "member/"
/* Added to a lease for differences in clock speed and for late scans. */
#define LEASE_MARGIN_MS 1000

/* Returns a member, or NULL if there is none, or it is this VM itself. */
struct member *member_find(struct state *st, bstr vm)
{
	struct member *m;

	HASH_FIND_BSTR(st->members, vm, m);
	return m;
}

/* Returns true if a member's row shows a valid lease and no planned stop. */
bool member_alive(const struct member *m)
{
	return m->listed && !m->lease_expired && !m->leaving;
}

/* Returns true if a member is alive and has answered a recent ping. */
bool member_reachable(const struct state *st, const struct member *m)
{
	return member_alive(m) &&
	       st->now - m->ponged_at < 4 * (int64_t)st->ping_ms;
}

/*
 * Returns true if a member is alive and has answered this VM, or has had no
 * time to yet.  One that has not answered may have been gone for long while
 * its lease still seems valid here.
 */
static bool member_responsive(const struct state *st, const struct member *m)
{
	return member_alive(m) &&
	       (m->ponged_at >= 0 ||
		st->now - m->incarnation_seen_at < 4 * (int64_t)st->ping_ms);
}

/*
 * Returns true if this VM's own lease is valid.  It counts from when the
 * renewal was sent, and other VMs count from when they read the row, so it
 * always expires here before it does for them.
 */
bool lease_valid(const struct state *st)
{
	return st->now < st->lease_until;
}

/* Sends a message to a peer, or delivers it locally if it is for this VM. */
void peer_send(struct state *st, bstr to, const peer_message *m)
{
	struct local_message *lm;
	struct member *p;
	effect *fx;

	if (bstr_eq(to, st->vm)) {
		lm = xcalloc(1, sizeof(*lm));
		xdr_copy(XDR_PROC(xdr_peer_message), &lm->message, m,
			 sizeof(lm->message));
		TAILQ_INSERT_TAIL(&st->local, lm, entry);
		return;
	}
	p = member_find(st, to);
	if (!p)
		return; /* the sender retries or gives up at its deadline */
	fx = effect_add(st, FX_PEER);
	fx->effect_u.peer.to = bstr_copy(to);
	fx->effect_u.peer.address = bstr_copy(p->address);
	fx->effect_u.peer.deadline = st->now + MESSAGE_TTL_MS;
	xdr_copy(XDR_PROC(xdr_peer_message), &fx->effect_u.peer.message, m,
		 sizeof(*m));
}

/*
 * Returns the VM whose hash with a unit is the highest below a bound, empty if
 * there is none, and sets the bound to that hash.  If responsive is set, only
 * members that have answered this VM are considered.  A cell is owned in its
 * own data centre.
 */
static bstr unit_best_below(struct state *st, const struct unit *u,
			    bool responsive, uint64_t *bound)
{
	uint64_t h, highest = 0, below = *bound;
	struct member *m, *next;
	bstr best = BSTR_NONE;

	if (lease_valid(st) && !st->stopping &&
	    (u->kind == UNIT_SHARD || bstr_eq(u->id.dc, st->dc))) {
		h = hash64(u->name, st->vm);
		if (h < below) {
			best = st->vm;
			highest = h;
		}
	}
	HASH_ITER(hh, st->members, m, next) {
		if (!(responsive ? member_responsive(st, m)
				 : member_alive(m)) ||
		    (u->kind == UNIT_CELL && !bstr_eq(u->id.dc, m->dc)))
			continue;
		h = hash64(u->name, m->vm);
		if (h < below && (!best.bstr_len || h > highest)) {
			best = m->vm;
			highest = h;
		}
	}
	*bound = highest;
	return best;
}

/*
 * Returns the VM that should own a unit, or empty if there is none.  It is
 * chosen by rendezvous hashing: all VMs with the same list of members choose
 * the same, and if one leaves, only its units move.
 */
bstr unit_choose(struct state *st, const struct unit *u)
{
	return unit_choose_next(st, u, 0);
}

/*
 * Returns the VM that should own a unit if the first skipped VMs of its
 * preference order were absent; empty if there are no more.  It may still own
 * the unit if the better ones have only just joined.
 */
bstr unit_choose_next(struct state *st, const struct unit *u, unsigned skipped)
{
	uint64_t bound = UINT64_MAX;
	bstr vm = unit_best_below(st, u, false, &bound);

	while (skipped-- && vm.bstr_len)
		vm = unit_best_below(st, u, false, &bound);
	return vm;
}

/*
 * Returns true if this VM is the best owner among the members that have
 * answered it.  A better one in the list may be long gone: a VM that has just
 * joined considers it alive for a whole lease, while the others know that it
 * is gone and hand units over to the VM that joined.  If that one waited for
 * the lease to expire, the units would have no owner meanwhile.
 */
bool unit_is_fallback_owner(struct state *st, const struct unit *u)
{
	uint64_t bound = UINT64_MAX;

	return bstr_eq(unit_best_below(st, u, true, &bound), st->vm);
}

/* Renews this VM's lease: writes its own member row with the next seq. */
static void member_renew(struct state *st)
{
	member_row row = {st->vm,	   st->dc,	     st->address,
			  st->incarnation, ++st->member_seq, st->stopping};
	bstr key = bstr_printf(MEMBER_PREFIX "%.*s", BSTR_ARG(st->vm));
	fx_commit c = {0};

	commit_check(&c, key, st->member_revision);
	commit_put(&c, key, XDR_PROC(xdr_member_row), &row);
	/* A renewal older than the lease is useless, so it is given up. */
	st->member_request = table_commit(st, REQ_MEMBER_RENEW, st->vm, &c,
					  st->now +
						  (int64_t)st->member_lease_ms);
	st->renew_at = st->now + st->member_renew_ms;
	bstr_free(&key);
}

/*
 * Handles a renewal that failed because its row had another revision.  Before
 * the first renewal, the row is that of an earlier process of this VM, and is
 * replaced.  Later, a missing row was removed while this VM was paused, which
 * then joins again.  Another incarnation in the row means that a newer process
 * runs under the same name, and this one exits.
 */
static void member_conflict(struct state *st, const ev_platform *ev)
{
	bstr key = bstr_printf(MEMBER_PREFIX "%.*s", BSTR_ARG(st->vm));
	const table_row *r = row_find(ev, key);
	member_row row;
	bool ours = false;

	bstr_free(&key);
	if (r && r->revision &&
	    xdr_decode(XDR_PROC(xdr_member_row), r->value, &row, sizeof(row))) {
		ours = row.incarnation == st->incarnation;
		xdr_free(XDR_PROC(xdr_member_row), (char *)&row);
	}
	if (r && r->revision && !ours && st->member_revision) {
		effect_log(st, LOG_STOPPED,
			   "another process bears the name %.*s",
			   BSTR_ARG(st->vm));
		st->stopped = true;
		effect_add(st, FX_EXIT);
		return;
	}
	units_mark_unverified(st);
	st->member_revision = r ? r->revision : 0;
	st->renew_at = st->now;
}

/* Handles the outcome of a renewal. */
void member_renewed(struct state *st, struct request *rq, const ev_platform *ev)
{
	int64_t until = rq->sent_at + st->member_lease_ms;
	bstr key;

	st->member_request = 0;
	if (ev->outcome == PLATFORM_CONFLICT) {
		member_conflict(st, ev);
		return;
	}
	if (ev->outcome != PLATFORM_OK) {
		/* The renewal may have taken effect or not: read the row. */
		key = bstr_printf(MEMBER_PREFIX "%.*s", BSTR_ARG(st->vm));
		table_read(st, REQ_MEMBER_READ, st->vm, &key, 1);
		bstr_free(&key);
		return;
	}
	st->member_revision = ev->rows.rows_len ? ev->rows.rows_val[0].revision
						: st->member_revision + 1;
	/* While the lease was expired, others may have taken units over. */
	if (!lease_valid(st))
		units_mark_unverified(st);
	if (until > st->lease_until)
		st->lease_until = until;
}

/* Handles the read of this VM's own row after an uncertain renewal. */
void member_read(struct state *st, const ev_platform *ev)
{
	st->renew_at = st->now;
	if (ev->outcome != PLATFORM_OK || !ev->rows.rows_len)
		return;
	member_conflict(st, ev);
}

/*
 * Restarts the expiry of all members' leases after this process was paused or
 * its clock jumped.  Counted across the gap, the lease of a live owner would
 * seem to have expired, and its units would be taken from it.
 */
void members_paused(struct state *st)
{
	struct member *m, *next;

	HASH_ITER(hh, st->members, m, next)
		m->seen_at = st->now;
}

/* Adds or updates a member from its row, as read by a scan sent at sent_at. */
static void member_row_apply(struct state *st, const table_row *r,
			     int64_t sent_at)
{
	struct member *m;
	member_row row;

	if (!xdr_decode(XDR_PROC(xdr_member_row), r->value, &row, sizeof(row)))
		return;
	if (bstr_eq(row.vm, st->vm))
		goto out;
	m = member_find(st, row.vm);
	if (!m) {
		m = xcalloc(1, sizeof(*m));
		m->vm = bstr_copy(row.vm);
		m->ponged_at = m->proof_at = INT64_MIN / 2;
		m->incarnation_seen_at = st->now;
		m->seen_at = st->now;
		HASH_ADD_BSTR(st->members, vm, m);
		effect_log(st, LOG_MEMBER_SEEN, "%.*s at %.*s",
			   BSTR_ARG(row.vm), BSTR_ARG(row.address));
	}
	if (m->incarnation != row.incarnation) {
		m->ponged_at = m->proof_at = INT64_MIN / 2;
		m->incarnation_seen_at = st->now;
		m->config_revision = 0;
	}
	if (m->incarnation != row.incarnation || m->seq != row.seq) {
		m->seen_at = st->now;
		m->lease_expired = false;
		m->leaving = row.leaving;
	} else if (!m->lease_expired && sent_at >= m->seen_at +
							   st->member_lease_ms +
							   LEASE_MARGIN_MS) {
		m->lease_expired = true;
		m->lease_expired_at = st->now;
		effect_log(st, LOG_MEMBER_GONE, "%.*s has not renewed",
			   BSTR_ARG(m->vm));
	}
	m->incarnation = row.incarnation;
	m->seq = row.seq;
	m->revision = r->revision;
	m->listed = true;
	bstr_set(&m->dc, row.dc);
	bstr_set(&m->address, row.address);
out:
	xdr_free(XDR_PROC(xdr_member_row), (char *)&row);
}

static void member_free(struct state *st, struct member *m)
{
	HASH_DEL(st->members, m);
	bstr_free(&m->vm);
	bstr_free(&m->dc);
	bstr_free(&m->address);
	free(m);
}

void member_free_all(struct state *st)
{
	struct member *m, *next;

	HASH_ITER(hh, st->members, m, next)
		member_free(st, m);
}

/*
 * Removes the row of a member whose lease expired long ago.  Until then the row
 * must stay, because without the platform the VMs prove to each other that the
 * configuration is fresh, and need to hear from every VM that has a row.  Each
 * VM attempts the removal in one of 32 scans on average.
 */
static void member_remove_expired(struct state *st, struct member *m)
{
	fx_commit c = {0};
	bstr key;

	if (!m->lease_expired ||
	    st->now - m->lease_expired_at < PEER_PROOF_MS ||
	    state_random(st, 32))
		return;
	key = bstr_printf(MEMBER_PREFIX "%.*s", BSTR_ARG(m->vm));
	commit_check(&c, key, m->revision);
	commit_remove(&c, key);
	table_commit(st, REQ_MEMBER_REMOVE, m->vm, &c, st->now + 5000);
	bstr_free(&key);
}

/* Handles a scan of all member rows; a member without a row is removed. */
void member_scanned(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct member *m, *next;
	u_int i, n = 1;

	st->member_scan_request = 0;
	if (ev->outcome != PLATFORM_OK)
		return;
	HASH_ITER(hh, st->members, m, next)
		m->listed = false;
	for (i = 0; i < ev->rows.rows_len; i++)
		member_row_apply(st, &ev->rows.rows_val[i], rq->sent_at);
	HASH_ITER(hh, st->members, m, next) {
		if (!m->listed) {
			effect_log(st, LOG_MEMBER_GONE, "%.*s has left",
				   BSTR_ARG(m->vm));
			member_free(st, m);
			continue;
		}
		n += member_alive(m);
		member_remove_expired(st, m);
	}
	st->members_scanned_at = st->now;
	effect_count(st, COUNT_MEMBERS, n);
}

/* Returns the content of a ping or its answer from this VM. */
static pm_ping member_ping_content(struct state *st, uint64_t seq)
{
	pm_ping p = {.seq = seq, .incarnation = st->incarnation};

	p.config_revision = st->config ? st->config->revision : 0;
	p.proof = proof_fresh(st);
	if (p.proof)
		p.proof_age_ms = (uint32_t)(st->now - st->proof_at);
	return p;
}

/* Pings every member, also those with an expired lease: they may be back. */
void member_ping_all(struct state *st)
{
	peer_message msg = {.kind = PM_PING};
	struct member *m, *next;

	HASH_ITER(hh, st->members, m, next) {
		m->ping_seq = ++st->ping_seq;
		m->ping_at = st->now;
		msg.peer_message_u.ping = member_ping_content(st, m->ping_seq);
		peer_send(st, m->vm, &msg);
	}
	st->ping_at = st->now + st->ping_ms;
}

/* Handles a peer's ping, or its answer (pong) to one of this VM. */
void member_ping(struct state *st, bstr from, const pm_ping *p, bool pong)
{
	struct member *m = member_find(st, from);
	peer_message msg = {.kind = PM_PONG};

	if (!m) {
		st->member_scan_at = st->now; /* the peer has just joined */
		return;
	}
	m->heard_at = st->now;
	m->config_revision = p->config_revision;
	if (st->config && p->config_revision > st->config->revision)
		st->heads_poll_at = st->now;
	if (!pong) {
		msg.peer_message_u.ping = member_ping_content(st, p->seq);
		peer_send(st, from, &msg);
		return;
	}
	if (p->seq != m->ping_seq) {
		effect_count(st, COUNT_DROPPED_LATE, 1);
		return;
	}
	m->ponged_at = m->ping_at;
	if (p->proof)
		m->proof_at = m->ping_at - p->proof_age_ms;
}

/*
 * Handles a peer's announcement of its planned stop: other VMs are chosen for
 * its units without waiting for its lease to expire.
 */
void member_leaving(struct state *st, bstr from)
{
	struct member *m = member_find(st, from);

	if (m)
		m->leaving = true;
}

/*
 * Renews this VM's lease, scans the member rows and pings the peers when due.
 */
void member_tick(struct state *st)
{
	if (!st->member_request && st->now >= st->renew_at)
		member_renew(st);
	if (!st->member_scan_request && st->now >= st->member_scan_at) {
		st->member_scan_request = table_scan(
			st, REQ_MEMBER_SCAN, st->vm, bstr_lit(MEMBER_PREFIX));
		st->member_scan_at = st->now + st->member_renew_ms;
	}
	if (st->now >= st->ping_at)
		member_ping_all(st);
}
