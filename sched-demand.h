/*
 * What each pool has, and what it needs for its work; computed anew in each
 * pass over the pools.
 */
#ifndef SCHED_DEMAND_H
#define SCHED_DEMAND_H

#include "sched-state.h"

/* What a pool claims of the fleet's cores, in thousandths. */
struct pool_claim {
	double weight;	      /* above 0 */
	double reserve_cores; /* for the jobs at the start of a peak */
	double in_time_cores; /* for all jobs that can still be in time */
	double keep_cores;    /* what it keeps if no other needs them */
	double all_cores;     /* for all jobs */
	double granted_cores; /* the result */
};

/* The capacity and the work of a pool. */
struct pool_load {
	const struct service *service;
	bool routed;	    /* some route names it */
	bool can_spare;	    /* an idle machine, for a pool in need */
	unsigned home_size; /* machines that the operator gave it */
	unsigned stranded;  /* long-running tasks that find no worker */
	unsigned workers;   /* those that can take tasks */
	unsigned answered;  /* of workers, those that answered this owner */
	unsigned arriving;  /* machines being moved to it, without unlisted */
	unsigned unlisted;  /* workers whose machines no list has shown yet */
	unsigned empty;	    /* workers without tasks */
	unsigned leaving;   /* workers that get no tasks as they are to leave */
	unsigned evacuated; /* workers in evacuated data centres; no other
			     * member counts them, except max_listed */
	double cores;	    /* of its workers, in thousandths */
	double used_cores;  /* used by tasks */
	double long_running_cores; /* used by long-running tasks */
	double work; /* pending and running, in thousandths of a core x ms */
	double waiting_work;	/* of it, pending tasks that wait for room */
	double late_work;	/* of waiting_work, of jobs that can't meet
				 * their objective any more */
	double waiting_cores;	/* that the tasks in waiting_work use */
	double queued_work;	/* of it, what waits for nothing but room */
	unsigned pending_tasks; /* tasks in work that have not started */
	unsigned queued_tasks;	/* tasks in queued_work that have not started */
	double starts_ms;	/* the owner needs to start pending_tasks */
	double queue_starts_ms; /* the owner needs to start queued_tasks */
	struct resources max_capacity; /* of its workers, by resource */
	struct resources max_listed;   /* the same, with those that can't take
					* tasks now */
	const struct demand *demand;
	struct pool_claim claim;
	double objective_sum_ms; /* sum of the objectives of the queued jobs */
	unsigned queued_jobs;	 /* jobs with work in queued_work */
};

struct pool_loads {
	struct pool_load *list;
	size_t count;
	double start_interval_ms; /* see struct sched */
	double standby_cores;	  /* of machines in standby that can move */
	bool divided;		  /* the pools need more than there is */
};

/* sched-demand.c: the load of the pools */
void pool_loads_read(struct sched *s, struct pool_loads *l);
void pool_loads_free(struct pool_loads *l);
void pool_loads_log(struct sched *s, const struct pool_loads *l,
		    double machine_cores);
struct pool_load *pool_load_find(const struct pool_loads *l, bstr service);
void pool_load_remove_machine(struct sched *s, struct pool_load *p,
			      const struct machine *m, double machine_cores);
double machine_mean_cores(const struct pool_loads *l);
double pool_drain_ms(const struct pool_load *p, double machine_cores);
double pool_lacks_machines_ms(const struct pool_load *p, double machine_cores);
double pool_queue_ms(const struct pool_load *p, double machine_cores);
bool job_waits_for_room(const struct sched *s, const struct pool_load *p,
			const struct job *j);
double occurrence_queued_work(const struct pool_load *p,
			      const struct occurrence *o);

/* The work of an organisation that waits in a pool. */
struct fair_queue {
	struct usage *usage;
	double weight;
	double work; /* in thousandths of a core x ms */
	double objective_sum_ms;
	unsigned jobs;
	double drain_ms; /* until it is done; see fair_drain() */
};

/* sched-fair.c: the queues of organisations */
void fair_drain(struct fair_queue *q, size_t count, double total_ms);
double fair_objective_ms(const struct fair_queue *q);
void fair_queues_update(struct sched *s, const struct pool_loads *l,
			double machine_cores);

/* sched-forecast.c: what the pools will need */
void demand_update(struct sched *s, struct demand *d, double home_cores);
double pool_slack_ms(const struct pool_load *p);
double pool_room_cores(const struct pool_load *p, double machine_cores);
double pool_need_cores(const struct sched *s, const struct pool_load *p);
double pool_in_time_cores(const struct sched *s, const struct pool_load *p);
double pool_reserve_cores(const struct sched *s, const struct pool_load *p,
			  double machine_cores);
bool pool_peak_is_known(const struct sched *s, const struct pool_load *p,
			double machine_cores);
double pool_keep_cores(const struct sched *s, const struct pool_load *p,
		       double machine_cores);

/* sched-divide.c: what each pool gets if there are too few cores */
bool claims_divide(struct pool_claim *list, size_t count, double total_cores);
void pools_divide(struct sched *s, struct pool_loads *l, double machine_cores);

#endif
