/*
 * A fleet in one process on a simulated clock: reducers as entry VMs, and
 * small fakes at their interfaces - table, object store and VM list, workers
 * by docs/WORKER.md, the peers' network, callers and operators.  It keeps its
 * own log of what ran and what was said, and checks the promises by that log
 * and the table's rows only; the reducers' state is never looked at.
 */
#ifndef SUPPORT_FLEET_H
#define SUPPORT_FLEET_H

#include "../bamboofront.h"

#ifdef __cplusplus
extern "C" {
#endif

#define FLEET_ENTRIES 4 /* entry VMs, by turns in two data centres */
#define FLEET_WORKERS 8 /* 0-2 p in d0, 3-5 p in d1, 6-7 q in d0 */
#define FLEET_SLOTS 2
#define FLEET_TEAMS 2
#define FLEET_KEYS 4 /* of each team */

enum fleet_op {
	FLEET_END,    /* of a sequence: does nothing */
	FLEET_RUN,    /* a steps of 50 ms */
	FLEET_SUBMIT, /* a: what kind of work, b: how much at once */
	FLEET_RETRY,  /* an earlier key, by another entry VM */
	FLEET_GET,    /* ask for an earlier job */
	FLEET_CANCEL, /* cancel earlier jobs, b in a wave */
	FLEET_CANCEL_LABEL,
	FLEET_KILL,	    /* entry VM a; b % 8 == 7: all at once */
	FLEET_FREEZE,	    /* entry VM a for a time given by b */
	FLEET_STOP,	    /* a planned stop */
	FLEET_JUMP,	    /* the clock of an entry VM jumps ahead */
	FLEET_CUT,	    /* the data centres from each other */
	FLEET_CUT_PLATFORM, /* a data centre or a VM from the platform */
	FLEET_PLATFORM,	    /* a: down, refusing, slow, replies lost */
	FLEET_LATE,	    /* peers' messages late, and taken for lost */
	FLEET_WORKER,	/* worker a; b: freeze, silence, restart, fail all */
	FLEET_RACK,	/* the same for every third worker */
	FLEET_LIMIT,	/* a team's upper limit becomes b */
	FLEET_BUDGET,	/* a pool's budget becomes b */
	FLEET_WITHDRAW, /* a key */
	FLEET_DRAIN,
	FLEET_MOVE,
	FLEET_RETURN,
	FLEET_LEAVE, /* a worker says that it leaves */
	FLEET_RACE,  /* two operators change the same at once */
	FLEET_OPS
};

struct fleet_step {
	enum fleet_op op;
	unsigned arg1, arg2;
};

struct fleet;
struct fleet *fleet_new(uint64_t seed);
void fleet_free(struct fleet *f);
void fleet_apply(struct fleet *f, struct fleet_step s);
void fleet_run(struct fleet *f, int64_t ms);
/* End all faults, let it settle, and check what must hold at the end. */
void fleet_settle(struct fleet *f);
/* The first promise that was broken, or NULL. */
const char *fleet_violation(const struct fleet *f);
uint64_t fleet_events(const struct fleet *f);
const char *fleet_op_name(enum fleet_op op);

/* What has happened, for hand-written cases. */
enum fleet_counter {
	FLEET_TASKS_STARTED,	   /* tasks that began to run */
	FLEET_DONE,		   /* answers "done" */
	FLEET_NOT_RUN,		   /* answers "not run" */
	FLEET_JOBS_ACCEPTED,	   /* jobs answered 202 */
	FLEET_JOBS_FINAL,	   /* accepted jobs found final at the end */
	FLEET_ANSWERS_REFUSED,	   /* answers of 400 and above */
	FLEET_OPERATIONS_ACCEPTED, /* operators' requests that were accepted */
	FLEET_COUNTERS
};
unsigned fleet_counter(const struct fleet *f, enum fleet_counter n);

#ifdef __cplusplus
}
#endif
#endif
