/*
 * What a queue can't do in time is refused at once, and nothing else is.
 */
#include "../sched-state.h"
#include "support-world.h"

#include <criterion/criterion.h>
#include <stdio.h>

/* How much of what comes is taken, by what waits already. */
static const struct {
	const char *name;
	double drain_ms;
	double objective_ms;
	unsigned least, most; /* in thousandths */
} share_rows[] = {
	{"nothing waits", 0, 2600, 1000, 1000},
	{"what waits can be done", 5000, 2600, 1000, 1000},
	{"some can't", 6500, 2600, 450, 550},
	{"as much again can't", 7800, 2600, 0, 0},
	{"far too much", 90000, 2600, 0, 0},
	{"long jobs wait longer", 18000, 10000, 1000, 1000},
};
Test(admit, as_much_as_can_be_done_in_time)
{
	unsigned row, share;

	for (row = 0; row < NELEMS(share_rows); row++) {
		share = admission_share(share_rows[row].drain_ms,
					share_rows[row].objective_ms);
		cr_expect_geq(share, share_rows[row].least, "%s: %u",
			      share_rows[row].name, share);
		cr_expect_leq(share, share_rows[row].most, "%s: %u",
			      share_rows[row].name, share);
	}
}

/*
 * Guards against an overload in which all is accepted and next to nothing is
 * done in time: callers wait for what is never of use to them, and the queues
 * are worked off long after.  Each row asks once more while a queue of tasks of
 * one second waits for 24 to 48 of them to run at once.
 */
static const struct {
	const char *name;
	unsigned queued; /* tasks */
	bool second;	 /* it is asked of the other queue */
	bool lasts;
	bool known;   /* it was accepted before */
	bool limited; /* the queue waits for its organisation's limit */
	bool orphan;  /* the owner is gone */
	int status;
} full_rows[] = {
	{"much is queued", .queued = 600, .status = 503},
	{"little is queued", .queued = 60, .status = 200},
	{"the other queue is free", .queued = 600, .second = true,
	 .status = 200},
	{"it is to last", .queued = 600, .lasts = true, .status = 200},
	{"it was accepted before", .queued = 600, .known = true, .status = 200},
	{"there is room", .queued = 600, .limited = true, .status = 200},
	{"nobody works on it", .queued = 600, .orphan = true, .status = 503},
};
Test(admit, what_cannot_be_done_in_time_is_refused)
{
	static const char asked[] = "00000000000000bb";
	struct world_job heap = {.tasks = 600, .task_ms = 1000};
	struct world_job one = {.tasks = 1, .task_ms = 1000};
	struct world *w;
	unsigned row, n, vm;
	uint64_t call;

	for (row = 0; row < NELEMS(full_rows); row++) {
		w = world_new(2300 + row, WORLD_VMS, WORLD_WORKERS);
		world_add_second_pool(w, 3);
		if (full_rows[row].limited)
			world_set_limit(w, 8000);
		world_run(w, 4000);
		n = (unsigned)world_owner(w);
		vm = (n + 1) % WORLD_VMS;
		one.second_queue = full_rows[row].second;
		one.long_running = full_rows[row].lasts;
		heap.tasks = full_rows[row].queued;
		if (full_rows[row].known)
			world_submit(w, vm, asked, &one);
		world_submit(w, vm, "00000000000000aa", &heap);
		world_run(w, 1500);
		if (full_rows[row].orphan)
			world_kill_vm(w, n);
		call = world_submit(w, vm, asked, &one);
		world_run(w, 100);
		cr_expect_eq(world_call_status(w, call), full_rows[row].status,
			     "%s: %d", full_rows[row].name,
			     world_call_status(w, call));
		cr_expect_null(world_violation(w), "%s", world_violation(w));
		world_free(w);
	}
}

/*
 * Guards against a request without the time for an exchange with the store that
 * is held until its caller has gone, and may be stored then.
 */
static const struct {
	int64_t patience_ms;
	int status;
	const char *state; /* of the job after that */
} time_rows[] = {
	{3000, 200, "completed"},
	{300, 200, "completed"},
	{100, 503, ""},
	{5, 503, ""},
	{0, 503, ""},
};
Test(admit, without_time_it_is_refused_at_once)
{
	static const struct world_job one = {.tasks = 1, .task_ms = 200};
	struct world *w;
	uint64_t call;
	unsigned row;

	for (row = 0; row < NELEMS(time_rows); row++) {
		w = world_new(2340 + row, WORLD_VMS, WORLD_WORKERS);
		world_run(w, 4000);
		world_set_caller_timeout(w, time_rows[row].patience_ms);
		call = world_submit(w, 0, "00000000000000aa", &one);
		if (time_rows[row].status == 503)
			cr_expect_eq(world_call_status(w, call), 503,
				     "at once");
		world_run(w, 2000);
		cr_expect_eq(world_call_status(w, call), time_rows[row].status,
			     "row %u: %d", row, world_call_status(w, call));
		cr_expect_str_eq(world_job_state(w, "00000000000000aa"),
				 time_rows[row].state, "row %u", row);
		cr_expect_null(world_violation(w), "%s", world_violation(w));
		world_free(w);
	}
}

/*
 * Guards against callers who are turned away together and all come back at the
 * same moment, or when the queue is as full as before, or for nothing.
 */
Test(admit, who_is_refused_comes_back_when_there_is_room)
{
	static const struct world_job heap = {.tasks = 700, .task_ms = 1000};
	static const struct world_job one = {.tasks = 1, .task_ms = 200};
	unsigned seen[60] = {0}, k, n, vm, most = 0;
	uint64_t calls[40];
	struct world *w;
	char id[20];

	w = world_new(2350, WORLD_VMS, WORLD_WORKERS);
	world_run(w, 4000);
	n = (unsigned)world_owner(w);
	vm = (n + 1) % WORLD_VMS;
	world_submit(w, vm, "00000000000000aa", &heap);
	world_run(w, 1500);
	for (k = 0; k < NELEMS(calls); k++) {
		snprintf(id, sizeof(id), "%016x", 1000 + 77 * k);
		calls[k] = world_submit(w, vm, id, &one);
	}
	world_run(w, 100);
	for (k = 0; k < NELEMS(calls); k++) {
		cr_assert_eq(world_call_status(w, calls[k]), 503, "call %u", k);
		cr_assert_lt(world_call_retry_after(w, calls[k]), NELEMS(seen));
		seen[world_call_retry_after(w, calls[k])]++;
	}
	for (k = 0; k < NELEMS(seen); k++)
		most = seen[k] > most ? seen[k] : most;
	cr_expect_eq(seen[0], 0, "no time to come back");
	cr_expect_leq(most, NELEMS(calls) / 2, "%u come at once", most);
	world_run(w, 1000 * (int64_t)world_call_retry_after(w, calls[0]));
	snprintf(id, sizeof(id), "%016x", 1000);
	calls[0] = world_submit(w, vm, id, &one);
	world_run(w, 3000);
	cr_expect_eq(world_call_status(w, calls[0]), 200);
	cr_expect_str_eq(world_job_state(w, id), "completed");
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}
