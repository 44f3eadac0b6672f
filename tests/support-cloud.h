/*
 * A fake of the users' platform for load tests: a store and any number of
 * workers in one event loop, which the caller runs.  They answer at once and
 * check nothing; standin-cloud is the fake that checks the invariants.
 */
#ifndef SUPPORT_CLOUD_H
#define SUPPORT_CLOUD_H

#include "../bamboofront.h"

#define CLOUD_TASKS_PER_JOB 8

/* Counters of requests and answers; submitted also numbers the jobs. */
extern struct cloud_counts {
	uint64_t starts;      /* run-start requests to workers */
	uint64_t holds;	      /* hold requests (long polls) to workers */
	uint64_t ends;	      /* tasks that ended */
	uint64_t listed;      /* ends in hold answers, counted in each answer */
	uint64_t listed_runs; /* running tasks in hold answers, likewise */
	uint64_t calls;	      /* requests to the store */
	uint64_t submitted;
	uint64_t accepted;
	uint64_t refused;
} cloud_counts;

/* The load; may be changed before cloud_start. */
extern struct cloud_load {
	int task_ms;
	int slots;	  /* tasks that a worker has room for */
	int objective_ms; /* of the jobs */
} cloud_load;

/* Starts the store and the workers; returns the store's port. */
uint16_t cloud_start(unsigned workers);

/* Opens the connections that submit jobs to the entry VM at a port. */
void cloud_submitters_connect(uint16_t port);

/*
 * Runs the event loop for ms milliseconds; rate is the number of tasks a second
 * that it submits, as jobs of CLOUD_TASKS_PER_JOB.
 */
void cloud_serve(int64_t ms, unsigned rate);

#endif
