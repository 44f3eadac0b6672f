/*
 * Offers of larger VMs to take over from an owner short of processor time.
 *
 * The load: more tasks wait for their start, beside free workers, than the
 * owner can start, because a VM with little processor time has the ownership.
 * It was the only one that reached the store when the owner before it was lost.
 * Its heartbeats succeed and its workers answer, so nothing else ends its
 * ownership although larger VMs reach the store again.
 *
 * Such an owner says so in its heartbeat, a larger VM answers with a row, and
 * the owner releases the ownership.  An offer proves that its VM reaches the
 * store now: without it a release could leave the ownership to an even smaller
 * VM, or to none.
 */
#include "sched-state.h"
#include "json-read.h"

#define KEY_OFFER "offer"
/*
 * A hand-over stops all starts until the successor has read the tables and
 * polled the workers, for some 2 s.  A shorter shortage ends sooner by itself.
 */
#define SHORTAGE_MIN_MS 2000
/* A VM that can't start twice as many tasks isn't worth that pause. */
#define OFFER_RATIO 2
/* Offers of several VMs are spread over this time. */
#define OFFER_JITTER_MS 150
/* An offer that had no effect is repeated after this time or later. */
#define OFFER_RETRY_MS 5000
/*
 * Retries are spread over this many times OFFER_JITTER_MS.  All VMs see an
 * offer in the same instant, and their retries would reach the part of the
 * store that takes the heartbeat together.
 */
#define OFFER_RETRY_SPREAD 10
/*
 * An offer tells that its VM reached the store lately.  The time is enough for
 * a call about a machine to be answered, and for MACHINE_LEASE_MS after it.
 */
#define OFFER_VALID_MS 8000
/*
 * Calls about machines by two VMs within this time count as those of two
 * owners, even if the first one has released the ownership in between: the
 * platform need not check the epoch of such calls.
 */
#define MACHINE_LEASE_MS 3000
/* A VM gives up the ownership for an offer at most once in this time. */
#define YIELD_INTERVAL_MS 15000

/* Returns the processor time of this VM, in thousandths of a core. */
int64_t offer_own_cpu(const struct sched *s)
{
	return (int64_t)(s->options.cpu_share * 1000);
}

/*
 * Updates the shortage of an owner.  It grows while tasks wait for the window
 * of starts and the starts in it are answered late, and shrinks otherwise, so
 * that a single prompt answer doesn't hide it.  While the store doesn't serve
 * this VM nothing starts, whatever processor time it has.
 */
void offer_shortage_update(struct sched *s, int64_t interval_ms)
{
	bool held_back = s->starts_held_back && sched_store_is_up(s) &&
			 own_may_start(s);

	if (held_back && starts_are_slow(s))
		s->own.shortage_ms += interval_ms;
	else
		s->own.shortage_ms -= interval_ms;
	if (s->own.shortage_ms < 0)
		s->own.shortage_ms = 0;
	if (s->own.shortage_ms > 2 * SHORTAGE_MIN_MS)
		s->own.shortage_ms = 2 * SHORTAGE_MIN_MS;
	if (s->own.is_short == offer_is_wanted(s))
		return;
	s->own.is_short = !s->own.is_short;
	s->own.heartbeat_at = s->now;
	sched_log(s, LOG_OWNER_SHORT, "epoch=%llu short=%d cpu=%lld window=%u",
		  (unsigned long long)s->own.epoch, s->own.is_short,
		  (long long)offer_own_cpu(s),
		  s->start_window / START_WINDOW_UNIT);
}

/* Returns true if this owner would leave the ownership to a larger VM. */
bool offer_is_wanted(const struct sched *s)
{
	return s->own.shortage_ms >= SHORTAGE_MIN_MS &&
	       s->now >= s->own.handover_not_before;
}

/* Returns true if this VM is large enough, and able, to follow the owner. */
static bool offer_is_due(const struct sched *s)
{
	return s->own.holder_is_short && s->own.holder_cpu &&
	       s->own.holder.bstr_len &&
	       offer_own_cpu(s) >= OFFER_RATIO * s->own.holder_cpu &&
	       !own_defers_claim(s) && s->config && sched_store_is_up(s) &&
	       !s->stop_by && s->now >= s->own.defer_claims_until;
}

/*
 * Returns how long this VM waits for offers of others.  The larger VMs come
 * first, and not all VMs write in the same instant.
 */
static int64_t offer_delay(const struct sched *s)
{
	int64_t part = OFFER_RATIO * s->own.holder_cpu * OFFER_JITTER_MS /
		       (offer_own_cpu(s) + 1);

	return part + (int64_t)(s->options.seed % OFFER_JITTER_MS);
}

/* Returns when this VM repeats its offer; the larger VMs come first here, too.
 */
static int64_t offer_retry_at(const struct sched *s)
{
	return s->now + OFFER_RETRY_MS + OFFER_RETRY_SPREAD * offer_delay(s);
}

/* Writes the offer, which is valid for the epoch in force only. */
static void offer_send(struct sched *s)
{
	struct request *rq;
	struct tx *t;

	t = sched_tx(s, FOR_OFFER, s->now + STORE_TIMEOUT_MS, &rq);
	tx_expect_owner(s, t);
	tx_expect(t, TABLE_OWNER, bstr_lit(KEY_OFFER), s->own.offer_revision);
	tx_write(t, TABLE_OWNER, bstr_lit(KEY_OFFER),
		 json_write(json_pack("{s:I, s:o, s:I}", "epoch",
				      (json_int_t)s->own.epoch, "vm",
				      bstr_to_json(s->options.vm), "cpu",
				      (json_int_t)offer_own_cpu(s))));
	s->own.offer_at = offer_retry_at(s);
	sched_count(s, COUNT_OFFERS, 1);
	sched_log(s, LOG_OWNER_OFFER, "epoch=%llu to=%.*s cpu=%lld of=%lld",
		  (unsigned long long)s->own.epoch, BSTR_ARG(s->own.holder),
		  (long long)offer_own_cpu(s), (long long)s->own.holder_cpu);
}

/*
 * Handles the outcome of an offer.  If it was not written, it is repeated, or
 * another VM has offered before.
 */
void offer_answer(struct sched *s, const struct answer *a)
{
	if (a->outcome != OUT_DONE)
		sched_log(s, LOG_OWNER_OFFER, "epoch=%llu outcome=%d",
			  (unsigned long long)s->own.epoch, a->outcome);
}

/* Offers to follow the owner if that is due; called by all other VMs. */
void offer_tick(struct sched *s)
{
	if (!offer_is_due(s)) {
		s->own.offer_at = 0;
		return;
	}
	if (!s->own.offer_at)
		s->own.offer_at = s->now + offer_delay(s);
	else if (s->now >= s->own.offer_at)
		offer_send(s);
}

/* Returns true if the latest offer is for the epoch in force, and still new. */
static bool offer_is_valid(const struct sched *s)
{
	return s->own.offer_epoch && s->own.offer_epoch == s->own.epoch &&
	       s->now < s->own.offer_seen_at + OFFER_VALID_MS;
}

/*
 * Returns true if this owner is about to release the ownership to a VM that has
 * offered to follow.  Until then it sends no more calls about machines.  A late
 * offer, of an earlier epoch or after the shortage, has no effect.
 */
bool offer_is_accepted(const struct sched *s)
{
	return s->own.state == OWN_OWNER && offer_is_wanted(s) &&
	       offer_is_valid(s) &&
	       s->own.offer_cpu >= OFFER_RATIO * offer_own_cpu(s);
}

/*
 * Returns true if no call about a machine can reach the platform any more, and
 * the latest is so old that another VM may send some.
 */
static bool machine_calls_are_over(const struct sched *s)
{
	const struct request *rq;

	if (s->own.machine_call_at &&
	    s->now < s->own.machine_call_at + MACHINE_LEASE_MS)
		return false;
	for (rq = s->requests; rq; rq = rq->hh.next)
		if (purpose_is_machine(rq->purpose))
			return false;
	return true;
}

/*
 * Releases the ownership if an offer is accepted, as soon as the successor may
 * send calls about machines.
 */
void offer_accept_tick(struct sched *s)
{
	if (!offer_is_accepted(s) || !own_may_order(s) ||
	    !machine_calls_are_over(s))
		return;
	sched_log(s, LOG_OWNER_YIELDS, "epoch=%llu to=%.*s cpu=%lld of=%lld",
		  (unsigned long long)s->own.epoch, BSTR_ARG(s->own.offer_vm),
		  (long long)s->own.offer_cpu, (long long)offer_own_cpu(s));
	s->own.handover_not_before = s->now + YIELD_INTERVAL_MS;
	own_claim_later(s);
	own_release(s);
}

/* Applies a row of the owner table, if it is the one of the offers. */
bool offer_row_apply(struct sched *s, const struct row *r)
{
	json_t *row;

	if (!bstr_eq_str(r->key, KEY_OFFER))
		return false;
	if (r->revision <= s->own.offer_revision)
		return true;
	s->own.offer_revision = r->revision;
	row = json_read(r->value);
	if (!json_is_integer(json_object_get(row, "epoch")) ||
	    !json_is_integer(json_object_get(row, "cpu"))) {
		sched_log(s, LOG_BAD_ROW, "table=owner key=%s revision=%llu",
			  KEY_OFFER, (unsigned long long)r->revision);
		json_decref(row);
		return true;
	}
	s->own.offer_epoch = (uint64_t)json_integer_value(
		json_object_get(row, "epoch"));
	s->own.offer_cpu = json_integer_value(json_object_get(row, "cpu"));
	s->own.offer_seen_at = s->now;
	bstr_free(&s->own.offer_vm);
	s->own.offer_vm = bstr_from_json(json_object_get(row, "vm"));
	json_decref(row);
	/* One offer is enough; this VM's would follow if it has no effect. */
	if (s->own.offer_at)
		s->own.offer_at = offer_retry_at(s);
	offer_accept_tick(s);
	return true;
}

/* Returns true if another VM has offered to follow the latest epoch. */
bool offer_is_of_other(const struct sched *s)
{
	return offer_is_valid(s) && !bstr_eq(s->own.offer_vm, s->options.vm);
}
