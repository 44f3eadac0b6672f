/*
 * Deadlines of jobs: the expected duration of their chains of steps, and the
 * time until which their objective can be met.
 */
#include "sched-state.h"

/* The learnt run times of a route change little within this time. */
#define ESTIMATE_VALID_MS 500

/*
 * Computes the expected duration of the longest chain from each step to the end
 * of its job, unless the last estimate is still valid.  The loop goes
 * backwards, as steps come after their prerequisites.
 */
void job_estimate_update(struct sched *s, struct job *j)
{
	const struct job_body *b = j->body;
	struct job_estimate *e = &j->estimate;
	int64_t following_ms[STEPS_MAX] = {0};
	size_t i, k;

	if (s->now < e->valid_until)
		return;
	e->valid_until = s->now + ESTIMATE_VALID_MS;
	if (!e->remaining_ms) {
		e->remaining_ms = xcalloc(b->step_count,
					  sizeof(*e->remaining_ms));
		e->step_ms = xcalloc(b->step_count, sizeof(*e->step_ms));
	}
	e->longest_ms = 0;
	for (i = b->step_count; i-- > 0;) {
		e->step_ms[i] = step_expected_ms(s, j, (unsigned)i);
		e->remaining_ms[i] = following_ms[i] + e->step_ms[i];
		if (e->remaining_ms[i] > e->longest_ms)
			e->longest_ms = e->remaining_ms[i];
		for (k = 0; k < b->steps[i].prerequisite_count; k++)
			if (following_ms[b->steps[i].prerequisites[k]] <
			    e->remaining_ms[i])
				following_ms[b->steps[i].prerequisites[k]] =
					e->remaining_ms[i];
	}
}

/*
 * Returns the time at which an occurrence arrived or was due, on this VM's
 * clock.
 */
static int64_t occurrence_arrived_at(const struct sched *s,
				     const struct occurrence *o)
{
	const struct job_body *b = o->job->body;

	if (!b->repeat_count)
		return o->job->arrived;
	return s->now - (s->wall - b->first_at - o->number * b->interval_ms);
}

/*
 * Returns the objective of a job, the time that it may take, given the duration
 * of its longest chain.
 */
static int64_t objective_ms(const struct sched *s, struct job *j,
			    int64_t longest)
{
	const struct route *r = job_route(s, j);

	return (int64_t)((r ? r->stretch : 1) * (double)longest) +
	       (r ? r->objective_ms : 0);
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
	return occurrence_arrived_at(s, o) + objective_ms(s, o->job, longest);
}
