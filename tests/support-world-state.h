/*
 * The state of the simulated world, and the functions that the files of
 * support-world share.
 */
#ifndef SUPPORT_WORLD_STATE_H
#define SUPPORT_WORLD_STATE_H

#include "../json-read.h"
#include "../sched-state.h"
#include "support-world.h"

#include <stdlib.h>
#include <string.h>

#define WALL_BASE 1700000000000	 /* ms; wall clock at time 0 */
#define ONE_WAY_MS 2		 /* network delay in one direction */
#define STORE_CLOCK_BASE 5000000 /* ms; store's clock at time 0 */
#define TICK_MS 40
#define LEASE_MAX_MS 6000 /* default of world.lease_max_ms */
/*
 * The clock of a worker's first process begins at a value below
 * CLOCK_BASE_MAX_MS, that of each later one at least CLOCK_BEHIND_MS behind the
 * one before, and less than twice as much.
 */
#define CLOCK_BASE_MAX_MS 8000000
#define CLOCK_BEHIND_MS 60000
#define STOP_MS 200
/* A late order is carried out at least and less than this much later. */
#define LATE_ORDER_MIN_MS 2000
#define LATE_ORDER_RANGE_MS 10000
/* A worker's clock may be slow by at most CLOCK_SLOW_MAX of CLOCK_PARTS. */
#define CLOCK_PARTS 10000
#define CLOCK_SLOW_MAX 200
#define MAINTENANCE_MS 2000
#define SLOW_MACHINES_MS 1400
#define LATE_MACHINES_MS 6000
#define LATE_UPKEEP_MS 2000
#define NOTICE_MS 4500
#define CONFIG_APPLY_MS 2000
#define CONTACT_MS 3000		 /* until a reduced capacity counts */
#define WORKER_HEARTBEAT_MS 1000 /* and this much longer */
/*
 * A task under which this many workers have crashed may be started again at
 * most LATE_STARTS_MAX times, and only a task under which this many have
 * crashed, one of them while it ran alone there, may be given up.
 */
#define POISON_CRASHES 3
#define LATE_STARTS_MAX 2
#define ATTEMPTS 3 /* of a task, in the configuration */

#define RUNS_MAX 64
#define ENDS_MAX 1024
#define ENDS_LISTED 500 /* default of world.ends_listed */
#define ROWS_MAX 4096
#define CALLS_MAX 1024
#define NAMES_MAX 1024
#define ADVICE_WORKERS 100 /* most in a request */
#define ADVICE_VALID_MS 1000
#define ADVICE_WAITING 32 /* requests that are told apart */
#define TX_ENTRIES 100
#define TX_BYTES 1000000
#define ROW_BYTES 65536	  /* of a row's value, as base64 */
#define LOG_NUMBERS 10000 /* log events have lower numbers */

#define CORES 16000   /* thousandths; capacity of a worker */
#define TASK_CPU 2000 /* thousandths; need of a task */

/* Names in the configuration. */
#define QUEUE "q"
#define SERVICE "pool"	     /* pool of QUEUE */
#define STANDBY "spare"	     /* pool of standby machines */
#define SECOND "pool2"	     /* pool of the second queue */
#define EVACUATE "evacuate/" /* key of the operator's row, before its dc */
#define TENANT "org"
#define KEY "key"
#define OTHER_TENANT "other"
#define OTHER_KEY "other-key"

/*
 * The guarantee for counts of waiting jobs: a VM reports at least one in
 * WAITING_DIVISOR of the jobs that were accepted more than WAITING_REPORT_MS
 * ago and haven't started.
 */
#define WAITING_REPORT_MS 5000
#define WAITING_DIVISOR 2

/* First call id of the requests that world_poll_counts() causes. */
#define COUNT_CALLS_FIRST (1ULL << 32)

struct world_row {
	enum table table;
	unsigned part;
	char *key;
	bstr value;
	uint64_t revision;
	bool removed;
	int worker; /* in TABLE_WORKERS: index of the worker */
};

/* A run of a task on a worker. */
struct world_run {
	char name[64];
	uint64_t run;
	int64_t ends_at; /* 0: doesn't end by itself */
	bool fails;
	int64_t stop_at;     /* 0: not stopping */
	unsigned started_by; /* entry VM */
	int64_t crash_at;    /* it crashes its worker then; 0: never */
};

/* The end of a run, which a worker lists until it is acknowledged. */
struct world_end {
	uint64_t number;
	char name[64];
	uint64_t run;
	enum end_kind kind;
	bool listed;	/* in a list that was sent to an owner */
	bool restarted; /* the task was started again since */
	bool lapsed;	/* the worker's lease has expired since */
};

struct world_worker {
	unsigned generation; /* number of the current process */
	int64_t started_at;  /* start of the process in simulated time */
	int64_t clock_base;  /* its clock at that time */
	unsigned slow;	     /* of its clock, in 1/CLOCK_PARTS of the time */
	bool listed;
	bool draining;
	bool fails; /* all tasks */
	int64_t down_until;
	uint64_t fence;	   /* highest epoch of an order */
	int64_t lease_end; /* on the worker's clock */
	struct world_run runs[RUNS_MAX];
	unsigned run_count;
	struct world_end ends[ENDS_MAX];
	unsigned end_count;
	uint64_t last_end;
	uint64_t acked_end;
	/* Ended or stopped runs; older starts of their tasks are refused. */
	struct {
		char name[64];
		uint64_t run;
	} closed[ENDS_MAX];
	unsigned closed_count;
	unsigned starts;
	int64_t capacity;  /* thousandths of a core */
	int64_t shrunk_at; /* when capacity was reduced last; 0: never */
	int64_t new_id_at; /* a new id is listed then; 0: never */
};

/* An entry VM. */
struct world_vm {
	struct sched *sched; /* NULL: not running */
	unsigned generation; /* number of the current process */
	bool cut_store;
	enum world_store_mode store_mode;
	int64_t store_delay_ms;
	int64_t store_way_ms;	       /* of its requests to the store */
	bool reads_stalled[TABLE_MAX]; /* no answers to pages and feeds */
	bool pages_stalled[TABLE_MAX]; /* no answers to pages */
	bool cut_worker[WORLD_WORKERS_MAX];
	int64_t inbox_delay_ms; /* of answers that aren't the store's */
	int64_t inbox_at;	/* the latest of them is processed then */
	int64_t frozen_until;
	int64_t tick_at;
	double cores;
	bool exited;
	int64_t worker_delay_ms; /* of workers' answers to it */
	int64_t wall_step_ms;	 /* of its wall clock */
};

/* A message in flight, or a long poll at its target. */
struct pending {
	TAILQ_ENTRY(pending) entry;
	int64_t at;
	uint64_t order;
	unsigned vm;
	unsigned generation;	     /* UINT32_MAX: a late order to a worker */
	unsigned worker_generation;  /* process that got the order or poll */
	struct sched_effect *effect; /* a request; NULL for an answer */
	struct sched_event *event; /* an answer to the VM; NULL for a request */
	bool is_late_write;	   /* its answer has timed out already */
	bool is_late_machine_order; /* likewise */
	bool waits_in_inbox;	    /* an answer that isn't the store's */
	int64_t deadline;	    /* of a long poll */
};
TAILQ_HEAD(pending_list, pending);

/* What the world knows of a task, to check the invariants. */
struct task_record {
	char name[64];
	bool done_acked;
	bool ended_by_order; /* by a stop, or by maintenance of its machine */
	int64_t last_run_at; /* last time it was seen running */
	unsigned runs;
	unsigned failed_runs;
	unsigned crashes;	/* of workers that ran it */
	unsigned crashes_alone; /* of them, while nothing else ran there */
	unsigned late_starts;	/* after POISON_CRASHES crashes under it */
	bool checkpointed;	/* a list had its checkpoint */
};

struct world {
	int64_t now;
	uint64_t random;
	uint64_t clock_random; /* for the workers' clocks */
	uint64_t order;
	unsigned vm_count;
	unsigned worker_count;
	struct world_vm vms[WORLD_VMS];
	struct world_worker *workers; /* worker_count */
	struct pending_list pending;
	struct pending_list waiting; /* long polls of store and workers */
	struct world_row rows[ROWS_MAX];
	unsigned row_count;
	uint64_t revision;
	uint64_t history_start; /* feeds can't start at an older revision */
	enum world_store_mode store_mode;
	int64_t store_delay_ms;
	int64_t page_delay_ms[TABLE_MAX];
	int64_t feed_delay_ms[TABLE_MAX];
	unsigned page_rows;    /* rows of a page; 0: no limit */
	int64_t row_delay_ms;  /* that a VM spends on each row it reads */
	unsigned late_percent; /* orders that are carried out late */
	bool polls_are_late;
	int64_t poll_answer_delay_ms; /* starts' answers overtake them */
	unsigned lost_starts_percent;
	bool start_answers_lost;
	bool outcomes_lost[ASK_MOVE + 1]; /* requests are lost, and the VM is
					   * not told of a timeout either */
	int64_t order_delay_ms;		  /* of starts and stops */
	unsigned ends_listed;  /* most ends in one answer of a worker */
	bool old_connections;  /* timeouts report an old connection */
	int64_t keep_ms;       /* retention of final jobs */
	bool polls_reset;      /* when their worker restarts */
	bool late_orders_kept; /* a restart doesn't discard late orders */
	enum refusal refusal;  /* answer to all starts */
	int64_t limit;
	int64_t limit_before; /* may be in force until limit_until */
	int64_t limit_until;
	bool has_key;
	bool has_other_organisation;
	bool needs_advice;
	bool advised_is_set; /* else workers with an even index are good */
	unsigned advised_first;
	unsigned advised_end;
	int64_t advice_ms; /* for each worker in a request */
	unsigned advice_calls;
	unsigned advice_waiting_max;
	/* When the latest requests of each VM are done, the first one last. */
	int64_t advice_done_at[WORLD_VMS][ADVICE_WAITING];
	bool has_standby_pool; /* a pool of standby machines */
	uint64_t config_version;
	struct {
		char id[JOB_ID_BYTES + 1];
		struct world_job job;
		int64_t stored_at; /* 0: no row in the store */
		bool over;    /* cancelled or final, according to the store */
		bool started; /* a worker has started a task of it */
	} jobs[CALLS_MAX];
	unsigned job_count;
	struct {
		int status;
		char text[32];
		uint32_t retry_after_s;
		uint64_t waiting;
	} calls[CALLS_MAX];
	uint64_t call_count;
	int64_t caller_timeout_ms;
	int64_t count_interval_ms; /* 0: VMs aren't asked for counts */
	int64_t next_count_at;
	uint64_t count_calls;
	unsigned counts_answered;
	unsigned counts_refused;
	struct task_record task_records[NAMES_MAX];
	unsigned task_record_count;
	unsigned starts;
	unsigned starts_anew; /* without the checkpoint that was listed */
	size_t row_bytes;     /* of a row's value, as base64 */
	int64_t lease_max_ms; /* of a worker's lease */
	bool clocks_behind;   /* see world_set_clocks_behind() */
	char refused_progress[JOB_ID_BYTES + 1]; /* a job's; "": none */
	unsigned sender_generation; /* of the VM whose message is handled */
	unsigned wave_machines;
	unsigned wave_maximum;
	int64_t evacuated_at[WORLD_DCS + 1]; /* 0: it isn't; the last is of an
					      * unknown data centre */
	unsigned machine_restarts[WORLD_WORKERS_MAX];
	unsigned workers_at[WORLD_WORKERS_MAX]; /* worker at each address, and
						 * the reverse: only pairs
						 * are exchanged */
	uint64_t machine_epoch[WORLD_WORKERS_MAX]; /* highest of an order */
	int64_t machine_order_at[WORLD_VMS]; /* the latest of each; 0: none */
	enum world_machine_mode machine_mode;
	bool has_second_pool;
	bool route_is_removed;
	bool organisation_is_removed;
	bool route_is_moved; /* the first queue's route names the second pool */
	bool unguarded;	     /* workers start tasks above their capacity */
	enum world_crash_mode crash_mode;
	int64_t crash_down_ms;
	const char *pools[WORLD_WORKERS_MAX]; /* of each machine */
	enum world_machine_presence presence[WORLD_WORKERS_MAX];
	unsigned moves;
	bool maintained[WORLD_WORKERS_MAX];
	int64_t maintained_until[WORLD_WORKERS_MAX];
	int64_t machine_up_at[WORLD_WORKERS_MAX]; /* after a call */
	unsigned log_counts[LOG_NUMBERS];	  /* by the event's number */
	char violation[256];
};

/* support-world.c */

/* Records a violated invariant, unless there is one already. */
void world_report_violation(struct world *w, const char *what,
			    const char *task);

struct task_record *world_task_record(struct world *w, const char *name);

/* Look up a job by the id that a job's or task's name begins with. */
int world_job_number(const struct world *w, const char *name);
const struct world_job *world_job_of(const struct world *w, const char *name);

bstr world_worker_id(const struct world *w, unsigned i);

/* Returns the time on a worker's clock. */
void world_clock_begin(struct world *w, struct world_worker *k, int64_t before);
int64_t world_worker_now(const struct world *w, unsigned i);

bool world_job_is_cancelled(const struct world *w, const char *name);

/* Adds a message to a list, which is sorted by time. */
struct pending *world_pending_add(struct world *w, struct pending_list *list,
				  int64_t at, unsigned vm);

/* Makes the answer to a request; world_answer_send() sends it. */
struct sched_event *world_answer_make(const struct sched_effect *fx,
				      enum outcome outcome, int64_t sent_at);
void world_answer_send(struct world *w, unsigned vm, struct sched_event *ev,
		       int64_t at);

/* Sends an answer of a worker or about a machine: it waits in the inbox. */
void world_inbox_send(struct world *w, unsigned vm, struct sched_event *ev,
		      int64_t at);

/* Lets a request time out at the VM: its outcome is unknown. */
void world_answer_timeout(struct world *w, unsigned vm,
			  struct sched_effect *fx);

/* support-world-store.c */
struct world_row *world_row_get(struct world *w, enum table table,
				const char *key);
void world_row_write(struct world *w, enum table table, const char *key,
		     int worker);

void world_feeds_wake(struct world *w);

/* Applies a transaction; returns false on a conflict. */
bool world_tx_apply(struct world *w, const struct tx *t);

void world_store_receive(struct world *w, unsigned vm, struct sched_effect *fx);

/* support-world-worker.c */

void world_worker_step(struct world *w, unsigned n);
void world_end_check(struct world *w, const char *task, const char *what);

void world_polls_wake(struct world *w);

/* Ends a worker's process; what ran there counts the crash. */
void world_worker_crash(struct world *w, unsigned n, int64_t down_ms);

/* Crashes a worker whose time for that has come, and lists a new id of it. */
void world_crash_step(struct world *w, unsigned n);

/* Checks that a worker that an owner logs as lost runs nothing. */
void world_lost_check(struct world *w, const char *text);

/* Checks that a job which is stored as failed has a reason to be. */
void world_failed_check(struct world *w, const char *id);

/* Returns true if the advice service names a worker. */
bool world_worker_is_advised(const struct world *w, unsigned n);

/* Returns the index of the worker at an address. */
unsigned world_worker_at(const struct world *w, bstr address);

enum refusal world_order_apply(struct world *w, unsigned vm, unsigned n,
			       const struct ask *ask);
void world_worker_receive(struct world *w, unsigned vm,
			  struct sched_effect *fx);

/* support-world-machine.c */

/* Starts a new process of a worker, which has lost all its runs. */
void world_worker_restart(struct world *w, unsigned n, int64_t down_ms);

void world_machine_restart(struct world *w, unsigned n, int64_t down_ms);
void world_machine_receive(struct world *w, unsigned vm,
			   struct sched_effect *fx);

/* Carries out an order about a machine, unless it has been. */
void world_machine_apply(struct world *w, const struct ask *ask);

#endif
