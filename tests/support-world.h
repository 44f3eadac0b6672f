/*
 * A simulation for tests of the scheduler: several entry VMs, a store, workers
 * and machines on a simulated clock, with the platform's rules for fencing,
 * leases, ends of tasks, revisions and orders that are carried out late.  It
 * checks the invariants after each event, against the state of the simulated
 * workers.
 */
#ifndef SUPPORT_WORLD_H
#define SUPPORT_WORLD_H

#include "scheduler.h"

#ifdef __cplusplus
extern "C" {
#endif

#define WORLD_VMS 4
#define WORLD_WORKERS 6 /* in most tests */
#define WORLD_WORKERS_MAX 1100
#define WORLD_DCS 3
#define WORLD_EVACUATION_MS 5000 /* until nothing starts there */

/* How the store treats requests. */
enum world_store_mode {
	WORLD_STORE_OK,
	WORLD_STORE_NO_ANSWER,	   /* does nothing, doesn't answer */
	WORLD_STORE_REFUSES,	   /* does nothing, answers a refusal */
	WORLD_STORE_LOSES_ANSWERS, /* does writes, doesn't answer them */
	WORLD_STORE_LATE /* does writes 0.5 to 3.5 s later, doesn't answer */
};

/* How the platform treats orders about machines. */
enum world_machine_mode {
	WORLD_MACHINES_OK,
	WORLD_MACHINES_SLOW,	     /* does them, answers 1.4 s later */
	WORLD_MACHINES_SILENT,	     /* does nothing, doesn't answer */
	WORLD_MACHINES_LOSE_ANSWERS, /* does them, doesn't answer */
	WORLD_MACHINES_LATE,	     /* does them 6 s later, doesn't answer */
	WORLD_UPKEEP_LATE,     /* does maintenance 2 s later, doesn't answer */
	WORLD_MACHINES_CLOSE,  /* does them, closes the connection at once */
	WORLD_MACHINES_UP,     /* does them, refuses as busy while not up */
	WORLD_MACHINES_BUSY,   /* does nothing, refuses as busy */
	WORLD_MACHINES_FALSE,  /* does nothing, answers as if it had */
	WORLD_MACHINES_INVALID /* does nothing, knows no such machine */
};

struct world_job {
	unsigned tasks;	     /* in the first step */
	unsigned more_tasks; /* in a second step after it; 0: no such step */
	unsigned task_ms;
	unsigned failures;	 /* the first runs of each task that fail */
	bool long_running;	 /* tasks don't end by themselves */
	unsigned max_per_worker; /* tasks of a step; 0: no limit */
	unsigned may_miss; /* tasks that planned work may have away at once */
	bool second_queue; /* submitted to the queue of the second pool */
	bool crashes;	   /* its first task crashes each worker that runs it */
	unsigned crash_ms; /* after its start */
	bool other_organisation;   /* submitted by that; see
				    * world_add_organisation() */
	unsigned cpu;		   /* of a task, in thousandths; 0: 2000 */
	bool gang;		   /* its tasks start together */
	unsigned checkpoint_bytes; /* of each task's checkpoint; 0: none */
};

struct world;

/* Makes a world with a configuration and workers, and starts its entry VMs. */
struct world *world_new(uint64_t seed, unsigned vms, unsigned workers);
void world_free(struct world *w);
void world_run(struct world *w, int64_t ms);

/*
 * Callers.  A call is a request to an entry VM; its status is 0 until it is
 * answered.
 */
uint64_t world_submit(struct world *w, unsigned vm, const char *id,
		      const struct world_job *job);
uint64_t world_call(struct world *w, unsigned vm, enum call_verb verb,
		    const char *id);

/* Sets the deadline of later calls. */
void world_set_caller_timeout(struct world *w, int64_t ms);
int world_call_status(const struct world *w, uint64_t call);
const char *world_call_text(const struct world *w, uint64_t call);

/* Returns the delay in seconds that the answer asks for; 0: none. */
uint32_t world_call_retry_after(const struct world *w, uint64_t call);

/* Returns the count of waiting jobs in the answer. */
uint64_t world_call_waiting(const struct world *w, uint64_t call);

/*
 * Asks all VMs at an interval how many jobs of the queue wait; 0 stops that.
 * An answer to any call with less than half of the waiting jobs violates an
 * invariant.
 */
void world_poll_counts(struct world *w, int64_t interval_ms);
unsigned world_counts_answered(const struct world *w);
unsigned world_counts_refused(const struct world *w);

/* Entry VMs: processes that end, start, stop as planned or stand still. */
void world_kill_vm(struct world *w, unsigned vm);
void world_start_vm(struct world *w, unsigned vm);
void world_stop_vm(struct world *w, unsigned vm);
void world_freeze_vm(struct world *w, unsigned vm, int64_t ms);

/* Sets the number of cores of a VM's next process. */
void world_set_cores(struct world *w, unsigned vm, double n);

/* Steps a VM's wall clock, forward or back. */
void world_step_wall(struct world *w, unsigned vm, int64_t ms);

/* Cut a VM off from the store or from a worker, or reconnect it. */
void world_cut_store(struct world *w, unsigned vm, bool cut);
void world_cut_worker(struct world *w, unsigned vm, unsigned worker, bool cut);

/* The same for the first workers, and one VM or all. */
void world_cut_workers(struct world *w, unsigned vm, unsigned workers,
		       bool cut);
void world_cut_workers_of_all(struct world *w, unsigned workers, bool cut);

/* Cuts all VMs off from one worker, or reconnects them. */
void world_cut_worker_of_all(struct world *w, unsigned worker, bool cut);

/* Set how the store treats all VMs, or one. */
void world_set_store_mode(struct world *w, enum world_store_mode mode);
void world_set_vm_store_mode(struct world *w, unsigned vm,
			     enum world_store_mode mode);

/* Delay each answer of the store to all VMs, or to one. */
void world_set_store_delay(struct world *w, int64_t ms);
void world_set_vm_store_delay(struct world *w, unsigned vm, int64_t ms);

/*
 * Delays each request of a VM on its way to the store, so that the store's
 * clock is read later than the VM can tell.
 */
void world_set_vm_store_way(struct world *w, unsigned vm, int64_t ms);

/* Delays the pages of a table, as they are at the time of the read. */
void world_set_page_delay(struct world *w, enum table table, int64_t ms);
void world_set_feed_delay(struct world *w, enum table table, int64_t ms);

/* Sets the time that a VM spends on each row that it reads. */
void world_set_row_delay(struct world *w, int64_t ms);

/*
 * Withhold answers from a VM about a table: of pages and feeds, or of pages
 * only.
 */
void world_stall_reads(struct world *w, unsigned vm, enum table table,
		       bool stalled);
void world_stall_pages(struct world *w, unsigned vm, enum table table,
		       bool stalled);

/* Sets the most rows in a page; 0: no limit. */
void world_set_page_rows(struct world *w, unsigned rows);

/*
 * Sets the longest value of a row that the store takes, as base64, and that the
 * settings of VMs tell which start later.
 */
void world_set_row_bytes(struct world *w, size_t bytes);

/* Sets the longest lease that workers hold, which the settings of VMs tell. */
void world_set_lease_max(struct world *w, int64_t ms);

/* Lets the store refuse each transaction that writes a job's progress. */
void world_refuse_progress(struct world *w, const char *id, bool refuse);

/* Drops the history of changes; feeds from an older revision fail. */
void world_compact_history(struct world *w);

/*
 * Write a row with the given text, or remove one.  Jobs whose row was not
 * written by a VM are made known to the checks by world_expect_job().
 */
void world_put_row(struct world *w, enum table table, const char *key,
		   const char *text);
void world_remove_row(struct world *w, enum table table, const char *key);
void world_expect_job(struct world *w, const char *id,
		      const struct world_job *job);

/* Sets how long the VMs keep final jobs. */
void world_set_retention(struct world *w, int64_t ms);

/* Removes a worker's row, or writes it again. */
void world_unlist_worker(struct world *w, unsigned worker, bool removed);

/* Restart a worker, which loses its runs, under the same or under a new id. */
void world_crash_worker(struct world *w, unsigned worker);
bool world_restart_idle_worker(struct world *w, unsigned worker);
void world_replace_worker(struct world *w, unsigned worker);

/*
 * Returns true if nothing runs on a worker and it has no end that an owner
 * hasn't acknowledged.
 */
bool world_worker_is_idle(const struct world *w, unsigned worker);

/*
 * Restarts two workers under their ids, each at the other's address.  Feeds
 * show that when the rows are written again, see world_unlist_worker().
 */
void world_exchange_workers(struct world *w, unsigned a, unsigned b);

/* What a worker does after a crash. */
enum world_crash_mode {
	WORLD_CRASH_SAME_ID, /* it is back under the same id */
	WORLD_CRASH_NEW_ID   /* it is back with a new id at its address */
};

/* Sets how workers are back after a task has crashed them, and when. */
void world_set_crash_mode(struct world *w, enum world_crash_mode mode,
			  int64_t down_ms);

/*
 * Sets the cores of a worker, in thousandths; what runs there goes on.  An
 * unguarded worker starts tasks also above its capacity.
 */
void world_set_capacity(struct world *w, unsigned worker, int64_t cpu);
void world_set_unguarded(struct world *w);

/*
 * Makes the workers' clocks slow, by up to 2%.  Call it before world_run(), as
 * a clock never goes back.
 */
void world_slow_clocks(struct world *w);

/*
 * Lets the clock of a worker's process begin at a value that tells nothing of
 * the process's age, and each later one's behind that of the one before, so
 * that it takes the deadlines on that for some far ahead.  Call it before
 * world_run().
 */
void world_set_clocks_behind(struct world *w);

/* Returns how many workers have crashed under tasks of a job. */
unsigned world_crashes_under(const struct world *w, const char *id);

/* Returns how many crashes a job's row in the store has. */
unsigned world_stored_crashes(struct world *w, const char *id);

/* Marks a worker as draining: it is about to leave. */
void world_drain_worker(struct world *w, unsigned worker);

/* Lets a worker fail all its tasks. */
void world_fail_tasks(struct world *w, unsigned worker, bool fail);

/* Lets all workers refuse all starts; REFUSAL_NONE ends that. */
void world_refuse_starts(struct world *w, enum refusal why);

/* Sets the most ends in one answer of a worker; it lists the oldest first. */
void world_set_ends_listed(struct world *w, unsigned most);

/* What the platform knows of a machine. */
enum world_machine_presence {
	WORLD_MACHINE_PRESENT,
	WORLD_MACHINE_DOWN, /* listed as down; refused as busy */
	WORLD_MACHINE_GONE  /* not listed; refused as busy */
};

/*
 * Sets the presence of a machine.  Its worker's process and row end, and
 * another one starts when the machine is present again.
 */
void world_set_machine_presence(struct world *w, unsigned machine,
				enum world_machine_presence presence);

/* Removes a machine from the list, or adds it; its worker goes on. */
void world_hide_machine(struct world *w, unsigned machine, bool hidden);

/* Sets how the platform treats orders about machines. */
void world_set_machine_mode(struct world *w, enum world_machine_mode mode);

/*
 * Set the share of orders to workers that get no answer and are carried out
 * seconds later, and the share of starts that get no answer and are lost.
 */
void world_set_late_orders(struct world *w, unsigned percent);
void world_set_lost_starts(struct world *w, unsigned percent);

/* Lets all polls of workers get no answer and be carried out seconds later. */
void world_set_late_polls(struct world *w, bool late);

/* Delays the answers to polls; those to starts overtake them. */
void world_set_poll_answer_delay(struct world *w, int64_t ms);

/*
 * Lets long polls fail when their worker restarts.  Otherwise its next process
 * answers them, and the restart is noticed sooner.
 */
void world_reset_polls(struct world *w);

/*
 * Lets late orders survive a restart of their worker under the same id, whose
 * next process then carries them out.
 */
void world_keep_late_orders(struct world *w);

/*
 * Lets a VM process each answer that isn't the store's this much later, in the
 * order of arrival, as if it were short of processor time.
 */
void world_set_inbox_delay(struct world *w, unsigned vm, int64_t ms);

/* Lets starts be carried out without an answer. */
void world_lose_start_answers(struct world *w, bool lost);

/* Lets requests be lost, and the VM's client report no outcome of them. */
void world_lose_outcomes(struct world *w, enum ask_kind kind, bool lost);

/* Delays starts and stops, as if they waited in the VM's HTTP client. */
void world_set_order_delay(struct world *w, int64_t ms);

/* Lets timed-out requests report that they used an old connection. */
void world_old_connections(struct world *w);

/* Sets the organisation's upper limit; 0: none. */
void world_set_limit(struct world *w, int64_t cpu);

/* Adds another organisation, of the same weight, before the world runs. */
void world_add_organisation(struct world *w);

/* Configures the organisation's key, or removes it. */
void world_set_key(struct world *w, bool given);

/*
 * Makes starts need a ticket of the advice service, which it gives only for
 * workers with an even index.
 */
void world_require_advice(struct world *w);

/*
 * Lets the advice service name the workers in a range of indexes only, the
 * second one excluded.
 */
void world_set_advised(struct world *w, unsigned first, unsigned end);

/* Sets how long the advice service takes for each worker in a request. */
void world_set_advice_time(struct world *w, int64_t ms);

/* Return how many requests for advice there were, and most at once of a VM. */
unsigned world_advice_calls(const struct world *w);
unsigned world_advice_waiting_max(const struct world *w);

/* Starts a wave: maintenance of the first machines, at most maximum at once. */
void world_start_wave(struct world *w, unsigned machines, unsigned maximum);

/*
 * Put the last machines into a pool of standby machines, or into a second pool
 * with a queue of its own.  Call them before world_run().
 */
void world_add_standby_pool(struct world *w, unsigned machines);
void world_add_second_pool(struct world *w, unsigned machines);

/*
 * Lets the route of the first queue name the second pool, which must exist, or
 * the first one.
 */
void world_move_route(struct world *w, bool second);

/* Removes the route of the first queue, or adds it again. */
void world_remove_route(struct world *w, bool removed);

/* Removes the organisation, or adds it again. */
void world_remove_organisation(struct world *w, bool removed);

/* Asks for the evacuation of a data centre, or withdraws that. */
void world_evacuate(struct world *w, unsigned dc, bool evacuated);

/* Returns the data centre of a worker. */
unsigned world_dc_of(unsigned worker);

/* Delays the workers' answers to a VM; late ones time out. */
void world_set_worker_delay(struct world *w, unsigned vm, int64_t ms);

/* Returns the running VM that the owner's row names, or -1. */
int world_owner(const struct world *w);

/* Returns how often the owner has changed. */
unsigned world_epoch(struct world *w);

/* Returns the number of workers that the owner would place tasks on. */
unsigned world_eligible_count(struct world *w);

/* Return how many starts all workers, or one, carried out. */
unsigned world_starts(const struct world *w);
unsigned world_starts_of(const struct world *w, unsigned worker);

/*
 * Returns how many starts had no checkpoint though a worker had listed one of
 * their task.
 */
unsigned world_starts_anew(const struct world *w);

/* Return how many machines had maintenance, and how often any was moved. */
unsigned world_maintained_count(const struct world *w);
unsigned world_move_count(const struct world *w);

/* Returns when the VM's latest order about a machine arrived; 0: none did. */
int64_t world_machine_order_at(const struct world *w, unsigned vm);

/* Returns the size of the pool as an owner stored it; 0: not stored. */
unsigned world_home_size(struct world *w);
bool world_wave_is_completed(const struct world *w);

/* Returns how often the VMs have logged an event. */
unsigned world_log_count(const struct world *w, uint32_t number);

/* Returns a job's state in the store; "" if it has none. */
const char *world_job_state(struct world *w, const char *id);

/* Returns true if the store has had a job as final, or a cancellation of it. */
bool world_job_was_final(const struct world *w, const char *id);

/* Returns the length of a row in the store; 0: there is none. */
size_t world_row_bytes(struct world *w, enum table table, const char *key);

/* Returns how many rows of a job the store has, in all tables. */
unsigned world_stored_rows(const struct world *w, const char *id);

/* Returns the first violated invariant, or NULL. */
const char *world_violation(const struct world *w);
struct sched *world_sched(struct world *w, unsigned vm);

#ifdef __cplusplus
}
#endif
#endif
