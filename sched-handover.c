/*
 * Hand-over: an owner that its workers hardly answer, as it has too little
 * processor time or is cut off from them, releases the ownership.
 */
#include "sched-state.h"

/*
 * An owner hands over if for UNRESPONSIVE_MS fewer than one in
 * RESPONSIVE_DIVISOR of its workers have answered in time although the store
 * serves it: it has too little processor time, or is cut off from them.  Its
 * heartbeats would continue, hardly a task would start, and nobody would
 * replace it.  Such a VM still processes up to a sixth of the answers in time.
 * With fewer workers than UNRESPONSIVE_WORKERS_MIN the failure is more likely
 * theirs.
 */
#define UNRESPONSIVE_MS 1000
#define RESPONSIVE_DIVISOR 4
#define UNRESPONSIVE_WORKERS_MIN 3
#define RESPONSES_CHECK_INTERVAL_MS 200
/*
 * If no VM can reach the workers, a hand-over is of no use and costs a reading
 * of all tables.  So at most HANDOVERS_MAX follow each other without an owner
 * in between that at least one in REACHED_DIVISOR of its workers answered, and
 * a VM hands over at most once in HANDOVER_INTERVAL_MS.
 */
#define HANDOVERS_MAX 2
#define REACHED_DIVISOR 2
#define HANDOVER_INTERVAL_MS 15000

/* Counts the workers by whether they answer this owner. */
void responses_count(const struct sched *s, struct responses *r)
{
	const struct worker *w;

	*r = (struct responses){0};
	for (w = s->workers; w; w = w->hh.next) {
		if (!w->listed || w->row.draining || w->takedown_pending)
			continue;
		r->expected++;
		if (worker_is_overdue(s, w))
			r->overdue++;
		else if (w->fenced)
			r->in_time++;
	}
}

/*
 * Returns true if hardly any worker answers this owner.  Workers that have
 * joined and whose first answer is not overdue yet don't count: an owner whose
 * moves of machines are carried out after it has become too slow would seem to
 * be answered by each of them, and would hand over seconds later.
 */
static bool responses_are_missing(const struct responses *r)
{
	unsigned due = r->in_time + r->overdue;

	return due >= UNRESPONSIVE_WORKERS_MIN &&
	       r->in_time * RESPONSIVE_DIVISOR < due;
}

/*
 * Releases the ownership because hardly any worker answers this VM.  The
 * release doesn't say that all runs are known: a start without an answer may
 * have reached a later process of a worker, which holds the longest lease.
 */
static void own_hand_over(struct sched *s, const struct responses *r)
{
	sched_log(
		s, LOG_OWNER_HANDOVER,
		"epoch=%llu workers=%u responsive=%u reached=%d ready_ms=%lld",
		(unsigned long long)s->own.epoch, r->expected, r->in_time,
		s->own.reached_workers, (long long)(s->now - s->own.ready_at));
	s->own.handover_not_before = s->now + HANDOVER_INTERVAL_MS;
	own_claim_later(s);
	own_write_release(s, false,
			  s->own.reached_workers ? 1 : s->own.handovers + 1);
}

/*
 * Hands over if hardly any worker has answered for a while.  That time starts
 * anew while the store doesn't serve this VM, as the failure may be one of the
 * whole network, and after a suspension, during which nobody was polled.
 */
void responses_check(struct sched *s)
{
	struct responses r;

	if (s->now < s->own.responses_check_at)
		return;
	s->own.responses_check_at = s->now + RESPONSES_CHECK_INTERVAL_MS;
	offer_shortage_update(s, RESPONSES_CHECK_INTERVAL_MS);
	responses_count(s, &r);
	if (r.expected && r.in_time * REACHED_DIVISOR >= r.expected)
		s->own.reached_workers = true;
	if (!responses_are_missing(&r) || !sched_store_is_up(s) ||
	    !own_may_start(s)) {
		s->own.unresponsive_by = 0;
		return;
	}
	if (!s->own.unresponsive_by)
		s->own.unresponsive_by = s->now + UNRESPONSIVE_MS;
	if (s->now < s->own.unresponsive_by ||
	    s->now < s->own.handover_not_before || s->stop_by ||
	    (!s->own.reached_workers && s->own.handovers >= HANDOVERS_MAX))
		return;
	own_hand_over(s, &r);
}
