/*
 * Evacuations.  The operator asks that no task is started in a data centre
 * until the request is withdrawn.  What runs there runs on.
 *
 * The request is in force evacuation_ms after the store has acknowledged it,
 * whatever happens to the owner.  An order sent before the owner knows of the
 * request is refused by its worker after start_valid_ms(), so the owner starts
 * nothing while its knowledge of the operator's table is older than the rest of
 * that time.  This covers a feed that is late or was interrupted, a process
 * that was suspended, and a successor that has not heard of the request.
 */
#include "sched-state.h"

#include <stdlib.h>

/*
 * The part of evacuation_ms for the transit of orders and for a feed that
 * misses a change until its history is discarded: at most EVACUATION_MARGIN_MS
 * and a fifth.
 */
#define EVACUATION_MARGIN_MS 1000
#define EVACUATION_MARGIN_DIVISOR 5
/* The part for orders in flight: at most START_VALID_MS and a third. */
#define EVACUATION_START_DIVISOR 3

/* Returns how long workers accept a start. */
int64_t start_valid_ms(const struct sched_options *o)
{
	int64_t part = o->evacuation_ms / EVACUATION_START_DIVISOR;

	return part < START_VALID_MS ? part : START_VALID_MS;
}

/*
 * Returns how old the owner's knowledge of the operator's table may be when it
 * starts a task.
 */
static int64_t knowledge_age_max_ms(const struct sched_options *o)
{
	int64_t margin = o->evacuation_ms / EVACUATION_MARGIN_DIVISOR;

	if (margin > EVACUATION_MARGIN_MS)
		margin = EVACUATION_MARGIN_MS;
	return o->evacuation_ms - margin -
	       (int64_t)((double)start_valid_ms(o) * CLOCK_DRIFT_FACTOR);
}

/*
 * Returns how long a request to the operator's feed waits.  An answer proves
 * nothing about the time after its request, so this is at most half of the age
 * at which starts are held.
 */
uint32_t evacuations_feed_wait_ms(const struct sched_options *o)
{
	int64_t wait = knowledge_age_max_ms(o) / 2;

	return (uint32_t)(wait < FEED_WAIT_MS ? wait : FEED_WAIT_MS);
}

/* Returns true if tasks may not be started in a data centre. */
bool dc_is_evacuated(const struct sched *s, bstr dc)
{
	struct evacuation *e = NULL;

	if (s->evacuations)
		HASH_FIND_BSTR(s->evacuations, dc, e);
	return e;
}

/* Returns true if tasks may not be started on a worker because of its place. */
bool worker_is_evacuated(const struct sched *s, const struct worker *w)
{
	return dc_is_evacuated(s, w->row.zone);
}

/* Ends an evacuation. */
static void evacuation_end(struct sched *s, struct evacuation *e)
{
	sched_log(s, LOG_EVACUATION_ENDED, "dc=%.*s revision=%llu",
		  BSTR_ARG(e->dc), (unsigned long long)e->revision);
	HASH_DEL(s->evacuations, e);
	bstr_free(&e->dc);
	free(e);
	s->place_due = true;
}

/* Returns the evacuation of a data centre, and adds it if it is new. */
static struct evacuation *evacuation_get(struct sched *s, bstr dc)
{
	struct evacuation *e;

	HASH_FIND_BSTR(s->evacuations, dc, e);
	if (e)
		return e;
	e = xcalloc(1, sizeof(*e));
	e->dc = bstr_copy(dc);
	HASH_ADD_BSTR(s->evacuations, dc, e);
	return e;
}

/* Applies the operator's request for an evacuation, or its removal. */
void evacuation_row_apply(struct sched *s, struct row *r)
{
	struct evacuation *e;

	if (r->removed) {
		HASH_FIND_BSTR(s->evacuations, r->evacuated_dc, e);
		if (e && r->revision > e->revision)
			evacuation_end(s, e);
		return;
	}
	e = evacuation_get(s, r->evacuated_dc);
	e->last_reading = s->follows[FOLLOW_OPERATOR].reading_serial;
	if (r->revision <= e->revision)
		return;
	e->revision = r->revision;
	sched_log(s, LOG_EVACUATION_ASKED, "dc=%.*s revision=%llu",
		  BSTR_ARG(e->dc), (unsigned long long)e->revision);
}

/*
 * Ends the evacuations that a complete reading did not return.  They were
 * withdrawn during a gap in the change feed.
 */
void evacuations_unlist_missing(struct sched *s)
{
	struct evacuation *e, *next;

	HASH_ITER(hh, s->evacuations, e, next)
		if (e->last_reading !=
		    s->follows[FOLLOW_OPERATOR].reading_serial)
			evacuation_end(s, e);
}

/* Logs what an evacuation concerns, as the owner has come to know of it. */
static void evacuation_log_in_force(struct sched *s, const struct evacuation *e)
{
	const struct worker *w;
	const struct task *t;
	unsigned workers = 0, tasks = 0;

	for (w = s->workers; w; w = w->hh.next) {
		if (!bstr_eq(w->row.zone, e->dc) || !w->listed)
			continue;
		workers++;
		TAILQ_FOREACH(t, &w->tasks, worker_entry)
			tasks++;
	}
	sched_log(s, LOG_EVACUATION_IN_FORCE,
		  "dc=%.*s revision=%llu epoch=%llu workers=%u tasks=%u "
		  "age_ms=%lld",
		  BSTR_ARG(e->dc), (unsigned long long)e->revision,
		  (unsigned long long)s->own.epoch, workers, tasks,
		  (long long)(s->now - s->follows[FOLLOW_OPERATOR].current_at));
}

/* Logs the evacuations that this owner has not logged yet. */
void evacuations_tick(struct sched *s)
{
	struct evacuation *e, *next;

	if (!own_may_order(s))
		return;
	HASH_ITER(hh, s->evacuations, e, next) {
		if (e->logged_epoch == s->own.epoch)
			continue;
		e->logged_epoch = s->own.epoch;
		evacuation_log_in_force(s, e);
	}
}

/*
 * Returns true if each evacuation is known that has to be in force when a start
 * sent now arrives.  Logs when that changes.
 */
bool evacuations_are_known(struct sched *s)
{
	int64_t age = s->now - s->follows[FOLLOW_OPERATOR].current_at;
	bool known = age <= knowledge_age_max_ms(&s->options);

	if (!known)
		sched_count(s, COUNT_HELD_STARTS, 1);
	if (s->starts_held != known)
		return known;
	s->starts_held = !known;
	sched_log(s, LOG_STARTS_HELD, "held=%d age_ms=%lld limit_ms=%lld",
		  !known, (long long)age,
		  (long long)knowledge_age_max_ms(&s->options));
	return known;
}

/* Frees all evacuations. */
void evacuations_free(struct sched *s)
{
	struct evacuation *e, *next;

	HASH_ITER(hh, s->evacuations, e, next) {
		HASH_DEL(s->evacuations, e);
		bstr_free(&e->dc);
		free(e);
	}
}
