/*
 * A simulated fleet in one process, with a simulated clock.  The entry VMs are
 * real reducers; fakes stand at their interfaces: the table, object store and
 * VM list of the platform, the workers (docs/WORKER.md), the network between
 * peers, callers and operators.  The simulation logs what ran and what was
 * answered, and checks the invariants against that log and the rows of the
 * table only; it never reads the state of the reducers.
 */
#ifndef SUPPORT_FLEET_H
#define SUPPORT_FLEET_H

#include "../bamboofront.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FLEET_ENTRIES 4 /* entry VMs, alternating between two DCs */
#define FLEET_WORKERS 8 /* 0-2: pool p, d0; 3-5: p, d1; 6-7: q, d0 */
#define FLEET_SLOTS 2	/* of each worker */
#define FLEET_TEAMS 2
#define FLEET_KEYS 4 /* of each team */

/*
 * Steps of a test sequence.  The arguments of a step may have any value; they
 * are reduced to the range that the step needs.  The order matters:
 * fleet_apply() distinguishes callers' requests, faults of entry VMs, other
 * faults and operators' requests by ranges of this enum.
 */
enum fleet_op {
	FLEET_END,    /* end of a sequence; does nothing */
	FLEET_RUN,    /* advance the clock by 1 + arg1 times 50 ms */
	FLEET_SUBMIT, /* new jobs; arg1: kind of job, arg2: how many */
	FLEET_RETRY,  /* resubmit earlier jobs; arg2: the entry VM */
	FLEET_GET,    /* get the state of an earlier job */
	FLEET_CANCEL, /* cancel several earlier jobs; arg2: how many */
	FLEET_CANCEL_LABEL,
	FLEET_KILL,	    /* entry VM arg1; arg2 % 8 == 7: all of them */
	FLEET_FREEZE,	    /* entry VM arg1, for a time given by arg2 */
	FLEET_STOP,	    /* planned stop of entry VM arg1 */
	FLEET_JUMP,	    /* advance the clock of entry VM arg1 */
	FLEET_CUT,	    /* partition the data centres */
	FLEET_CUT_PLATFORM, /* cut off a DC or an entry VM from the platform */
	FLEET_PLATFORM,	    /* arg1: down, refusing, slow or losing replies */
	FLEET_LATE,	    /* peer messages arrive late and count as lost */
	FLEET_WORKER,	    /* arg2: freeze, silence, restart, fail all tasks */
	FLEET_RACK,	    /* the same for each third worker */
	FLEET_LIMIT,	    /* set a team's upper limit from arg2 */
	FLEET_BUDGET,	    /* set a pool's budget from arg2 */
	FLEET_WITHDRAW,	    /* withdraw a key of a team */
	FLEET_DRAIN,
	FLEET_MOVE,
	FLEET_RETURN,
	FLEET_LEAVE, /* a worker reports that it is leaving */
	FLEET_RACE,  /* concurrent changes by operators */
	FLEET_OPS
};

struct fleet_step {
	enum fleet_op op;
	unsigned arg1, arg2; /* see enum fleet_op */
};

struct fleet;

struct fleet *fleet_new(uint64_t seed);
void fleet_free(struct fleet *f);

/* Does a step, unless an invariant has been violated already. */
void fleet_apply(struct fleet *f, struct fleet_step s);
void fleet_run(struct fleet *f, int64_t ms);

/* Ends all faults, lets the fleet settle and checks the final state. */
void fleet_settle(struct fleet *f);

/* Returns the first violated invariant, or NULL. */
const char *fleet_violation(const struct fleet *f);

uint64_t fleet_events(const struct fleet *f);
const char *fleet_op_name(enum fleet_op op);

/* Counters for hand-written tests. */
enum fleet_counter {
	FLEET_TASKS_STARTED,   /* starts of tasks */
	FLEET_DONE,	       /* answers "done" */
	FLEET_NOT_RUN,	       /* answers "not run" */
	FLEET_JOBS_ACCEPTED,   /* jobs answered 202 */
	FLEET_JOBS_FINAL,      /* accepted jobs that reached a final state */
	FLEET_ANSWERS_REFUSED, /* answers with a status of 400 or above */
	FLEET_OPERATIONS_ACCEPTED, /* accepted operators' requests */
	FLEET_COUNTERS
};
unsigned fleet_counter(const struct fleet *f, enum fleet_counter counter);

#ifdef __cplusplus
}
#endif
#endif
