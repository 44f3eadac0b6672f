/*
 * How long a step of parallel tasks takes.  Answers jobs of many tasks with
 * uneven run times: a step lasts as long as the longest of its tasks, so with
 * the typical run time of one task nearly every job seems to need less time
 * than it does, and jobs that are in time are taken for late.
 */
#include "sched-estimate.h"

#include <math.h>

#define NEWTON_STEPS 3
/* From here on the hazard is within a few percent of its asymptote. */
#define HAZARD_FAR 5.0
/* Bounds the quantiles, for runs far older than any that was expected. */
#define CHANCE_MIN 1e-12

/* Returns the chance that a standard normal variable exceeds z. */
static double chance_above(double z)
{
	return 0.5 * erfc(z * M_SQRT1_2);
}

/*
 * Returns by how much a standard normal variable exceeds 0 on average, given
 * that it exceeds z.
 */
static double hazard(double z)
{
	if (z > HAZARD_FAR)
		return z + 1 / z;
	return exp(-z * z / 2) / sqrt(2 * M_PI) / chance_above(z);
}

/*
 * Returns the value that a standard normal variable exceeds with a chance
 * between 0 and 0.5: Hastings' rational approximation.
 */
static double quantile_above(double chance)
{
	double t = sqrt(-2 * log(chance < CHANCE_MIN ? CHANCE_MIN : chance));

	return t - (2.515517 + t * (0.802853 + t * 0.010328)) /
			   (1 + t * (1.432788 + t * (0.189269 + t * 0.001308)));
}

/*
 * Returns the expected run times of a step's tasks, given what was observed of
 * some of them: the most likely level.  Ended tasks alone would tell too
 * little, as the short ones end first; those that still run take at least
 * their age.
 */
struct run_times run_times_observed(const struct run_times *e,
				    const struct step_runs *r)
{
	double var = e->spread * e->spread, sum, slope, z, h;
	struct run_times seen = *e;
	unsigned i;

	if (e->spread <= 0 || e->level_var <= 0 || !(r->ended + r->running))
		return seen;
	for (i = 0; i < NEWTON_STEPS; i++) {
		sum = (e->level - seen.level) / e->level_var +
		      (r->log_sum - r->ended * seen.level) / var;
		slope = 1 / e->level_var + r->ended / var;
		if (r->running) {
			z = (r->age_log_sum / r->running - seen.level) /
			    e->spread;
			h = hazard(z);
			sum += r->running * h / e->spread;
			slope += r->running * h * (h - z) / var;
		}
		seen.level += sum / slope;
	}
	return seen;
}

/*
 * Returns the median of the longest of a number of tasks whose runs have lasted
 * for a mean logarithm of age; -INFINITY if they have not begun.
 */
static double longest_of_ms(const struct run_times *e, unsigned count,
			    double age_log)
{
	double above = 1;

	if (!count)
		return 0;
	if (e->spread <= 0)
		return exp(e->level);
	if (age_log > e->level - HAZARD_FAR * e->spread)
		above = chance_above((age_log - e->level) / e->spread);
	above *= 1 - exp2(-1.0 / count);
	return exp(e->level + e->spread * quantile_above(above));
}

/* Returns the mean logarithm of the ages of the running tasks of a step. */
static double mean_age_log(const struct step_runs *r)
{
	return r->running ? r->age_log_sum / r->running : -INFINITY;
}

/* Returns the larger of two durations. */
static int64_t longer(int64_t x, int64_t y)
{
	return x > y ? x : y;
}

/*
 * Returns the expected run time of the longest task of a step, from its start
 * to its end, by the run times that include what was observed of it.
 */
int64_t step_longest_ms(const struct run_times *seen, const struct step_runs *r)
{
	int64_t pending_ms, running_ms;

	pending_ms = (int64_t)longest_of_ms(seen, r->pending + r->unobserved,
					    -INFINITY);
	running_ms = (int64_t)longest_of_ms(seen, r->running, mean_age_log(r));
	return longer(longer(r->longest_ms, pending_ms + r->failed_ms),
		      longer(r->oldest_ms, running_ms));
}

/*
 * Returns how long a step is expected to take from now on, if its pending tasks
 * start now, by the run times that include what was observed of it.
 */
int64_t step_rest_ms(const struct run_times *seen, const struct step_runs *r)
{
	double age_log = mean_age_log(r);
	int64_t pending_ms, running_ms = 0;

	pending_ms = (int64_t)longest_of_ms(seen, r->pending, -INFINITY);
	if (r->running)
		running_ms = (int64_t)(longest_of_ms(seen, r->running,
						     age_log) -
				       exp(age_log));
	return longer(longer(pending_ms, running_ms), 0);
}

/*
 * Returns the duration of a step that is too wide to run at once: the longest
 * task is in one of its waves, and the others take as long as most tasks.
 */
int64_t step_waves_ms(int64_t longest_ms, double typical_ms, unsigned waves)
{
	return longest_ms + (int64_t)((waves - 1) * typical_ms);
}
