/*
 * Maintenance waves under trouble: whether they end in time, and what holds
 * their machines.
 */
#include "world-calm.h"

#define JOB_A "00000000000000aa"

static const struct world_job lasting = {
	.tasks = 3, .long_running = true, .max_per_worker = 1, .may_miss = 1};

/* How many more tasks than the pool has room for keep it busy. */
static const struct world_job heap = {.tasks = 240, .task_ms = 4000};

static void check_free(struct world *w, const char *name)
{
	cr_expect_null(world_violation(w), "%s: %s", name, world_violation(w));
	world_free(w);
}

/* Kill all VMs and start them again. */
static void all_begin_anew(struct world *w)
{
	unsigned k;

	for (k = 0; k < WORLD_VMS; k++)
		world_kill_vm(w, k);
	world_run(w, 300);
	for (k = 0; k < WORLD_VMS; k++)
		world_start_vm(w, k);
}

/*
 * Guards against a wave that is late because each new life of all VMs reckons
 * its time anew: machines of a busy pool wait for a calmer moment that comes
 * after the operator's.
 */
static const struct {
	const char *name;
	unsigned lives;
	int64_t apart_ms;
} anew_rows[] = {
	{"never", 0, 0},
	{"once, late", 1, 6500},
	{"twice", 2, 5500},
	{"three times", 3, 3500},
};
Test(upkeep, time_goes_on_when_all_vms_begin_anew)
{
	unsigned row, k;
	struct world *w;

	for (row = 0; row < NELEMS(anew_rows); row++) {
		w = calm(1500 + row);
		world_submit(w, other(w), JOB_A, &heap);
		world_run(w, 300);
		world_start_wave(w, 6, 3);
		for (k = 0; k < anew_rows[row].lives; k++) {
			world_run(w, anew_rows[row].apart_ms - 300);
			all_begin_anew(w);
		}
		world_run(w, 20000 - anew_rows[row].lives *
					     anew_rows[row].apart_ms);
		cr_expect_eq(world_maintained_count(w), 6,
			     "%s: %u of 6 in time", anew_rows[row].name,
			     world_maintained_count(w));
		check_free(w, anew_rows[row].name);
	}
}

/*
 * Guards against a wave that stands still after a takeover for as long as one
 * silent worker may hold its leases: its machines would be late by that.
 */
static const struct {
	const char *name;
	unsigned silent; /* workers that nobody reaches */
	/*
	 * Machines down by then: not the silent ones, nor the two with other
	 * tasks of the job, of which one may be away.
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
		w = calm(1520 + row);
		world_submit(w, other(w), JOB_A, &lasting);
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
 * Guards against a wave that takes machines in a burst, because an owner that
 * has just taken over has not looked at the pools yet.
 */
Test(upkeep, successor_looks_at_the_pools_first)
{
	struct world *w;
	unsigned row, k;

	for (row = 0; row < 4; row++) {
		w = calm(1540 + row);
		world_submit(w, other(w), JOB_A, &heap);
		world_run(w, 300);
		world_kill_vm(w, owner(w));
		world_start_wave(w, 6, 3);
		for (k = 0; k < 400 && world_owner(w) == -1; k++)
			world_run(w, 10);
		world_run(w, 2000);
		cr_expect_eq(world_maintained_count(w), 0,
			     "row %u: %u taken in a burst", row,
			     world_maintained_count(w));
		check_free(w, "looks at the pools first");
	}
}
