/*
 * What the pools will need by the time at which a machine that is called for
 * now arrives.  It follows from the work that has arrived lately, from what
 * waits, and from how long the jobs can wait.
 */
#include "sched-demand.h"

#include <math.h>

/*
 * Time over which the arriving work is averaged: long enough for some tens of
 * jobs of a queue in its peak, and much shorter than a move.
 */
#define DEMAND_SMOOTHING_MS 300.0
/* Time over which the mean of the arriving work is taken. */
#define DEMAND_MEAN_MS 60000.0
/* Time in which a peak decays that does not come again. */
#define DEMAND_PEAK_MS 300000
/*
 * The mean demand of a pool by its size, before it was observed: operators make
 * pools about this many times as large as what they need on average.
 */
#define HOME_DEMAND_DIVISOR 2
/*
 * From the end of a move until the worker is listed, has answered and is used.
 */
#define MOVE_SETTLE_MS 300
/* Bounds of the slack, and its value before any job was seen. */
#define SLACK_MIN_MS 250.0
#define SLACK_DEFAULT_MS 1000.0
/* A pool's queue is to be gone within this part of the slack. */
#define SLACK_DIVISOR 2

/* Adds a new occurrence of a job to the demand of its pool. */
void demand_add(struct sched *s, struct job *j)
{
	struct demand *d = &job_pool(s, j)->demand;
	const struct job_step *st = j->body->steps;
	double work = 0, slack_ms;
	size_t i;

	job_estimate_update(s, j);
	for (i = 0; i < j->body->step_count; i++, st++)
		if (!st->long_running && !st->best_effort &&
		    resources_fit(st->need, s->largest_capacity))
			work += (double)st->need.cpu * st->count *
				(double)j->estimate.step_ms[i];
	if (work <= 0)
		return;
	d->arrived += work;
	if (d->jobs < DEMAND_JOBS)
		d->jobs++;
	slack_ms = (double)job_slack_ms(s, j);
	d->slack_ms += (slack_ms - d->slack_ms) / d->jobs;
	d->slack_dev_ms += (fabs(slack_ms - d->slack_ms) - d->slack_dev_ms) /
			   d->jobs;
}

/* Returns how long it takes until a machine that is called for is of use. */
static double move_ahead_ms(const struct sched *s)
{
	return (double)(s->options.move_ms + MOVE_SETTLE_MS);
}

/* Updates the peak of the work that arrives within the time of a move. */
static void demand_update_peak(const struct sched *s, struct demand *d,
			       double arriving, double ms)
{
	d->move_cores += (arriving - d->move_cores) *
			 (1 - exp(-ms / move_ahead_ms(s)));
	d->peak_cores *= exp(-ms / (double)DEMAND_PEAK_MS);
	if (d->peak_cores < d->move_cores)
		d->peak_cores = d->move_cores;
}

/*
 * Has the rates of all pools begin anew at the next update.  A VM that gets the
 * ownership again would otherwise take all jobs that it reads for work that has
 * just arrived.
 */
void demands_reset(struct sched *s)
{
	struct pool *p;

	for (p = s->pools; p; p = p->hh.next)
		p->demand.updated_at = 0;
}

/*
 * Updates the demand of a pool.  The operator's size of the pool stands for its
 * mean at first; it is not known until the workers and the list of machines
 * are.
 */
void demand_update(struct sched *s, struct demand *d, double home_cores)
{
	double ms = (double)(s->now - d->updated_at), arriving;

	if (!d->has_mean) {
		d->mean_cores = home_cores / HOME_DEMAND_DIVISOR;
		d->peak_known_at = s->now + DEMAND_PEAK_MS;
	}
	d->has_mean = d->has_mean || home_cores > 0;
	if (d->updated_at && ms > 0) {
		arriving = d->arrived / ms;
		d->cores += (arriving - d->cores) *
			    (1 - exp(-ms / DEMAND_SMOOTHING_MS));
		d->mean_cores += (arriving - d->mean_cores) *
				 (1 - exp(-ms / DEMAND_MEAN_MS));
		demand_update_peak(s, d, arriving, ms);
	}
	d->arrived = 0;
	d->updated_at = s->now;
}

/* Returns how long jobs of a pool can wait and still be in time. */
double pool_slack_ms(const struct pool_load *p)
{
	if (!p->demand->jobs)
		return SLACK_DEFAULT_MS;
	return p->demand->slack_ms > SLACK_MIN_MS ? p->demand->slack_ms
						  : SLACK_MIN_MS;
}

/*
 * Returns the cores that a pool has for tasks that end, with the machines that
 * are being moved to it.
 */
double pool_room_cores(const struct pool_load *p, double machine_cores)
{
	return p->cores - p->long_running_cores + machine_cores * p->arriving;
}

/*
 * Returns the work of a pool that will wait when a machine called for now
 * arrives, if waiting_work does now.
 */
static double pool_queue_ahead(const struct sched *s, const struct pool_load *p,
			       double waiting_work)
{
	double now_cores = p->cores - p->long_running_cores;
	double queue = waiting_work +
		       (p->demand->cores - now_cores) * move_ahead_ms(s);

	return queue > 0 ? queue : 0;
}

/*
 * Returns the cores that a pool needs when a machine called for now arrives: to
 * work off what will arrive, and within part of the slack what waits by then.
 */
double pool_need_cores(const struct sched *s, const struct pool_load *p)
{
	return p->demand->cores + pool_queue_ahead(s, p, p->waiting_work) *
					  SLACK_DIVISOR / pool_slack_ms(p);
}

/*
 * Returns the cores that a pool needs so that the jobs that can still be in
 * time are.  Unlike pool_need_cores, it has no margin, as it is used when other
 * pools lack the cores.  More than the tasks that run, wait and arrive could
 * use is not counted.
 */
double pool_in_time_cores(const struct sched *s, const struct pool_load *p)
{
	double cores = p->demand->cores +
		       pool_queue_ahead(s, p, p->waiting_work - p->late_work) /
			       pool_slack_ms(p);
	double usable = p->demand->cores + p->waiting_cores + p->used_cores -
			p->long_running_cores;

	return cores < usable ? cores : usable;
}

/*
 * Returns the cores that a pool keeps while another needs them: as many of
 * those that it needs on average as have to be there when a peak comes without
 * warning, since the jobs at its start would be late before machines can
 * arrive.  More would be kept for a peak that comes seldom, and be missing
 * where jobs are late now.  One machine more is kept, as one may fail.
 */
double pool_reserve_cores(const struct sched *s, const struct pool_load *p,
			  double machine_cores)
{
	double share = 1 - pool_slack_ms(p) / move_ahead_ms(s);

	if (!policy_is_enabled(s, POLICY_LENDING))
		return machine_cores * p->home_size;
	return (share > 0 ? p->demand->mean_cores * share : 0) + machine_cores;
}

/*
 * Returns the cores that the jobs at the start of a peak need before machines
 * can arrive, which are called for once the arriving work shows it.  Jobs with
 * less slack than the mean are to be in time as well.
 */
static double pool_first_cores(const struct sched *s, const struct pool_load *p)
{
	const struct demand *d = p->demand;
	double ahead_ms = move_ahead_ms(s) + DEMAND_SMOOTHING_MS;
	double slack_ms = pool_slack_ms(p) - d->slack_dev_ms;

	if (slack_ms >= ahead_ms)
		return 0;
	if (slack_ms < SLACK_MIN_MS)
		slack_ms = SLACK_MIN_MS;
	return d->peak_cores * (1 - slack_ms / ahead_ms);
}

/*
 * Returns true if the peaks of a pool are known: enough jobs were seen, and
 * more work at once than the operator's size tells of its mean.  A pool that
 * never gets that much is known after a time.
 */
bool pool_peak_is_known(const struct sched *s, const struct pool_load *p,
			double machine_cores)
{
	const struct demand *d = p->demand;
	double home = machine_cores * p->home_size;

	return d->jobs >= DEMAND_JOBS &&
	       (d->peak_cores >= home / HOME_DEMAND_DIVISOR ||
		s->now >= d->peak_known_at);
}

/*
 * Returns the cores that a pool keeps while no other pool needs them, at most
 * its home size: what works off the arriving work, and what the next peak needs
 * before machines can come from standby.  A pool whose peaks are not known
 * keeps its home size.
 */
double pool_keep_cores(const struct sched *s, const struct pool_load *p,
		       double machine_cores)
{
	const struct demand *d = p->demand;
	double home = machine_cores * p->home_size, keep;

	if (!pool_peak_is_known(s, p, machine_cores))
		return home;
	keep = d->move_cores + pool_first_cores(s, p);
	if (keep < d->mean_cores)
		keep = d->mean_cores;
	keep += machine_cores;
	return keep < home ? keep : home;
}
