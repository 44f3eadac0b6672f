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
 * The progress of a job that the store refuses by itself is sent again after
 * this time.
 */
#define REFUSED_RETRY_MS 1000

/* Takes a job off the queues of jobs whose progress has to be written. */
void commit_forget(struct sched *s, struct job *j)
{
	if (j->commit_seq)
		TAILQ_REMOVE(&s->committing_jobs, j, dirty);
	else if (j->dirty_seq && j->refused_until)
		TAILQ_REMOVE(&s->refused, j, dirty);
	else if (j->dirty_seq)
		TAILQ_REMOVE(&s->dirty, j, dirty);
}

/*
 * Sets a job aside whose progress the store refuses by itself.  In a commit
 * with others it would have these refused as well, again and again, and no job
 * of anybody would go on.  None of its tasks is started meanwhile, and its ends
 * are not acknowledged, so that nothing of it is lost.
 */
static void commit_set_aside(struct sched *s, struct job *j, size_t rows,
			     size_t bytes)
{
	uint64_t seq = j->dirty_seq ? j->dirty_seq : j->commit_seq;

	commit_forget(s, j);
	if (!j->refused_until) {
		sched_log(s, LOG_PROGRESS_REFUSED,
			  "job=%s queue=%.*s rows=%zu bytes=%zu", j->id,
			  BSTR_ARG(j->route), rows, bytes);
		ack_hold_refused(s);
	}
	j->dirty_seq = seq;
	j->commit_seq = j->recommit_seq = 0;
	j->refused_until = s->now + REFUSED_RETRY_MS;
	TAILQ_INSERT_TAIL(&s->refused, j, dirty);
}

/* Returns how many jobs are set aside. */
uint64_t commit_set_aside_count(const struct sched *s)
{
	const struct job *j;
	uint64_t n = 0;

	TAILQ_FOREACH(j, &s->refused, dirty)
		n++;
	return n;
}

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
		TAILQ_INSERT_HEAD(j->refused_until ? &s->refused : &s->dirty, j,
				  dirty);
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

/* A commit while it is put together. */
struct commit {
	struct tx *tx; /* NULL: it is empty */
	unsigned jobs;
	size_t rows;
	size_t bytes;
};

/* Begins the transaction of a commit. */
static void commit_begin(struct sched *s, struct commit *c)
{
	struct request *rq;

	c->tx = sched_tx(s, FOR_COMMIT, s->now + STORE_TIMEOUT_MS, &rq);
	tx_expect_owner(s, c->tx);
	tx_expect(c->tx, TABLE_PROGRESS, bstr_lit(KEY_COMMIT),
		  s->commit_revision);
	tx_write(c->tx, TABLE_PROGRESS, bstr_lit(KEY_COMMIT), bstr_new("{}"));
}

/* Adds the rows of a job to a transaction, and removes those it had before. */
static void progress_send(struct tx *t, struct job *j, struct progress_rows *p)
{
	unsigned i, more = (unsigned)p->count - 1;
	bstr key;

	tx_write(t, TABLE_PROGRESS, bstr_lit(j->id), p->rows[0]);
	p->rows[0] = BSTR_NONE;
	for (i = 0; i < more || i < j->more_rows; i++) {
		key = progress_more_key(j->id, i);
		if (i < more) {
			tx_write(t, TABLE_PROGRESS, key, p->rows[i + 1]);
			p->rows[i + 1] = BSTR_NONE;
		} else {
			tx_remove(t, TABLE_PROGRESS, key);
		}
		bstr_free(&key);
	}
	j->more_rows_sent = more;
	if (j->more_rows < more)
		j->more_rows = more;
}

/* Logs, once for each job, that checkpoints of it can't be stored. */
static void left_out_log(struct sched *s, struct job *j,
			 const struct progress_rows *p)
{
	if (!p->left_out || j->left_out_logged)
		return;
	j->left_out_logged = true;
	sched_log(s, LOG_CHECKPOINTS_LEFT_OUT,
		  "job=%s checkpoints=%u rows=%zu bytes=%zu", j->id,
		  p->left_out, p->count, p->bytes);
}

/*
 * Adds the progress of a job to a commit, or sets the job aside if no
 * transaction has room for it.  Returns false if it has to wait for the next
 * commit.
 */
static bool commit_add(struct sched *s, struct commit *c, struct job *j)
{
	struct progress_rows p = progress_write(j, tx_row_bytes(s));
	size_t rows = p.count > j->more_rows ? p.count : j->more_rows + 1;
	bool fits = rows <= PROGRESS_ROWS_MAX && p.bytes <= PROGRESS_BYTES_MAX;
	bool waits = fits && c->jobs &&
		     (c->jobs >= s->commit_jobs_max ||
		      c->rows + rows > COMMIT_ROWS_MAX ||
		      c->bytes + p.bytes > COMMIT_BYTES_MAX);

	if (!fits) {
		commit_set_aside(s, j, p.count, p.bytes);
	} else if (!waits) {
		if (!c->tx)
			commit_begin(s, c);
		commit_forget(s, j);
		TAILQ_INSERT_TAIL(&s->committing_jobs, j, dirty);
		j->commit_seq = j->dirty_seq;
		j->dirty_seq = 0;
		left_out_log(s, j, &p);
		c->jobs++;
		c->rows += rows;
		c->bytes += p.bytes;
		progress_send(c->tx, j, &p);
	}
	progress_rows_free(&p);
	return !waits;
}

/* Returns a job that was set aside and is to be sent again, or NULL. */
static struct job *refused_due(const struct sched *s)
{
	struct job *j = TAILQ_FIRST(&s->refused);

	return j && s->now >= j->refused_until ? j : NULL;
}

/*
 * Sends a commit if there are dirty jobs and none is in flight.  A job that the
 * store has refused by itself has a commit of its own.
 */
void commit_tick(struct sched *s)
{
	struct commit c = {0};
	struct job *j;

	if (s->commit_in_flight || !own_may_order(s) || s->now < s->commit_at)
		return;
	j = refused_due(s);
	if (j)
		commit_add(s, &c, j);
	while (!j && (j = TAILQ_FIRST(&s->dirty)))
		j = commit_add(s, &c, j) ? NULL : j;
	if (!c.tx)
		return;
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

/*
 * Handles a commit that the store refuses each time.  If it has several jobs,
 * the next ones have half as many, until the job is found that the store
 * refuses.
 */
static void commit_refused(struct sched *s)
{
	struct job *j, *first = TAILQ_FIRST(&s->committing_jobs);
	struct progress_rows p;
	unsigned jobs = 0;

	TAILQ_FOREACH(j, &s->committing_jobs, dirty)
		jobs++;
	sched_count(s, COUNT_COMMITS_REFUSED, 1);
	if (jobs > 1) {
		s->commit_jobs_max = jobs / 2;
		commit_retry(s, s->now + COMMIT_INTERVAL_MS);
		return;
	}
	p = progress_write(first, tx_row_bytes(s));
	commit_set_aside(s, first, p.count, p.bytes);
	progress_rows_free(&p);
}

/* Handles the outcome of a commit of a number of jobs that was carried out. */
static void commit_done(struct sched *s, const struct answer *a)
{
	unsigned rows = 0;
	struct job *j;

	if (a->revision > s->commit_revision)
		s->commit_revision = a->revision;
	while ((j = TAILQ_FIRST(&s->committing_jobs))) {
		TAILQ_REMOVE(&s->committing_jobs, j, dirty);
		j->commit_seq = 0;
		j->refused_until = 0;
		j->more_rows = j->more_rows_sent;
		rows++;
		if (j->recommit_seq)
			commit_requeue_changed(s, j);
		job_mark_durable(s, j);
		job_retire_if_done(s, j);
	}
	if (s->commit_jobs_max <= COMMIT_ROWS_MAX / 2)
		s->commit_jobs_max *= 2;
	else
		s->commit_jobs_max = COMMIT_ROWS_MAX;
	load_add_commit(s, rows, s->now - a->sent_at);
	worker_acknowledge(s);
}

/* Handles the outcome of a commit. */
void commit_answer(struct sched *s, struct request *rq, struct answer *a)
{
	if (rq->epoch != s->own.epoch || s->own.state != OWN_OWNER)
		return;
	s->commit_in_flight = false;
	switch (a->outcome) {
	case OUT_DONE:
		commit_done(s, a);
		break;
	case OUT_CONFLICT:
		if (tx_row_was_rewritten(s, a, TABLE_PROGRESS,
					 bstr_lit(KEY_COMMIT),
					 &s->commit_revision))
			commit_retry(s, s->now);
		else
			own_lose(s, "replaced");
		break;
	case OUT_REFUSED:
		if (a->refusal == REFUSAL_INVALID) {
			commit_refused(s);
			break;
		}
		/* fallthrough */
	default:
		commit_retry(s, s->now + STORE_RETRY_MS);
		break;
	}
}
