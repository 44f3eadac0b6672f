/*
 * Tests of maintenance waves under faults: whether they end in time, and what
 * delays their machines.
 */
#include "world-calm.h"

#define JOB_A "00000000000000aa"

static const struct world_job long_lived = {
	.tasks = 3, .long_running = true, .max_per_worker = 1, .may_miss = 1};

/* A backlog that exceeds the pool's capacity and keeps it busy. */
static const struct world_job backlog = {.tasks = 240, .task_ms = 4000};

static void check_free(struct world *w, const char *name)
{
	cr_expect_null(world_violation(w), "%s: %s", name, world_violation(w));
	world_free(w);
}

/* Kills all VMs and starts them again. */
static void all_vms_restart(struct world *w)
{
	unsigned k;

	for (k = 0; k < WORLD_VMS; k++)
		world_kill_vm(w, k);
	world_run(w, 300);
	for (k = 0; k < WORLD_VMS; k++)
		world_start_vm(w, k);
}

/*
 * Guards against a wave that is late because each restart of all VMs starts its
 * time again: machines of a busy pool wait for a moment of less load, which
 * comes after the operator's deadline.
 */
static const struct {
	const char *name;
	unsigned restarts;
	int64_t interval_ms;
} restart_rows[] = {
	{"never", 0, 0},
	{"once, late", 1, 6500},
	{"twice", 2, 5500},
	{"three times", 3, 3500},
};
Test(upkeep, time_goes_on_when_all_vms_begin_anew)
{
	unsigned row, k;
	struct world *w;

	for (row = 0; row < NELEMS(restart_rows); row++) {
		w = world_new_settled(1500 + row);
		world_submit(w, other(w), JOB_A, &backlog);
		world_run(w, 300);
		world_start_wave(w, 6, 3);
		for (k = 0; k < restart_rows[row].restarts; k++) {
			world_run(w, restart_rows[row].interval_ms - 300);
			all_vms_restart(w);
		}
		world_run(w, 20000 - restart_rows[row].restarts *
					     restart_rows[row].interval_ms);
		cr_expect_eq(world_maintained_count(w), 6,
			     "%s: %u of 6 in time", restart_rows[row].name,
			     world_maintained_count(w));
		check_free(w, restart_rows[row].name);
	}
}

/*
 * Guards against a wave that waits after a takeover for as long as one silent
 * worker may hold its leases, which would make its machines late by that time.
 */
static const struct {
	const char *name;
	unsigned silent; /* workers that can't be reached */
	/*
	 * Machines that had maintenance by then: not those of the silent
	 * workers, nor the two with other tasks of the job, of which one may be
	 * unavailable.
	 */
	unsigned least;
} silent_rows[] = {
	{"none is silent", 0, 6},
	{"one is silent", 1, 3},
	{"two are silent", 2, 2},
};
Test(upkeep, goes_on_beside_silent_workers)
{
	unsigned row, i, k;
	struct world *w;

	for (row = 0; row < NELEMS(silent_rows); row++) {
		w = world_new_settled(1520 + row);
		world_submit(w, other(w), JOB_A, &long_lived);
		world_run(w, 800);
		for (i = 0; i < silent_rows[row].silent; i++)
			for (k = 0; k < WORLD_VMS; k++)
				world_cut_worker(w, k, 5 - i, true);
		world_kill_vm(w, owner(w));
		world_start_wave(w, 6, 6);
		world_run(w, 5500);
		cr_expect_geq(world_maintained_count(w), silent_rows[row].least,
			      "%s: %u", silent_rows[row].name,
			      world_maintained_count(w));
		check_free(w, silent_rows[row].name);
	}
}

/*
 * Guards against a wave that takes machines of a busy pool during a burst of
 * load, because a new owner hasn't determined the load of the pools yet.
 */
Test(upkeep, successor_looks_at_the_pools_first)
{
	struct world *w;
	unsigned row, k;

	for (row = 0; row < 4; row++) {
		w = world_new_settled(1540 + row);
		world_submit(w, other(w), JOB_A, &backlog);
		world_run(w, 300);
		world_kill_vm(w, owner(w));
		world_start_wave(w, 6, 3);
		for (k = 0; k < 400 && world_owner(w) == -1; k++)
			world_run(w, 10);
		world_run(w, 2000);
		cr_expect_eq(world_maintained_count(w), 0,
			     "row %u: %u taken during the burst", row,
			     world_maintained_count(w));
		check_free(w, "pools are read first");
	}
}

/*
 * Guards against counting the tasks of a machine as in service because a second
 * call for its maintenance was refused: the first call, which had no answer,
 * may still be carried out, and another task of their step would be away then.
 * The second call comes some time in the rows' span.
 */
Test(upkeep, refusal_of_a_second_call_is_no_outcome)
{
	struct world *w;
	char name[32];
	unsigned row;

	for (row = 0; row < 20; row++) {
		w = world_new_settled(1560);
		world_submit(w, other(w), JOB_A, &long_lived);
		world_run(w, 800);
		world_set_machine_mode(w, WORLD_UPKEEP_LATE);
		world_start_wave(w, 6, 6);
		world_run(w, 1600);
		world_set_machine_mode(w, WORLD_MACHINES_BUSY);
		world_run(w, 20 * row);
		world_set_machine_mode(w, WORLD_MACHINES_OK);
		world_run(w, 12000);
		snprintf(name, sizeof(name), "busy for %u ms", 20 * row);
		cr_expect_eq(world_maintained_count(w), 6, "%s", name);
		check_free(w, name);
	}
}
