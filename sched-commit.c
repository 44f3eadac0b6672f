/*
 * Makes the progress of jobs durable.  A transaction writes the progress of
 * many jobs, on condition that this VM is still the owner.  The ends that a
 * worker has reported are acknowledged only after that, so a successor finds
 * either the progress or the ends.
 */
#include "sched-state.h"

/*
 * The key of a row that each commit rewrites on condition of its revision.  A
 * commit that got no answer may be carried out seconds later.  After a newer
 * one it would reset the progress of its jobs, and tasks whose ends were
 * acknowledged because of the newer commit would run again.  The condition
 * makes such a late commit fail.  The key can't be a job id.
 */
#define KEY_COMMIT "commit"

/*
 * Puts the jobs of a failed commit back at the front of the dirty queue, in
 * their order.  A job that has changed again since keeps its older number.
 * With the newer one, an end processed before would count as durable while the
 * job is still waiting behind others; if the owner were lost then, its task
 * would run twice.
 */
static void commit_requeue(struct sched *s)
{
	struct job *j;

	while ((j = TAILQ_LAST(&s->committing_jobs, job_queue))) {
		TAILQ_REMOVE(&s->committing_jobs, j, dirty);
		j->dirty_seq = j->commit_seq;
		j->commit_seq = j->recommit_seq = 0;
		TAILQ_INSERT_HEAD(&s->dirty, j, dirty);
	}
}

/*
 * Puts a job that has changed since its commit was sent into the dirty queue,
 * at the place that the number of that change gives.
 */
static void commit_requeue_changed(struct sched *s, struct job *j)
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
 * Returns the highest number up to which all changes are durable.  Changes in
 * the commit in flight don't count: if an end were acknowledged now, and the
 * commit then failed and this owner were lost, the task would run twice.
 */
uint64_t commit_durable(const struct sched *s)
{
	const struct job *first = TAILQ_FIRST(&s->dirty);
	uint64_t durable = first ? first->dirty_seq - 1 : s->dirty_seq;

	if (s->commit_in_flight && s->commit_first_seq - 1 < durable)
		durable = s->commit_first_seq - 1;
	return durable;
}

/* Sends a commit if there are dirty jobs and none is in flight. */
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
	tx_expect_owner(s, t);
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

/* Handles the row that commits rewrite.  Returns false if r is another row. */
bool commit_row_apply(struct sched *s, const struct row *r)
{
	if (!bstr_eq_str(r->key, KEY_COMMIT))
		return false;
	if (r->revision > s->commit_revision)
		s->commit_revision = r->revision;
	return true;
}

/* Has the jobs of a failed commit written again, not before the given time. */
static void commit_retry(struct sched *s, int64_t at)
{
	commit_requeue(s);
	s->commit_at = at;
	sched_count(s, COUNT_RETRY_PLATFORM_UNKNOWN, 1);
}

/* Handles the outcome of a commit. */
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
			commit_retry(s, s->now);
		else
			own_lose(s, "replaced");
		return;
	}
	if (a->outcome != OUT_DONE) {
		commit_retry(s, s->now + STORE_RETRY_MS);
		return;
	}
	if (a->revision > s->commit_revision)
		s->commit_revision = a->revision;
	while ((j = TAILQ_FIRST(&s->committing_jobs))) {
		TAILQ_REMOVE(&s->committing_jobs, j, dirty);
		j->commit_seq = 0;
		rows++;
		if (j->recommit_seq)
			commit_requeue_changed(s, j);
		job_mark_durable(s, j);
		job_retire_if_done(s, j);
	}
	load_add_commit(s, rows, s->now - a->sent_at);
	worker_acknowledge(s);
}
