/*
 * A fleet of any size on a clock of its own, for the tests of waves and of
 * the queue and for the policy bench: reducers as entry VMs, and small fakes
 * at their interfaces.  No network or platform is modelled beyond a fixed
 * delay and the faults that a hook asks for; leases of tasks don't lapse.
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
/* What a fleet is made of; pools are p0, p1, ..., teams t0, t1, ... */
struct sim_plan {
	uint64_t seed;
	unsigned entries, dcs, slots, per_rack;
	bool interleaved; /* racks, in the order of the names */
	struct sim_pool pools[SIM_POOLS];
	struct sim_team teams[SIM_TEAMS];
	int64_t reboot_ms;
	int tick_ms;
};

struct sim_task;
struct sim_worker {
	char name[16];
	char pool[16]; /* the table's truth: the pool, and how it is */
	char dc[16];
	char rack[16];
	vm_state state;
	bool up, never_returns;
	int64_t down_at; /* when it last ended */
	unsigned boot, reboots, kills;
	unsigned running;
	uint64_t seq;
	struct sim_task *tasks;
	uint64_t epochs[SIM_POOLS];
	struct sim_watch *watches;
};
struct sim_job {
	unsigned team, pool, label;
	bool urgent;
	bool claimed; /* answered 202 as soon as it is durable */
	int64_t run_ms, declared_ms;
	int64_t submitted_at, began_at, ended_at; /* 0: not yet */
	unsigned starts, http_status;
	job_state state;
	int64_t total_run_ms; /* in all, also what was lost */
};
/* What becomes of a request to the platform. */
enum sim_fault { SIM_NO_FAULT, SIM_DROP_REQUEST, SIM_DROP_ANSWER, SIM_REFUSE };

struct sim;
struct sim_hooks {
	enum sim_fault (*request)(struct sim *s, const effect *fx);
	void (*written)(struct sim *s, const table_write *w);
	void (*began)(struct sim *s, unsigned job, struct sim_worker *w);
	void (*ended)(struct sim *s, unsigned job, struct sim_worker *w);
};
struct sim {
	struct sim_plan plan;
	struct sim_hooks hooks;
	void *arg; /* the hooks' */
	int64_t now;
	struct state *entries[SIM_ENTRIES];
	unsigned generation[SIM_ENTRIES];
	struct sim_worker *workers;
	unsigned worker_count, pool_count, team_count;
	struct sim_job *jobs;
	size_t job_count;
	uint64_t counters[COUNTER_MAX];
	uint64_t reboots, checkpoints;
	op_reply reply;
	bool replied;
	struct sim_fabric *fabric;
};

struct sim *sim_new(const struct sim_plan *plan);
void sim_free(struct sim *s);
void sim_run(struct sim *s, int64_t ms);
/* Run until a condition holds; false after so long. */
bool sim_run_until(struct sim *s, bool (*done)(struct sim *s), int64_t ms);
uint64_t sim_random(struct sim *s, uint64_t below);
unsigned sim_submit(struct sim *s, unsigned entry, const struct sim_job *job);
/* Ask as an operator; the reply is in s->reply. */
op_status sim_operate(struct sim *s, unsigned entry, const op_request *rq);
void sim_operate_begin(struct sim *s, unsigned entry, const op_request *rq);
op_status sim_wave(struct sim *s, op_kind kind, const char *wave,
		   const char *pool, uint32_t deadline_ms);
op_status sim_vm(struct sim *s, op_kind kind, const char *vm, const char *pool,
		 uint32_t deadline_ms);
json_t *sim_reply_json(const struct sim *s); /* the reply's body */
void sim_entry_kill(struct sim *s, unsigned entry);
void sim_entry_boot(struct sim *s, unsigned entry);
void sim_worker_kill(struct sim *s, struct sim_worker *w);
void sim_worker_boot(struct sim *s, struct sim_worker *w);
struct sim_worker *sim_worker_find(struct sim *s, bstr name);
/* A row of the table, decoded; false if it is not there. */
bool sim_row_get(struct sim *s, const char *key, xdrproc_t proc, void *out,
		 size_t size);
#endif
