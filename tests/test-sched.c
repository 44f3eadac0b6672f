/*
 * The scheduler in a small world: what callers see of jobs while VMs, the
 * store, workers and machines fail.  Each failure is a row of a table.
 */
#include "world-calm.h"

#define JOB_A "00000000000000aa"
#define JOB_B "10000000000000bb"
#define JOB_C "f0000000000000cc"

static const struct world_job quick = {.tasks = 3, .task_ms = 400};
static const struct world_job chain = {
	.tasks = 4, .more_tasks = 3, .task_ms = 500};
static const struct world_job lasting = {
	.tasks = 4, .long_running = true, .max_per_worker = 1, .may_miss = 1};
static const struct world_job crowded = {
	.tasks = 4, .long_running = true, .may_miss = 1};
static const struct world_job flaky = {
	.tasks = 2, .task_ms = 300, .failures = 2};

/* Check that all was kept, and free the world. */
static void check_free(struct world *w)
{
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

/* What callers get on a calm day. */
Test(sched, calm_day)
{
	struct world *w = calm(1);
	uint64_t a = world_submit(w, other(w), JOB_A, &chain), b, c;

	world_run(w, 20);
	cr_expect_eq(world_call_status(w, a), 200);
	a = world_call(w, owner(w), VERB_STATE, JOB_A);
	b = world_call(w, other(w), VERB_STATE, JOB_B);
	c = world_submit(w, owner(w), JOB_A, &chain);
	world_run(w, 60);
	cr_expect_eq(world_call_status(w, a), 200);
	cr_expect_eq(world_call_status(w, b), 410, "no such job");
	cr_expect_eq(world_call_status(w, c), 200,
		     "a repeated submit is one job");
	world_run(w, 1500);
	a = world_call(w, other(w), VERB_STATE, JOB_A);
	world_run(w, 20);
	cr_expect_str_eq(world_call_text(w, a), "completed");
	cr_expect_eq(world_starts(w), 7);
	check_free(w);
}

/*
 * Callers of the queue whose turn it is wait for machines that other pools
 * could lend, but for a task or two on each.  Lasting tasks of several jobs
 * share as few workers as their steps allow, and short ones go beside them, so
 * that the others stay empty.
 */
Test(sched, idle_workers_stay_empty)
{
	struct world *w = calm(50);
	unsigned i, used = 0;

	world_submit(w, 0, JOB_A, &lasting);
	world_run(w, 300);
	world_submit(w, 0, JOB_B, &lasting);
	world_run(w, 300);
	world_submit(w, 0, JOB_C, &quick);
	world_run(w, 1500);
	for (i = 0; i < 6; i++)
		used += world_starts_of(w, i) > 0;
	cr_expect_eq(used, 4, "%u workers were used", used);
	cr_expect_eq(world_starts(w), 11);
	check_free(w);
}

/*
 * Callers of a queue's turn wait ever longer if a VM with little processor
 * time owns the scheduling: it can't place as fast as work comes.  All VMs
 * are lost at once and start together; three are small, and the large one has
 * to own, whichever owned before and whoever is first to see that nobody does.
 * Nobody may claim before it has the configuration; that it comes late to all,
 * and to all at once, must not make them forget to let the large one go first.
 */
Test(sched, large_vm_owns)
{
	static const unsigned large[] = {0, 1, 2, 3, 2, 1, 0, 1, 2, 3, 2, 1};
	struct world *w;
	unsigned i, vm;

	for (i = 0; i < NELEMS(large); i++) {
		w = calm(100 + i);
		world_set_page_delay(w, TABLE_OPERATOR, i < 6 ? 0 : 2000);
		for (vm = 0; vm < 4; vm++) {
			world_kill_vm(w, vm);
			world_set_cores(w, vm, vm == large[i] ? 0.5 : 0.12);
		}
		for (vm = 0; vm < 4; vm++)
			world_start_vm(w, vm);
		world_run(w, i < 6 ? 2500 : 5000);
		cr_expect_eq(owner(w), large[i], "row %u", i);
		check_free(w);
	}
}

/* A key that was taken away stops working, and gets 401. */
Test(sched, key_withdrawn)
{
	struct world *w = calm(2);
	uint64_t a;

	world_set_key(w, false);
	world_run(w, 20);
	a = world_submit(w, other(w), JOB_A, &quick);
	world_run(w, 20);
	cr_expect_eq(world_call_status(w, a), 401);
	world_set_key(w, true);
	world_run(w, 20);
	a = world_submit(w, other(w), JOB_A, &quick);
	world_run(w, 20);
	cr_expect_eq(world_call_status(w, a), 200);
	check_free(w);
}

/* A cancelled job's tasks end and no more of it begin. */
Test(sched, cancel)
{
	struct world *w = calm(3);
	uint64_t a;
	unsigned starts;

	world_submit(w, other(w), JOB_A, &lasting);
	world_run(w, 200);
	a = world_call(w, other(w), VERB_CANCEL, JOB_A);
	world_run(w, 600);
	cr_expect_eq(world_call_status(w, a), 200);
	cr_expect_str_eq(world_job_state(w, JOB_A), "cancelled");
	starts = world_starts(w);
	world_run(w, 3000);
	cr_expect_eq(world_starts(w), starts);
	check_free(w);
}

/* No more runs than the organisation's limit; the rest waits. */
Test(sched, upper_limit)
{
	struct world *w = calm(4);
	uint64_t a;

	world_set_limit(w, 4000);
	world_run(w, 20);
	world_submit(w, 0, JOB_A, &chain);
	world_submit(w, 1, JOB_B, &chain);
	world_run(w, 60);
	a = world_call(w, owner(w), VERB_STATE, "");
	world_run(w, 10);
	cr_expect_eq(world_call_waiting(w, a), 1, "one job has no task yet");
	world_run(w, 6500);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	cr_expect_str_eq(world_job_state(w, JOB_B), "completed");
	check_free(w);
}

/* A task that fails fewer times than its queue allows is done in the end. */
Test(sched, failing_tasks)
{
	static const struct world_job hopeless = {
		.tasks = 1, .task_ms = 100, .failures = 99};
	struct world *w = calm(5);

	world_submit(w, 0, JOB_A, &flaky);
	world_submit(w, 0, JOB_B, &hopeless);
	world_run(w, 3000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	cr_expect_str_eq(world_job_state(w, JOB_B), "failed");
	cr_expect_eq(world_starts(w), 2 * 3 + 3);
	check_free(w);
}

/* What happens to the owner while jobs run. */
enum owner_fault {
	OWNER_KILLED,
	OWNER_STOPPED,
	OWNER_FROZEN,
	OWNER_CUT,
	OWNER_REFUSED,
	OWNER_ALL_KILLED,
	OWNER_STORE_DOWN,
	OWNER_STORE_LOSES,
	OWNER_HISTORY_GONE,
	OWNER_SHORT_FREEZE
};
static void owner_hurt(struct world *w, enum owner_fault fault)
{
	unsigned n = owner(w), i;

	switch (fault) {
	case OWNER_KILLED:
		world_kill_vm(w, n);
		break;
	case OWNER_STOPPED:
		world_stop_vm(w, n);
		break;
	case OWNER_FROZEN:
		world_freeze_vm(w, n, 6000);
		break;
	case OWNER_SHORT_FREEZE:
		world_freeze_vm(w, n, 1400);
		break;
	case OWNER_CUT:
		world_cut_store(w, n, true);
		break;
	case OWNER_REFUSED:
		world_set_vm_store_mode(w, n, WORLD_STORE_REFUSES);
		break;
	case OWNER_ALL_KILLED:
		for (i = 0; i < 4; i++)
			world_kill_vm(w, i);
		world_run(w, 700);
		for (i = 0; i < 4; i++)
			world_start_vm(w, i);
		break;
	case OWNER_STORE_DOWN:
		world_set_store_mode(w, WORLD_STORE_NO_ANSWER);
		world_run(w, 3000);
		world_set_store_mode(w, WORLD_STORE_OK);
		break;
	case OWNER_STORE_LOSES:
		world_set_store_mode(w, WORLD_STORE_LOSES_ANSWERS);
		world_run(w, 1500);
		world_set_store_mode(w, WORLD_STORE_OK);
		break;
	case OWNER_HISTORY_GONE:
		world_compact_history(w);
		break;
	}
}

/*
 * The owner is lost at any moment of a job of two steps and a lasting one.
 * The caller sees the job completed, and each task runs once: the successor
 * takes over what runs, and what has ended was acknowledged only after it was
 * durable.
 */
static const struct {
	const char *name;
	enum owner_fault fault;
} owner_faults[] = {
	{"killed", OWNER_KILLED},
	{"stopped by plan", OWNER_STOPPED},
	{"frozen past its lease", OWNER_FROZEN},
	{"frozen for a moment", OWNER_SHORT_FREEZE},
	{"cut off from the store", OWNER_CUT},
	{"refused by the store", OWNER_REFUSED},
	{"killed with all others", OWNER_ALL_KILLED},
	{"without a store for 3 s", OWNER_STORE_DOWN},
	{"without answers to its writes", OWNER_STORE_LOSES},
	{"without the feeds' history", OWNER_HISTORY_GONE},
};
static void owner_lost(const char *name, enum owner_fault fault, int64_t at)
{
	struct world *w = calm(100 + (uint64_t)at);
	uint64_t a;

	world_submit(w, other(w), JOB_B, &lasting);
	world_run(w, 300);
	world_submit(w, other(w), JOB_A, &chain);
	world_run(w, at);
	owner_hurt(w, fault);
	world_run(w, 9000);
	a = world_call(w, owner(w), VERB_STATE, JOB_A);
	world_run(w, 50);
	cr_expect_str_eq(world_call_text(w, a), "completed", "%s at %lld", name,
			 (long long)at);
	cr_expect_eq(world_starts(w), 11, "%u starts, %s at %lld",
		     world_starts(w), name, (long long)at);
	check_free(w);
}
Test(sched, owner_lost)
{
	size_t i;
	int k;

	for (i = 0; i < sizeof(owner_faults) / sizeof(owner_faults[0]); i++)
		for (k = 0; k < 8; k++)
			owner_lost(owner_faults[i].name, owner_faults[i].fault,
				   5 + 167 * k);
}

/*
 * A caller's task is done twice if its end was acknowledged before it was
 * written and the owner is lost then.  A commit that holds the ends of a job's
 * first step gets no answer; meanwhile its second step ends, on one of the
 * workers, and more jobs change than one commit holds.  The job is written by
 * a later one, and the ends on the other workers are not acknowledged sooner.
 * The world compares each acknowledgement with the rows of the store.
 */
Test(sched, acknowledged_when_written)
{
	static const struct world_job steps = {.tasks = 4,
					       .max_per_worker = 1,
					       .more_tasks = 1,
					       .task_ms = 150};
	static const unsigned crowds[] = {0, 30, 90, 150};
	char id[JOB_ID_BYTES + 1];
	struct world *w;
	unsigned i, n, row;

	for (row = 0; row < 80; row++) {
		w = calm(900 + row);
		n = owner(w);
		/* Of one job at a time; the crowd waits. */
		world_set_limit(w, 8000);
		world_run(w, 10);
		world_submit(w, (n + 1) % 4, JOB_A, &steps);
		world_run(w, 10);
		for (i = 0; i < crowds[row % 4]; i++) {
			snprintf(id, sizeof(id), "%x%015x", i % 16, i);
			world_submit(w, (n + 1 + i % 3) % 4, id, &steps);
		}
		world_run(w, 100 + row / 4 * 6);
		world_set_vm_store_mode(w, n, WORLD_STORE_NO_ANSWER);
		world_run(w, 25);
		world_set_vm_store_mode(w, n, WORLD_STORE_OK);
		while (i-- > 0) {
			snprintf(id, sizeof(id), "%x%015x", i % 16, i);
			world_call(w, (n + 1 + i % 3) % 4, VERB_CANCEL, id);
		}
		world_run(w, 8000);
		cr_expect_null(world_violation(w), "row %u, crowd %u: %s", row,
			       crowds[row % 4], world_violation(w));
		world_free(w);
	}
}

/*
 * The owner is cut off from the store and from one worker, and is replaced;
 * the successor renews that worker.  The old owner sees a silent worker whose
 * lease, as it knows it, is over, and must not start its tasks elsewhere.
 */
Test(sched, replaced_owner_sees_silent_worker)
{
	struct world *w = calm(7);
	unsigned n, i;

	world_submit(w, other(w), JOB_A, &lasting);
	world_run(w, 500);
	n = owner(w);
	world_cut_store(w, n, true);
	for (i = 0; i < 3; i++)
		world_cut_worker(w, n, i, true);
	world_run(w, 12000);
	cr_expect_neq(owner(w), n);
	cr_expect_eq(world_starts(w), 4);
	check_free(w);
}

/*
 * Users of lasting jobs get each answer twice.  A data centre is cut off with
 * the owner and three workers in it; the owner goes on renewing them.  Its
 * successor is stopped by plan before it knows what runs there, and the third
 * owner must not take that for a release by one who knew.
 */
Test(sched, released_before_settled)
{
	struct world *w;
	unsigned n, next, i, k, row;

	for (row = 0; row < 14; row++) {
		w = calm(200 + row);
		world_submit(w, other(w), JOB_A, &lasting);
		world_submit(w, other(w), JOB_B, &lasting);
		world_run(w, 500);
		n = owner(w);
		world_cut_store(w, n, true);
		for (i = 0; i < 6; i++)
			for (k = 0; k < 4; k++)
				world_cut_worker(w, k, i, (k == n) != (i < 3));
		for (i = 0; i < 3; i++)
			world_unlist_worker(w, i, true);
		world_run(w, 1300 + 70 * row);
		next = owner(w);
		if (next != n)
			world_stop_vm(w, next);
		world_run(w, 12000);
		check_free(w);
	}
}

/*
 * A data centre is cut off with the owner and two workers in it.  The
 * workers' rows lapse, the successor does not see them, and the old owner
 * goes on renewing them for a while: their tasks may start elsewhere only
 * when no lease of the old owner can hold any more.
 */
Test(sched, cut_workers_have_no_rows)
{
	struct world *w = calm(8);
	unsigned n, i, k;

	world_submit(w, other(w), JOB_A, &lasting);
	world_submit(w, other(w), JOB_B, &lasting);
	world_run(w, 500);
	n = owner(w);
	world_cut_store(w, n, true);
	for (i = 0; i < 6; i++)
		for (k = 0; k < 4; k++)
			world_cut_worker(w, k, i, (i < 2) != (k == n));
	world_unlist_worker(w, 0, true);
	world_unlist_worker(w, 1, true);
	world_run(w, 3000);
	/* A second change of owner, before the first has settled. */
	world_stop_vm(w, owner(w));
	world_run(w, 12000);
	check_free(w);
}

/*
 * Callers get the same answer twice: a write without an answer is carried out
 * seconds later, after a newer one, and sets a job's progress back.  The ends
 * of its tasks were acknowledged on the newer one's word, and the next owner
 * starts them again.
 */
Test(sched, late_writes)
{
	struct world *w;
	unsigned row, k;
	char id[17];

	for (row = 0; row < 10; row++) {
		w = calm(400 + row);
		world_set_store_mode(w, WORLD_STORE_LATE);
		for (k = 0; k < 3; k++) {
			snprintf(id, sizeof(id), "%016x", 0xa0 + k);
			world_set_store_mode(w, WORLD_STORE_OK);
			world_submit(w, other(w), id, &chain);
			world_run(w, 300 + 40 * row);
			world_set_vm_store_mode(w, owner(w), WORLD_STORE_LATE);
			world_run(w, 500 + 30 * row);
			world_set_vm_store_mode(w, owner(w), WORLD_STORE_OK);
		}
		world_run(w, 900 + 100 * row);
		world_kill_vm(w, owner(w));
		world_run(w, 14000);
		for (k = 0; k < 3; k++) {
			snprintf(id, sizeof(id), "%016x", 0xa0 + k);
			cr_expect_str_eq(world_job_state(w, id), "completed");
		}
		check_free(w);
	}
}

/*
 * An operator sees one job waiting where many do.  Jobs that may run, by the
 * store, have found no room when their owner dies: its successor counts them
 * as waiting still, for it finds no trace of a run of them.
 */
Test(sched, waiting_after_takeover)
{
	static const struct world_job slow = {.tasks = 3, .task_ms = 20000};
	struct world *w = calm(60);
	uint64_t a;
	unsigned k;
	char id[17];

	world_set_limit(w, 6000);
	world_run(w, 20);
	for (k = 0; k < 6; k++) {
		snprintf(id, sizeof(id), "%016x", 0xb0 + k);
		world_submit(w, 0, id, &slow);
	}
	world_run(w, 500);
	world_kill_vm(w, owner(w));
	world_run(w, 4000);
	a = world_call(w, owner(w), VERB_STATE, "");
	world_run(w, 10);
	cr_expect_eq(world_call_waiting(w, a), 5, "%llu wait",
		     (unsigned long long)world_call_waiting(w, a));
	check_free(w);
}

/* A store that is away for long lets what runs go on or end, never twice. */
Test(sched, long_outage)
{
	struct world *w = calm(9);

	world_submit(w, other(w), JOB_A, &lasting);
	world_run(w, 500);
	world_set_store_mode(w, WORLD_STORE_REFUSES);
	world_run(w, 12000);
	world_set_store_mode(w, WORLD_STORE_OK);
	world_run(w, 9000);
	cr_expect_geq(world_starts(w), 4);
	check_free(w);
}

/* While the store is away, callers are refused at once, not held. */
Test(sched, refused_at_once)
{
	struct world *w = calm(10);
	uint64_t a;

	world_set_store_mode(w, WORLD_STORE_REFUSES);
	world_run(w, 500);
	a = world_submit(w, other(w), JOB_A, &quick);
	world_run(w, 1);
	cr_expect_eq(world_call_status(w, a), 503);
	world_set_store_mode(w, WORLD_STORE_OK);
	world_run(w, 500);
	cr_expect_eq(world_starts(w), 0, "refused work has not run");
	check_free(w);
}

/*
 * The answer to storing a job is lost.  The caller is told 200 once a second
 * try has found the row, and it is one job.
 */
Test(sched, lost_answer)
{
	struct world *w = calm(11);
	uint64_t a;

	world_set_store_mode(w, WORLD_STORE_LOSES_ANSWERS);
	a = world_submit(w, other(w), JOB_A, &quick);
	world_run(w, 100);
	world_set_store_mode(w, WORLD_STORE_OK);
	world_run(w, 2500);
	cr_expect_eq(world_call_status(w, a), 200);
	cr_expect_eq(world_starts(w), 3);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	check_free(w);
}

/* Workers that leave, crash, fall silent or fail all they run. */
Test(sched, draining_worker_gets_nothing)
{
	struct world *w = calm(12);
	unsigned i, before;

	for (i = 0; i < 5; i++)
		world_drain_worker(w, i);
	world_run(w, 50);
	before = world_starts_of(w, 0);
	world_submit(w, 0, JOB_A, &chain);
	world_run(w, 3000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	cr_expect_eq(world_starts_of(w, 0), before);
	cr_expect_eq(world_starts_of(w, 5), 7);
	check_free(w);
}
Test(sched, worker_crashes)
{
	struct world *w = calm(13);
	unsigned i;

	world_submit(w, 0, JOB_A, &lasting);
	world_run(w, 300);
	for (i = 0; i < 6; i++)
		world_crash_worker(w, i);
	world_run(w, 3000);
	cr_expect_eq(world_starts(w), 8, "%u", world_starts(w));
	check_free(w);
}
Test(sched, worker_is_silent)
{
	struct world *w = calm(14);
	unsigned k;

	world_submit(w, 0, JOB_A, &chain);
	world_run(w, 100);
	for (k = 0; k < 4; k++)
		world_cut_worker(w, k, 0, true);
	world_run(w, 9000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	check_free(w);
}

/*
 * A task that a new life of a silent worker did late runs a second time; one
 * whose start can't have reached another life must not wait for that.
 */
static const struct {
	const char *name;
	bool old_connections;
	int64_t silent_ms; /* the workers that got the starts */
	int64_t after_ms;
	const char *state;
} silent_start_rows[] = {
	{"any life", false, 16000, 9000, "running"},
	{"any life, in the end", false, 16000, 15000, "completed"},
	{"any life, and the known one is back", false, 5000, 7000, "completed"},
	{"the known life only", true, 16000, 9000, "completed"},
};
Test(sched, start_at_a_silent_worker)
{
	struct world *w;
	unsigned i, k;
	int64_t silent, after;

	for (i = 0; i < NELEMS(silent_start_rows); i++) {
		silent = silent_start_rows[i].silent_ms;
		after = silent_start_rows[i].after_ms;
		w = calm(17);
		if (silent_start_rows[i].old_connections)
			world_old_connections(w);
		world_set_lost_starts(w, 100);
		world_submit(w, 0, JOB_A, &quick);
		world_run(w, 20);
		/* The first of the workers got them. */
		for (k = 0; k < 4; k++)
			world_cut_worker(w, k, 0, true);
		world_set_lost_starts(w, 0);
		world_run(w, silent < after ? silent : after);
		for (k = 0; k < 4 && silent < after; k++)
			world_cut_worker(w, k, 0, false);
		if (silent < after)
			world_run(w, after - silent);
		cr_expect_str_eq(world_job_state(w, JOB_A),
				 silent_start_rows[i].state, "%s",
				 silent_start_rows[i].name);
		check_free(w);
	}
}

/*
 * A task runs a second time: the owner stands still while the first word of a
 * worker's new life lies in its inbox, and reckons the birth by when it reads
 * that.  The birth seems to be after a start that this life has got.
 */
Test(sched, birth_told_to_a_frozen_owner)
{
	struct world *w;
	unsigned row, i;

	for (row = 0; row < 60; row++) {
		w = calm(700 + row);
		world_run(w, 6000);
		for (i = 0; i < 6; i++)
			world_crash_worker(w, i);
		world_run(w, 310 + 30 * (row % 12));
		world_set_late_orders(w, 100);
		world_submit(w, other(w), JOB_A, &quick);
		world_run(w, 14 + 6 * (row / 12));
		world_unlist_worker(w, 0, true); /* its tasks go elsewhere */
		world_freeze_vm(w, owner(w), 1250);
		world_run(w, 500);
		world_set_late_orders(w, 0);
		world_run(w, 14000);
		check_free(w);
	}
}

/*
 * A task that was done runs a second time: a worker has more ends than it
 * lists at once, because none is acknowledged while the store is away, and
 * what is in neither of its lists is taken for lost.
 */
static const struct {
	const char *name;
	unsigned listed;
	bool kill; /* the owner: its successor sees the first of them only */
} cut_rows[] = {
	{"all fit", 500, false},
	{"three fit", 3, false},
	{"one fits", 1, false},
	{"three fit, another owner", 3, true},
	{"one fits, another owner", 1, true},
};
Test(sched, more_ends_than_a_list_holds)
{
	static const struct world_job many = {.tasks = 24, .task_ms = 500};
	struct world *w;
	unsigned i;

	for (i = 0; i < NELEMS(cut_rows); i++) {
		w = calm(180 + i);
		world_set_ends_listed(w, cut_rows[i].listed);
		world_submit(w, other(w), JOB_A, &many);
		world_run(w, 300);
		world_set_store_mode(w, WORLD_STORE_NO_ANSWER);
		world_run(w, 1500);
		if (cut_rows[i].kill)
			world_kill_vm(w, owner(w));
		world_set_store_mode(w, WORLD_STORE_OK);
		world_run(w, 12000);
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed", "%s",
				 cut_rows[i].name);
		cr_expect_eq(world_starts(w), 24, "%s: %u starts",
			     cut_rows[i].name, world_starts(w));
		check_free(w);
	}
}
Test(sched, worker_fails_all)
{
	struct world *w = calm(15);

	world_fail_tasks(w, 0, true);
	world_submit(w, 0, JOB_A, &chain);
	world_submit(w, 0, JOB_B, &chain);
	world_submit(w, 0, JOB_C, &chain);
	world_run(w, 6000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	cr_expect_str_eq(world_job_state(w, JOB_B), "completed");
	cr_expect_str_eq(world_job_state(w, JOB_C), "completed");
	check_free(w);
}

/* Orders that get no answer and are carried out seconds later. */
Test(sched, late_orders)
{
	struct world *w = calm(16);

	world_set_late_orders(w, 30);
	world_submit(w, 0, JOB_A, &chain);
	world_submit(w, 0, JOB_B, &lasting);
	world_run(w, 15000);
	world_set_late_orders(w, 0);
	world_run(w, 5000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	check_free(w);
}

/*
 * Ends by failure of two workers reach a successor in any order and were
 * partly counted before: a task that failed twice of three times is not
 * given up, and one that failed three times is not started again.
 */
Test(sched, failures_counted_once)
{
	int64_t at;

	for (at = 100; at < 1200; at += 50) {
		struct world *w = calm(17);

		world_submit(w, other(w), JOB_A, &flaky);
		world_run(w, at);
		world_set_vm_store_mode(w, owner(w), WORLD_STORE_REFUSES);
		world_run(w, 8000);
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed",
				 "cut at %lld", (long long)at);
		cr_expect_eq(world_starts(w), 6, "%u starts, cut at %lld",
			     world_starts(w), (long long)at);
		check_free(w);
	}
}

/* A queue that needs advice: only workers with a ticket get its tasks. */
Test(sched, advice)
{
	struct world *w = calm(30);

	world_require_advice(w);
	world_run(w, 20);
	world_submit(w, 0, JOB_A, &chain);
	world_submit(w, 0, JOB_B, &lasting);
	world_run(w, 3000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	cr_expect_eq(world_starts_of(w, 1), 0);
	cr_expect_eq(world_starts_of(w, 3), 0);
	cr_expect_eq(world_starts(w), 7 + 3, "one task finds no worker");
	check_free(w);
}

/* Maintenance waves: every machine once, never too many at once. */
Test(sched, wave)
{
	struct world *w = calm(18);

	world_submit(w, 0, JOB_A, &lasting);
	world_submit(w, 0, JOB_B, &lasting);
	world_run(w, 500);
	world_start_wave(w, 6, 3);
	world_run(w, 25000);
	cr_expect_eq(world_maintained_count(w), 6);
	cr_expect(world_wave_is_completed(w));
	check_free(w);
}
Test(sched, wave_thins_crowded_workers)
{
	struct world *w = world_new(19, 4, 2);

	world_run(w, 2000);
	world_submit(w, 0, JOB_A, &crowded);
	world_run(w, 500);
	world_start_wave(w, 2, 1);
	world_run(w, 25000);
	check_free(w);
}

/*
 * The users of a lasting job see two of its tasks gone where one may be.  A
 * machine is due, but busy: the call for it is refused.  Its worker is
 * replaced, the owner dies, and its successor's call succeeds.  If that goes by
 * the worker that was noted first it takes the new one for spared, counts its
 * tasks as at work until their leases end, and takes a second machine.
 */
Test(sched, wave_after_busy)
{
	struct world *w;
	unsigned seed, i;

	for (seed = 60; seed < 66; seed++) {
		w = calm(seed);
		world_submit(w, 0, JOB_A, &lasting);
		world_submit(w, 0, JOB_B, &lasting);
		world_run(w, 500);
		world_set_maintenance_busy(w, true);
		world_start_wave(w, 6, 5);
		world_run(w, 2000);
		for (i = 0; i < 6; i++) {
			world_replace_worker(w, i);
			world_run(w, 1500);
		}
		world_submit(w, 0, JOB_C, &lasting);
		world_run(w, 5000);
		world_kill_vm(w, owner(w));
		world_set_maintenance_busy(w, false);
		world_run(w, 25000);
		cr_expect_eq(world_maintained_count(w), 6, "seed %u", seed);
		cr_expect(world_wave_is_completed(w), "seed %u", seed);
		check_free(w);
	}
}

/*
 * Machines are told by two VMs at a time what to do: the owner is cut off
 * from the store, and from the workers that would refuse it, in the middle of
 * a wave, and goes on while its successor takes over.  The list of machines
 * checks no epochs, so the owner has to stop by itself.
 */
Test(sched, replaced_owner_leaves_machines)
{
	struct world *w;
	unsigned n, i, row;

	for (row = 0; row < 12; row++) {
		w = calm(300 + row);
		world_submit(w, 0, JOB_A, &lasting);
		world_run(w, 500);
		world_silence_machines(w, true);
		world_start_wave(w, 6, 6);
		world_run(w, 1700 + 90 * row);
		n = owner(w);
		world_cut_store(w, n, true);
		for (i = 0; i < 6; i++)
			world_cut_worker(w, n, i, true);
		world_run(w, 15000);
		world_silence_machines(w, false);
		world_run(w, 15000);
		check_free(w);
	}
}

/*
 * The owner is lost in the middle of a wave.  Its successor asks again for
 * machines that have been taken already, which succeeds: the new workers'
 * tasks go on and are not started elsewhere.
 */
Test(sched, wave_changes_hands)
{
	int64_t at;

	for (at = 200; at < 4000; at += 350) {
		struct world *w = calm(20 + (uint64_t)at);

		world_submit(w, 0, JOB_A, &lasting);
		world_submit(w, 0, JOB_B, &lasting);
		world_run(w, 500);
		world_start_wave(w, 6, 2);
		world_run(w, at);
		world_kill_vm(w, owner(w));
		world_run(w, 28000);
		cr_expect_eq(world_maintained_count(w), 6, "killed at %lld",
			     (long long)at);
		cr_expect(world_wave_is_completed(w), "killed at %lld",
			  (long long)at);
		check_free(w);
	}
}
