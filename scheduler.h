/*
 * The scheduler of an entry VM: its state and decisions about jobs, which
 * consist of steps and tasks, the workers that run the tasks, and the machines
 * that the workers run on.  A single reducer, sched_reduce, takes events and
 * returns effects; it does no I/O and reads no clock.  platform/ translates
 * effects into calls of the platform's interfaces, and the answers into events.
 *
 * Every entry VM accepts jobs and answers callers from the store.  One VM at a
 * time, the owner, places tasks; its epoch fences its orders.
 */
#ifndef SCHEDULER_H
#define SCHEDULER_H

#include "bamboofront.h"

#include "bstr-hash.h"

#ifdef __cplusplus
extern "C" {
#endif

#define JOB_ID_BYTES 16
#define STEPS_MAX 64
#define TASKS_MAX 4096 /* per job, all steps together */
/* Tasks of a job's occurrences that are due; others wait until some are done.
 */
#define OPEN_TASKS_MAX (4 * TASKS_MAX)

/* Resources that a worker offers or a task needs. */
struct resources {
	int64_t cpu;	/* thousandths of a core */
	int64_t memory; /* MB */
	int64_t gpus;
};

/* A step of a job: a number of equal tasks. */
struct job_step {
	unsigned count;
	struct resources need;
	uint32_t estimated_ms;
	unsigned *prerequisites; /* indexes of earlier steps */
	size_t prerequisite_count;
	bool checkpoints;
	bool gang;	     /* its tasks must all run at the same time */
	bool same_rack;	     /* slow if spread over several racks */
	bool speculative;    /* copies of a task may run in parallel */
	bool long_running;   /* runs until cancelled */
	bool best_effort;    /* uses only CPU that others leave idle */
	bstr required_label; /* of the worker; empty: any */
	bstr preferred_rack; /* where its data is; empty: no preference */
	bstr image;
	unsigned max_per_worker;    /* tasks on one worker; 0: no limit */
	uint32_t target_latency_ms; /* tail, of long-running tasks; 0: none */
	unsigned max_unavailable; /* tasks that maintenance may stop at once */
};

/* A job as its caller submits it. */
struct job_body {
	bstr payload;
	struct job_step *steps;
	size_t step_count;
	unsigned repeat_count; /* 0: runs once, immediately */
	int64_t first_at;      /* wall clock, ms */
	int64_t interval_ms;
};

/* A queue of jobs in the operator's configuration, selected by URL. */
struct route {
	bstr name;
	bstr host;
	bstr prefix;
	bstr service;
	bool no_key; /* accepts requests without a key */
	unsigned priority;
	unsigned attempts;
	double stretch;
	uint32_t objective_ms; /* added to stretch * expected run time */
	bool needs_ticket; /* placement needs tickets of the advice service */
};

/* An organisation. */
struct tenant {
	bstr name;
	bstr *keys;
	size_t key_count;
	double weight;		  /* its share; 0: none */
	struct resources maximum; /* 0: no limit */
};

/* A pool of workers in the operator's configuration. */
struct service {
	bstr name;
	bool checks_capacity; /* its workers refuse tasks that don't fit */
	bool standby;
};

struct fleet_config {
	uint64_t version;
	struct route *routes;
	size_t route_count;
	struct tenant *tenants;
	size_t tenant_count;
	struct service *services;
	size_t service_count;
};

/* The row that a worker writes about itself. */
struct worker_row {
	bstr service;
	bstr address;
	bstr zone;
	bool draining;
	struct resources capacity;
	bstr *labels;
	size_t label_count;
	int64_t started_at; /* 0: not reported */
};

/* The operator's request for a maintenance wave. */
struct wave_row {
	uint64_t number;
	bstr *machines;
	size_t machine_count;
	int64_t finish_by_s;
	unsigned max_unavailable;
};

enum table {
	TABLE_OPERATOR, /* written by the operator */
	TABLE_WORKERS,	/* written by the workers */
	TABLE_JOBS,	/* one row for each job, one for its cancellation */
	TABLE_PROGRESS, /* one row for each job: state, completed tasks */
	TABLE_OWNER,	/* ownership of the scheduling, owner's heartbeat */
	TABLE_NOTES,	/* information for a successor; read once */
	TABLE_STATUS,	/* read by the operator */
	TABLE_MAX
};

enum row_kind {
	ROW_RAW, /* written by the scheduler */
	ROW_CONFIG,
	ROW_WAVE,
	ROW_EVACUATION,
	ROW_WORKER,
	ROW_BAD /* of another writer, and malformed */
};
struct row {
	enum table table;
	bstr key;
	bstr value;
	uint64_t revision;
	bool removed;
	enum row_kind kind;
	union {
		struct fleet_config *config;
		struct wave_row wave;
		bstr evacuated_dc; /* of a removed row as well */
		struct worker_row worker;
	};
};

/* A run that a worker lists as running. */
struct running {
	bstr task;
	uint64_t run;
	bstr checkpoint;
	unsigned percent;
	int64_t load_figure; /* tail latency in ms if it serves, else CPU use */
};
enum end_kind {
	END_DONE,
	END_FAILED,
	END_STOPPED,
	END_LAPSED,
	END_GANG_BROKEN,    /* another task of its gang ended */
	END_GANG_INCOMPLETE /* not all tasks of the gang started */
};

/* The end of a run, as a worker lists it. */
struct ended {
	uint64_t number;
	bstr task;
	uint64_t run;
	enum end_kind kind;
	bstr checkpoint;
};

enum machine_state {
	MACHINE_UP,
	MACHINE_MOVING,
	MACHINE_MAINTENANCE,
	MACHINE_DOWN
};
struct machine_row {
	bstr machine;
	bstr pool;
	bstr worker;
	bstr zone;
	enum machine_state state;
};

/* Permission of the advice service to place a step on a worker. */
struct ticket {
	bstr worker;
	bstr text;
};

/* The outcome of a request. */
enum outcome {
	OUT_DONE,
	OUT_CONFLICT, /* a condition failed; nothing was done */
	OUT_REFUSED,  /* not done, and will not be done later */
	OUT_UNKNOWN,  /* may have been done, or may be done later */
	OUT_COMPACTED /* the requested feed history was discarded */
};

/* Why a worker or the platform refused an order. */
enum refusal {
	REFUSAL_NONE,
	REFUSAL_STALE_EPOCH,   /* a later owner has sent orders there */
	REFUSAL_STALE_RUN,     /* run number is not above the highest known */
	REFUSAL_LATE,	       /* the start deadline has passed */
	REFUSAL_CAPACITY,      /* not enough free resources */
	REFUSAL_TICKET,	       /* the placement ticket is not valid */
	REFUSAL_BUSY,	       /* the machine is not up, or is being moved */
	REFUSAL_WAVE,	       /* the machine is not part of this wave */
	REFUSAL_OTHER_PROCESS, /* another worker process answers at the address
				*/
	REFUSAL_UNHEALTHY,     /* worker overloaded or unhealthy */
	REFUSAL_INVALID,       /* it is refused each time */
	REFUSAL_NOT_SENT
};

/* An answer to a request; which members are set depends on its kind. */
struct answer {
	uint64_t request;
	enum outcome outcome;
	enum refusal refusal;
	int64_t sent_at;
	int64_t connected_at; /* start of its connection; 0: not known */
	bool repeated;	      /* the request was sent twice */
	uint64_t revision;
	struct row *rows;
	size_t row_count;
	bool more;
	int64_t clock;	     /* the worker's monotonic clock */
	int64_t store_clock; /* the store's monotonic clock; 0: not reported */
	int64_t worker_started_at; /* 0: not reported */
	struct running *running;
	size_t running_count;
	struct ended *ended;
	size_t ended_count;
	bool ended_truncated; /* the worker has more ends than these */
	struct machine_row *machines;
	size_t machine_count;
	bstr next_page;
	struct ticket *tickets;
	size_t ticket_count;
	int64_t valid_ms;
};

/* A caller's request. */
enum call_verb { VERB_SUBMIT, VERB_STATE, VERB_CANCEL, VERB_OTHER };
struct call_in {
	uint64_t id;
	enum call_verb verb;
	bstr host;
	bstr path;
	bstr key;	       /* empty: none */
	struct job_body *body; /* of a submit; NULL: malformed */
	char *body_error;      /* what is malformed; allocated */
	int64_t deadline;
};

enum sched_event_kind { EVENT_TICK, EVENT_CALL, EVENT_ANSWER, EVENT_STOP };
struct sched_event {
	enum sched_event_kind kind;
	int64_t now;
	int64_t wall;
	bool more_follow; /* more events follow; placement waits for the last */
	union {
		struct call_in call;
		struct answer answer;
	};
};

/* A reply to a caller. */
enum reply_kind { REPLY_EMPTY, REPLY_STATE, REPLY_WAITING, REPLY_ERROR };
struct reply {
	uint64_t call;
	int status;
	enum reply_kind kind;
	const char *text; /* job state or error message */
	uint64_t waiting;
	uint32_t retry_after_s; /* 0: no Retry-After header */
};

/* Kinds of requests to the store, to workers and to the platform. */
enum ask_kind {
	ASK_TX,
	ASK_GET,
	ASK_FEED,
	ASK_POLL,
	ASK_START,
	ASK_STOP,
	ASK_PACE,
	ASK_ADVICE,
	ASK_MACHINES,
	ASK_MAINTENANCE,
	ASK_MOVE
};

/*
 * Transactions on rows of the same part of a table run one after another,
 * those on different parts run in parallel.  Every table has part 0.  Jobs are
 * in parts 1 to 16, by the first hexadecimal digit of their id.
 */
#define JOB_PARTS 16

/* The name of a row; row_ref() makes it, as a key alone doesn't tell the part.
 */
struct row_ref {
	enum table table;
	unsigned part;
	bstr key;
};
/* A condition of a transaction: a row has this revision. */
struct tx_expect {
	struct row_ref row;
	uint64_t revision; /* 0: the row must not exist */
};
struct tx_write {
	struct row_ref row;
	bstr value;
};
struct tx {
	struct tx_expect *conditions;
	size_t condition_count;
	struct tx_write *writes;
	size_t write_count;
	struct row_ref *removes;
	size_t remove_count;
};

/* Rows to read from a table, or from its change feed. */
struct range {
	enum table table;
	unsigned part; /* unused for feeds, which cover all parts */
	bstr from;     /* first key; empty: from the start */
	unsigned limit;
	uint64_t after; /* revision after which to read; feeds only */
	uint32_t wait_ms;
};

/* A request to a worker or to the platform. */
struct order {
	bstr worker; /* id; valid for this worker process only */
	bstr address;
	bstr task;
	uint64_t run;
	uint64_t epoch;	      /* fencing token: of the worker, or the epoch */
	int64_t deadline;     /* on the worker's clock; 0: none */
	uint64_t ack_through; /* ends up to this number are durable */
	uint32_t wait_ms;
	unsigned percent;
	bstr payload;
	bstr checkpoint;
	bstr ticket;
	bstr machine;
	bstr pool;
	bstr holder;
	uint64_t wave;
	bstr page;
	bstr step;
	bstr *workers; /* ids, for advice */
	size_t worker_count;
};

struct ask {
	uint64_t request;
	enum ask_kind kind;
	int64_t deadline;
	union {
		struct tx tx;
		struct range range;
		struct order order;
	};
};

enum sched_effect_kind {
	EFFECT_REPLY,
	EFFECT_ASK,
	EFFECT_READY, /* whether to accept new connections */
	EFFECT_LOG,
	EFFECT_COUNT,	/* add to a counter */
	EFFECT_GAUGE,	/* set a gauge */
	EFFECT_OBSERVE, /* add to a histogram */
	EFFECT_END	/* the process may end */
};

struct sched_effect {
	TAILQ_ENTRY(sched_effect) entry;
	enum sched_effect_kind kind;
	union {
		struct reply reply;
		struct ask ask;
		bool ready;
		struct {
			uint32_t number;
			char *text;
		} log;
		struct {
			enum counter_id id;
			uint64_t n;
		} count;
		struct {
			enum histogram_id id;
			int64_t ms;
		} observe;
	};
};
TAILQ_HEAD(sched_effects, sched_effect);

/* Mechanisms that can be disabled, see policy.def. */
enum policy {
#define POLICY(name, word, text) POLICY_##name,
#include "policy.def"
#undef POLICY
	POLICY_MAX
};

struct sched_options {
	bstr vm;
	bstr zone;
	uint64_t seed; /* also identifies this process in the owner row */
	int64_t lease_max_ms;	/* longest lease that a worker holds */
	int64_t stop_ms;	/* read from the settings, but not used */
	int64_t keep_ms;	/* how long final jobs are kept */
	int64_t grace_ms;	/* for requests in flight at a planned stop */
	int64_t harm_ms;	/* read from the settings, but not used */
	int64_t notice_ms;	/* read from the settings, but not used */
	int64_t maintenance_ms; /* how long a machine is down */
	int64_t move_ms;	/* how long a move between pools takes */
	int64_t evacuation_ms; /* from the request until nothing starts there */
	unsigned machine_calls_per_s; /* platform's limit for all VMs */
	double far_factor;	      /* read from the settings, but not used */
	double cpu_share;	      /* processor cores available to this VM */
	size_t row_bytes;  /* longest value of a row in the store, as base64;
			    * 0: the default */
	unsigned disabled; /* bit mask of disabled policies */
};
struct sched;
struct sched *sched_new(const struct sched_options *o);
void sched_reduce(struct sched *s, const struct sched_event *ev,
		  struct sched_effects *out);
void sched_free(struct sched *s);
enum policy policy_find(const char *word);

/* sched-data.c: freeing events and effects, computing with resources */
void job_body_free(struct job_body *b); /* frees b as well */
void route_free(struct route *r);
void tenant_free(struct tenant *t);
void fleet_config_free(struct fleet_config *c);
void wave_row_free(struct wave_row *w);
void worker_row_free(struct worker_row *w);
void sched_event_free(struct sched_event *ev);
void sched_effect_free(struct sched_effect *fx);
bool resources_fit(struct resources need, struct resources room);
struct resources resources_add(struct resources a, struct resources b);
struct resources resources_max(struct resources a, struct resources b);
struct resources resources_sub(struct resources a, struct resources b);

#ifdef __cplusplus
}
#endif
#endif
