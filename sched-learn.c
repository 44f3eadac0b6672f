/*
 * Learns the run times of tasks.  Run times declared in jobs are off by a
 * factor of two or three either way, so the observed run times of a route's
 * tasks weigh more.
 */
#include "sched-state.h"

#include <math.h>
#include <stdlib.h>

/*
 * Weight of the declared run time in a weighted geometric mean with the learnt
 * one.  If run times spread by 0.5 and declarations are off by 0.9 (standard
 * deviations of logarithms), the best weight is 0.25 / (0.25 + 0.81).
 */
#define DECLARED_WEIGHT 0.24
/*
 * Limits the weight of older runs, so that the mean follows a change within a
 * few hundred runs.
 */
#define WEIGHT_MAX 300

/* Returns the learnt run time of a route; creates it if needed. */
static struct learnt_time *learnt_time_of(struct sched *s, bstr route)
{
	struct learnt_time *l;

	HASH_FIND_BSTR(s->learnt_times, route, l);
	if (l)
		return l;
	l = xcalloc(1, sizeof(*l));
	l->route = bstr_copy(route);
	HASH_ADD_BSTR(s->learnt_times, route, l);
	return l;
}

/* Learns from a run that has just completed its task. */
void learn_run_time(struct sched *s, const struct task *t)
{
	struct learnt_time *l = learnt_time_of(s, t->occ->job->route);
	double ms = (double)(s->now - t->started_at);

	/*
	 * Long-running tasks have no run time.  A run that resumed from a
	 * checkpoint took only part of it.
	 */
	if (task_step(t)->long_running || t->checkpoint.bstr_len || ms < 1)
		return;
	if (l->weight < WEIGHT_MAX)
		l->weight++;
	l->mean_log_ms += (log(ms) - l->mean_log_ms) / l->weight;
}

/* Returns the expected run time of a task of a step. */
int64_t step_expected_ms(struct sched *s, const struct job *j,
			 unsigned step_index)
{
	const struct job_step *st = &j->body->steps[step_index];
	double declared = st->estimated_ms ? st->estimated_ms : 1;
	struct learnt_time *l = learnt_time_of(s, j->route);

	if (l->weight < 1 || !policy_is_enabled(s, POLICY_LEARNING))
		return (int64_t)declared;
	return (int64_t)exp(DECLARED_WEIGHT * log(declared) +
			    (1 - DECLARED_WEIGHT) * l->mean_log_ms);
}

/* Frees the learnt run times. */
void learnt_times_free(struct sched *s)
{
	struct learnt_time *l, *next;

	HASH_ITER(hh, s->learnt_times, l, next) {
		HASH_DEL(s->learnt_times, l);
		bstr_free(&l->route);
		free(l);
	}
}
