/*
 * Final jobs.  Their rows stay in the store while callers may ask for their
 * state, and the owner remembers them until the rows are removed: a job's row
 * that is read without its progress would be taken for a new job and run again.
 */
#include "sched-state.h"

#include <stdlib.h>
#include <string.h>

/* Jobs whose rows are removed by one transaction; each has up to three rows. */
#define REMOVE_JOBS_MAX 30
#define REMOVE_INTERVAL_MS 1000

/* Returns the final job with this id, or NULL. */
const struct retained *retention_find(const struct sched *s, const char *id)
{
	struct retained *r;

	HASH_FIND(hh, s->retained, id, JOB_ID_BYTES, r);
	return r;
}

/* Adds a final job.  If the time of its end isn't known, it ended now. */
void retention_add(struct sched *s, const char *id, int64_t ended)
{
	struct retained *r;

	if (retention_find(s, id))
		return;
	r = xcalloc(1, sizeof(*r));
	memcpy(r->id, id, JOB_ID_BYTES);
	r->ended = ended ? ended : s->wall;
	HASH_ADD(hh, s->retained, id, JOB_ID_BYTES, r);
	TAILQ_INSERT_TAIL(&s->retained_order, r, entry);
}

/* Forgets a final job. */
static void retained_free(struct sched *s, struct retained *r)
{
	TAILQ_REMOVE(&s->retained_order, r, entry);
	HASH_DEL(s->retained, r);
	free(r);
}

/* Forgets all final jobs. */
void retention_reset(struct sched *s)
{
	struct retained *r;

	while ((r = TAILQ_FIRST(&s->retained_order)))
		retained_free(s, r);
}

/* Returns how long the rows of a final job are due for removal; 0: not yet. */
static int64_t retained_late_ms(const struct sched *s, const struct retained *r)
{
	int64_t late_ms = s->wall - r->ended - s->options.keep_ms;

	return late_ms > 0 ? late_ms : 0;
}

/* Returns the same for the oldest final job. */
uint64_t retention_late_ms(const struct sched *s)
{
	const struct retained *r = TAILQ_FIRST(&s->retained_order);

	return r ? (uint64_t)retained_late_ms(s, r) : 0;
}

/* Adds the removal of a job's rows to a transaction. */
static void removal_add(struct tx *t, struct retained *r)
{
	bstr key = bstr_printf("%s/cancel", r->id);

	tx_remove(t, TABLE_JOBS, bstr_lit(r->id));
	tx_remove(t, TABLE_PROGRESS, bstr_lit(r->id));
	tx_remove(t, TABLE_JOBS, key);
	bstr_free(&key);
	r->removing = true;
}

/* Removes the rows of jobs whose retention time is over. */
void retention_tick(struct sched *s)
{
	struct retained *r;
	struct request *rq;
	struct tx *t = NULL;
	unsigned n = 0;

	if (s->now < s->remove_at || !own_may_order(s))
		return;
	s->remove_at = s->now + REMOVE_INTERVAL_MS;
	TAILQ_FOREACH(r, &s->retained_order, entry) {
		if (n++ == REMOVE_JOBS_MAX || r->removing ||
		    !retained_late_ms(s, r))
			break;
		if (!t) {
			t = sched_tx(s, FOR_REMOVE_JOBS,
				     s->now + STORE_TIMEOUT_MS, &rq);
			tx_expect(t, TABLE_OWNER, bstr_lit("epoch"),
				  s->own.revision);
		}
		removal_add(t, r);
	}
}

/* Logs the ids of jobs whose rows were removed, in one line. */
static void removal_log(struct sched *s, unsigned count, const char *ids)
{
	if (!count)
		return;
	sched_count(s, COUNT_JOBS_REMOVED, count);
	sched_log(s, LOG_JOBS_REMOVED, "jobs=%s retained=%u late_ms=%llu", ids,
		  HASH_COUNT(s->retained),
		  (unsigned long long)retention_late_ms(s));
}

/*
 * Handles the outcome of a removal of rows.  A conflict means that there is a
 * new owner.  While the jobs table is being read again, a page may arrive that
 * was read before the rows were removed.  In that case the jobs stay known as
 * final, and their rows are removed once more.
 */
void retention_answer(struct sched *s, struct request *rq, struct answer *a)
{
	char ids[REMOVE_JOBS_MAX * (JOB_ID_BYTES + 1) + 1] = "", *at = ids;
	struct retained *r, *next;
	unsigned count = 0;

	if (rq->epoch != s->own.epoch || s->own.state != OWN_OWNER)
		return;
	if (a->outcome == OUT_CONFLICT) {
		own_lose(s, "replaced");
		return;
	}
	for (r = TAILQ_FIRST(&s->retained_order); r; r = next) {
		next = TAILQ_NEXT(r, entry);
		if (!r->removing)
			break;
		r->removing = false;
		if (a->outcome != OUT_DONE || !s->follows[FOLLOW_JOBS].complete)
			continue;
		at += sprintf(at, "%s%s", count++ ? "," : "", r->id);
		retained_free(s, r);
	}
	removal_log(s, count, ids);
}
