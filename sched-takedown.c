/*
 * Whether a worker may be taken down as far as the tasks on it are concerned:
 * of each long-running step at most max_unavailable tasks may be away at once.
 */
#include "sched-state.h"

/*
 * Returns true if a long-running task is in service.  If its worker has been
 * silent, it may have ended with the worker; if it counted, too few tasks of
 * its step could be left when another is taken down.
 */
static bool task_is_in_service(const struct sched *s, const struct task *t)
{
	return t->phase == PHASE_RUNNING && !t->stopping && t->percent == 100 &&
	       !t->worker->takedown_in_flight &&
	       s->now - t->worker->answered_at < WORKER_TIMEOUT_MS;
}

/*
 * Returns how many other tasks of a long-running task's step are not in
 * service.  Those on the same worker count only if same_worker is set.
 */
static unsigned task_others_unavailable(const struct sched *s,
					const struct task *t, bool same_worker)
{
	const struct job_step *st = task_step(t);
	const struct task *o = &t->occ->tasks[t->occ->first_task[t->step]];
	unsigned i, unavailable = 0;

	for (i = 0; i < st->count; i++, o++)
		if (o != t && (same_worker || o->worker != t->worker) &&
		    !task_is_in_service(s, o))
			unavailable++;
	return unavailable;
}

/*
 * Returns true if maintenance has to observe the max_unavailable of a task's
 * step.
 */
static bool task_is_protected(const struct task *t)
{
	const struct job_step *st = task_step(t);

	return st->long_running && st->max_unavailable &&
	       t->phase == PHASE_RUNNING && !t->stopping;
}

/*
 * Returns true if a task may be stopped together with the others of its step on
 * its worker.
 */
bool task_may_be_stopped(const struct sched *s, const struct task *t)
{
	return !task_is_protected(t) ||
	       task_others_unavailable(s, t, false) +
			       step_tasks_on_worker(t->worker, t->occ,
						    t->step) <=
		       task_step(t)->max_unavailable;
}

/*
 * Returns true if a worker may be taken down now as far as its long-running
 * tasks are concerned.
 */
bool wave_may_take_worker(struct sched *s, const struct worker *w)
{
	const struct task *t;

	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		if (!task_may_be_stopped(s, t))
			return false;
	return true;
}

/*
 * Stops one task of a step that has more tasks on a worker than may be
 * unavailable at once.  Otherwise the worker could never be taken down.
 */
void worker_stop_excess_task(struct sched *s, struct worker *w)
{
	struct task *t;
	unsigned count;

	TAILQ_FOREACH(t, &w->tasks, worker_entry) {
		if (!task_is_protected(t) || t->stopping)
			continue;
		count = step_tasks_on_worker(w, t->occ, t->step);
		if (count <= task_step(t)->max_unavailable)
			continue;
		if (task_others_unavailable(s, t, true) <
		    task_step(t)->max_unavailable) {
			task_stop(s, t);
			return;
		}
	}
}

/* Returns the number of tasks on a worker that end by themselves. */
unsigned worker_short_tasks(const struct worker *w)
{
	const struct task *t;
	unsigned n = 0;

	TAILQ_FOREACH(t, &w->tasks, worker_entry)
		if (!task_step(t)->long_running)
			n++;
	return n;
}
