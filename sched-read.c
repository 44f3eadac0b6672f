/*
 * How the owner reads jobs: the rows of accepted jobs, of cancellations and of
 * progress.
 */
#include "sched-state.h"

#include <string.h>

/* Wall clocks of VMs are at most seconds apart unless one was stepped. */
#define CLOCKS_APART_MAX_MS 60000

/* Returns true if a job has best-effort tasks. */
static bool body_has_best_effort(const struct job_body *b)
{
	size_t i;

	for (i = 0; i < b->step_count; i++)
		if (b->steps[i].best_effort)
			return true;
	return false;
}

/*
 * Returns how long ago a job was submitted, by the store's clock, or by the
 * wall clocks if that says much less.  One of the clocks has been stepped then;
 * with the longer age, all open jobs would seem to be hours late at once.
 */
int64_t job_age_ms(const struct sched *s, const struct job *j)
{
	int64_t age_ms = store_clock(s) - j->submitted_by_store;
	int64_t by_wall_ms = s->wall - j->submitted;

	if (!j->submitted || age_ms <= by_wall_ms + CLOCKS_APART_MAX_MS)
		return age_ms;
	return by_wall_ms > 0 ? by_wall_ms : 0;
}

/*
 * Returns when a job was submitted, on this VM's clock.  Jobs that were
 * submitted while there was no owner, or while the jobs' feed was late, would
 * seem to be new otherwise, and be served as if they had waited for nothing.
 * The wall clocks of two VMs may be seconds apart, but the store's clock is the
 * same for both.
 */
static int64_t job_submitted_at(const struct sched *s, const struct job *j)
{
	int64_t age_ms = job_age_ms(s, j);

	if (!store_clock(s) || !j->submitted_by_store || age_ms < 0)
		return s->now;
	return s->now - age_ms;
}

/* Starts to track a job. */
static void job_add(struct sched *s, struct job *j)
{
	if (body_has_best_effort(j->body))
		s->has_best_effort = true;
	j->arrived = s->now;
	j->submitted_at = job_submitted_at(s, j);
	j->inherited = s->own.state == OWN_LOADING;
	if (!j->inherited)
		share_count_job(s, j);
	s->open_jobs++;
	HASH_ADD(hh, s->jobs, id, JOB_ID_BYTES, j);
	TAILQ_INSERT_TAIL(&s->jobs_by_arrival, j, entry);
	if (!j->inherited)
		job_make_due_occurrences(s, j);
}

/* Handles the cancellation of a job. */
static void job_cancel(struct sched *s, const char *id)
{
	struct job *j = sched_job_find(s, id);

	if (!j || j->status > JOB_STATUS_RUNNING)
		return;
	sched_log(s, LOG_JOB_CANCEL, "job=%s placed=%u", id, j->placed);
	job_finish(s, j, JOB_STATUS_CANCELLED);
}

/* Handles a row of TABLE_JOBS: a job or its cancellation. */
void job_row_apply(struct sched *s, struct row *r)
{
	char id[JOB_ID_BYTES + 1] = "";
	struct job *j;

	if (r->removed || r->kind == ROW_BAD || r->key.bstr_len < JOB_ID_BYTES)
		return;
	memcpy(id, r->key.bstr_val, JOB_ID_BYTES);
	if (r->key.bstr_len > JOB_ID_BYTES) {
		job_cancel(s, id);
		return;
	}
	if (retention_covers(s, id, r->revision) || sched_job_find(s, id))
		return;
	j = job_row_read(id, r->value);
	if (!j) {
		sched_log(s, LOG_JOURNAL_BAD, "job=%s revision=%llu", id,
			  (unsigned long long)r->revision);
		return;
	}
	j->revision = r->revision;
	job_add(s, j);
	if (j->inherited)
		return;
	flow_add_seen(s, j);
	sched_log(s, LOG_JOB_SEEN,
		  "job=%s queue=%.*s organisation=%.*s revision=%llu "
		  "age_ms=%lld",
		  id, BSTR_ARG(j->route), BSTR_ARG(j->tenant),
		  (unsigned long long)r->revision,
		  (long long)(s->now - j->submitted_at));
}

/* Returns true if a job's progress row shows that one of its tasks has run. */
static bool progress_has_run(const struct job *j)
{
	const struct occurrence *o;
	unsigned i, unfinished = 0;

	TAILQ_FOREACH(o, &j->occs, entry) {
		unfinished++;
		for (i = 0; i < o->task_count; i++)
			if (o->tasks[i].phase == PHASE_DONE ||
			    o->tasks[i].failure_count ||
			    o->tasks[i].checkpoint.bstr_len)
				return true;
	}
	return j->next_occurrence > unfinished;
}

/*
 * Handles a further row of a job's progress, which is read after the first one.
 * Rows of another revision are left from before; they are removed with the next
 * commit.
 */
static void progress_more_apply(struct sched *s, const struct row *r,
				const char *id, unsigned number)
{
	struct job *j = sched_job_find(s, id);

	if (!j)
		return;
	if (j->more_rows <= number)
		j->more_rows = number + 1;
	if (!j->inherited || j->status > JOB_STATUS_RUNNING ||
	    r->revision != j->progress_revision)
		return;
	if (!progress_apply_more(j, r->value))
		sched_log(s, LOG_JOURNAL_BAD, "progress=%s/%02u", id, number);
	j->run_seen = j->run_seen || progress_has_run(j);
}

/*
 * Handles a row of TABLE_PROGRESS.  They are read at a takeover, after the rows
 * of the jobs.
 */
void progress_row_apply(struct sched *s, struct row *r)
{
	char id[JOB_ID_BYTES + 1] = "";
	enum job_status status;
	struct job *j;
	int64_t ended_by_store;
	unsigned number;
	bstr tenant;

	if (r->removed || commit_row_apply(s, r) || r->kind == ROW_BAD)
		return;
	if (progress_more_key_read(r->key, id, &number)) {
		progress_more_apply(s, r, id, number);
		return;
	}
	if (r->key.bstr_len != JOB_ID_BYTES)
		return;
	memcpy(id, r->key.bstr_val, JOB_ID_BYTES);
	if (!progress_peek(r->value, &tenant, &status, &ended_by_store)) {
		sched_log(s, LOG_JOURNAL_BAD, "progress=%s", id);
		return;
	}
	bstr_free(&tenant);
	j = sched_job_find(s, id);
	if (status > JOB_STATUS_RUNNING) {
		/* A job that is tracked is added when it is retired. */
		if (!j)
			retention_add(s, id, 0, ended_by_store);
		if (j && j->inherited) {
			s->open_jobs -= j->status <= JOB_STATUS_RUNNING;
			j->status = status;
			j->ended_by_store = ended_by_store;
			progress_apply_services(j, r->value);
		}
		return;
	}
	if (j && j->inherited && TAILQ_EMPTY(&j->occs) && !j->next_occurrence &&
	    j->status <= JOB_STATUS_RUNNING) {
		progress_apply(j, r->value);
		j->progress_revision = r->revision;
		job_queue_placing(s, j);
		j->run_seen = progress_has_run(j);
	}
	/* It was cancelled, and no owner has noted that yet. */
	if (j && j->inherited && j->status > JOB_STATUS_RUNNING)
		progress_apply_services(j, r->value);
	if (j && j->inherited && j->status == JOB_STATUS_RUNNING)
		j->start_durable = j->start_was_durable = true;
}
