/*
 * Soak test of bamboofront-entryd: real processes on loopback beside a stand-in
 * of the platform, clients that keep their connections open, and injected
 * faults drawn from a seed: processes killed, stopped by plan or paused; the
 * path to the store cut, stalled or losing answers; the store refusing, slow or
 * without its history; workers that crash, freeze, go silent, refuse orders or
 * carry them out without an answer; the owner of the scheduling and its
 * successor killed; configuration changes. Faults come in series and overlap.
 *
 * It checks by the answers to callers and the state of the workers: no task
 * runs twice at a time, nor after its end was acknowledged; a refused job never
 * runs; an accepted one is known to every VM until its retention is over, and
 * completes; the answer to how
 * many jobs of a queue wait is at least half of them, or 503, and 0 when all
 * are done; a planned stop ends in time, with status 0.
 *
 * soak-entry             the kept seeds, a few seconds each
 * soak-entry SEED [S]    one seed, S seconds of faults
 * soak-entry SEED S K    the same; final jobs are kept K s and
 * RETENTION_MARGIN_S
 */
#include "../bamboofront.h"
#include "../json-read.h"
#include "standin.h"
#include "support-entry.h"
#include "support-relay.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <libgen.h>
#include <limits.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define VMS 4
#define CLIENTS 3
#define JOBS_MAX 4000 /* per client */
/* Final jobs are known for at least this much longer than the settings say. */
#define RETENTION_MARGIN_S 30
#define FAULT_S 8    /* length of the faults, unless given */
#define LEAD_MS 3000 /* clients run without faults first */
#define KEY "k1"
#define LIMIT_CPU 2000 /* upper limit of the organisation: two tasks */
/*
 * A count may be 2 s old, so it has to include the jobs that were accepted this
 * long ago.
 */
#define COUNT_LATE_MS 5000
/*
 * Longer than all leases, takeovers and the jobs themselves, with sanitizers.
 */
#define FINISH_MS 45000
#define STOP_MS 9000	/* the grace of 6 s, plus the slowdown by sanitizers */
#define STARTED_MS 1000 /* a process starts in less, also with sanitizers */
#define TRIES_MAX 8
#define CALL_MS 2500

/* Seeds that failed once, or whose faults are worth running in CI. */
static const struct {
	uint64_t seed;
	const char *why;
} kept[] = {
	{1, "the first seed kept; it draws other faults by now"},
	{2, "processes killed and paused, workers that crash or go silent"},
	{8, "orders carried out without an answer, second copies refused"},
	{12,
	 "owners killed in a row, planned stops, the store slow and silent"},
	{33, "owners killed in a row, answers lost, starts refused"},
	{402, "refused starts were counted as started"},
	{414,
	 "a VM answered with the last heartbeat's count, seconds after it"},
	{417, "a former owner answered with a count from before it owned"},
	{2001, "stops requested while the process was paused"},
	{2016, "the same"},
};

/* One queue of quick jobs, and one of an organisation at its upper limit. */
static const char *const queues[] = {"/q/", "/w/"};
#define LIMITED 1

struct vm {
	pid_t pid; /* 0: not running */
	uint16_t port, readiness;
	uint16_t store; /* port of its relay to the store */
	char name[8];
	unsigned start_count;
	bool stopping; /* a planned stop was requested */
	int64_t started_at;
	int64_t stop_by;
	int64_t down_until; /* restart time */
};
struct job {
	char id[17];
	unsigned queue;
	bool accepted;
	int64_t accepted_at;
	bool refused; /* the final answer was a refusal */
};
struct client {
	struct soak *soak;
	pthread_t thread;
	uint64_t random;
	int fds[VMS];
	struct job *jobs;
	atomic_size_t count; /* jobs before this index don't change */
	unsigned counts, counts_refused;
};
/* The remaining kills of the owner of the scheduling and its successors. */
struct owner_kills {
	unsigned kills;
	uint64_t epoch; /* epoch of the last owner killed */
	unsigned down_ms;
};
struct soak {
	char dir[64];
	uint64_t random;
	struct standin cloud;
	pthread_mutex_t control; /* serialises calls to the stand-in */
	struct relay_net *net;
	struct vm vms[VMS];
	struct client clients[CLIENTS];
	struct owner_kills owner_kills;
	unsigned keep_s; /* retention of final jobs; 0: longer than the run */
	const char *store_fault, *start_fault; /* JSON; "" for none */
	FILE *log_file;			       /* log of the faults */
	atomic_bool over;
	unsigned config, limit;
	bool evacuated; /* one of the data centres */
	atomic_uint violations, most_waiting;
};

/* Draws a random number below a bound. */
static unsigned draw(uint64_t *random, unsigned below)
{
	return (unsigned)(random_next(random) % below);
}

/* Sleeps for ms milliseconds. */
static void nap_ms(unsigned ms)
{
	usleep(ms * 1000);
}

/* Reports a violation and counts it. */
static void violation(struct soak *s, const char *what, const char *id)
{
	printf("wrong: %s %s\n", what, id);
	fflush(stdout); /* a forked process would print the buffer again */
	atomic_fetch_add(&s->violations, 1);
}

/* Writes a fault to the log, which explains the logs of a failed seed. */
static void fault_log(struct soak *s, const char *what, const char *where)
{
	fprintf(s->log_file, "mono_ms=%lld %s %s\n", (long long)clock_now(),
		what, where);
	fflush(s->log_file);
}

/*
 * Returns the loopback address of this run's VMs.  Each run has its own, so
 * that another program can't take a VM's port while the VM is down.
 */
static struct sockaddr_in vm_address(uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};
	unsigned pid = (unsigned)getpid();

	a.sin_addr.s_addr = htonl(0x7f000000u | (pid >> 14 & 127) << 17 |
				  1u << 16 | (pid & 0x3fff) << 2 | 2);
	return a;
}

/*
 * Chooses free ports at that address; all stay bound until the last is chosen,
 * so they differ.
 */
static void ports_choose(uint16_t *ports, size_t count)
{
	struct sockaddr_in a;
	socklen_t len = sizeof(a);
	int fds[2 * VMS];
	size_t i;

	for (i = 0; i < count; i++) {
		a = vm_address(0);
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		if (fds[i] < 0 ||
		    bind(fds[i], (struct sockaddr *)&a, sizeof(a)) ||
		    getsockname(fds[i], (struct sockaddr *)&a, &len))
			abort();
		ports[i] = ntohs(a.sin_port);
	}
	while (i-- > 0)
		close(fds[i]);
}

/* Connects to a VM; returns -1 if it doesn't listen. */
static int vm_connect(const struct vm *v)
{
	struct timeval limit = {CALL_MS / 1000, CALL_MS % 1000 * 1000};
	struct sockaddr_in a = vm_address(v->port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd >= 0 && connect(fd, (struct sockaddr *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	return fd;
}

/* Starts a VM's process. */
static void vm_spawn(struct soak *s, struct vm *v)
{
	struct sockaddr_in a = vm_address(0);
	char ip[INET_ADDRSTRLEN];
	struct entry_process p = {.name = v->name,
				  .ip = ip,
				  .callers_port = v->port,
				  .readiness_port = v->readiness,
				  .store_port = v->store,
				  .machines_port = s->cloud.port,
				  .keep_s = s->keep_s,
				  .start_number = v->start_count++};

	inet_ntop(AF_INET, &a.sin_addr, ip, sizeof(ip));
	v->stopping = false;
	v->started_at = clock_now();
	entry_process_start(&p, s->dir);
	v->pid = p.pid;
}

/*
 * Returns true if a VM's process has ended.  It has to end with status 0 unless
 * it was killed.
 */
static bool vm_ended(struct soak *s, struct vm *v)
{
	int status;

	if (!v->pid || waitpid(v->pid, &status, WNOHANG) != v->pid)
		return !v->pid;
	v->pid = 0;
	if (WIFSIGNALED(status) ? WTERMSIG(status) != SIGKILL
				: WEXITSTATUS(status) != 0) {
		printf("%s ended with status %x\n", v->name, (unsigned)status);
		violation(s, "a process failed:", v->name);
	}
	return true;
}

/*
 * Restarts the processes that have ended, and kills those whose planned stop
 * takes too long.
 */
static void vms_supervise(struct soak *s)
{
	struct vm *v;

	for (v = s->vms; v < s->vms + VMS; v++) {
		if (vm_ended(s, v)) {
			if (clock_now() >= v->down_until)
				vm_spawn(s, v);
		} else if (v->stopping && clock_now() > v->stop_by) {
			violation(s, "a planned stop took too long:", v->name);
			kill(v->pid, SIGKILL);
			v->stopping = false;
		}
	}
}

/*
 * Sends a request on a client's connection to a VM; returns the status, or 0 if
 * there was no answer.
 */
static int client_call(struct client *c, unsigned vm, const char *method,
		       const char *path, const char *body, char **text)
{
	const char *limited = queues[LIMITED];
	bool keyed = !strncmp(path, limited, strlen(limited));
	int status = 0;

	*text = NULL;
	if (c->fds[vm] < 0)
		c->fds[vm] = vm_connect(&c->soak->vms[vm]);
	if (c->fds[vm] >= 0 &&
	    http_send_as(c->fds[vm], keyed ? KEY : NULL, method, path, body))
		status = http_recv(c->fds[vm], text);
	if (!status && c->fds[vm] >= 0) {
		close(c->fds[vm]);
		c->fds[vm] = -1;
	}
	return status;
}

/* Returns the path of a job. */
static char *job_path(const struct job *j)
{
	return xasprintf("%s%s", queues[j->queue], j->id);
}

/*
 * Submits a job to random VMs until it is accepted or the tries are used up.
 * It counts as refused only if every try was answered with 429 or 503.
 */
static void client_submit(struct client *c, struct job *j)
{
	static const char *const steps[] = {
		"[{\"count\":3,\"cpu\":1000,\"estimated_ms\":100}]",
		"[{\"count\":2,\"cpu\":1000},{\"count\":2,\"cpu\":1000,"
		"\"after\":[0]}]",
		"[{\"count\":1,\"cpu\":1000}]",
	};
	bool limited = j->queue == LIMITED;
	char *path = job_path(j), *text;
	char *body = xasprintf("{\"specification\":\"%u\",\"steps\":%s}",
			       (limited ? 600 : 50) + draw(&c->random, 400),
			       steps[limited ? 2 : draw(&c->random, 2)]);
	bool maybe_accepted = false; /* some try wasn't refused */
	unsigned tries = 1 + draw(&c->random, TRIES_MAX), i;
	int status;

	for (i = 0; i < tries && !j->accepted; i++) {
		status = client_call(c, draw(&c->random, VMS), "POST", path,
				     body, &text);
		free(text);
		j->accepted = status / 100 == 2;
		j->accepted_at = clock_now();
		if (!j->accepted && status != 429 && status != 503)
			maybe_accepted = true;
		nap_ms(50);
	}
	j->refused = !j->accepted && !maybe_accepted;
	free(path);
	free(body);
}

/*
 * Sends a request to the stand-in and returns its answer, which the caller
 * frees.  Calls are serialised, as a call that is open while the connections to
 * the store go silent gets no answer.
 */
static json_t *cloud_call(struct soak *s, const char *method, const char *path,
			  const char *body)
{
	json_t *answer = NULL;
	int status;

	pthread_mutex_lock(&s->control);
	status = http_call(s->cloud.port, method, path, body, &answer);
	pthread_mutex_unlock(&s->control);
	if (status != 200)
		abort();
	return answer;
}

/*
 * Returns a row of the scheduler from the store, and its age; NULL if there is
 * none.
 */
static json_t *scheduler_row(struct soak *s, const char *key, int64_t *age)
{
	char *path = xasprintf("/control/scheduler/%s", key);
	json_t *row = cloud_call(s, "GET", path, NULL), *value = NULL;
	bstr text = BSTR_NONE;

	if (json_bytes(row, "value", &text))
		value = json_read(text);
	*age = json_int(row, "age_ms");
	bstr_free(&text);
	json_decref(row);
	free(path);
	return value;
}

/*
 * Returns how many jobs of a queue were accepted before a time and have no task
 * started yet.
 */
static unsigned queue_waiting(struct soak *s, unsigned queue, int64_t before)
{
	json_t *verdict = cloud_call(s, "GET", "/control/verdict", NULL);
	json_t *begun = json_object_get(verdict, "begun");
	const struct client *c;
	const struct job *j;
	unsigned n = 0;
	size_t i, count;

	for (c = s->clients; c < s->clients + CLIENTS; c++) {
		count = atomic_load(&c->count);
		for (i = 0; i < count; i++) {
			j = &c->jobs[i];
			n += j->queue == queue && j->accepted &&
			     j->accepted_at < before &&
			     !json_object_get(begun, j->id);
		}
	}
	json_decref(verdict);
	if (n > atomic_load(&s->most_waiting))
		atomic_store(&s->most_waiting, n);
	return n;
}

/* Asks a VM how many jobs of a queue wait; returns the status. */
static int client_count(struct client *c, unsigned vm, unsigned queue,
			unsigned long *waiting)
{
	char *text, *p;
	int status = client_call(c, vm, "GET", queues[queue], NULL, &text);

	p = status == 200 ? strstr(text, "\"waiting\":") : NULL;
	*waiting = p ? strtoul(p + 10, NULL, 10) : 0;
	free(text);
	return status;
}

/* Asks a VM how many jobs of a queue wait, and checks the answer. */
static void client_check_count(struct client *c)
{
	unsigned queue = draw(&c->random, NELEMS(queues)), expected;
	unsigned vm = draw(&c->random, VMS);
	int64_t before = clock_now() - COUNT_LATE_MS, age;
	unsigned long waiting;
	json_t *heartbeat;
	char *what;
	int status = client_count(c, vm, queue, &waiting);

	c->counts += status == 200;
	c->counts_refused += status == 503;
	if (status != 200)
		return;
	expected = queue_waiting(c->soak, queue, before);
	if (2 * waiting >= expected)
		return;
	heartbeat = scheduler_row(c->soak, "beat", &age);
	what = xasprintf(
		"%s counts %lu of %u in %s; the stored heartbeat is %lld ms "
		"old, of epoch %lld, and counts %lld",
		c->soak->vms[vm].name, waiting, expected, queues[queue],
		(long long)age, (long long)json_int(heartbeat, "epoch"),
		(long long)json_int(json_object_get(heartbeat, "waiting"),
				    queue == LIMITED ? "w" : "q"));
	violation(c->soak, "count of waiting jobs too low:", what);
	fault_log(c->soak, "wrong:", what);
	free(what);
	json_decref(heartbeat);
}

/* Returns true if a job's retention may be over. */
static bool job_may_be_forgotten(const struct soak *s, const struct job *j)
{
	return s->keep_s &&
	       clock_now() >=
		       j->accepted_at + 1000 * (s->keep_s + RETENTION_MARGIN_S);
}

/*
 * The thread of a client: submits jobs one after another and asks for counts
 * and earlier jobs.
 */
static void *client_run(void *arg)
{
	struct client *c = arg;
	char *path, *text;
	struct job *j;
	int status;

	while (!atomic_load(&c->soak->over) && c->count < JOBS_MAX) {
		j = &c->jobs[c->count];
		j->queue = draw(&c->random, NELEMS(queues));
		snprintf(j->id, sizeof(j->id), "%016llx",
			 (unsigned long long)random_next(&c->random));
		client_submit(c, j);
		c->count++;
		client_check_count(c);
		j = &c->jobs[draw(&c->random, (unsigned)c->count)];
		path = job_path(j);
		status = client_call(c, draw(&c->random, VMS), "GET", path,
				     NULL, &text);
		if (status == 410 && j->accepted &&
		    !job_may_be_forgotten(c->soak, j))
			violation(c->soak,
				  "an accepted job is unknown:", j->id);
		free(text);
		free(path);
		nap_ms(20);
	}
	return NULL;
}

/* Posts a command to the stand-in. */
static void cloud_post(struct soak *s, const char *path, const char *body)
{
	json_decref(cloud_call(s, "POST", path, body));
}

/* Writes a new configuration; an upper limit of 0 means none. */
static void config_write(struct soak *s)
{
	char *body = xasprintf(
		"{\"key\":\"config\",\"row\":{\"version\":%u,\"routes\":["
		"{\"name\":\"q\",\"host\":\"x\",\"path_prefix\":\"%s\","
		"\"service\":\"rounds\",\"public\":true,\"max_attempts\":4,"
		"\"stretch\":2,\"target_latency_ms\":600},"
		"{\"name\":\"w\",\"host\":\"x\",\"path_prefix\":\"%s\","
		"\"service\":\"rounds\",\"priority\":1,\"max_attempts\":4,"
		"\"stretch\":2,\"target_latency_ms\":600}],"
		"\"tenants\":[{\"name\":\"org\",\"api_keys\":[\"" KEY "\"],"
		"\"weight\":1,\"maximum\":{\"cpu\":%u}}],"
		"\"services\":[{\"name\":\"rounds\",\"admission_check\":true}]"
		"}}",
		++s->config, queues[0], queues[LIMITED], s->limit);

	cloud_post(s, "/control/operator", body);
	free(body);
}

/* Asks for the evacuation of a data centre, or withdraws that. */
static void evacuation_write(struct soak *s, bool evacuated)
{
	s->evacuated = evacuated;
	cloud_post(s, "/control/operator",
		   evacuated ? "{\"key\":\"evacuate/west\",\"row\":{}}"
			     : "{\"key\":\"evacuate/west\"}");
	fault_log(s, "evacuated", evacuated ? "yes" : "no");
}

/*
 * Returns true if a VM's process has had the time to install its signal
 * handlers; before, a signal would kill it.
 */
static bool vm_started(const struct vm *v)
{
	return clock_now() > v->started_at + STARTED_MS;
}

/* Injects the faults of the store and of starts, both at a time. */
static void faults_apply(struct soak *s)
{
	char *body = xasprintf("[%s%s%s]", s->store_fault,
			       *s->store_fault && *s->start_fault ? "," : "",
			       s->start_fault);

	cloud_post(s, "/control/fault", body);
	fault_log(s, "store and starts", body);
	free(body);
}

/*
 * Draws a fault of the store or of the workers' orders.  Where requests are
 * carried out and lose their answers, others are refused, so that one copy of a
 * request may be carried out and another one refused.
 */
static void fault_cloud(struct soak *s)
{
	static const char lost_tx[] =
		"{\"mode\":\"lose\",\"share\":0.3,\"ops\":[\"tx\"]},"
		"{\"mode\":\"refuse\",\"share\":0.4,\"ops\":[\"tx\"]}";
	static const char *const store[] = {
		"{\"mode\":\"refuse\",\"ops\":[\"tx\",\"get\",\"feed\"]}",
		"{\"mode\":\"slow\",\"ms\":300,\"ops\":[\"tx\",\"get\"]}",
		"{\"mode\":\"slow\",\"ms\":500,\"ops\":[\"tx\",\"get\",\"feed\"]}",
		"{\"mode\":\"slow\",\"ms\":600,\"share\":0.7,\"ops\":[\"get\"]}",
		lost_tx,
		"{\"mode\":\"down\",\"ops\":[\"tx\",\"get\",\"feed\"]}",
		"",
	};
	static const char *const starts[] = {
		"{\"mode\":\"lose\",\"share\":0.3,\"ops\":[\"start\",\"stop\","
		"\"hold\"]},"
		"{\"mode\":\"refuse\",\"share\":0.4,\"ops\":[\"start\",\"stop\","
		"\"hold\"]}",
		"{\"mode\":\"refuse\",\"share\":0.7,\"ops\":[\"start\"]}",
		"{\"mode\":\"refuse\",\"ops\":[\"start\"]}",
		"",
	};

	if (draw(&s->random, 2))
		s->store_fault = store[draw(&s->random, NELEMS(store))];
	else
		s->start_fault = starts[draw(&s->random, NELEMS(starts))];
	faults_apply(s);
}

/* Returns the VM that owns the scheduling by its row in the store, or NULL. */
static struct vm *owner_find(struct soak *s, uint64_t *epoch)
{
	struct vm *v, *found = NULL;
	int64_t age;
	json_t *owner = scheduler_row(s, "epoch", &age);

	*epoch = (uint64_t)json_int(owner, "epoch");
	for (v = s->vms; v < s->vms + VMS; v++)
		if (bstr_eq_str(json_ref(owner, "vm"), v->name))
			found = v;
	json_decref(owner);
	return found;
}

/*
 * Kills the owner of the scheduling while kills remain; each must have claimed
 * a later epoch than the last one killed.
 */
static void owner_kill(struct soak *s)
{
	struct owner_kills *k = &s->owner_kills;
	uint64_t epoch;
	struct vm *v;

	if (!k->kills || !(v = owner_find(s, &epoch)) || !v->pid ||
	    epoch <= k->epoch)
		return;
	kill(v->pid, SIGKILL);
	v->down_until = clock_now() + k->down_ms;
	k->epoch = epoch;
	k->kills--;
	fault_log(s, "owner killed", v->name);
}

/* Kills, stops or pauses a VM's process. */
static void fault_vm(struct soak *s, struct vm *v)
{
	static const struct {
		int sig;
		const char *what;
	} kinds[] = {{SIGKILL, "kill"}, {SIGTERM, "stop"}, {SIGSTOP, "pause"}};
	unsigned kind = draw(&s->random, NELEMS(kinds));

	if (!v->pid || (kind && (v->stopping || !vm_started(v))))
		return;
	kill(v->pid, kinds[kind].sig);
	fault_log(s, kinds[kind].what, v->name);
	if (kinds[kind].sig == SIGTERM) {
		v->stopping = true;
		v->stop_by = clock_now() + STOP_MS;
	}
}

/* Makes a worker crash, freeze or go silent. */
static void fault_worker(struct soak *s)
{
	static const char *const whats[] = {"crash", "freeze", "silence"};
	unsigned worker = draw(&s->random, 6);
	char *body = xasprintf("{\"worker\":%u,\"what\":\"%s\"}", worker,
			       whats[draw(&s->random, 3)]);

	cloud_post(s, "/control/worker", body);
	fault_log(s, "worker", body);
	free(body);
}

/* Draws and injects one fault. */
static void fault_inject(struct soak *s)
{
	static const enum relay_mode modes[] = {RELAY_RESET, RELAY_LOSE_ANSWERS,
						RELAY_STALL};
	static const char *const mode_names[] = {"cut", "lose", "silent"};
	static const char *const stores[] = {"{\"what\":\"compact\"}",
					     "{\"what\":\"silence\"}"};
	struct vm *v = &s->vms[draw(&s->random, VMS)];
	unsigned i;

	switch (draw(&s->random, 12)) {
	case 0:
	case 1:
	case 2:
		fault_vm(s, v);
		break;
	case 3:
		if (v->pid && vm_started(v))
			kill(v->pid, SIGHUP);
		config_write(s);
		evacuation_write(s, !s->evacuated);
		fault_log(s, "configuration", v->name);
		break;
	case 4:
		i = draw(&s->random, NELEMS(modes));
		relay_net_set(s->net, v->name, "platform", modes[i]);
		fault_log(s, mode_names[i], v->name);
		break;
	case 5:
	case 6:
	case 7:
		fault_cloud(s);
		break;
	case 8:
		i = draw(&s->random, NELEMS(stores));
		cloud_post(s, "/control/store", stores[i]);
		fault_log(s, "store", stores[i]);
		break;
	case 9:
		s->owner_kills.kills = 2;
		s->owner_kills.down_ms = 2500 * draw(&s->random, 2);
		break;
	default:
		fault_worker(s);
		break;
	}
}

/* Ends the faults that last. */
static void faults_end(struct soak *s)
{
	char *body;
	unsigned i;

	for (i = 0; i < VMS; i++)
		if (s->vms[i].pid)
			kill(s->vms[i].pid, SIGCONT);
	for (i = 0; i < 6; i++) {
		body = xasprintf("{\"worker\":%u,\"what\":\"thaw\"}", i);
		cloud_post(s, "/control/worker", body);
		free(body);
	}
	relay_net_set(s->net, NULL, "platform", RELAY_PASS);
	fault_log(s, "healed", "");
	s->store_fault = s->start_fault = "";
	faults_apply(s);
	evacuation_write(s, false);
}

/* Returns true if a VM shows a job as completed. */
static bool job_is_done(struct client *c, const struct job *j)
{
	char *path = job_path(j), *text;
	int status = client_call(c, draw(&c->random, VMS), "GET", path, NULL,
				 &text);
	bool completed = (status == 200 && text && strstr(text, "completed")) ||
			 (status == 410 && job_may_be_forgotten(c->soak, j));

	free(path);
	free(text);
	return completed;
}

/* Waits until a job is shown as completed; returns false at the deadline. */
static bool job_wait(struct client *c, const struct job *j, int64_t until)
{
	while (!job_is_done(c, j)) {
		if (clock_now() >= until)
			return false;
		vms_supervise(c->soak);
		nap_ms(50);
	}
	return true;
}

/* Checks that every VM answers that no job waits once all are done. */
static void counts_check(struct soak *s, int64_t until)
{
	unsigned vm, queue;
	unsigned long waiting;

	for (vm = 0; vm < VMS; vm++) {
		for (queue = 0; queue < NELEMS(queues); queue++) {
			while (client_count(s->clients, vm, queue, &waiting) !=
				       200 ||
			       waiting) {
				if (clock_now() >= until) {
					violation(s,
						  "still counts waiting jobs:",
						  s->vms[vm].name);
					break;
				}
				vms_supervise(s);
				nap_ms(50);
			}
		}
	}
}

/* Waits until all accepted jobs are done, and checks the invariants. */
static void check_invariants(struct soak *s)
{
	int64_t until = clock_now() + FINISH_MS;
	unsigned counts = 0, unknown = 0;
	json_t *verdict, *v;
	struct client *c;
	size_t i, accepted = 0, refused = 0;
	struct job *j;

	for (c = s->clients; c < s->clients + CLIENTS; c++) {
		counts += c->counts;
		unknown += c->counts_refused;
		for (i = 0; i < c->count; i++) {
			j = &c->jobs[i];
			accepted += j->accepted;
			refused += j->refused;
			if (j->accepted && !job_wait(c, j, until))
				violation(s, "an accepted job is not done:",
					  j->id);
		}
	}
	counts_check(s, until);
	verdict = cloud_call(s, "GET", "/control/verdict", NULL);
	json_array_foreach(json_object_get(verdict, "broken"), i, v)
		violation(s, "at the workers:", json_string_value(v));
	for (c = s->clients; c < s->clients + CLIENTS; c++)
		for (i = 0; i < c->count; i++)
			if (c->jobs[i].refused &&
			    json_object_get(json_object_get(verdict, "begun"),
					    c->jobs[i].id))
				violation(s,
					  "a refused job ran:", c->jobs[i].id);
	printf("accepted %zu refused %zu starts %lld; counts %u refused %u, "
	       "at most %u waited\n",
	       accepted, refused, (long long)json_int(verdict, "starts"),
	       counts, unknown, atomic_load(&s->most_waiting));
	if (!accepted)
		violation(s, "no job was accepted", "");
	json_decref(verdict);
}

/* Starts the stand-in, the VMs and the clients. */
static void soak_start(struct soak *s, uint64_t seed)
{
	static const char *const args[] = {"--workers", "6", NULL};
	uint16_t ports[2 * VMS];
	struct client *c;
	struct vm *v;
	char *path;
	unsigned i;

	memset(s, 0, sizeof(*s));
	pthread_mutex_init(&s->control, NULL);
	s->random = seed;
	snprintf(s->dir, sizeof(s->dir), "/tmp/soak-XXXXXX");
	if (!mkdtemp(s->dir))
		abort();
	path = xasprintf("%s/faults.log", s->dir);
	s->log_file = fopen(path, "we");
	free(path);
	if (!s->log_file)
		abort();
	s->store_fault = s->start_fault = "";
	s->limit = LIMIT_CPU;
	standin_start(&s->cloud, "standin-cloud", args);
	s->net = relay_net_new(s->cloud.port);
	config_write(s);
	ports_choose(ports, NELEMS(ports));
	for (i = 0; i < VMS; i++) {
		v = &s->vms[i];
		snprintf(v->name, sizeof(v->name), "vm%u", i);
		v->port = ports[2 * i];
		v->readiness = ports[2 * i + 1];
		v->store = relay_net_add(s->net, v->name);
		vm_spawn(s, v);
	}
	nap_ms(1500);
	for (c = s->clients; c < s->clients + CLIENTS; c++) {
		c->soak = s;
		c->random = seed * 31 + (uint64_t)(c - s->clients);
		c->jobs = xcalloc(JOBS_MAX, sizeof(*c->jobs));
		for (i = 0; i < VMS; i++)
			c->fds[i] = -1;
		pthread_create(&c->thread, NULL, client_run, c);
	}
}

/* Stops everything; the logs are kept only if something was wrong. */
static void soak_stop(struct soak *s)
{
	struct dirent *d;
	struct client *c;
	struct vm *v;
	char *path;
	DIR *dir;
	unsigned i;

	for (v = s->vms; v < s->vms + VMS; v++) {
		if (!v->pid)
			continue;
		kill(v->pid, SIGKILL);
		waitpid(v->pid, NULL, 0);
	}
	for (c = s->clients; c < s->clients + CLIENTS; c++) {
		for (i = 0; i < VMS; i++)
			if (c->fds[i] >= 0)
				close(c->fds[i]);
		free(c->jobs);
	}
	fclose(s->log_file);
	pthread_mutex_destroy(&s->control);
	relay_net_free(s->net);
	standin_stop(&s->cloud);
	if (s->violations) {
		printf("logs: %s\n", s->dir);
		return;
	}
	dir = opendir(s->dir);
	while (dir && (d = readdir(dir))) {
		path = xasprintf("%s/%s", s->dir, d->d_name);
		unlink(path);
		free(path);
	}
	if (dir)
		closedir(dir);
	rmdir(s->dir);
}

/* Sleeps while it restarts processes and kills owners. */
static void soak_sleep(struct soak *s, unsigned ms)
{
	int64_t until = clock_now() + ms;

	do {
		nap_ms(20);
		vms_supervise(s);
		owner_kill(s);
	} while (clock_now() < until);
}

/* Runs one seed; returns true if nothing was wrong. */
static bool soak_run(uint64_t seed, unsigned seconds, unsigned keep_s)
{
	struct soak *s = xcalloc(1, sizeof(*s));
	int64_t until, end_faults_at = 0;
	struct client *c;
	bool ok;

	printf("seed %llu, %u s\n", (unsigned long long)seed, seconds);
	fflush(stdout);
	s->keep_s = keep_s;
	soak_start(s, seed);
	nap_ms(LEAD_MS);
	until = clock_now() + seconds * 1000;
	while (clock_now() < until) {
		fault_inject(s);
		soak_sleep(s, 100 + draw(&s->random, 500));
		if (clock_now() > end_faults_at) {
			faults_end(s);
			end_faults_at = clock_now() + 1000 +
					draw(&s->random, 3000);
			/*
			 * Some faults last longer than the age that a count may
			 * have.
			 */
			if (!draw(&s->random, 4))
				end_faults_at += COUNT_LATE_MS;
		}
	}
	faults_end(s);
	s->limit = 0;
	config_write(s);
	atomic_store(&s->over, true);
	for (c = s->clients; c < s->clients + CLIENTS; c++) {
		vms_supervise(s);
		pthread_join(c->thread, NULL);
	}
	check_invariants(s);
	ok = !s->violations;
	soak_stop(s);
	free(s);
	return ok;
}

/* Runs one seed, or the kept ones. */
int main(int argc, char **argv)
{
	unsigned passed = 0, failed = 0;
	size_t i;

	signal(SIGPIPE, SIG_IGN);
	if (argc > 1)
		return !soak_run(strtoull(argv[1], NULL, 10),
				 argc > 2 ? (unsigned)atoi(argv[2]) : FAULT_S,
				 argc > 3 ? (unsigned)atoi(argv[3]) : 0);
	for (i = 0; i < NELEMS(kept); i++) {
		if (soak_run(kept[i].seed, FAULT_S, 0))
			passed++;
		else
			failed++;
	}
	printf("%u passed, %u failed\n", passed, failed);
	return failed != 0;
}
