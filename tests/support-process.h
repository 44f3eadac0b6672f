/*
 * A small installation of real processes for tests: a fake platform, fake
 * workers, and entry VMs in several data centres.  It comes with callers and
 * operators, and with a check of what the callers were answered against the
 * log of the workers.
 */
#ifndef SUPPORT_PROCESS_H
#define SUPPORT_PROCESS_H

#include "../bamboofront.h"
#include "../operator.h"
#include "standin.h"

#include <stdatomic.h>

#define VMS_MAX 4
#define DCS_MAX 3

/* Times in the settings of the entry VMs. */
#define LEASE_MS 2500 /* lease of an entry VM */
#define FRESH_MS 2500
#define TASK_LEASE_MS 6000

struct relay_net;

struct entry_vm {
	char name[8];
	char dc[2];
	pid_t pid;	     /* 0: not running */
	unsigned generation; /* number of its process */
	uint16_t callers_port, operators_port, peers_port, platform_port;
};

struct install {
	char dir[64];
	struct standin platform;
	struct standin workers[DCS_MAX]; /* a process for each data centre */
	char dcs[DCS_MAX][2];
	size_t dc_count;
	size_t log_count; /* processes in workers; each has one log */
	size_t vm_count;
	struct entry_vm vms[VMS_MAX];
	char *secret;	       /* secret of the team's key */
	struct relay_net *net; /* NULL: not relayed */
};

/*
 * The layout has a letter for each entry VM, which names its data centre:
 * "aab" makes a1, a2 and b1.
 */
struct install_plan {
	const char *layout;
	unsigned workers, slots, limit, budget;
	bool relayed; /* entry VMs reach platform and peers through relays */
	bool one_worker_process; /* for the workers of all data centres */
};

/*
 * Starts all processes, creates the pools and the team, and waits until each
 * entry VM has completed a job.
 */
void install_start(struct install *in, const struct install_plan *plan);
void install_stop(struct install *in);
void vm_start(struct install *in, size_t i);
int vm_signal(struct install *in, size_t i, int sig);

/* Waits for the end of an entry VM; returns its exit status, or -1. */
int vm_wait(struct install *in, size_t i);

/* Returns true if the readiness check of an entry VM succeeds. */
bool vm_ready(const struct install *in, size_t i);

/*
 * Returns the index of the entry VM that owns a shard or cell according to its
 * row in the table, or SIZE_MAX.
 */
size_t vm_owner(const struct install *in, const char *unit);

/* Returns the key of the shard's row that a job belongs to. */
char *unit_of_job(const char *job);

void nap_ms(unsigned ms);

/*
 * Waits until an expression is true; its value is false if that takes more
 * than so many seconds.
 */
#define EVENTUALLY(seconds, what)                                      \
	({                                                             \
		int64_t deadline_ = clock_now() + (seconds)*1000;      \
		bool result_;                                          \
		while (!(result_ = (what)) && clock_now() < deadline_) \
			nap_ms(20);                                    \
		result_;                                               \
	})

/*
 * Sends an operator's request to an entry VM.  *answer gets the reply's body
 * and *secret a new key's secret; both pointers may be NULL.
 */
op_status operate(const struct install *in, size_t vm, const op_request *rq,
		  json_t **answer, bstr *secret);
#define OP_VM_REQUEST(op, name, to)              \
	&(op_request)                            \
	{                                        \
		.kind = op, .op_request_u.vm = { \
			.vm = bstr_lit(name),    \
			.pool = bstr_lit(to),    \
			.deadline_ms = 1000      \
		}                                \
	}

/*
 * Returns the pool of a VM as an operator sees it, "" if unknown.  The caller
 * frees it.
 */
char *vm_pool_get(const struct install *in, size_t vm, const char *name);

/*
 * Returns the answer of the operator's request that explains a job.  The caller
 * frees it.
 */
char *job_explain(const struct install *in, size_t vm, const char *job);

/* The response to a caller's request. */
struct caller_response {
	int status;	      /* 0: no response */
	unsigned retry_after; /* in seconds; 0: none */
	json_t *json;
};

/* Sends a caller's request to an entry VM on a new connection. */
struct caller_response caller_ask(const struct install *in, size_t vm,
				  const char *method, const char *path,
				  const char *key, const char *body,
				  unsigned timeout_ms);
void caller_response_free(struct caller_response *response);

struct submission {
	const char *key, *label;
	bool may_repeat, wait;
	unsigned run_ms, timeout_ms; /* 0: 30 s */
};

struct caller_response submit(const struct install *in, size_t vm,
			      const struct submission *s);

/* Returns a string member of a response's body, "" if it is missing. */
const char *response_text(const struct caller_response *response,
			  const char *name);

/*
 * Kinds of jobs of a load, flags that combine: may be repeated, the caller
 * waits for the result, runs for long_ms instead of quick_ms.
 */
enum job_kind { KIND_REPEAT = 1, KIND_WAIT = 2, KIND_LONG = 4, KIND_ALL = 8 };

/* A job of a load, and what its caller was answered. */
struct load_job {
	char key[40];
	char id[96];
	unsigned kind;
	bool accepted; /* a response with status 2xx named it */
	char state[16];
	char reason[32]; /* of the last refusal or final response */
	char result[40];
	unsigned refusals, no_answers;
	unsigned no_retry_after; /* 503 without Retry-After */
	bool wrong_job;		 /* got the result of another job */
};

/*
 * Callers in threads.  Each job is submitted and then asked for at one entry
 * VM after the other until it ends or give_up_ms has passed.
 */
struct load {
	struct install *in;
	const char *name;
	struct load_job *jobs;
	size_t count;
	unsigned kinds; /* KIND_ALL: all in turn; otherwise this kind */
	unsigned long_ms, quick_ms, pace_ms, give_up_ms, timeout_ms;
	size_t only_vm; /* index + 1 of the VM to use; 0: all in turn */
	const char *label;
	bool may_fail; /* workers may be lost or fail their tasks */
	unsigned threads;
	pthread_t thread[32];
	atomic_size_t next, ended; /* next job; number of ended jobs */
};

void load_start(struct load *l);
void load_join(struct load *l);

/*
 * The runs of a job's tasks by the log of the workers.  A start that ended in a
 * checkpoint isn't counted, as the task continues on another worker.
 */
struct job_runs {
	unsigned starts, done, running;
};

/* Reads the log of one data centre, or of all. */
struct job_runs job_runs_at(const struct install *in, size_t dc,
			    const char *job);
struct job_runs job_runs_of(const struct install *in, const char *job);

/* Returns how many tasks a worker has started. */
size_t worker_starts(const struct install *in, size_t dc, const char *worker);

/*
 * Returns the peak number of the team's running tasks: the sum of the peaks of
 * all data centres, which is exact for one and an upper bound for several.
 */
int64_t max_running(const struct install *in);

/*
 * The number of jobs in each state, and of those whose caller got a wrong
 * answer according to the log of the workers: accepted but not ended, run
 * twice though it may not be repeated, "not-run" though it was started,
 * "done" or "failed" though it was not, the result of another job, or a 503
 * without Retry-After.
 */
struct load_result {
	size_t done, failed, not_run, unknown, refused, wrong;
};

/* Checks a load that has been joined; prints each wrong answer. */
struct load_result load_check(struct load *l);
void load_free(struct load *l);

/* Inject faults into the stand-ins of the platform and the workers. */
void platform_set_fault(const struct install *in, const char *json);
void workers_set_mode(const struct install *in, size_t dc, const char *mode,
		      const char *worker);

#endif
