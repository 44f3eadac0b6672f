/*
 * The owner's heartbeat.  It confirms the ownership, records the ceilings, and
 * carries what other VMs answer callers from; notes for a successor are written
 * with it.
 */
#include "sched-state.h"
#include "json-read.h"

/*
 * Writes a heartbeat, on condition that none was written since the latest one
 * known.  Otherwise an unanswered heartbeat, carried out seconds later, would
 * permanently replace the note of workers with leases by an older one, and
 * after a takeover the tasks of a worker noted since would run twice.
 */
static void heartbeat_write(struct sched *s)
{
	bool note = workers_note_is_due(s);
	struct request *rq;
	struct tx *t;

	s->own.heartbeat_seq++;
	s->own.heartbeat_epoch = s->own.epoch;
	if (note)
		s->own.inherited_leases.note_epoch = s->own.epoch;
	s->own.heartbeat_note_epoch = s->own.inherited_leases.note_epoch;
	t = sched_tx(s, FOR_HEARTBEAT, s->now + STORE_TIMEOUT_MS, &rq);
	rq->number = s->own.epoch;
	rq->revision = s->own.heartbeat_revision;
	tx_expect_owner(s, t);
	tx_expect(t, TABLE_OWNER, bstr_lit(KEY_HEARTBEAT), rq->revision);
	large_write(s, t, TABLE_OWNER, bstr_lit(KEY_HEARTBEAT),
		    heartbeat_row_write(s));
	if (note)
		workers_note_write(s, t);
	if (s->home_sizes_dirty)
		large_write(s, t, TABLE_NOTES, bstr_lit(KEY_HOME_SIZES),
			    json_write(json_incref(s->home_sizes)));
	s->home_sizes_in_flight = s->home_sizes_dirty;
	s->home_sizes_dirty = false;
	sched_log(s, LOG_OWNER_BEAT,
		  "epoch=%llu seq=%llu read=%d jobs=%u age_ms=%lld",
		  (unsigned long long)s->own.epoch,
		  (unsigned long long)s->own.heartbeat_seq,
		  s->own.state == OWN_OWNER, HASH_COUNT(s->jobs),
		  (long long)counts_age_ms(s));
	s->own.heartbeat_in_flight = true;
	s->own.heartbeat_sent_at = s->now;
	s->own.heartbeat_at = s->now + HEARTBEAT_MS;
}

/*
 * Returns true if an owner that is still loading may write heartbeats.  It has
 * to read the old owner's heartbeat first; otherwise it would overwrite the
 * ceilings in it, and upper limits could be exceeded.
 */
static bool heartbeat_is_allowed_loading(const struct sched *s)
{
	return s->own.state == OWN_LOADING &&
	       s->follows[FOLLOW_OWNER].complete &&
	       s->now - s->own.owned_at >= HEARTBEAT_MS;
}

/*
 * Writes a heartbeat if it is time.  This is checked after each event.  A start
 * blocked by a ceiling waits for the heartbeat that raises it.  And an owner
 * that processes the pages of a long jobs table one after another would seem
 * silent otherwise, and would be replaced, and so would its successor.
 */
void heartbeat_if_due(struct sched *s)
{
	if ((s->own.state == OWN_OWNER || heartbeat_is_allowed_loading(s)) &&
	    !s->own.heartbeat_in_flight && s->now >= s->own.heartbeat_at)
		heartbeat_write(s);
}

/* Handles the outcome of a heartbeat. */
void heartbeat_answer(struct sched *s, struct request *rq, struct answer *a)
{
	/* A heartbeat of an earlier ownership proves nothing about this one. */
	if (rq->number != s->own.epoch)
		return;
	s->own.heartbeat_in_flight = false;
	if (s->own.state != OWN_OWNER && s->own.state != OWN_LOADING)
		return;
	switch (a->outcome) {
	case OUT_DONE:
		s->own.check_required = false;
		s->own.silent_since = s->now;
		s->own.confirmed_at = s->own.heartbeat_sent_at;
		s->place_due = true; /* see lease_ends_in_time() */
		if (a->revision > s->own.heartbeat_revision)
			s->own.heartbeat_revision = a->revision;
		workers_note_written(s);
		ceilings_published(s);
		s->home_sizes_durable = s->home_sizes_durable ||
					s->home_sizes_in_flight;
		break;
	case OUT_CONFLICT:
		/*
		 * Compare with the revision that this heartbeat expected: the
		 * feed may have brought the earlier heartbeat, which was
		 * carried out meanwhile.
		 */
		s->own.heartbeat_revision = rq->revision;
		if (!tx_row_was_rewritten(s, a, TABLE_OWNER,
					  bstr_lit(KEY_HEARTBEAT),
					  &s->own.heartbeat_revision)) {
			own_replaced(s);
			break;
		}
		s->own.heartbeat_at = s->now;
		s->home_sizes_dirty = s->home_sizes_dirty ||
				      s->home_sizes_in_flight;
		break;
	default:
		s->own.heartbeat_at = s->now + STORE_RETRY_MS;
		s->home_sizes_dirty = s->home_sizes_dirty ||
				      s->home_sizes_in_flight;
		break;
	}
}
