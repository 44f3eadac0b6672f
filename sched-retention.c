/*
 * Final jobs.  Their rows stay in the store while callers may ask for their
 * state, and the owner remembers them until the rows are removed: a job's row
 * that is read without its progress would be taken for a new job and run again.
 */
#include "sched-state.h"

#include <stdlib.h>
#include <string.h>

/* Entries of the store's transactions, and those for each removed job. */
#define TX_ENTRIES_MAX 100
#define ENTRIES_PER_JOB 4
/* One entry is the condition that this VM is still the owner. */
#define REMOVE_JOBS_MAX ((TX_ENTRIES_MAX - 1) / ENTRIES_PER_JOB)
/* Rows wait this long for others of their part, to be removed together. */
#define REMOVE_GATHER_MS 5000
/*
 * Least time between two requests.  They take a sixth of what the part of the
 * progress rows can do, and leave the rest to commits; at that, 600 jobs a
 * second are removed.
 */
#define REMOVE_INTERVAL_MS 40
#define REMOVE_RETRY_MS 1000

/* Returns the final job with this id, or NULL. */
static struct retained *retained_find(const struct sched *s, const char *id)
{
	struct retained *r;

	HASH_FIND(hh, s->retention.jobs, id, JOB_ID_BYTES, r);
	return r;
}

/* Returns the heap of the final jobs in the same part of the jobs' table. */
static struct heap *retained_part(struct sched *s, const struct retained *r)
{
	return &s->retention.parts[row_part(TABLE_JOBS, bstr_lit(r->id)) - 1];
}

/* Moves a final job from the heap, or from its list, to a list. */
static void retained_set_list(struct sched *s, struct retained *r,
			      struct retained_list *list)
{
	heap_remove(retained_part(s, r), &r->due);
	if (r->list)
		TAILQ_REMOVE(r->list, r, entry);
	r->list = list;
	if (list)
		TAILQ_INSERT_TAIL(list, r, entry);
}

/* Forgets a final job. */
static void retained_free(struct sched *s, struct retained *r)
{
	retained_set_list(s, r, NULL);
	HASH_DEL(s->retention.jobs, r);
	free(r);
}

/*
 * Adds a final job, with the revision of its row.  If the time of its end isn't
 * known, it ended now.  The time is on the store's clock: a wall clock that was
 * stepped, or that of another VM, would end the retention too early or never.
 */
void retention_add(struct sched *s, const char *id, uint64_t revision,
		   int64_t ended_by_store)
{
	struct retained *r;

	if (retained_find(s, id))
		return;
	r = xcalloc(1, sizeof(*r));
	memcpy(r->id, id, JOB_ID_BYTES);
	r->revision = revision;
	HASH_ADD(hh, s->retention.jobs, id, JOB_ID_BYTES, r);
	heap_set(retained_part(s, r), &r->due,
		 (ended_by_store ? ended_by_store : store_clock(s)) +
			 s->options.keep_ms);
}

/*
 * Returns true if the row of a job, with this revision, is that of a final job.
 * A job's row is written once, so a newer one is a new job under the same id:
 * the rows of the old one have been removed, though the answer that says so may
 * be late or lost.
 */
bool retention_covers(struct sched *s, const char *id, uint64_t revision)
{
	struct retained *r = retained_find(s, id);

	if (!r || revision <= r->revision)
		return r != NULL;
	retained_free(s, r);
	return false;
}

/*
 * Returns the time by the store's clock since when all owners have removed the
 * rows of a job together, for the row of this VM's claim.  Earlier versions
 * removed the row of a job's progress, and left that of the job.  They don't
 * write that time into the owner's row, so it begins anew after each of them.
 */
int64_t retention_whole_since(const struct sched *s)
{
	if (!s->own.revision)
		return 0; /* nobody has owned the scheduling yet */
	return s->own.removals_whole_since >= 0 ? s->own.removals_whole_since
						: store_clock(s);
}

/*
 * Returns the earliest time, by the store's clock, at which a job that has not
 * run can have ended.
 */
static int64_t job_earliest_end(const struct sched *s, const struct job *j)
{
	const struct job_body *b = j->body;
	int64_t at = store_clock(s) - job_age_ms(s, j), due;

	if (!b->repeat_count)
		return at;
	due = b->first_at + (b->repeat_count - 1) * b->interval_ms;
	due += store_clock(s) - s->wall;
	return due > at ? due : at;
}

/*
 * Returns true if a job without progress has most likely run, and an owner of
 * an earlier version has removed the row of its progress: its retention could
 * be over while such an owner was there.
 */
static bool job_is_leftover(const struct sched *s, const struct job *j)
{
	return j->status == JOB_STATUS_QUEUED && !j->start_was_durable &&
	       !j->next_occurrence &&
	       job_earliest_end(s, j) + s->options.keep_ms <
		       s->own.removals_whole_since;
}

/*
 * Has the rows of jobs removed that an owner of an earlier version has left,
 * and starts none of their tasks; called once all tables are read.  A job that
 * has waited for longer than its retention when the version changes can't be
 * told from them.
 */
void retention_add_leftovers(struct sched *s)
{
	struct job *j, *next;
	unsigned n = 0;

	for (j = TAILQ_FIRST(&s->jobs_by_arrival); j; j = next) {
		next = TAILQ_NEXT(j, entry);
		if (!job_is_leftover(s, j))
			continue;
		retention_add(s, j->id, j->revision,
			      store_clock(s) - s->options.keep_ms);
		sched_job_free(s, j);
		n++;
	}
	if (n)
		sched_log(s, LOG_JOBS_LEFT_OVER, "jobs=%u whole_since=%lld", n,
			  (long long)s->own.removals_whole_since);
}

/* Forgets all final jobs. */
void retention_reset(struct sched *s)
{
	struct retained *r, *next;
	unsigned i;

	HASH_ITER(hh, s->retention.jobs, r, next)
		retained_free(s, r);
	for (i = 0; i < JOB_PARTS; i++)
		heap_free(&s->retention.parts[i]);
	s->retention.in_flight = false;
}

/* Returns for how long a part has had rows to remove; 0: it has none. */
static int64_t part_late_ms(const struct sched *s, unsigned part)
{
	const struct heap_node *n = heap_first(&s->retention.parts[part]);
	int64_t clock = store_clock(s);

	return n && clock > n->due ? clock - n->due : 0;
}

/* Returns for how long the oldest final job has been due for removal. */
uint64_t retention_late_ms(const struct sched *s)
{
	int64_t ms, most = 0;
	unsigned i;

	for (i = 0; i < JOB_PARTS; i++) {
		ms = part_late_ms(s, i);
		if (ms > most)
			most = ms;
	}
	return (uint64_t)most;
}

/*
 * Sends the removal of the rows of the jobs in the list, on condition that they
 * are still the rows of these jobs.  A request without an answer may be carried
 * out seconds later, when an id has been used for a new job.
 */
static void removal_send(struct sched *s)
{
	struct retained *r;
	struct request *rq;
	struct tx *t = sched_tx(s, FOR_REMOVE_JOBS, s->now + STORE_TIMEOUT_MS,
				&rq);
	bstr cancellation;

	tx_expect_owner(s, t);
	TAILQ_FOREACH(r, &s->retention.removing, entry) {
		cancellation = cancellation_key(r->id);
		tx_expect(t, TABLE_JOBS, bstr_lit(r->id), r->revision);
		tx_remove(t, TABLE_JOBS, bstr_lit(r->id));
		tx_remove(t, TABLE_PROGRESS, bstr_lit(r->id));
		tx_remove(t, TABLE_JOBS, cancellation);
		bstr_free(&cancellation);
	}
	s->retention.in_flight = true;
	s->retention.remove_at = s->now + REMOVE_INTERVAL_MS;
}

/* Moves the jobs of a part that are due to the list, up to its limit. */
static void removal_fill(struct sched *s, unsigned part)
{
	const struct heap *h = &s->retention.parts[part];
	struct retained *r;
	unsigned n;

	for (n = 0; n < REMOVE_JOBS_MAX && part_late_ms(s, part); n++) {
		r = HEAP_ENTRY(heap_first(h), struct retained, due);
		retained_set_list(s, r, &s->retention.removing);
	}
}

/*
 * Forgets the jobs whose rows were removed while the jobs' table was being read
 * again, once it is complete: no page with their rows can arrive any more.
 */
static void removed_forget(struct sched *s)
{
	struct retained *r;

	if (!s->follows[FOLLOW_JOBS].complete)
		return;
	while ((r = TAILQ_FIRST(&s->retention.removed)))
		retained_free(s, r);
}

/*
 * Removes the rows of jobs whose retention is over, part by part.  A request
 * holds rows of one part only, beside those of progress: rows of all parts
 * would hold up the writes of callers in each of them.  Requests follow one
 * another while a part has had rows to remove for REMOVE_GATHER_MS.
 */
void retention_tick(struct sched *s)
{
	struct retention *k = &s->retention;
	unsigned i;

	removed_forget(s);
	if (k->in_flight || s->now < k->remove_at || !own_may_order(s))
		return;
	for (i = 0; i < JOB_PARTS && TAILQ_EMPTY(&k->removing); i++) {
		if (part_late_ms(s, k->next_part) >= REMOVE_GATHER_MS)
			removal_fill(s, k->next_part);
		k->next_part = (k->next_part + 1) % JOB_PARTS;
	}
	if (!TAILQ_EMPTY(&k->removing))
		removal_send(s);
}

/*
 * Returns true if a refused removal shows that a job's row is still there.  If
 * there is only a row of progress, it may be.
 */
static bool removal_is_pending(const struct answer *a, const struct retained *r)
{
	size_t i;

	for (i = 0; i < a->row_count; i++)
		if (a->rows[i].table == TABLE_JOBS &&
		    bstr_eq_str(a->rows[i].key, r->id))
			return a->rows[i].revision == r->revision;
	return !r->revision;
}

/*
 * Takes the jobs whose rows are gone from the list, and logs their ids in one
 * line.
 */
static void removal_finish(struct sched *s, const struct answer *a)
{
	char ids[REMOVE_JOBS_MAX * (JOB_ID_BYTES + 1) + 1] = "", *at = ids;
	struct retained *r, *next;
	unsigned count = 0;

	for (r = TAILQ_FIRST(&s->retention.removing); r; r = next) {
		next = TAILQ_NEXT(r, entry);
		if (a->outcome != OUT_DONE && removal_is_pending(a, r))
			continue;
		at += sprintf(at, "%s%s", count++ ? "," : "", r->id);
		retained_set_list(s, r, &s->retention.removed);
	}
	removed_forget(s);
	if (!count) {
		s->retention.remove_at = s->now + REMOVE_RETRY_MS;
		return;
	}
	sched_count(s, COUNT_JOBS_REMOVED, count);
	sched_log(s, LOG_JOBS_REMOVED, "jobs=%s retained=%u late_ms=%llu", ids,
		  HASH_COUNT(s->retention.jobs),
		  (unsigned long long)retention_late_ms(s));
}

/*
 * Handles the outcome of a removal of rows.  A conflict means that there is a
 * new owner, or that an earlier request without an answer has been carried out.
 */
void retention_answer(struct sched *s, struct request *rq, struct answer *a)
{
	if (rq->epoch != s->own.epoch || s->own.state != OWN_OWNER)
		return;
	s->retention.in_flight = false;
	switch (a->outcome) {
	case OUT_DONE:
		removal_finish(s, a);
		break;
	case OUT_CONFLICT:
		if (tx_finds_owner(s, a))
			removal_finish(s, a);
		else
			own_lose(s, "replaced");
		break;
	default:
		s->retention.remove_at = s->now + REMOVE_RETRY_MS;
		break;
	}
}
