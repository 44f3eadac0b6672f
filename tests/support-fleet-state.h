/*
 * The state of the simulated fleet, and the functions that the files of
 * support-fleet share.
 */
#ifndef SUPPORT_FLEET_STATE_H
#define SUPPORT_FLEET_STATE_H

#include "../rows.h"
#include "support-fleet.h"
#include "support-queue.h"
#include "support-table.h"

#include <stdlib.h>
#include <string.h>

/* Setting fresh_ms: for how long a VM may accept a withdrawn key. */
#define FRESH_MS 3000

/* A lowered limit must hold after this time without faults. */
#define SETTLE_MS 20000

#define JOBS_MAX 1024
#define TASKS_MAX 96
#define CALLS_MAX 8192
#define LIMIT_CHANGES_MAX 256

enum { POOL_P, POOL_Q, POOLS };
extern const char *const fleet_pool_names[];
extern const char *const fleet_dc_names[];
extern const char *const fleet_team_names[];

/* Kinds of items of the queue. */
enum fleet_item_kind {
	Q_EVENT,
	Q_TICK,	    /* n: 1 if it repeats, 0 for a wake */
	Q_PLATFORM, /* n: delay of the reply, or 0 if it is lost */
	Q_EXCHANGE,
	Q_EXCHANGE_TIMEOUT,
	Q_WATCH_TIMEOUT,
	Q_TASK_END,
	Q_LEASE_END, /* n: 2 * pool + data centre */
	Q_FAULT_END, /* n: enum fleet_op */
	Q_BOOT
};

/* An entry VM; its generation is the number of its current process. */
struct entry {
	struct state *st;
	char name[24];
	unsigned generation;
	bool up, frozen, stopping, platform_cut;
	int64_t clock_offset;
	int64_t frozen_at, stop_at;
	uint64_t revision;
	event **inbox; /* events that arrived while it is frozen */
	size_t inbox_count;
};

/* A request of an entry VM to a worker, until its answer is sent. */
struct exchange {
	struct exchange *next;
	unsigned slot, generation, worker, boot;
	bool finished, executed;
	effect *fx;
};

/* A task on a worker. */
struct fake_task {
	char id[128];
	unsigned pool, dc, team, job;
	task_state state;
	const char *reason;
	char result[64];
	int64_t ends_at;
	uint64_t seq;
	bool fails, used;
};

struct fake_worker {
	char name[8];
	unsigned dc, boot;
	bool frozen, silent, fails, leaving;
	int64_t leaving_at;
	uint64_t epoch[POOLS], seq;
	int64_t lease[POOLS][2];
	struct fake_task tasks[TASKS_MAX];
	struct exchange *blocked[64]; /* watches; all, while it is frozen */
	unsigned blocked_count;
	/* as in the table's row */
	unsigned pool;
	vm_state state;
	int64_t state_at;
};

/* A job of a caller and what is known of it. */
struct fake_job {
	bool may_repeat, wait, urgent;
	bool memory_only; /* not in the journal: may_repeat and wait */
	unsigned team, pool, key, run_ms, timeout_ms;
	bool fails;
	char id[96];
	unsigned start_count, checkpoints, submit_count;
	bool not_run, refused, accepted, final;
};

/* A request of a caller or an operator. */
struct fake_call {
	unsigned slot, generation, job;
	int64_t sent_at;
	enum { CALL_NONE, CALL_OF_JOB, CALL_OF_LABEL, CALL_OF_OPERATOR } kind;
	bool submit, received, answered;
	op_kind op;
	unsigned a, b;
};

/* A value of a limit and the time from which it holds. */
struct limit_change {
	int64_t from;
	unsigned amount;
};

/* Values of platform_mode. */
enum {
	PLATFORM_UP,
	PLATFORM_DOWN,
	PLATFORM_REFUSING,
	PLATFORM_SLOW,
	PLATFORM_LOSING,
	PLATFORM_MODES
};

struct fleet {
	int64_t now, fault_ended, fault_started;
	uint64_t random, events;
	struct event_queue queue;
	struct entry entries[FLEET_ENTRIES];
	struct fake_worker workers[FLEET_WORKERS];
	struct fake_table table;
	struct exchange *exchanges;
	unsigned faults, platform_mode, late;
	bool dc_cut, dc_platform_cut[2];
	struct fake_job jobs[JOBS_MAX];
	unsigned job_count;
	struct fake_call calls[CALLS_MAX];
	unsigned call_count;
	struct limit_change limits[FLEET_TEAMS][LIMIT_CHANGES_MAX],
		budgets[POOLS][LIMIT_CHANGES_MAX];
	unsigned limit_count[FLEET_TEAMS], budget_count[POOLS];
	/* when the withdrawal of a key was answered, or 0 */
	int64_t withdrawn_at[FLEET_TEAMS][FLEET_KEYS];
	bstr digests[FLEET_TEAMS][FLEET_KEYS];
	json_t *doc;
	uint64_t revision;
	unsigned counters[FLEET_COUNTERS];
	char violation[512];
};

/* Records the violation of an invariant, unless there was one before. */
#define VIOLATION(f, ...)                                                \
	do {                                                             \
		if (!(f)->violation[0])                                  \
			snprintf((f)->violation, sizeof((f)->violation), \
				 __VA_ARGS__);                           \
	} while (0)

/* Prints what happens to standard error if FLEET_TRACE is set. */
#define TRACE(f, ...)                                           \
	do {                                                    \
		if (!getenv("FLEET_TRACE"))                     \
			break;                                  \
		fprintf(stderr, "%7lld ", (long long)(f)->now); \
		fprintf(stderr, __VA_ARGS__);                   \
		fputc('\n', stderr);                            \
	} while (0)

/* support-fleet.c */

/* Returns a random number below a bound. */
uint64_t fleet_random(struct fleet *f, uint64_t below);

/* Adds an item to the queue; one that is overdue is due now. */
void fleet_queue_put(struct fleet *f, struct queue_item q);

/* Delivers an event to an entry VM after a delay. */
void fleet_entry_post(struct fleet *f, unsigned slot, unsigned generation,
		      int64_t delay, event *ev);

/* Counts a fault that starts, or ends. */
void fleet_fault_begin(struct fleet *f);
void fleet_fault_end(struct fleet *f);

/* Returns the index of a name, or n if it is none of the n names. */
unsigned fleet_name_index(bstr b, const char *const *names, unsigned n);

/* Returns the index of a worker by its name, or -1. */
int fleet_worker_index(bstr name);

/* Returns the time since when a change may not have reached every VM. */
int64_t fleet_unsettled_since(const struct fleet *f);

/* Returns the largest value that a limit had since a time. */
unsigned fleet_limit_max_since(const struct limit_change *l, unsigned n,
			       int64_t since);

/* support-fleet-step.c */

/* Ends the fault of an item of the queue. */
void fleet_fault_clear(struct fleet *f, const struct queue_item *q);

/* support-fleet-platform.c */

/* Checks a write of the configuration's head and applies its limits. */
void fleet_head_check(struct fleet *f, bstr value);

/* Checks a write to the table; arg is the fleet. */
void fleet_write_check(void *arg, const fx_commit *c, const table_write *w,
		       const struct fake_row *old);

void fleet_platform_send(struct fleet *f, unsigned slot, effect *fx);
void fleet_platform_receive(struct fleet *f, struct queue_item *q);

/* support-fleet-worker.c */

void fleet_exchange_send(struct fleet *f, unsigned slot, effect *fx);

/* Ends an exchange without an answer, unless it has finished. */
void fleet_exchange_fail(struct fleet *f, struct exchange *x,
			 worker_outcome outcome);

void fleet_worker_receive(struct fleet *f, struct exchange *x);

/* Answers a watch whose time is over without changes. */
void fleet_watch_timeout(struct fleet *f, struct exchange *x);

/* Answers the blocked watches of a worker, after a change. */
void fleet_worker_answer_watches(struct fleet *f, struct fake_worker *w);

/* Stops tasks whose lease has expired and ends those that are due. */
void fleet_worker_tick(struct fleet *f, struct fake_worker *w);

void fleet_worker_lease_end(struct fleet *f, const struct queue_item *q);
void fleet_worker_restart(struct fleet *f, struct fake_worker *w);
void fleet_worker_thaw(struct fleet *f, struct fake_worker *w);

/* support-fleet-caller.c */

/* Checks and records an entry VM's answer to a caller, or to an operator. */
void fleet_answer_record(struct fleet *f, unsigned slot, const fx_answer *x);
void fleet_reply_record(struct fleet *f, unsigned slot, const fx_op_reply *x);

/* Submits a job, for the first time or again under the same key. */
void fleet_job_submit(struct fleet *f, unsigned job, unsigned preferred);

/* Creates a job, whose kind the bits of an argument give, and submits it. */
void fleet_job_create(struct fleet *f, unsigned kind);

/* Gets or cancels a job, with a key of its team. */
void fleet_job_request(struct fleet *f, caller_kind kind, unsigned job,
		       uint32_t wait_ms);

void fleet_label_cancel(struct fleet *f, unsigned team, unsigned label);

/* Sends an operator's request; a and b are its arguments. */
void fleet_operate(struct fleet *f, op_kind kind, unsigned a, unsigned b);

/* support-fleet-entry.c */

/* Starts a new entry VM under a name that wasn't used before. */
void fleet_entry_boot(struct fleet *f, unsigned slot);

/* Kills an entry VM; a new one replaces it after ms milliseconds. */
void fleet_entry_kill(struct fleet *f, unsigned slot, int64_t ms);

/* Handles an event of an entry VM, or holds it while the VM is frozen. */
void fleet_entry_receive(struct fleet *f, unsigned slot, unsigned generation,
			 event *ev);

/* Resumes a frozen entry VM, which then handles the held events. */
void fleet_entry_thaw(struct fleet *f, unsigned slot);

void fleet_entry_tick(struct fleet *f, const struct queue_item *q);

#endif
