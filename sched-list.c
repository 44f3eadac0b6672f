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
 * A task whose run on a worker was given up is not started again for this time,
 * if the worker has more ends than it lists.  It lists the rest sooner.
 */
#define UNLISTED_END_DELAY_MS 1500
/* Word for a run that a list shows as running. */
#define RUN_LISTED "running"

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

/*
 * Counts the time that a failed run took.  The clock of a worker whose process
 * has restarted may be behind the one at which the run began.
 */
static void failed_run_count(struct task *t, int64_t clock)
{
	if (t->run_clock && clock > t->run_clock)
		t->failed_ms += clock - t->run_clock;
}

/* Handles the end of a task's current run. */
static void end_apply(struct sched *s, struct worker *w, struct task *t,
		      const struct answer *a, const struct ended *n)
{
	if (n->checkpoint.bstr_len && !bstr_eq(n->checkpoint, t->checkpoint)) {
		bstr_set(&t->checkpoint, n->checkpoint);
		if (n->kind != END_DONE)
			job_mark_dirty(s, t->occ->job);
	}
	if (n->kind == END_DONE)
		learn_run_time(s, t, a->clock);
	if (n->kind == END_FAILED && s->now >= w->suspect_until)
		failed_run_count(t, a->clock);
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
 * Logs that a worker lists a run that was given up with it, once for each list.
 * Then the worker went on although it counted as ended, and the task may have a
 * second run at the same time.  The number of a run names its worker.  A run
 * that has become the current one again is not logged any more.  An end tells
 * nothing if the worker was only silent: the run may have ended before its
 * lease did.
 */
static void survivor_log(struct sched *s, struct worker *w,
			 const struct answer *a, const struct task *t,
			 uint64_t run, const char *how)
{
	bstr name;

	if (!t || !t->lost_run || t->lost_run != run ||
	    (t->worker == w && t->run == run) ||
	    w->survivor_list == w->list_count ||
	    (strcmp(how, RUN_LISTED) != 0 && t->lost_why == LOSS_SILENT))
		return;
	w->survivor_list = w->list_count;
	name = task_name(t);
	sched_log(s, LOG_RUN_SURVIVED,
		  "task=%.*s run=%llu worker=%.*s how=%s why=%s lost_ms=%lld "
		  "asked_ms=%lld",
		  BSTR_ARG(name), (unsigned long long)run, BSTR_ARG(w->id), how,
		  loss_reason_word(t->lost_why),
		  (long long)(s->now - t->lost_at),
		  (long long)(s->now - a->sent_at));
	bstr_free(&name);
}

/* Handles an end that a worker lists. */
static void end_process(struct sched *s, struct worker *w,
			const struct answer *a, const struct ended *n)
{
	static const char *const words[] = {"done",   "failed", "stopped",
					    "lapsed", "broken", "alone"};
	struct job *j;
	struct task *t = task_find(s, n->task, &j);

	if (n->kind != END_DONE || s->settled == false)
		sched_log(
			s, LOG_TASK_ENDED,
			"task=%.*s run=%llu worker=%.*s how=%s known=%d "
			"granted_ms=%lld owned_ms=%lld",
			BSTR_ARG(n->task), (unsigned long long)n->run,
			BSTR_ARG(w->id), words[n->kind], t != NULL,
			(long long)(w->lease_end ? w->lease_end - a->clock : 0),
			(long long)(s->now - s->own.owned_at));
	survivor_log(s, w, a, t, n->run, words[n->kind]);
	if (!t || t->phase == PHASE_DONE)
		return;
	j->run_seen = true;
	if (t->worker == w && t->run == n->run) {
		end_apply(s, w, t, a, n);
	} else if (n->kind == END_DONE) {
		/*
		 * A run of an earlier owner, or one given up as lost, has
		 * completed after all.  The current run is superfluous.
		 */
		ack_hold_if_start_open(s, w, t, n);
		if (t->worker)
			task_stop(s, t);
		if (t->worker)
			task_unplace(s, t);
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
 * Processes all new ends of a list, in any order.  The acknowledgement covers
 * all numbers up to the highest processed, so an end that was skipped would be
 * lost, and its task would start again although it is done.
 */
static void ends_process(struct sched *s, struct worker *w,
			 const struct answer *a)
{
	uint64_t known = w->last_end;
	size_t i;

	for (i = 0; i < a->ended_count; i++) {
		if (a->ended[i].number <= known)
			continue;
		s->load.new_ends++;
		end_process(s, w, a, &a->ended[i]);
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
			    const struct answer *a, const struct running *r)
{
	struct job *j;
	struct task *t = task_find(s, r->task, &j);

	survivor_log(s, w, a, t, r->run, RUN_LISTED);
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
	if (!t->run_clock) {
		t->run_clock = a->clock;
		t->run_is_part = true;
	}
	t->percent = r->percent;
	t->load_figure = r->load_figure;
	if (t->started_at_worker != CLOCK_NONE)
		s->load.new_runs++;
	t->started_at_worker = CLOCK_NONE; /* seen in a list */
	if (r->checkpoint.bstr_len && !bstr_eq(t->checkpoint, r->checkpoint))
		bstr_set(&t->checkpoint, r->checkpoint);
}

/*
 * Delays the tasks whose runs on a worker were given up, until it has listed
 * all of its ends.  A worker that was silent only because its answers waited in
 * the inbox lists ends of these runs.  If such an end has no room in the list,
 * its task would be started again although it is done.
 */
static void lost_runs_process(struct sched *s, struct worker *w)
{
	struct occurrence *o;
	struct job *j;
	struct task *t;
	unsigned i;

	if (!w->lost_runs)
		return;
	w->lost_runs = w->ends_truncated;
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
				task_delay(t, s->now + UNLISTED_END_DELAY_MS);
			}
		}
	}
}

/*
 * Releases tasks that are missing from a list.  If the list has no room for all
 * ends it proves nothing: a task that is done, but whose end is not listed yet,
 * would run a second time.  The list may also be older than a start that
 * another exchange reported, and an unanswered start may be carried out until
 * its deadline; both are decided by the worker's clock.  Whether the start's
 * request has ended does not matter: a task would count as starting for ever if
 * the client never told.
 */
static void missing_process(struct sched *s, struct worker *w,
			    const struct answer *a)
{
	struct task *t, *next;

	if (w->ends_truncated)
		return;
	for (t = TAILQ_FIRST(&w->tasks); t; t = next) {
		next = TAILQ_NEXT(t, worker_entry);
		if (t->last_list == w->list_count)
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
		task_delay(t, s->now + TASK_RETRY_DELAY_MS);
		s->place_due = true;
	}
}

/* Processes the lists of running and ended runs in a worker's answer. */
void list_process(struct sched *s, struct worker *w, const struct answer *a)
{
	size_t i;

	ends_process(s, w, a);
	ack_check_refused(s, w, a);
	for (i = 0; i < a->running_count; i++)
		running_process(s, w, a, &a->running[i]);
	missing_process(s, w, a);
	lost_runs_process(s, w);
}
