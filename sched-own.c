/*
 * Ownership of the scheduling.  A row of the store names the owner and its
 * epoch, and is written only if its revision is the expected one; another row
 * holds the owner's heartbeat.  Every transaction of the owner requires that
 * the first row is unchanged, and workers refuse orders with a lower fencing
 * token; a successor's tokens are all higher.  So an owner that was replaced
 * without knowing can do no harm.
 */
#include "sched-state.h"
#include "json-read.h"

#include <stdlib.h>
#include <string.h>

/*
 * Upper bound of the transit time of an order about a machine, except in a
 * fault.
 */
#define EXCLUSIVE_MARGIN_MS 300
/* Claims of several VMs are spread over this time; the first one wins. */
#define CLAIM_JITTER_MS 150
/*
 * A VM with fewer cores than CLAIM_CORES_MIN leaves larger ones this much time
 * to claim first.  Placing tasks on 350 workers while a queue drains takes a
 * quarter of a core; an owner with half of that falls behind, and its counts of
 * waiting jobs are late or missing.  Where only small VMs are left, a takeover
 * takes this much longer.
 */
#define CLAIM_CORES_MIN 0.2
#define CLAIM_DEFERRAL_MS 300

/*
 * An owner whose heartbeats succeed, but which has not received a page of the
 * tables for this time, lets another VM try, as the store may serve that one.
 * A page is requested three times in this period.
 */
#define LOAD_STALL_MS 2500
/*
 * Each such timeout delays its next claim by another CLAIM_DEFERRAL_MS, up to
 * this many times.
 */
#define LOAD_TIMEOUTS_MAX 8

/*
 * For LOST_OWNER_MS after a VM has handed over, or was replaced because its
 * heartbeats had stopped, it leaves other VMs LOST_OWNER_DEFERRAL_MS to claim
 * first: it is likely to be as short of processor time as before, would read
 * the tables for seconds and then start nothing again.  If no other VM claims,
 * it does, as a slow owner is better than none.
 */
#define LOST_OWNER_MS 15000
#define LOST_OWNER_DEFERRAL_MS 1500

/*
 * Returns true if this VM may start tasks now.  An owner that has not confirmed
 * its ownership for a while starts nothing whose lease it could not renew.
 */
bool own_may_start(const struct sched *s)
{
	return own_may_order(s) &&
	       s->now - s->own.confirmed_at < UNCONFIRMED_LEASE_MS - LEASE_MS;
}

/*
 * Returns true if this VM is certainly the only owner.  A successor claims
 * after OWNER_TIMEOUT_MS without a heartbeat.  Workers refuse orders of a
 * replaced owner, but the platform need not check the epoch of orders about
 * machines.  So an owner whose latest confirmation is nearly that old moves no
 * machine and takes none down, and neither does one that is about to release
 * the ownership to a larger VM.
 */
bool own_is_exclusive(const struct sched *s)
{
	return own_may_order(s) && !offer_is_accepted(s) &&
	       s->now - s->own.confirmed_at <
		       OWNER_TIMEOUT_MS - EXCLUSIVE_MARGIN_MS;
}

/*
 * Returns the earlier of a deadline and the time until which an order about a
 * machine may be in flight.  An owner that was the only one when it decided may
 * send the order much later, if it gets no processor time.  By then another VM
 * may be the owner and have given an order about the machine.  The client sends
 * nothing after the deadline.
 */
int64_t own_exclusive_until(const struct sched *s, int64_t deadline)
{
	int64_t limit = s->own.confirmed_at + OWNER_TIMEOUT_MS;

	return deadline < limit ? deadline : limit;
}

/* Returns true if this VM may send orders now. */
bool own_may_order(const struct sched *s)
{
	return s->own.state == OWN_OWNER && !s->own.check_required;
}

/* Returns the fencing token that workers get first in this epoch. */
uint64_t own_first_token(const struct sched *s)
{
	return s->own.epoch - TOKENS_PER_EPOCH + 1;
}

/*
 * Returns the number below the runs of this epoch.  Those of earlier epochs are
 * at most this number, also if their owners' version has one token per epoch.
 */
uint64_t own_run_base(const struct sched *s)
{
	return (s->own.epoch - TOKENS_PER_EPOCH) * RUNS_PER_EPOCH;
}

/* Returns true if the owner row names this process. */
static bool own_is_self(const struct sched *s)
{
	return s->own.holder.bstr_len &&
	       bstr_eq(s->own.holder, s->options.vm) &&
	       s->own.holder_seed == s->options.seed;
}

/*
 * Discards the initial sizes of the pools, as another owner may be the first to
 * record them.
 */
static void home_sizes_reset(struct sched *s)
{
	json_decref(s->home_sizes);
	s->home_sizes = NULL;
	s->home_sizes_dirty = s->home_sizes_in_flight = s->home_sizes_durable =
		false;
}

/* Discards all state that only an owner has. */
static void own_reset_state(struct sched *s)
{
	struct job *j;

	while ((j = TAILQ_FIRST(&s->jobs_by_arrival)))
		sched_job_free(s, j);
	retention_reset(s);
	sched_workers_free(s);
	s->own.workers_forgotten = false;
	waves_reset_owner_state(s);
	usage_free(s);
	home_sizes_reset(s);
	backlogs_free(s);
	s->workers_note_has_gone = false;
	s->dirty_seq = 0;
	s->commit_in_flight = false;
	s->commit_jobs_max = COMMIT_ROWS_MAX;
	s->advice_calls_in_flight = 0;
	s->settled = false;
	s->largest_capacity = (struct resources){0, 0, 0};
	s->largest_capacity_known = false;
	s->has_best_effort = false;
	s->start_interval_ms = 0;
	s->own.reached_workers = false;
	s->own.unresponsive_by = s->own.shortage_ms = 0;
	s->own.is_short = false;
	s->starts_held_back = s->cores_divided = false;
	demands_reset(s);
	s->follows[FOLLOW_WORKERS].wanted = s->follows[FOLLOW_JOBS].wanted =
		false;
	s->progress.wanted = s->notes.wanted = false;
	follow_restart(&s->follows[FOLLOW_WORKERS]);
	follow_restart(&s->follows[FOLLOW_JOBS]);
	follow_restart(&s->progress);
	follow_restart(&s->notes);
	s->follows[FOLLOW_JOBS].current_as_of = 0;
}

/* Restarts the timeout after which the owner counts as gone. */
static void own_restart_timeout(struct sched *s)
{
	s->own.silent_since = s->now;
	s->own.answers_without_heartbeat = 0;
}

/*
 * Ends this VM's ownership.  Until now it has granted leases, which count if it
 * is the next owner too: its release may not have been carried out.
 */
void own_lose(struct sched *s, const char *why)
{
	if (s->own.state == OWN_NONE)
		return;
	if (s->own.state == OWN_OWNER)
		s->own.last_activity_at = s->now;
	if (s->own.state != OWN_CLAIMING)
		sched_log(s, LOG_OWNER_LOST,
			  "epoch=%llu why=%s ms=%lld settled=%d unknown=%u",
			  (unsigned long long)s->own.epoch, why,
			  (long long)(s->now - s->own.owned_at), s->settled,
			  s->unknown_count);
	s->own.state = OWN_NONE;
	s->own.check_required = false;
	own_restart_timeout(s);
	/* The row that named this process is not the newest any more. */
	s->own.holder_seed = 0;
	own_reset_state(s);
}

/* Lets other VMs claim first for LOST_OWNER_MS. */
void own_claim_later(struct sched *s)
{
	s->own.defer_claims_until = s->now + LOST_OWNER_MS;
}

/* Ends this VM's ownership because another VM has replaced it. */
void own_replaced(struct sched *s)
{
	own_claim_later(s);
	own_lose(s, "replaced");
}

/* Suspends all orders until the store has confirmed the ownership. */
void own_require_check(struct sched *s, const char *why)
{
	own_restart_timeout(s);
	s->own.unresponsive_by = 0;
	if (s->own.state == OWN_NONE || s->own.check_required)
		return;
	s->own.check_required = true;
	s->own.heartbeat_at = s->now;
	sched_log(s, LOG_OWNER_DOUBT, "epoch=%llu why=%s",
		  (unsigned long long)s->own.epoch, why);
}

/*
 * Restarts the owner's timeout after a heartbeat or a change of owner.  A row
 * that is only read once more, because the feed's history was discarded, must
 * not: it would be read again and again, and nobody would replace an owner that
 * has failed.
 */
static void own_record_activity(struct sched *s)
{
	own_restart_timeout(s);
	s->own.last_activity_at = s->now;
}

/* Applies the owner row, which may name another VM or none. */
static void owner_row_apply(struct sched *s, struct row *r)
{
	uint64_t epoch = s->own.epoch;

	if (r->revision < s->own.revision || !owner_row_read(r->value, &s->own))
		return;
	if (r->revision > s->own.revision || !s->own.known)
		own_record_activity(s);
	s->own.revision = r->revision;
	s->own.known = true;
	if (s->own.epoch != epoch)
		s->own.holder_is_short = false;
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
		own_replaced(s);
}

/* Applies a row of the owner table. */
void own_row_apply(struct sched *s, struct row *r)
{
	uint64_t epoch;

	if (r->removed || r->kind == ROW_BAD)
		return;
	if (bstr_eq_str(r->key, KEY_EPOCH)) {
		owner_row_apply(s, r);
		return;
	}
	if (offer_row_apply(s, r) || !bstr_eq_str(r->key, KEY_HEARTBEAT) ||
	    r->revision < s->own.heartbeat_revision)
		return;
	if (heartbeat_row_read(s, r->value, &epoch) &&
	    r->revision > s->own.heartbeat_revision)
		own_record_activity(s);
	if (r->revision > s->own.heartbeat_revision)
		s->own.heartbeat_revision = r->revision;
}

/*
 * Applies a row of the notes table, which earlier owners wrote for a successor.
 * The notes are long.  In the owner table each change of them would be sent to
 * every VM.
 */
void note_row_apply(struct sched *s, struct row *r)
{
	if (r->removed || r->kind == ROW_BAD || s->own.state == OWN_OWNER)
		return;
	if (bstr_eq_str(r->key, KEY_WORKERS)) {
		workers_row_read(s, r->value);
		return;
	}
	if (bstr_eq_str(r->key, KEY_LEASES)) {
		leases_row_read(s, r->value);
		return;
	}
	if (!bstr_eq_str(r->key, KEY_HOME_SIZES)) {
		wave_status_apply(s, r);
		return;
	}
	if (!s->home_sizes) {
		s->home_sizes = json_read(r->value);
		s->home_sizes_durable = s->home_sizes != NULL;
	}
}

/*
 * Counts an answer about the ownership towards the owner's timeout, if the
 * owner has been silent for longer than the feed of its table waits.
 */
void own_count_answer(struct sched *s)
{
	if (s->now - s->own.silent_since >= OWNER_FEED_WAIT_MS)
		s->own.answers_without_heartbeat++;
}

/*
 * Restarts the owner's timeout when the store serves this VM again.  The owner
 * may have been unable to write heartbeats as well.
 */
void own_store_recovered(struct sched *s)
{
	own_restart_timeout(s);
	s->place_due = true;
}

/*
 * Restarts the owner's timeout when this VM has received its first
 * configuration, without which it doesn't claim.  If the configuration came
 * late, all VMs would claim at once otherwise, and a small VM that can't place
 * tasks as fast as jobs arrive could become the owner.
 */
void own_enable_claim(struct sched *s)
{
	own_restart_timeout(s);
}

/* Returns true if this VM lets larger ones claim first. */
bool own_defers_claim(const struct sched *s)
{
	return s->options.cpu_share < CLAIM_CORES_MIN;
}

/*
 * Returns how long this VM lets others claim first: larger ones, one that the
 * owner has released the ownership for, and all if it has lost the ownership
 * lately.
 */
static int64_t claim_deferral(const struct sched *s)
{
	int64_t deferral = own_defers_claim(s) ? CLAIM_DEFERRAL_MS : 0;

	if (!s->own.holder.bstr_len && offer_is_of_other(s))
		deferral += CLAIM_DEFERRAL_MS;
	if (s->now < s->own.defer_claims_until)
		deferral += LOST_OWNER_DEFERRAL_MS;
	return deferral;
}

/*
 * Returns how long this VM waits before it claims, to avoid simultaneous
 * claims.
 */
static int64_t claim_delay(const struct sched *s)
{
	int64_t delay = (int64_t)(s->options.seed % CLAIM_JITTER_MS);

	if (!s->own.holder.bstr_len)
		delay /= 4; /* planned release: the owner is surely gone */
	/* VMs that could not read the tables come last, one after another. */
	return delay + claim_deferral(s) +
	       s->own.load_timeouts * CLAIM_DEFERRAL_MS;
}

/*
 * Returns true if the owner is gone and this VM should claim.  Silence counts
 * only while the store answers.  Without the store no owner can write
 * heartbeats and no VM can take over, and a takeover right after the store's
 * return would discard the owner's running work.
 */
static bool owner_is_gone(const struct sched *s)
{
	int64_t delay = claim_delay(s);

	/*
	 * Without a configuration no upper limit would be enforced, and a
	 * task's first failure would be final.  Other VMs claim, or this one
	 * after it has received the configuration.
	 */
	if (!s->own.known || !s->config || !sched_store_is_up(s) || s->stop_by)
		return false;
	if (!s->own.holder.bstr_len)
		return s->now - s->own.silent_since >= delay;
	/* The owner is an earlier process of this VM, which has ended. */
	if (bstr_eq(s->own.holder, s->options.vm) && s->own.holder_seed &&
	    s->own.holder_seed != s->options.seed && !own_defers_claim(s))
		return true;
	return s->now - s->own.silent_since >= OWNER_TIMEOUT_MS + delay &&
	       s->own.answers_without_heartbeat >= 2;
}

/*
 * Tries to become the owner, in an epoch that leaves TOKENS_PER_EPOCH fencing
 * tokens above the last epoch's, on condition that the current owner has
 * written no heartbeat since the latest one seen.  The end of its leases is
 * computed from that heartbeat, and a claim may be carried out seconds later,
 * when the owner is active again.
 */
static void own_claim(struct sched *s)
{
	struct ownership next = {
		.epoch = s->own.epoch + TOKENS_PER_EPOCH,
		.holder = s->options.vm,
		.holder_seed = s->options.seed,
		.removals_whole_since = retention_whole_since(s)};
	bool released = !s->own.holder.bstr_len;
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
	tx_expect(t, TABLE_OWNER, bstr_lit(KEY_HEARTBEAT),
		  s->own.heartbeat_revision);
	next.handovers = s->own.handovers = released ? s->own.handovers : 0;
	s->own.claimed_whole_since = next.removals_whole_since;
	rq->number = next.epoch;
	s->own.claimed_at = s->now;
	s->own.previous_activity_at = s->own.last_activity_at;
	/*
	 * An owner that released before it was settled had not heard of leases
	 * that an owner before it may go on renewing, out of reach of this VM.
	 * Such a release counts as none; otherwise the tasks with those leases
	 * would run twice.
	 */
	s->own.previous_released = released && s->own.settled;
	leases_claim(s);
	next.leases = s->own.claimed_leases;
	tx_write(t, TABLE_OWNER, key, owner_row_write(&next, false));
	s->own.state = OWN_CLAIMING;
}

/* Becomes the owner, and starts to read the tables. */
static void own_gain(struct sched *s, uint64_t epoch, uint64_t revision)
{
	s->own.state = OWN_LOADING;
	s->own.epoch = epoch;
	s->own.token_max = own_first_token(s);
	s->own.tokens_used_up = false;
	if (revision > s->own.revision)
		s->own.revision = revision;
	s->own.holder_seed = s->options.seed;
	bstr_set(&s->own.holder, s->options.vm);
	s->own.confirmed_at = s->own.claimed_at;
	s->own.owned_at = s->own.load_progress_at = s->now;
	s->own.ack_from = s->now + START_EXPIRY_MS;
	leases_inherit(s);
	s->own.heartbeat_at = s->now;
	s->own.heartbeat_in_flight = false;
	s->own.check_required = false;
	own_reset_state(s);
	s->follows[FOLLOW_WORKERS].wanted = s->follows[FOLLOW_JOBS].wanted =
		true;
	s->notes.wanted = true;
	/* The feed may not have brought the old owner's latest writes yet. */
	follow_restart(&s->follows[FOLLOW_OWNER]);
	follow_tick(s);
	sched_count(s, COUNT_TAKEOVERS, 1);
	sched_log(s, LOG_OWNER_GAINED,
		  "epoch=%llu revision=%llu released=%d silent_ms=%lld "
		  "leases_ms=%lld",
		  (unsigned long long)epoch, (unsigned long long)revision,
		  s->own.previous_released,
		  (long long)(s->now - s->own.previous_activity_at),
		  (long long)(s->own.settle_by - s->now));
}

/*
 * Handles the complete reading of a table.  After the last one the owner starts
 * work.
 */
void own_table_loaded(struct sched *s)
{
	if (s->own.state != OWN_LOADING)
		return;
	/* Rows of progress refer to jobs, so they are read after these. */
	s->progress.wanted = s->follows[FOLLOW_JOBS].complete;
	if (!s->follows[FOLLOW_OWNER].complete ||
	    !s->follows[FOLLOW_WORKERS].complete ||
	    !s->follows[FOLLOW_JOBS].complete || !s->progress.complete ||
	    !s->notes.complete)
		return;
	workers_inherit(s);
	largest_capacity_inherit(s);
	admissions_inherit(s);
	shares_inherit(s);
	retention_add_leftovers(s);
	s->own.state = OWN_OWNER;
	s->own.ready_at = s->now;
	s->own.load_timeouts = 0;
	s->place_due = true;
	sched_observe(s, HISTOGRAM_TAKEOVER, s->now - s->own.claimed_at);
	sched_log(s, LOG_OWNER_READY, "epoch=%llu jobs=%u workers=%u ms=%lld",
		  (unsigned long long)s->own.epoch, HASH_COUNT(s->jobs),
		  HASH_COUNT(s->workers),
		  (long long)(s->now - s->own.owned_at));
	/* All tasks must be known before a worker's first list arrives. */
	job_tick(s);
	worker_tick(s);
}

/* Handles the outcome of a claim. */
static void claim_answer(struct sched *s, struct request *rq, struct answer *a)
{
	/* The feed has already shown that the claim was carried out. */
	if (s->own.state != OWN_CLAIMING)
		return;
	if (a->outcome == OUT_DONE) {
		s->own.removals_whole_since = s->own.claimed_whole_since;
		own_gain(s, rq->number, a->revision);
		return;
	}
	/*
	 * If another VM won, the feed shows it.  If there was no answer, the
	 * next reading of the feed names this process if the claim was carried
	 * out.
	 */
	s->own.state = OWN_NONE;
	own_restart_timeout(s);
}

/* Handles an answer about the ownership. */
void own_answer(struct sched *s, struct request *rq, struct answer *a)
{
	switch (rq->purpose) {
	case FOR_CLAIM:
		claim_answer(s, rq, a);
		break;
	case FOR_HEARTBEAT:
		heartbeat_answer(s, rq, a);
		break;
	case FOR_OFFER:
		offer_answer(s, a);
		break;
	default: /* a release: this VM is no owner, whatever the outcome */
		break;
	}
}

/*
 * Returns true if the owner row names this process although it is not the owner
 * yet: a claim without an answer was carried out.  An epoch that it released
 * doesn't count.  The release may not have been carried out, and the row is
 * read again when the feed's history is discarded; runs of tasks would get
 * numbers that this process has used in this epoch.
 */
static bool own_claim_was_done(const struct sched *s)
{
	return s->own.state == OWN_NONE && own_is_self(s) && !s->stop_by &&
	       s->own.epoch != s->own.released_epoch;
}

/*
 * Writes a row without a holder, so that another VM can claim at once, and the
 * latest note of the workers: the successor would wait for those that have
 * ended since it was written with a heartbeat.
 */
void own_write_release(struct sched *s, bool settled, unsigned handovers)
{
	bool note = s->own.state == OWN_OWNER;
	struct ownership released = {
		.epoch = s->own.epoch,
		.settled = settled,
		.handovers = handovers,
		.removals_whole_since = s->own.removals_whole_since,
		.leases = s->own.inherited_leases};
	struct request *rq;
	struct tx *t;

	if (note)
		released.leases.note_epoch = s->own.epoch;
	t = sched_tx(s, FOR_RELEASE, s->now + STORE_TIMEOUT_MS, &rq);
	tx_expect_owner(s, t);
	tx_write(t, TABLE_OWNER, bstr_lit(KEY_EPOCH),
		 owner_row_write(&released, true));
	if (note)
		workers_note_write(s, t);
	s->own.released_epoch = s->own.epoch;
	own_lose(s, "released");
}

/*
 * Releases the ownership in a planned stop, or if the tables can't be read.  A
 * successor relies on the release only if all leases end as early as those of
 * this owner.
 */
void own_release(struct sched *s)
{
	if (s->own.state != OWN_OWNER && s->own.state != OWN_LOADING)
		return;
	own_write_release(s, s->settled && !leases_may_be_long(s),
			  s->own.reached_workers ? 0 : s->own.handovers);
}

/* Returns true if readings of the store fail although heartbeats succeed. */
static bool own_load_stalled(const struct sched *s)
{
	return s->now - s->own.load_progress_at >= LOAD_STALL_MS &&
	       s->now - s->own.confirmed_at < OWNER_TIMEOUT_MS;
}

/* Handles timeouts of the ownership: claims, heartbeats and stalled loading. */
void own_tick(struct sched *s)
{
	switch (s->own.state) {
	case OWN_NONE:
		if (own_claim_was_done(s))
			own_gain(s, s->own.epoch, s->own.revision);
		else if (owner_is_gone(s))
			own_claim(s);
		else
			offer_tick(s);
		break;
	case OWN_LOADING:
		heartbeat_if_due(s);
		if (own_load_stalled(s)) {
			if (s->own.load_timeouts < LOAD_TIMEOUTS_MAX)
				s->own.load_timeouts++;
			own_release(s);
		}
		break;
	case OWN_OWNER:
		if (s->own.tokens_used_up) {
			own_release(s);
			break;
		}
		heartbeat_if_due(s);
		responses_check(s);
		offer_accept_tick(s);
		break;
	case OWN_CLAIMING:
	case OWN_RELEASING:
		break;
	}
}
