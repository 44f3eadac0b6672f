/*
 * Making progress durable: the progress of many jobs goes into one
 * transaction, under the condition that this VM is still the owner.  A
 * worker's ends are acknowledged only after that, so that a successor finds
 * either the progress or the ends.
 */
#include "sched-state.h"

/*
 * A row that each commit rewrites under the condition of its revision.  A
 * commit without an answer may be carried out seconds later: after a newer one
 * it would set the progress of its jobs back, and tasks whose ends were
 * acknowledged on the newer one's word would run again.  Its condition does
 * not hold any more then.  It is no job's id.
 */
#define KEY_COMMIT "commit"

/*
 * Put what was in a failed commit back at the front, in its order.  A job that
 * has changed again meanwhile keeps the older of its numbers: with the newer
 * one an end of before would count as durable while the job waits behind
 * others, and its task would run twice if the owner were lost then.
 */
static void commit_undo(struct sched *s)
{
	struct job *j;

	while ((j = TAILQ_LAST(&s->committing_jobs, job_queue))) {
		TAILQ_REMOVE(&s->committing_jobs, j, dirty);
		j->dirty_seq = j->commit_seq;
		j->commit_seq = j->recommit_seq = 0;
		TAILQ_INSERT_HEAD(&s->dirty, j, dirty);
	}
}

/* A job that was written has changed again since: it has its place by that. */
static void commit_once_more(struct sched *s, struct job *j)
{
	struct job *before = TAILQ_LAST(&s->dirty, job_queue);

	j->dirty_seq = j->recommit_seq;
	j->recommit_seq = 0;
	while (before && before->dirty_seq > j->dirty_seq)
		before = TAILQ_PREV(before, job_queue, dirty);
	if (before)
		TAILQ_INSERT_AFTER(&s->dirty, before, j, dirty);
	else
		TAILQ_INSERT_HEAD(&s->dirty, j, dirty);
}

/*
 * Up to which number is everything durable?  While a commit is under way,
 * nothing of it is: an end acknowledged then would be lost with this owner
 * if the commit is not carried out, and its task would run twice.
 */
uint64_t commit_durable(const struct sched *s)
{
	const struct job *first = TAILQ_FIRST(&s->dirty);
	uint64_t durable = first ? first->dirty_seq - 1 : s->dirty_seq;

	if (s->commit_in_flight && s->commit_first_seq - 1 < durable)
		durable = s->commit_first_seq - 1;
	return durable;
}

/* Begin a commit if something is dirty and none is under way. */
void commit_tick(struct sched *s)
{
	struct request *rq;
	struct job *j;
	struct tx *t;
	size_t bytes = 0;
	unsigned n;
	bstr row;

	if (s->commit_in_flight || !own_may_order(s) ||
	    TAILQ_EMPTY(&s->dirty) || s->now < s->commit_at)
		return;
	t = sched_tx(s, FOR_COMMIT, s->now + STORE_TIMEOUT_MS, &rq);
	tx_expect(t, TABLE_OWNER, bstr_lit("epoch"), s->own.revision);
	tx_expect(t, TABLE_PROGRESS, bstr_lit(KEY_COMMIT), s->commit_revision);
	tx_write(t, TABLE_PROGRESS, bstr_lit(KEY_COMMIT), bstr_new("{}"));
	for (n = 0; n < COMMIT_ROWS_MAX && bytes < COMMIT_BYTES_MAX &&
		    (j = TAILQ_FIRST(&s->dirty));
	     n++) {
		TAILQ_REMOVE(&s->dirty, j, dirty);
		TAILQ_INSERT_TAIL(&s->committing_jobs, j, dirty);
		j->commit_seq = j->dirty_seq;
		j->dirty_seq = 0;
		row = progress_write(j);
		bytes += row.bstr_len;
		tx_write(t, TABLE_PROGRESS, bstr_lit(j->id), row);
	}
	s->commit_in_flight = true;
	s->commit_first_seq = TAILQ_FIRST(&s->committing_jobs)->commit_seq;
	s->commit_at = s->now + COMMIT_INTERVAL_MS;
}

/* The row that commits rewrite, as it was read. */
bool commit_row_apply(struct sched *s, const struct row *r)
{
	if (!bstr_eq_str(r->key, KEY_COMMIT))
		return false;
	if (r->revision > s->commit_revision)
		s->commit_revision = r->revision;
	return true;
}

/* Have all that was in a failed commit written again. */
static void commit_again(struct sched *s, int64_t at)
{
	commit_undo(s);
	s->commit_at = at;
	sched_count(s, COUNT_RETRY_PLATFORM_UNKNOWN, 1);
}

/* The outcome of a commit. */
void commit_answer(struct sched *s, struct request *rq, struct answer *a)
{
	unsigned rows = 0;
	struct job *j;

	if (rq->epoch != s->own.epoch || s->own.state != OWN_OWNER)
		return;
	s->commit_in_flight = false;
	if (a->outcome == OUT_CONFLICT) {
		if (tx_row_was_rewritten(s, a, TABLE_PROGRESS,
					 bstr_lit(KEY_COMMIT),
					 &s->commit_revision))
			commit_again(s, s->now);
		else
			own_lose(s, "replaced");
		return;
	}
	if (a->outcome != OUT_DONE) {
		commit_again(s, s->now + STORE_RETRY_MS);
		return;
	}
	if (a->revision > s->commit_revision)
		s->commit_revision = a->revision;
	while ((j = TAILQ_FIRST(&s->committing_jobs))) {
		TAILQ_REMOVE(&s->committing_jobs, j, dirty);
		j->commit_seq = 0;
		rows++;
		if (j->recommit_seq)
			commit_once_more(s, j);
		job_mark_durable(s, j);
		job_retire_if_done(s, j);
	}
	load_add_commit(s, rows, s->now - a->sent_at);
	worker_acknowledge(s);
}

/*
 * The outcome of removing rows: a conflict tells of a new owner.  While the
 * jobs are read whole again, a page may be on its way that was read before the
 * rows went; the jobs stay known then, and their rows are removed once more.
 */
void sweep_answer(struct sched *s, struct request *rq, struct answer *a)
{
	struct retired *r, *next;

	if (rq->epoch != s->own.epoch || s->own.state != OWN_OWNER)
		return;
	if (a->outcome == OUT_CONFLICT) {
		own_lose(s, "replaced");
		return;
	}
	for (r = TAILQ_FIRST(&s->retired_order); r; r = next) {
		next = TAILQ_NEXT(r, entry);
		if (!r->removing)
			break;
		r->removing = false;
		if (a->outcome == OUT_DONE && s->follows[3].complete)
			job_unretire(s, r);
	}
}
