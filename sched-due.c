/*
 * Deadlines of jobs: the expected duration of their chains of steps, and the
 * time until which their objective can be met.
 */
#include "sched-state.h"

#include <math.h>

/* The learnt run times of a route change little within this time. */
#define ESTIMATE_VALID_MS 500

/* Adds the run of an unfinished task to what is known of its step. */
static void step_runs_add(struct step_runs *r, const struct task *t)
{
	int64_t age_ms = 0;

	if (t->worker && t->run_clock)
		age_ms = t->worker->clock - t->run_clock;
	if (age_ms < 1) {
		r->pending++;
		if (t->failed_ms > r->failed_ms)
			r->failed_ms = t->failed_ms;
		return;
	}
	r->running++;
	r->age_log_sum += log((double)age_ms);
	if (age_ms + t->failed_ms > r->oldest_ms)
		r->oldest_ms = age_ms + t->failed_ms;
}

/*
 * Returns what is known of the tasks of a step now.  The age of a run is that
 * which its worker has last reported; while workers are silent, jobs must not
 * seem to become longer.  Most steps have no placed task; their tasks are not
 * gone through.
 */
static struct step_runs step_runs_now(const struct occurrence *o,
				      unsigned step_index)
{
	const struct task *t = &o->tasks[o->first_task[step_index]];
	unsigned unfinished = o->unfinished_in_step[step_index];
	unsigned k, count = o->job->body->steps[step_index].count;
	struct step_runs r = o->runs[step_index];

	r.unobserved = count - unfinished - r.ended;
	if (!unfinished)
		return r;
	if (o->pending_tasks[step_index].count == count) {
		r.pending = count;
		return r;
	}
	for (k = 0; k < count; k++, t++)
		if (t->phase != PHASE_DONE)
			step_runs_add(&r, t);
	return r;
}

/*
 * Returns in how many waves a step runs, if its organisation may not run all of
 * its tasks at once.  They count in the objective, but not in what is left of
 * the step; a pool too small for all tasks makes no waves.
 */
static unsigned step_waves(const struct sched *s, struct job *j,
			   unsigned step_index)
{
	const struct tenant *tenant = job_tenant(s, j);
	const struct job_step *st = &j->body->steps[step_index];
	int64_t most = tenant ? tenant->maximum.cpu : 0, at_once;

	if (!most || !st->need.cpu)
		return 1;
	at_once = most / st->need.cpu;
	if (at_once < 1)
		at_once = 1;
	return (unsigned)((st->count + at_once - 1) / at_once);
}

/* Longest chains that follow a step, to the end of its job. */
struct chain {
	int64_t whole_ms;   /* run times from start to end */
	int64_t rest_ms;    /* what is left of them */
	int64_t typical_ms; /* if all tasks of a step took as long as most */
};

/*
 * Estimates a step and the chain from its start to the end of the job, given
 * the chain that follows it.  The occurrence is NULL if none of the job's tasks
 * has run.
 */
static struct chain step_estimate(struct sched *s, struct job *j,
				  const struct occurrence *o,
				  unsigned step_index, struct chain chain)
{
	struct run_times e = step_run_times(s, j, step_index);
	struct step_runs r = {.pending = j->body->steps[step_index].count};
	unsigned waves = step_waves(s, j, step_index);
	double task_ms;
	int64_t longest_ms;

	if (o)
		r = step_runs_now(o, step_index);
	e = run_times_observed(&e, &r);
	task_ms = exp(e.level);
	longest_ms = step_longest_ms(&e, &r);
	j->estimate.step_ms[step_index] = (int64_t)task_ms;
	chain.whole_ms += step_waves_ms(longest_ms, task_ms, waves);
	chain.typical_ms += (int64_t)task_ms;
	if (r.pending == j->body->steps[step_index].count)
		chain.rest_ms += longest_ms - r.failed_ms;
	else if (r.pending + r.running)
		chain.rest_ms += step_rest_ms(&e, &r);
	return chain;
}

/*
 * Computes the estimates of a job's steps and of its longest chain.  The loop
 * goes backwards, as steps come after their prerequisites.
 */
static void estimate_compute(struct sched *s, struct job *j,
			     const struct occurrence *o)
{
	const struct job_body *b = j->body;
	struct job_estimate *e = &j->estimate;
	struct chain following[STEPS_MAX] = {{0}}, chain, *f;
	size_t i, k;

	if (!e->remaining_ms) {
		e->remaining_ms = xcalloc(b->step_count,
					  sizeof(*e->remaining_ms));
		e->step_ms = xcalloc(b->step_count, sizeof(*e->step_ms));
	}
	e->longest_ms = e->typical_ms = 0;
	for (i = b->step_count; i-- > 0;) {
		chain = step_estimate(s, j, o, (unsigned)i, following[i]);
		e->remaining_ms[i] = chain.rest_ms;
		if (chain.whole_ms > e->longest_ms)
			e->longest_ms = chain.whole_ms;
		if (chain.typical_ms > e->typical_ms)
			e->typical_ms = chain.typical_ms;
		for (k = 0; k < b->steps[i].prerequisite_count; k++) {
			f = &following[b->steps[i].prerequisites[k]];
			if (f->whole_ms < chain.whole_ms)
				f->whole_ms = chain.whole_ms;
			if (f->rest_ms < chain.rest_ms)
				f->rest_ms = chain.rest_ms;
			if (f->typical_ms < chain.typical_ms)
				f->typical_ms = chain.typical_ms;
		}
	}
	if (!e->first_longest_ms)
		e->first_longest_ms = e->longest_ms;
}

/*
 * Updates the estimates of a job, unless the last ones are still valid.  What
 * was observed of one occurrence of a repeated job tells nothing about others.
 */
void job_estimate_update(struct sched *s, struct job *j)
{
	if (s->now < j->estimate.valid_until)
		return;
	j->estimate.valid_until = s->now + ESTIMATE_VALID_MS;
	estimate_compute(s, j,
			 j->body->repeat_count ? NULL : TAILQ_FIRST(&j->occs));
}

/*
 * Sets the time by which a job had to end, from the observed run times of an
 * occurrence that has just ended.  They are no estimate of the occurrences that
 * follow, so the job's is computed anew when it is next needed.
 */
void occurrence_judge(struct sched *s, const struct occurrence *o)
{
	struct job *j = o->job;

	estimate_compute(s, j, o);
	j->estimate.valid_until = 0;
	j->due = occurrence_due_at(s, o, j->estimate.longest_ms);
}

/*
 * Returns the time at which an occurrence was submitted or due, on this VM's
 * clock.
 */
static int64_t occurrence_begins_at(const struct sched *s,
				    const struct occurrence *o)
{
	const struct job_body *b = o->job->body;

	if (!b->repeat_count)
		return o->job->submitted_at;
	return s->now - (s->wall - b->first_at - o->number * b->interval_ms);
}

/*
 * Returns the objective of a job, the time that it may take, given the duration
 * of its longest chain.
 */
static int64_t objective_ms(const struct sched *s, struct job *j,
			    int64_t longest)
{
	const struct route *r = job_terms(s, j);

	return (int64_t)((r ? r->stretch : 1) * (double)longest) +
	       (r ? r->objective_ms : 0);
}

/*
 * Returns how long a job that has an estimate can wait for machines: less than
 * its objective allows, as each of its steps may have to wait, and what the
 * first one takes is missing at the others.  Uneven tasks give it no more time
 * for that.
 */
int64_t job_slack_ms(const struct sched *s, struct job *j)
{
	int64_t typical_ms = j->estimate.typical_ms;

	return objective_ms(s, j, typical_ms) - typical_ms;
}

/* Returns the objective of a job that has an estimate. */
int64_t job_objective_ms(const struct sched *s, struct job *j)
{
	return objective_ms(s, j, j->estimate.longest_ms);
}

/*
 * Returns the time by which an occurrence has to end, given the duration of its
 * longest chain.
 */
int64_t occurrence_due_at(const struct sched *s, const struct occurrence *o,
			  int64_t longest)
{
	return occurrence_begins_at(s, o) + objective_ms(s, o->job, longest);
}
