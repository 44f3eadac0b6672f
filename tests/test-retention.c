/*
 * Tests of the scheduler in the simulated world: what happens to final jobs
 * when their retention is over.
 */
#include "../sched-state.h"
#include "world-calm.h"

#define KEEP_MS 2000
/* Time after its retention within which the rows of a job are removed. */
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

/*
 * Ways to have the jobs read again: by a successor, or by the same owner.
 */
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
		world_check_free(w, rereading_rows[i].name);
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
	world_check_free(w, "cancelled");
}

/* Jobs are submitted at the target's rate, 400 a second. */
#define BURST_JOBS 600
#define BURST_INTERVAL_MS 5 /* for two jobs */

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
			world_run(w, BURST_INTERVAL_MS);
	}
	world_run(w, 10000);
	cr_expect_eq(world_call_status(w, call), 200);
	cr_expect_eq(world_starts(w), BURST_JOBS);
	world_run(w, REMOVAL_MS);
	for (i = 0; i < BURST_JOBS; i++)
		left += world_stored_rows(w, job_id(i));
	cr_expect_eq(left, 0);
	world_check_free(w, "burst");
}

/* Owner's rows that a process which isn't there any more has left. */
#define OWNER_ROW(more)                                                 \
	"{\"epoch\":5000,\"vm\":\"gone\",\"life\":1,\"settled\":false," \
	"\"handovers\":0" more "}"
#define RUNNING                                                             \
	"{\"state\":\"running\",\"tenant\":\"org\",\"next\":1,\"times\":[{" \
	"\"k\":0,\"done\":\"00\",\"fails\":{},\"saved\":{}}]}"
#define UPGRADE_KEEP_MS 100000

/*
 * A change of the version runs jobs once more: an earlier one removed the
 * progress of jobs that had ended, and left their own rows.
 */
static const struct {
	const char *name;
	const char *owner_row;
	int64_t age_ms; /* of the job */
	const char *progress;
	int64_t last_due_ms; /* of a repeated job, from now; 0: not repeated */
	bool starts;
} upgrade_rows[] = {
	{"it has ended", OWNER_ROW(""), UPGRADE_KEEP_MS + 5000, NULL, 0, false},
	{"its progress was just removed", OWNER_ROW(""), UPGRADE_KEEP_MS + 1,
	 NULL, 0, false},
	{"its retention can't be over", OWNER_ROW(""), UPGRADE_KEEP_MS / 2,
	 NULL, 0, true},
	{"it runs", OWNER_ROW(""), UPGRADE_KEEP_MS + 5000, RUNNING, 0, true},
	{"its last time is still to come", OWNER_ROW(""),
	 UPGRADE_KEEP_MS + 5000, NULL, 500, true},
	{"its last time was long ago", OWNER_ROW(""), 3 * UPGRADE_KEEP_MS, NULL,
	 -2 * UPGRADE_KEEP_MS, false},
	{"it waited under this version",
	 OWNER_ROW(",\"removals_whole_since\":0"), UPGRADE_KEEP_MS + 5000, NULL,
	 0, true},
	{"it was accepted under this version",
	 OWNER_ROW(",\"removals_whole_since\":4890000"), UPGRADE_KEEP_MS + 5000,
	 NULL, 0, true},
	{"the time isn't known", OWNER_ROW(",\"removals_whole_since\":-1"),
	 UPGRADE_KEEP_MS + 5000, NULL, 0, false},
	{"nobody was the owner yet", NULL, UPGRADE_KEEP_MS + 5000, NULL, 0,
	 true},
};

/* Writes the row of a job that was accepted some time ago. */
static void put_job(struct world *w, const char *id, int64_t age_ms,
		    int64_t last_due_ms)
{
	const int64_t wall = 1700000001000, clock = 5001000;
	char text[512], repeat[96] = "";

	if (last_due_ms)
		snprintf(repeat, sizeof(repeat),
			 "\"repeat\":2,\"first_at\":%lld,\"interval_ms\":100,",
			 (long long)(wall + last_due_ms - 100));
	snprintf(text, sizeof(text),
		 "{\"tenant\":\"org\",\"route\":\"q\",\"service\":\"pool\","
		 "\"submitted\":%lld,\"submitted_by_store\":%lld,%s"
		 "\"payload\":\"p\",\"steps\":[{\"count\":2,\"cpu\":2000,"
		 "\"memory\":100,\"estimated_ms\":200,\"after\":[]}]}",
		 (long long)(wall - age_ms), (long long)(clock - age_ms),
		 repeat);
	world_put_row(w, TABLE_JOBS, id, text);
	world_expect_job(w, id, &quick);
}

Test(retention, what_an_earlier_version_left_does_not_start)
{
	const char *id = job_id(3);
	struct world *w;
	unsigned i;

	for (i = 0; i < NELEMS(upgrade_rows); i++) {
		w = world_new(2030 + i, 4, 6);
		if (upgrade_rows[i].owner_row)
			world_put_row(w, TABLE_OWNER, "epoch",
				      upgrade_rows[i].owner_row);
		put_job(w, id, upgrade_rows[i].age_ms,
			upgrade_rows[i].last_due_ms);
		if (upgrade_rows[i].progress)
			world_put_row(w, TABLE_PROGRESS, id,
				      upgrade_rows[i].progress);
		world_run(w, 20000);
		cr_expect_eq(world_starts(w) > 0, upgrade_rows[i].starts, "%s",
			     upgrade_rows[i].name);
		if (upgrade_rows[i].starts) {
			cr_expect_str_eq(world_job_state(w, id), "completed",
					 "%s", upgrade_rows[i].name);
		} else {
			cr_expect_eq(world_stored_rows(w, id), 0, "%s",
				     upgrade_rows[i].name);
			expect_unknown(w, id, upgrade_rows[i].name);
		}
		world_check_free(w, upgrade_rows[i].name);
	}
}

/* A job that waits is taken for one that an earlier version has left. */
Test(retention, the_time_of_the_upgrade_is_handed_on)
{
	struct world *w = world_new(2050, 4, 6);
	int64_t since;
	unsigned i;

	world_put_row(w, TABLE_OWNER, "epoch", OWNER_ROW(""));
	world_run(w, 4000);
	since = world_sched(w, owner(w))->own.removals_whole_since;
	cr_expect_gt(since, 0);
	for (i = 0; i < 3; i++) {
		if (i == 1)
			world_stop_vm(w, owner(w));
		else
			world_kill_vm(w, owner(w));
		world_run(w, 6000);
		cr_expect_eq(world_sched(w, owner(w))->own.removals_whole_since,
			     since);
	}
	world_check_free(w, "handed on");
}

#define GATHER_MS 5000 /* rows wait this long for others */

/* Runs the world until the removal of rows is about to be sent. */
static void run_until_removal(struct world *w)
{
	unsigned i;

	for (i = 0; i < 20000; i++) {
		if (retention_late_ms(world_sched(w, owner(w))) >=
		    GATHER_MS - 100)
			return;
		world_run(w, 1);
	}
	cr_assert_fail("no rows to remove");
}

/* Runs the world until the store has no row of a job. */
static void run_until_removed(struct world *w, const char *id)
{
	unsigned i;

	for (i = 0; i < 8000 && world_stored_rows(w, id); i++)
		world_run(w, 1);
	cr_assert_eq(world_stored_rows(w, id), 0);
}

/* Sends the removal while the store treats the owner's writes in a way. */
static void removal_meets(struct world *w, enum world_store_mode mode)
{
	unsigned vm = owner(w);

	world_set_vm_store_mode(w, vm, mode);
	while (!world_sched(w, vm)->retention.in_flight)
		world_run(w, 1);
	world_run(w, 5); /* it is on its way */
	world_set_vm_store_mode(w, vm, WORLD_STORE_OK);
}

/* The store carries out the removal seconds later, after its repetition. */
static void removal_is_late(struct world *w)
{
	removal_meets(w, WORLD_STORE_LATE);
}

/* The store carries out the removal, and the answer is lost. */
static void removal_is_not_answered(struct world *w)
{
	removal_meets(w, WORLD_STORE_LOSES_ANSWERS);
}

/* The jobs are read again, and the page was read before the removal. */
static void removal_overtakes_a_page(struct world *w)
{
	world_set_page_delay(w, TABLE_JOBS, 600);
	world_unlist_worker(w, 5, false); /* the feeds need a change */
	world_compact_history(w);
}

/* Nothing is special: the removal is answered at once. */
static void removal_is_answered(struct world *w)
{
	(void)w;
}

/*
 * An accepted job is lost: its id was that of an older one, whose rows were
 * removed a moment before, or are removed once more.
 */
static const struct {
	const char *name;
	void (*happens)(struct world *);
} reused_rows[] = {
	{"the removal is answered", removal_is_answered},
	{"the removal is late", removal_is_late},
	{"the removal is not answered", removal_is_not_answered},
	{"the removal overtakes a page", removal_overtakes_a_page},
};

Test(retention, an_id_can_be_used_again)
{
	const char *id = job_id(7);
	unsigned i, seed;
	struct world *w;
	uint64_t call;

	for (i = 0; i < NELEMS(reused_rows); i++) {
		for (seed = 2060; seed < 2072; seed++) {
			w = world_new_settled(seed);
			world_set_retention(w, KEEP_MS);
			world_submit(w, other(w), id, &quick);
			run_until_removal(w);
			reused_rows[i].happens(w);
			run_until_removed(w, id);
			call = world_submit(w, other(w), id, &quick);
			world_run(w, 4500);
			world_set_page_delay(w, TABLE_JOBS, 0);
			cr_expect_eq(world_call_status(w, call), 200, "%s",
				     reused_rows[i].name);
			cr_expect_eq(world_starts(w), 2 * quick.tasks,
				     "%s, seed %u: %u starts",
				     reused_rows[i].name, seed,
				     world_starts(w));
			cr_expect_str_eq(world_job_state(w, id), "completed",
					 "%s, seed %u", reused_rows[i].name,
					 seed);
			world_check_free(w, reused_rows[i].name);
		}
	}
}

/*
 * A caller is told that no such job exists before its retention is over, or the
 * rows are never removed: a wall clock was stepped, or is that of another VM.
 */
static const struct {
	const char *name;
	int64_t step_ms;
	bool other_owner; /* the other VMs' clocks are stepped */
} clock_rows[] = {
	{"an hour ahead", 3600000, false},
	{"an hour back", -3600000, false},
	{"an hour ahead at the next owner", 3600000, true},
	{"an hour back at the next owner", -3600000, true},
};

Test(retention, it_does_not_go_by_wall_clocks)
{
	unsigned i, k, vm;
	struct world *w;

	for (i = 0; i < NELEMS(clock_rows); i++) {
		w = world_new_ended(2080 + i);
		world_set_retention(w, 30000);
		world_submit(w, other(w), job_id(JOBS), &quick);
		world_run(w, 1500);
		vm = owner(w);
		for (k = 0; k < WORLD_VMS; k++)
			if ((k == vm) != clock_rows[i].other_owner)
				world_step_wall(w, k, clock_rows[i].step_ms);
		if (clock_rows[i].other_owner)
			world_kill_vm(w, vm);
		world_run(w, 20000);
		cr_expect_str_eq(world_job_state(w, job_id(JOBS)), "completed",
				 "%s", clock_rows[i].name);
		world_run(w, 10000 + REMOVAL_MS);
		cr_expect_eq(world_stored_rows(w, job_id(JOBS)), 0, "%s",
			     clock_rows[i].name);
		world_check_free(w, clock_rows[i].name);
	}
}

/*
 * A row of progress stays in the store: its job's rows are removed by a
 * successor whose own write of that progress is late.
 */
Test(retention, progress_is_not_written_after_its_removal)
{
	const char *id = job_id(13);
	unsigned seed, vm;
	struct world *w;

	for (seed = 2090; seed < 2100; seed++) {
		w = world_new_settled(seed);
		world_set_retention(w, KEEP_MS);
		world_submit(w, other(w), id, &lasting);
		world_run(w, 2000);
		world_call(w, other(w), VERB_CANCEL, id);
		run_until_removal(w);
		vm = owner(w);
		world_kill_vm(w, vm);
		do {
			world_run(w, 1);
			vm = (unsigned)world_owner(w);
		} while (vm >= WORLD_VMS ||
			 world_sched(w, vm)->own.state != OWN_OWNER);
		world_set_vm_store_mode(w, vm, WORLD_STORE_LATE);
		world_run(w, 10);
		world_set_vm_store_mode(w, vm, WORLD_STORE_OK);
		world_run(w, 20000);
		cr_expect_eq(world_stored_rows(w, id), 0, "seed %u", seed);
		world_check_free(w, "late progress");
	}
}

/*
 * A row of progress without a job stays in the store: its removal is refused
 * because of another job in the same request, and counts as done.
 */
Test(retention, progress_without_a_job_is_removed)
{
	static const char id[] = "5000000000000001";
	static const char gone[] = "5000000000000002";
	struct world *w = world_new(2110, 4, 6);

	world_set_retention(w, KEEP_MS);
	world_put_row(w, TABLE_PROGRESS, id,
		      "{\"state\":\"completed\",\"tenant\":\"org\"}");
	world_run(w, 2000);
	world_submit(w, other(w), gone, &quick);
	run_until_removal(w);
	world_run(w, 60);
	world_remove_row(w, TABLE_JOBS, gone);
	world_run(w, REMOVAL_MS);
	cr_expect_eq(world_stored_rows(w, id), 0);
	world_check_free(w, "progress only");
}
