/*
 * A simulated fleet of any size with a simulated clock, for the tests of waves
 * and of the queue and for the policy benchmark.  The entry VMs are real
 * reducers with fakes at their interfaces.  The model of the network and the
 * platform is a fixed delay and the faults that a hook injects; leases of
 * tasks don't expire.
 */
#ifndef SUPPORT_SIM_H
#define SUPPORT_SIM_H

#include "../bamboofront.h"
#include "../config.h"
#include "../rows.h"

#define SIM_ENTRIES 4
#define SIM_POOLS 32
#define SIM_TEAMS 16

struct sim_pool {
	unsigned budget;
	unsigned workers;
	bool spare;
};

struct sim_team {
	unsigned share, limit;
};

/*
 * The make-up of a fleet; pools are named p0, p1, ... and teams t0, t1, ...
 */
struct sim_plan {
	uint64_t seed;
	unsigned entries, dcs, slots, per_rack;
	bool interleaved; /* successive workers are in different racks */
	struct sim_pool pools[SIM_POOLS];
	struct sim_team teams[SIM_TEAMS];
	int64_t reboot_ms;
	int tick_ms; /* 0: 100 */
};

struct sim_task;

struct sim_worker {
	char name[16];
	char pool[16]; /* pool and state are those of the table's row */
	char dc[16];
	char rack[16];
	vm_state state;
	bool up, never_returns; /* the latter: doesn't come up after a reboot */
	int64_t down_at;	/* time of the last shutdown */
	unsigned boot, reboots, kills; /* boot: number of the current boot */
	unsigned running;
	uint64_t seq; /* of the last change, as reported to watches */
	struct sim_task *tasks;
	uint64_t epochs[SIM_POOLS];
	struct sim_watch *watches;
};

struct sim_job {
	unsigned team, pool, label;
	bool urgent;
	bool claimed; /* may not be repeated; answered 202 once durable */
	int64_t run_ms, declared_ms; /* actual and as submitted */
	int64_t submitted_at, started_at, ended_at; /* 0: not yet */
	unsigned starts, http_status;
	job_state state;
	int64_t total_run_ms; /* of all starts, including lost work */
};

/* The fault that a request to the platform meets. */
enum sim_fault { SIM_NO_FAULT, SIM_DROP_REQUEST, SIM_DROP_ANSWER, SIM_REFUSE };

struct sim;

/* Callbacks of a test; each may be NULL. */
struct sim_hooks {
	enum sim_fault (*request)(struct sim *s, const effect *fx);
	void (*written)(struct sim *s, const table_write *w);
	void (*started)(struct sim *s, unsigned job, struct sim_worker *w);
	void (*ended)(struct sim *s, unsigned job, struct sim_worker *w);
};

struct sim {
	struct sim_plan plan;
	struct sim_hooks hooks;
	void *arg; /* for the hooks */
	int64_t now;
	struct state *entries[SIM_ENTRIES];
	unsigned generation[SIM_ENTRIES]; /* number of the current process */
	struct sim_worker *workers;
	unsigned worker_count, pool_count, team_count;
	struct sim_job *jobs;
	size_t job_count;
	uint64_t counters[COUNTER_MAX];
	uint64_t reboots, checkpoints;
	op_reply reply; /* to the last operator's request, if replied */
	bool replied;
	struct sim_fakes *fakes; /* with the event queue */
};

struct sim *sim_new(const struct sim_plan *plan);
void sim_free(struct sim *s);
void sim_run(struct sim *s, int64_t ms);

/* Runs until done() returns true; returns false after ms milliseconds. */
bool sim_run_until(struct sim *s, bool (*done)(struct sim *s), int64_t ms);

/* Returns a random number below a bound. */
uint64_t sim_random(struct sim *s, uint64_t below);

/* Submits a job at an entry VM; returns its index in s->jobs. */
unsigned sim_submit(struct sim *s, unsigned entry, const struct sim_job *job);

/*
 * Sends an operator's request to an entry VM.  sim_operate() waits for the
 * reply, which is in s->reply, and returns its status, or OP_UNKNOWN after
 * 20 s; sim_operate_begin() doesn't wait.
 */
op_status sim_operate(struct sim *s, unsigned entry, const op_request *rq);
void sim_operate_begin(struct sim *s, unsigned entry, const op_request *rq);

/*
 * Sends an operator's request about a wave or a VM to the first entry VM that
 * is up, and waits for the reply.
 */
op_status sim_wave(struct sim *s, op_kind kind, const char *wave,
		   const char *pool, uint32_t deadline_ms);
op_status sim_vm(struct sim *s, op_kind kind, const char *vm, const char *pool,
		 uint32_t deadline_ms);

/* Returns the body of the last reply. */
json_t *sim_reply_json(const struct sim *s);

void sim_entry_kill(struct sim *s, unsigned entry);
void sim_entry_boot(struct sim *s, unsigned entry);
void sim_worker_kill(struct sim *s, struct sim_worker *w);
void sim_worker_boot(struct sim *s, struct sim_worker *w);
struct sim_worker *sim_worker_find(struct sim *s, bstr name);

/* Decodes a row of the table; returns false if there is no such row. */
bool sim_row_get(struct sim *s, const char *key, xdrproc_t proc, void *out,
		 size_t size);

#endif
