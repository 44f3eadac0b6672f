/*
 * A small world for the scheduler: several entry VMs, a store, workers and
 * machines on a simulated clock, with the platform's rules for fences,
 * leases, ends, revisions and orders that are carried out late.  It checks
 * after each event what must always hold, from the workers' own truth.
 */
#ifndef SUPPORT_WORLD_H
#define SUPPORT_WORLD_H

#include "scheduler.h"

#ifdef __cplusplus
extern "C" {
#endif

#define WORLD_VMS 4
#define WORLD_WORKERS 6 /* as a rule */
#define WORLD_WORKERS_MAX 1100

enum world_store_mode {
	WORLD_STORE_OK,
	WORLD_STORE_NO_ANSWER,	   /* nothing is done and nothing answered */
	WORLD_STORE_REFUSES,	   /* nothing is done, and said so */
	WORLD_STORE_LOSES_ANSWERS, /* writes are done and not answered */
	WORLD_STORE_LATE /* writes are done seconds later and not answered */
};

struct world_job {
	unsigned tasks;	     /* of the first step */
	unsigned more_tasks; /* of a second step after it; 0: none */
	unsigned task_ms;
	unsigned failures; /* first runs of each task that fail */
	bool long_running;
	unsigned anti_affinity;
	unsigned may_miss;
	bool second_queue; /* to the queue of the second pool */
};

struct world;
struct world *world_new(uint64_t seed, unsigned vms, unsigned workers);
void world_free(struct world *w);
void world_run(struct world *w, int64_t ms);

/* Callers.  A call's status is 0 until it is answered. */
uint64_t world_submit(struct world *w, unsigned vm, const char *id,
		      const struct world_job *job);
uint64_t world_call(struct world *w, unsigned vm, enum call_verb verb,
		    const char *id);
void world_set_caller_timeout(struct world *w, int64_t ms); /* of callers */
int world_call_status(const struct world *w, uint64_t call);
const char *world_call_text(const struct world *w, uint64_t call);
uint32_t world_call_retry_after(const struct world *w,
				uint64_t call); /* seconds */
uint64_t world_call_waiting(const struct world *w, uint64_t call);

/*
 * The world asks all VMs how many jobs of the queue wait.  Whoever asks, an
 * answer that tells less than half of what waits is a broken promise.
 */
void world_poll_counts(struct world *w, int64_t every_ms); /* 0: no more */
unsigned world_counts_answered(const struct world *w);
unsigned world_counts_refused(const struct world *w);

/* Faults. */
void world_kill_vm(struct world *w, unsigned vm);
void world_start_vm(struct world *w, unsigned vm);
void world_stop_vm(struct world *w, unsigned vm);	      /* planned */
void world_set_cores(struct world *w, unsigned vm, double n); /* once started */
void world_freeze_vm(struct world *w, unsigned vm, int64_t ms);
void world_cut_store(struct world *w, unsigned vm, bool cut);
void world_cut_worker(struct world *w, unsigned vm, unsigned worker, bool cut);
void world_set_store_mode(struct world *w, enum world_store_mode mode);
void world_set_vm_store_mode(struct world *w, unsigned vm,
			     enum world_store_mode mode);
void world_set_store_delay(struct world *w, int64_t ms); /* each answer */
void world_set_vm_store_delay(struct world *w, unsigned vm, int64_t ms);
void world_stall_reads(struct world *w, unsigned vm, enum table table,
		       bool stalled);
void world_set_page_rows(struct world *w,
			 unsigned rows);     /* at most; 0: as asked */
void world_compact_history(struct world *w); /* the feeds' history goes */
void world_set_page_delay(struct world *w, enum table table, int64_t ms);
void world_set_feed_delay(struct world *w, enum table table, int64_t ms);
void world_set_row_delay(struct world *w, int64_t ms);
void world_stall_pages(struct world *w, unsigned vm, enum table table,
		       bool blind);
void world_unlist_worker(struct world *w, unsigned worker,
			 bool gone); /* its row */
void world_crash_worker(struct world *w,
			unsigned worker); /* new life, same id */
void world_replace_worker(struct world *w, unsigned worker); /* new id */
void world_set_maintenance_busy(struct world *w,
				bool busy); /* no maintenance now */
void world_silence_machines(struct world *w, bool silent);
void world_drain_worker(struct world *w, unsigned worker);
void world_set_late_orders(struct world *w,
			   unsigned percent); /* orders done late */
void world_set_lost_starts(struct world *w,
			   unsigned percent);		 /* starts are lost */
void world_set_order_delay(struct world *w, int64_t ms); /* on their way */
void world_old_connections(struct world *w); /* as old as the workers */
void world_set_ends_listed(struct world *w, unsigned most);
void world_refuse_starts(struct world *w, enum refusal why); /* all workers */
void world_fail_tasks(struct world *w, unsigned worker, bool fail);
void world_set_limit(struct world *w, int64_t cpu); /* of the organisation */
void world_start_wave(struct world *w, unsigned machines, unsigned maximum);
void world_add_standby_pool(struct world *w,
			    unsigned machines); /* before it runs */
void world_add_second_pool(struct world *w, unsigned machines); /* likewise */
void world_set_key(struct world *w, bool given); /* the organisation's key */
void world_require_advice(
	struct world *w); /* starts need tickets; even workers */

/* What there is to see. */
int world_owner(const struct world *w); /* who acts; -1: nobody */
unsigned world_epoch(struct world *w);
unsigned world_starts(const struct world *w); /* that workers carried out */
unsigned world_starts_of(const struct world *w, unsigned worker);
unsigned world_maintained_count(
	const struct world *w);			  /* machines maintained */
unsigned world_move_count(const struct world *w); /* of machines */
unsigned world_home_size(
	struct world *w); /* size of the pool, as noted; 0: not */
bool world_wave_is_completed(const struct world *w);
const char *world_job_state(struct world *w, const char *id); /* by the store */
const char *world_violation(
	const struct world *w); /* NULL: all promises kept */
struct sched *world_sched(struct world *w, unsigned vm);

#ifdef __cplusplus
}
#endif
#endif
