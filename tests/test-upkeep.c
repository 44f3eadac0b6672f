/*
 * Tests of maintenance waves under faults: whether they end in time, and what
 * delays their machines.
 */
#include "world-calm.h"

#include "../bamboofront.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"

static const struct world_job long_lived = {
	.tasks = 3, .long_running = true, .max_per_worker = 1, .may_miss = 1};

/* Two tasks on each worker. */
static const struct world_job spread = {
	.tasks = 12, .long_running = true, .max_per_worker = 2};

/* More tasks, which fill the workers that are left. */
static const struct world_job many = {.tasks = 30, .long_running = true};

/* A backlog that exceeds the pool's capacity and keeps it busy. */
static const struct world_job backlog = {.tasks = 240, .task_ms = 4000};

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
		world_check_free(w, restart_rows[row].name);
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
		world_check_free(w, silent_rows[row].name);
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
		world_check_free(w, "pools are read first");
	}
}

/*
 * Guards against a successful call being taken for the end of the machine's
 * next worker: an earlier call, of this owner or of another one, was carried
 * out without an answer, and a later one was refused since, as the machine was
 * down.  The next worker goes on, and its tasks would run twice.
 */
static const struct {
	const char *name;
	enum world_machine_mode mode; /* at the first calls */
	int64_t ms;
} before_rows[] = {
	{"refused", WORLD_MACHINES_BUSY, 900},
	{"the connection is closed", WORLD_MACHINES_CLOSE, 100},
	{"the answer is lost", WORLD_MACHINES_LOSE_ANSWERS, 100},
	{"the answer is late", WORLD_MACHINES_SLOW, 100},
	{"carried out late", WORLD_MACHINES_LATE, 1600},
	{"carried out very late", WORLD_MACHINES_LATE, 5900},
};
static const struct {
	const char *name;
	enum world_machine_mode mode;
	int64_t ms;
} then_rows[] = {
	{"busy while it is down", WORLD_MACHINES_UP, 0},
	{"busy for long", WORLD_MACHINES_BUSY, 5000},
	{"silent for long", WORLD_MACHINES_SILENT, 5000},
	{"closed once more", WORLD_MACHINES_CLOSE, 700},
};
static const int64_t takeovers_ms[] = {0, 1, 700, 2400}; /* 0: none */
static void next_worker_after(unsigned before, unsigned then, unsigned k)
{
	struct world *w = world_new_settled(1600 + 100 * before + 10 * then +
					    k);

	world_submit(w, other(w), JOB_A, &spread);
	world_submit(w, other(w), JOB_B, &many);
	world_set_machine_mode(w, before_rows[before].mode);
	world_start_wave(w, 3, 3);
	while (!world_log_count(w, LOG_WAVE_MACHINE))
		world_run(w, 10);
	world_run(w, before_rows[before].ms);
	world_set_machine_mode(w, then_rows[then].mode);
	world_run(w, takeovers_ms[k]);
	if (takeovers_ms[k])
		world_kill_vm(w, owner(w));
	world_run(w, then_rows[then].ms);
	world_set_machine_mode(w, WORLD_MACHINES_UP);
	world_run(w, 8000);
	cr_expect_null(world_violation(w), "%s, then %s, takeover %lld: %s",
		       before_rows[before].name, then_rows[then].name,
		       (long long)takeovers_ms[k], world_violation(w));
	cr_expect_eq(world_maintained_count(w), 3);
	world_free(w);
}
Test(upkeep, lost_answers_spare_the_next_worker)
{
	unsigned i, k, n;

	for (i = 0; i < NELEMS(before_rows); i++)
		for (k = 0; k < NELEMS(then_rows); k++)
			for (n = 0; n < NELEMS(takeovers_ms); n++)
				next_worker_after(i, k, n);
}

/*
 * Guards against silence about a worker that goes on although it was given up:
 * nothing told whether tasks that ran twice were due to that.  A worker that
 * was cut off until its lease had ended lists ends as usual.
 */
static const struct {
	const char *name;
	enum world_machine_mode mode;
	bool wave;
	bool cut; /* a worker is cut off for longer than its lease */
	bool survives;
} survivor_rows[] = {
	{"nothing happens", WORLD_MACHINES_OK, false, false, false},
	{"maintenance", WORLD_MACHINES_OK, true, false, false},
	{"cut off, then back", WORLD_MACHINES_OK, false, true, false},
	{"maintenance that was not done", WORLD_MACHINES_FALSE, true, false,
	 true},
};
Test(upkeep, tells_of_a_worker_that_goes_on)
{
	unsigned row, count;
	struct world *w;

	for (row = 0; row < NELEMS(survivor_rows); row++) {
		w = world_new_settled(1560 + row);
		world_submit(w, other(w), JOB_A, &spread);
		world_run(w, 800);
		world_set_machine_mode(w, survivor_rows[row].mode);
		if (survivor_rows[row].wave)
			world_start_wave(w, 1, 1);
		world_cut_worker_of_all(w, 0, survivor_rows[row].cut);
		world_run(w, 9000);
		world_cut_worker_of_all(w, 0, false);
		world_run(w, 3000);
		count = world_log_count(w, LOG_RUN_SURVIVED);
		cr_expect_eq(count > 0, survivor_rows[row].survives, "%s: %u",
			     survivor_rows[row].name, count);
		cr_expect_leq(count, 4, "%s: %u", survivor_rows[row].name,
			      count);
		cr_expect_eq(world_violation(w) != NULL,
			     survivor_rows[row].survives, "%s: %s",
			     survivor_rows[row].name, world_violation(w));
		world_free(w);
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
		world_check_free(w, name);
	}
}

/*
 * Guards against a wave that is never said to be completed, and calls the
 * platform for ever, because a machine of it was taken away for good; and
 * against one that is said to be while a machine may come back without its
 * maintenance.
 */
static const struct {
	const char *name;
	enum world_machine_presence presence; /* of one machine, from 300 ms */
	bool hidden; /* it is only missing in the lists, its worker goes on */
	int64_t back_ms;     /* after that; 0: never */
	bool owner_dies;     /* while the wave waits for it */
	bool completed;	     /* 12 s later */
	unsigned maintained; /* of three machines */
} gone_rows[] = {
	{"taken away", WORLD_MACHINE_GONE, false, 0, false, true, 2},
	{"taken away, the owner dies", WORLD_MACHINE_GONE, false, 0, true, true,
	 2},
	{"down", WORLD_MACHINE_DOWN, false, 0, false, false, 2},
	{"down, the owner dies", WORLD_MACHINE_DOWN, false, 0, true, false, 2},
	{"down and back", WORLD_MACHINE_DOWN, false, 6000, false, true, 3},
	{"missing in two lists", WORLD_MACHINE_GONE, false, 1700, false, true,
	 3},
	{"missing, its worker goes on, the owner dies", WORLD_MACHINE_GONE,
	 true, 0, true, false, 2},
	{"missing, its worker goes on", WORLD_MACHINE_GONE, true, 0, false,
	 false, 2},
	{"missing for a while, its worker goes on", WORLD_MACHINE_GONE, true,
	 6000, false, true, 3},
};
#define GONE_CALLS_MAX 20 /* log lines of three machines' calls and answers */
Test(upkeep, goes_on_without_a_machine_that_was_taken_away)
{
	struct world *w;
	unsigned row;

	for (row = 0; row < NELEMS(gone_rows); row++) {
		w = world_new_settled(1700 + row);
		world_run(w, 300);
		if (gone_rows[row].hidden)
			world_hide_machine(w, 1, true);
		else
			world_set_machine_presence(w, 1,
						   gone_rows[row].presence);
		world_start_wave(w, 3, 3);
		world_run(w, gone_rows[row].back_ms);
		if (gone_rows[row].back_ms && gone_rows[row].hidden)
			world_hide_machine(w, 1, false);
		else if (gone_rows[row].back_ms)
			world_set_machine_presence(w, 1, WORLD_MACHINE_PRESENT);
		world_run(w, 2000);
		if (gone_rows[row].owner_dies)
			world_kill_vm(w, owner(w));
		world_run(w, 10000);
		cr_expect_eq(world_wave_is_completed(w),
			     gone_rows[row].completed, "%s",
			     gone_rows[row].name);
		cr_expect_eq(world_maintained_count(w),
			     gone_rows[row].maintained, "%s: %u",
			     gone_rows[row].name, world_maintained_count(w));
		cr_expect_leq(world_log_count(w, LOG_WAVE_MACHINE),
			      GONE_CALLS_MAX, "%s: %u", gone_rows[row].name,
			      world_log_count(w, LOG_WAVE_MACHINE));
		world_check_free(w, gone_rows[row].name);
	}
}

/*
 * Guards against maintenance of a machine that has just come back, while the
 * list still shows it as down, so that the owner doesn't know that the new
 * worker is on it.  The call would succeed and end the tasks started there, and
 * the owner would not start them elsewhere before the worker's lease has
 * expired, or seconds later if one of their starts is unanswered.  The rows'
 * span covers the interval between two lists.
 */
Test(upkeep, waits_for_the_worker_of_a_machine_that_was_down)
{
	struct world *w;
	char name[40];
	unsigned row, k, lost;

	for (row = 0; row < 20; row++) {
		w = world_new_settled(1740 + row);
		world_submit(w, other(w), JOB_A, &spread);
		world_run(w, 800);
		world_set_machine_presence(w, 0, WORLD_MACHINE_DOWN);
		world_run(w, 8000);
		world_start_wave(w, 1, 1);
		world_run(w, 2500 + 50 * row);
		world_set_machine_presence(w, 0, WORLD_MACHINE_PRESENT);
		lost = world_log_count(w, LOG_WORKER_LOST);
		for (k = 0; k < 1000 && !world_maintained_count(w); k++)
			world_run(w, 10);
		world_run(w, 500);
		snprintf(name, sizeof(name), "back after %u ms",
			 2500 + 50 * row);
		cr_expect_eq(world_log_count(w, LOG_WORKER_LOST), lost + 1,
			     "%s: the worker was not given up", name);
		world_run(w, 4000);
		cr_expect(world_wave_is_completed(w), "%s", name);
		world_check_free(w, name);
	}
}
