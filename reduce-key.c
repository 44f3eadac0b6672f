#include "reduce.h"

/*
 * Freshness.  "A withdrawn key stops working within seconds" needs that
 * every VM knows, when it accepts work, that it has seen all withdrawals
 * accepted up to a moment fresh_ms ago at the most.  proof_at is that
 * moment.  It moves forward by a read of the configuration's head, by a
 * peer that has such a proof, or, while no VM reaches the platform, by
 * hearing every VM: a withdrawal is accepted by an entry VM only, and each
 * says that it has accepted none beyond the revision we hold.
 */

/* A read of the head, sent at a time, found nothing newer than we hold. */
void proof_platform(struct state *st, int64_t sent_at)
{
	if (sent_at > st->proof_at)
		st->proof_at = sent_at;
}

/* Does a member hold nothing that we don't? */
static bool proof_same_config(const struct state *st, const struct member *m)
{
	return st->config && m->config_revision <= st->config->revision;
}

/*
 * The moment up to which every VM with a row has said that it accepted no
 * change beyond ours.  Bounded by PEER_PROOF_MS since the platform was last
 * heard: a VM that joined since then could not be known to us.
 */
static int64_t proof_all_heard(struct state *st)
{
	struct member *m, *next;
	int64_t at = st->now;

	if (!st->scanned_at ||
	    st->now - st->platform_answered_at > PEER_PROOF_MS)
		return INT64_MIN / 2;
	HASH_ITER(hh, st->members, m, next) {
		if (m->leaving)
			continue;
		if (!proof_same_config(st, m))
			return INT64_MIN / 2;
		if (m->ponged_at < at)
			at = m->ponged_at;
	}
	return at;
}

/* Is all that was withdrawn up to fresh_ms ago known here? */
bool proof_fresh(const struct state *st)
{
	return st->config_known && st->now - st->proof_at <= st->fresh_ms;
}

/* Move the proof forward by what the peers have said. */
void proof_update(struct state *st)
{
	int64_t at = proof_all_heard(st);
	struct member *m, *next;
	bool fresh;

	HASH_ITER(hh, st->members, m, next) {
		if (m->proof_at > at && proof_same_config(st, m))
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

/* Fill in a refusal. */
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
 * Whose key is it?  Freshness is asked for new work only: what was accepted
 * may always be looked at and cancelled.  It is judged on the clock reading
 * of the event that brought the request, so a process that slept between
 * does not answer on what it knew before.
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
