/*
 * Tasks that crash their workers.  The crashes of workers under a task are
 * counted, durably, before its next start.  A task with one crash keeps apart
 * from others with a crash; one with several runs alone on a worker, so that
 * the next crash tells whether it is the cause.  Then it is given up.
 */
#include "sched-state.h"

#include <string.h>

/* A task with this many crashes runs alone on its worker. */
#define CRASHES_ISOLATED 2
/*
 * A job fails if a worker has crashed while only one task of it ran there and
 * at least this many have crashed under that task in all.
 */
#define CRASHES_PROVEN 3
/*
 * A job also fails after this many crashes under one task if the last run was
 * confirmed, or alone: a task that crashes its worker before that has answered
 * its start is never confirmed, and in a full pool no run may be alone.
 */
#define CRASHES_MAX 4
/*
 * A task waits for an empty worker at most this long, so that a pool whose
 * workers all have long-running tasks still runs it.  A task that could run may
 * be pending for 3 s.
 */
#define ISOLATION_WAIT_MS 2000
/*
 * How long one worker of a pool gets no new tasks after an isolated task last
 * needed it.  Longer than the interval between placement passes.
 */
#define ISOLATION_RESERVE_MS 500
/*
 * A long-running task that has run for this long did not crash its worker, and
 * its crashes are not counted any more.  Otherwise those of months would add
 * up.
 */
#define OUTLIVED_MS 10000
/*
 * A silent worker has crashed if another process answers at its address.  It is
 * polled for that for EVIDENCE_POLL_MS after it was given up, also if its row
 * is removed.  Tasks that have a crash already wait for it, at most for
 * EVIDENCE_WAIT_MS.
 */
#define EVIDENCE_POLL_MS 12000
#define EVIDENCE_WAIT_MS 4000

/* Terms of a worker's score, above all others. */
#define SCORE_ISOLATED 1e11 /* nothing else runs there */
#define SCORE_APART 1e10    /* no task with a crash runs there */

/* Returns true if a task must run alone on its worker. */
static bool task_is_isolated(const struct task *t)
{
	return t->crash_count >= CRASHES_ISOLATED;
}

/* Returns true if nothing uses a worker, nor is being placed on it. */
static bool worker_is_empty(const struct worker *w)
{
	return TAILQ_EMPTY(&w->tasks) && !w->used.cpu && !w->used.memory &&
	       !w->used.gpus;
}

/*
 * Returns true if a task has waited long enough for an empty worker.  A task
 * that earlier owners did not start again has waited since its latest crash was
 * counted: if each owner began the wait anew, owners that follow each other
 * quickly would never start it.
 */
static bool isolation_wait_is_over(const struct sched *s, const struct task *t)
{
	int64_t since = task_ready_at(t);
	int64_t counted_at = local_time_latest(s, t->crashed_at);

	if (t->crash_wait_inherited && counted_at && counted_at < since)
		since = counted_at;
	return s->now - since >= ISOLATION_WAIT_MS;
}

/* Returns true if the crash counts of a worker's tasks allow a task there. */
bool crash_allows(const struct sched *s, const struct worker *w,
		  const struct task *t)
{
	if (w->isolated_task && w->isolated_task != t)
		return false;
	if (!task_is_isolated(t))
		return s->now >= w->reserved_until;
	if (worker_is_empty(w))
		return true;
	return isolation_wait_is_over(s, t) && !w->crash_tasks;
}

/* Returns the term of a worker's score for the crashes under a task. */
double crash_score(const struct worker *w, const struct task *t)
{
	if (!t->crash_count)
		return 0;
	if (task_is_isolated(t) && worker_is_empty(w))
		return SCORE_ISOLATED;
	return w->crash_tasks ? 0 : SCORE_APART;
}

/* Returns true if a worker has no room for tasks without crashes. */
bool crash_closes_worker(const struct sched *s, const struct worker *w)
{
	return w->isolated_task || s->now < w->reserved_until;
}

/* Returns how much of a worker long-running tasks use, and then all tasks. */
static int64_t worker_emptying_cost(const struct worker *w)
{
	const struct task *t;
	int64_t n = 0;

	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		n += task_step(t)->long_running ? 1000 : 1;
	return n;
}

/*
 * Keeps new tasks from one worker of a pool, until it is empty and takes a task
 * that must run alone.  The worker is the one that is likely to be empty first.
 * There is at most one per pool, so that suspects don't stop the others.
 */
void crash_reserve_worker(struct sched *s, struct pool *p, const struct task *t)
{
	struct worker *w, *best = NULL;
	size_t i;

	if (!task_is_isolated(t))
		return;
	for (i = 0; i < p->count; i++) {
		w = p->workers[i];
		if (w->isolated_task ||
		    !resources_fit(step_need(task_step(t)), w->row.capacity))
			continue;
		if (s->now < w->reserved_until) {
			best = w;
			break;
		}
		if (!best ||
		    worker_emptying_cost(w) < worker_emptying_cost(best))
			best = w;
	}
	if (best)
		best->reserved_until = s->now + ISOLATION_RESERVE_MS;
}

/* Keeps a worker for a gang's task while the others are chosen for. */
void crash_gang_reserve(struct task *t, struct worker *w)
{
	if (task_is_isolated(t) && worker_is_empty(w))
		w->isolated_task = t;
}

/* Notes on a worker that a task with crashes was placed there. */
void crash_task_placed(struct task *t)
{
	struct worker *w = t->worker;

	if (!t->crash_count)
		return;
	t->crash_counted = true;
	w->crash_tasks++;
	if (!task_is_isolated(t) || TAILQ_FIRST(&w->tasks) != t ||
	    TAILQ_NEXT(t, worker_entry))
		return;
	w->isolated_task = t;
	w->reserved_until = 0;
}

/* Notes on a worker that a task with crashes has left it. */
void crash_task_unplaced(struct task *t, struct worker *w)
{
	if (w->isolated_task == t)
		w->isolated_task = NULL;
	if (t->crash_counted)
		w->crash_tasks--;
	t->crash_counted = false;
}

/* Sets a task's crash count; its worker counts the task if it is placed. */
static void crash_count_set(struct sched *s, struct task *t, unsigned count)
{
	struct job *j = t->occ->job;
	struct worker *w = t->worker;

	if (w)
		crash_task_unplaced(t, w);
	t->crash_count = count;
	t->crashed_at = store_clock(s);
	if (w)
		crash_task_placed(t);
	job_mark_dirty(s, j);
	t->crash_seq = j->dirty_seq ? j->dirty_seq : j->recommit_seq;
	j->has_crashes = j->has_crashes || count;
}

/*
 * Counts a crash for a task that is known to have one, if its next run is lost
 * without evidence: it was most likely started, and has crashed its worker
 * unseen.  This only makes it run alone; it is no proof.
 */
static void crash_assume_unseen(struct sched *s, struct task *t)
{
	t->crash_inherited = false;
	if (t->crash_count >= CRASHES_ISOLATED)
		return;
	/* No run has this number; those of this epoch are higher. */
	t->crashed_runs[t->crash_count] = own_run_base(s);
	crash_count_set(s, t, t->crash_count + 1);
}

/*
 * Returns true if the start of a task has to wait: its crash count is not
 * durable, so that a successor would begin anew, or its last worker may have
 * crashed, which is not known yet.
 */
bool crash_delays_start(struct sched *s, struct task *t)
{
	if (t->crash_inherited)
		crash_assume_unseen(s, t);
	return s->now < t->evidence_until ||
	       (t->crash_count && commit_durable(s) < t->crash_seq);
}

/* Returns true if a crash under this run of a task has been counted. */
static bool crash_is_counted(const struct task *t, uint64_t run)
{
	unsigned i;

	for (i = 0; i < t->crash_count; i++)
		if (t->crashed_runs[i] == run)
			return true;
	return false;
}

/* Returns true if the crashes under a task show that it is the cause. */
static bool crash_is_proven(const struct task *t, const struct loss *loss)
{
	if (t->crash_count >= CRASHES_MAX)
		return loss->confirmed || loss->alone;
	return t->crash_count >= CRASHES_PROVEN && loss->confirmed &&
	       loss->alone;
}

/*
 * Counts the crash of a worker under a run, and gives up the job if the task is
 * the cause.
 */
static void crash_count_run(struct sched *s, struct task *t,
			    const struct loss *loss, const struct worker *w)
{
	struct job *j = t->occ->job;
	unsigned n = t->crash_count;

	if (t->phase == PHASE_DONE || j->status > JOB_STATUS_RUNNING ||
	    crash_is_counted(t, loss->run) || n == CRASHED_RUNS_MAX)
		return;
	t->crashed_runs[n++] = loss->run;
	crash_count_set(s, t, n);
	sched_log(s, LOG_TASK_CRASHED,
		  "task=%s.%u.%u.%u run=%llu worker=%.*s crashes=%u alone=%d "
		  "confirmed=%d",
		  j->id, t->occ->number, t->step, t->index,
		  (unsigned long long)loss->run, BSTR_ARG(w->id), n,
		  loss->alone, loss->confirmed);
	if (!crash_is_proven(t, loss))
		return;
	sched_log(s, LOG_TASK_GIVEN_UP,
		  "task=%s.%u.%u.%u run=%llu worker=%.*s crashes=%u alone=%d",
		  j->id, t->occ->number, t->step, t->index,
		  (unsigned long long)loss->run, BSTR_ARG(w->id), n,
		  loss->alone);
	job_finish(s, j, JOB_STATUS_FAILED);
}

/*
 * Adds a loss to those of a task; the oldest one makes room.  Returns true if
 * another one is not explained yet.
 */
static bool loss_add(struct task *t, const struct loss *loss)
{
	unsigned i;

	for (i = 0; i < LOSSES_MAX && t->losses[i].worker; i++)
		;
	if (i == LOSSES_MAX) {
		memmove(&t->losses[0], &t->losses[1],
			(LOSSES_MAX - 1) * sizeof(*t->losses));
		i--;
	}
	t->losses[i] = *loss;
	return i > 0;
}

/*
 * Notes that a worker was taken by plan, before its tasks are taken from it.
 * If it was silent by then, it may have crashed, and nothing can show that any
 * more: without a count its tasks would crash one worker after another while a
 * wave runs.
 */
void crash_worker_taken(struct sched *s, struct worker *w)
{
	struct task *t;

	if (!worker_is_overdue(s, w))
		return;
	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		if (t->crash_count)
			crash_assume_unseen(s, t);
}

/*
 * Notes the tasks of a worker that is lost, before they are taken from it.
 * Whether the worker has crashed may not be known yet.  Tasks of a worker that
 * leaves by plan are not noted; after maintenance it has another id.
 */
void crash_worker_lost(struct sched *s, struct worker *w, bool same_id)
{
	struct loss loss = {.worker = w->serial};
	struct task *t;

	if (w->row.draining)
		return;
	if (!same_id && wave_takes_worker(s, w)) {
		crash_worker_taken(s, w);
		return;
	}
	loss.alone = TAILQ_FIRST(&w->tasks) ==
			     TAILQ_LAST(&w->tasks, worker_task_list) &&
		     s->now >= w->late_starts_until;
	TAILQ_FOREACH(t, &w->tasks, worker_entry) {
		loss.run = t->run;
		loss.confirmed = t->phase == PHASE_RUNNING;
		if (loss_add(t, &loss) || t->crash_count)
			t->evidence_until = s->now + EVIDENCE_WAIT_MS;
		w->evidence_until = s->now + EVIDENCE_POLL_MS;
	}
}

/* Returns true if a lost worker may still show whether it has crashed. */
bool crash_needs_evidence(const struct sched *s, const struct worker *w)
{
	return s->now < w->evidence_until;
}

/* Handles evidence of whether a lost worker has crashed, for one task. */
static void crash_settle_task(struct sched *s, const struct worker *w,
			      struct task *t, bool crashed)
{
	struct loss loss;
	unsigned i;

	for (i = 0; i < LOSSES_MAX; i++) {
		loss = t->losses[i];
		if (loss.worker != w->serial)
			continue;
		memmove(&t->losses[i], &t->losses[i + 1],
			(LOSSES_MAX - 1 - i) * sizeof(*t->losses));
		t->losses[LOSSES_MAX - 1] = (struct loss){0};
		i--;
		if (!t->losses[0].worker)
			t->evidence_until = 0;
		if (crashed)
			crash_count_run(s, t, &loss, w);
	}
}

/*
 * Handles evidence of whether a lost worker has crashed, for the tasks that
 * were on it.
 */
void crash_settle(struct sched *s, struct worker *w, bool crashed)
{
	struct occurrence *o;
	struct job *j;
	unsigned i;

	if (!w->evidence_until)
		return;
	w->evidence_until = 0;
	s->place_due = true;
	TAILQ_FOREACH(j, &s->jobs_by_arrival, entry)
		TAILQ_FOREACH(o, &j->occs, entry)
			for (i = 0; i < o->task_count; i++)
				crash_settle_task(s, w, &o->tasks[i], crashed);
}

/*
 * Forgets the crashes under a long-running task that has run for long enough to
 * be innocent.
 */
void crash_check_outlived(struct sched *s, struct task *t)
{
	if (!t->crash_count || t->phase != PHASE_RUNNING ||
	    !task_step(t)->long_running || s->now - t->started_at < OUTLIVED_MS)
		return;
	crash_count_set(s, t, 0);
	t->crash_seq = 0;
	s->place_due = true;
}
