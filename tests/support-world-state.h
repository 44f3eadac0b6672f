/*
 * Inside of the small world: its state, and what its files offer each other.
 */
#ifndef SUPPORT_WORLD_STATE_H
#define SUPPORT_WORLD_STATE_H

#include "../json-read.h"
#include "../sched-state.h"
#include "support-world.h"

#include <stdlib.h>
#include <string.h>

#define WALL_BASE 1700000000000	 /* wall clock at time 0 */
#define ONE_WAY_MS 2		 /* one way between any two */
#define STORE_CLOCK_BASE 5000000 /* ms; the store's clock at time 0 */
#define TICK_MS 40
#define LEASE_MAX_MS 6000
#define STOP_MS 200
#define MAINTENANCE_MS 2000
#define NOTICE_MS 4500
#define CONFIG_APPLY_MS 2000
#define RUNS_MAX 64
#define ENDS_MAX 1024
#define ENDS_LISTED 500
#define ROWS_MAX 4096
#define CALLS_MAX 1024
#define NAMES_MAX 1024
#define TX_ENTRIES 100
#define TX_BYTES 1000000
#define CORES 16000
#define TASK_CPU 2000
#define QUEUE "q"
#define SERVICE "pool"
#define STANDBY "spare"
#define SECOND "pool2" /* of the other queue */
#define TENANT "org"
#define KEY "key"
/*
 * What callers may rely on: of the jobs that were accepted longer ago than
 * this and have not begun, at least one in so many is said to wait.
 */
#define WAITING_REPORT_MS 5000
#define WAITING_DIVISOR 2
/* The world's own questions for counts have calls from here on. */
#define COUNT_CALLS_FIRST (1ULL << 32)

struct world_row {
	enum table table;
	char *key;
	bstr value;
	uint64_t revision;
	bool removed;
	int worker; /* TABLE_WORKERS: whose */
};

struct world_run {
	char name[64];
	uint64_t run;
	int64_t ends_at; /* 0: it lasts */
	bool fails;
	int64_t stop_at;     /* 0: not stopping */
	unsigned started_by; /* that started it */
};

struct world_end {
	uint64_t number;
	char name[64];
	uint64_t run;
	enum end_kind kind;
	bool listed;	/* in a list that an owner was given */
	bool restarted; /* its task was started again since */
	bool lapsed;	/* the worker's lease was over since */
};

struct world_worker {
	unsigned life;
	int64_t born; /* simulated time */
	bool listed;
	bool draining;
	bool fails;
	int64_t down_until;
	uint64_t fence;
	int64_t lease_end; /* on its own clock */
	struct world_run runs[RUNS_MAX];
	unsigned run_count;
	struct world_end ends[ENDS_MAX];
	unsigned end_count;
	uint64_t last_end;
	uint64_t acked_end;
	struct {
		char name[64];
		uint64_t run;
	} closed[ENDS_MAX]; /* the highest run stopped or ended, by task */
	unsigned closed_count;
	unsigned starts;
};

struct world_vm {
	struct sched *sched;
	unsigned life;
	bool cut_store;
	enum world_store_mode store_mode;
	int64_t store_delay_ms;
	bool reads_stalled[TABLE_MAX]; /* its pages and its feed get no answer
					*/
	bool pages_stalled[TABLE_MAX]; /* its pages get none */
	bool cut_worker[WORLD_WORKERS_MAX];
	int64_t frozen_until;
	int64_t tick_at;
	double cores;
	bool exited;
};

/* Something that happens later: an ask arrives, or an answer. */
struct pending {
	TAILQ_ENTRY(pending) entry;
	int64_t at;
	uint64_t order;
	unsigned vm;
	unsigned life;
	unsigned worker_life;	     /* of a late order: it dies with it */
	struct sched_effect *effect; /* arrives at its target */
	struct sched_event *event;   /* arrives at the VM */
	bool unawaited;		     /* a write that nobody waits for */
	int64_t deadline;	     /* a feed or hold that waits */
};
TAILQ_HEAD(pending_list, pending);

struct task_record {
	char name[64];
	bool done_acked;
	bool ended_by_order;
	int64_t last_run_at; /* at work */
	unsigned runs;
};

struct world {
	int64_t now;
	uint64_t random;
	uint64_t order;
	unsigned vm_count;
	unsigned worker_count;
	struct world_vm vms[WORLD_VMS];
	struct world_worker *workers; /* worker_count */
	struct pending_list pending;
	struct pending_list waiting; /* feeds and holds */
	struct world_row rows[ROWS_MAX];
	unsigned row_count;
	uint64_t revision;
	uint64_t history_start; /* feeds from before are gone */
	enum world_store_mode store_mode;
	int64_t store_delay_ms;
	int64_t page_delay_ms[TABLE_MAX];
	int64_t feed_delay_ms[TABLE_MAX];
	unsigned page_rows;   /* 0: as many as are asked for */
	int64_t row_delay_ms; /* that a VM takes for a row of a page */
	unsigned late_percent;
	unsigned lost_starts_percent;
	int64_t order_delay_ms; /* starts and stops, on their way */
	unsigned ends_listed;	/* at a time */
	bool old_connections;
	enum refusal refusal; /* of all starts */
	int64_t limit;
	int64_t limit_before; /* in force until then */
	int64_t limit_until;
	bool has_key;
	bool needs_advice;
	bool has_standby_pool; /* there is a pool whose machines stand by */
	uint64_t config_version;
	struct {
		char id[JOB_ID_BYTES + 1];
		struct world_job job;
		int64_t stored_at; /* 0: its row is not in the store */
		bool over;	   /* cancelled or final, by the store */
		bool begun;	   /* a worker has begun a task of it */
	} jobs[CALLS_MAX];
	unsigned job_count;
	struct {
		int status;
		char text[32];
		uint32_t retry_after_s;
		uint64_t waiting;
	} calls[CALLS_MAX];
	uint64_t call_count;
	int64_t caller_timeout_ms; /* of callers */
	int64_t count_interval_ms; /* all VMs are asked so often; 0: not */
	int64_t next_count_at;
	uint64_t count_calls;
	unsigned counts_answered;
	unsigned counts_refused;
	struct task_record task_records[NAMES_MAX];
	unsigned task_record_count;
	unsigned starts;
	unsigned sender_life; /* of what is being dealt with */
	unsigned wave_machines;
	unsigned wave_maximum;
	unsigned machine_restarts[WORLD_WORKERS_MAX];
	uint64_t machine_epoch[WORLD_WORKERS_MAX]; /* the highest of an order */
	bool maintenance_busy; /* machines can't be maintained now */
	bool machines_silent;
	bool has_second_pool;
	const char *pools[WORLD_WORKERS_MAX]; /* of the machines */
	unsigned moves;
	bool maintained[WORLD_WORKERS_MAX];
	int64_t maintained_until[WORLD_WORKERS_MAX];
	char violation[256];
};

/* support-world.c */
void world_report_violation(struct world *w, const char *what,
			    const char *task);
struct task_record *world_task_record(struct world *w, const char *name);
int world_job_number(const struct world *w, const char *name);
const struct world_job *world_job_of(const struct world *w, const char *name);
bstr world_worker_id(const struct world *w, unsigned i);
int64_t world_worker_now(const struct world *w, unsigned i);
bool world_job_is_cancelled(const struct world *w, const char *name);
struct pending *world_pending_add(struct world *w, struct pending_list *list,
				  int64_t at, unsigned vm);
struct sched_event *world_answer_make(const struct sched_effect *fx,
				      enum outcome outcome, int64_t sent_at);
void world_answer_send(struct world *w, unsigned vm, struct sched_event *ev,
		       int64_t at);
void world_answer_timeout(struct world *w, unsigned vm,
			  struct sched_effect *fx);

/* support-world-store.c */
struct world_row *world_row_get(struct world *w, enum table table,
				const char *key);
void world_row_write(struct world *w, enum table table, const char *key,
		     int worker);
void world_feeds_wake(struct world *w);
bool world_tx_apply(struct world *w, const struct tx *t);
void world_store_receive(struct world *w, unsigned vm, struct sched_effect *fx);

/* support-world-worker.c */
void world_worker_step(struct world *w, unsigned n);
void world_end_check(struct world *w, const char *task, const char *what);
void world_holds_wake(struct world *w);
enum refusal world_order_apply(struct world *w, unsigned vm, unsigned n,
			       const struct ask *ask);
void world_worker_receive(struct world *w, unsigned vm,
			  struct sched_effect *fx);

/* support-world-machine.c */
void world_worker_restart(struct world *w, unsigned n, int64_t down_ms);
void world_machine_restart(struct world *w, unsigned n, int64_t down_ms);
void world_machine_receive(struct world *w, unsigned vm,
			   struct sched_effect *fx);

#endif
