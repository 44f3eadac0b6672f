/*
 * Measures the processor time that the start and the end of a task cost the
 * owner, depending on the number of workers.  Two real daemons run over
 * loopback against a platform that this program simulates: the first daemon
 * owns the scheduling, the other accepts the jobs.  The rate of tasks is the
 * same for every number of workers, so a cost that grows with that number is
 * due to the size of the fleet.
 */
#include "../tests/support-cloud.h"
#include "../tests/support-entry.h"

#include <dirent.h>
#include <inttypes.h>
#include <popt.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define SETTLE_MS 4000 /* for the owner to fence all workers */
#define IDLE_MS 4000   /* measurement without load */
#define WARM_MS 2000   /* load before the measurement with load */
#define THREADS_MAX 16

/* The processor time of a daemon's threads, by name. */
struct usage {
	struct {
		char name[32];
		uint64_t ns;
	} threads[THREADS_MAX];
	size_t count;
	uint64_t ns;
};

static int worker_count = 50, rate = 1000, seconds = 8;
static char dir[] = "/tmp/bench-starts-XXXXXX";

/* Stores the name of a thread, or its number if it can't be read. */
static void thread_name(char *out, size_t size, pid_t pid, const char *tid)
{
	char *path = xasprintf("/proc/%d/task/%s/comm", (int)pid, tid);
	FILE *f = fopen(path, "re");

	snprintf(out, size, "%.16s", tid);
	if (f && fgets(out, (int)size, f))
		out[strcspn(out, "\n")] = '\0';
	if (f)
		fclose(f);
	free(path);
}

/* Adds a thread's processor time to that of all threads of its name. */
static void usage_add(struct usage *u, pid_t pid, const char *tid, uint64_t ns)
{
	char name[32];
	size_t i;

	thread_name(name, sizeof(name), pid, tid);
	for (i = 0; i < u->count; i++)
		if (!strcmp(u->threads[i].name, name))
			break;
	if (i == THREADS_MAX)
		return;
	if (i == u->count)
		memcpy(u->threads[u->count++].name, name, sizeof(name));
	u->threads[i].ns += ns;
	u->ns += ns;
}

/* Returns the processor time of a daemon's threads so far. */
static struct usage usage_read(pid_t pid)
{
	char *path = xasprintf("/proc/%d/task", (int)pid), *file;
	struct usage u = {.count = 0};
	struct dirent *e;
	uint64_t ns;
	DIR *tasks = opendir(path);
	FILE *f;

	while (tasks && (e = readdir(tasks))) {
		if (e->d_name[0] == '.')
			continue;
		file = xasprintf("%s/%s/schedstat", path, e->d_name);
		f = fopen(file, "re");
		free(file);
		if (f && fscanf(f, "%" SCNu64, &ns) == 1)
			usage_add(&u, pid, e->d_name, ns);
		if (f)
			fclose(f);
	}
	if (tasks)
		closedir(tasks);
	free(path);
	return u;
}

/*
 * Prints the usage between two readings that are s seconds apart.  Under load,
 * above_idle is the cost of a start without the idle usage.
 */
static void usage_print(const char *phase, const struct usage *a,
			const struct usage *b, double s, double idle_ns)
{
	double ns = (double)(b->ns - a->ns) / s;
	const struct cloud_counts *c = &cloud_counts;
	size_t i, k;

	printf("workers=%d phase=%s core=%.4f", worker_count, phase, ns / 1e9);
	for (i = 0; i < b->count; i++) {
		uint64_t before = 0;

		for (k = 0; k < a->count; k++)
			if (!strcmp(a->threads[k].name, b->threads[i].name))
				before = a->threads[k].ns;
		if (b->threads[i].ns - before > 1000000)
			printf(" %s=%.4f", b->threads[i].name,
			       (double)(b->threads[i].ns - before) / s / 1e9);
	}
	if (c->starts)
		printf(" starts/s=%.0f holds/s=%.0f ends/s=%.0f listed=%.2f "
		       "runs_listed=%.2f store/s=%.0f us/start=%.1f "
		       "above_idle=%.1f",
		       (double)c->starts / s, (double)c->holds / s,
		       (double)c->ends / s,
		       (double)c->listed / (double)c->starts,
		       (double)c->listed_runs / (double)c->starts,
		       (double)c->calls / s, ns * s / (double)c->starts / 1000,
		       (ns - idle_ns) * s / (double)c->starts / 1000);
	else
		printf(" holds/s=%.0f store/s=%.0f", (double)c->holds / s,
		       (double)c->calls / s);
	printf("\n");
}

/* Resets the counters of the owner's activity. */
static void counts_reset(void)
{
	struct cloud_counts *c = &cloud_counts;

	c->starts = c->holds = c->ends = c->calls = 0;
	c->listed = c->listed_runs = 0;
}

/* Measures the owner first without load, then under load. */
static void measure(pid_t owner)
{
	struct usage before, after;
	double idle;

	counts_reset();
	before = usage_read(owner);
	cloud_serve(IDLE_MS, 0);
	after = usage_read(owner);
	idle = (double)(after.ns - before.ns) / (IDLE_MS / 1000.0);
	usage_print("idle", &before, &after, IDLE_MS / 1000.0, 0);
	cloud_serve(WARM_MS, (unsigned)rate);
	counts_reset();
	before = usage_read(owner);
	cloud_serve(seconds * 1000, (unsigned)rate);
	after = usage_read(owner);
	usage_print("load", &before, &after, seconds, idle);
	printf("submitted=%" PRIu64 " accepted=%" PRIu64 " refused=%" PRIu64
	       "\n",
	       cloud_counts.submitted, cloud_counts.accepted,
	       cloud_counts.refused);
}

int main(int argc, const char **argv)
{
	struct poptOption options[] = {
		{"workers", 0, POPT_ARG_INT, &worker_count, 0,
		 "number of workers", "N"},
		{"rate", 0, POPT_ARG_INT, &rate, 0, "starts per second", "N"},
		{"seconds", 0, POPT_ARG_INT, &seconds, 0, "length of the load",
		 "N"},
		{"task-ms", 0, POPT_ARG_INT, &cloud_load.task_ms, 0,
		 "run time of a task", "MS"},
		{"slots", 0, POPT_ARG_INT, &cloud_load.slots, 0,
		 "tasks that a worker has room for", "N"},
		{"objective-ms", 0, POPT_ARG_INT, &cloud_load.objective_ms, 0,
		 "objective of the jobs", "MS"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext pc = poptGetContext(NULL, argc, argv, options, 0);
	struct entry_process owner = {.name = "owner"};
	struct entry_process other = {.name = "other"};
	uint16_t port;

	if (poptGetNextOpt(pc) != -1 || worker_count < 1 || rate < 1) {
		poptPrintUsage(pc, stderr, 0);
		return 2;
	}
	poptFreeContext(pc);
	signal(SIGPIPE, SIG_IGN);
	if (!mkdtemp(dir))
		abort();
	port = cloud_start((unsigned)worker_count);
	owner.store_port = other.store_port = port;
	owner.machines_port = other.machines_port = port;
	entry_process_start(&owner, dir);
	cloud_serve(SETTLE_MS, 0);
	entry_process_start(&other, dir);
	cloud_serve(2000, 0);
	cloud_submitters_connect(other.callers_port);
	measure(owner.pid);
	kill(owner.pid, SIGKILL);
	kill(other.pid, SIGKILL);
	waitpid(owner.pid, NULL, 0);
	waitpid(other.pid, NULL, 0);
	printf("logs: %s\n", dir);
	return 0;
}
