/*
 * The scheduler: what an entry VM believes and decides about jobs of steps,
 * the workers that run their tasks, and the machines below.  One reducer,
 * sched_reduce, takes events and returns effects; it does no I/O and reads no
 * clock.  platform/ turns effects into the platform's calls and back.
 *
 * Every entry VM accepts jobs and answers for them from the store.  One of
 * them at a time, the owner, places tasks; its epoch fences its orders.
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
#define TASKS_MAX 4096 /* of one job, all steps */

/* An amount of what a worker has and a task needs. */
struct size {
	int64_t cpu;	/* thousandths of a core */
	int64_t memory; /* MB */
	int64_t gpus;
};

/* What a caller asks to be run. */
struct job_step {
	unsigned count;
	struct size need;
	uint32_t estimated_ms;
	unsigned *prerequisites; /* numbers of earlier steps */
	size_t prerequisite_count;
	bool checkpoints;
	bool gang;		 /* its tasks work only all together */
	bool locality_sensitive; /* slow when spread over racks */
	bool speculative;	 /* copies of a task may run side by side */
	bool long_running;	 /* runs until cancelled */
	bool best_effort;	 /* uses only what others leave idle */
	bstr required_label;	 /* a worker must have it; empty: any */
	bstr data_rack;		 /* where its data is; empty: anywhere */
	bstr image;
	unsigned max_per_worker; /* at most so many on one worker; 0: any */
	uint32_t
		target_latency_ms; /* tail latency of a lasting task; 0: none */
	unsigned max_unavailable;  /* tasks that planned work may take away at
				      once */
};
struct job_body {
	bstr payload;
	struct job_step *steps;
	size_t step_count;
	unsigned repeat_count; /* 0: once, at once */
	int64_t first_at;      /* wall clock, ms */
	int64_t interval_ms;
};

/* The operator's configuration. */
struct route {
	bstr name;
	bstr host;
	bstr prefix;
	bstr service;
	bool no_key; /* needs no key */
	unsigned priority;
	unsigned attempts;
	double stretch;
	uint32_t objective_ms; /* on top of the stretched work */
	bool needs_ticket;     /* placement needs the advice service */
};
struct tenant {
	bstr name;
	bstr *keys;
	size_t key_count;
	double weight;
	struct size maximum; /* 0: no limit */
};
struct service {
	bstr name;
	bool checks_capacity; /* its workers refuse what does not fit */
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

/* What a worker says of itself in its row. */
struct worker_row {
	bstr service;
	bstr address;
	bstr zone;
	bool draining;
	struct size capacity;
	bstr *labels;
	size_t label_count;
	int64_t started_at; /* 0: not said */
};

/* A request of the operator to maintain machines. */
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
	TABLE_JOBS,	/* a row for each job; another for its cancel */
	TABLE_PROGRESS, /* a row for each job: state, what is done */
	TABLE_OWNER,	/* who owns the scheduling; the owner's beat */
	TABLE_NOTES,	/* what a successor has to know; nobody follows it */
	TABLE_STATUS,	/* read by the operator */
	TABLE_MAX
};

enum row_kind {
	ROW_RAW, /* one of our own */
	ROW_CONFIG,
	ROW_WAVE,
	ROW_WORKER,
	ROW_BAD /* another writer's, and can't be read */
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
		struct worker_row worker;
	};
};

struct running {
	bstr task;
	uint64_t run;
	bstr checkpoint;
	unsigned percent;
	int64_t load_figure; /* tail in ms if it serves, else cpu in use */
};
enum end_kind {
	END_DONE,
	END_FAILED,
	END_STOPPED,
	END_LAPSED,
	END_GANG_BROKEN,    /* another member of its gang ended */
	END_GANG_INCOMPLETE /* the gang did not come together */
};
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
struct ticket {
	bstr worker;
	bstr text;
};

/* Answers to requests. */
enum outcome {
	OUT_DONE,
	OUT_CONFLICT, /* a condition did not hold; nothing was done */
	OUT_REFUSED,  /* nothing was done and nothing will be */
	OUT_UNKNOWN,  /* it may have been done, or be done later */
	OUT_COMPACTED /* the history asked for is not kept any more */
};
enum refusal {
	REFUSAL_NONE,
	REFUSAL_STALE_EPOCH, /* a later owner has given orders there */
	REFUSAL_STALE_RUN,   /* a run not higher than one known there */
	REFUSAL_LATE,	     /* its start deadline had passed */
	REFUSAL_CAPACITY,    /* does not fit */
	REFUSAL_TICKET,	     /* the placement ticket does not hold */
	REFUSAL_BUSY,	     /* a machine that is not up, or leaving */
	REFUSAL_WAVE,	     /* a machine that is not of this wave */
	REFUSAL_OTHER_LIFE,  /* another worker answers at that address */
	REFUSAL_UNHEALTHY,   /* overloaded or unhealthy */
	REFUSAL_INVALID,
	REFUSAL_NOT_SENT
};
struct answer {
	uint64_t request;
	enum outcome outcome;
	enum refusal refusal;
	int64_t sent_at;
	int64_t connected_at; /* the connection it went by; 0: not known */
	uint64_t revision;
	struct row *rows;
	size_t row_count;
	bool more;
	int64_t clock;		   /* the worker's */
	int64_t store_clock;	   /* the store's steady one; 0: not said */
	int64_t worker_started_at; /* 0: not said */
	struct running *running;
	size_t running_count;
	struct ended *ended;
	size_t ended_count;
	bool ended_truncated; /* there are more than it lists */
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
	struct job_body *body; /* of a submit; NULL: can't be read */
	char *body_error;      /* why not; malloced */
	int64_t deadline;
};

enum sched_event_kind { EVENT_TICK, EVENT_CALL, EVENT_ANSWER, EVENT_STOP };
struct sched_event {
	enum sched_event_kind kind;
	int64_t now;
	int64_t wall;
	bool more_follow; /* others follow at once: placing waits for the last
			   */
	union {
		struct call_in call;
		struct answer answer;
	};
};

/* Effects. */
enum reply_kind { REPLY_EMPTY, REPLY_STATE, REPLY_WAITING, REPLY_ERROR };
struct reply {
	uint64_t call;
	int status;
	enum reply_kind kind;
	const char *text; /* the state, or what is wrong */
	uint64_t waiting;
	uint32_t retry_after_s; /* 0: not said */
};
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
 * Rows of one part are written one transaction after another, those of
 * different parts side by side.  0: the part that all tables have.
 */
#define JOB_PARTS 16 /* 1 to 16, by the first digit of the id */
struct tx_expect {
	enum table table;
	unsigned part;
	bstr key;
	uint64_t revision; /* 0: the row must not exist */
};
struct tx_write {
	enum table table;
	unsigned part;
	bstr key;
	bstr value;
};
struct tx {
	struct tx_expect *conditions;
	size_t condition_count;
	struct tx_write *writes;
	size_t write_count;
	struct tx_write *removes; /* without values */
	size_t remove_count;
};
struct range {
	enum table table;
	unsigned part; /* not of feeds: those bring all parts */
	bstr from;     /* keys; empty: from the start */
	unsigned limit;
	uint64_t after; /* a revision; feeds only */
	uint32_t wait_ms;
};
struct order {
	bstr worker; /* its id; orders are for this life only */
	bstr address;
	bstr task;
	uint64_t run;
	uint64_t epoch;
	int64_t deadline; /* on the worker's clock; 0: none */
	uint64_t ack_through;
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
	EFFECT_READY, /* for new connections or not */
	EFFECT_LOG,
	EFFECT_COUNT,	/* add to a counter */
	EFFECT_GAUGE,	/* set one */
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

/* Mechanisms that can be left out, see policy.def. */
enum policy {
#define POLICY(name, word, text) POLICY_##name,
#include "policy.def"
#undef POLICY
	POLICY_MAX
};

struct sched_options {
	bstr vm;
	bstr zone;
	uint64_t seed; /* also names this life of the process */
	int64_t lease_max_ms;
	int64_t stop_ms;
	int64_t keep_ms; /* final states are kept for */
	int64_t grace_ms;
	int64_t harm_ms;
	int64_t notice_ms;
	int64_t maintenance_ms;
	int64_t move_ms;
	unsigned machine_calls_per_s; /* that the platform takes from all VMs */
	double far_factor;
	double cpu_share;  /* cores that this VM may use */
	unsigned disabled; /* mechanisms left out, a bit each */
};
struct sched;
struct sched *sched_new(const struct sched_options *o);
void sched_reduce(struct sched *s, const struct sched_event *ev,
		  struct sched_effects *out);
void sched_free(struct sched *s);
enum policy policy_find(const char *word);

/* sched-data.c: freeing and copying what events and effects hold. */
void job_body_free(struct job_body *b); /* and b itself */
void fleet_config_free(struct fleet_config *c);
void wave_row_free(struct wave_row *w);
void worker_row_free(struct worker_row *w);
void sched_event_free(struct sched_event *ev);
void sched_effect_free(struct sched_effect *fx);
bool size_fits(struct size need, struct size room);
struct size size_add(struct size a, struct size b);
struct size size_most(struct size a, struct size b); /* of each resource */
struct size size_sub(struct size a, struct size b);

#ifdef __cplusplus
}
#endif
#endif
