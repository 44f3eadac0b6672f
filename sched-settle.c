/*
 * Settling after a takeover: an owner is settled when it knows all runs of
 * earlier owners.
 */
#include "sched-state.h"

/* Interval of the log line about the workers that a new owner waits for. */
#define SETTLE_LOG_INTERVAL_MS 500

/*
 * Logs at intervals the worker that the owner has waited for longest, with the
 * state that explains the wait.
 */
static void settle_log(struct sched *s)
{
	struct worker *w, *next, *longest = NULL;
	const struct pool *p;
	unsigned pools = 0;

	if (s->now < s->own.wait_log_at)
		return;
	s->own.wait_log_at = s->now + SETTLE_LOG_INTERVAL_MS;
	HASH_ITER(hh, s->workers, w, next)
		if (w->unknown &&
		    (!longest || w->answered_at < longest->answered_at))
			longest = w;
	if (!longest)
		return;
	for (p = s->pools; p; p = p->hh.next)
		pools += p->unknown > 0;
	sched_log(s, LOG_OWNER_WAITS,
		  "epoch=%llu ms=%lld unknown=%u pools=%u worker=%.*s "
		  "service=%.*s listed=%d fenced=%d ends_cut=%d quiet_ms=%lld "
		  "other_ms=%lld leases_ms=%lld proof_ms=%lld",
		  (unsigned long long)s->own.epoch,
		  (long long)(s->now - s->own.owned_at), s->unknown_count,
		  pools, BSTR_ARG(longest->id), BSTR_ARG(longest->row.service),
		  longest->listed, longest->fenced, longest->ends_truncated,
		  (long long)(s->now - longest->answered_at),
		  (long long)(longest->unfenced_until - s->now),
		  (long long)(lease_inherited_end(s, longest) - s->now),
		  (long long)(s->now - s->own.confirmed_at));
}

/*
 * Checks whether all runs of earlier owners are known.  After a takeover such
 * runs may be on any worker, until it has answered or can't hold a lease any
 * more.
 */
void settle_check(struct sched *s)
{
	if (s->settled)
		return;
	if (s->unknown_count) {
		settle_log(s);
		s->place_due = true; /* in the pools that are settled */
		return;
	}
	s->settled = true;
	/* This owner has read the rows of all workers that hold leases. */
	s->largest_capacity_known = true;
	s->place_due = true;
	sched_log(s, LOG_OWNER_SETTLED, "epoch=%llu ms=%lld",
		  (unsigned long long)s->own.epoch,
		  (long long)(s->now - s->own.owned_at));
}
