/*
 * Learns the run times of tasks.  Run times declared in jobs are off by a
 * factor of two or three either way, and the tasks of one step differ as well,
 * so the observed run times of a route's tasks weigh more the further the
 * declared ones were off.
 */
#include "sched-state.h"

#include <math.h>
#include <stdlib.h>

/*
 * Weight of the declared run time beside the learnt one, until it is known how
 * far the route's declarations are off.
 */
#define DECLARED_WEIGHT 0.24
/*
 * Limits the weight of older runs, so that the mean follows a change within a
 * few hundred runs.
 */
#define WEIGHT_MAX 300
/* From this many runs on, variances are used. */
#define VARIANCE_RUNS_MIN 20
/*
 * Deviations count up to this many standard deviations.  A few tasks that take
 * several times as long as the others would make all steps seem uneven.
 */
#define DEVIATIONS_MAX 2.5

/*
 * Least spread of tasks that have been seen to be even.  Whether the squares of
 * rounding errors add up to 0, which stands for a spread that isn't known,
 * differs between processors.
 */
#define SPREAD_MIN 0.001

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

/* Adds a squared deviation to a variance from a number of runs. */
static void variance_add(double *variance, double weight, double square)
{
	double most = DEVIATIONS_MAX * DEVIATIONS_MAX * *variance;

	if (weight > VARIANCE_RUNS_MIN && square > most)
		square = most;
	*variance += (square - *variance) / weight;
}

/*
 * Adds the run time of a task to what is known of its route and of its step.
 * The sum of squares about the mean of a step does not depend on the order in
 * which its tasks end.
 */
void learnt_add(struct learnt_time *l, struct step_runs *r, double declared_ms,
		double ms)
{
	double log_ms = log(ms), error = log(declared_ms) - log_ms, d;

	if (l->weight < WEIGHT_MAX)
		l->weight++;
	l->mean_log_ms += (log_ms - l->mean_log_ms) / l->weight;
	d = log_ms - l->mean_log_ms;
	variance_add(&l->variance, l->weight, d * d);
	variance_add(&l->declared_error, l->weight, error * error);
	if (r->ended) {
		if (l->step_weight < WEIGHT_MAX)
			l->step_weight++;
		d = log_ms - r->log_sum / r->ended;
		variance_add(&l->step_variance, l->step_weight,
			     d * d * r->ended / (r->ended + 1));
	}
	r->ended++;
	r->log_sum += log_ms;
}

/*
 * Returns the expected run times of the tasks of a step.  The declared run time
 * and the mean of the route weigh by their variances: how much steps of the
 * route differ, and how far declarations were off.
 */
struct run_times learnt_run_times(const struct learnt_time *l,
				  double declared_ms)
{
	struct run_times e = {.level = log(declared_ms)};
	double weight = DECLARED_WEIGHT, steps, declared;

	if (l->weight < 1)
		return e;
	if (l->weight >= VARIANCE_RUNS_MIN) {
		steps = fmax(l->variance - l->step_variance, 0);
		declared = fmax(l->declared_error - l->step_variance, 0);
		weight = steps + declared > 0 ? steps / (steps + declared) : 0;
		e.level_var = weight * declared;
	}
	e.level = weight * e.level + (1 - weight) * l->mean_log_ms;
	if (l->step_weight >= VARIANCE_RUNS_MIN)
		e.spread = fmax(sqrt(l->step_variance), SPREAD_MIN);
	return e;
}

/*
 * Notes when a run began, from the answer to its start.  The answer's clock is
 * that of the beginning only if the start was sent once and its answer is the
 * first sign of the run.  The worker may have carried out the first of two
 * requests, and a list may have shown the run long before; such a run would be
 * learnt as shorter than it is.
 */
void learn_run_started(struct task *t, const struct answer *a)
{
	if (t->phase != PHASE_STARTING || a->repeated)
		t->run_is_part = true;
	if (!t->run_clock || a->clock < t->run_clock)
		t->run_clock = a->clock;
}

/*
 * Learns from a run that has just completed its task, as listed at a time of
 * its worker's clock.  By this VM's clock the run would include what an owner
 * short of processor time needs to handle its start and its end, and jobs would
 * seem long whenever the owner is slow.  Long-running tasks have no run time,
 * and a run that resumed from a checkpoint took only part of it.
 */
void learn_run_time(struct sched *s, const struct task *t, int64_t clock)
{
	struct step_runs *r = &t->occ->runs[t->step];
	const struct job_step *st = task_step(t);
	int64_t ms = clock - t->run_clock;

	if (st->long_running || !t->run_clock || ms < 1)
		return;
	if (ms + t->failed_ms > r->longest_ms)
		r->longest_ms = ms + t->failed_ms;
	if (t->run_is_part || t->checkpoint.bstr_len)
		return;
	learnt_add(learnt_time_of(s, t->occ->job->route), r,
		   st->estimated_ms ? st->estimated_ms : 1, (double)ms);
}

/* Returns the expected run times of the tasks of a step, before any has run. */
struct run_times step_run_times(struct sched *s, const struct job *j,
				unsigned step_index)
{
	const struct job_step *st = &j->body->steps[step_index];
	double declared_ms = st->estimated_ms ? st->estimated_ms : 1;

	if (!policy_is_enabled(s, POLICY_LEARNING))
		return (struct run_times){.level = log(declared_ms)};
	return learnt_run_times(learnt_time_of(s, j->route), declared_ms);
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
