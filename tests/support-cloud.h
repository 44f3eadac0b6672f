/*
 * The users' platform played for load: a store and any number of workers that
 * answer at once and judge nothing, in one loop that the caller runs.  What is
 * judged is played by standin-cloud.
 */
#ifndef SUPPORT_CLOUD_H
#define SUPPORT_CLOUD_H

#include "../bamboofront.h"

#define CLOUD_TASKS_PER_JOB 8 /* of a job */

/* What has come; jobs are numbered by submitted. */
extern struct cloud_counts {
	uint64_t starts;
	uint64_t holds;
	uint64_t ends;
	uint64_t listed; /* ends in answers, each time */
	uint64_t calls;	 /* to the store */
	uint64_t submitted;
	uint64_t accepted;
	uint64_t refused;
} cloud_counts;

uint16_t cloud_start(unsigned workers); /* the port of its store */
void cloud_submitters_connect(
	uint16_t port); /* of the VM that takes the jobs */
void cloud_serve(int64_t ms, unsigned rate);

#endif
