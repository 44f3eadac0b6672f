/*
 * Estimates of run times: what is learnt of the tasks of a route, what is known
 * of the tasks of one step, and what follows for the duration of the step.
 */
#ifndef SCHED_ESTIMATE_H
#define SCHED_ESTIMATE_H

#include "scheduler.h"

struct task;

/* The run times of a step's tasks, by natural logarithms of milliseconds. */
struct run_times {
	double level;	  /* mean logarithm of the step's tasks */
	double level_var; /* variance of the error of level */
	double spread; /* standard deviation of its tasks; 0: not known yet */
};

/* What has been observed of the tasks of a step. */
struct step_runs {
	unsigned ended;	     /* tasks whose whole run was observed */
	double log_sum;	     /* of the logarithms of their run times */
	int64_t longest_ms;  /* of them, with earlier failed runs */
	unsigned unobserved; /* tasks that are done without that */
	unsigned running;
	double age_log_sum; /* of the logarithms of the ages of their runs */
	int64_t oldest_ms;  /* of the running ones, with earlier failed runs */
	unsigned pending;
	int64_t failed_ms; /* most that failed runs of a pending task took */
};

/*
 * Run times observed for the tasks of a route.  The run times declared in jobs
 * are off by large factors.
 */
struct learnt_time {
	bstr route;
	double weight;	       /* number of runs; older runs weigh less */
	double mean_log_ms;    /* mean logarithm of the run times */
	double variance;       /* of the logarithms */
	double declared_error; /* mean square of log(declared / observed) */
	double step_weight;    /* number of runs that followed others of their
				* step */
	double step_variance;  /* of the logarithms within one step */
	UT_hash_handle hh;
};

/* sched-learn.c */
void learnt_add(struct learnt_time *l, struct step_runs *r, double declared_ms,
		double ms);
struct run_times learnt_run_times(const struct learnt_time *l,
				  double declared_ms);
void learn_run_started(struct task *t, const struct answer *a);

/* sched-step.c */
struct run_times run_times_observed(const struct run_times *e,
				    const struct step_runs *r);
int64_t step_longest_ms(const struct run_times *seen,
			const struct step_runs *r);
int64_t step_rest_ms(const struct run_times *seen, const struct step_runs *r);
int64_t step_waves_ms(int64_t longest_ms, double typical_ms, unsigned waves);

#endif
