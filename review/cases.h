/* The cases: each returns the exit status.  Included by stage.c. */

/* Returns the longest time that a file's jobs are kept: status_s. */
static int64_t status_ms(void)
{
	const char *s = getenv("STATUS_S");

	return 1000 * strtoll(s ? s : "120", NULL, 10);
}

/*
 * Jobs that ended longer ago than status_s, and then a new process or another
 * machine takes over: their tasks must not start again.
 */
#define OLD_JOBS 6
#define OLD_MARGIN_MS 36000 /* the daemons keep jobs for 30 s more */
#define WATCH_MS 12000

static int case_old_jobs(void)
{
	static const char body[] =
		"{\"specification\":\"work=500 cpu=1800\",\"steps\":[{"
		"\"count\":2,\"cpu\":1800,\"requested_memory_mb\":1800,"
		"\"estimated_ms\":500}]}";
	struct daemon_process *d;
	char id[OLD_JOBS][20], state[32];
	int i, before;

	for (i = 0; i < OLD_JOBS; i++) {
		snprintf(id[i], sizeof(id[i]), "5c0e7a21d94b36f%d", i);
		submit(id[i], body);
	}
	for (i = 0; i < OLD_JOBS; i++)
		if (!wait_state(id[i], "completed", 10000))
			return 2;
	rec("driver: all jobs are completed; waits until status_s is over");
	wait_ms(status_ms() + OLD_MARGIN_MS);
	before = counter(&starts);
	d = owner();
	if (!d)
		return 2;
	if (trouble) {
		daemon_kill(d);
		wait_ms(500);
		daemon_start(d);
	}
	wait_ms(WATCH_MS);
	for (i = 0; i < OLD_JOBS; i++)
		state_get(id[i], state, sizeof(state));
	rec("driver: %d starts since then, %d of them of tasks that had ended "
	    "done",
	    counter(&starts) - before, counter(&starts_after_done));
	return counter(&starts_after_done) || counter(&doubles) ? 1 : 0;
}

/*
 * The worker that runs one task of a lasting job crashes three times.  No run
 * ends as failed, so the job must not be shown as failed.
 */
#define CRASHES 3
#define DOWN_MS 4400 /* the site's crashes last 4.5 s */
#define AT_WORK_MS 1500

static int case_crashes(void)
{
	static const char id[] = "5c0e7a21d94b36f8", task[] =
		"5c0e7a21d94b36f8.0.0.0";
	static const char body[] =
		"{\"specification\":\"lasts=1 cpu=2600\",\"steps\":[{"
		"\"count\":5,\"cpu\":2600,\"requested_memory_mb\":4800,"
		"\"estimated_ms\":700,\"long_running\":true,"
		"\"anti_affinity\":1,\"may_miss\":1}]}";
	struct worker *w;
	char state[32];
	int i, failed;

	submit(id, body);
	if (!wait_state(id, "running", 10000))
		return 2;
	for (i = 0; trouble && i < CRASHES; i++) {
		w = wait_worker(task, AT_WORK_MS, FINISH_MS);
		if (!w)
			break; /* it isn't started again; see the state */
		worker_do(w, WISH_CRASH);
		wait_ms(DOWN_MS);
		worker_do(w, WISH_START);
	}
	wait_ms(trouble ? FINISH_MS : 2 * FINISH_MS);
	if (state_get(id, state, sizeof(state)) != 200)
		return 2;
	pthread_mutex_lock(&lock);
	failed = (int)json_object_size(failed_ends);
	pthread_mutex_unlock(&lock);
	rec("driver: the job is shown as %s; %d tasks have an end `failed`",
	    state, failed);
	if (counter(&stopped_at_work) > 1 && !failed)
		rec("driver: these stops are of a job that nobody cancelled");
	if (!strcmp(state, "failed") && !failed) {
		rec("LOST as well: a job that nobody cancelled is shown as "
		    "failed, and none of its runs has ended `failed`");
	}
	if (counter(&stopped_at_work) > 1)
		return 1;
	return 0;
}

/*
 * A gang of two ends done.  One member's worker is cut off before, runs on, and
 * crashes behind the cut after the end.  The other member's end represents
 * both, so the job's next step must run.
 */
#define CUT_MS 5300 /* the site's cuts last 5.5 s */
#define IDLE_MS 3000
#define GANG_WORK_MS 4000

static int case_gang(void)
{
	static const char id[] = "5c0e7a21d94b36f8";
	static const char body[] =
		"{\"specification\":\"work=4000 cpu=20000 gang=2\",\"steps\":[{"
		"\"count\":2,\"cpu\":20000,\"requested_memory_mb\":5500,"
		"\"estimated_ms\":4000,\"gang\":true},{"
		"\"count\":1,\"cpu\":20000,\"requested_memory_mb\":5500,"
		"\"estimated_ms\":4000,\"after\":[0]}]}";
	bool done, ran = false;
	struct worker *w;
	int64_t until;

	submit(id, body);
	w = wait_worker("5c0e7a21d94b36f8.0.0.1", GANG_WORK_MS / 2, 10000);
	if (!w)
		return 2;
	if (trouble) {
		worker_do(w, WISH_CUT);
		wait_ms(GANG_WORK_MS / 2 + 1000);
		worker_do(w, WISH_CRASH);
		wait_ms(500);
		worker_do(w, WISH_START);
		wait_ms(CUT_MS - GANG_WORK_MS / 2 - 1500);
		worker_do(w, WISH_HEAL);
		wait_ms(CONTACT_MS);
		rec("driver: everything is calm again");
	}
	done = wait_state(id, "completed", FINISH_MS);
	until = clock_now() + IDLE_MS;
	while (!done && !ran && clock_now() < until) {
		ran = anything_runs();
		wait_ms(20);
	}
	if (done || ran)
		return 0;
	rec("BROKEN LOST: %d s after everything was calm nothing of the job "
	    "has run for %d s on end, though its next task's turn has come and "
	    "all workers are empty",
	    FINISH_MS / 1000, IDLE_MS / 1000);
	return 1;
}

/*
 * Not one of the three cases, see REPORT.md: a worker crashes while a job of
 * many tasks with checkpoints runs.  The jobs handed in after that must start.
 */
#define LARGE_SMALL_JOBS 3

static int case_large(void)
{
	static const char large[] =
		"{\"specification\":\"work=100000 cpu=40 saves=1\",\"steps\":[{"
		"\"count\":3000,\"cpu\":40,\"requested_memory_mb\":10,"
		"\"estimated_ms\":100000,\"checkpointing\":true}]}";
	static const char small[] =
		"{\"specification\":\"work=1000 cpu=1800\",\"steps\":[{"
		"\"count\":2,\"cpu\":1800,\"requested_memory_mb\":1800,"
		"\"estimated_ms\":1000}]}";
	char id[LARGE_SMALL_JOBS][20], state[32];
	struct worker *w;
	int i, before, left = 0;

	submit("5c0e7a21d94b36f8", large);
	w = wait_worker("5c0e7a21d94b36f8.0.0.0", 3000, 10000);
	if (!w)
		return 2;
	if (trouble) {
		worker_do(w, WISH_CRASH);
		wait_ms(DOWN_MS);
		worker_do(w, WISH_START);
	}
	wait_ms(CONTACT_MS);
	before = counter(&starts);
	for (i = 0; i < LARGE_SMALL_JOBS; i++) {
		snprintf(id[i], sizeof(id[i]), "77480b35adfbae9%d", i);
		submit(id[i], small);
	}
	wait_ms(FINISH_MS);
	for (i = 0; i < LARGE_SMALL_JOBS; i++) {
		state_get(id[i], state, sizeof(state));
		left += strcmp(state, "completed") != 0;
	}
	rec("driver: %d of %d jobs are not completed, %d starts since they "
	    "were handed in",
	    left, LARGE_SMALL_JOBS, counter(&starts) - before);
	if (left)
		rec("BROKEN LOST: for %d s nothing of these jobs has run, though "
		    "their turn has come and half of the workers' room is free",
		    FINISH_MS / 1000);
	return left ? 1 : 0;
}

/*
 * Not one of the three cases, as it needs no disruption: the members of a gang
 * with anti_affinity 1 must start on different workers.
 */
static int case_gang_apart(void)
{
	static const char body[] =
		"{\"specification\":\"work=1000 cpu=3800 gang=2\",\"steps\":[{"
		"\"count\":2,\"cpu\":3800,\"requested_memory_mb\":5500,"
		"\"estimated_ms\":1000,\"gang\":true,\"anti_affinity\":1}]}";
	struct worker *a, *b;

	submit("5c0e7a21d94b36f8", body);
	a = wait_worker("5c0e7a21d94b36f8.0.0.0", 1, 10000);
	b = wait_worker("5c0e7a21d94b36f8.0.0.1", 1, 10000);
	if (!a || !b)
		return 2;
	if (a == b)
		rec("BROKEN ROUTE: two tasks of a step run on %s, and its "
		    "anti_affinity is 1",
		    a->id);
	return a == b ? 1 : 0;
}

static const struct {
	const char *name;
	int (*run)(void);
} cases[] = {
	{"old-jobs", case_old_jobs},
	{"crashes", case_crashes},
	{"gang", case_gang},
	{"large", case_large},
	{"gang-apart", case_gang_apart},
};
