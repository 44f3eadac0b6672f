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
#include "support-process.h"
#include "support-soak.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CLIENTS 3
#define JOBS_MAX 4000 /* per client */
/* Final jobs are known for at least this much longer than the settings say. */
#define RETENTION_MARGIN_S 30
#define FAULT_S 8    /* length of the faults, unless given */
#define LEAD_MS 3000 /* clients run without faults first */
/*
 * A count may be 2 s old, so it has to include the jobs that were accepted this
 * long ago.
 */
#define COUNT_LATE_MS 5000
/*
 * Longer than all leases, takeovers and the jobs themselves, with sanitizers.
 */
#define FINISH_MS 45000
#define TRIES_MAX 8

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

struct job {
	char id[17];
	unsigned queue;
	bool accepted;
	int64_t accepted_at;
	bool refused; /* the final answer was a refusal */
};
struct client {
	struct soak *soak;
	struct run *run;
	pthread_t thread;
	uint64_t random;
	int fds[VMS];
	struct job *jobs;
	atomic_size_t count; /* jobs before this index don't change */
	unsigned counts, counts_refused;
};
/* An installation under faults, and the clients that call it. */
struct run {
	struct soak soak;
	struct client clients[CLIENTS];
	atomic_bool over;
	atomic_uint most_waiting;
};

/*
 * Sends a request on a client's connection to a VM; returns the status, or 0 if
 * there was no answer.
 */
static int client_call(struct client *c, unsigned vm, const char *method,
		       const char *path, const char *body, char **text)
{
	const char *limited = queue_paths[LIMITED];
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
	return xasprintf("%s%s", queue_paths[j->queue], j->id);
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
 * Returns how many jobs of a queue were accepted before a time and have no task
 * started yet.
 */
static unsigned queue_waiting(struct run *r, unsigned queue, int64_t before)
{
	json_t *verdict = cloud_call(&r->soak, "GET", "/control/verdict", NULL);
	json_t *begun = json_object_get(verdict, "begun");
	const struct client *c;
	const struct job *j;
	unsigned n = 0;
	size_t i, count;

	for (c = r->clients; c < r->clients + CLIENTS; c++) {
		count = atomic_load(&c->count);
		for (i = 0; i < count; i++) {
			j = &c->jobs[i];
			n += j->queue == queue && j->accepted &&
			     j->accepted_at < before &&
			     !json_object_get(begun, j->id);
		}
	}
	json_decref(verdict);
	if (n > atomic_load(&r->most_waiting))
		atomic_store(&r->most_waiting, n);
	return n;
}

/* Asks a VM how many jobs of a queue wait; returns the status. */
static int client_count(struct client *c, unsigned vm, unsigned queue,
			unsigned long *waiting)
{
	char *text, *p;
	int status = client_call(c, vm, "GET", queue_paths[queue], NULL, &text);

	p = status == 200 ? strstr(text, "\"waiting\":") : NULL;
	*waiting = p ? strtoul(p + 10, NULL, 10) : 0;
	free(text);
	return status;
}

/* Asks a VM how many jobs of a queue wait, and checks the answer. */
static void client_check_count(struct client *c)
{
	unsigned queue = draw(&c->random, QUEUES), expected;
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
	expected = queue_waiting(c->run, queue, before);
	if (2 * waiting >= expected)
		return;
	heartbeat = scheduler_row(c->soak, "beat", &age);
	what = xasprintf(
		"%s counts %lu of %u in %s; the stored heartbeat is %lld ms "
		"old, of epoch %lld, and counts %lld",
		c->soak->vms[vm].name, waiting, expected, queue_paths[queue],
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

	while (!atomic_load(&c->run->over) && c->count < JOBS_MAX) {
		j = &c->jobs[c->count];
		j->queue = draw(&c->random, QUEUES);
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
static void counts_check(struct run *r, int64_t until)
{
	struct soak *s = &r->soak;
	unsigned vm, queue;
	unsigned long waiting;

	for (vm = 0; vm < VMS; vm++) {
		for (queue = 0; queue < QUEUES; queue++) {
			while (client_count(r->clients, vm, queue, &waiting) !=
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
static void check_invariants(struct run *r)
{
	struct soak *s = &r->soak;
	int64_t until = clock_now() + FINISH_MS;
	unsigned counts = 0, unknown = 0;
	json_t *verdict, *v;
	struct client *c;
	size_t i, accepted = 0, refused = 0;
	struct job *j;

	for (c = r->clients; c < r->clients + CLIENTS; c++) {
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
	counts_check(r, until);
	verdict = cloud_call(s, "GET", "/control/verdict", NULL);
	json_array_foreach(json_object_get(verdict, "broken"), i, v)
		violation(s, "at the workers:", json_string_value(v));
	for (c = r->clients; c < r->clients + CLIENTS; c++)
		for (i = 0; i < c->count; i++)
			if (c->jobs[i].refused &&
			    json_object_get(json_object_get(verdict, "begun"),
					    c->jobs[i].id))
				violation(s,
					  "a refused job ran:", c->jobs[i].id);
	printf("accepted %zu refused %zu starts %lld; counts %u refused %u, "
	       "at most %u waited\n",
	       accepted, refused, (long long)json_int(verdict, "starts"),
	       counts, unknown, atomic_load(&r->most_waiting));
	if (!accepted)
		violation(s, "no job was accepted", "");
	json_decref(verdict);
}

/* Starts the clients. */
static void clients_start(struct run *r, uint64_t seed)
{
	struct client *c;
	unsigned i;

	for (c = r->clients; c < r->clients + CLIENTS; c++) {
		c->soak = &r->soak;
		c->run = r;
		c->random = seed * 31 + (uint64_t)(c - r->clients);
		c->jobs = xcalloc(JOBS_MAX, sizeof(*c->jobs));
		for (i = 0; i < VMS; i++)
			c->fds[i] = -1;
		pthread_create(&c->thread, NULL, client_run, c);
	}
}

/* Closes the connections of the clients, whose threads have ended. */
static void clients_free(struct run *r)
{
	struct client *c;
	unsigned i;

	for (c = r->clients; c < r->clients + CLIENTS; c++) {
		for (i = 0; i < VMS; i++)
			if (c->fds[i] >= 0)
				close(c->fds[i]);
		free(c->jobs);
	}
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
	struct run *r = xcalloc(1, sizeof(*r));
	struct soak *s = &r->soak;
	int64_t until, end_faults_at = 0;
	struct client *c;
	bool ok;

	printf("seed %llu, %u s\n", (unsigned long long)seed, seconds);
	fflush(stdout);
	s->keep_s = keep_s;
	soak_start(s, seed);
	nap_ms(1500);
	clients_start(r, seed);
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
	atomic_store(&r->over, true);
	for (c = r->clients; c < r->clients + CLIENTS; c++) {
		vms_supervise(s);
		pthread_join(c->thread, NULL);
	}
	check_invariants(r);
	ok = !s->violations;
	soak_stop(s);
	clients_free(r);
	free(r);
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
