/*
 * The leases that workers hold, as the owner reckons with them.  A worker that
 * doesn't answer any more runs its tasks until its lease has expired; only then
 * they may start elsewhere.
 */
#include "sched-state.h"

/* Returns the earliest time that a worker's clock can show now. */
int64_t worker_clock(const struct sched *s, const struct worker *w)
{
	return w->clock + (s->now - w->clock_at);
}

/*
 * Returns true if the latest lease granted to a worker had expired at a time,
 * even if the worker's clock is as slow as possible.
 */
static bool lease_had_expired(const struct worker *w, int64_t at)
{
	double elapsed = (double)(at - w->clock_at) / CLOCK_DRIFT_FACTOR;

	return (double)w->clock + elapsed > (double)w->lease_end;
}

/*
 * Returns how long a lease granted now lasts, on the worker's clock; 0 or less
 * if none may be granted.  Until the store's note has a worker as one that may
 * hold leases of this owner, a successor waits for it no longer than for those
 * of earlier owners.
 */
int64_t lease_next_ms(const struct sched *s, const struct worker *w)
{
	int64_t ms = LEASE_MS, limit;

	limit = s->own.confirmed_at + UNCONFIRMED_LEASE_MS - s->now;
	if (limit < ms)
		ms = limit;
	if (!w->inherited || w->noted)
		return ms;
	limit = (int64_t)((double)(w->inherited_until - s->now) /
			  CLOCK_DRIFT_FACTOR);
	return limit < ms ? limit : ms;
}

/* Sets the end of a worker's lease, which is never shortened, and its basis. */
static void lease_extend(struct worker *w, int64_t deadline,
			 enum lease_basis basis)
{
	if (deadline <= w->lease_end)
		return;
	w->lease_end = deadline;
	w->lease_basis = basis;
}

/* Notes that an order grants a worker a lease until a time on its clock. */
void lease_granted(struct worker *w, int64_t deadline)
{
	lease_extend(w, deadline, LEASE_GRANTED);
}

/*
 * Notes that a worker's process may hold the longest lease, granted by an order
 * that was carried out when its clock showed a time.
 */
static void lease_may_be_longest(const struct sched *s, struct worker *w,
				 int64_t clock)
{
	lease_extend(w, clock + s->options.lease_max_ms, LEASE_LONGEST);
}

/*
 * Notes that a worker's process may hold a lease by orders of before its token
 * was raised, which it doesn't refuse yet.  They may be carried out as late as
 * any, and each makes the lease the longest one from then on.
 */
void lease_await_fence(const struct sched *s, struct worker *w)
{
	w->unfenced_until = s->now + ORDER_LIFETIME_MAX_MS +
			    (int64_t)((double)s->options.lease_max_ms *
				      CLOCK_DRIFT_FACTOR);
}

/*
 * Notes that another process of a worker has answered for the first time.  It
 * has got orders that were meant for the one before, such as the poll that it
 * has answered.
 */
void lease_reset(const struct sched *s, struct worker *w)
{
	w->lease_end = 0;
	lease_await_fence(s, w);
}

/* Returns the word for what the end of a lease is reckoned by, in log lines. */
static const char *lease_basis_word(enum lease_basis basis)
{
	static const char *const words[] = {
		[LEASE_GRANTED] = "granted",
		[LEASE_LONGEST] = "longest",
	};

	return words[basis];
}

/*
 * Notes that a worker's process has answered a poll with the current token for
 * the first time.  Orders with lower tokens, also of an earlier owner, may have
 * extended its lease until now, and none can from here on.  The owner's next
 * deadlines end earlier than that.  This matters also if nothing runs there
 * yet: a lease is never shortened, and later runs have the same.  The clock
 * doesn't tell whether the process is too old for orders to the one before: it
 * began at any value.  The first token of all has no orders before it, unless
 * the worker was known before, with the same one, and was forgotten.
 */
void lease_fenced(struct sched *s, struct worker *w, const struct answer *a)
{
	w->unfenced_until = 0;
	if (w->token > 1 || s->own.workers_forgotten)
		lease_may_be_longest(s, w, a->clock);
	if (w->token > own_first_token(s))
		sched_log(s, LOG_WORKER_FENCED,
			  "worker=%.*s token=%llu lease=%s lease_ms=%lld",
			  BSTR_ARG(w->id), (unsigned long long)w->token,
			  lease_basis_word(w->lease_basis),
			  (long long)(w->lease_end - a->clock));
}

/*
 * Returns how long after an owner's last heartbeat a successor waits for leases
 * on workers that don't answer it.  Its last order was sent about a heartbeat
 * later, perhaps to a process that began after the known one: that takes a
 * deadline on the clock of before for one far ahead, and holds the longest
 * lease, whatever was granted.
 */
static int64_t lease_inherited_ms(const struct sched *s)
{
	int64_t longest = HEARTBEAT_MS + s->options.lease_max_ms;

	if (longest < UNCONFIRMED_LEASE_MS)
		longest = UNCONFIRMED_LEASE_MS;
	return (int64_t)((double)longest * CLOCK_DRIFT_FACTOR);
}

/*
 * Returns when the leases have ended that the previous owner may have granted
 * on workers that don't answer this one.  What it knew of longer ones is lost
 * with it, and the worker's row tells nothing of a process that can't reach the
 * store.  An owner that released the ownership knew of none.
 */
int64_t lease_previous_owner_end(const struct sched *s)
{
	int64_t ms = lease_inherited_ms(s);

	if (s->own.previous_released)
		ms = (int64_t)(LEASE_MS * CLOCK_DRIFT_FACTOR);
	return s->own.previous_activity_at + ms;
}

/*
 * Returns when the leases of earlier owners have ended on a worker that doesn't
 * answer this one.
 */
int64_t lease_inherited_end(const struct sched *s, const struct worker *w)
{
	return w->inherited ? w->inherited_until : s->own.settle_by;
}

/*
 * Returns true if a successor would wait for a worker's lease.  An owner that
 * can't reach the store may have one already, and a worker that was restarted
 * since may hold a lease that ends later than its successor waits.
 */
bool lease_ends_in_time(const struct sched *s, const struct worker *w)
{
	double lease_ms = (double)(w->lease_end - w->clock);

	return w->clock_at + (int64_t)(lease_ms * CLOCK_DRIFT_FACTOR) <=
	       s->own.confirmed_at + lease_inherited_ms(s);
}

/*
 * Returns true if nothing can run on a silent worker any more.  Its lease has
 * expired, even by the slowest clock, and this VM was still the owner at that
 * time: otherwise a successor could have renewed the lease, and a task started
 * elsewhere would run twice.  If the worker never answered this owner, earlier
 * owners' leases count; if it didn't answer the one before either, its silence
 * isn't waited for anew.
 */
bool lease_has_expired(const struct sched *s, const struct worker *w)
{
	bool is_silent = worker_is_overdue(s, w) ||
			 (w->was_awaited && !w->has_answered);

	if (!is_silent || s->now < w->unfenced_until)
		return false;
	if (w->fenced && w->clock)
		return lease_had_expired(w, s->own.confirmed_at);
	return s->own.confirmed_at >
	       lease_inherited_end(s, w) + SETTLE_MARGIN_MS;
}

/*
 * Logs, once a silence, what the owner went by when it took a silent worker's
 * lease for expired: a run that goes on there was given up too early.
 */
void lease_log_expired(struct sched *s, struct worker *w)
{
	bool inherited = !w->fenced || !w->clock;

	if (w->expiry_logged)
		return;
	w->expiry_logged = true;
	sched_log(s, LOG_LEASE_EXPIRED,
		  "worker=%.*s lease=%s lease_ms=%lld token=%llu fenced=%d "
		  "token_new=%d quiet_ms=%lld listed=%d",
		  BSTR_ARG(w->id),
		  inherited ? "inherited" : lease_basis_word(w->lease_basis),
		  (long long)(inherited ? lease_inherited_end(s, w) - s->now
					: w->lease_end - worker_clock(s, w)),
		  (unsigned long long)w->token, w->fenced, w->token_is_new,
		  (long long)(s->now - w->answered_at), w->listed);
}

/*
 * Returns true if a worker may hold a longer lease than this owner grants: a
 * later process of it that took a deadline on the old clock for one far in the
 * future, or may have, as a start has no answer yet.
 */
bool leases_may_be_long(const struct sched *s)
{
	const struct worker *w;
	const struct task *t;

	for (w = s->workers; w; w = w->hh.next) {
		if (s->now < w->unfenced_until ||
		    w->lease_end - worker_clock(s, w) >
			    LEASE_MS + SETTLE_MARGIN_MS)
			return true;
		TAILQ_FOREACH(t, &w->tasks, worker_entry)
			if (t->phase == PHASE_STARTING)
				return true;
	}
	return false;
}
