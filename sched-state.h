/*
 * Inside of the scheduler: its state, and what its files offer each other.
 */
#ifndef SCHED_STATE_H
#define SCHED_STATE_H

#include "scheduler.h"

/*
 * The owner writes a beat so often, and is taken as gone when no beat came
 * for so long although the store answers.  What runs lapses 3.4 s after its
 * last renewal, which is up to 0.7 s old when the owner dies: the successor
 * has 2.7 s to notice (1.3), to claim, to load and to renew.  A shorter lease
 * lets the tasks of a dead worker start elsewhere sooner.
 */
#define HEARTBEAT_MS 400
#define OWNER_TIMEOUT_MS 1300
#define LEASE_MS 3400
/*
 * An owner that can't reach the store may have been replaced.  It lets no
 * lease end later than this after it last proved its ownership, so that a
 * successor that can't reach a worker knows when nothing runs there any more.
 * An outage of the store that is shorter than this, less a beat, ends nothing.
 */
#define UNCONFIRMED_LEASE_MS 6000
/* A hold waits so long for an end, and so renews at least so often. */
#define POLL_WAIT_MAX_MS 700
/* At one without tasks it waits so long that there are so many a second. */
#define POLL_IDLE_WAIT_MAX_MS 1400
#define IDLE_POLLS_PER_S 700
/* Between looks at a worker that has unacknowledged ends, or is silent. */
#define POLL_RETRY_MS 300
/* An exchange with a worker takes at most so long beyond its wait. */
#define ORDER_TIMEOUT_MS 800
/*
 * A start is void on the worker after this: one without an answer may be
 * carried out until then and is looked for in the worker's list after it.
 */
#define START_VALID_MS 1200
#define STOP_RETRY_MS 600
/* The window of starts under way begins with this, see sched-order.c. */
#define START_WINDOW_UNIT 8
#define START_WINDOW_INITIAL (512 * START_WINDOW_UNIT)
/* Steady clocks of workers may be slow by 2%. */
#define CLOCK_DRIFT_FACTOR 1.02
/* Store exchanges, far above the usual 5 ms; a slow store answers in 350. */
#define STORE_TIMEOUT_MS 700
#define STORE_RETRY_MS 120
#define STORE_FAILURE_GAP_MS 40
#define FEED_WAIT_MS 1500
#define OWNER_FEED_WAIT_MS 500
/* The owner's book of jobs is as old as the feed's latest answer, and counts
 * of what waits are worth nothing when they are old. */
#define JOBS_FEED_WAIT_MS 500
#define FEED_TIMEOUT_MS 700 /* beyond the wait */
/* Answers must leave this VM before the caller's deadline: two ways of 3 ms,
 * and the round of a loaded processor. */
#define REPLY_MARGIN_MS 120
#define RETRY_AFTER_S 1
/* Gauges are set so often; metrics are fetched every 5 s. */
#define GAUGE_INTERVAL_MS 1000
/* Ends of many tasks are made durable together: rows and bytes at most.  The
 * store takes 100 entries and 1 MB; two are conditions, one the commit's own.
 */
#define COMMIT_ROWS_MAX 97
#define COMMIT_BYTES_MAX (512 * 1024)
#define COMMIT_INTERVAL_MS 20
#define PAGE_ROWS 500
/* Run numbers of one epoch; a restart a second for 2.7 hours stays below. */
#define RUNS_PER_EPOCH 10000
/* This process did not run for so long: its beliefs are old. */
#define SUSPENSION_MIN_MS 1000
/* A worker that did not answer for so long gets nothing new. */
#define WORKER_TIMEOUT_MS 1300
/* Ends by failure in a row, of different jobs, that cast doubt on a worker. */
#define SUSPECT_FAILURES 2
#define SUSPECT_MS 4000
/* A task that failed or lapsed waits so long, so that it does not spin. */
#define TASK_RETRY_DELAY_MS 50
/*
 * An order without an answer is carried out at most so late.  Its start
 * deadline bounds that, but the deadline was reckoned by the clock of the
 * worker's life that was known: a new life under the same id, whose clock
 * began anew, takes it for one far ahead.
 */
#define ORDER_LIFETIME_MAX_MS 12500
/* Beyond the last lease that an earlier owner can have given, for the way of
 * its last beat and of its last order. */
#define SETTLE_MARGIN_MS 300

struct job;
struct worker;

enum run_phase {
	PHASE_PENDING,	/* nowhere */
	PHASE_STARTING, /* ordered, the outcome is not known */
	PHASE_RUNNING,	/* its worker has it */
	PHASE_DONE	/* done */
};

/* More attempts than any configuration allows need no exact count. */
#define FAILED_RUNS_MAX 8

struct task {
	TAILQ_ENTRY(task) worker_entry; /* among its worker's */
	struct occurrence *occ;
	unsigned step;
	unsigned index; /* within the step */
	enum run_phase phase;
	struct worker *worker; /* PHASE_STARTING, PHASE_RUNNING */
	uint64_t run;	       /* where it is */
	uint64_t highest_run;  /* the highest of all */
	bool start_in_flight;  /* its start is under way */
	bool stopping;
	int64_t stop_retry_at;	   /* when to say so again */
	int64_t start_by;	   /* on the worker's clock */
	int64_t started_at_worker; /* the worker's clock when it took the start
				    */
	uint64_t last_list; /* the latest that names this run as running */
	int64_t started_at;
	int64_t connected_at;	 /* of its start's connection; 0: not known */
	uint32_t awaited_worker; /* serial of the worker that may do it; 0: none
				  */
	int64_t ready_at;
	int64_t not_before;
	unsigned failure_count;
	uint64_t failed_runs[FAILED_RUNS_MAX]; /* the runs that did */
	unsigned percent;
	unsigned pace_percent; /* percent it is let work at */
	int64_t paced_at;
	int64_t load_figure;
	uint32_t
		avoided_worker; /* serial of the worker it failed on; 0: none */
	bstr checkpoint;
};
TAILQ_HEAD(task_on, task);

/* Advice on the placement of a step. */
struct advice {
	bool in_flight;
	int64_t retry_at;
	int64_t valid_until;
	struct ticket *tickets;
	size_t count;
};

/* The tasks of a step that are nowhere and not done. */
struct pending_tasks {
	unsigned count;
	int64_t ready_at;     /* all before the step was done; 0: it is not */
	int64_t retry_at_max; /* no task's pause ends later */
};

/* One time of a job; a job that is not repeated has one. */
struct occurrence {
	TAILQ_ENTRY(occurrence) entry;
	struct job *job;
	unsigned number;
	struct advice *advice;		     /* by step, or NULL */
	unsigned *unfinished_in_step;	     /* tasks not done, by step */
	struct pending_tasks *pending_tasks; /* by step */
	unsigned *first_task;		     /* of each step, in tasks */
	unsigned task_count;
	unsigned unfinished;
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

/* What held a job's tasks back when they could not be placed. */
enum pending_reason {
	PENDING_NONE,
	PENDING_LEASES,	     /* an earlier owner may have them running */
	PENDING_CAPACITY,    /* no worker of the pool has room */
	PENDING_CONSTRAINTS, /* those with room do not suit */
	PENDING_LIMIT,	     /* the organisation's upper limit */
	PENDING_CEILING,     /* the ceiling that the store knows */
	PENDING_STORE,	     /* the store has to know that it begins */
	PENDING_TICKET	     /* advice on the placement */
};

/*
 * What is reckoned of a job each time it is looked at, kept for a while: with
 * thousands of jobs waiting the owner would do nothing else.
 */
struct job_estimate {
	unsigned config_serial;	     /* counts those in force; 0: none yet */
	const struct route *route;   /* in that one, or NULL */
	const struct tenant *tenant; /* the same */
	struct usage *usage;	     /* its organisation's account, or NULL */
	struct pool *pool;	     /* whose workers run it, or NULL */
	int64_t valid_until;
	int64_t *step_ms;      /* ms that a step's tasks take */
	int64_t *remaining_ms; /* ms from a step's start to the job's end */
	int64_t longest_ms;    /* of them */
};

/*
 * A job that is not final, or whose final state is not durable yet, or runs of
 * which an earlier owner may have left.
 */
struct job {
	TAILQ_ENTRY(job) entry; /* by arrival */
	TAILQ_ENTRY(job) dirty; /* progress to be written */
	char id[JOB_ID_BYTES + 1];
	bstr tenant;
	bstr route;
	bstr service; /* when it was accepted */
	struct job_body *body;
	int64_t submitted;  /* wall clock */
	int64_t arrived;    /* here */
	bool inherited;	    /* an earlier owner may have started its tasks */
	bool settled;	    /* and what it started is known */
	bool start_durable; /* the store knows that its tasks may run */
	bool start_was_durable; /* an earlier owner had said so */
	bool run_seen;		/* a worker has begun one of its tasks */
	struct job_estimate estimate;
	enum pending_reason pending_reason; /* the latest */
	int64_t due; /* its objective ends; 0: nothing was placed */
	enum job_status status;
	int64_t ended; /* wall clock */
	unsigned next_occurrence;
	unsigned placed; /* tasks PHASE_STARTING or PHASE_RUNNING */
	unsigned starts;
	struct occurrence_list occs;
	uint64_t dirty_seq;    /* 0: not among the dirty */
	uint64_t commit_seq;   /* 0: not in the commit under way */
	uint64_t recommit_seq; /* it has changed again since; 0: it has not */
	UT_hash_handle hh;
};
TAILQ_HEAD(job_queue, job);

/* A final job, kept until its rows may be removed. */
struct retired {
	TAILQ_ENTRY(retired) entry;
	char id[JOB_ID_BYTES + 1];
	int64_t ended; /* wall clock */
	bool removing; /* the removal of its rows is under way */
	UT_hash_handle hh;
};
TAILQ_HEAD(retired_list, retired);

struct worker {
	bstr id;
	uint32_t serial;
	struct worker_row row;
	bstr rack;
	bool listed;	       /* its row is there */
	unsigned last_reading; /* in which it was last seen */
	bool gone;	       /* it runs nothing any more */
	int64_t started_at;
	int64_t clock; /* its clock, and ours when it was told */
	int64_t clock_at;
	int64_t lease_end;   /* the latest told to it, on its clock */
	bool fenced;	     /* it has answered to our epoch */
	bool note_in_flight; /* the beat under way names it */
	bool inherited;	     /* earlier owners may have given it work */
	bool noted;	     /* a successor would know of it */
	bool polling;	     /* a hold is under way */
	int64_t poll_at;
	int64_t answered_at;
	int64_t poll_due_by; /* by when a long look under way is; 0: it is none
			      */
	int64_t alive_at;    /* its known life lived then, or later */
	bool late_starts_possible; /* tasks wait for what that life may do late
				    */
	int64_t later_life_until; /* a later life may hold a lease until then */
	int64_t stray_at; /* runs that nobody wants are stopped from then on */
	bool strays_due;
	int64_t unhealthy_until;
	uint64_t last_end;	     /* highest end known here */
	uint64_t last_end_seq;	     /* dirty_seq then */
	uint64_t durable_end;	     /* highest durable end */
	uint64_t list_count;	     /* counts the lists that it has told */
	TAILQ_ENTRY(worker) unacked; /* while seen is above it */
	struct pool *pool;	     /* of its service */
	bool unknown;		     /* it counts there as such */
	bool ends_held;		     /* some of its ends can't be taken yet */
	bool ends_truncated;	 /* it has more ends than its last list held */
	bool same_life;		 /* it is still the life that these are of */
	unsigned failure_streak; /* failures in a row */
	char failure_streak_job[JOB_ID_BYTES + 1];
	int64_t suspect_until;
	int64_t idle_since;	 /* since when it has no task */
	bool takedown_pending;	 /* its machine is about to be taken */
	bool takedown_in_flight; /* the call that takes it is under way */
	unsigned requests;
	struct size used;
	struct task_on tasks;
	UT_hash_handle hh;
};

TAILQ_HEAD(worker_queue, worker);

/* So many needs that found no room are remembered while tasks are placed. */
#define UNPLACEABLE_MAX 8

struct candidate;

/* The workers of a service.  All but the first three hold for one look only. */
struct pool {
	bstr service;		 /* empty: of those whose service isn't known */
	unsigned order_index;	 /* its place in the order of the pools */
	unsigned unknown;	 /* of which it is not known what they run */
	struct worker **workers; /* those that may get work */
	size_t count;
	size_t space;
	struct size max_room;	/* the most room of any, in each resource */
	struct size total_room; /* of all together */
	struct size promised;	/* of it, to jobs that wait for the store */
	struct size unplaceable[UNPLACEABLE_MAX]; /* needs that no worker has
						     room for */
	size_t unplaceable_count;
	struct candidate **waiting; /* for it, and not looked at yet */
	struct candidate **waiting_end;
	UT_hash_handle hh;
};

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
	FOR_COMMIT,
	FOR_SWEEP,
	FOR_SUBMIT,
	FOR_SUBMIT_READ, /* its queue is full: is the job there already? */
	FOR_STATE,
	FOR_CANCEL_READ,
	FOR_STATE_JOB, /* no progress yet: is there such a job? */
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
	bool no_key; /* the route needs no key */
	int64_t deadline;
	int64_t came_at;
	bool uncertain;		/* a try may have taken effect */
	bstr row;		/* a submit's, for another try */
	uint32_t retry_after_s; /* its queue is full: come back then; 0: it is
				   not */
	UT_hash_handle hh;
};

/* A request under way. */
struct request {
	uint64_t id;
	enum purpose purpose;
	uint64_t epoch; /* of the owner it was sent for; 0: any */
	uint64_t call;
	struct worker *worker;
	char job[JOB_ID_BYTES + 1];
	unsigned occurrence;
	unsigned task;
	uint64_t run;
	uint64_t number;   /* a wave's, or a lease on a worker's clock */
	uint64_t revision; /* that a beat demanded of the one before */
	bstr name;	   /* a machine's */
	UT_hash_handle hh;
};

/* How far the reading of one part of a table is. */
struct part_read {
	bool in_flight; /* a request is under way */
	bool complete;
	uint64_t first_revision; /* revision of the first page */
	bstr next_key;		 /* next page */
};

/* How a table is followed: read whole, then by its feed. */
struct follow {
	enum table table;
	enum purpose read_purpose;
	enum purpose feed_purpose;
	uint32_t wait_ms;
	unsigned parts; /* 0: the common one; else that many of its own */
	bool wanted;
	unsigned reading_serial; /* counts whole readings */
	bool feed_in_flight;	 /* a request to the feed is under way */
	bool complete;		 /* read whole; the feed goes on at revision */
	uint64_t revision;
	bool feed_answered; /* the feed has answered since */
	int64_t asked_at;
	uint32_t feed_timeout_ms; /* for its next answer, see sched-follow.c */
	int64_t current_as_of; /* all until then is known, by the store's clock;
				* 0: the feed has not told yet */
	struct part_read reads[JOB_PARTS];
	int64_t retry_at;
};

enum own_state {
	OWN_NONE,
	OWN_CLAIMING,
	OWN_LOADING,
	OWN_OWNER,
	OWN_RELEASING
};

struct ownership {
	enum own_state state;
	uint64_t epoch;		       /* the latest seen */
	uint64_t revision;	       /* of its row */
	bstr holder;		       /* empty: nobody */
	uint64_t holder_seed;	       /* of the holder's process */
	int64_t silent_since;	       /* latest beat, or change of owner */
	unsigned answers_without_beat; /* answers of the store since, without
					  one */
	int64_t heartbeat_at;	       /* next, if this VM is the owner */
	bool heartbeat_in_flight;
	uint64_t heartbeat_seq;
	uint64_t heartbeat_revision; /* of the beat's row */
	int64_t heartbeat_sent_at;   /* the one under way */
	int64_t confirmed_at; /* the latest beat that succeeded was sent then */
	int64_t claimed_at;
	int64_t last_sign_at;	  /* latest beat, or change of owner, seen */
	int64_t previous_sign_at; /* that of the owner before, at the claim */
	bool settled;		  /* who gave up knew all that was running */
	bool previous_released;	  /* it gave up by plan, and so */
	json_t *workers;   /* whom an owner may have given leases, or NULL */
	json_t *ceilings;  /* what it may have had running, or NULL */
	int64_t settle_by; /* no lease of it ends later */
	int64_t owned_at;
	int64_t ready_at;	  /* all was read */
	int64_t wait_log_at;	  /* when to say next what it waits for */
	int64_t load_progress_at; /* a page came, or the reading began */
	unsigned load_timeouts;	  /* times in a row that none came */
	bool check_required;	  /* read the row before the next order */
	bool known;		  /* the row was read, or found missing */
};

struct waiting_count {
	bstr route;
	uint64_t count;
	UT_hash_handle hh;
};

struct machine {
	bstr id;
	bstr pool;
	bstr worker;
	enum machine_state state;
	bstr moving_to; /* a pool, until then */
	int64_t moving_until;
	int64_t retry_at;
	UT_hash_handle hh;
};
struct wave_machine {
	bstr id;
	bstr worker; /* its life when it was chosen; empty: not chosen yet */
	bool noted;  /* the store knows that it was chosen */
	bool done;
	bool call_in_flight;	     /* a call is under way */
	bool call_is_for_noted_life; /* and it takes the life that was noted */
	bool call_outcome_unknown; /* an earlier call may have been carried out
				    */
	bool draining;		   /* its worker gets nothing new */
	int64_t draining_since;
	int64_t retry_at;
	int64_t down_until; /* it is down for its maintenance */
};
struct wave {
	uint64_t number;
	bool requested;	   /* the operator's row was read */
	json_t *notes;	   /* the row of an owner, by machine, or NULL */
	uint64_t revision; /* of that row; 0: there is none */
	struct wave_machine *machines;
	size_t count;
	unsigned max_unavailable;
	int64_t finish_at;	 /* by this process's job_estimate */
	int64_t finish_at_store; /* by the store's clock, as an owner told; 0:
				  * not
				  */
	bool completed;
	bool dirty; /* its rows are to be written */
	bool writing;
	bool start_published; /* the operator can read that it runs */
	int64_t write_at;
	int64_t log_at; /* the next line of the log */
	UT_hash_handle hh;
};

struct usage {
	bstr tenant;
	struct size used;
	struct size ceiling; /* it starts nothing above; the store knows it */
	struct size next_ceiling; /* as the beat under way tells it */
	struct size wanted;	  /* by a task that the ceiling holds back */
	bool ceiling_in_flight;
	bool inherited_known;	       /* told is known */
	struct size inherited_ceiling; /* the ceiling that earlier owners had */
	struct size inherited_found;   /* what of it was found running */
	UT_hash_handle hh;
};

/* How long a pool needs for its work. */
struct backlog {
	bstr pool;
	double duration_ms;
};

/* What was learnt of the tasks of a route, whose declared times are far off. */
struct learnt_time {
	bstr route;
	double mean_log_ms; /* mean of the logarithm of their times */
	double weight;	    /* runs that it rests on, older ones weigh less */
	UT_hash_handle hh;
};

/* What an owner did since it told last, see sched-load.c. */
struct load {
	int64_t log_at;
	unsigned place_passes; /* at what waits */
	unsigned job_starts;
	unsigned starts;
	unsigned slow_starts; /* of them, answered late */
	unsigned polls;
	unsigned ends;
	unsigned poll_gaps; /* between looks at a worker with tasks */
	int64_t poll_gap_ms;
	unsigned commits;
	unsigned rows;
	int64_t commit_ms_max; /* the longest */
	unsigned starts_in_flight_max;
};

struct sched {
	struct sched_options options;
	bstr self; /* holder name */
	int64_t now;
	int64_t wall;
	int64_t last_event_at; /* the latest event */
	int64_t gauges_set_at;
	struct sched_effects *effects;
	uint64_t last_request;
	uint32_t last_worker;
	struct request *requests;
	struct call *calls;

	struct fleet_config *config;
	unsigned config_serial; /* of those that were in force */
	struct follow follows[4];
	struct ownership own;
	struct waiting_count *waiting_counts; /* as the owner told */
	int64_t waiting_as_of;	    /* of the jobs until then, by the store's
				     * clock; 0: not known */
	bool store_clock_known;	    /* the store has told its clock */
	int64_t store_clock_offset; /* that clock, less this VM's */
	unsigned store_failures;    /* in a row */
	int64_t store_ok_at;
	int64_t store_failed_at;
	bool store_down_logged; /* as logged */
	bool ready;
	int64_t suspended_at; /* when this process last stood still */
	int64_t resumed_at;   /* and ran again */
	int64_t stop_by;      /* 0: not stopping */
	int64_t end_at;	      /* it ends then if no call is under way */
	bool ended;

	/* The owner's. */
	struct follow progress; /* read once, at a takeover */
	struct follow notes;	/* the same */
	struct job *jobs;
	struct job_queue order;
	struct job_queue dirty;
	struct job_queue committing_jobs;
	uint64_t dirty_seq;
	bool commit_in_flight;
	uint64_t
		commit_first_seq; /* the first number in the commit under way */
	int64_t commit_at;
	uint64_t commit_revision; /* of the row that commits rewrite */
	struct retired *retired;
	struct retired_list retired_order;
	int64_t sweep_at;
	struct worker *workers;
	struct worker_queue unacked; /* by seen_seq */
	int64_t note_at; /* it is not written for what is left out before */
	bool note_has_gone_worker; /* a worker that is not known any more */
	struct pool *pools;	   /* by service */
	unsigned last_pool_index;  /* of the pool that was looked at last */
	unsigned unknown_count;	   /* workers, of all pools */
	struct usage *usage;
	bool settled;	/* all workers' lists are known, or their leases over */
	bool place_due; /* something changed: look for work to place */
	int64_t place_at;	/* but not before this */
	bool has_delayed_tasks; /* some task's pause has not ended */
	bool has_pending_tasks; /* some task was left waiting */
	struct machine *machines;
	bool list_in_flight;
	int64_t list_at;
	bool list_complete;
	struct wave *waves;
	unsigned starts_in_flight; /* starts without an answer yet */
	unsigned start_window;	   /* so many may be, in parts of one */
	int64_t start_window_cut_at;
	int64_t move_at;
	int64_t pool_log_at;
	json_t *home_sizes; /* machines of each pool at first, or NULL */
	bool home_sizes_dirty;
	bool home_sizes_in_flight;	 /* the beat under way has them */
	bool home_sizes_durable;	 /* the store has them */
	unsigned advice_calls_in_flight; /* under way */
	struct backlog *backlogs;
	size_t backlog_count;
	struct admission *admissions; /* of pools that don't take all jobs */
	struct load load;
	struct learnt_time *learnt_times;
};

/* sched.c */
struct sched_effect *sched_effect_add(struct sched *s,
				      enum sched_effect_kind kind);
struct request *sched_ask(struct sched *s, enum purpose purpose,
			  enum ask_kind kind, int64_t deadline,
			  struct ask **ask);
void sched_log(struct sched *s, uint32_t number, const char *fmt, ...)
	PRINTF_LIKE(3, 4);
void sched_count(struct sched *s, enum counter_id id, uint64_t n);
void sched_gauge(struct sched *s, enum counter_id id, uint64_t n);
void sched_observe(struct sched *s, enum histogram_id id, int64_t ms);
bool sched_store_is_up(const struct sched *s);

/* sched-tx.c: making transactions */
struct tx *sched_tx(struct sched *s, enum purpose purpose, int64_t deadline,
		    struct request **rq);
unsigned row_part(enum table table, bstr key);
void tx_expect(struct tx *t, enum table table, bstr key, uint64_t revision);
bool tx_row_was_rewritten(const struct sched *s, const struct answer *a,
			  enum table table, bstr key, uint64_t *revision);
void tx_write(struct tx *t, enum table table, bstr key, bstr value);
void tx_remove(struct tx *t, enum table table, bstr key);

/* sched-follow.c */
void follow_tick(struct sched *s);
void follow_answer(struct sched *s, struct request *rq, struct answer *a);
void follow_restart(struct follow *f);

/* sched-config.c */
void config_row_apply(struct sched *s, struct row *r);
const struct route *route_find(const struct sched *s, bstr host, bstr path);
const struct route *route_named(const struct sched *s, bstr name);
const struct tenant *tenant_of_key(const struct sched *s, bstr key);
const struct tenant *tenant_named(const struct sched *s, bstr name);
const struct service *service_named(const struct sched *s, bstr name);

/* sched-row.c: rows of the scheduler's own */
bstr job_row_write(const struct job *j);
struct job *job_row_read(const char *id, bstr row);
bstr progress_write(const struct job *j);
bool progress_apply(struct job *j, bstr row);
bool progress_peek(bstr row, bstr *tenant, enum job_status *fate,
		   int64_t *ended);
const char *job_status_name(enum job_status f);
bstr owner_row_write(const struct ownership *o, bool release);
bool owner_row_read(bstr row, struct ownership *o);
bool job_row_tenant(bstr row, bstr *tenant);
bstr heartbeat_row_write(struct sched *s);
bool heartbeat_row_read(struct sched *s, bstr row, uint64_t *epoch);

/* sched-count.c */
json_t *counts_write(const struct sched *s);
void counts_read(struct sched *s, const json_t *counts, int64_t told_at);
void counts_free(struct sched *s);
int64_t counts_age_ms(const struct sched *s);
int64_t job_list_as_of(const struct sched *s);
void count_receive(struct sched *s, const struct call_in *in,
		   const struct route *r);
int64_t store_clock(const struct sched *s);
void store_clock_update(struct sched *s, const struct answer *a);

/* sched-admit.c */
unsigned admission_share(double drain_ms, double objective_ms);
void admission_set(struct sched *s, bstr service, double drain_ms,
		   double objective_ms);
json_t *admissions_write(const struct sched *s);
void admissions_read(struct sched *s, const json_t *all);
void admissions_free(struct sched *s);
uint32_t admission_refuses(struct sched *s, const struct route *r,
			   const struct job_body *b, const char *id);

/* sched-call.c */
void call_refuse(struct sched *s, uint64_t id, int status,
		 enum counter_id reason, const char *text, const char *job);
void call_receive(struct sched *s, struct call_in *in);
void call_answer(struct sched *s, struct request *rq, struct answer *a);
void call_tick(struct sched *s);
void call_free(struct sched *s, struct call *c);

/* sched-own.c */
void own_row_apply(struct sched *s, struct row *r);
void note_row_apply(struct sched *s, struct row *r);
void own_reset_silence(struct sched *s);
void own_store_recovered(struct sched *s);
void own_enable_claim(struct sched *s);
bool own_defers_claim(const struct sched *s);
void own_answer(struct sched *s, struct request *rq, struct answer *a);
void own_tick(struct sched *s);
void own_heartbeat_if_due(struct sched *s);
void own_table_loaded(struct sched *s);
void own_lose(struct sched *s, const char *why);
void own_require_check(struct sched *s, const char *why);
void own_release(struct sched *s);
bool own_is_exclusive(const struct sched *s); /* may order about machines now */
int64_t own_exclusive_until(const struct sched *s, int64_t deadline);
bool own_may_order(const struct sched *s); /* may give orders now */
bool own_may_start(const struct sched *s); /* and start tasks */

/* sched-job.c */
struct job *sched_job_find(struct sched *s, const char *id);
void job_row_apply(struct sched *s, struct row *r);
void progress_row_apply(struct sched *s, struct row *r);
void sched_job_free(struct sched *s, struct job *j);
void job_make_occurrence(struct job *j, unsigned k);
struct occurrence *occurrence_find(const struct job *j, unsigned k);
void job_mark_dirty(struct sched *s, struct job *j);
void job_tick(struct sched *s);
void job_task_done(struct sched *s, struct task *t);
void job_task_failed(struct sched *s, struct task *t, uint64_t run);
void job_unretire(struct sched *s, struct retired *r);
void job_retire_if_done(struct sched *s, struct job *j);
bool job_waits(const struct job *j);
bool job_is_settled(struct sched *s, struct job *j);
bool job_begin(struct sched *s, struct job *j);
void job_mark_durable(struct sched *s, struct job *j);
bool step_ready(const struct occurrence *o, unsigned at);
struct task *task_find(struct sched *s, bstr name, struct job **job);
bstr task_name(const struct task *t);
const struct job_step *task_step(const struct task *t);
const struct route *job_route(const struct sched *s, struct job *j);
const struct tenant *job_tenant(const struct sched *s, struct job *j);
bstr job_service(const struct sched *s, struct job *j);
void task_phase(struct task *t, enum run_phase phase);
void task_pause(struct task *t, int64_t until);
int64_t task_ready_at(const struct task *t);

/* sched-commit.c */
bool commit_row_apply(struct sched *s, const struct row *r);
void commit_tick(struct sched *s);
uint64_t commit_durable(const struct sched *s);
void commit_answer(struct sched *s, struct request *rq, struct answer *a);
void sweep_answer(struct sched *s, struct request *rq, struct answer *a);

/* sched-note.c */
bool workers_note_is_due(struct sched *s);
void workers_note_written(struct sched *s);
bstr workers_row_write(const struct sched *s);
void workers_row_read(struct sched *s, bstr row);
void workers_inherit(struct sched *s);

/* sched-worker.c */
struct worker *worker_new(struct sched *s, bstr id);
void worker_row_apply(struct sched *s, struct row *r);
void workers_unlist_missing(struct sched *s); /* after a whole reading */
void worker_suspect_restart(struct sched *s, struct worker *w);
void worker_expect_later_life(struct sched *s, struct worker *w);
struct worker *worker_find(struct sched *s, bstr id);
void worker_tick(struct sched *s);
void worker_answer(struct sched *s, struct request *rq, struct answer *a);
void worker_acknowledge(struct sched *s);
bool worker_ends_durable(const struct worker *w);
void worker_lost(struct sched *s, struct worker *w, const char *why);
void worker_set_gone(struct sched *s, struct worker *w);
void sched_worker_free(struct sched *s, struct worker *w);
int64_t worker_clock(const struct sched *s, const struct worker *w);
bool worker_is_quiet(const struct sched *s, const struct worker *w);
void worker_set_quiet(struct sched *s, struct worker *w);
bool worker_is_healthy(const struct sched *s, const struct worker *w);
bool worker_is_eligible(const struct sched *s, const struct worker *w);
void sched_workers_free(struct sched *s);

/* sched-pool.c */
struct pool *pool_of(struct sched *s, bstr service);
struct pool *job_pool(struct sched *s, struct job *j);
void worker_count(struct sched *s, struct worker *w);
void worker_uncount(struct sched *s, struct worker *w);
bool pool_is_settled(struct sched *s, bstr service);
void pools_refresh(struct sched *s);
void pool_measure(struct pool *p);
bool pool_is_known_full(const struct pool *p, struct size need);
void pool_note_full(struct pool *p, struct size need);
void pools_free(struct sched *s);
struct size worker_free_room(const struct worker *w);

/* sched-order.c */
struct size step_need(const struct job_step *st);
bool start_window_is_full(const struct sched *s);
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

/* sched-limit.c */
struct usage *job_usage(struct sched *s, struct job *j);
void usage_add(struct sched *s, const struct task *t, int sign);
void usage_add_found(struct sched *s, const struct task *t);
json_t *ceilings_write(struct sched *s);
void ceilings_published(struct sched *s);
enum pending_reason limit_pending_reason(struct sched *s, struct job *j,
					 const struct job_step *st);
bool limit_allows(struct sched *s, struct job *j, const struct job_step *st);
void usage_free(struct sched *s);

/* sched-place.c */
void place_all(struct sched *s);
unsigned step_tasks_on_worker(const struct worker *w,
			      const struct occurrence *o, unsigned at);

/* sched-move.c */
void move_tick(struct sched *s);
bool pool_is_busy(const struct sched *s, bstr pool);
void backlogs_free(struct sched *s);
void move_answer(struct sched *s, struct request *rq, struct answer *a);

/* sched-advice.c */
void advice_free(struct occurrence *o);
bool advice_is_needed(const struct sched *s, struct job *j);
bstr advice_ticket(const struct sched *s, const struct occurrence *o,
		   unsigned at, const struct worker *w);
bool advice_ready(struct sched *s, struct occurrence *o, unsigned at,
		  struct worker **workers, size_t count);
void advice_answer(struct sched *s, struct request *rq, struct answer *ans);

/* sched-policy.c */
bool policy_is_enabled(const struct sched *s, enum policy p);

/* sched-due.c */
void job_estimate_update(struct sched *s, struct job *j);
int64_t job_objective_ms(const struct sched *s, struct job *j);
int64_t occurrence_due_at(const struct sched *s, const struct occurrence *o,
			  int64_t longest);

/* sched-load.c */
void load_add_poll(struct sched *s, const struct worker *w,
		   const struct answer *a);
void load_add_commit(struct sched *s, unsigned rows, int64_t ms);
void load_tick(struct sched *s);

/* sched-learn.c */
void learn_run_time(struct sched *s, const struct task *t);
int64_t step_expected_ms(struct sched *s, const struct job *j, unsigned at);
void learnt_times_free(struct sched *s);

/* sched-pace.c */
void pace_worker_tasks(struct sched *s, struct worker *w);

/* sched-wave.c */
void wave_row_apply(struct sched *s, struct row *r);
void wave_status_apply(struct sched *s, struct row *r);
void wave_tick(struct sched *s);
void wave_answer(struct sched *s, struct request *rq, struct answer *a);
void waves_reset_owner_state(struct sched *s); /* what only the owner knows */
void sched_waves_free(struct sched *s);
bool wave_may_take_worker(struct sched *s, const struct worker *w);

#endif
