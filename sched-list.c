/*
 * The lists of running and ended runs that workers report when polled.
 */
#include "sched-state.h"

#include <string.h>

/*
 * Value of started_at_worker once a list has shown the run.  If a later list
 * lacks the run, it is missing.
 */
#define CLOCK_NONE (-1)
/*
 * A task whose end is deferred is not started again for this time.  The worker
 * lists the end again sooner than that.
 */
#define DEFERRED_END_DELAY_MS 1500
/* Interval of the log line about a worker's deferred ends. */
#define DEFERRED_LOG_INTERVAL_MS 1000

/*
 * Counts a failed run towards its worker becoming suspect.  Consecutive
 * failures of one job count once.
 */
static void worker_count_failure(struct sched *s, struct worker *w,
				 const struct task *t)
{
	if (!strcmp(w->failure_streak_job, t->occ->job->id))
		return;
	memcpy(w->failure_streak_job, t->occ->job->id,
	       sizeof(w->failure_streak_job));
	if (++w->failure_streak < SUSPECT_FAILURES)
		return;
	w->suspect_until = s->now + SUSPECT_MS;
	sched_log(s, LOG_WORKER_SUSPECT, "worker=%.*s failures=%u",
		  BSTR_ARG(w->id), w->failure_streak);
}

/* Handles the end of a task's current run. */
static void end_apply(struct sched *s, struct worker *w, struct task *t,
		      const struct ended *n)
{
	if (n->checkpoint.bstr_len && !bstr_eq(n->checkpoint, t->checkpoint)) {
		bstr_set(&t->checkpoint, n->checkpoint);
		if (n->kind != END_DONE)
			job_mark_dirty(s, t->occ->job);
	}
	if (n->kind == END_DONE)
		learn_run_time(s, t);
	task_unplace(s, t);
	switch (n->kind) {
	case END_DONE:
		w->failure_streak = 0;
		w->failure_streak_job[0] = '\0';
		job_task_done(s, t);
		return;
	case END_FAILED:
		t->avoided_worker = w->serial;
		task_delay(t, s->now + TASK_RETRY_DELAY_MS);
		worker_count_failure(s, w, t);
		job_task_failed(s, t, n->run);
		return;
	case END_LAPSED:
	case END_GANG_INCOMPLETE:
	case END_GANG_BROKEN:
		task_delay(t, s->now + TASK_RETRY_DELAY_MS);
		return;
	case END_STOPPED:
		return;
	}
}

/*
 * Returns true if an earlier start of a task may still be carried out, other
 * than by the known process of a worker that is past the start's deadline.
 */
static bool late_start_is_possible(const struct sched *s,
				   const struct worker *w, const struct task *t)
{
	if (s->now >= t->late_start_until)
		return false;
	return t->awaited_worker != w->serial || w->clock <= t->start_by;
}

/* Handles an end that a worker lists. */
static void end_process(struct sched *s, struct worker *w,
			const struct ended *n)
{
	static const char *const words[] = {"done",   "failed", "stopped",
					    "lapsed", "broken", "alone"};
	struct job *j;
	struct task *t = task_find(s, n->task, &j);

	if (n->kind != END_DONE || s->settled == false)
		sched_log(s, LOG_TASK_ENDED,
			  "task=%.*s run=%llu worker=%.*s how=%s known=%d",
			  BSTR_ARG(n->task), (unsigned long long)n->run,
			  BSTR_ARG(w->id), words[n->kind], t != NULL);
	if (!t || t->phase == PHASE_DONE)
		return;
	j->run_seen = true;
	if (t->worker == w && t->run == n->run) {
		end_apply(s, w, t, n);
	} else if (n->kind == END_DONE) {
		/*
		 * A run of an earlier owner, or one given up as lost, has
		 * completed after all.  The current run is superfluous.
		 */
		if (t->worker)
			task_stop(s, t);
		if (t->worker)
			task_unplace(s, t);
		if (late_start_is_possible(s, w, t))
			worker_hold_ack(s, w, n->number, t->late_start_until);
		job_task_done(s, t);
	} else {
		t->crash_inherited = false;
		if (n->run > t->highest_run)
			t->highest_run = n->run;
		if (n->kind == END_FAILED)
			job_task_failed(s, t, n->run);
	}
	s->place_due = true;
}

/*
 * Returns true if the known process of a task's worker may still carry out the
 * task's start.  Once that process has shown a clock past the start's deadline,
 * it refuses the start.
 */
static bool start_is_open(const struct task *t)
{
	return t->phase == PHASE_STARTING &&
	       (t->start_in_flight || t->worker->clock <= t->start_by);
}

/*
 * Returns the task that requires an end to be deferred, or NULL.  The task's
 * run was given up as lost, and its next start may still be carried out.  If
 * the end were acknowledged now, the task would run again although it is done.
 *
 * The wait ends at the start's deadline at the latest, whatever the lists of
 * its worker show: that worker's ends may be deferred as well, and workers
 * would wait for each other's starts for ever.
 */
static struct task *end_find_deferring_task(struct sched *s,
					    const struct worker *w,
					    const struct ended *n)
{
	struct job *j;
	struct task *t = task_find(s, n->task, &j);

	if (!t || n->kind != END_DONE || !start_is_open(t) ||
	    (t->worker == w && t->run == n->run))
		return NULL;
	return t;
}

/*
 * Logs at intervals that a worker's ends are deferred, with the end and the
 * start that the first of them waits for.
 */
static void end_log_deferred(struct sched *s, struct worker *w,
			     const struct ended *n, const struct task *t)
{
	if (!w->ends_deferred)
		w->deferred_since = s->now;
	if (w->ends_deferred && s->now < w->deferred_log_at)
		return;
	w->deferred_log_at = s->now + DEFERRED_LOG_INTERVAL_MS;
	sched_log(s, LOG_END_DEFERRED,
		  "task=%.*s run=%llu worker=%.*s end=%llu start_run=%llu "
		  "start_worker=%.*s start_ms=%lld in_flight=%d "
		  "deferred_ms=%lld",
		  BSTR_ARG(n->task), (unsigned long long)n->run,
		  BSTR_ARG(w->id), (unsigned long long)n->number,
		  (unsigned long long)t->run, BSTR_ARG(t->worker->id),
		  (long long)(s->now - t->started_at), t->start_in_flight,
		  (long long)(s->now - w->deferred_since));
}

/*
 * Returns the number of the first end in a list that has to be deferred, or
 * UINT64_MAX if there is none.  Its task is not started again until the end and
 * the outcome of the start have been processed.
 */
static uint64_t ends_find_deferred(struct sched *s, struct worker *w,
				   const struct answer *a)
{
	const struct ended *first = NULL;
	const struct task *deferring = NULL;
	struct task *t;
	size_t i;

	for (i = 0; i < a->ended_count; i++) {
		if (a->ended[i].number <= w->last_end ||
		    (first && a->ended[i].number >= first->number))
			continue;
		t = end_find_deferring_task(s, w, &a->ended[i]);
		if (!t)
			continue;
		task_delay(t, s->now + DEFERRED_END_DELAY_MS);
		first = &a->ended[i];
		deferring = t;
	}
	if (!first)
		return UINT64_MAX;
	end_log_deferred(s, w, first, deferring);
	return first->number;
}

/*
 * Processes all new ends of a list, in any order.  The acknowledgement covers
 * all numbers up to the highest processed, so an end that was skipped would be
 * lost, and its task would start again although it is done.  For the same
 * reason no end after a deferred one is processed.
 */
static void ends_process(struct sched *s, struct worker *w,
			 const struct answer *a)
{
	uint64_t known = w->last_end,
		 first_deferred = ends_find_deferred(s, w, a);
	size_t i;

	w->ends_deferred = first_deferred != UINT64_MAX;
	for (i = 0; i < a->ended_count; i++) {
		if (a->ended[i].number <= known ||
		    a->ended[i].number >= first_deferred)
			continue;
		end_process(s, w, &a->ended[i]);
		worker_record_end(s, w, a->ended[i].number);
		s->place_due = true;
	}
}

/*
 * Stops a listed run that is not the current one of its task.  If the task is
 * done or has a run on another worker, it runs twice.
 */
static void running_stop_stray(struct sched *s, struct worker *w,
			       const struct running *r, const struct task *t)
{
	if (t)
		sched_log(s, LOG_RUN_SECOND,
			  "task=%.*s run=%llu worker=%.*s current_run=%llu "
			  "current_worker=%.*s phase=%d epoch=%llu settled=%d",
			  BSTR_ARG(r->task), (unsigned long long)r->run,
			  BSTR_ARG(w->id), (unsigned long long)t->run,
			  BSTR_ARG(t->worker ? t->worker->id : BSTR_NONE),
			  t->phase, (unsigned long long)s->own.epoch,
			  s->settled);
	run_stop(s, w, r->task, r->run);
}

/* Handles a run that a worker lists as running. */
static void running_process(struct sched *s, struct worker *w,
			    const struct running *r)
{
	struct job *j;
	struct task *t = task_find(s, r->task, &j);

	/*
	 * A run of an earlier owner, or one whose start had no answer.  The
	 * task is assigned to no other worker, so this becomes its current run.
	 */
	if (t && t->phase == PHASE_PENDING) {
		task_adopt(s, t, w, r->run);
		if (j->status > JOB_STATUS_RUNNING)
			task_stop(s, t);
	}
	if (!t || t->worker != w || t->run != r->run) {
		if (w->strays_due)
			running_stop_stray(s, w, r, t);
		return;
	}
	t->last_list = w->list_count;
	j->run_seen = true;
	if (t->phase == PHASE_STARTING)
		task_set_phase(t, PHASE_RUNNING);
	t->percent = r->percent;
	t->load_figure = r->load_figure;
	t->started_at_worker = CLOCK_NONE; /* seen in a list */
	if (r->checkpoint.bstr_len && !bstr_eq(t->checkpoint, r->checkpoint))
		bstr_set(&t->checkpoint, r->checkpoint);
}

/*
 * Returns true if all ends of a worker up to its latest list were processed.
 */
bool worker_ends_are_known(const struct worker *w)
{
	return !w->ends_truncated && !w->ends_deferred;
}

/*
 * Delays the tasks whose runs on a worker were given up, until all of its ends
 * are processed.  A worker that was silent only because its answers waited in
 * the inbox lists ends of these runs.  If such an end waits behind a deferred
 * one, or has no room in the list, its task would be started again although it
 * is done.  The worker lists the rest sooner than the delay ends.
 */
static void lost_runs_process(struct sched *s, struct worker *w)
{
	struct occurrence *o;
	struct job *j;
	struct task *t;
	unsigned i;

	if (!w->lost_runs)
		return;
	w->lost_runs = !worker_ends_are_known(w);
	if (!w->lost_runs)
		return;
	TAILQ_FOREACH(j, &s->jobs_by_arrival, entry) {
		TAILQ_FOREACH(o, &j->occs, entry) {
			for (i = 0; i < o->task_count; i++) {
				t = &o->tasks[i];
				if (t->lost_worker != w->serial ||
				    t->phase != PHASE_PENDING)
					continue;
				j->pending_reason = PENDING_ENDS;
				task_delay(t, s->now + DEFERRED_END_DELAY_MS);
			}
		}
	}
}

/*
 * Releases tasks that are missing from a list.  If the list has no room for all
 * ends it proves nothing: a task that is done, but whose end is not listed yet,
 * would run a second time.  The list may also be older than a start that
 * another exchange reported, and an unanswered start may be carried out until
 * its deadline; both are decided by the worker's clock.
 */
static void missing_process(struct sched *s, struct worker *w,
			    const struct answer *a)
{
	struct task *t, *next;

	if (!worker_ends_are_known(w))
		return;
	for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
		next = TAILQ_NEXT(t, worker_entry);
		if (t->start_in_flight || t->last_list == w->list_count)
			continue;
		if (t->phase == PHASE_STARTING && a->clock <= t->start_by)
			continue;
		if (t->phase == PHASE_RUNNING &&
		    t->started_at_worker != CLOCK_NONE &&
		    a->clock <= t->started_at_worker)
			continue;
		sched_log(s, LOG_TASK_MISSING,
			  "task=%s.%u.%u.%u run=%llu worker=%.*s phase=%d",
			  t->occ->job->id, t->occ->number, t->step, t->index,
			  (unsigned long long)t->run, BSTR_ARG(w->id),
			  t->phase);
		task_unplace(s, t);
		/* It may be delayed for longer by a deferred end of it. */
		if (t->not_before < s->now + TASK_RETRY_DELAY_MS)
			task_delay(t, s->now + TASK_RETRY_DELAY_MS);
		s->place_due = true;
	}
}

/* Processes the lists of running and ended runs in a worker's answer. */
void list_process(struct sched *s, struct worker *w, const struct answer *a)
{
	size_t i;

	ends_process(s, w, a);
	for (i = 0; i < a->running_count; i++)
		running_process(s, w, &a->running[i]);
	missing_process(s, w, a);
	lost_runs_process(s, w);
}
