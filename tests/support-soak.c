#include "support-soak.h"

#include "../json-read.h"
#include "support-entry.h"
#include "support-process.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define STOP_MS 9000	/* the grace of 6 s, plus the slowdown by sanitizers */
#define STARTED_MS 1000 /* a process starts in less, also with sanitizers */
#define CALL_MS 2500
#define LIMIT_CPU 2000 /* upper limit of the organisation: two tasks */

const char *const queue_paths[QUEUES] = {"/q/", "/w/"};

/* Draws a random number below a bound. */
unsigned draw(uint64_t *random, unsigned below)
{
	return (unsigned)(random_next(random) % below);
}

/* Reports a violation and counts it. */
void violation(struct soak *s, const char *what, const char *id)
{
	printf("wrong: %s %s\n", what, id);
	fflush(stdout); /* a forked process would print the buffer again */
	atomic_fetch_add(&s->violations, 1);
}

/* Writes a fault to the log, which explains the logs of a failed seed. */
void fault_log(struct soak *s, const char *what, const char *where)
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
int vm_connect(const struct vm *v)
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
void vms_supervise(struct soak *s)
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
 * Sends a request to the stand-in and returns its answer, which the caller
 * frees.  Calls are serialised, as a call that is open while the connections to
 * the store go silent gets no answer.
 */
json_t *cloud_call(struct soak *s, const char *method, const char *path,
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
json_t *scheduler_row(struct soak *s, const char *key, int64_t *age)
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

/* Posts a command to the stand-in. */
static void cloud_post(struct soak *s, const char *path, const char *body)
{
	json_decref(cloud_call(s, "POST", path, body));
}

/* Writes a new configuration; an upper limit of 0 means none. */
void config_write(struct soak *s)
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
		++s->config, queue_paths[0], queue_paths[LIMITED], s->limit);

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
void owner_kill(struct soak *s)
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
void fault_inject(struct soak *s)
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
void faults_end(struct soak *s)
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

/* Starts the stand-in and the VMs. */
void soak_start(struct soak *s, uint64_t seed)
{
	static const char *const args[] = {"--workers", "6", NULL};
	uint16_t ports[2 * VMS];
	struct vm *v;
	char *path;
	unsigned i;

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
}

/* Stops everything; the logs are kept only if something was wrong. */
void soak_stop(struct soak *s)
{
	struct dirent *d;
	struct vm *v;
	char *path;
	DIR *dir;

	for (v = s->vms; v < s->vms + VMS; v++) {
		if (!v->pid)
			continue;
		kill(v->pid, SIGKILL);
		waitpid(v->pid, NULL, 0);
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
