/*
 * Who owns the scheduling.  A row of the store holds the owner and its epoch
 * and changes only under the condition of its revision; another holds the
 * owner's beat.  Every transaction of the owner demands that the first is
 * unchanged, and workers refuse orders of a lower epoch, so an owner that was
 * replaced without knowing can harm nothing.
 */
#include "sched-state.h"
#include "json-read.h"

#include <stdlib.h>
#include <string.h>

#define KEY_EPOCH "epoch"
#define KEY_BEAT "beat"
#define KEY_WORKERS "workers"
#define KEY_HOMES "homes"
/* An order about a machine takes no longer to arrive, but by a fault. */
#define OWN_ALONE_MARGIN_MS 300
/* Claims of several VMs are spread over so long; the first one wins. */
#define CLAIM_SPREAD_MS 150
/*
 * A VM of less than so many cores lets larger ones claim first, for so long.
 * Placing for 350 workers in a queue's turn takes a quarter of a core; an
 * owner with half of that falls behind, and what it lists as waiting is late
 * or lost.  Costs this much of silence where only small VMs are left.
 */
#define CLAIM_CORES 0.2
#define CLAIM_SMALL_MS 300

/*
 * An owner that can beat, but has got no page of what it needs for so long,
 * lets another VM try: the store may serve that one.  A page is asked for
 * three times in that.
 */
#define LOAD_SILENT_MS 2500
/* Each such time it claims later, CLAIM_SMALL_MS each, up to so many. */
#define UNREAD_MAX 8

/*
 * May this VM start tasks now?  An owner that has not proved its ownership
 * for a while starts nothing whose lease it could not renew.
 */
bool own_may_start(const struct sched *s)
{
	return own_may_order(s) &&
	       s->now - s->own.confirmed_at < UNCONFIRMED_LEASE_MS - LEASE_MS;
}

/*
 * Is this VM surely the only owner?  A successor claims when it has missed
 * beats for OWNER_TIMEOUT_MS.  Workers refuse an owner that was replaced, but
 * nobody may check that for machines, so none is moved or taken down by an
 * owner whose latest proof is nearly as old.
 */
bool own_is_exclusive(const struct sched *s)
{
	return own_may_order(s) &&
	       s->now - s->own.confirmed_at <
		       OWNER_TIMEOUT_MS - OWN_ALONE_MARGIN_MS;
}

/*
 * Until when may an order about a machine be under way?  It was decided by an
 * owner that was alone, and may be sent much later by one that gets no
 * processor: after this another VM may own and have called for the machine.
 * The client sends nothing after the deadline.
 */
int64_t own_exclusive_until(const struct sched *s, int64_t deadline)
{
	int64_t most = s->own.confirmed_at + OWNER_TIMEOUT_MS;

	return deadline < most ? deadline : most;
}

/* May this VM give orders now? */
bool own_may_order(const struct sched *s)
{
	return s->own.state == OWN_OWNER && !s->own.check_required;
}

/* Is this process the holder that the row names? */
static bool own_is_self(const struct sched *s)
{
	return s->own.holder.bstr_len &&
	       bstr_eq(s->own.holder, s->options.vm) &&
	       s->own.holder_seed == s->options.seed;
}

/* Forget the pools' sizes: another owner may be the first to note them. */
static void homes_forget(struct sched *s)
{
	json_decref(s->home_sizes);
	s->home_sizes = NULL;
	s->home_sizes_dirty = s->home_sizes_in_flight = s->home_sizes_durable =
		false;
}

/* Forget all that only the owner knows. */
static void own_forget(struct sched *s)
{
	struct retired *r;
	struct job *j;

	while ((j = TAILQ_FIRST(&s->order)))
		sched_job_free(s, j);
	while ((r = TAILQ_FIRST(&s->retired_order)))
		job_unretire(s, r);
	sched_workers_free(s);
	waves_reset_owner_state(s);
	usage_free(s);
	homes_forget(s);
	backlogs_free(s);
	s->dirty_seq = 0;
	s->commit_in_flight = false;
	s->advice_calls_in_flight = 0;
	s->settled = false;
	s->follows[2].wanted = s->follows[3].wanted = false;
	s->progress.wanted = s->notes.wanted = false;
	follow_restart(&s->follows[2]);
	follow_restart(&s->follows[3]);
	follow_restart(&s->progress);
	follow_restart(&s->notes);
	s->follows[3].current_as_of = 0;
}

/* This VM is not the owner any more. */
void own_lose(struct sched *s, const char *why)
{
	if (s->own.state == OWN_NONE)
		return;
	if (s->own.state != OWN_CLAIMING)
		sched_log(s, LOG_OWNER_LOST, "epoch=%llu why=%s",
			  (unsigned long long)s->own.epoch, why);
	s->own.state = OWN_NONE;
	s->own.check_required = false;
	s->own.silent_since = s->now;
	s->own.answers_without_beat = 0;
	/* The row that named this process is not the newest any more. */
	s->own.holder_seed = 0;
	own_forget(s);
}

/* Give no order until the store has confirmed the ownership. */
void own_require_check(struct sched *s, const char *why)
{
	s->own.silent_since = s->now;
	s->own.answers_without_beat = 0;
	if (s->own.state == OWN_NONE || s->own.check_required)
		return;
	s->own.check_required = true;
	s->own.heartbeat_at = s->now;
	sched_log(s, LOG_OWNER_DOUBT, "epoch=%llu why=%s",
		  (unsigned long long)s->own.epoch, why);
}

/*
 * A sign of life of the owner, new here.  The same row read once more, when
 * the feed's history is gone, is none: read again and again it would keep
 * everybody from following an owner that is dead.
 */
static void own_heard(struct sched *s)
{
	s->own.silent_since = s->own.last_sign_at = s->now;
	s->own.answers_without_beat = 0;
}

/* The row of the owner: it may name another, or nobody. */
static void epoch_row_take(struct sched *s, struct row *r)
{
	uint64_t epoch = s->own.epoch;

	if (r->revision < s->own.revision || !owner_row_read(r->value, &s->own))
		return;
	if (r->revision > s->own.revision || !s->own.known)
		own_heard(s);
	s->own.revision = r->revision;
	s->own.known = true;
	if (s->own.epoch != epoch || !s->own.holder.bstr_len)
		sched_log(s, LOG_OWNER_SEEN, "epoch=%llu vm=%.*s revision=%llu",
			  (unsigned long long)s->own.epoch,
			  BSTR_ARG(s->own.holder),
			  (unsigned long long)r->revision);
	if (own_is_self(s)) {
		s->own.check_required = false;
		return;
	}
	if (s->own.state == OWN_OWNER || s->own.state == OWN_LOADING)
		own_lose(s, "replaced");
}

/* A row of the ownership's table. */
void own_row_apply(struct sched *s, struct row *r)
{
	uint64_t epoch;

	if (r->removed || r->kind == ROW_BAD)
		return;
	if (bstr_eq_str(r->key, KEY_EPOCH)) {
		epoch_row_take(s, r);
		return;
	}
	if (!bstr_eq_str(r->key, KEY_BEAT))
		return;
	if (s->own.state != OWN_OWNER &&
	    heartbeat_row_read(s, r->value, &epoch) &&
	    r->revision > s->own.heartbeat_revision)
		own_heard(s);
	if (r->revision > s->own.heartbeat_revision)
		s->own.heartbeat_revision = r->revision;
}

/*
 * What the owners before wrote for their successor.  It is long, and would be
 * sent to every VM with each change if it stood beside the beat.
 */
void note_row_apply(struct sched *s, struct row *r)
{
	if (r->removed || r->kind == ROW_BAD || s->own.state == OWN_OWNER)
		return;
	if (bstr_eq_str(r->key, KEY_WORKERS)) {
		workers_row_read(s, r->value);
		return;
	}
	if (!bstr_eq_str(r->key, KEY_HOMES)) {
		wave_status_apply(s, r);
		return;
	}
	if (!s->home_sizes) {
		s->home_sizes = json_read(r->value);
		s->home_sizes_durable = s->home_sizes != NULL;
	}
}

/* The store has answered about the ownership: silence counts from here. */
void own_reset_silence(struct sched *s)
{
	if (s->now - s->own.silent_since >= OWNER_FEED_WAIT_MS)
		s->own.answers_without_beat++;
}

/*
 * The store serves this VM again.  The owner could not beat either, perhaps:
 * its silence counts from here.
 */
void own_store_recovered(struct sched *s)
{
	s->own.silent_since = s->now;
	s->own.answers_without_beat = 0;
	s->place_due = true;
}

/*
 * This VM has its first configuration and may claim from now on.  Silence
 * counts from here: when the configuration comes late, all VMs would claim at
 * once otherwise, and a small one would own that can't place as fast as work
 * comes.
 */
void own_enable_claim(struct sched *s)
{
	s->own.silent_since = s->now;
	s->own.answers_without_beat = 0;
}

/* Does this VM leave it to larger ones to claim first? */
bool own_defers_claim(const struct sched *s)
{
	return s->options.cpu_share < CLAIM_CORES;
}

/* How long a small VM leaves to larger ones. */
static int64_t claim_small(const struct sched *s)
{
	return own_defers_claim(s) ? CLAIM_SMALL_MS : 0;
}

/* How long after others this VM claims. */
static int64_t claim_delay(const struct sched *s)
{
	int64_t delay = (int64_t)(s->options.seed % CLAIM_SPREAD_MS);

	if (!s->own.holder.bstr_len)
		delay /= 4; /* given up by plan: nobody has to be sure */
	/* Those that could not read what they needed come last, in turns. */
	return delay + claim_small(s) + s->own.load_timeouts * CLAIM_SMALL_MS;
}

/*
 * Is the owner gone?  Silence counts only while the store answers: without
 * the store nobody can beat and nobody can take over, and a takeover just
 * after its return would throw away what the owner runs.
 */
static bool owner_is_gone(const struct sched *s)
{
	int64_t spread = claim_delay(s);

	/*
	 * Without a configuration no limit would hold and a task's first
	 * failure would be its last.  Others claim, or this VM once it has it.
	 */
	if (!s->own.known || !s->config || !sched_store_is_up(s) || s->stop_by)
		return false;
	if (!s->own.holder.bstr_len)
		return s->now - s->own.silent_since >= spread;
	/* An earlier life of this VM owned it, and is over. */
	if (bstr_eq(s->own.holder, s->options.vm) && s->own.holder_seed &&
	    s->own.holder_seed != s->options.seed && !own_defers_claim(s))
		return true;
	return s->now - s->own.silent_since >= OWNER_TIMEOUT_MS + spread &&
	       s->own.answers_without_beat >= 2;
}

/*
 * Try to become the owner, if the one before has not beaten since the beat
 * that was seen last: its leases are reckoned from that one, and a claim may
 * be carried out seconds later, when it is at work again.
 */
static void own_claim(struct sched *s)
{
	struct ownership next = {.epoch = s->own.epoch + 1,
				 .holder = s->options.vm,
				 .holder_seed = s->options.seed};
	bstr key = bstr_lit(KEY_EPOCH);
	struct request *rq;
	struct tx *t;

	sched_log(s, LOG_OWNER_CLAIM,
		  "epoch=%llu old=%.*s silent_ms=%lld revision=%llu",
		  (unsigned long long)next.epoch, BSTR_ARG(s->own.holder),
		  (long long)(s->now - s->own.silent_since),
		  (unsigned long long)s->own.revision);
	t = sched_tx(s, FOR_CLAIM, s->now + STORE_TIMEOUT_MS, &rq);
	tx_expect(t, TABLE_OWNER, key, s->own.revision);
	tx_expect(t, TABLE_OWNER, bstr_lit(KEY_BEAT),
		  s->own.heartbeat_revision);
	tx_write(t, TABLE_OWNER, key, owner_row_write(&next, false));
	rq->number = next.epoch;
	s->own.claimed_at = s->now;
	s->own.previous_sign_at = s->own.last_sign_at;
	/*
	 * One that gave up before it was settled had found no trace of leases
	 * that an owner before it may go on renewing out of our reach: they
	 * count as if nobody had given up, or their tasks would run twice.
	 */
	s->own.previous_released = !s->own.holder.bstr_len && s->own.settled;
	s->own.state = OWN_CLAIMING;
}

/* This VM is the owner: read what there is to do. */
static void own_gain(struct sched *s, uint64_t epoch, uint64_t revision)
{
	s->own.state = OWN_LOADING;
	s->own.epoch = epoch;
	if (revision > s->own.revision)
		s->own.revision = revision;
	s->own.holder_seed = s->options.seed;
	bstr_set(&s->own.holder, s->options.vm);
	s->own.confirmed_at = s->own.claimed_at;
	s->own.owned_at = s->own.load_progress_at = s->now;
	s->own.settle_by = s->own.previous_sign_at +
			   (s->own.previous_released ? LEASE_MS
						     : UNCONFIRMED_LEASE_MS);
	s->own.heartbeat_at = s->now;
	s->own.heartbeat_in_flight = false;
	s->own.check_required = false;
	own_forget(s);
	s->follows[2].wanted = s->follows[3].wanted = true;
	s->notes.wanted = true;
	/* What the old owner wrote last may not have come by the feed yet. */
	follow_restart(&s->follows[1]);
	follow_tick(s);
	sched_count(s, COUNT_TAKEOVERS, 1);
	sched_log(s, LOG_OWNER_GAINED, "epoch=%llu revision=%llu",
		  (unsigned long long)epoch, (unsigned long long)revision);
}

/* A table was read whole; with all of them the owner begins to work. */
void own_table_loaded(struct sched *s)
{
	if (s->own.state != OWN_LOADING)
		return;
	/* Progress is of jobs that are in the book: read after the jobs. */
	s->progress.wanted = s->follows[3].complete;
	if (!s->follows[1].complete || !s->follows[2].complete ||
	    !s->follows[3].complete || !s->progress.complete ||
	    !s->notes.complete)
		return;
	workers_inherit(s);
	s->own.state = OWN_OWNER;
	s->own.ready_at = s->now;
	s->own.load_timeouts = 0;
	s->place_due = true;
	sched_observe(s, HISTOGRAM_TAKEOVER, s->now - s->own.claimed_at);
	sched_log(s, LOG_OWNER_READY, "epoch=%llu jobs=%u workers=%u ms=%lld",
		  (unsigned long long)s->own.epoch, HASH_COUNT(s->jobs),
		  HASH_COUNT(s->workers),
		  (long long)(s->now - s->own.owned_at));
	/* Every task has to be in the book before the first list comes in. */
	job_tick(s);
	worker_tick(s);
}

/* The outcome of a claim; the feed tells if it was another's luck. */
static void claim_answer(struct sched *s, struct request *rq, struct answer *a)
{
	/* The feed was quicker: the claim had been carried out. */
	if (s->own.state != OWN_CLAIMING)
		return;
	if (a->outcome == OUT_DONE) {
		own_gain(s, rq->number, a->revision);
		return;
	}
	/*
	 * The rows come with a conflict; without an answer the next reading
	 * of the feed tells, and names this process if the claim was done.
	 */
	s->own.state = OWN_NONE;
	s->own.silent_since = s->now;
	s->own.answers_without_beat = 0;
}

/* The outcome of a beat. */
static void beat_answer(struct sched *s, struct request *rq, struct answer *a)
{
	/* One of an earlier ownership proves nothing, nor disproves. */
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
		if (a->revision > s->own.heartbeat_revision)
			s->own.heartbeat_revision = a->revision;
		workers_note_written(s);
		ceilings_published(s);
		s->home_sizes_durable = s->home_sizes_durable ||
					s->home_sizes_in_flight;
		break;
	case OUT_CONFLICT:
		/*
		 * By what this beat had demanded: the feed may have told of
		 * the earlier one that was carried out meanwhile.
		 */
		s->own.heartbeat_revision = rq->revision;
		if (!tx_row_was_rewritten(s, a, TABLE_OWNER, bstr_lit(KEY_BEAT),
					  &s->own.heartbeat_revision)) {
			own_lose(s, "replaced");
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

/* An answer about the ownership. */
void own_answer(struct sched *s, struct request *rq, struct answer *a)
{
	switch (rq->purpose) {
	case FOR_CLAIM:
		claim_answer(s, rq, a);
		break;
	case FOR_HEARTBEAT:
		beat_answer(s, rq, a);
		break;
	default: /* a release: whatever came of it, this VM is done */
		break;
	}
}

/*
 * Write the beat, if no other was written since the last one known: one
 * without an answer, carried out seconds later, would set back which workers
 * are noted, for good, and the tasks of one noted since would run twice after
 * a takeover.
 */
static void own_beat(struct sched *s)
{
	struct request *rq;
	struct tx *t;

	s->own.heartbeat_seq++;
	t = sched_tx(s, FOR_HEARTBEAT, s->now + STORE_TIMEOUT_MS, &rq);
	rq->number = s->own.epoch;
	rq->revision = s->own.heartbeat_revision;
	tx_expect(t, TABLE_OWNER, bstr_lit(KEY_EPOCH), s->own.revision);
	tx_expect(t, TABLE_OWNER, bstr_lit(KEY_BEAT), rq->revision);
	tx_write(t, TABLE_OWNER, bstr_lit(KEY_BEAT), heartbeat_row_write(s));
	if (workers_note_is_due(s))
		tx_write(t, TABLE_NOTES, bstr_lit(KEY_WORKERS),
			 workers_row_write(s));
	if (s->home_sizes_dirty)
		tx_write(t, TABLE_NOTES, bstr_lit(KEY_HOMES),
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
 * May an owner that still loads beat?  The old owner's beat has to be read: a
 * beat before that would write over its ceilings, and the limits be broken.
 */
static bool own_beat_loads(const struct sched *s)
{
	return s->own.state == OWN_LOADING && s->follows[1].complete &&
	       s->now - s->own.owned_at >= HEARTBEAT_MS;
}

/*
 * Beat if it is time.  Looked at after each event: a start that a ceiling
 * holds back waits for the beat that raises it, and an owner that takes the
 * pages of a long book one after the other would seem silent, be replaced, and
 * its successor as well.
 */
void own_heartbeat_if_due(struct sched *s)
{
	if ((s->own.state == OWN_OWNER || own_beat_loads(s)) &&
	    !s->own.heartbeat_in_flight && s->now >= s->own.heartbeat_at)
		own_beat(s);
}

/*
 * A claim without an answer may have been carried out: then the row names
 * this process although it is not the owner yet.
 */
static bool own_unaware(const struct sched *s)
{
	return s->own.state == OWN_NONE && own_is_self(s) && !s->stop_by;
}

/* Give the ownership up for another VM to take at once. */
void own_release(struct sched *s)
{
	struct ownership none = {.epoch = s->own.epoch, .settled = s->settled};
	struct request *rq;
	struct tx *t;

	if (s->own.state != OWN_OWNER && s->own.state != OWN_LOADING)
		return;
	t = sched_tx(s, FOR_RELEASE, s->now + STORE_TIMEOUT_MS, &rq);
	tx_expect(t, TABLE_OWNER, bstr_lit(KEY_EPOCH), s->own.revision);
	tx_write(t, TABLE_OWNER, bstr_lit(KEY_EPOCH),
		 owner_row_write(&none, true));
	own_lose(s, "released");
}

/* Is it the store's readings that fail, and not the store? */
static bool own_cannot_read(const struct sched *s)
{
	return s->now - s->own.load_progress_at >= LOAD_SILENT_MS &&
	       s->now - s->own.confirmed_at < OWNER_TIMEOUT_MS;
}

/* Look at the clock. */
void own_tick(struct sched *s)
{
	switch (s->own.state) {
	case OWN_NONE:
		if (own_unaware(s))
			own_gain(s, s->own.epoch, s->own.revision);
		else if (owner_is_gone(s))
			own_claim(s);
		break;
	case OWN_LOADING:
		own_heartbeat_if_due(s);
		if (own_cannot_read(s)) {
			if (s->own.load_timeouts < UNREAD_MAX)
				s->own.load_timeouts++;
			own_release(s);
		}
		break;
	case OWN_OWNER:
		own_heartbeat_if_due(s);
		break;
	case OWN_CLAIMING:
	case OWN_RELEASING:
		break;
	}
}
