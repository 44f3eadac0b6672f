/*
 * Key checks and the freshness of the configuration.  A withdrawn key must stop
 * working within seconds.  So a VM accepts jobs only if it knows all
 * withdrawals that were accepted up to a time that is at most fresh_ms ago.
 * That time is proof_at.  It advances when this VM reads the configuration's
 * head row, or when a peer reports a later proof.  While no VM reaches the
 * platform, it advances when all VMs have answered pings: only entry VMs
 * accept withdrawals, and each reports the revision that it has, so none has
 * accepted a change that this VM does not have.
 */
#include "reduce.h"

/*
 * Advances the proof after a read of the head row, sent at sent_at, that found
 * no newer revision.
 */
void proof_confirm_head(struct state *st, int64_t sent_at)
{
	if (sent_at > st->proof_at)
		st->proof_at = sent_at;
}

/* Returns true if a member has no newer configuration than this VM. */
static bool proof_config_not_newer(const struct state *st,
				   const struct member *m)
{
	return st->config && m->config_revision <= st->config->revision;
}

/*
 * Returns the time up to which every member has confirmed that it accepted no
 * change newer than this VM's configuration, or a time long ago if there is no
 * such proof.  Valid only for PEER_PROOF_MS after the platform last answered,
 * because this VM would not know of a VM that has joined since then.
 */
static int64_t proof_from_pings(struct state *st)
{
	struct member *m, *next;
	int64_t at = st->now;

	if (!st->members_scanned_at ||
	    st->now - st->platform_answered_at > PEER_PROOF_MS)
		return INT64_MIN / 2;
	HASH_ITER(hh, st->members, m, next) {
		if (m->leaving)
			continue;
		if (!proof_config_not_newer(st, m))
			return INT64_MIN / 2;
		if (m->ponged_at < at)
			at = m->ponged_at;
	}
	return at;
}

/* Returns true if all keys withdrawn until fresh_ms ago are known here. */
bool proof_fresh(const struct state *st)
{
	return st->config_known && st->now - st->proof_at <= st->fresh_ms;
}

/* Advances the proof by the peers' pings, and reports a change of freshness. */
void proof_update(struct state *st)
{
	int64_t at = proof_from_pings(st);
	struct member *m, *next;
	bool fresh;

	HASH_ITER(hh, st->members, m, next) {
		if (m->proof_at > at && proof_config_not_newer(st, m))
			at = m->proof_at;
	}
	if (at > st->proof_at)
		st->proof_at = at;
	fresh = proof_fresh(st);
	if (fresh == st->fresh)
		return;
	st->fresh = fresh;
	effect_count(st, COUNT_FRESH, fresh);
	effect_log(st, fresh ? LOG_PROOF_BACK : LOG_PROOF_LOST, "%s",
		   fresh ? "new work is accepted"
			 : "new work is refused; accepted work goes on");
}

/* Fills in a refusal.  Returns NULL for key_check() to return. */
static const struct team *key_refuse(struct state *st, caller_answer *a,
				     uint32_t http, enum counter_id counter,
				     const char *detail, uint32_t retry)
{
	a->http = http;
	a->reason = bstr_new(counter_entries[counter].value);
	a->detail = bstr_new(detail);
	a->retry_after_ms = retry;
	effect_count(st, counter, 1);
	return NULL;
}

/*
 * Returns the team of a request's key, or NULL with a refusal to send.  Only
 * submissions need a fresh configuration; accepted jobs can always be queried
 * and cancelled.  Freshness is judged at the time of the event that carried the
 * request, so a process that was paused before does not rely on a proof from
 * before the pause.
 */
const struct team *key_check(struct state *st, const caller_request *rq,
			     caller_answer *refusal)
{
	bool submit = rq->body.kind == CALL_SUBMIT;
	struct team_key *k;

	if (!st->config_known)
		return key_refuse(st, refusal, 503, COUNT_REFUSED_NO_CONFIG,
				  "no configuration has been read yet",
				  RETRY_AFTER_MS);
	k = config_find_key(st->config, rq->key_id);
	if (!k || !secret_matches(rq->key_digest, k->salt, k->hash))
		return key_refuse(st, refusal, 401, COUNT_REFUSED_KEY,
				  "no such key", 0);
	if (k->withdrawn)
		return key_refuse(st, refusal, 401, COUNT_REFUSED_KEY_WITHDRAWN,
				  "the key has been withdrawn", 0);
	if (submit && !proof_fresh(st) &&
	    (!k->team->grace_ms ||
	     st->now - st->proof_at >
		     (int64_t)st->fresh_ms + k->team->grace_ms))
		return key_refuse(
			st, refusal, 503, COUNT_REFUSED_NOT_FRESH,
			"this data centre is cut off and can't tell whether "
			"the key still holds",
			RETRY_AFTER_MS * 5);
	return k->team;
}
