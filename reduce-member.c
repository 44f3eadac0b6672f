#include "reduce.h"

#include <stdlib.h>
#include <string.h>

#define MEMBER_PREFIX "member/"
/* Allowance for clocks that run at different speeds, and for late scans. */
#define LEASE_MARGIN_MS 1000

/* Find a member; this VM itself is not in the list. */
struct member *member_find(struct state *st, bstr vm)
{
	struct member *m;

	HASH_FIND_BSTR(st->members, vm, m);
	return m;
}

/* Does its lease hold, as far as the rows tell? */
bool member_alive(const struct member *m)
{
	return m->listed && !m->lease_expired && !m->leaving;
}

/* Has it answered a ping lately? */
bool member_reachable(const struct state *st, const struct member *m)
{
	return member_alive(m) &&
	       st->now - m->ponged_at < 4 * (int64_t)st->ping_ms;
}

/*
 * Has a VM answered us, or had no time to yet?  One that has not may be long
 * gone, though its row's age does not tell that yet.
 */
static bool member_answers(const struct state *st, const struct member *m)
{
	return member_alive(m) &&
	       (m->ponged_at >= 0 ||
		st->now - m->incarnation_seen_at < 4 * (int64_t)st->ping_ms);
}

/*
 * Our own lease.  It counts from when the renewal was sent, others count
 * from when they read it, so it always ends here before it ends for them.
 */
bool lease_valid(const struct state *st)
{
	return st->now < st->lease_until;
}

/* Send a message to a peer, or to ourselves without the network. */
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
		return; /* the sender's own deadline deals with it */
	fx = effect_add(st, FX_PEER);
	fx->effect_u.peer.to = bstr_copy(to);
	fx->effect_u.peer.address = bstr_copy(p->address);
	fx->effect_u.peer.deadline = st->now + MESSAGE_TTL_MS;
	xdr_copy(XDR_PROC(xdr_peer_message), &fx->effect_u.peer.message, m,
		 sizeof(*m));
}

/*
 * The VM whose hash with a unit is the highest below a bound, and that hash;
 * empty: there is none.  Only those that have answered us count if answering is
 * set. A cell is owned in its own data centre.
 */
static bstr unit_best_below(struct state *st, const struct unit *u,
			    bool answering, uint64_t *bound)
{
	uint64_t h, most = 0, below = *bound;
	struct member *m, *next;
	bstr best = BSTR_NONE;

	if (lease_valid(st) && !st->stopping &&
	    (u->kind == UNIT_SHARD || bstr_eq(u->id.dc, st->dc))) {
		h = hash64(u->name, st->vm);
		if (h < below) {
			best = st->vm;
			most = h;
		}
	}
	HASH_ITER(hh, st->members, m, next) {
		if (!(answering ? member_answers(st, m) : member_alive(m)) ||
		    (u->kind == UNIT_CELL && !bstr_eq(u->id.dc, m->dc)))
			continue;
		h = hash64(u->name, m->vm);
		if (h < below && (!best.bstr_len || h > most)) {
			best = m->vm;
			most = h;
		}
	}
	*bound = most;
	return best;
}

/*
 * Choose the owner of a unit by rendezvous hashing: every VM comes to the
 * same answer from the same list, and one VM's end moves only what it had.
 */
bstr unit_choose(struct state *st, const struct unit *u)
{
	return unit_choose_next(st, u, 0);
}

/*
 * The VM that would own a unit if so many better ones were not there: until
 * they have been there for a while it is the one that does.  Empty: there are
 * not so many.
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
 * Is this VM the best of those that have answered it?  A better one in the list
 * may be long gone: a VM that has just joined takes it for alive for a whole
 * lease, while the others know better and hand its units over to the one that
 * joined.  They would have no owner meanwhile.
 */
bool unit_is_fallback_owner(struct state *st, const struct unit *u)
{
	uint64_t bound = UINT64_MAX;

	return bstr_eq(unit_best_below(st, u, true, &bound), st->vm);
}

/* Write our own row with the next number. */
static void member_renew(struct state *st)
{
	member_row row = {st->vm,	   st->dc,	     st->address,
			  st->incarnation, ++st->member_seq, st->stopping};
	bstr key = bstr_printf(MEMBER_PREFIX "%.*s", BSTR_ARG(st->vm));
	fx_commit c = {0};

	commit_check(&c, key, st->member_revision);
	commit_put(&c, key, XDR_PROC(xdr_member_row), &row);
	/* A renewal that is older than a lease is worth nothing. */
	st->member_request = table_commit(st, REQ_MEMBER_RENEW, st->vm, &c,
					  st->now +
						  (int64_t)st->member_lease_ms);
	st->renew_at = st->now + st->member_renew_ms;
	bstr_free(&key);
}

/*
 * A renewal lost on its row's version.  Before our first renewal the row is
 * left from an earlier process of this name: replace it.  Afterwards, a row
 * that is gone was cleaned away while we were paused: join anew.  Another
 * incarnation in it means that a new process bears our name: end.
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

/* A renewal came to its end. */
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
		/* The row may be at either version: read it. */
		key = bstr_printf(MEMBER_PREFIX "%.*s", BSTR_ARG(st->vm));
		table_read(st, REQ_MEMBER_READ, st->vm, &key, 1);
		bstr_free(&key);
		return;
	}
	st->member_revision = ev->rows.rows_len ? ev->rows.rows_val[0].revision
						: st->member_revision + 1;
	/* A lapse, however short, may have let others take over. */
	if (!lease_valid(st))
		units_mark_unverified(st);
	if (until > st->lease_until)
		st->lease_until = until;
}

/* Our own row was read after an uncertain renewal. */
void member_read(struct state *st, const ev_platform *ev)
{
	st->renew_at = st->now;
	if (ev->outcome != PLATFORM_OK || !ev->rows.rows_len)
		return;
	member_conflict(st, ev);
}

/*
 * This process was paused, or its clock has jumped: how long others have not
 * renewed must be measured anew.  Counted across a jump, a live owner's
 * lease would seem to have ended, and its units would be taken from it.
 */
void members_paused(struct state *st)
{
	struct member *m, *next;

	HASH_ITER(hh, st->members, m, next)
		m->seen_at = st->now;
}

/* Take a row into the list. */
static void member_listed(struct state *st, const table_row *r, int64_t sent_at)
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

/* Forget a member. */
static void member_free(struct state *st, struct member *m)
{
	HASH_DEL(st->members, m);
	bstr_free(&m->vm);
	bstr_free(&m->dc);
	bstr_free(&m->address);
	free(m);
}

/* Forget all. */
void member_free_all(struct state *st)
{
	struct member *m, *next;

	HASH_ITER(hh, st->members, m, next)
		member_free(st, m);
}

/*
 * Take away the row of a VM that is long gone.  It must stay while others
 * may still vouch for each other without the platform: they count on
 * hearing every VM that has a row.
 */
static void member_clean(struct state *st, struct member *m)
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

/* The list of member rows came. */
void member_scanned(struct state *st, struct request *rq, const ev_platform *ev)
{
	struct member *m, *next;
	u_int i, n = 1;

	st->scan_request = 0;
	if (ev->outcome != PLATFORM_OK)
		return;
	HASH_ITER(hh, st->members, m, next)
		m->listed = false;
	for (i = 0; i < ev->rows.rows_len; i++)
		member_listed(st, &ev->rows.rows_val[i], rq->sent_at);
	HASH_ITER(hh, st->members, m, next) {
		if (!m->listed) {
			effect_log(st, LOG_MEMBER_GONE, "%.*s has left",
				   BSTR_ARG(m->vm));
			member_free(st, m);
			continue;
		}
		n += member_alive(m);
		member_clean(st, m);
	}
	st->scanned_at = st->now;
	effect_count(st, COUNT_MEMBERS, n);
}

/* What we tell peers about ourselves. */
static pm_ping member_words(struct state *st, uint64_t seq)
{
	pm_ping p = {.seq = seq, .incarnation = st->incarnation};

	p.config_revision = st->config ? st->config->revision : 0;
	p.proof = proof_fresh(st);
	if (p.proof)
		p.proof_age_ms = (uint32_t)(st->now - st->proof_at);
	return p;
}

/* Ping every member, the ones taken as gone too: they may be back. */
void member_ping_all(struct state *st)
{
	peer_message msg = {.kind = PM_PING};
	struct member *m, *next;

	HASH_ITER(hh, st->members, m, next) {
		m->ping_seq = ++st->ping_seq;
		m->ping_at = st->now;
		msg.peer_message_u.ping = member_words(st, m->ping_seq);
		peer_send(st, m->vm, &msg);
	}
	st->ping_at = st->now + st->ping_ms;
}

/* A peer's ping, or its answer to ours. */
void member_ping(struct state *st, bstr from, const pm_ping *p, bool pong)
{
	struct member *m = member_find(st, from);
	peer_message msg = {.kind = PM_PONG};

	if (!m) {
		st->scan_at = st->now; /* one that has just joined */
		return;
	}
	m->heard_at = st->now;
	m->config_revision = p->config_revision;
	if (st->config && p->config_revision > st->config->revision)
		st->heads_poll_at = st->now;
	if (!pong) {
		msg.peer_message_u.ping = member_words(st, p->seq);
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

/* A peer ends in good order: its units need no lease to run out. */
void member_leaving(struct state *st, bstr from)
{
	struct member *m = member_find(st, from);

	if (m)
		m->leaving = true;
}

/* Renew, scan and ping when due. */
void member_tick(struct state *st)
{
	if (!st->member_request && st->now >= st->renew_at)
		member_renew(st);
	if (!st->scan_request && st->now >= st->scan_at) {
		st->scan_request = table_scan(st, REQ_MEMBER_SCAN, st->vm,
					      bstr_lit(MEMBER_PREFIX));
		st->scan_at = st->now + st->member_renew_ms;
	}
	if (st->now >= st->ping_at)
		member_ping_all(st);
}
