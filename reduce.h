/*
 * Internal header of the reducer: its state and the functions that its files
 * share.  The reducer does no I/O, reads no clock and takes random numbers
 * only from its seed, so that a recording replays exactly.
 */
#ifndef REDUCE_H
#define REDUCE_H

#include "bamboofront.h"
#include "config.h"
#include "rows.h"

#include "bstr-hash.h"

/*
 * Lifetime of a message between entry VMs.  The sender drops it after
 * MESSAGE_TTL_MS (see edge-peer.c).  The receiver rejects it after
 * MESSAGE_EXPIRED_MS at the latest, because the wall clocks of two VMs may
 * differ by up to a second.
 */
#define MESSAGE_TTL_MS 2000
#define MESSAGE_EXPIRED_MS (MESSAGE_TTL_MS + 1000)
/* A gap this long between events, plus a tick, means the process was paused. */
#define PAUSE_DETECT_MS 1000
/* A worker refuses a start that is older than this. */
#define TASK_START_BY_MS 3000
/* Interval at which a cell repeats a result until the home acknowledges it. */
#define NOTIFY_RETRY_MS 1000
/* Retry hint of answers that refuse or give up a request. */
#define RETRY_AFTER_MS 1000
/* This many consecutive failures suggest that the worker fails every task. */
#define WORKER_SUSPECT_FAILURES 4
#define JOB_ID_LEN 32
/*
 * Number of shards that jobs are hashed to.  Must be the same on every VM and
 * never change: it decides in which shard's journal a job's claim is found.
 */
#define SHARD_COUNT 24
/*
 * While the platform is unreachable, VMs confirm to each other for this long
 * that they accepted no newer configuration.
 */
#define PEER_PROOF_MS 600000

/* Which operation the answer to a platform or worker request belongs to. */
enum request_kind {
	REQ_MEMBER_RENEW,
	REQ_MEMBER_READ,
	REQ_MEMBER_SCAN,
	REQ_MEMBER_REMOVE,
	REQ_HEADS_READ,
	REQ_CONFIG_GET,
	REQ_CHANGE_PUT,
	REQ_CHANGE_COMMIT,
	REQ_OP_OBJECT,
	REQ_UNIT_READ,
	REQ_UNIT_CLAIM,
	REQ_UNIT_RELEASE,
	REQ_JOURNAL_SCAN,
	REQ_JOURNAL_COMMIT,
	REQ_JOURNAL_TRIM,
	REQ_BOOTS_READ,
	REQ_BOOTS_COMMIT,
	REQ_ALLOWANCE_READ,
	REQ_ALLOWANCE_COMMIT,
	REQ_VMS_SCAN,
	REQ_VMS_READ,
	REQ_VM_LIST,
	REQ_EDIT_READ,
	REQ_EDIT_COMMIT,
	REQ_WAVES_SCAN,
	REQ_WAVE_READ,
	REQ_WAVE_CHANGE,
	REQ_WAVE_COMMIT,
	REQ_REBOOT,
	REQ_WATCH,
	REQ_COMMAND
};

/*
 * An outstanding request.  A commit is kept until its outcome is certain: the
 * table ignores a transaction id that it has committed, so sending the same
 * one again reads back the outcome without repeating the write.
 */
struct request {
	uint64_t id;
	enum request_kind kind;
	bstr name;	    /* the unit, team, VM or edit that it is for */
	int64_t sent_at;    /* first attempt; it may have taken effect */
	int64_t resend_at;  /* 0: an attempt is outstanding */
	int64_t give_up_at; /* 0: never */
	unsigned tries;
	bool uncertain; /* some attempt may have taken effect */
	fx_commit commit;
	bool is_commit;
	UT_hash_handle hh;
};

/* Another entry VM, as its member row and its pings describe it. */
struct member {
	bstr vm;
	bstr dc;
	bstr address;
	uint64_t incarnation; /* differs after each restart */
	uint64_t seq;	      /* number of the latest lease renewal */
	uint64_t revision;    /* of the member row */
	int64_t seen_at;      /* when this seq was first read */
	bool leaving;
	bool lease_expired; /* seq unchanged for longer than a lease */
	int64_t lease_expired_at;
	bool listed;	   /* the latest scan found its row */
	uint64_t ping_seq; /* of the latest ping sent to it */
	int64_t ping_at;
	int64_t incarnation_seen_at; /* when this incarnation was first read */
	int64_t ponged_at; /* when the latest answered ping was sent */
	int64_t heard_at;
	int64_t proof_at; /* its freshness proof, on our clock */
	uint64_t config_revision;
	UT_hash_handle hh;
};

/* An endpoint VM, as its row was last read. */
struct vm {
	vm_row row;
	uint64_t revision;
	int64_t state_since; /* when this VM first saw its current state */
	bool marked;	     /* seen in the current scan */
	UT_hash_handle hh;
};

/* A VM in the platform's list of VMs, which lags behind. */
struct vm_listing {
	bstr vm;
	bool leaving;
	bool marked;	   /* seen in the list that is being read */
	int64_t absent_at; /* when it went missing; 0: it is in the list */
	UT_hash_handle hh;
};

struct cell;
struct shard;

enum unit_kind { UNIT_CELL, UNIT_SHARD };
enum unit_state {
	UNIT_IDLE,
	UNIT_READING,
	UNIT_CLAIMING,
	UNIT_LOADING,
	UNIT_OWNED,
	UNIT_RELEASING
};

/*
 * A cell or a shard: a unit of work that one entry VM owns at a time.  The
 * epoch in the unit's row is a fencing token: each journal commit checks the
 * revision of the row, and workers refuse lower epochs.
 */
struct unit {
	bstr name; /* also the key of its row */
	enum unit_kind kind;
	cell_id id;	/* UNIT_CELL */
	uint32_t index; /* UNIT_SHARD */
	enum unit_state state;
	uint64_t revision;
	uint64_t epoch;
	int64_t retry_at;
	int64_t handover_wanted_at; /* 0: no other VM should own it */
	bool row_unread;    /* not owned, but its row may still name this VM */
	bool unverified;    /* may have been taken over: read the row first */
	bool verifying;	    /* that read is outstanding */
	bstr unknown_owner; /* owner in the row that was no member, seen once */
	unsigned sent_jobs; /* jobs with their home here, sent to the cell */
	bool configured;    /* the configuration names it */
	struct cell *cell;
	struct shard *shard;
	UT_hash_handle hh;
};

/* A caller that waits for a job. */
struct waiter {
	TAILQ_ENTRY(waiter) entry;
	bstr vm; /* entry VM that forwarded the call; empty: this one */
	uint64_t call;
	int64_t deadline;
	bool until_final; /* answer only when the job is final */
	bool submit;	  /* the call submitted the job */
};
TAILQ_HEAD(waiter_list, waiter);

enum job_phase {
	PHASE_CLAIMING,	    /* its claim is not durable yet */
	PHASE_UNDISPATCHED, /* no cell could take it so far */
	PHASE_DISPATCHED,   /* a cell has it, or may have it */
	PHASE_ENDING,	    /* final, but not durable yet */
	PHASE_FINAL
};

/*
 * A job at its home.  The home of a durable job is the owner of its shard.  A
 * soft job has no journal; its home is the VM that accepted it.
 */
struct job {
	TAILQ_ENTRY(job) entry;
	bstr id;
	job_spec spec;
	bstr digest; /* of the request; detects a reused idempotency key */
	struct shard *shard; /* NULL: soft */
	enum job_phase phase;
	cell_id cell;
	uint32_t attempt;
	job_view view;
	struct waiter_list waiters;
	int64_t accepted_at;
	int64_t deadline;
	int64_t sent_at;  /* latest dispatch, or takeover of the shard */
	int64_t check_at; /* next check on its progress */
	int64_t expire_at;
	uint64_t query_serial; /* of the latest query to the cell */
	int64_t query_at;      /* when that query was sent */
	bool cancelled;
	bool may_have_run; /* an earlier attempt may have been started */
	bstr sent_to;	   /* cell owner that last got the job or a query */
	struct unit *counted_by; /* cell whose sent_jobs includes it */
	uint64_t record_segment; /* segment with its latest full record */
	UT_hash_handle hh;
};
TAILQ_HEAD(job_list, job);

/* A record that is not durable yet. */
struct journal_entry {
	TAILQ_ENTRY(journal_entry) entry;
	journal_record rec;
	bstr job;
};
TAILQ_HEAD(journal_list, journal_entry);

/* A row of a shard's journal, as stored in the platform's table. */
struct segment {
	TAILQ_ENTRY(segment) entry;
	uint64_t number;
	uint64_t revision;
	size_t bytes;
	journal_row row;
};
TAILQ_HEAD(segment_list, segment);

/* A shard that this VM owns, with its journal. */
struct shard {
	struct unit *unit;
	struct journal_list pending;   /* not sent yet */
	struct journal_list in_flight; /* in the outstanding commit */
	struct segment_list segments;
	uint64_t next_segment;
	uint64_t commit_request;	/* request id; 0: none */
	struct segment *commit_segment; /* segment that it writes */
	int64_t flushed_at;
	int64_t flush_at; /* when the oldest pending record is due */
	int64_t trim_at;
	bool trimming;
	unsigned jobs;
};

enum task_phase { TASK_QUEUED, TASK_STARTING, TASK_ON_WORKER, TASK_ENDED };
enum task_class { CLASS_URGENT, CLASS_SHORT, CLASS_LONG, CLASS_MAX };

struct worker;
struct cell_team;

/* A job's current attempt, in the cell that runs it. */
struct task {
	TAILQ_ENTRY(task) entry;	/* in its team's queue or in ended */
	TAILQ_ENTRY(task) worker_entry; /* in its worker's tasks */
	bstr job;
	uint32_t attempt; /* number that the home gave it */
	uint32_t start;	  /* number of the start within the attempt */
	bstr id;	  /* name of this start on the worker */
	job_spec spec;
	bool adopted; /* found on a worker, not dispatched: no spec */
	struct cell_team *team;
	struct worker *worker;
	enum task_phase phase;
	enum task_class class;
	int64_t queued_at;
	int64_t started_at;
	int64_t deadline;
	int64_t notify_at;
	int64_t ended_at;
	bool stopping; /* cancelled */
	bool checkpoint_requested;
	unsigned preemptions;	      /* requests to free its slot */
	bool unsent;		      /* start goes with the next command */
	bool in_full_list;	      /* its worker's full list names it */
	int64_t running_seen_at;      /* when it was first reported running */
	uint64_t start_request;	      /* command that carried its start */
	bool may_have_started;	      /* some start may have reached a worker */
	bool may_have_started_before; /* the same before the latest start */
	bstr checkpoint;
	bstr avoid_vm;	/* VM on which it failed */
	unsigned tries; /* failed or lost starts */
	job_view view;
	UT_hash_handle hh;
};
TAILQ_HEAD(task_list, task);

/*
 * A start that may still run on a worker that went silent.  It counts against
 * the team's upper limit until the worker confirms that it has ended.
 */
struct unconfirmed_start {
	TAILQ_ENTRY(unconfirmed_start) entry;
	bstr task;
	struct cell_team *team;
};
TAILQ_HEAD(unconfirmed_list, unconfirmed_start);

/* A team in a cell: its queue and its allowance of the upper limit. */
struct cell_team {
	bstr team;
	struct task_list queue[CLASS_MAX];
	unsigned queued;
	unsigned running;     /* started and not known to have ended */
	unsigned unconfirmed; /* unconfirmed starts on all workers */
	uint32_t allowance;   /* part of the team's upper limit held here */
	bool loaded;	      /* allowance is known */
	bool stale;	      /* read the row again before writing it */
	bool blocked;	      /* for the rest of the current scheduling pass */
	int64_t last_long_at; /* when a long task of it was last started */
	uint64_t started_count; /* tasks started, for QUEUE_ROUND_ROBIN */
	allowance_row row;
	uint64_t revision;
	uint64_t request;	   /* outstanding read or commit */
	uint32_t commit_allowance; /* allowance that this commit writes */
	/*
	 * A write that lowered the allowance to cap went unanswered.  It may
	 * still take effect while the row is at cap_revision, so no more than
	 * cap may be used until then.
	 */
	bool capped;
	uint32_t cap;
	uint64_t cap_revision;
	int64_t retry_at;
	int64_t idle_at;    /* start of the period that peak_need covers */
	uint32_t peak_need; /* allowance above this is returned */
	uint32_t return_requested; /* amount that other cells asked for */
	int64_t request_more_at;   /* earliest next request to other cells */
	UT_hash_handle hh;
};

/* An order about a task that a worker has not confirmed yet. */
struct order {
	TAILQ_ENTRY(order) entry;
	task_order body;
	uint64_t request; /* latest command that carried it */
};
TAILQ_HEAD(order_list, order);

/* Health of a worker, as last recorded in its pool's row. */
enum worker_health { HEALTH_UNKNOWN, HEALTH_OK, HEALTH_FAILED };

/* The worker of an endpoint VM, as seen by the owner of its cell. */
struct worker {
	struct cell *cell;
	bstr vm;
	bstr address;
	bool fenced; /* has answered to the current epoch */
	bool silent; /* did not answer the latest exchange */
	bool lost;   /* silent for longer than its tasks' leases last */
	bool dead;   /* lost, and gone from the platform's list */
	bool leaving;
	bool listed;	 /* its row is in this cell's pool */
	bool watch_full; /* the outstanding watch asks for all tasks */
	bstr boot_id;	 /* changes when the worker restarts */
	uint64_t seq;	 /* position in its reports; 0: ask for all tasks */
	uint64_t watch_request; /* request ids; 0: none */
	uint64_t command_request;
	int64_t watch_at;
	int64_t watch_sent_at;
	int64_t command_at; /* when pending TASK_FORGET orders are due */
	int64_t command_ended_at;
	int64_t answered_at;
	int64_t renewed_at; /* latest request that renewed leases in full */
	int64_t drain_by;   /* tasks are moved after it; 0: not draining */
	int64_t reboot_at;  /* next request for a reboot */
	int64_t set_aside_until;
	enum worker_health recorded_health;
	unsigned failures;   /* consecutive */
	unsigned task_count; /* tasks believed to occupy it */
	uint32_t cpu_used;
	uint32_t memory_used;
	uint32_t accelerators_used;
	struct order_list orders;
	struct task_list tasks;
	struct unconfirmed_list unconfirmed;
	unsigned unconfirmed_count;
	UT_hash_handle hh;
};

/* A cell that this VM owns: the workers of a pool in one data centre. */
struct cell {
	struct unit *unit;
	int64_t started_at; /* when this VM became its owner */
	bool rows_known;    /* VM rows were read after started_at */
	boots_row boots;    /* as stored in the table */
	uint64_t boots_revision;
	bool boots_loaded;
	uint64_t boots_request; /* outstanding read or commit */
	int64_t boots_retry_at;
	int64_t history_lost_at; /* when boots.history_lost was set or found set
				  */
	struct worker *workers;
	struct task *tasks;
	struct cell_team *teams;
	struct task_list ended;
	unsigned queued;
	unsigned running;
	unsigned long_running;
	unsigned slots;	       /* of usable workers, in the current pass */
	int64_t rebalance_at;  /* no preemption between teams before this */
	int64_t last_quick_at; /* when short or urgent work was last queued */
	bool dirty;	       /* needs a scheduling pass */
};

/* Collects the answers of several VMs to one caller's request. */
struct gather {
	uint64_t call;
	unsigned pending; /* answers still expected */
	unsigned missing; /* answers that will not come */
	caller_answer answer;
};

/* A caller's request that is forwarded to another entry VM. */
struct forward {
	TAILQ_ENTRY(forward) entry;
	uint64_t id;	       /* identifies the request between VMs */
	uint64_t call;	       /* the caller's call */
	struct gather *gather; /* NULL: answers the caller directly */
	caller_request request;
	bstr team;
	bstr to; /* where it was last sent */
	uint32_t shard;
	bstr vm; /* the only VM that can answer; empty: the shard's owner */
	int64_t created_at;
	int64_t deadline;
	int64_t resend_at; /* 0: sent, waiting for the answer */
	bool sent;
	unsigned copies_sent; /* copies that may have been handled */
	unsigned skipped;     /* VMs of this round that do not own the shard */
};
TAILQ_HEAD(forward_list, forward);

/* An operator's change of the configuration; one is applied at a time. */
struct change {
	TAILQ_ENTRY(change) entry;
	uint64_t call;
	bstr vm; /* entry VM that forwarded it; empty: this one */
	op_request request;
	json_t *doc;
	uint64_t base_revision; /* of the configuration that it is based on */
	uint64_t head_revision; /* of the head row to replace */
	bstr object;
	unsigned tries;
	bool in_flight;
	uint64_t accepted_revision; /* 0: not committed */
	int64_t created_at;
	int64_t deadline;
};
TAILQ_HEAD(change_list, change);

/* A change to a VM's row, by an operator, a wave or the owner of its cell. */
enum edit_kind {
	EDIT_OPERATOR,
	EDIT_DRAINED,
	EDIT_FAILED,
	EDIT_RECOVERED,
	EDIT_REBOOTED,
	EDIT_WAVE_DRAIN,
	EDIT_WAVE_RETURN
};

struct edit {
	TAILQ_ENTRY(edit) entry;
	enum edit_kind kind;
	uint64_t id;
	uint64_t call; /* EDIT_OPERATOR */
	op_request request;
	bstr vm;
	bstr pool;    /* pool whose row was read with the VM's */
	bstr boot_id; /* EDIT_DRAINED, EDIT_REBOOTED: the worker's */
	bstr wave;    /* EDIT_WAVE_DRAIN, EDIT_WAVE_RETURN */
	uint32_t deadline_ms;
	const char *reason; /* result for the operator, once committed */
	uint64_t revision;  /* of the VM's row that was read */
	unsigned tries;
	int64_t deadline;
	int64_t retry_at;
	bool in_flight;
};
TAILQ_HEAD(edit_list, edit);

/* A maintenance wave, as its row was last read or written. */
struct wave {
	wave_row row;
	uint64_t revision;
	bool in_flight;	 /* a commit of its row is outstanding */
	bool marked;	 /* seen in the current scan */
	int64_t read_at; /* when the row was received */
	bstr blocked;	 /* why the next VM can't be drained; empty: it can */
	int64_t next_drain_at; /* earliest next drain */
	unsigned next_index; /* index in the VM list where the search starts */
	int64_t started_at;  /* first seen running here; to estimate the end */
	unsigned done_at_start; /* VMs done at started_at */
	UT_hash_handle hh;
};

/* An operator's request to create or change a wave. */
struct wave_change {
	TAILQ_ENTRY(wave_change) entry;
	uint64_t id;
	uint64_t call;
	op_request request;
	int64_t deadline;
};
TAILQ_HEAD(wave_change_list, wave_change);

/* An operator's request for why a job waits; needs the answer of its cell. */
struct why_request {
	TAILQ_ENTRY(why_request) entry;
	uint64_t call;
	bstr forwarded_by; /* entry VM that forwarded it; empty: this one */
	bstr job;
	int64_t deadline;
};
TAILQ_HEAD(why_request_list, why_request);

/* An operator's request that all entry VMs answer, or another one does. */
struct ask {
	TAILQ_ENTRY(ask) entry;
	uint64_t id; /* identifies the request between VMs */
	uint64_t call;
	op_request request;
	bstr pending_vms; /* VMs without an answer yet, each between spaces */
	unsigned pending;
	op_reply reply; /* the first error, or else the latest reply */
	json_t *body;
	int64_t deadline;
};
TAILQ_HEAD(ask_list, ask);

/* A message to this VM itself, delivered without the network. */
struct local_message {
	TAILQ_ENTRY(local_message) entry;
	peer_message message;
};
TAILQ_HEAD(local_list, local_message);

/* Mean observed run time of a team's tasks with one label. */
struct run_time {
	bstr name;
	uint32_t mean_ms;
	UT_hash_handle hh;
};

/*
 * Alternative policies, which only the bench selects for comparison.  The
 * daemon always uses the first of each.
 */
enum queue_policy { QUEUE_SHARES, QUEUE_FIFO, QUEUE_ROUND_ROBIN };
enum wave_policy { WAVE_ROOM_FOR_RACK, WAVE_BY_RACK, WAVE_BY_NAME };

/* The whole state of an entry VM's reducer. */
struct state {
	enum queue_policy queue_policy;
	enum wave_policy wave_policy;
	bstr vm;
	bstr dc;
	bstr address;
	uint64_t incarnation;
	uint64_t random;
	uint32_t tick_ms, member_renew_ms, member_lease_ms, ping_ms, fresh_ms;
	uint32_t commit_window_ms, task_lease_ms, config_poll_ms, list_poll_ms;
	uint32_t stop_ms, watch_ms;
	uint32_t queue_per_cell, queue_per_team, retention_ms, attempts;

	int64_t now;
	int64_t last_event_at; /* -1: no event yet */
	int64_t resumed_at;    /* end of the latest detected pause */
	struct effects *out;
	struct local_list local;
	uint64_t next_request;
	uint64_t next_serial;
	struct request *requests;

	/* platform, membership, freshness */
	bool platform_up;
	int64_t platform_answered_at;
	struct member *members;
	uint64_t member_revision;
	uint64_t member_seq;
	uint64_t member_request;
	uint64_t member_scan_request;
	int64_t renew_at;
	int64_t member_scan_at;
	int64_t lease_until;
	int64_t members_scanned_at; /* latest successful scan */
	int64_t ping_at;
	uint64_t ping_seq;
	int64_t proof_at; /* key withdrawals up to this time are known here */
	bool fresh;

	/* configuration */
	struct config *config;
	bool config_known; /* the head row, or its absence, has been read */
	uint64_t head_revision;
	int64_t head_confirmed_at; /* read of the head that named config */
	bstr head_value;
	uint64_t heads_request;
	int64_t heads_poll_at;
	uint64_t config_get_request;
	struct change_list changes;
	bool ready;

	/* VMs */
	struct vm *vms;
	uint64_t vms_generation;
	uint64_t vms_revision;
	uint64_t vms_target_revision; /* of the head that is being read */
	uint64_t vms_target_generation;
	bool vms_known;
	int64_t vms_current_at; /* when vms last matched the table */
	uint64_t vms_request;
	struct vm_listing *vm_listings;
	uint64_t vm_list_request;
	int64_t vm_list_poll_at;
	struct edit_list edits;
	struct wave *waves;
	struct wave_change_list wave_changes;
	uint64_t waves_request;
	int64_t waves_poll_at;

	struct unit *units;
	uint64_t units_revision; /* configuration that units reflect */
	/* Gauges, as last reported. */
	uint64_t reported_cells, reported_shards;
	uint64_t reported_queued, reported_running;
	struct job *jobs;
	struct job_list active;
	struct job_list finished;
	unsigned finished_count;
	struct forward_list forwards;
	struct why_request_list why_requests;
	struct ask_list asks;
	bstr forwarded_by; /* of the current operator request; not owned */
	struct run_time *run_times;

	bool stopping;
	bool stopped;
	int64_t stop_at;
};

/* reduce.c: effects and small helpers. */
effect *effect_add(struct state *st, effect_kind kind);
void effect_count(struct state *st, enum counter_id id, uint64_t n);
void effect_log(struct state *st, uint32_t number, const char *fmt, ...)
	PRINTF_LIKE(3, 4);
void effect_wake(struct state *st, int64_t at);
uint64_t state_random(struct state *st, uint64_t below);
uint64_t hash64(bstr a, bstr b);

/* reduce-table.c: requests to the platform. */
struct request *request_new(struct state *st, enum request_kind kind,
			    bstr name);
struct request *request_find(struct state *st, uint64_t id);
void request_free(struct state *st, struct request *rq);
bstr request_name(uint64_t number);
uint64_t request_number(bstr name);
uint64_t table_read(struct state *st, enum request_kind kind, bstr name,
		    const bstr *keys, size_t count);
uint64_t table_scan(struct state *st, enum request_kind kind, bstr name,
		    bstr prefix);
uint64_t object_get(struct state *st, enum request_kind kind, bstr name,
		    bstr object);
uint64_t object_put(struct state *st, enum request_kind kind, bstr name,
		    bstr object, bstr body);
void commit_check(fx_commit *c, bstr key, uint64_t revision);
void commit_put(fx_commit *c, bstr key, xdrproc_t proc, const void *value);
void commit_put_bytes(fx_commit *c, bstr key, bstr value);
void commit_remove(fx_commit *c, bstr key);
/* Takes ownership of c's content; give_up_at 0: retries until certain. */
uint64_t table_commit(struct state *st, enum request_kind kind, bstr name,
		      fx_commit *c, int64_t give_up_at);
void platform_event(struct state *st, const ev_platform *ev);
void requests_tick(struct state *st);
const table_row *row_find(const ev_platform *ev, bstr key);
uint64_t row_revision(const ev_platform *ev, bstr key);

/* reduce-member.c: membership and leases of entry VMs. */
void member_tick(struct state *st);
void member_renewed(struct state *st, struct request *rq,
		    const ev_platform *ev);
void member_read(struct state *st, const ev_platform *ev);
void member_scanned(struct state *st, struct request *rq,
		    const ev_platform *ev);
struct member *member_find(struct state *st, bstr vm);
bool member_alive(const struct member *m);
bool member_reachable(const struct state *st, const struct member *m);
void member_ping(struct state *st, bstr from, const pm_ping *p, bool pong);
void member_leaving(struct state *st, bstr from);
void member_ping_all(struct state *st);
void member_free_all(struct state *st);
void members_paused(struct state *st);
bool lease_valid(const struct state *st);
bstr unit_choose(struct state *st, const struct unit *u);
bool unit_is_fallback_owner(struct state *st, const struct unit *u);
bstr unit_choose_next(struct state *st, const struct unit *u, unsigned skipped);
void peer_send(struct state *st, bstr to, const peer_message *m);

/* reduce-key.c: proof that the configuration is fresh; key checks. */
void proof_update(struct state *st);
void proof_confirm_head(struct state *st, int64_t sent_at);
bool proof_fresh(const struct state *st);
const struct team *key_check(struct state *st, const caller_request *rq,
			     caller_answer *refusal);

/* reduce-config.c: the configuration in force and changes to it. */
void config_tick(struct state *st);
void heads_read(struct state *st, struct request *rq, const ev_platform *ev);
void config_got(struct state *st, struct request *rq, const ev_platform *ev);
void change_add(struct state *st, uint64_t call, const op_request *rq);
void change_put(struct state *st, const ev_platform *ev);
void change_committed(struct state *st, struct request *rq,
		      const ev_platform *ev);
void change_free(struct state *st, struct change *c);
json_t *config_history(const struct state *st);

/* reduce-own.c: ownership of cells and shards. */
void units_tick(struct state *st);
void unit_read(struct state *st, struct request *rq, const ev_platform *ev);
void unit_claimed(struct state *st, struct request *rq, const ev_platform *ev);
void unit_released(struct state *st, struct request *rq, const ev_platform *ev);
void unit_loaded(struct state *st, struct unit *u);
void unit_drop(struct state *st, struct unit *u, const char *why);
void units_mark_unverified(struct state *st);
struct unit *unit_find(struct state *st, bstr name);
struct unit *unit_of_cell(struct state *st, const cell_id *id);
struct unit *unit_of_shard(struct state *st, uint32_t index);
bool unit_is_active(const struct state *st, const struct unit *u);
void units_free(struct state *st);

/* reduce-claim.c: a shard's journal. */
void shard_load(struct state *st, struct unit *u);
void shard_scanned(struct state *st, struct unit *u, const ev_platform *ev);
void shard_append(struct state *st, struct shard *s, const journal_record *rec);
void shard_committed(struct state *st, struct unit *u, struct request *rq,
		     const ev_platform *ev);
void shard_trimmed(struct state *st, struct unit *u, const ev_platform *ev);
void shards_tick(struct state *st);
bool shard_withdraw(struct state *st, struct shard *s, bstr job);
bool shard_is_flushed(const struct shard *s);
void shard_free(struct state *st, struct shard *s);

/* reduce-call.c: callers' requests, here and forwarded. */
void call_event(struct state *st, uint64_t call, const caller_request *rq);
void call_gone(struct state *st, uint64_t call);
void call_forwarded(struct state *st, bstr from, const pm_forward *m);
void call_answered(struct state *st, const pm_answer *m);
void call_unowned(struct state *st, bstr from, const pm_unowned *m);
void call_peer_lost(struct state *st, bstr vm);
void calls_tick(struct state *st);
void call_redirect(struct state *st, struct job *j, struct waiter *w);
void calls_stop(struct state *st);
void answer_send(struct state *st, bstr vm, uint64_t call,
		 const caller_answer *a);
void answer_refuse(struct state *st, bstr vm, uint64_t call, uint32_t http,
		   enum counter_id counter, const char *detail,
		   uint32_t retry_after_ms);
void forwards_free(struct state *st);

/* reduce-job.c: a job at its home. */
uint32_t job_shard(bstr id);
bool job_id_is_soft(bstr id, bstr *vm);
struct job *job_find(struct state *st, bstr id);
struct job *job_new(struct state *st, bstr id, const job_spec *spec,
		    struct shard *shard);
void job_submit(struct state *st, struct shard *shard, bstr id,
		const job_spec *spec, bstr digest, bstr vm, uint64_t call);
void job_cancel(struct state *st, struct job *j);
bool job_is_final(const struct job *j);
bool job_final_ready(const struct job *j);
void job_claimed(struct state *st, struct job *j);
void job_final_durable(struct state *st, struct job *j);
void job_update(struct state *st, bstr from, const pm_update *m);
void job_unowned(struct state *st, const pm_unowned *m);
void jobs_peer_lost(struct state *st, bstr vm);
void jobs_paused(struct state *st);
void jobs_tick(struct state *st);
void job_set_cell(struct job *j, const cell_id *cell);
void job_free(struct state *st, struct job *j);

/* reduce-wait.c: callers that wait for a job, and their answers. */
void job_wait(struct state *st, struct job *j, bstr vm, uint64_t call,
	      int64_t deadline, bool until_final, bool submit);
void job_answer_waiters(struct state *st, struct job *j);
void waiter_refuse(struct state *st, struct job *j, struct waiter *w,
		   const char *detail, uint32_t retry);
void waiter_refuse_claim(struct state *st, struct job *j, struct waiter *w);
void waiter_free(struct job *j, struct waiter *w);
void waiters_free(struct job *j);

/* reduce-home.c: jobs of a shard that is taken over or given up. */
void job_replay(struct state *st, struct shard *s, const journal_record *rec);
void jobs_resume(struct state *st, struct shard *s);
void jobs_drop(struct state *st, struct shard *s);

/* reduce-cell.c: tasks of a cell. */
void cell_start(struct state *st, struct unit *u);
void cell_dispatch(struct state *st, bstr from, const pm_dispatch *m);
void cell_cancel(struct state *st, bstr from, const pm_attempt *m);
void cell_query(struct state *st, bstr from, const pm_attempt *m);
void cell_ack(struct state *st, const pm_attempt *m);
void cells_tick(struct state *st);
void cells_schedule(struct state *st);
bool cell_state_known(struct state *st, struct cell *c);
void cell_free(struct state *st, struct cell *c);
struct cell_team *cell_team_get(struct state *st, struct cell *c, bstr team);
void task_end(struct state *st, struct cell *c, struct task *t, job_state state,
	      const char *reason, const char *detail);
void task_requeue(struct state *st, struct cell *c, struct task *t);
void task_notify(struct state *st, struct cell *c, struct task *t);
void task_lost(struct state *st, struct cell *c, struct task *t);
void task_place(struct cell *c, struct task *t, struct worker *w);
void task_release_resources(struct cell *c, struct task *t);
void task_free(struct cell *c, struct task *t);
void task_report_handle(struct state *st, struct cell *c, struct worker *w,
			const task_report *r);

/* reduce-queue.c: scheduling: which task starts next, and on which worker. */
void queue_add(struct state *st, struct cell *c, struct task *t);
void queue_remove(struct cell *c, struct task *t);
void cell_schedule(struct state *st, struct cell *c);
const char *task_wait_reason(struct state *st, struct cell *c, struct task *t,
			     bstr *detail);
void run_time_observe(struct state *st, const struct task *t, uint32_t ran_ms);

/* reduce-worker.c: exchanges with workers. */
void workers_tick(struct state *st, struct cell *c);
void worker_flush(struct state *st, struct worker *w);
void worker_event(struct state *st, const ev_worker *ev);
void worker_order(struct state *st, struct worker *w, bstr task,
		  task_verb verb);
bool worker_usable(const struct state *st, const struct worker *w);
void worker_free(struct cell *c, struct worker *w);
void worker_confirm_ended(struct worker *w, bstr task);
bool worker_is_empty(struct state *st, bstr vm);
void worker_health_recorded(struct state *st, bstr vm, bool failed);
void worker_add_unconfirmed(struct worker *w, bstr task,
			    struct cell_team *team);

/* reduce-boot.c: record of worker restarts, which lose task state. */
void boots_tick(struct state *st, struct cell *c);
bool boots_durable(struct state *st, struct cell *c);
bool boot_recorded(const struct worker *w);
void boots_read(struct state *st, struct request *rq, const ev_platform *ev);
void boots_committed(struct state *st, struct request *rq,
		     const ev_platform *ev);

/* reduce-limit.c: cells' allowances of the teams' upper limits. */
void limits_tick(struct state *st, struct cell *c);
uint32_t allowance_available(struct state *st, struct cell *c,
			     struct cell_team *t);
uint32_t team_used(const struct cell_team *t);
void allowance_read(struct state *st, struct request *rq,
		    const ev_platform *ev);
void allowance_committed(struct state *st, struct request *rq,
			 const ev_platform *ev);
void allowance_requested(struct state *st, const pm_limit_request *m);
void cell_team_free(struct cell *c, struct cell_team *t);

/* reduce-vm.c: rows of endpoint VMs and the platform's list of VMs. */
#define VM_PREFIX "vm/"
#define VMS_HEAD_KEY "vms/head"
#define HEAD_RECENT_MAX 64 /* changed VMs that the head row names */
void vm_row_apply(struct state *st, const table_row *r);
void vms_apply_committed(struct state *st, const struct request *rq,
			 const ev_platform *ev);
void vms_head_read(struct state *st, struct request *rq, const ev_platform *ev);
void vms_rows_read(struct state *st, struct request *rq, const ev_platform *ev);
void vms_scanned(struct state *st, struct request *rq, const ev_platform *ev);
void vms_listed(struct state *st, const ev_platform *ev);
void vms_tick(struct state *st);
bool vm_leaving(struct state *st, bstr name);
bool vm_absent(struct state *st, bstr name);
struct vm *vm_find(struct state *st, bstr name);
void vms_free(struct state *st);

/* reduce-pool.c: changes to VMs' rows, drains, budgets. */
void edit_add(struct state *st, uint64_t call, const op_request *rq);
void edit_vm(struct state *st, enum edit_kind kind, bstr vm, bstr boot);
void edit_wave(struct state *st, enum edit_kind kind, bstr vm, bstr wave,
	       uint32_t deadline_ms);
void edit_read(struct state *st, struct request *rq, const ev_platform *ev);
void edit_committed(struct state *st, struct request *rq,
		    const ev_platform *ev);
void edits_tick(struct state *st);
void edits_free(struct state *st);

/* reduce-wave.c: maintenance waves. */
void op_wave_change(struct state *st, uint64_t call, const op_request *rq);
void op_wave_show(struct state *st, uint64_t call, const op_request *rq);
void waves_scanned(struct state *st, const ev_platform *ev);
void wave_read(struct state *st, struct request *rq, const ev_platform *ev);
void wave_changed(struct state *st, struct request *rq, const ev_platform *ev);
void wave_committed(struct state *st, struct request *rq,
		    const ev_platform *ev);
void wave_drained(struct state *st, bstr wave, bstr vm, op_status status,
		  const char *detail);
bool wave_tracks_vm(struct state *st, bstr wave, bstr vm);
void waves_tick(struct state *st);
void waves_free(struct state *st);

/* reduce-op.c: operators' requests. */
bool ops_pending(struct state *st);
void ops_stop(struct state *st);
void op_event(struct state *st, uint64_t call, const op_request *rq);
void op_forwarded(struct state *st, bstr from, const pm_operate *m);
void op_answer(struct state *st, uint64_t call, op_status status,
	       const char *reason, const char *detail, uint32_t retry_after_ms,
	       json_t *body);
void op_answer_to(struct state *st, bstr forwarded_by, uint64_t call,
		  op_status status, const char *reason, const char *detail,
		  uint32_t retry_after_ms, json_t *body);
void op_answer_ok(struct state *st, uint64_t call, json_t *body);
void op_not_found(struct state *st, uint64_t call, const char *what, bstr name);
void op_object_got(struct state *st, struct request *rq, const ev_platform *ev);
void json_set_str(json_t *o, const char *name, bstr value);
void json_set_int(json_t *o, const char *name, uint64_t value);

/* reduce-why.c: explains why a job or a team waits. */
void op_why_job(struct state *st, uint64_t call, const op_request *rq);
void op_why_team(struct state *st, uint64_t call, const op_request *rq);
void op_why_job_answer(struct state *st, const struct job *j);
void why_requests_tick(struct state *st);
void why_requests_free(struct state *st);

/* reduce-ask.c: operators' requests that other entry VMs answer. */
void ask_all(struct state *st, uint64_t call, const op_request *rq);
bool ask_home(struct state *st, uint64_t call, const op_request *rq);
void ask_answered(struct state *st, bstr from, const pm_op_reply *m);
void asks_tick(struct state *st);
void asks_free(struct state *st);

#endif
