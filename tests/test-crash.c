/*
 * Tests of tasks that crash each worker that runs them, and of workers whose
 * capacity shrinks.
 */
#include "world-calm.h"

#include "../sched-state.h"

#include <stdio.h>
#include <string.h>

#define POISON "00000000000000aa"
#define FIRST "10000000000000bb"
#define SECOND "f0000000000000cc"
#define RESTART_MS 300 /* until an ended process is started again */
/* The users ask for jobs this long after the end of the traffic. */
#define FINISH_MS 14000

static const struct world_job poison = {
	.tasks = 1, .task_ms = 400, .crashes = true};
static const struct world_job slow_poison = {
	.tasks = 1, .task_ms = 4000, .crashes = true, .crash_ms = 700};
static const struct world_job lasting_poison = {
	.tasks = 2, .long_running = true, .crashes = true, .crash_ms = 100};
static const struct world_job innocent = {.tasks = 8, .task_ms = 3000};
static const struct world_job lasting = {.tasks = 6, .long_running = true};
static const struct world_job packed = {.tasks = 8, .task_ms = 60000};
static const struct world_job filling = {.tasks = 60, .task_ms = 900};

/* Checks that no invariant was violated, and frees the world. */
static void check_free(struct world *w)
{
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

/* Checks the states of the job that crashes its workers and of another. */
static void check_states(struct world *w, const char *state)
{
	cr_expect_str_eq(world_job_state(w, POISON), "failed");
	cr_expect_str_eq(world_job_state(w, FIRST), state);
	cr_expect_leq(world_crashes_under(w, POISON), 5);
}

/* How a worker is back after a crash. */
static const struct {
	enum world_crash_mode mode;
	int64_t down_ms;
} backs[] = {
	{WORLD_CRASH_SAME_ID, 300},  {WORLD_CRASH_SAME_ID, 2500},
	{WORLD_CRASH_SAME_ID, 6000}, {WORLD_CRASH_NEW_ID, 300},
	{WORLD_CRASH_NEW_ID, 2500},  {WORLD_CRASH_NEW_ID, 6000},
};

/* A task that crashes its workers at once was started again without end. */
Test(crash, alone)
{
	struct world *w;
	unsigned i;

	for (i = 0; i < NELEMS(backs); i++) {
		w = world_new_settled(10 + i);
		world_set_crash_mode(w, backs[i].mode, backs[i].down_ms);
		world_submit(w, other(w), POISON, &poison);
		world_run(w, 45000);
		cr_expect_str_eq(world_job_state(w, POISON), "failed", "row %u",
				 i);
		check_free(w);
	}
}

/* Such a task took the tasks beside it down each time, also with a delay. */
Test(crash, beside_others)
{
	struct world *w;
	unsigned i;

	for (i = 0; i < 2 * NELEMS(backs); i++) {
		w = world_new_settled(20 + i);
		world_set_crash_mode(w, backs[i / 2].mode,
				     backs[i / 2].down_ms);
		world_submit(w, other(w), FIRST, &innocent);
		world_submit(w, other(w), POISON,
			     i % 2 ? &slow_poison : &poison);
		world_submit(w, other(w), SECOND, &innocent);
		world_run(w, 60000);
		check_states(w, "completed");
		cr_expect_str_eq(world_job_state(w, SECOND), "completed");
		check_free(w);
	}
}

/* A count that is lost with its owner lets the task start again from none. */
Test(crash, takeovers)
{
	struct world *w;
	unsigned i, k, vm;

	for (i = 0; i < 6; i++) {
		w = world_new_settled(40 + i);
		world_submit(w, other(w), FIRST, &innocent);
		world_submit(w, other(w), POISON, &poison);
		for (k = 0; k < 3; k++) {
			world_run(w, 1500 + 700 * i);
			vm = owner(w);
			world_kill_vm(w, vm);
			world_run(w, 5000);
			world_start_vm(w, vm);
		}
		world_run(w, 40000);
		check_states(w, "completed");
		check_free(w);
	}
}

/* A start before the count is in the store begins anew at a second failure. */
Test(crash, store_away)
{
	struct world *w;
	unsigned crashes, i;

	for (i = 0; i < 4; i++) {
		w = world_new_settled(50 + i);
		world_set_crash_mode(w, WORLD_CRASH_NEW_ID, 300);
		world_submit(w, other(w), POISON, &poison);
		world_run(w, 60);
		world_set_store_mode(w, i % 2 ? WORLD_STORE_REFUSES
					      : WORLD_STORE_NO_ANSWER);
		crashes = world_crashes_under(w, POISON);
		world_run(w, 2500);
		cr_expect_leq(world_crashes_under(w, POISON), crashes + 1);
		if (i > 1)
			world_kill_vm(w, owner(w));
		world_set_store_mode(w, WORLD_STORE_OK);
		world_run(w, 40000);
		cr_expect_str_eq(world_job_state(w, POISON), "failed");
		check_free(w);
	}
}

/* Long-running tasks have no limit of failed runs, but one of crashes. */
Test(crash, long_running)
{
	struct world *w;
	unsigned i;

	for (i = 0; i < NELEMS(backs); i++) {
		w = world_new_settled(60 + i);
		world_set_crash_mode(w, backs[i].mode, backs[i].down_ms);
		world_submit(w, other(w), FIRST, &lasting);
		world_submit(w, other(w), POISON, &lasting_poison);
		world_run(w, 60000);
		check_states(w, "running");
		check_free(w);
	}
}

/* In a pool without an empty worker a suspect must neither wait for ever nor
 * be started beside others without end. */
Test(crash, full_pool)
{
	struct world *w;
	char id[17];
	unsigned i;

	for (i = 0; i < NELEMS(backs); i++) {
		w = world_new_settled(70 + i);
		world_set_crash_mode(w, backs[i].mode, backs[i].down_ms);
		world_submit(w, other(w), FIRST, &lasting);
		world_submit(w, other(w), POISON, &poison);
		for (unsigned k = 0; k < 6; k++) {
			snprintf(id, sizeof(id), "%016x", 0x3000000 + k);
			world_submit(w, other(w), id, &filling);
			world_run(w, 2000);
		}
		world_run(w, 30000);
		check_states(w, "running");
		for (unsigned k = 0; k < 6; k++) {
			snprintf(id, sizeof(id), "%016x", 0x3000000 + k);
			cr_expect_str_eq(world_job_state(w, id), "completed");
		}
		check_free(w);
	}
}

/*
 * An owner that fails between a start and the write of the count forgets it.
 * The store refuses writes for most of the time, so that some crashes are seen
 * while it does.
 */
Test(crash, durable_before_the_start)
{
	struct world *w;
	unsigned i, k, crashes;

	for (k = 0; k < 8; k++) {
		w = world_new_settled(100 + k);
		world_set_crash_mode(w, WORLD_CRASH_SAME_ID, 300);
		world_submit(w, other(w), POISON, &poison);
		world_run(w, 60);
		for (i = 0; i < 9000; i++) {
			world_set_store_mode(w, (i + 90 * k) % 900 < 200
							? WORLD_STORE_OK
							: WORLD_STORE_REFUSES);
			world_run(w, 1);
			crashes = world_crashes_under(w, POISON);
			if (crashes &&
			    strcmp(world_job_state(w, POISON), "failed") != 0)
				cr_assert_geq(world_stored_crashes(w, POISON) +
						      1,
					      crashes, "row %u, %u ms", k, i);
		}
		world_set_store_mode(w, WORLD_STORE_OK);
		world_run(w, 20000);
		cr_expect_str_eq(world_job_state(w, POISON), "failed");
		check_free(w);
	}
}

/* Workers that the owner can't reach must not count against their tasks. */
Test(crash, cut_is_no_crash)
{
	struct world *w = world_new_settled(57);
	unsigned i, k;

	world_submit(w, other(w), FIRST, &lasting);
	for (i = 0; i < 3; i++) {
		world_run(w, 500);
		for (k = 0; k < 3; k++) {
			world_cut_worker(w, owner(w), (i + k) % 6, true);
			world_unlist_worker(w, (i + k) % 6, i % 2);
		}
		for (k = 0; k < 30; k++) {
			world_run(w, 200);
			cr_expect_eq(world_stored_crashes(w, FIRST), 0);
		}
		for (k = 0; k < 6; k++) {
			world_cut_worker(w, owner(w), k, false);
			world_unlist_worker(w, k, false);
		}
	}
	world_run(w, 3000);
	cr_expect_eq(world_stored_crashes(w, FIRST), 0);
	check_free(w);
}

/* Workers that drain and leave must not count against their tasks. */
Test(crash, drained_worker_leaves)
{
	struct world *w = world_new_settled(58);
	unsigned i;

	world_submit(w, other(w), FIRST, &lasting);
	world_run(w, 300);
	for (i = 0; i < 3; i++)
		world_drain_worker(w, i);
	world_run(w, 1000);
	for (i = 0; i < 3; i++)
		world_crash_worker(w, i);
	for (i = 0; i < 30; i++) {
		world_run(w, 100);
		cr_expect_eq(world_stored_crashes(w, FIRST), 0);
	}
	check_free(w);
}

/* Workers that leave by plan must not count against their tasks. */
Test(crash, planned_work)
{
	struct world *w = world_new_settled(80);
	static const struct world_job spread = {.tasks = 6,
						.long_running = true,
						.max_per_worker = 1,
						.may_miss = 2};
	unsigned i, k;

	world_submit(w, other(w), FIRST, &spread);
	world_run(w, 300);
	world_start_wave(w, 6, 2);
	for (i = 0; i < 3; i++) {
		for (k = 0; k < 25; k++) {
			world_run(w, 200);
			cr_expect_eq(world_stored_crashes(w, FIRST), 0);
		}
		world_kill_vm(w, owner(w));
		world_run(w, 100);
		world_start_vm(w, 0);
		world_start_vm(w, 1);
		world_start_vm(w, 2);
		world_start_vm(w, 3);
	}
	world_run(w, 30000);
	cr_expect(world_wave_is_completed(w));
	cr_expect_str_eq(world_job_state(w, FIRST), "running");
	check_free(w);
}

/* A start brought a worker over its capacity after that had shrunk. */
Test(crash, capacity_shrinks)
{
	struct world *w = world_new_settled(90);
	char id[17];
	unsigned i;

	world_set_unguarded(w);
	for (i = 0; i < 12; i++) {
		snprintf(id, sizeof(id), "%016x", 0x4000000 + i);
		world_submit(w, other(w), id, &innocent);
		world_run(w, 700);
		world_set_capacity(w, i % 6, i < 6 ? 2000 * (i % 3) : 16000);
	}
	world_run(w, 40000);
	for (i = 0; i < 12; i++) {
		snprintf(id, sizeof(id), "%016x", 0x4000000 + i);
		cr_expect_str_eq(world_job_state(w, id), "completed");
	}
	check_free(w);
}

/* One shrunk worker made the room of the others seem taken. */
Test(crash, others_keep_their_room)
{
	struct world *w = world_new_settled(91);
	unsigned i, full = 0;

	world_submit(w, other(w), FIRST, &packed);
	world_run(w, 300);
	for (i = 0; i < 6; i++) {
		full += world_starts_of(w, i) == packed.tasks;
		world_set_capacity(w, i, world_starts_of(w, i) ? 0 : 2000);
	}
	cr_assert_eq(full, 1, "one worker runs all tasks of the first job");
	world_run(w, 300);
	world_submit(w, other(w), SECOND, &innocent);
	world_run(w, 15000);
	cr_expect_str_eq(world_job_state(w, SECOND), "completed");
	check_free(w);
}

static const struct world_job lasting_fillers = {
	.tasks = 12, .long_running = true, .max_per_worker = 3, .cpu = 500};
static const struct world_job lasting_task = {
	.tasks = 1, .long_running = true, .cpu = 500};

/*
 * Returns the worker that runs the only task of SECOND, as the owner knows it,
 * or -1.
 */
static int task_runs_on(struct world *w)
{
	int o = world_owner(w);
	struct sched *s = o < 0 ? NULL : world_sched(w, (unsigned)o);
	struct job *j = s ? sched_job_find(s, SECOND) : NULL;
	const struct occurrence *occ = j ? TAILQ_FIRST(&j->occs) : NULL;
	unsigned n;

	if (!occ || occ->tasks[0].phase != PHASE_RUNNING ||
	    sscanf(occ->tasks[0].worker->id.bstr_val, "i-%u-", &n) != 1)
		return -1;
	return (int)n;
}

/*
 * Kills each owner some time after it is ready, and starts its process again,
 * until the task of SECOND runs.  Returns the time that it took.
 */
static unsigned owners_killed(struct world *w, unsigned live_ms,
			      unsigned max_ms)
{
	unsigned ms, back_ms[WORLD_VMS] = {0}, k, ready_ms = 0;
	struct sched *s;
	int o;

	for (ms = 1; ms < max_ms && task_runs_on(w) < 0; ms++) {
		world_run(w, 1);
		for (k = 0; k < WORLD_VMS; k++) {
			if (!back_ms[k] || ms < back_ms[k])
				continue;
			world_start_vm(w, k);
			back_ms[k] = 0;
		}
		o = world_owner(w);
		s = o < 0 || back_ms[o] ? NULL : world_sched(w, (unsigned)o);
		if (!s || s->own.state != OWN_OWNER) {
			ready_ms = ms;
		} else if (ms - ready_ms >= live_ms) {
			world_kill_vm(w, (unsigned)o);
			back_ms[o] = ms + RESTART_MS;
		}
	}
	return ms;
}

/*
 * Guards against a lasting task that never runs again: it waits for an empty
 * worker, as a worker has crashed under it once, and each owner begins that
 * wait anew.
 */
static const struct {
	const char *name;
	bool crash;
	unsigned live_ms;
} chain_rows[] = {
	{"no crash, each lives for 1 s", false, 1000},
	{"each lives for 20 s", true, 20000},
	{"each lives for 3 s", true, 3000},
	{"each lives for 1.8 s", true, 1800},
	{"each lives for 1 s", true, 1000},
};
static void chain_row(unsigned row, uint64_t seed)
{
	struct world *w = world_new_settled(seed);
	unsigned ms, killed;
	int n;

	world_run(w, 6000 + 40 * (int64_t)(seed % 10));
	world_submit(w, other(w), FIRST, &lasting_fillers);
	world_run(w, 3000);
	cr_assert_eq(world_starts(w), 12);
	world_submit(w, other(w), SECOND, &lasting_task);
	world_run(w, 2000);
	n = task_runs_on(w);
	cr_assert_geq(n, 0);
	if (chain_rows[row].crash)
		world_crash_worker(w, (unsigned)n);
	world_run(w, 5000);
	cr_assert_eq(world_stored_crashes(w, SECOND), chain_rows[row].crash);
	n = task_runs_on(w);
	cr_assert_geq(n, 0);
	world_cut_worker_of_all(w, (unsigned)n, true);
	killed = owner(w);
	world_kill_vm(w, killed);
	world_run(w, RESTART_MS);
	world_start_vm(w, killed);
	ms = owners_killed(w, chain_rows[row].live_ms, 40000);
	cr_expect_leq(ms, FINISH_MS, "%s, seed %llu: %u ms",
		      chain_rows[row].name, (unsigned long long)seed, ms);
	cr_expect_null(world_violation(w), "%s, seed %llu: %s",
		       chain_rows[row].name, (unsigned long long)seed,
		       world_violation(w));
	world_free(w);
}
Test(crash, wait_for_an_empty_worker_that_begins_anew)
{
	unsigned row, seed;

	for (row = 0; row < NELEMS(chain_rows); row++)
		for (seed = 1800; seed < 1804; seed++)
			chain_row(row, seed);
}
