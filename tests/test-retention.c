/*
 * Tests of the scheduler in the simulated world: what happens to final jobs
 * when their retention is over.
 */
#include "../sched-state.h"
#include "world-calm.h"

#define KEEP_MS 2000
/* Until the rows of a job are removed whose retention is over. */
#define REMOVAL_MS 8000
#define JOBS 6

static const struct world_job quick = {.tasks = 2, .task_ms = 200};
static const struct world_job lasting = {.tasks = 2, .long_running = true};

/* Returns the id of a job; the ids begin with different digits. */
static const char *job_id(unsigned n)
{
	static char id[JOB_ID_BYTES + 1];

	snprintf(id, sizeof(id), "%x00000000000%04x", n % 16, n);
	return id;
}

/* Checks that no invariant was violated, and frees the world. */
static void check_free(struct world *w, const char *name)
{
	cr_expect_null(world_violation(w), "%s: %s", name, world_violation(w));
	world_free(w);
}

/* Returns a world with a short retention and some jobs that have ended. */
static struct world *world_new_ended(uint64_t seed)
{
	struct world *w = world_new_settled(seed);
	unsigned i;

	world_set_retention(w, KEEP_MS);
	for (i = 0; i < JOBS; i++)
		world_submit(w, other(w), job_id(i), &quick);
	world_run(w, 1500);
	for (i = 0; i < JOBS; i++)
		cr_assert_str_eq(world_job_state(w, job_id(i)), "completed");
	cr_assert_eq(world_starts(w), JOBS * quick.tasks);
	return w;
}

/* Checks that a call for a job is answered as if it had never been. */
static void expect_unknown(struct world *w, const char *id, const char *name)
{
	uint64_t call = world_call(w, other(w), VERB_STATE, id);

	world_run(w, 200);
	cr_expect_eq(world_call_status(w, call), 410, "%s: %s", name, id);
}

static void owner_is_killed(struct world *w)
{
	world_kill_vm(w, owner(w));
}

static void owner_stops(struct world *w)
{
	world_stop_vm(w, owner(w));
}

static void owner_loses_the_store(struct world *w)
{
	world_cut_store(w, owner(w), true);
}

static void owner_is_frozen(struct world *w)
{
	world_freeze_vm(w, owner(w), 4000);
}

static const struct {
	const char *name;
	void (*happens)(struct world *);
} rereading_rows[] = {
	{"the owner is killed", owner_is_killed},
	{"the owner stops as planned", owner_stops},
	{"the owner loses the store", owner_loses_the_store},
	{"the owner is frozen", owner_is_frozen},
	{"the feed's history is dropped", world_compact_history},
};

/* Jobs run once more: their progress was removed, but not their own rows. */
Test(retention, jobs_do_not_start_again)
{
	struct world *w;
	unsigned i, k;

	for (i = 0; i < NELEMS(rereading_rows); i++) {
		w = world_new_ended(2000 + i);
		world_run(w, KEEP_MS + REMOVAL_MS);
		for (k = 0; k < JOBS; k++)
			cr_expect_eq(world_stored_rows(w, job_id(k)), 0,
				     "%s: job %u", rereading_rows[i].name, k);
		rereading_rows[i].happens(w);
		world_run(w, 12000);
		cr_expect_eq(world_starts(w), JOBS * quick.tasks, "%s",
			     rereading_rows[i].name);
		for (k = 0; k < JOBS; k++)
			expect_unknown(w, job_id(k), rereading_rows[i].name);
		check_free(w, rereading_rows[i].name);
	}
}

/* The store fills up: a cancelled job leaves the row of its cancellation. */
Test(retention, cancelled_jobs_leave_no_row)
{
	struct world *w = world_new_settled(2010);
	const char *id = job_id(11);

	world_set_retention(w, KEEP_MS);
	world_submit(w, other(w), id, &lasting);
	world_run(w, 2000);
	world_call(w, other(w), VERB_CANCEL, id);
	world_run(w, 1500);
	cr_expect_str_eq(world_job_state(w, id), "cancelled");
	cr_expect_eq(world_stored_rows(w, id), 3);
	world_run(w, KEEP_MS + REMOVAL_MS);
	cr_expect_eq(world_stored_rows(w, id), 0);
	check_free(w, "cancelled");
}

/* Jobs are submitted at the target's rate, 400 a second. */
#define BURST_JOBS 600
#define BURST_INTERVALS_MS 5 /* for two jobs */

/*
 * The store, the owner's memory and the reading at a takeover grow without end:
 * rows are removed more slowly than jobs end.
 */
Test(retention, rows_are_removed_as_fast_as_jobs_end)
{
	static const struct world_job tiny = {
		.tasks = 1, .task_ms = 40, .cpu = 250};
	struct world *w = world_new_settled(2020);
	unsigned i, left = 0;
	uint64_t call;

	world_set_retention(w, 10000);
	for (i = 0; i < BURST_JOBS; i++) {
		call = world_submit(w, other(w), job_id(i), &tiny);
		if (i % 2)
			world_run(w, BURST_INTERVALS_MS);
	}
	world_run(w, 10000);
	cr_expect_eq(world_call_status(w, call), 200);
	cr_expect_eq(world_starts(w), BURST_JOBS);
	world_run(w, REMOVAL_MS);
	for (i = 0; i < BURST_JOBS; i++)
		left += world_stored_rows(w, job_id(i));
	cr_expect_eq(left, 0);
	check_free(w, "burst");
}
