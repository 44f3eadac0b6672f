/*
 * The store's steady clock, as far as this VM knows it from the store's
 * answers. All VMs can compare times on it, and a deadline that outlives the VM
 * is stored by it.
 */
#include "sched-state.h"

/*
 * Returns the store's clock, extrapolated from its answers; 0 if it is not
 * known yet.
 */
int64_t store_clock(const struct sched *s)
{
	return s->store_clock_known ? s->now + s->store_clock_offset : 0;
}

/*
 * Updates the offset of the store's clock from an answer.  The store read its
 * clock at some time between the sending of the request and now.  An answer
 * that was queued here while this VM was suspended must not set the clock back:
 * old counts would then seem to be new.  The bounds of the offset get closer
 * with each quick answer, and begin anew with one that contradicts them.
 */
void store_clock_update(struct sched *s, const struct answer *a)
{
	int64_t min = a->store_clock - s->now;
	int64_t max = a->store_clock - a->sent_at;

	if (!a->store_clock)
		return;
	if (!s->store_clock_known || s->store_clock_offset > max)
		s->store_clock_offset = max;
	if (s->store_clock_offset < min)
		s->store_clock_offset = min;
	if (!s->store_clock_known || min > s->store_offset_max ||
	    max < s->store_offset_min) {
		s->store_offset_min = min;
		s->store_offset_max = max;
	}
	if (s->store_offset_min < min)
		s->store_offset_min = min;
	if (s->store_offset_max > max)
		s->store_offset_max = max;
	s->store_clock_known = true;
}

/* Returns the latest time that the store's clock can show at a time here. */
int64_t store_time_latest(const struct sched *s, int64_t at)
{
	return s->store_clock_known && at ? at + s->store_offset_max : 0;
}

/*
 * Returns the latest time here at which the store's clock can show a time; 0 if
 * that is not known.
 */
int64_t local_time_latest(const struct sched *s, int64_t store_time)
{
	return s->store_clock_known && store_time
		       ? store_time - s->store_offset_min
		       : 0;
}
