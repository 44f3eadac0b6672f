/*
 * A small installation in real processes: a platform, workers, entry VMs in
 * data centres; callers and operators of it; and the workers' log, which
 * judges what the callers were told.
 */
#ifndef SUPPORT_PROCESS_H
#define SUPPORT_PROCESS_H

#include "../bamboofront.h"
#include "standin.h"

#include <stdatomic.h>

#define VMS_MAX 4
#define DCS_MAX 3
#define LEASE_MS 2500 /* of an entry VM, in the settings that are made */
#define FRESH_MS 2500
#define TASK_LEASE_MS 6000

struct relay_net;
struct entry_vm {
	char name[8];
	char dc[2];
	pid_t pid;	     /* 0: it does not run */
	unsigned generation; /* of its process */
	uint16_t callers_port, operators_port, peers_port, platform_port;
};
struct install {
	char dir[64];
	struct standin platform;
	struct standin workers[DCS_MAX]; /* one process a data centre */
	char dcs[DCS_MAX][2];
	size_t dc_count, log_count, vm_count;
	struct entry_vm vms[VMS_MAX];
	char *secret; /* of the team's key */
	struct relay_net *net;
};
/* layout: a letter a VM, its data centre: "aab" makes a1, a2 and b1. */
struct install_plan {
	const char *layout;
	unsigned workers, slots, limit, budget;
	bool relayed; /* entry VMs reach platform and peers by relays */
	bool one_worker_process; /* one process has all data centres' workers */
};
void install_start(struct install *in, const struct install_plan *plan);
void install_stop(struct install *in);
void vm_start(struct install *in, size_t i);
int vm_signal(struct install *in, size_t i, int sig);
int vm_wait(struct install *in, size_t i); /* its exit status, or -1 */
bool vm_ready(const struct install *in, size_t i);
/* Which VM does the row of a shard or cell name?  SIZE_MAX: none. */
size_t vm_owner(const struct install *in, const char *unit);
char *unit_of_job(const char *job);

/* Wait until something is so; false after so many seconds. */
void nap_ms(unsigned ms);
#define EVENTUALLY(seconds, what)                               \
	({                                                      \
		int64_t until_ = clock_now() + (seconds)*1000;  \
		bool so_;                                       \
		while (!(so_ = (what)) && clock_now() < until_) \
			nap_ms(20);                             \
		so_;                                            \
	})

/* An operator's call at a VM; answer and reason may be NULL. */
#include "../operator.h"
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
char *vm_pool_get(const struct install *in, size_t vm, const char *name);
char *job_explain(const struct install *in, size_t vm, const char *job);

/* A caller's request; the status, 0 if no answer came. */
struct caller_response {
	int status;
	unsigned retry_after; /* s; 0: none */
	json_t *json;
};
struct caller_response caller_ask(const struct install *in, size_t vm,
				  const char *method, const char *path,
				  const char *key, const char *body,
				  unsigned timeout_ms);
void caller_response_free(struct caller_response *said);
struct submission {
	const char *key, *label;
	bool may_repeat, wait;
	unsigned run_ms, timeout_ms; /* 0: 30 s */
};
struct caller_response submit(const struct install *in, size_t vm,
			      const struct submission *s);
const char *response_text(const struct caller_response *said, const char *name);

/* Callers at work: each job is retried through VM after VM until it ends. */
enum job_kind { KIND_REPEAT = 1, KIND_WAIT = 2, KIND_LONG = 4, KIND_ALL = 8 };
struct load_job {
	char key[40];
	char id[96];
	unsigned kind;
	bool accepted; /* a 2xx named it */
	char state[16];
	char reason[32]; /* of the last refusal or final answer */
	char result[40];
	unsigned refusals, no_answers;
	unsigned no_retry_after; /* 503 that did not say when to come back */
	bool wrong_job;		 /* an answer of another's */
};
struct load {
	struct install *in;
	const char *name;
	struct load_job *jobs;
	size_t count;
	unsigned kinds; /* KIND_ALL: all in turn; else this one */
	unsigned long_ms, quick_ms, pace_ms, give_up_ms, timeout_ms;
	size_t only_vm; /* its number from 1; 0: all in turn */
	const char *label;
	bool may_fail; /* a worker may be lost, or fail what it starts */
	unsigned threads;
	pthread_t thread[32];
	atomic_size_t next, ended;
};
void load_start(struct load *l);
void load_join(struct load *l);
/* What the workers know of a job: starts, those that ended well. */
struct truth {
	unsigned starts, done, running;
};
struct truth truth_at(const struct install *in, size_t dc, const char *job);
struct truth truth_of(const struct install *in, const char *job);
size_t worker_starts(const struct install *in, size_t dc, const char *worker);
int64_t max_running(const struct install *in);
/*
 * Judge what the callers were told by the workers' log, print it, and count
 * what is wrong: accepted and not ended, run twice, a false "not run", a
 * false "done".  got has the number of jobs in each state.
 */
struct verdict {
	size_t done, failed, not_run, unknown, refused, wrong;
};
struct verdict load_check(struct load *l);
void load_free(struct load *l);
/* Tell a stand-in. */
void platform_set_fault(const struct install *in, const char *json);
void workers_set_mode(const struct install *in, size_t dc, const char *mode,
		      const char *worker);

#endif
