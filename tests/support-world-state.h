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
#define WAY_MS 2		 /* one way between any two */
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
#define WAITING_KNOWN_MS 5000
#define WAITING_SHARE 2
/* The world's own questions for counts have calls from here on. */
#define COUNT_CALLS (1ULL << 32)

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
	int64_t stop_at; /* 0: not stopping */
	unsigned vm;	 /* that started it */
};

struct world_end {
	uint64_t number;
	char name[64];
	uint64_t run;
	enum end_kind how;
	bool told;	/* in a list that an owner was given */
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
	uint64_t acked;
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
	enum world_store_mode store;
	int64_t slow_ms;
	bool stalled[TABLE_MAX]; /* its pages and its feed get no answer */
	bool blind[TABLE_MAX];	 /* its pages get none */
	bool cut_worker[WORLD_WORKERS_MAX];
	int64_t frozen_until;
	int64_t tick_at;
	double cores;
	bool ended;
};

/* Something that happens later: an ask arrives, or an answer. */
struct pending {
	TAILQ_ENTRY(pending) entry;
	int64_t at;
	uint64_t order;
	unsigned vm;
	unsigned life;
	unsigned worker_life;	    /* of a late order: it dies with it */
	struct sched_effect *ask;   /* arrives at its target */
	struct sched_event *answer; /* arrives at the VM */
	bool late;		    /* a write that nobody waits for */
	int64_t give_up_at;	    /* a feed or hold that waits */
};
TAILQ_HEAD(pending_list, pending);

struct task_note {
	char name[64];
	bool done_acked;
	bool ended_by_order;
	int64_t seen_at; /* at work */
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
	uint64_t floor; /* feeds from before are gone */
	enum world_store_mode store;
	int64_t slow_ms;
	int64_t pages_slow_ms[TABLE_MAX];
	int64_t feed_slow_ms[TABLE_MAX];
	unsigned page_rows; /* 0: as many as are asked for */
	int64_t row_ms;	    /* that a VM takes for a row of a page */
	unsigned late_percent;
	unsigned vanish_percent;
	int64_t orders_slow_ms; /* starts and stops, on their way */
	unsigned ends_listed;	/* at a time */
	bool old_connections;
	enum refusal refusal; /* of all starts */
	int64_t limit;
	int64_t limit_before; /* in force until then */
	int64_t limit_until;
	bool keyed;
	bool advised;
	bool standby; /* there is a pool whose machines stand by */
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
	int64_t patience_ms;	/* of callers */
	int64_t count_every_ms; /* all VMs are asked so often; 0: not */
	int64_t count_at;
	uint64_t count_calls;
	unsigned counts_told;
	unsigned counts_refused;
	struct task_note notes[NAMES_MAX];
	unsigned note_count;
	unsigned starts;
	unsigned asker_life; /* of what is being dealt with */
	unsigned wave_machines;
	unsigned wave_maximum;
	unsigned taken_times[WORLD_WORKERS_MAX];
	uint64_t machine_epoch[WORLD_WORKERS_MAX]; /* the highest of an order */
	bool busy; /* machines can't be maintained now */
	bool machines_silent;
	bool second;
	const char *pools[WORLD_WORKERS_MAX]; /* of the machines */
	unsigned moves;
	bool maintained[WORLD_WORKERS_MAX];
	int64_t maintained_until[WORLD_WORKERS_MAX];
	char broken[256];
};

/* support-world.c */
void world_break_promise(struct world *w, const char *what, const char *task);
struct task_note *world_note_of(struct world *w, const char *name);
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
void world_answer_none(struct world *w, unsigned vm, struct sched_effect *fx);

/* support-world-store.c */
struct world_row *world_row_get(struct world *w, enum table table,
				const char *key);
void world_row_write(struct world *w, enum table table, const char *key,
		     int worker);
void world_feeds_wake(struct world *w);
bool world_tx_apply(struct world *w, const struct tx *t);
void world_store_take(struct world *w, unsigned vm, struct sched_effect *fx);

/* support-world-worker.c */
void world_worker_step(struct world *w, unsigned n);
void world_end_check(struct world *w, const char *task, const char *what);
void world_holds_wake(struct world *w);
enum refusal world_order_apply(struct world *w, unsigned vm, unsigned n,
			       const struct ask *ask);
void world_worker_take(struct world *w, unsigned vm, struct sched_effect *fx);

/* support-world-machine.c */
void world_worker_restart(struct world *w, unsigned n, int64_t down_ms);
void world_machine_restart(struct world *w, unsigned n, int64_t down_ms);
void world_machine_take(struct world *w, unsigned vm, struct sched_effect *fx);

#endif
