/*
 * A placement pass: the steps with pending tasks, in the order in which they
 * are placed.
 */
#ifndef SCHED_PLACE_H
#define SCHED_PLACE_H

#include "sched-state.h"

/* A step with pending tasks. */
struct candidate {
	struct job *job;
	struct occurrence *occ;
	struct pool *pool; /* whose workers may run it */
	unsigned step;
	struct resources need;		     /* of each of its tasks */
	enum pending_reason previous_reason; /* of its job */
	bool needs_tickets;  /* its starts need tickets of the advice service */
	unsigned rank;	     /* 0: long-running; else 1 + priority */
	struct usage *usage; /* of its organisation, while any is beyond its
			      * share */
	double share_key;    /* what its organisation runs in the pool, and asks
			      * for before it, by weight; 0 without an excess
			      * there */
	bool late;	     /* its objective can't be met any more */
	int64_t due; /* end of its objective; if late, its expected length */
};

/* State of one placement pass. */
struct place_pass {
	struct candidate *candidates;
	struct candidate **sorted;
	size_t count;
	size_t space;
	struct pool **pools_left; /* pools with candidates left */
	size_t pools_left_count;
};

/* sched-candidate.c: the steps with pending tasks, and their order */
void candidates_collect(struct sched *s, struct place_pass *p);
void candidates_sort(struct sched *s, struct place_pass *p);

/* sched-advice.c: placement tickets of the advice service */
bool advice_ready(struct sched *s, const struct candidate *c);
enum pending_reason advice_seek(struct sched *s, const struct candidate *c);

#endif
