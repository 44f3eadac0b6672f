/*
 * Internal state of the scheduler, and the functions that its files share.
 */
#ifndef SCHED_STATE_H
#define SCHED_STATE_H

#include "scheduler.h"
#include "heap.h"
#include "sched-estimate.h"

/*
 * The owner writes a heartbeat at this interval, and is considered gone if
 * none arrives within OWNER_TIMEOUT_MS although the store answers.  A lease
 * expires LEASE_MS after its last renewal, which is up to 0.7 s old when the
 * owner dies.  So a successor has 2.7 s to notice (1.3 s), claim ownership,
 * load the tables and renew the leases.  A shorter lease lets the tasks of a
 * dead worker be restarted elsewhere sooner.
 */
#define HEARTBEAT_MS 400
#define OWNER_TIMEOUT_MS 1300
#define LEASE_MS 3400
/*
 * An owner that can't reach the store may have been replaced.  It grants no
 * lease that ends later than this after it last confirmed its ownership, so
 * that a successor that can't reach a worker knows when nothing runs there any
 * more.  A store outage shorter than this, less one heartbeat interval, ends
 * no task.
 */
#define UNCONFIRMED_LEASE_MS 6000
/*
 * A poll of a worker renews its lease and waits up to this for a task to end,
 * so leases are renewed at least this often.
 */
#define POLL_WAIT_MAX_MS 700
/*
 * Polls of workers without tasks wait longer, up to this, to keep their total
 * rate at IDLE_POLLS_PER_S.
 */
#define POLL_IDLE_WAIT_MAX_MS 1400
#define IDLE_POLLS_PER_S 700
/*
 * Interval between polls of a worker that has unacknowledged ends or does not
 * answer.
 */
#define POLL_RETRY_MS 300
/*
 * Longest pause before the next poll of a worker that has listed ends, while
 * the owner is short of processor time.  Shorter than POLL_RETRY_MS, so that no
 * worker is polled later than one with unacknowledged ends.
 */
#define POLL_PAUSE_MAX_MS 250
/*
 * The pause grows from 0, if starts are answered in START_PROMPT_MS, to the
 * longest, if they are answered in START_SLOW_MS.  An answer from another
 * region takes 40 ms.
 */
#define START_PROMPT_MS 50
#define START_SLOW_MS 150
/* A request to a worker takes at most this long beyond its wait. */
#define ORDER_TIMEOUT_MS 800
/*
 * A worker rejects a start that arrives later than this.  An unanswered start
 * may still be carried out until then; after that the task is looked up in the
 * worker's list.
 */
#define START_VALID_MS 1200
/* The same on this VM's clock, as clocks of workers may be slow. */
#define START_EXPIRY_MS ((int64_t)(START_VALID_MS * CLOCK_DRIFT_FACTOR) + 1)
#define STOP_RETRY_MS 600
/*
 * Initial limit of starts in flight, in units of 1/START_WINDOW_UNIT start;
 * see sched-order.c.
 */
#define START_WINDOW_UNIT 8
#define START_WINDOW_INITIAL (512 * START_WINDOW_UNIT)
/*
 * The advice service takes time for each worker in a request.  The tasks of
 * most steps are placed with the answer to a first request of this size.
 */
#define ADVICE_WORKERS_FIRST 30
/* Monotonic clocks of workers may run up to 2% slow. */
#define CLOCK_DRIFT_FACTOR 1.02
/* Requests to the platform about machines */
#define PLATFORM_TIMEOUT_MS 1500
#define PLATFORM_RETRY_MS 500
/* The store usually answers within 5 ms, a slow store within 350 ms. */
#define STORE_TIMEOUT_MS 700
#define STORE_RETRY_MS 120
/* Failures closer together than this count as one. */
#define STORE_FAILURE_GAP_MS 40
#define FEED_WAIT_MS 1500
#define OWNER_FEED_WAIT_MS 500
/*
 * The owner's list of jobs is as old as the latest answer of the jobs feed,
 * and counts of waiting jobs are useless when they are old.
 */
#define JOBS_FEED_WAIT_MS 500
#define FEED_TIMEOUT_MS 700 /* beyond the wait */
/*
 * Replies must leave this VM before the caller's deadline: the margin covers
 * 3 ms of network latency each way and one event loop round on a loaded
 * processor.
 */
#define REPLY_MARGIN_MS 120
#define RETRY_AFTER_S 1
/* Metrics are scraped every 5 s. */
#define GAUGE_INTERVAL_MS 1000
/*
 * A commit makes the ends of many tasks durable, up to these numbers of rows
 * and bytes.  A store transaction is limited to 100 entries and 1 MB; two
 * entries are conditions, one is the row that each commit rewrites.
 */
#define COMMIT_ROWS_MAX 97
#define COMMIT_BYTES_MAX (512 * 1024)
/*
 * Most of the progress of one job, whose rows have to be in one transaction.
 * Values are sent as base64, and the names of 97 rows take up to 15 KB.
 */
#define PROGRESS_ROWS_MAX COMMIT_ROWS_MAX
#define PROGRESS_BYTES_MAX 720000
/* Limit of the platform for the value of a row, unless the settings name it. */
#define ROW_BYTES_DEFAULT 65536
#define COMMIT_INTERVAL_MS 20
#define PAGE_ROWS 500
/*
 * Fencing tokens of workers' orders in an epoch: the highest is the epoch
 * itself, and the lowest follows the epoch before.  A worker's token is raised
 * when it restarts; one restart a second takes 16 minutes to use them up.
 */
#define TOKENS_PER_EPOCH 1000
/*
 * Run numbers reserved for each epoch; enough for one restart a second for
 * 2.7 hours.
 */
#define RUNS_PER_EPOCH 10000
/*
 * A process that did not run for this long is treated as having been
 * suspended: its state is out of date.
 */
#define SUSPENSION_MIN_MS 1000
/* A worker that did not answer for this long gets no new tasks. */
#define WORKER_TIMEOUT_MS 1300
/*
 * A worker becomes suspect after this many failures in a row, of different
 * jobs.
 */
#define SUSPECT_FAILURES 2
#define SUSPECT_MS 4000
/*
 * Delay before a task that failed or whose lease expired is retried; prevents a
 * busy loop.
 */
#define TASK_RETRY_DELAY_MS 50
/*
 * The longest time after which an unanswered order can still be carried out.
 * Its start deadline usually bounds this, but that is a time on the clock of
 * the known worker process.  If the worker has restarted under the same id, its
 * clock began anew, and the deadline seems to be far in the future.
 */
#define ORDER_LIFETIME_MAX_MS 12500
/*
 * Margin beyond the last lease that an earlier owner can have granted, for the
 * transit of its last heartbeat and its last order.
 */
#define SETTLE_MARGIN_MS 300

struct job;
struct large_text;
struct worker;

enum run_phase {
	PHASE_PENDING,	/* not placed */
	PHASE_STARTING, /* start ordered, outcome not known */
	PHASE_RUNNING,	/* confirmed by its worker */
	PHASE_DONE
};

/* Exceeds the attempts that any configuration allows. */
#define FAILED_RUNS_MAX 8
/* A job fails at the latest after this many crashes under one task. */
#define CRASHED_RUNS_MAX 4

/* Losses of a task's workers that may turn out to be crashes. */
#define LOSSES_MAX 3

/* Why a worker counts as ended; see worker_lost(). */
enum loss_reason {
	LOSS_RESTARTED,	 /* another process has its id */
	LOSS_REPLACED,	 /* another process has its address */
	LOSS_SILENT,	 /* its lease has expired */
	LOSS_MOVED,	 /* its machine was moved to another pool */
	LOSS_MAINTENANCE /* its machine was taken down */
};

/* A run whose worker was lost. */
struct loss {
	uint32_t worker; /* serial; 0: unused */
	uint64_t run;
	bool confirmed; /* the worker had started it */
	bool alone;	/* nothing else was there */
};

struct task {
	TAILQ_ENTRY(task) worker_entry;
	struct occurrence *occ;
	unsigned step;
	unsigned index; /* within the step */
	enum run_phase phase;
	struct worker *worker; /* if PHASE_STARTING or PHASE_RUNNING */
	uint64_t run;	       /* number of the current run */
	uint64_t highest_run;  /* highest run number used so far */
	bool start_in_flight;
	bool stopping;
	int64_t stop_retry_at;
	int64_t start_by;	   /* start deadline, on the worker's clock */
	int64_t started_at_worker; /* time of the start on the worker's clock */
	uint64_t last_list;	   /* latest worker list with this run */
	int64_t started_at;
	int64_t run_clock;    /* start of its run on the worker's clock; 0: not
			       * known */
	bool run_is_part;     /* its run began before run_clock */
	int64_t failed_ms;    /* that its failed runs took */
	int64_t connected_at; /* start of the connection that carried the
			       * order; 0: not known */
	uint32_t awaited_worker;  /* serial of a worker that may still carry out
				   * an earlier start; 0: none */
	int64_t late_start_until; /* a later process of its latest worker may
				   * carry out its latest start until then */
	uint32_t lost_worker; /* serial of the worker on which its latest run
			       * was given up; 0: none */
	uint64_t lost_run;    /* the latest run given up with its worker, also
			       * if a later one was started; 0: none */
	int64_t lost_at;      /* when that was */
	enum loss_reason lost_why;
	int64_t ready_at;
	int64_t not_before; /* delayed until then */
	unsigned failure_count;
	uint64_t failed_runs[FAILED_RUNS_MAX]; /* numbers of failed runs */
	unsigned percent;		       /* progress */
	unsigned pace_percent; /* CPU throttle: share it may use */
	int64_t paced_at;
	int64_t load_figure;	 /* see struct running */
	uint32_t avoided_worker; /* serial of the worker where it failed; 0:
				  * none */
	unsigned crash_count;	 /* see sched-crash.c */
	uint64_t crashed_runs[CRASHED_RUNS_MAX]; /* worker crashed under them */
	uint64_t crash_seq;   /* dirty_seq of the latest change of the count */
	bool crash_counted;   /* in its worker's crash_tasks */
	int64_t crashed_at;   /* time of that, by the store's clock; 0: not
			       * known */
	bool crash_inherited; /* the count was read at a takeover */
	bool crash_wait_inherited; /* likewise, and it was not placed since */
	struct loss losses[LOSSES_MAX]; /* of its workers, not yet explained */
	int64_t evidence_until; /* not started again before, unless it is known
				 * whether that worker has crashed */
	bstr checkpoint;
};
TAILQ_HEAD(worker_task_list, task);

/* Why tasks of a job could not be placed. */
enum pending_reason {
	PENDING_NONE,
	PENDING_LEASES,	     /* they may still run under an earlier owner */
	PENDING_CAPACITY,    /* no worker of the pool has room */
	PENDING_CONSTRAINTS, /* no worker with room is suitable */
	PENDING_LIMIT,	     /* the organisation's upper limit is reached */
	PENDING_CEILING,     /* the ceiling recorded in the store is reached */
	PENDING_STORE,	     /* the start of the job is not durable yet */
	PENDING_TICKET,	     /* no valid placement ticket yet */
	PENDING_WINDOW,	     /* too many starts are in flight */
	PENDING_CRASH,	    /* a crash under it is not durable or not certain */
	PENDING_ISOLATION,  /* no empty worker for a task that runs alone */
	PENDING_EVACUATION, /* it only fits in an evacuated data centre */
	PENDING_ENDS, /* a worker with a full list may have an end of it */
	PENDING_NOT_ADVISED /* the advice service names no worker of the pool */
};

/* What the advice service has said of a worker for a step. */
struct verdict {
	uint32_t worker; /* its serial */
	uint32_t ticket; /* its place in the step's tickets; 0: it isn't good */
	int64_t process; /* start of the process that it holds for */
};
struct held_ticket {
	int64_t valid_until;
	bstr text;
};

/* Placement tickets for a step, from the advice service. */
struct advice {
	bool in_flight;
	int64_t retry_at;
	unsigned calls;
	struct verdict *verdicts; /* by worker */
	size_t verdict_count;
	struct held_ticket *tickets;
	size_t ticket_count;
	struct verdict *asked; /* in the latest request */
	size_t asked_count;
	bool none_logged;	    /* that no worker is good */
	enum pending_reason reason; /* what it waits for until retry_at */
};

/* The tasks of a step that are in PHASE_PENDING. */
struct pending_tasks {
	unsigned count;
	int64_t ready_at;     /* when all prerequisites were done; 0: not yet */
	int64_t retry_at_max; /* upper bound of the tasks' not_before */
};

/* One execution of a job; a job that is not repeated has exactly one. */
struct occurrence {
	TAILQ_ENTRY(occurrence) entry;
	struct job *job;
	unsigned number;
	struct advice *advice;		     /* by step, or NULL */
	unsigned *unfinished_in_step;	     /* tasks not done, by step */
	struct pending_tasks *pending_tasks; /* by step */
	unsigned *first_task;		     /* index into tasks, by step */
	struct step_runs *runs;		     /* of ended tasks, by step */
	unsigned task_count;
	unsigned unfinished; /* tasks not done */
	struct task *tasks;
};
TAILQ_HEAD(occurrence_list, occurrence);

enum job_status {
	JOB_STATUS_QUEUED,
	JOB_STATUS_RUNNING,
	JOB_STATUS_COMPLETED,
	JOB_STATUS_FAILED,
	JOB_STATUS_CANCELLED
};

/*
 * Values derived from a job and the configuration.  They are cached because
 * computing them on each pass over thousands of waiting jobs would take all of
 * the owner's time.
 */
struct job_estimate {
	unsigned config_serial;	     /* configuration used; 0: none yet */
	const struct route *route;   /* in that configuration, or NULL */
	const struct route *terms;   /* the same, else as it was last known */
	const struct tenant *tenant; /* in that configuration, or removed, or
				      * NULL */
	struct usage *usage;	     /* of the job's organisation, or NULL */
	struct pool *pool;	     /* whose workers run it, or NULL */
	int64_t valid_until;
	int64_t *step_ms;      /* expected run time of a task, by step */
	int64_t *remaining_ms; /* to the job's end, if the step goes on now */
	int64_t longest_ms;    /* run time of the longest chain of steps */
	int64_t first_longest_ms; /* the same, before any was observed */
	int64_t typical_ms; /* longest chain, if all tasks of a step took as
			     * long as most */
};

/*
 * A job that the owner still has to track: it is not final, its final state is
 * not durable yet, or an earlier owner may have left runs of it.
 */
struct job {
	TAILQ_ENTRY(job) entry;	  /* in order of arrival */
	TAILQ_ENTRY(job) dirty;	  /* progress that has to be written */
	TAILQ_ENTRY(job) placing; /* if in_placing */
	bool in_placing;	  /* in the queue of the placement passes */
	char id[JOB_ID_BYTES + 1];
	uint64_t revision; /* of its row, which is written once */
	bstr tenant;
	bstr route;
	bstr service;	    /* at the time the job was accepted */
	bool has_terms;	    /* jobs accepted by earlier versions have none */
	struct route terms; /* the route's terms at that time, without names */
	json_t *services;   /* others that tasks were started in, or NULL */
	struct job_body *body;
	int64_t submitted;	    /* wall clock */
	int64_t submitted_by_store; /* on the store's clock; 0: not known */
	int64_t submitted_at;	    /* on this VM's clock */
	int64_t arrived;	    /* at this VM, on its clock */
	bool inherited;	    /* an earlier owner may have started its tasks */
	bool settled;	    /* inherited, and its runs are all known */
	bool start_durable; /* the store records that its tasks may run, in each
			     * service that they have been placed in */
	bool start_was_durable;	    /* an earlier owner recorded that */
	bool run_seen;		    /* a worker has started one of its tasks */
	bool has_crashes;	    /* workers have crashed under its tasks */
	uint64_t progress_revision; /* of the progress that was read */
	unsigned more_rows; /* further rows of progress that the store may have
			     */
	unsigned more_rows_sent; /* in the commit in flight */
	bool left_out_logged;	 /* that checkpoints had no room in them */
	int64_t refused_until;	 /* the store refused its progress, which is not
				  * sent again before; 0: it did not */
	struct job_estimate estimate;
	enum pending_reason pending_reason; /* the latest */
	int64_t due; /* end of its objective; 0: nothing was placed yet */
	enum job_status status;
	int64_t ended;		/* wall clock; earlier versions go by it */
	int64_t ended_by_store; /* on the store's clock; 0: not known */
	unsigned next_occurrence;
	unsigned open_tasks; /* of occs */
	unsigned placed;     /* tasks in PHASE_STARTING or PHASE_RUNNING */
	unsigned starts;
	struct occurrence_list occs;
	uint64_t dirty_seq;    /* 0: not in the dirty queue */
	uint64_t commit_seq;   /* 0: not in the commit in flight */
	uint64_t recommit_seq; /* 0: not changed since that commit was sent */
	UT_hash_handle hh;
};
TAILQ_HEAD(job_queue, job);

TAILQ_HEAD(retained_list, retained);

/* A final job whose rows are still in the store. */
struct retained {
	char id[JOB_ID_BYTES + 1];
	uint64_t revision;	     /* of the job's row; 0: it has none */
	struct heap_node due;	     /* the end of its retention */
	struct retained_list *list;  /* that it is in, in place of the heap */
	TAILQ_ENTRY(retained) entry; /* of that list */
	UT_hash_handle hh;
};

/* The final jobs, which the owner remembers until their rows are removed. */
struct retention {
	struct retained *jobs;	      /* by id */
	struct heap parts[JOB_PARTS]; /* by part of the table, of those whose
				       * rows are not being removed */
	unsigned next_part;	      /* whose turn it is */
	struct retained_list removing;
	struct retained_list removed; /* while the jobs' table is read again,
				       * as a page may still have their rows */
	bool in_flight;		      /* the request that removes rows */
	int64_t remove_at;	      /* no such request before this */
};

/* Limit of the workers of a pool that are held. */
#define HOLDS_MAX 8

/* A hold of a worker for tasks of a step, see sched-lookahead.c. */
struct hold {
	unsigned tasks; /* that it serves; 0: there is no hold */
	char job[JOB_ID_BYTES + 1];
	unsigned occurrence;
	unsigned step;
	uint64_t pass; /* placement pass in which it binds */
	int64_t made_at;
	int64_t first_room_at;	/* as expected when it was made */
	int64_t room_at;	/* their room is expected then */
	struct resources spare; /* expected then besides their room */
	int64_t until;		/* given up then */
};

/* What the end of a worker's lease is reckoned by. */
enum lease_basis {
	LEASE_GRANTED, /* a deadline on the known process's clock */
	LEASE_LONGEST  /* an order of before may have made it the longest */
};

/*
 * A worker as the owner knows it.  A worker process that restarts under the
 * same id is a new process: its clock and its list of ends begin anew.
 */
struct worker {
	bstr id;
	uint32_t serial;
	struct worker_row row;
	bstr rack;
	bstr machine;	       /* empty: no list has shown it yet */
	bool listed;	       /* it has a row in the store */
	unsigned last_reading; /* serial of the last reading that had its row */
	bool gone;	       /* nothing runs on it any more */
	int64_t started_at;    /* start of the known process */
	int64_t clock;	       /* its clock when it last answered */
	int64_t clock_at;      /* this VM's clock at that time */
	int64_t lease_end;     /* of its lease at the latest, on its clock */
	enum lease_basis lease_basis; /* of lease_end */
	bool expiry_logged;	      /* since its last answer */
	bool fenced;		      /* it has answered a poll of this epoch */
	bool has_answered;   /* likewise, the known process or an earlier one */
	uint64_t token;	     /* fencing token of orders to it */
	bool token_is_new;   /* its known process has not answered a poll
			      * with the token */
	bool note_in_flight; /* the heartbeat in flight notes it */
	bool inherited;	     /* earlier owners may have given it tasks */
	bool was_awaited;    /* it had not answered the owner that noted it */
	int64_t inherited_until; /* their leases on it have ended then */
	bool noted;   /* the store's note has it as one that may hold leases of
		       * this owner */
	bool polling; /* a poll is in flight */
	int64_t poll_at;
	int64_t poll_paused_until; /* collects ends; at most POLL_PAUSE_MAX_MS
				    * after answered_at */
	int64_t answered_at;
	int64_t poll_due_by; /* deadline of the long poll in flight; 0: none */
	int64_t alive_at;    /* the known process existed then or later */
	int64_t address_since;	   /* when its row last got another address */
	bool late_starts_possible; /* tasks wait because a later process may
				    * still carry out their starts */
	bool lost_runs; /* runs on it were given up, and it has not listed all
			 * of its ends since */
	bool later_process; /* a later process than the known one has answered
			     * a start, and no poll */
	int64_t unfenced_until; /* its lease may end then; 0: the process
				 * refuses orders of before */
	int64_t orders_until; /* an order with a deadline may be carried out */
	int64_t stray_at;     /* when stray runs may be stopped next */
	bool strays_due;
	int64_t unhealthy_until;
	uint64_t last_end;	     /* highest end number received */
	uint64_t last_end_seq;	     /* dirty_seq when it was received */
	uint64_t durable_end;	     /* highest end number that is durable */
	uint64_t list_count;	     /* lists received so far */
	uint64_t survivor_list;	     /* the latest one logged as RUN_SURVIVED */
	TAILQ_ENTRY(worker) unacked; /* if last_end > durable_end */
	struct pool *pool;	     /* of its service */
	bool unknown;		     /* counted in the pool's unknown workers */
	bool ack_held;	  /* its ends may not be acknowledged: an open start */
	bool ack_refused; /* likewise: one may be of a job whose progress the
			   * store refuses */
	bool ends_truncated;	 /* its last list did not hold all ends */
	bool same_process;	 /* the end numbers are known to be current */
	unsigned failure_streak; /* consecutive failures of different jobs */
	char failure_streak_job[JOB_ID_BYTES + 1];
	int64_t suspect_until;
	int64_t idle_since;
	unsigned crash_tasks;	    /* tasks with crashes on it */
	struct task *isolated_task; /* runs alone on it, or NULL */
	int64_t reserved_until;	    /* for a task that runs alone */
	int64_t late_starts_until;  /* the known process may carry out starts
				     * sent to an earlier one */
	int64_t evidence_until; /* its loss may still turn out to be a crash; 0:
				 * none */
	bool takedown_pending;	/* its machine is about to be taken away */
	bool takedown_in_flight; /* the call that takes it is in flight */
	unsigned requests;
	struct hold hold;
	int64_t hold_not_before; /* it was held in vain */
	struct resources used;
	struct worker_task_list tasks;
	UT_hash_handle hh;
};

TAILQ_HEAD(worker_queue, worker);

/*
 * A start of a task that is done by the end of an earlier run.  It may still be
 * carried out.
 */
struct open_start {
	TAILQ_ENTRY(open_start) entry;
	struct worker *ended_on; /* lists that end */
	struct worker *worker;	 /* that got the start; NULL: not known */
	int64_t process;	 /* started_at of that worker at the order */
	int64_t ordered_at;
	int64_t start_by;   /* its deadline, on the worker's clock */
	int64_t open_until; /* on this VM's clock, whatever the worker did */
};
TAILQ_HEAD(open_start_queue, open_start);

/* Passes over all pools per second, which move machines. */
#define MOVE_PASSES_PER_S 10

/* Limit of requirements remembered as unplaceable in one placement pass. */
#define UNPLACEABLE_MAX 8

/* A need that fits nowhere, if a task runs for this long or longer. */
struct unplaceable {
	struct resources need;
	int64_t run_ms;
};

struct candidate;

/*
 * The work that arrives for a pool, as this owner has seen it.  Cores are in
 * thousandths.
 */
struct demand {
	int64_t updated_at;    /* 0: never */
	double arrived;	       /* since then, in thousandths of a core x ms */
	double cores;	       /* that work off what arrives, smoothed */
	double mean_cores;     /* the same, over a long time */
	double move_cores;     /* the same, over the time of a move */
	double peak_cores;     /* the highest move_cores, which decays slowly */
	bool has_mean;	       /* the size of the pool was known since */
	int64_t peak_known_at; /* at the latest, whatever was seen until then */
	unsigned jobs;	       /* seen, at most DEMAND_JOBS */
	double slack_ms;     /* smoothed: a job that waits for longer is late */
	double slack_dev_ms; /* mean deviation of the jobs' slack from it */
};
/* Jobs over which the slack is averaged. */
#define DEMAND_JOBS 32

/*
 * The workers of a service.  From workers on, the members are valid for one
 * placement pass only.
 */
struct pool {
	bstr service;		 /* empty: workers of unknown service */
	unsigned order_index;	 /* position in the order of the pools */
	unsigned unknown;	 /* workers whose runs are not known */
	struct worker **workers; /* those that may get tasks */
	size_t count;
	size_t space;
	struct resources max_room;    /* the largest free amount, by resource */
	struct resources max_holders; /* workers that have that amount */
	bool max_is_stale;	      /* none of them is left */
	struct resources total_room;  /* free on all workers together */
	struct resources max_capacity; /* the largest capacity, by resource */
	struct resources
		max_evacuated;	   /* the same, of the workers that get no
				    * tasks only because of where they are */
	struct resources reserved; /* of total_room, to jobs that wait for the
				    * store */
	struct unplaceable unplaceable[UNPLACEABLE_MAX];
	size_t unplaceable_count;
	struct worker *held[HOLDS_MAX]; /* workers with holds */
	size_t held_count;
	unsigned large_steps; /* without room, that are considered */
	bool compared;	      /* its workers, for a hold */
	struct demand demand;
	struct candidate **waiting; /* not yet considered in this pass */
	struct candidate **waiting_end;
	const struct task *longest_wait; /* valid only while it is logged */
	unsigned waiting_steps;		 /* with pending tasks, when logged */
	UT_hash_handle hh;
};

/* What a request is for; decides which function handles its answer. */
enum purpose {
	FOR_OPERATOR_GET,
	FOR_OPERATOR_FEED,
	FOR_OWNER_GET,
	FOR_OWNER_FEED,
	FOR_WORKERS_GET,
	FOR_WORKERS_FEED,
	FOR_JOBS_GET,
	FOR_JOBS_FEED,
	FOR_PROGRESS_GET,
	FOR_NOTES_GET,
	FOR_HEARTBEAT,
	FOR_CLAIM,
	FOR_RELEASE,
	FOR_OFFER,
	FOR_COMMIT,
	FOR_REMOVE_JOBS,
	FOR_SUBMIT,
	FOR_SUBMIT_READ, /* queue is full: check whether the job exists */
	FOR_STATE,
	FOR_CANCEL_READ,
	FOR_STATE_JOB, /* no progress row: check whether the job exists */
	FOR_CANCEL_READ_JOB,
	FOR_CANCEL,
	FOR_POLL,
	FOR_START,
	FOR_STOP,
	FOR_PACE,
	FOR_ADVICE,
	FOR_MACHINES,
	FOR_MAINTENANCE,
	FOR_MOVE,
	FOR_WAVE_ROW,
	PURPOSE_MAX
};

/* A caller's request that waits for the store. */
struct call {
	uint64_t id;
	char job[JOB_ID_BYTES + 1];
	bstr tenant;
	bool no_key; /* the route accepts requests without a key */
	int64_t deadline;
	int64_t received_at;
	bool uncertain;		/* an attempt may have taken effect */
	bstr row;		/* of a submitted job, kept for retries */
	uint32_t retry_after_s; /* if the queue is full; 0: it is not */
	bool refused_by_share;	/* the queue of its own organisation is */
	UT_hash_handle hh;
};

/* A request in flight. */
struct request {
	uint64_t id;
	enum purpose purpose;
	int64_t asked_at;
	int64_t deadline;
	uint64_t epoch; /* of the owner that sent it; 0: any */
	uint64_t token; /* of an order to a worker */
	uint64_t call;
	struct worker *worker;
	char job[JOB_ID_BYTES + 1];
	unsigned occurrence; /* or, of a read, the part of the table */
	unsigned task; /* index in the occurrence, or, of advice, the step */
	uint64_t run;
	uint64_t number;   /* of a wave, or lease end on a worker's clock */
	uint64_t revision; /* that a heartbeat expected its row to have */
	bstr name;	   /* of a machine */
	UT_hash_handle hh;
};

/* How far one part of a table has been read. */
struct part_read {
	bool in_flight;
	bool complete;
	int64_t asked_at;	 /* of the first page */
	uint64_t first_revision; /* of the first page */
	bstr next_key;		 /* where the next page starts */
};

/*
 * A table that is kept up to date: it is read completely, page by page, and
 * then updated from its change feed.
 */
struct follow {
	enum table table;
	enum purpose read_purpose;
	enum purpose feed_purpose;
	uint32_t wait_ms;
	unsigned parts; /* 0: only the part that all tables have */
	bool wanted;
	unsigned reading_serial; /* counts complete readings */
	bool feed_in_flight;
	bool complete; /* read completely; the feed continues at revision */
	uint64_t revision;
	bool feed_answered; /* the feed has answered since the reading */
	int64_t asked_at;
	uint32_t feed_timeout_ms; /* of the next answer, see sched-follow.c */
	int64_t current_as_of;	  /* all changes until then are known, by the
				   * store's clock; 0: not known yet */
	int64_t current_at; /* all changes until then are known, by this VM's
			     * clock; 0: not known yet */
	struct part_read reads[JOB_PARTS];
	int64_t retry_at;
};

/* The followed tables, by index in struct sched's follows. */
enum follow_index {
	FOLLOW_OPERATOR,
	FOLLOW_OWNER,
	FOLLOW_WORKERS, /* by the owner only */
	FOLLOW_JOBS,	/* by the owner only */
	FOLLOW_MAX
};

enum own_state {
	OWN_NONE,
	OWN_CLAIMING,
	OWN_LOADING,
	OWN_OWNER,
	OWN_RELEASING
};

/* What is stored of the leases that owners before an epoch have granted. */
struct lease_record {
	int64_t until;	     /* they have ended, by the store's clock; 0: not
			      * known */
	uint64_t note_epoch; /* whose owner wrote the note of workers; 0: not
			      * known */
};

/* Who owns the scheduling, and the heartbeat of this VM if it does. */
struct ownership {
	enum own_state state;
	uint64_t epoch;		/* the latest seen */
	uint64_t token_max;	/* highest fencing token given in this epoch */
	bool workers_forgotten; /* records were freed in this epoch */
	bool tokens_used_up;
	uint64_t revision;	      /* of the owner row */
	bstr holder;		      /* empty: nobody */
	int64_t removals_whole_since; /* by the store's clock; all owners since
				       * have removed the rows of a job
				       * together, -1: not known, 0: always */
	int64_t claimed_whole_since;  /* the same, in the latest claim */
	uint64_t holder_seed;	      /* identifies the holder's process */
	int64_t silent_since;	      /* the owner's timeout counts from here */
	unsigned answers_without_heartbeat; /* store answers since then */
	int64_t heartbeat_at;		    /* next, if this VM is the owner */
	bool heartbeat_in_flight;
	uint64_t heartbeat_seq;
	uint64_t heartbeat_revision; /* of the heartbeat row */
	int64_t heartbeat_sent_at;   /* of the one in flight */
	int64_t heartbeat_as_of; /* when the latest one seen was sent, by the
				  * store's clock; 0: not known */
	int64_t confirmed_at; /* when the last successful heartbeat was sent */
	int64_t claimed_at;
	int64_t last_activity_at; /* last heartbeat or change of owner seen, or
				   * end of this VM's own ownership */
	int64_t previous_activity_at; /* at the time of the claim */
	bool settled;		      /* the releasing owner knew of all runs */
	bool previous_released; /* settled, and released by a planned stop */
	json_t *workers;	/* that earlier owners may have given leases,
				 * or NULL */
	struct resources largest_capacity; /* of any worker, as recorded by
					    * earlier owners */
	bool largest_capacity_known;
	json_t *shares_exceeded; /* organisations beyond their share, as
				  * recorded by an earlier owner, or NULL */
	json_t *ceilings; /* on what earlier owners may have running, or NULL */
	int64_t settle_by; /* end of the last lease of earlier owners */
	struct lease_record leases;	      /* in the owner row */
	struct lease_record claimed_leases;   /* in the latest claim */
	int64_t claimed_settle_by;	      /* the same on this VM's clock */
	struct lease_record inherited_leases; /* of this VM's ownership, with
					       * the notes that it wrote */
	uint64_t heartbeat_epoch;	      /* of the latest heartbeat seen */
	uint64_t heartbeat_note_epoch;
	json_t *lease_note; /* when the leases of workers that did not answer
			     * an earlier owner have ended, or NULL */
	int64_t owned_at;
	int64_t ack_from; /* no ends are acknowledged before: the last starts of
			   * the previous owner may still be carried out */
	int64_t ready_at; /* when all tables had been read */
	int64_t wait_log_at;	  /* when to log next what it waits for */
	int64_t load_progress_at; /* start of the reading, or latest page */
	unsigned load_timeouts;	  /* in a row */
	bool check_required;	  /* read the owner row before the next order */
	uint64_t released_epoch;  /* this process released it; 0: none */
	unsigned handovers; /* in a row, by owners whose workers did not answer
			     * them */
	bool reached_workers;	    /* in this epoch */
	int64_t responses_check_at; /* of the workers, next */
	int64_t unresponsive_by; /* hands over if few answer until then; 0: many
				  * do */
	int64_t handover_not_before;
	int64_t shortage_ms; /* of processor time; see sched-offer.c */
	bool is_short;	     /* as logged */
	int64_t holder_cpu;  /* the owner's, in thousandths of a core; 0: not
			      * known */
	bool holder_is_short;
	int64_t offer_at;	 /* this VM's next offer; 0: none */
	uint64_t offer_revision; /* of the offers' row */
	uint64_t offer_epoch;	 /* that the latest offer is to follow */
	int64_t offer_cpu;	 /* of the VM that made it */
	int64_t offer_seen_at;
	int64_t machine_call_at; /* a call about a machine was sent or
				  * answered, at the latest */
	bstr offer_vm;
	int64_t defer_claims_until; /* lets other VMs claim first until then */
	bool known; /* the owner row was read, or does not exist */
};

/* The number of waiting jobs of a route, as published by the owner. */
struct waiting_count {
	bstr route;
	uint64_t count;
	UT_hash_handle hh;
};

struct machine {
	bstr id;
	bstr dc;
	bstr pool;
	bstr worker;
	enum machine_state state;
	bstr moving_to; /* a pool; valid until moving_until */
	int64_t moving_until;
	bstr moving_worker; /* its worker when its move was ordered, or empty */
	bool move_unanswered;	   /* no call of that move has an answer */
	int64_t move_repeat_until; /* that move is repeated until then */
	unsigned last_list;	   /* serial of the latest list that had it */
	int64_t late_move_until; /* an unanswered call may be carried out until
				  * then; 0: none */
	int64_t retry_at;
	UT_hash_handle hh;
};

/* A machine of a maintenance wave. */
struct wave_machine {
	bstr id;
	bstr worker; /* its id when it was chosen; empty: not chosen yet */
	bool noted;  /* the store records that it was chosen */
	bool done;
	bool call_in_flight;
	bool call_is_for_noted_process; /* it takes the worker in the note */
	bool call_outcome_unknown;	/* an earlier call may have succeeded */
	int64_t late_call_until; /* an earlier call may be carried out until
				  * then */
	bool draining;		 /* its worker gets no new tasks */
	int64_t draining_since;
	int64_t retry_at;
	unsigned refusals;  /* of the call, in a row, as the machine is busy */
	bool refused_up;    /* the list showed it as up at the latest one */
	bool gone;	    /* the platform has no such machine any more */
	int64_t down_until; /* in maintenance */
};

/* A maintenance wave. */
struct wave {
	uint64_t number;
	bool requested;	   /* the operator's row was read */
	json_t *notes;	   /* written by an owner, by machine, or NULL */
	uint64_t revision; /* of the notes' row; 0: it does not exist */
	struct wave_machine *machines;
	size_t count;
	unsigned max_unavailable;
	int64_t finish_at;	 /* deadline on this VM's clock */
	int64_t finish_at_store; /* on the store's clock, as noted by an owner;
				  * 0: not noted */
	bool completed;
	bool dirty; /* its rows have to be written */
	bool writing;
	bool start_published; /* the operator can read that it runs */
	int64_t write_at;
	int64_t log_at;
	UT_hash_handle hh;
};

/* The operator's request that no task is started in a data centre. */
struct evacuation {
	bstr dc;
	uint64_t revision;
	unsigned last_reading; /* serial of the last reading that had its row */
	uint64_t logged_epoch; /* of this VM, in which it was logged as in
				* force; 0: none */
	UT_hash_handle hh;
};

/* The jobs that an organisation submits; see sched-share.c. */
struct share {
	double jobs;	    /* lately, an average that decays */
	int64_t counted_at; /* jobs is as of then */
	bool is_exceeded;   /* it submits more than its share */
	double queue_ratio; /* its longest queue, in multiples of the mean
			     * objective of the jobs there */
	unsigned submitted; /* jobs, since the last log line */
	int64_t log_at;
};

/* Sums over all organisations. */
struct share_sums {
	double jobs;
	double weights; /* of those that submit any now */
};

/* What an organisation has running on the whole fleet. */
struct usage {
	bstr tenant;
	struct share share;
	int64_t ending_cpu; /* cores of used, in thousandths, without
			     * long-running and best-effort tasks */
	struct resources used;
	struct resources ceiling; /* nothing is started beyond this; recorded
				   * in the store */
	struct resources next_ceiling; /* in the heartbeat in flight */
	struct resources wanted;       /* by a task that the ceiling blocks */
	bool ceiling_in_flight;
	bool inherited_known;		    /* inherited_ceiling was read */
	struct resources inherited_ceiling; /* recorded by earlier owners */
	struct resources
		inherited_found; /* part of it that was found running */
	UT_hash_handle hh;
};

/* The time that a pool needs to finish its queued work. */
struct backlog {
	bstr pool;
	double duration_ms;
};

/*
 * Workers that should answer the owner.  Those in neither of the last two have
 * joined, and their first answer is not overdue yet.
 */
struct responses {
	unsigned expected;
	unsigned in_time; /* they have answered, and no answer is overdue */
	unsigned overdue; /* an answer is */
};

/* Activity of the owner since the last log line, see sched-load.c. */
struct load {
	int64_t log_at;
	unsigned place_passes;
	unsigned job_starts;
	unsigned starts;
	unsigned slow_starts; /* of starts, answered late */
	unsigned polls;
	unsigned ends;
	unsigned new_ends;   /* of ends, processed for the first time */
	unsigned poll_gaps;  /* intervals between polls of busy workers */
	int64_t poll_gap_ms; /* their sum */
	unsigned commits;
	unsigned rows;
	int64_t commit_ms_max;
	unsigned starts_in_flight_max;
	unsigned listed_runs;	 /* running, in the answers to the polls */
	unsigned new_runs;	 /* of listed_runs, not listed before */
	unsigned walked_jobs;	 /* by the placement passes */
	unsigned measured_rooms; /* free resources of workers, read for the
				  * sums of the pools */
};

struct sched {
	struct sched_options options;
	bstr self; /* this VM's name as a holder */
	int64_t now;
	int64_t wall;
	int64_t last_event_at;
	int64_t gauges_set_at;
	struct sched_effects *effects;
	uint64_t last_request;
	uint32_t last_worker;
	struct request *requests;
	struct call *calls;

	struct large_text *large_texts; /* see sched-large.c */
	struct fleet_config *config;
	struct fleet_config *removed_config; /* routes and organisations that
					      * are not in config any more */
	unsigned config_serial;		/* counts the configurations adopted */
	struct evacuation *evacuations; /* by data centre */
	bool starts_held; /* as an evacuation may not be known yet */
	struct follow follows[FOLLOW_MAX];
	struct ownership own;
	struct waiting_count *waiting_counts; /* from the owner's heartbeat */
	int64_t waiting_as_of; /* time of these counts, by the store's
				* clock; 0: not known */
	bool store_clock_known;
	int64_t store_clock_offset; /* store's clock minus this VM's */
	int64_t store_offset_min;   /* bounds of it */
	int64_t store_offset_max;
	unsigned store_failures; /* in a row */
	int64_t store_ok_at;
	int64_t store_failed_at;
	bool store_down_logged;
	bool ready;
	int64_t suspended_at; /* last event before the latest suspension */
	int64_t resumed_at;   /* first event after it */
	int64_t stop_by;      /* 0: not stopping */
	int64_t end_at;	      /* ends then if no call is in flight */
	bool ended;

	/* Used by the owner only. */
	struct follow progress; /* read once, at a takeover */
	struct follow notes;	/* read once, at a takeover */
	struct job *jobs;
	struct job_queue jobs_by_arrival;
	struct job_queue placing; /* all jobs with a pending task of a ready
				   * step, and some others */
	unsigned open_jobs;	  /* that are not final */
	struct job_queue dirty;
	struct job_queue committing_jobs;
	struct job_queue refused; /* jobs whose progress the store refuses */
	uint64_t dirty_seq;
	bool commit_in_flight;
	unsigned commit_jobs_max;  /* of the next commit */
	uint64_t commit_first_seq; /* lowest dirty_seq in that commit */
	int64_t commit_at;
	uint64_t commit_revision; /* of the row that each commit rewrites */
	struct retention retention;
	struct worker *workers;
	struct worker_queue unacked;	     /* by last_end_seq */
	struct open_start_queue open_starts; /* hold back acknowledgements */
	int64_t workers_note_at;    /* earliest rewrite just to drop workers */
	bool workers_note_has_gone; /* the note names a worker freed since */
	struct pool *pools;	    /* by service */
	unsigned last_pool_index; /* order_index of the last pool considered */
	unsigned unknown_count;	  /* unknown workers of all pools */
	struct usage *usage;
	unsigned shares_exceeded; /* organisations beyond their share */
	struct resources largest_capacity; /* that any worker has had, by
					    * resource */
	bool largest_capacity_known;	   /* for all workers that were noted */
	struct resources unknown_usage_max; /* of what runs on unknown workers;
					     * see sched-limit.c */
	bool has_best_effort; /* a job with best-effort tasks was read */
	bool settled;	  /* each worker has answered or its lease is over */
	bool place_due;	  /* something changed: a placement pass is needed */
	int64_t place_at; /* no placement pass before this */
	bool starts_held_back;	 /* the last pass left tasks, as too many starts
				  * were in flight for another one */
	uint64_t place_serial;	 /* of the placement pass */
	uint64_t place_complete; /* the latest that considered all candidates */
	bool has_delayed_tasks;	 /* some task has not_before in the future */
	bool has_pending_tasks;	 /* the last pass left some task pending */
	struct machine *machines;
	bool machine_list_in_flight;
	int64_t machine_list_at;
	bool machine_list_complete;
	unsigned machine_lists;	      /* complete ones read in this epoch */
	uint32_t machine_list_worker; /* the latest worker known when the
				       * reading of the latest one began */
	struct wave *waves;
	unsigned starts_in_flight;
	unsigned start_window; /* limit of them, in 1/START_WINDOW_UNIT */
	int64_t start_window_cut_at;
	double start_interval_ms;     /* mean time between starts, at the rate
				       * that the window allows */
	int64_t start_answer_us;      /* smoothed time until an answer */
	int64_t start_answer_expires; /* start_answer_us is valid until then */
	int64_t requests_check_at;
	int64_t move_at;
	unsigned move_pass; /* index in moves_begun of the latest pass */
	unsigned moves_begun[MOVE_PASSES_PER_S]; /* by the latest passes */
	bool cores_divided; /* in the latest pass, see sched-divide.c */
	int64_t pool_log_at;
	json_t *home_sizes; /* initial number of machines by pool, or NULL */
	bool home_sizes_dirty;
	bool home_sizes_in_flight; /* in the heartbeat in flight */
	bool home_sizes_durable;
	unsigned advice_calls_in_flight;
	unsigned advice_workers_max; /* in a request, as the service answers */
	struct backlog *backlogs;
	size_t backlog_count;
	struct admission *admissions; /* queues of pools near overload */
	struct load load;
	struct queue_flow *flows; /* since the last line of the log */
	struct learnt_time *learnt_times;
};

/* sched.c: effects, requests, logging and metrics */
struct sched_effect *sched_effect_add(struct sched *s,
				      enum sched_effect_kind kind);
bool purpose_is_machine(enum purpose p);
struct request *sched_ask(struct sched *s, enum purpose purpose,
			  enum ask_kind kind, int64_t deadline,
			  struct ask **ask);
void sched_log(struct sched *s, uint32_t number, const char *fmt, ...)
	PRINTF_LIKE(3, 4);
void sched_count(struct sched *s, enum counter_id id, uint64_t n);
void sched_gauge(struct sched *s, enum counter_id id, uint64_t n);
void sched_observe(struct sched *s, enum histogram_id id, int64_t ms);
bool sched_store_is_up(const struct sched *s);

/* Keys of rows: of the owner's table, and of its notes for a successor. */
#define KEY_EPOCH "epoch" /* of the row that names the owner */
#define KEY_HEARTBEAT "beat"
#define KEY_WORKERS "workers"
#define KEY_LEASES "leases"
#define KEY_HOME_SIZES "homes"

/* sched-tx.c: names of rows, and building transactions */
struct tx *sched_tx(struct sched *s, enum purpose purpose, int64_t deadline,
		    struct request **rq);
size_t tx_row_bytes(const struct sched *s);
unsigned row_part(enum table table, bstr key);
bstr cancellation_key(const char *id);
void tx_expect(struct tx *t, enum table table, bstr key, uint64_t revision);
void tx_expect_owner(const struct sched *s, struct tx *t);
bool tx_finds_owner(const struct sched *s, const struct answer *a);
bool tx_row_was_rewritten(const struct sched *s, const struct answer *a,
			  enum table table, bstr key, uint64_t *revision);
void tx_write(struct tx *t, enum table table, bstr key, bstr value);
void tx_remove(struct tx *t, enum table table, bstr key);

/* sched-follow.c: reading tables and their change feeds */
void follow_tick(struct sched *s);
void follow_answer(struct sched *s, struct request *rq, struct answer *a);
void follow_restart(struct follow *f);

/* sched-config.c: looking up the configuration in force */
void config_row_apply(struct sched *s, struct row *r);
const struct route *route_find(const struct sched *s, bstr host, bstr path);
const struct route *route_named(const struct sched *s, bstr name);
const struct tenant *tenant_of_key(const struct sched *s, bstr key);
const struct tenant *tenant_named(const struct sched *s, bstr name);
const struct route *route_known(const struct sched *s, bstr name);
const struct tenant *tenant_known(const struct sched *s, bstr name);
const struct service *service_named(const struct sched *s, bstr name);

/* sched-row.c: encoding and decoding of the scheduler's own rows */
bstr job_row_write(const struct job *j);
struct job *job_row_read(const char *id, bstr row);
bstr owner_row_write(const struct ownership *o, bool release);
bool owner_row_read(bstr row, struct ownership *o);
bool job_row_tenant(bstr row, bstr *tenant);
bstr heartbeat_row_write(struct sched *s);
bool heartbeat_row_read(struct sched *s, bstr row, uint64_t *epoch);

/* sched-progress.c: encoding and decoding of the progress of jobs */
struct progress_rows {
	bstr *rows; /* the first has the job's id as its key */
	size_t count;
	size_t bytes;
	unsigned left_out; /* checkpoints that there was no room for */
};
struct progress_rows progress_write(const struct job *j, size_t row_bytes);
void progress_rows_free(struct progress_rows *p);
bool progress_apply(struct job *j, bstr row);
bool progress_apply_more(struct job *j, bstr row);
void progress_apply_services(struct job *j, bstr row);
bool progress_peek(bstr row, bstr *tenant, enum job_status *status,
		   int64_t *ended_by_store);
bstr progress_more_key(const char *id, unsigned number);
bool progress_more_key_read(bstr key, char id[JOB_ID_BYTES + 1],
			    unsigned *number);
const char *job_status_name(enum job_status status);

/* sched-large.c: texts that are longer than a row */
void large_write(struct sched *s, struct tx *t, enum table table, bstr key,
		 bstr value);
bool large_read(struct sched *s, struct row *r);
void large_free(struct sched *s);

/* sched-clock.c: the store's clock */
int64_t store_clock(const struct sched *s);
int64_t store_time_latest(const struct sched *s, int64_t at);
int64_t local_time_latest(const struct sched *s, int64_t store_time);
void store_clock_update(struct sched *s, const struct answer *a);

/* sched-count.c: numbers of waiting jobs */
json_t *counts_write(struct sched *s);
void counts_read(struct sched *s, const json_t *counts, int64_t as_of);
void counts_free(struct sched *s);
int64_t counts_age_ms(const struct sched *s);
int64_t job_list_as_of(const struct sched *s);
void count_receive(struct sched *s, const struct call_in *in,
		   const struct route *r);

/* sched-admit.c: admission control of new jobs */
unsigned admission_share(double drain_ms, double objective_ms);
void admission_set(struct sched *s, bstr service, double drain_ms,
		   double objective_ms);
json_t *admissions_write(const struct sched *s);
void admission_hold(struct sched *s, bstr service, double drain_ms,
		    double objective_ms);
void admission_clear(struct sched *s, bstr service);
void admissions_drop_unconfigured(struct sched *s);
void admissions_read(struct sched *s, const json_t *all);
void admissions_inherit(struct sched *s);
void admissions_free(struct sched *s);
struct fair_queue;
void admission_set_shares(struct sched *s, bstr service,
			  const struct fair_queue *q, size_t count);
void admissions_drop_shares(struct sched *s);
bool admission_refuses(struct sched *s, struct call *c, const struct route *r,
		       const struct job_body *b);

/* sched-share.c: shares of organisations in an overload */
void share_add(struct share *h, int64_t now);
void share_sum(struct share_sums *sums, struct share *h, double weight,
	       int64_t now);
double share_excess(const struct share *h, double weight,
		    const struct share_sums *sums);
bool share_is_beyond(const struct share *h, double excess);
void share_count_job(struct sched *s, struct job *j);
bool shares_are_exceeded(const struct sched *s);
double share_weight(const struct tenant *t);
void shares_update(struct sched *s);
json_t *shares_write(const struct sched *s);
void shares_inherit(struct sched *s);

/* sched-call.c: requests of callers */
void call_refuse(struct sched *s, uint64_t id, int status,
		 enum counter_id reason, const char *text, const char *job);
void call_receive(struct sched *s, struct call_in *in);
void call_answer(struct sched *s, struct request *rq, struct answer *a);
void call_tick(struct sched *s);
void call_free(struct sched *s, struct call *c);

/* sched-own.c: ownership of the scheduling */
void own_row_apply(struct sched *s, struct row *r);
void note_row_apply(struct sched *s, struct row *r);
void own_count_answer(struct sched *s);
void own_store_recovered(struct sched *s);
void own_enable_claim(struct sched *s);
bool own_defers_claim(const struct sched *s);
void own_answer(struct sched *s, struct request *rq, struct answer *a);
void own_tick(struct sched *s);
void own_table_loaded(struct sched *s);
void own_lose(struct sched *s, const char *why);
void own_replaced(struct sched *s);
void own_require_check(struct sched *s, const char *why);
void own_release(struct sched *s);
void own_write_release(struct sched *s, bool settled, unsigned handovers);
void own_claim_later(struct sched *s);
bool own_is_exclusive(const struct sched *s);
int64_t own_exclusive_until(const struct sched *s, int64_t deadline);
bool own_may_order(const struct sched *s);
uint64_t own_first_token(const struct sched *s);
uint64_t own_run_base(const struct sched *s);
bool own_may_start(const struct sched *s);

/* sched-handover.c: hand-over by an owner that its workers hardly answer */
void responses_count(const struct sched *s, struct responses *r);
void responses_check(struct sched *s);

/* sched-offer.c: hand-over by an owner short of processor time */
int64_t offer_own_cpu(const struct sched *s);
bool offer_is_wanted(const struct sched *s);
void offer_shortage_update(struct sched *s, int64_t interval_ms);
void offer_tick(struct sched *s);
bool offer_row_apply(struct sched *s, const struct row *r);
bool offer_is_of_other(const struct sched *s);
bool offer_is_accepted(const struct sched *s);
void offer_accept_tick(struct sched *s);
void offer_answer(struct sched *s, const struct answer *a);

/* sched-job.c: jobs, occurrences and tasks */
struct job *sched_job_find(struct sched *s, const char *id);
void sched_job_free(struct sched *s, struct job *j);
void job_queue_placing(struct sched *s, struct job *j);
void job_unqueue_placing(struct sched *s, struct job *j);
void job_mark_dirty(struct sched *s, struct job *j);
void job_tick(struct sched *s);
void job_task_done(struct sched *s, struct task *t);
void job_task_failed(struct sched *s, struct task *t, uint64_t run);
void job_finish(struct sched *s, struct job *j, enum job_status status);
bool job_may_have_unknown_runs(struct sched *s, struct job *j);
void job_retire_if_done(struct sched *s, struct job *j);
bool job_is_waiting(const struct job *j);
bool job_is_settled(struct sched *s, struct job *j);
void job_add_service(struct sched *s, struct job *j, bstr service);
bool job_start_is_durable(struct sched *s, struct job *j);
bool job_request_start(struct sched *s, struct job *j);
void job_mark_durable(struct sched *s, struct job *j);
bstr task_name(const struct task *t);
const struct job_step *task_step(const struct task *t);
const struct route *job_route(const struct sched *s, struct job *j);
const struct route *job_terms(const struct sched *s, struct job *j);
const struct tenant *job_tenant(const struct sched *s, struct job *j);
bstr job_service(const struct sched *s, struct job *j);
void task_set_phase(struct task *t, enum run_phase phase);
void task_delay(struct task *t, int64_t until);
int64_t task_ready_at(const struct task *t);

/* sched-read.c: reading the rows of jobs */
int64_t job_age_ms(const struct sched *s, const struct job *j);
void job_row_apply(struct sched *s, struct row *r);
void progress_row_apply(struct sched *s, struct row *r);

/* sched-commit.c: writing progress */
bool commit_row_apply(struct sched *s, const struct row *r);
void commit_tick(struct sched *s);
uint64_t commit_durable(const struct sched *s);
void commit_answer(struct sched *s, struct request *rq, struct answer *a);
void commit_forget(struct sched *s, struct job *j);
uint64_t commit_set_aside_count(const struct sched *s);

/* sched-retention.c: final jobs, and the removal of their rows */
void retention_add(struct sched *s, const char *id, uint64_t revision,
		   int64_t ended_by_store);
bool retention_covers(struct sched *s, const char *id, uint64_t revision);
uint64_t retention_late_ms(const struct sched *s);
int64_t retention_whole_since(const struct sched *s);
void retention_add_leftovers(struct sched *s);
void retention_reset(struct sched *s);
void retention_tick(struct sched *s);
void retention_answer(struct sched *s, struct request *rq, struct answer *a);

/* sched-heartbeat.c: the owner's heartbeat */
void heartbeat_if_due(struct sched *s);
void heartbeat_answer(struct sched *s, struct request *rq, struct answer *a);

/* sched-note.c: the note of workers that may hold leases */
bool worker_is_unused(const struct worker *w);
bool workers_note_is_due(struct sched *s);
void workers_note_written(struct sched *s);
bool worker_is_awaited(const struct worker *w);
bool worker_needs_note(const struct worker *w);
void workers_note_request(struct sched *s);
void workers_note_write(struct sched *s, struct tx *t);
void workers_row_read(struct sched *s, bstr row);

/* sched-inherit.c: leases of earlier owners */
void leases_claim(struct sched *s);
void leases_inherit(struct sched *s);
void leases_row_read(struct sched *s, bstr row);
bstr leases_row_write(const struct sched *s);
void workers_inherit(struct sched *s);

/* sched-lease.c: the leases that workers hold */
int64_t worker_clock(const struct sched *s, const struct worker *w);
int64_t lease_next_ms(const struct sched *s, const struct worker *w);
void lease_granted(struct worker *w, int64_t deadline);
void lease_await_fence(const struct sched *s, struct worker *w);
void lease_reset(const struct sched *s, struct worker *w);
void lease_fenced(struct sched *s, struct worker *w, const struct answer *a);
int64_t lease_previous_owner_end(const struct sched *s);
int64_t lease_inherited_end(const struct sched *s, const struct worker *w);
bool lease_ends_in_time(const struct sched *s, const struct worker *w);
bool lease_has_expired(const struct sched *s, const struct worker *w);
void lease_log_expired(struct sched *s, struct worker *w);
bool leases_may_be_long(const struct sched *s);

/* sched-worker.c: workers, their processes and polls */
struct worker *worker_new(struct sched *s, bstr id);
void worker_row_apply(struct sched *s, struct row *r);
void workers_unlist_missing(struct sched *s); /* after a complete reading */
void worker_suspect_restart(struct sched *s, struct worker *w);
void worker_expect_later_process(struct sched *s, struct worker *w);
struct worker *worker_find(struct sched *s, bstr id);
void worker_tick(struct sched *s);
void worker_answer(struct sched *s, struct request *rq, struct answer *a);
int64_t poll_pause_end(const struct sched *s, const struct worker *w);
void worker_poll(struct sched *s, struct worker *w);
const char *loss_reason_word(enum loss_reason why);
void worker_lost(struct sched *s, struct worker *w, enum loss_reason why);
void worker_taken(struct sched *s, struct worker *w, enum loss_reason why);
void worker_set_gone(struct sched *s, struct worker *w);
void sched_worker_free(struct sched *s, struct worker *w);
bool worker_is_overdue(const struct sched *s, const struct worker *w);
void worker_set_overdue(struct sched *s, struct worker *w);
bool worker_is_healthy(const struct sched *s, const struct worker *w);
bool worker_is_eligible(const struct sched *s, const struct worker *w);
void sched_workers_free(struct sched *s);

/* sched-ack.c: the acknowledgement of ends */
void worker_record_end(struct sched *s, struct worker *w, uint64_t number);
bool worker_ends_durable(const struct worker *w);
void ack_hold_if_start_open(struct sched *s, struct worker *w,
			    const struct task *t, const struct ended *n);
void ack_worker_restarted(struct sched *s, struct worker *w);
void ack_worker_freed(struct sched *s, struct worker *w);
void worker_acknowledge(struct sched *s);
void ack_hold_refused(struct sched *s);
void ack_check_refused(struct sched *s, struct worker *w,
		       const struct answer *a);

/* sched-list.c: the lists of runs and ends that workers report */
void list_process(struct sched *s, struct worker *w, const struct answer *a);

/* sched-settle.c: whether all runs of earlier owners are known */
void settle_check(struct sched *s);

/* sched-pool.c: pools and their free resources */
struct pool *pool_of(struct sched *s, bstr service);
struct pool *job_pool(struct sched *s, struct job *j);
void worker_update_unknown(struct sched *s, struct worker *w);
void worker_clear_unknown(struct sched *s, struct worker *w);
bool pool_is_settled(struct sched *s, bstr service);
void pools_refresh(struct sched *s);
void pool_measure(struct sched *s, struct pool *p);
void pool_measure_if_stale(struct sched *s, struct pool *p);
void pool_take_room(struct pool *p, struct resources room,
		    struct resources need);
bool pool_is_known_full(const struct pool *p, struct resources need,
			int64_t run_ms);
enum pending_reason pool_full_reason(const struct pool *p,
				     struct resources need);
void pool_note_full(struct pool *p, struct resources need, int64_t run_ms);
void pools_free(struct sched *s);
struct resources worker_free_room(const struct worker *w);

/* sched-order.c: orders to workers */
const char *pending_reason_word(enum pending_reason reason);
struct resources step_need(const struct job_step *st);
bool start_window_is_full(const struct sched *s);
bool starts_are_slow(const struct sched *s);
void start_window_update(struct sched *s, int64_t ms);
void sched_task_start(struct sched *s, struct task *t, struct worker *w,
		      uint64_t run);
void task_adopt(struct sched *s, struct task *t, struct worker *w,
		uint64_t run);
void task_unplace(struct sched *s, struct task *t);
void task_stop(struct sched *s, struct task *t);
void run_stop(struct sched *s, struct worker *w, bstr task, uint64_t run);
void task_pace(struct sched *s, struct task *t, unsigned percent);
void order_answer(struct sched *s, struct request *rq, struct answer *a);
void order_refused_stale(struct sched *s, const struct request *rq,
			 const struct worker *w);

/* sched-crash.c: tasks that crash their workers */
bool crash_delays_start(struct sched *s, struct task *t);
bool crash_allows(const struct sched *s, const struct worker *w,
		  const struct task *t);
double crash_score(const struct worker *w, const struct task *t);
bool crash_closes_worker(const struct sched *s, const struct worker *w);
void crash_reserve_worker(struct sched *s, struct pool *p,
			  const struct task *t);
void crash_gang_reserve(struct task *t, struct worker *w);
void crash_task_placed(struct task *t);
void crash_task_unplaced(struct task *t, struct worker *w);
void crash_worker_taken(struct sched *s, struct worker *w);
void crash_worker_lost(struct sched *s, struct worker *w, bool same_id);
bool crash_needs_evidence(const struct sched *s, const struct worker *w);
void crash_settle(struct sched *s, struct worker *w, bool crashed);
void crash_check_outlived(struct sched *s, struct task *t);

/* sched-limit.c: upper limits of organisations */
struct usage *usage_of(struct sched *s, bstr tenant);
struct usage *job_usage(struct sched *s, struct job *j);
void usage_add(struct sched *s, const struct task *t, int sign);
void usage_add_found(struct sched *s, const struct task *t);
void usage_unknown_update(struct sched *s);
void largest_capacity_inherit(struct sched *s);
json_t *largest_capacity_write(const struct sched *s);
void largest_capacity_read(struct sched *s, const json_t *row);
json_t *ceilings_write(struct sched *s);
void ceilings_published(struct sched *s);
enum pending_reason limit_pending_reason(struct sched *s, struct job *j,
					 const struct job_step *st);
bool limit_allows(struct sched *s, struct job *j, const struct job_step *st);
void usage_free(struct sched *s);

/* sched-place.c: placing tasks on workers */
void place_all(struct sched *s);
unsigned step_tasks_on_worker(const struct worker *w,
			      const struct occurrence *o, unsigned step_index);
bool worker_suits(struct sched *s, const struct worker *w,
		  const struct task *t);
bool worker_suits_without_ticket(struct sched *s, const struct worker *w,
				 const struct task *t);

/* sched-lookahead.c: holds of workers for large tasks */
#define LOOKAHEAD_NEVER INT64_MAX
struct lookahead_end {
	int64_t at;
	struct resources need;
};
bool lookahead_is_large(struct resources need, struct resources capacity);
unsigned lookahead_holds_max(size_t workers);
int64_t lookahead_task_end(int64_t now, int64_t started_at,
			   int64_t expected_ms);
int64_t lookahead_room_at(struct resources room, int64_t now,
			  struct lookahead_end *ends, size_t count,
			  struct resources need, struct resources *spare);
bool lookahead_leaves_room(const struct hold *h, struct resources need,
			   int64_t end);
void lookahead_refresh(struct sched *s, struct worker *w, bool eligible);
bool lookahead_applies(struct sched *s, const struct pool *p,
		       const struct occurrence *o, unsigned step_index);
bool lookahead_considers(struct sched *s, struct pool *p,
			 const struct occurrence *o, unsigned step_index);
bool lookahead_binds(const struct sched *s, const struct worker *w);
int64_t lookahead_run_ms(const struct job *j, unsigned step_index);
bool lookahead_allows(const struct sched *s, const struct worker *w,
		      const struct task *t);
bool lookahead_has_room(const struct sched *s, const struct pool *p,
			struct resources need, int64_t run_ms);
void lookahead_hold(struct sched *s, struct pool *p, const struct task *t,
		    unsigned left);
void lookahead_note_start(struct sched *s, struct worker *w,
			  const struct task *t);

/* sched-move.c: which machines go to which pools */
void move_tick(struct sched *s);
bool pool_is_busy(const struct sched *s, bstr pool);
void backlogs_free(struct sched *s);

/* sched-machine.c: orders to move machines */
void machine_move(struct sched *s, struct machine *m, bstr pool,
		  const char *why);
void moves_repeat(struct sched *s);
void move_check_listed(struct sched *s, struct machine *m);
void move_answer(struct sched *s, struct request *rq, struct answer *a);

/* sched-advice.c: placement tickets of the advice service */
void advice_free(struct occurrence *o);
bool advice_is_needed(const struct sched *s, struct job *j);
bstr advice_ticket(const struct sched *s, const struct occurrence *o,
		   unsigned step_index, const struct worker *w);
void advice_ticket_refused(const struct task *t, const struct worker *w);
void advice_answer(struct sched *s, struct request *rq, struct answer *ans);

/* sched-policy.c: mechanisms that can be disabled */
bool policy_is_enabled(const struct sched *s, enum policy p);

/* sched-due.c: estimates and objectives of jobs */
void job_estimate_update(struct sched *s, struct job *j);
void occurrence_judge(struct sched *s, const struct occurrence *o);
int64_t job_objective_ms(const struct sched *s, struct job *j);
int64_t job_slack_ms(const struct sched *s, struct job *j);
int64_t occurrence_due_at(const struct sched *s, const struct occurrence *o,
			  int64_t longest);

/* sched-occurrence.c: occurrences of jobs, and their tasks by name */
bool step_is_ready(const struct occurrence *o, unsigned step_index);
void job_make_occurrence(struct job *j, unsigned number);
void occurrence_free(struct occurrence *o);
bool job_is_done(const struct job *j);
void job_make_due_occurrences(struct sched *s, struct job *j);
struct occurrence *occurrence_find(const struct job *j, unsigned number);
struct task *task_find(struct sched *s, bstr name, struct job **job);

/* sched-flow.c: the flow of jobs through each queue */
void flow_add_seen(struct sched *s, const struct job *j);
void flow_add_begun(struct sched *s, const struct job *j);
void flow_add_completed(struct sched *s, const struct job *j);
void flows_log(struct sched *s);
void flows_free(struct sched *s);

/* sched-load.c: log line on the owner's activity */
void load_add_poll(struct sched *s, const struct worker *w,
		   const struct answer *a);
void load_add_commit(struct sched *s, unsigned rows, int64_t ms);
void load_tick(struct sched *s);

/* sched-learn.c: observed run times */
void learn_run_time(struct sched *s, const struct task *t, int64_t clock);
struct run_times step_run_times(struct sched *s, const struct job *j,
				unsigned step_index);
void learnt_times_free(struct sched *s);

/* sched-pace.c: throttling of best-effort tasks */
void pace_worker_tasks(struct sched *s, struct worker *w);

/* sched-forecast.c: what the pools will need */
void demand_add(struct sched *s, struct job *j);
void demands_reset(struct sched *s);

/* sched-evacuation.c: data centres in which no task is started */
void evacuation_row_apply(struct sched *s, struct row *r);
void evacuations_unlist_missing(struct sched *s);
void evacuations_tick(struct sched *s);
bool evacuations_are_known(struct sched *s);
uint32_t evacuations_feed_wait_ms(const struct sched_options *o);
int64_t start_valid_ms(const struct sched_options *o);
bool dc_is_evacuated(const struct sched *s, bstr dc);
bool worker_is_evacuated(const struct sched *s, const struct worker *w);
void evacuations_free(struct sched *s);

/* sched-wave.c: maintenance waves */
void wave_row_apply(struct sched *s, struct row *r);
void wave_status_apply(struct sched *s, struct row *r);
void wave_tick(struct sched *s);
void wave_answer(struct sched *s, struct request *rq, struct answer *a);
void waves_reset_owner_state(struct sched *s);
void sched_waves_free(struct sched *s);
void waves_check_listed(struct sched *s);
struct wave *wave_find(struct sched *s, uint64_t number);
struct wave_machine *wave_find_machine(struct wave *v, bstr id);
struct machine *wave_machine_lookup(struct sched *s, bstr id,
				    struct worker **w);

/* sched-maintenance.c: calls that take machines of a wave down */
void maintenance_send(struct sched *s, struct wave *v, struct wave_machine *wm);
void maintenance_answer(struct sched *s, struct request *rq, struct answer *a);
void wave_machine_discard_note(struct wave *v, struct wave_machine *wm);
bool wave_takes_worker(const struct sched *s, const struct worker *w);

/* sched-takedown.c: whether tasks allow a worker to be taken down */
bool task_may_be_stopped(const struct sched *s, const struct task *t);
bool wave_may_take_worker(struct sched *s, const struct worker *w);
void worker_stop_excess_task(struct sched *s, struct worker *w);
unsigned worker_short_tasks(const struct worker *w);

/* sched-inventory.c: the list of machines */
void machines_request(struct sched *s, bstr page);
void machines_answer(struct sched *s, struct request *rq, struct answer *a);
void machines_free(struct sched *s);
bool machine_is_gone(struct sched *s, bstr id);

#endif
