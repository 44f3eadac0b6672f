/*
 * When jobs are due: how long their chains of steps are expected to take, and
 * until when their objective can still be met.
 */
#include "sched-state.h"

/*
 * The longest chains of expected times from each step to the end of its job;
 * the longest of all is returned.  Steps come after those that they wait for.
 */
int64_t job_chains(struct sched *s, const struct job *j, int64_t *chain)
{
	const struct job_body *b = j->body;
	int64_t rest[STEPS_MAX] = {0}, longest = 0;
	size_t i, k;

	for (i = b->step_count; i-- > 0;) {
		chain[i] = rest[i] + step_expected_ms(s, j, (unsigned)i);
		if (chain[i] > longest)
			longest = chain[i];
		for (k = 0; k < b->steps[i].after_count; k++)
			if (rest[b->steps[i].after[k]] < chain[i])
				rest[b->steps[i].after[k]] = chain[i];
	}
	return longest;
}

/* When an occurrence came, by this VM's clock. */
static int64_t occurrence_came_at(const struct sched *s,
				  const struct occurrence *o)
{
	const struct job_body *b = o->job->body;

	if (!b->repeat_count)
		return o->job->arrived;
	return s->now - (s->wall - b->first_at - o->k * b->interval_ms);
}

/* When the objective of an occurrence ends, by its longest chain. */
int64_t occurrence_due_at(const struct sched *s, const struct occurrence *o,
			  int64_t longest)
{
	const struct route *r = route_named(s, o->job->route);

	return occurrence_came_at(s, o) +
	       (int64_t)((r ? r->stretch : 1) * (double)longest) +
	       (r ? r->objective_ms : 0);
}
