/*
 * When jobs are due: how long their chains of steps are expected to take, and
 * until when their objective can still be met.
 */
#include "sched-state.h"

/* What is learnt of a queue's tasks changes little in so long. */
#define RECKON_MS 500

/*
 * Reckon the longest chains of expected times from each step to the end of its
 * job, unless that was done lately.  Steps come after those they wait for.
 */
void job_estimate_update(struct sched *s, struct job *j)
{
	const struct job_body *b = j->body;
	struct job_estimate *r = &j->estimate;
	int64_t rest[STEPS_MAX] = {0};
	size_t i, k;

	if (s->now < r->valid_until)
		return;
	r->valid_until = s->now + RECKON_MS;
	if (!r->remaining_ms) {
		r->remaining_ms = xcalloc(b->step_count,
					  sizeof(*r->remaining_ms));
		r->step_ms = xcalloc(b->step_count, sizeof(*r->step_ms));
	}
	r->longest_ms = 0;
	for (i = b->step_count; i-- > 0;) {
		r->step_ms[i] = step_expected_ms(s, j, (unsigned)i);
		r->remaining_ms[i] = rest[i] + r->step_ms[i];
		if (r->remaining_ms[i] > r->longest_ms)
			r->longest_ms = r->remaining_ms[i];
		for (k = 0; k < b->steps[i].prerequisite_count; k++)
			if (rest[b->steps[i].prerequisites[k]] <
			    r->remaining_ms[i])
				rest[b->steps[i].prerequisites[k]] =
					r->remaining_ms[i];
	}
}

/* When an occurrence came, by this VM's clock. */
static int64_t occurrence_came_at(const struct sched *s,
				  const struct occurrence *o)
{
	const struct job_body *b = o->job->body;

	if (!b->repeat_count)
		return o->job->arrived;
	return s->now - (s->wall - b->first_at - o->number * b->interval_ms);
}

/* How long a job may take, from its time on, by its longest chain. */
static int64_t objective_ms(const struct sched *s, struct job *j,
			    int64_t longest)
{
	const struct route *r = job_route(s, j);

	return (int64_t)((r ? r->stretch : 1) * (double)longest) +
	       (r ? r->objective_ms : 0);
}

/* The same of a job that has been reckoned. */
int64_t job_objective_ms(const struct sched *s, struct job *j)
{
	return objective_ms(s, j, j->estimate.longest_ms);
}

/* When the objective of an occurrence ends, by its longest chain. */
int64_t occurrence_due_at(const struct sched *s, const struct occurrence *o,
			  int64_t longest)
{
	return occurrence_came_at(s, o) + objective_ms(s, o->job, longest);
}
