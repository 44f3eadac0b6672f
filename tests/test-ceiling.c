/*
 * Tests of upper limits of organisations across changes of the owner: the limit
 * holds, and no more is kept back for it than can be running unknown.
 */
#include "support-world.h"

#include <criterion/criterion.h>

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define WORKERS 20
#define TASK_MCPU 2000 /* thousandths of a core that a task needs */
#define URGENT_START_MAX_MS 4200
#define RUN_MS 20

/*
 * Guards against a successor that starts next to nothing for seconds, beside
 * empty workers, because a few others don't answer: all that the organisation
 * may have had running is assumed to run on those.
 */
static const struct {
	const char *name;
	unsigned limit;	   /* in tasks */
	unsigned silent;   /* workers that no VM can reach */
	int64_t second_ms; /* the successor dies that long after it owns; 0: it
			    * doesn't */
	unsigned task_ms;  /* of what runs when the owner is lost */
	int64_t start_max_ms;
	bool unlisted; /* the rows of the silent workers are gone */
} unknown_rows[] = {
	{"no worker is silent", 100, 0, 0, 1000, URGENT_START_MAX_MS},
	{"one worker is silent", 100, 1, 0, 1000, URGENT_START_MAX_MS},
	{"three workers are silent", 100, 3, 0, 1000, URGENT_START_MAX_MS},
	{"one is silent, two owners are lost", 100, 1, 900, 1000,
	 URGENT_START_MAX_MS},
	{"three have no row any more", 100, 3, 0, 1000, URGENT_START_MAX_MS,
	 true},
	{"three have no row, two owners are lost", 100, 3, 900, 1000,
	 URGENT_START_MAX_MS, true},
	{"three are silent and run on", 100, 3, 0, 9000, 12000},
	{"two owners are lost, three workers run on", 100, 3, 900, 9000, 12000},
	{"three without a row run on", 100, 3, 900, 9000, 12000, true},
};

/* Returns the time until tasks of another job have started. */
static int64_t start_next_job(struct world *w, unsigned vm, unsigned tasks)
{
	const struct world_job job = {.tasks = tasks, .task_ms = 400};
	unsigned before = world_starts(w);
	int64_t ms;

	world_submit(w, vm, JOB_B, &job);
	for (ms = 0; ms < 12000 && world_starts(w) < before + tasks;
	     ms += RUN_MS)
		world_run(w, RUN_MS);
	return ms;
}

/* Kills the owner, and returns the next one. */
static unsigned owner_kill(struct world *w)
{
	unsigned k;

	world_kill_vm(w, (unsigned)world_owner(w));
	for (k = 0; k < 300 && world_owner(w) == -1; k++)
		world_run(w, 10);
	cr_assert_neq(world_owner(w), -1, "nobody owns the scheduling");
	return (unsigned)world_owner(w);
}

static void unknown_usage(unsigned row)
{
	const char *name = unknown_rows[row].name;
	struct world_job first = {.tasks = unknown_rows[row].limit,
				  .task_ms = unknown_rows[row].task_ms};
	struct world *w = world_new(1200 + row, 4, WORKERS);
	unsigned next, n;
	int64_t ms;

	world_set_limit(w, unknown_rows[row].limit * TASK_MCPU);
	world_run(w, 4000);
	world_submit(w, 0, JOB_A, &first);
	world_run(w, 700);
	cr_assert_eq(world_starts(w), first.tasks, "%s: %u", name,
		     world_starts(w));
	world_cut_workers_of_all(w, unknown_rows[row].silent, true);
	for (n = 0; unknown_rows[row].unlisted && n < unknown_rows[row].silent;
	     n++)
		world_unlist_worker(w, n, true);
	next = owner_kill(w);
	if (unknown_rows[row].second_ms) {
		world_run(w, unknown_rows[row].second_ms);
		next = owner_kill(w);
	}
	ms = start_next_job(w, next, 60);
	cr_expect_leq(ms, unknown_rows[row].start_max_ms, "%s: %lld ms", name,
		      (long long)ms);
	cr_expect_null(world_violation(w), "%s: %s", name, world_violation(w));
	world_free(w);
}
Test(ceiling, few_unknown_workers_keep_little_back)
{
	unsigned i;

	for (i = 0; i < NELEMS(unknown_rows); i++)
		unknown_usage(i);
}
