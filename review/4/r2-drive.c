/*
 * Runs one case of review/4 to review/8: r2-drive CASE FOLDER.  It starts
 * r2-world and some daemons, acts as the clients and the operator, writes to
 * FOLDER/record.txt, and ends what it started.  Exit status: 1 if the rule was
 * broken, 0 if it held, 2 if the case couldn't run.  TROUBLE=0 in the
 * environment leaves the disruption out.
 */
#include "../../json-read.h"
#include "../../tests/standin.h"

#include <arpa/inet.h>
#include <libgen.h>
#include <limits.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#define NODES 3
#define DEADLINE_MS 3000 /* of a client's call */
#define ATTEMPTS 4	 /* of a client's call */
#define HOST "q.example"
#define OWNER_METRIC "\nbamboofront_owner 1\n" /* not its HELP line */
/* Bounds of the settings. */
#define FINISH_MS 14000	     /* finish_s */
#define NOTHING_RUNS_MS 3000 /* of the rule LOST */

struct node {
	char name[16];
	uint16_t callers, readiness, metrics;
	pid_t pid;
};

static struct node nodes[NODES];
static struct standin world;
static char dir[64], root[PATH_MAX], record_path[PATH_MAX];
static FILE *record;
static int64_t began;
static bool trouble = true;

static void note(const char *fmt, ...)
{
	va_list ap;

	fprintf(record, "%8.3f ", (double)(clock_now() - began) / 1000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

static void nap(int64_t ms)
{
	if (ms > 0)
		usleep((useconds_t)ms * 1000);
}

static void nap_until(int64_t at)
{
	nap(at - clock_now());
}

static uint16_t port_free(void)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) ||
	    getsockname(fd, (struct sockaddr *)&a, &len))
		exit(2);
	close(fd);
	return ntohs(a.sin_port);
}

/* Writes what deploy/settings.json gives for a small deployment. */
static void settings_write(const struct node *n, const char *path)
{
	FILE *f = fopen(path, "we");

	if (!f)
		exit(2);
	fprintf(f,
		"{\"vm\": \"%s\", \"dc\": \"east\", "
		"\"callers\": \"127.0.0.1:%u\", "
		"\"readiness\": \"127.0.0.1:%u\", \"metrics_port\": %u, "
		"\"store\": \"127.0.0.1:%u\", \"machines\": \"127.0.0.1:%u\", "
		"\"advice\": \"127.0.0.1:%u\", \"machine_calls_per_s\": 64.0, "
		"\"log_level\": \"info\", \"cpu_share\": 0.25, "
		"\"bounds\": {\"lease_max_ms\": 6000, \"stop_ms\": 400, "
		"\"keep_s\": 120, \"grace_s\": 6, \"harm_ms\": 4000, "
		"\"notice_ms\": 4500, \"maintenance_s\": 2, \"move_s\": 1.5, "
		"\"far_factor\": 3}}",
		n->name, n->callers, n->readiness, n->metrics, world.port,
		world.port, world.port);
	fclose(f);
}

static void node_start(struct node *n)
{
	char *path = xasprintf("%s/%s.json", dir, n->name);
	char *log = xasprintf("%s/%s.log", dir, n->name);
	char *program = xasprintf("%s/target/bamboofront-entryd", root);

	settings_write(n, path);
	n->pid = fork();
	if (!n->pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		setenv("BAMBOOFRONT_CONFIG", path, 1);
		if (chdir(root) == 0 && freopen(log, "a", stdout) &&
		    freopen(log, "a", stderr))
			execl(program, "target/bamboofront-entryd",
			      (char *)NULL);
		_exit(127);
	}
	note("%s starts", n->name);
	free(path);
	free(log);
	free(program);
}

static void control(const char *path, const char *fmt, ...)
{
	char *body = NULL;
	va_list ap;
	int status;

	va_start(ap, fmt);
	if (vasprintf(&body, fmt, ap) < 0)
		abort();
	va_end(ap);
	status = http_call(world.port, "POST", path, body, NULL);
	if (status != 200) {
		note("%s %s: status %d", path, body, status);
		exit(2);
	}
	free(body);
}

/* Sends a call to a node; returns the status, 0 without an answer. */
static int call_node(const struct node *n, const char *key, const char *method,
		     const char *path, const char *body, json_t **answer)
{
	struct timeval limit = {.tv_sec = DEADLINE_MS / 1000};
	int fd = http_connect(n->callers, NULL), status = 0;
	char *text = NULL, *out;

	if (answer)
		*answer = NULL;
	if (fd < 0)
		return 0;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	out = xasprintf("%s %s HTTP/1.1\r\nHost: " HOST "\r\n"
			"Authorization: Bearer %s\r\n"
			"X-Deadline-Remaining-Ms: %d\r\n"
			"Content-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			method, path, key, DEADLINE_MS, body ? strlen(body) : 0,
			body ? body : "");
	if (send(fd, out, strlen(out), MSG_NOSIGNAL) == (ssize_t)strlen(out))
		status = http_recv(fd, &text);
	close(fd);
	if (answer && text)
		*answer = json_loads(strstr(text, "\r\n\r\n") + 4, 0, NULL);
	free(text);
	free(out);
	return status;
}

/* The same with retries at other nodes, as clients do. */
static int call(const char *key, const char *method, const char *path,
		const char *body, json_t **answer)
{
	static unsigned turn;
	int i, status = 0;

	for (i = 0; i < ATTEMPTS; i++) {
		status = call_node(&nodes[turn++ % NODES], key, method, path,
				   body, answer);
		if (status && status != 502 && status != 504 && status != 503)
			break;
		nap(200);
	}
	return status;
}

/* Submits a job; returns true if it was accepted. */
static bool submit(const char *key, const char *prefix, const char *id,
		   const char *body)
{
	char *path = xasprintf("%s%s", prefix, id);
	int status = call(key, "POST", path, body, NULL);

	note("client POST %s %.300s -> %d", path, body, status);
	free(path);
	return status >= 200 && status < 300;
}

/* Returns the state of a job, "" without an answer; the caller frees it. */
static char *state_of(const char *key, const char *prefix, const char *id)
{
	char *path = xasprintf("%s%s", prefix, id), *state;
	json_t *answer = NULL;
	int status = call(key, "GET", path, NULL, &answer);
	const char *s = json_string_value(json_object_get(answer, "state"));

	state = xstrdup(status == 200 && s ? s : "");
	note("client GET %s -> %d %s", path, status, state);
	json_decref(answer);
	free(path);
	return state;
}

/* Returns true once a job has a state. */
static bool wait_state(const char *key, const char *prefix, const char *id,
		       const char *want, int64_t ms)
{
	int64_t until = clock_now() + ms;
	bool same = false;
	char *state;

	while (!same && clock_now() < until) {
		nap(300);
		state = state_of(key, prefix, id);
		same = !strcmp(state, want);
		free(state);
	}
	return same;
}

/* Returns the summary of a task, to be released. */
static json_t *task_get(const char *name)
{
	json_t *all = NULL, *t;

	http_call(world.port, "GET", "/control/tasks", NULL, &all);
	t = json_incref(json_object_get(all, name));
	json_decref(all);
	return t;
}

static int64_t task_int(const char *name, const char *what)
{
	json_t *t = task_get(name);
	int64_t n = json_int(t, what);

	json_decref(t);
	return n;
}

static int64_t tasks_sum(const char *what)
{
	json_t *all = NULL, *t;
	const char *name;
	int64_t n = 0;

	http_call(world.port, "GET", "/control/tasks", NULL, &all);
	json_object_foreach(all, name, t)
		n += json_int(t, what);
	json_decref(all);
	return n;
}

/* Starts everything; the configuration is written by the case. */
static void start_all(const char *workers)
{
	const char *args[] = {"--workers", workers, "--record", record_path,
			      "--began",   NULL,    NULL};
	char *since = xasprintf("%lld", (long long)began);
	int i;

	args[5] = since;
	standin_start(&world, "r2-world", args);
	free(since);
	for (i = 0; i < NODES; i++) {
		snprintf(nodes[i].name, sizeof(nodes[i].name), "front-%d", i);
		nodes[i].callers = port_free();
		nodes[i].readiness = port_free();
		nodes[i].metrics = port_free();
	}
}

/* Waits until all nodes are ready; exits if they are not in time. */
static void wait_ready(void)
{
	int64_t until = clock_now() + 15000;
	int i, status;

	for (i = 0; i < NODES; i++)
		node_start(&nodes[i]);
	for (i = 0; i < NODES;) {
		status = http_call(nodes[i].readiness, "GET",
				   "/bamboofront/readiness", NULL, NULL);
		if (status == 200) {
			i++;
			continue;
		}
		if (clock_now() > until) {
			note("%s is not ready", nodes[i].name);
			exit(2);
		}
		nap(100);
	}
	note("all nodes are ready");
	nap(3000); /* the owner knows all workers */
}

static void stop_all(void)
{
	int i;

	for (i = 0; i < NODES; i++) {
		if (nodes[i].pid <= 0)
			continue;
		kill(nodes[i].pid, SIGKILL);
		waitpid(nodes[i].pid, NULL, 0);
	}
	if (world.pid > 0)
		standin_stop(&world);
	if (*dir && !getenv("KEEP")) {
		char *cmd = xasprintf("rm -rf '%s'", dir);

		if (system(cmd))
			fprintf(stderr, "%s: not removed\n", dir);
		free(cmd);
	}
}

#define ROUTE(name, prefix, more)                                          \
	"{\"name\":\"" name "\",\"host\":\"" HOST                          \
	"\",\"path_prefix\":\"" prefix                                     \
	"\",\"kind\":\"unsafe\",\"timeout_ms\":3000,"                      \
	"\"target_latency_ms\":600,\"priority\":1,\"service\":\"rounds\"," \
	"\"max_attempts\":4,\"stretch\":1.6,\"public\":false" more "}"
#define CONFIG_MAXIMUM(version, cpu, routes)                              \
	"{\"key\":\"config\",\"row\":{\"version\":" version               \
	",\"routes\":[" routes "],\"tenants\":["                          \
	"{\"name\":\"t-one\",\"api_keys\":[\"k-one\"],\"weight\":1,"      \
	"\"maximum\":{\"cpu\":" cpu ",\"requested_memory_mb\":" cpu "}}," \
	"{\"name\":\"t-two\",\"api_keys\":[\"k-two\"],\"weight\":1,"      \
	"\"maximum\":{}}],"                                               \
	"\"services\":[{\"name\":\"rounds\",\"admission_check\":true}],"  \
	"\"limits\":{}}}"
#define CONFIG(version, routes) CONFIG_MAXIMUM(version, "0", routes)

/* A job of two short tasks must be done, or the case can't run. */
static void warm_up(const char *prefix)
{
	if (submit("k-two", prefix, "00000000000000aa",
		   "{\"specification\":\"ms=300\",\"steps\":[{\"count\":2,"
		   "\"cpu\":500,\"requested_memory_mb\":64,"
		   "\"estimated_ms\":300}]}") &&
	    wait_state("k-two", prefix, "00000000000000aa", "completed", 10000))
		return;
	note("the system does not work before the disruption");
	exit(2);
}

/*
 * Large jobs: one of LARGE_TASKS tasks that save checkpoints, or as many tasks
 * in jobs of PART_TASKS.  Then short jobs of another tenant.
 */
#define LARGE_TASKS 4000
#define PART_TASKS 40
#define SHORT_JOBS 10
#define LARGE_POOL_CPU 512000 /* of 16 workers */

static int case_large(void)
{
	int64_t traffic_end, used;
	char id[20], task[32], *body, *state;
	bool accepted[SHORT_JOBS];
	int i, idle = 0, unfinished = 0,
	       count = trouble ? LARGE_TASKS : PART_TASKS;

	start_all("16");
	control("/control/op", "%s",
		CONFIG("7", ROUTE("r-big", "/big/",
				  "") "," ROUTE("r-short", "/short/", "")));
	wait_ready();
	warm_up("/short/");
	body = xasprintf("{\"specification\":\"ms=6000 spread=150000 save=1\","
			 "\"steps\":[{\"count\":%d,\"cpu\":50,"
			 "\"requested_memory_mb\":16,\"estimated_ms\":80000,"
			 "\"checkpointing\":true}]}",
			 count);
	for (i = 0; i < LARGE_TASKS / count; i++) {
		snprintf(id, sizeof(id), "b16b00000000%04x", i);
		if (!submit("k-one", "/big/", id, body))
			return 2;
	}
	free(body);
	nap(12000);
	note("%lld tasks have begun", (long long)tasks_sum("starts"));
	for (i = 0; i < SHORT_JOBS; i++) {
		snprintf(id, sizeof(id), "500000000000%04x", i);
		accepted[i] = submit("k-two", "/short/", id,
				     "{\"specification\":\"ms=300\","
				     "\"steps\":[{\"count\":2,\"cpu\":500,"
				     "\"requested_memory_mb\":64,"
				     "\"estimated_ms\":300}]}");
		nap(500);
	}
	traffic_end = clock_now();
	note("the traffic ends");
	nap_until(traffic_end + FINISH_MS + NOTHING_RUNS_MS + 500);
	used = tasks_sum("running") * 50;
	note("%lld of 512 cores are in use, in thousandths", (long long)used);
	for (i = 0; i < SHORT_JOBS; i++) {
		if (!accepted[i])
			continue;
		snprintf(id, sizeof(id), "500000000000%04x", i);
		snprintf(task, sizeof(task), "%s.0.0.0", id);
		state = state_of("k-two", "/short/", id);
		idle += task_int(task, "starts") == 0;
		unfinished += strcmp(state, "completed") != 0;
		free(state);
	}
	note("verdict: of the accepted short jobs, %d have nothing running "
	     "%d ms after the end of the traffic, %d are not completed",
	     idle, FINISH_MS + NOTHING_RUNS_MS + 500, unfinished);
	/* The rule excuses a service of which half or more is in use. */
	return idle && used < LARGE_POOL_CPU / 2;
}

/* Workers crash, one after another, always the one that runs a given task. */
#define CRASHES 4
#define MAY_MISS 1
#define TASK "1a57000000000001.0.0.0"

static int case_crash(void)
{
	char *state;
	int64_t starts, until;
	json_t *t;
	int i, failed;

	start_all("9");
	control("/control/op", "%s",
		CONFIG("7", ROUTE("r-lasts", "/lasts/",
				  "") "," ROUTE("r-short", "/short/", "")));
	wait_ready();
	warm_up("/short/");
	if (!submit("k-one", "/lasts/", "1a57000000000001",
		    "{\"specification\":\"lasts=1\",\"steps\":[{\"count\":5,"
		    "\"cpu\":2000,\"requested_memory_mb\":256,"
		    "\"estimated_ms\":700,\"long_running\":true,"
		    "\"may_miss\":1}]}") ||
	    !wait_state("k-one", "/lasts/", "1a57000000000001", "running",
			5000))
		return 2;
	nap(3000);
	for (i = 0; i < CRASHES && trouble; i++) {
		t = task_get(TASK);
		starts = json_int(t, "starts");
		if (json_int(t, "running"))
			control("/control/worker",
				"{\"worker\":\"%s\",\"what\":\"crash\","
				"\"ms\":1000}",
				json_string_value(
					json_object_get(t, "worker")));
		json_decref(t);
		until = clock_now() + 4000;
		while (task_int(TASK, "starts") == starts &&
		       clock_now() < until)
			nap(50);
		nap(2000);
	}
	nap(trouble ? 5000 : 20000);
	state = state_of("k-one", "/lasts/", "1a57000000000001");
	failed = !strcmp(state, "failed");
	note("verdict: the job is shown as %s; %lld of its runs have ended "
	     "failed, %lld were lost with their workers; %lld runs were told "
	     "to stop, and nobody has cancelled the job; %lld run",
	     state, (long long)tasks_sum("failed"),
	     (long long)tasks_sum("lost"), (long long)tasks_sum("stops"),
	     (long long)tasks_sum("running"));
	free(state);
	return failed || tasks_sum("stops") > MAY_MISS;
}

/* The only good worker among the first ones of a pool is lost for good. */
static int case_advice(void)
{
	const char *body = "{\"specification\":\"ms=1000\",\"steps\":["
			   "{\"count\":1,\"cpu\":1000,"
			   "\"requested_memory_mb\":64,"
			   "\"estimated_ms\":1000}]}";
	int64_t sent;

	start_all("40");
	control("/control/good", "{\"good\":[\"i-05\",\"i-36\",\"i-37\","
				 "\"i-38\",\"i-39\"]}");
	control("/control/op", "%s",
		CONFIG("7", ROUTE("r-policy", "/policy/",
				  ",\"advice\":{\"decision_ms\":20,"
				  "\"period_ms\":1,\"validity_ms\":3000}")));
	wait_ready();
	if (!submit("k-one", "/policy/", "ad00000000000001", body) ||
	    !wait_state("k-one", "/policy/", "ad00000000000001", "completed",
			10000))
		return 2;
	if (trouble)
		control("/control/worker",
			"{\"worker\":\"i-05\",\"what\":\"gone\"}");
	nap(10000);
	if (!submit("k-one", "/policy/", "ad00000000000002", body))
		return 2;
	sent = clock_now();
	wait_state("k-one", "/policy/", "ad00000000000002", "completed",
		   FINISH_MS);
	nap_until(sent + FINISH_MS + NOTHING_RUNS_MS + 500);
	note("verdict: the second job has %lld starts, %d ms after it was "
	     "accepted; i-36 to i-39 are good and idle",
	     (long long)task_int("ad00000000000002.0.0.0", "starts"),
	     FINISH_MS + NOTHING_RUNS_MS + 500);
	return task_int("ad00000000000002.0.0.0", "starts") == 0;
}

/* A queue is removed while a job of it runs, and comes back. */
static int case_route(void)
{
	char *state;
	int failed, i;

	start_all("9");
	control("/control/op", "%s",
		CONFIG("7", ROUTE("r-plan", "/plan/",
				  "") "," ROUTE("r-short", "/short/", "")));
	wait_ready();
	warm_up("/short/");
	if (!submit("k-one", "/plan/", "40b0000000000001",
		    "{\"specification\":\"ms=6000\",\"steps\":[{\"count\":1,"
		    "\"cpu\":1000,\"requested_memory_mb\":64,"
		    "\"estimated_ms\":6000}]}"))
		return 2;
	nap(2000);
	if (task_int("40b0000000000001.0.0.0", "starts") != 1)
		return 2;
	control("/control/failing", "{\"failing\":1}");
	if (trouble)
		control("/control/op", "%s",
			CONFIG("9", ROUTE("r-short", "/short/", "")));
	nap(6000);
	if (trouble)
		control("/control/op", "%s",
			CONFIG("12", ROUTE("r-plan", "/plan/", "") "," ROUTE(
					     "r-short", "/short/", "")));
	nap(2500);
	state = xstrdup("");
	for (i = 0; i < 20 && strcmp(state, "completed") != 0 &&
		    strcmp(state, "failed") != 0;
	     i++) {
		free(state);
		nap(500);
		state = state_of("k-one", "/plan/", "40b0000000000001");
	}
	failed = !strcmp(state, "failed");
	note("verdict: the job is shown as %s after %lld failed run of 4 "
	     "attempts",
	     state, (long long)task_int("40b0000000000001.0.0.0", "failed"));
	free(state);
	return failed && tasks_sum("failed") < 4;
}

/* Returns the node whose metrics show that it is the owner, or NULL. */
static struct node *owner_look(void)
{
	int i, fd, status;
	char *text;
	bool owner;

	for (i = 0; i < NODES; i++) {
		text = NULL;
		fd = http_connect(nodes[i].metrics, NULL);
		if (fd < 0)
			continue;
		status = http_send(fd, "GET", "/metrics", NULL)
				 ? http_recv(fd, &text)
				 : 0;
		close(fd);
		owner = status == 200 && strstr(text, OWNER_METRIC);
		free(text);
		if (owner)
			return &nodes[i];
	}
	return NULL;
}

/* The same, and waits for one for a while. */
static struct node *owner_find(void)
{
	int64_t until = clock_now() + 5000;
	struct node *owner = owner_look();

	while (!owner && clock_now() < until) {
		nap(200);
		owner = owner_look();
	}
	if (!owner)
		note("no node is the owner");
	return owner;
}

/*
 * The order to start a task is late; its worker crashes, and the node that sent
 * the order is killed.  The worker is up again before the order is carried out.
 */
#define ORDER_LATE_MS 8400  /* 2 to 12 s */
#define WORKER_DOWN_MS 6700 /* 6.8 s at most */
#define NODE_DOWN_MS 3000   /* 3.5 s at most */

static int case_late(void)
{
	const char *job = "1a7e000000000001";
	char *id = NULL, *state;
	json_t *answer;
	int64_t until;
	struct node *owner;

	start_all("9");
	control("/control/op", "%s",
		CONFIG("7", ROUTE("r-plan", "/plan/",
				  "") "," ROUTE("r-short", "/short/", "")));
	wait_ready();
	warm_up("/short/");
	owner = owner_find();
	if (!owner)
		return 2;
	if (trouble)
		control("/control/late", "{\"job\":\"%s\",\"ms\":%d}", job,
			ORDER_LATE_MS);
	if (!submit("k-one", "/plan/", job,
		    "{\"specification\":\"ms=5000\",\"steps\":[{\"count\":1,"
		    "\"cpu\":1000,\"requested_memory_mb\":64,"
		    "\"estimated_ms\":5000}]}"))
		return 2;
	until = clock_now() + 3000;
	while (trouble && !id && clock_now() < until) {
		http_call(world.port, "GET", "/control/late", NULL, &answer);
		if (*json_string_value(json_object_get(answer, "worker")))
			id = xstrdup(json_string_value(
				json_object_get(answer, "worker")));
		json_decref(answer);
		nap(20);
	}
	if (trouble && !id)
		return 2;
	if (trouble) {
		nap(200);
		kill(owner->pid, SIGKILL);
		waitpid(owner->pid, NULL, 0);
		note("%s is killed", owner->name);
		nap(800);
		control("/control/worker",
			"{\"worker\":\"%s\",\"what\":\"crash\",\"ms\":%d}", id,
			WORKER_DOWN_MS);
		nap(NODE_DOWN_MS - 800);
		node_start(owner);
	}
	free(id);
	nap(18000);
	state = state_of("k-one", "/plan/", job);
	note("verdict: the task began %lld times, %lld of them beside another "
	     "run of it; it has ended done %lld times",
	     (long long)tasks_sum("starts") - 2, (long long)tasks_sum("twice"),
	     (long long)tasks_sum("done") - 2);
	free(state);
	return tasks_sum("twice") > 0;
}

/*
 * A gang of two tasks ends done, and then comes a step of one task.  The worker
 * of one member is cut off, and crashes behind the cut after that end.
 */
#define GANG_RUN_MS 4000
#define CUT_MS 5000	      /* 5.5 s at most */
#define CUT_AFTER_MS 2000     /* the gang's start */
#define RESTART_AFTER_MS 2800 /* the beginning of the cut */

static int case_gang(void)
{
	const char *job = "6a46000000000001",
		   *member = "6a46000000000001.0.0.1";
	int64_t sent, until = clock_now() + 20000;
	char *state;
	json_t *t;
	int broken;

	start_all("9");
	control("/control/op", "%s",
		CONFIG("7", ROUTE("r-plan", "/plan/",
				  "") "," ROUTE("r-short", "/short/", "")));
	wait_ready();
	warm_up("/short/");
	if (!submit("k-one", "/plan/", job,
		    "{\"specification\":\"ms=4000 gang=2\",\"steps\":["
		    "{\"count\":2,\"cpu\":20000,\"requested_memory_mb\":256,"
		    "\"estimated_ms\":4000,\"gang\":true,"
		    "\"anti_affinity\":1},"
		    "{\"count\":1,\"cpu\":1000,\"requested_memory_mb\":64,"
		    "\"estimated_ms\":4000,\"after\":[0]}]}"))
		return 2;
	while (!task_int(member, "running") && clock_now() < until)
		nap(20);
	sent = clock_now();
	nap(CUT_AFTER_MS);
	t = task_get(member);
	if (trouble)
		control("/control/worker",
			"{\"worker\":\"%s\",\"what\":\"cut\",\"ms\":%d,"
			"\"restart_ms\":%d}",
			json_string_value(json_object_get(t, "worker")), CUT_MS,
			RESTART_AFTER_MS);
	json_decref(t);
	nap_until(sent + GANG_RUN_MS + 5000 + FINISH_MS + NOTHING_RUNS_MS);
	state = state_of("k-one", "/plan/", job);
	note("verdict: the job is shown as %s; the gang's tasks have %lld and "
	     "%lld starts and %lld and %lld ends done, the task after them %lld "
	     "starts; %lld runs work",
	     state, (long long)task_int("6a46000000000001.0.0.0", "starts"),
	     (long long)task_int(member, "starts"),
	     (long long)task_int("6a46000000000001.0.0.0", "done"),
	     (long long)task_int(member, "done"),
	     (long long)task_int("6a46000000000001.0.1.0", "starts"),
	     (long long)tasks_sum("running"));
	broken = strcmp(state, "completed") != 0 && !tasks_sum("running");
	free(state);
	return broken;
}

/* A tenant's maximum is lowered; then it hands in a gang within the new one. */
static int case_ceiling(void)
{
	const char *job = "6a46000000000002";
	int64_t sent;
	char *state;
	int broken;

	start_all("9");
	control("/control/op", "%s",
		CONFIG_MAXIMUM("7", "400000",
			       ROUTE("r-plan", "/plan/",
				     "") "," ROUTE("r-short", "/short/", "")));
	wait_ready();
	warm_up("/short/");
	if (trouble)
		control("/control/op", "%s",
			CONFIG_MAXIMUM("9", "100000",
				       ROUTE("r-plan", "/plan/", "") "," ROUTE(
					       "r-short", "/short/", "")));
	nap(3000);
	if (!submit("k-one", "/plan/", job,
		    "{\"specification\":\"ms=3000 gang=12\",\"steps\":["
		    "{\"count\":12,\"cpu\":3000,\"requested_memory_mb\":256,"
		    "\"estimated_ms\":3000,\"gang\":true}]}"))
		return 2;
	sent = clock_now();
	wait_state("k-one", "/plan/", job, "completed", FINISH_MS);
	nap_until(sent + FINISH_MS + NOTHING_RUNS_MS + 500);
	state = state_of("k-one", "/plan/", job);
	broken = !task_int("6a46000000000002.0.0.0", "starts");
	note("verdict: the job of a gang of 12 tasks, 36 cores together, is "
	     "shown as %s, and has %lld starts; its tenant runs nothing",
	     state, (long long)task_int("6a46000000000002.0.0.0", "starts"));
	free(state);
	return broken;
}

/*
 * A node freezes, and gets a client's POST.  The client leaves without an
 * answer, and cancels the job at another node.  Then the node wakes.
 */
#define FREEZE_MS 4000 /* 4 s at most */
#define LEAVE_MS 300   /* give_up: half the objective */
#define CANCEL_MS 3000 /* cancel_ms */

static int case_cancel(void)
{
	const char *path = "/plan/ca0ce10000000001";
	const char *task = "ca0ce10000000001.0.0.0";
	const char *body = "{\"specification\":\"ms=2000\",\"steps\":["
			   "{\"count\":1,\"cpu\":1000,"
			   "\"requested_memory_mb\":64,"
			   "\"estimated_ms\":2000}]}";
	int64_t frozen_at, acked_at = 0, starts;
	struct node *owner, *n;
	int fd, status = 0, i;
	char *out;

	start_all("9");
	control("/control/op", "%s",
		CONFIG("7", ROUTE("r-plan", "/plan/",
				  "") "," ROUTE("r-short", "/short/", "")));
	wait_ready();
	warm_up("/short/");
	owner = owner_find();
	if (!owner)
		return 2;
	n = &nodes[(owner - nodes + 1) % NODES];
	if (trouble) {
		kill(n->pid, SIGSTOP);
		note("%s freezes", n->name);
	}
	frozen_at = clock_now();
	nap(100);
	out = xasprintf("POST %s HTTP/1.1\r\nHost: " HOST "\r\n"
			"Authorization: Bearer k-one\r\n"
			"X-Deadline-Remaining-Ms: %d\r\n"
			"Content-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			path, DEADLINE_MS, strlen(body), body);
	fd = http_connect(n->callers, NULL);
	if (fd < 0 ||
	    send(fd, out, strlen(out), MSG_NOSIGNAL) != (ssize_t)strlen(out))
		return 2;
	free(out);
	note("client POST %s at %s", path, n->name);
	nap(LEAVE_MS);
	close(fd);
	note("the client leaves before it has an answer");
	for (i = 0; i < ATTEMPTS && status != 200 && status != 410; i++) {
		status = call_node(owner, "k-one", "DELETE", path, NULL, NULL);
		acked_at = clock_now();
		note("client DELETE %s at %s -> %d", path, owner->name, status);
	}
	if (status != 200 && status != 410)
		return 2;
	nap_until(acked_at + CANCEL_MS);
	starts = task_int(task, "starts");
	nap_until(frozen_at + FREEZE_MS);
	if (trouble) {
		kill(n->pid, SIGCONT);
		note("%s wakes", n->name);
	}
	nap(5000);
	free(state_of("k-one", "/plan/", "ca0ce10000000001"));
	starts = task_int(task, "starts") - starts;
	note("verdict: the task has %lld starts later than %d ms after the "
	     "cancelling was answered with %d",
	     (long long)starts, CANCEL_MS, status);
	return starts > 0;
}

static const struct {
	const char *name;
	int (*run)(void);
} cases[] = {
	{"gang", case_gang},	 {"ceiling", case_ceiling},
	{"cancel", case_cancel}, {"late", case_late},
	{"large", case_large},	 {"crash", case_crash},
	{"advice", case_advice}, {"route", case_route},
};

int main(int argc, char **argv)
{
	char self[PATH_MAX] = "";
	const char *t = getenv("TROUBLE");
	int rc = 2;
	size_t i;

	if (argc != 3 || readlink("/proc/self/exe", self, PATH_MAX - 1) < 0)
		return 2;
	snprintf(root, sizeof(root), "%s/../..", dirname(self));
	if (!realpath(root, self))
		return 2;
	snprintf(root, sizeof(root), "%s", self);
	if (!realpath(argv[2], self))
		return 2;
	snprintf(record_path, sizeof(record_path), "%.4000s/record.txt", self);
	trouble = !t || strcmp(t, "0") != 0;
	if (!(record = fopen(record_path, "we")))
		return 2;
	fclose(record);
	record = fopen(record_path, "ae");
	snprintf(dir, sizeof(dir), "/tmp/review-2-XXXXXX");
	if (!record || !mkdtemp(dir))
		return 2;
	atexit(stop_all);
	began = clock_now();
	note("case %s, %s the disruption", argv[1],
	     trouble ? "with" : "without");
	for (i = 0; i < NELEMS(cases); i++)
		if (!strcmp(cases[i].name, argv[1]))
			rc = cases[i].run();
	note("exit %d", rc);
	return rc;
}
