/*
 * Tests of the scheduler in the simulated world: what callers see of jobs while
 * VMs, the store, workers and machines fail. A test whose comment describes a
 * failure guards against that failure.
 */
#include "world-calm.h"

#define JOB_A "00000000000000aa"
#define JOB_B "10000000000000bb"
#define JOB_C "f0000000000000cc"

static const struct world_job quick = {.tasks = 3, .task_ms = 400};
static const struct world_job two_steps = {
	.tasks = 4, .more_tasks = 3, .task_ms = 500};
static const struct world_job long_lived = {
	.tasks = 4, .long_running = true, .max_per_worker = 1, .may_miss = 1};
static const struct world_job unspread = {
	.tasks = 4, .long_running = true, .may_miss = 1};
static const struct world_job flaky = {
	.tasks = 2, .task_ms = 300, .failures = 2};

/* Checks that no invariant was violated, and frees the world. */
static void check_free(struct world *w)
{
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

/*
 * Submits, states and repeated submits are answered as specified when nothing
 * fails.
 */
Test(sched, calm_day)
{
	struct world *w = world_new_settled(1);
	uint64_t a = world_submit(w, other(w), JOB_A, &two_steps), b, c;

	world_run(w, 20);
	cr_expect_eq(world_call_status(w, a), 200);
	a = world_call(w, owner(w), VERB_STATE, JOB_A);
	b = world_call(w, other(w), VERB_STATE, JOB_B);
	c = world_submit(w, owner(w), JOB_A, &two_steps);
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
 * The callers of a queue with a backlog wait longer if each machine that
 * another pool could lend runs a task or two, as only empty ones can be moved.
 * So long-running tasks of several jobs must share as few workers as their
 * steps allow, and short ones must go beside them, so that the others stay
 * empty.
 */
Test(sched, idle_workers_stay_empty)
{
	struct world *w = world_new_settled(50);
	unsigned i, used = 0;

	world_submit(w, 0, JOB_A, &long_lived);
	world_run(w, 300);
	world_submit(w, 0, JOB_B, &long_lived);
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
 * A VM with little processor time that owns the scheduling can't place tasks as
 * fast as jobs arrive, so the wait of callers grows without bound. All VMs are
 * lost at once and start together; three are small. The large one must become
 * the owner, whichever owned before and whichever notices first that there is
 * no owner. No VM may claim the ownership before it has read the configuration;
 * where that arrives late at all VMs at once, they must still let the large one
 * claim first.
 */
Test(sched, large_vm_owns)
{
	static const unsigned large[] = {0, 1, 2, 3, 2, 1, 0, 1, 2, 3, 2, 1};
	struct world *w;
	unsigned i, vm;

	for (i = 0; i < NELEMS(large); i++) {
		w = world_new_settled(100 + i);
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

/* A key that was removed stops working; requests with it get 401. */
Test(sched, key_withdrawn)
{
	struct world *w = world_new_settled(2);
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

/* A cancelled job's tasks are stopped, and no more of them are started. */
Test(sched, cancel)
{
	struct world *w = world_new_settled(3);
	uint64_t a;
	unsigned starts;

	world_submit(w, other(w), JOB_A, &long_lived);
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

/* Tasks run only up to the organisation's upper limit; the rest wait. */
Test(sched, upper_limit)
{
	struct world *w = world_new_settled(4);
	uint64_t a;

	world_set_limit(w, 4000);
	world_run(w, 20);
	world_submit(w, 0, JOB_A, &two_steps);
	world_submit(w, 1, JOB_B, &two_steps);
	world_run(w, 60);
	a = world_call(w, owner(w), VERB_STATE, "");
	world_run(w, 10);
	cr_expect_eq(world_call_waiting(w, a), 1,
		     "one job has no running task yet");
	world_run(w, 6500);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	cr_expect_str_eq(world_job_state(w, JOB_B), "completed");
	check_free(w);
}

/* A task that fails fewer times than its queue allows is completed. */
Test(sched, failing_tasks)
{
	static const struct world_job hopeless = {
		.tasks = 1, .task_ms = 100, .failures = 99};
	struct world *w = world_new_settled(5);

	world_submit(w, 0, JOB_A, &flaky);
	world_submit(w, 0, JOB_B, &hopeless);
	world_run(w, 3000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	cr_expect_str_eq(world_job_state(w, JOB_B), "failed");
	cr_expect_eq(world_starts(w), 2 * 3 + 3);
	check_free(w);
}

/* Faults of the owner while jobs run. */
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
static void owner_fault_inject(struct world *w, enum owner_fault fault)
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
 * The owner is lost at various moments of a two-step job and a long-running
 * one. The caller sees the job completed and each task runs once: the successor
 * takes over running tasks, and ends are acknowledged only after they are
 * stored.
 */
static const struct {
	const char *name;
	enum owner_fault fault;
} owner_faults[] = {
	{"killed", OWNER_KILLED},
	{"stopped as planned", OWNER_STOPPED},
	{"suspended past its lease", OWNER_FROZEN},
	{"suspended for a moment", OWNER_SHORT_FREEZE},
	{"cut off from the store", OWNER_CUT},
	{"refused by the store", OWNER_REFUSED},
	{"killed with all others", OWNER_ALL_KILLED},
	{"without a store for 3 s", OWNER_STORE_DOWN},
	{"without answers to its writes", OWNER_STORE_LOSES},
	{"with the feeds' history dropped", OWNER_HISTORY_GONE},
};
static void owner_lost(const char *name, enum owner_fault fault, int64_t at)
{
	struct world *w = world_new_settled(100 + (uint64_t)at);
	uint64_t a;

	world_submit(w, other(w), JOB_B, &long_lived);
	world_run(w, 300);
	world_submit(w, other(w), JOB_A, &two_steps);
	world_run(w, at);
	owner_fault_inject(w, fault);
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
 * A task runs twice if its end is acknowledged before it is stored, and the
 * owner is lost then. A commit with the ends of a job's first step gets no
 * answer; meanwhile its second step ends on one of the workers, and more jobs
 * change than one commit holds. A later commit stores the job, and the ends on
 * the other workers must not be acknowledged before that. The world compares
 * each acknowledgement with the rows of the store.
 */
Test(sched, acknowledged_when_written)
{
	static const struct world_job steps = {.tasks = 4,
					       .max_per_worker = 1,
					       .more_tasks = 1,
					       .task_ms = 150};
	static const unsigned job_counts[] = {0, 30, 90, 150};
	char id[JOB_ID_BYTES + 1];
	struct world *w;
	unsigned i, n, row;

	for (row = 0; row < 80; row++) {
		w = world_new_settled(900 + row);
		n = owner(w);
		/* The limit lets one job run at a time; the others wait. */
		world_set_limit(w, 8000);
		world_run(w, 10);
		world_submit(w, (n + 1) % 4, JOB_A, &steps);
		world_run(w, 10);
		for (i = 0; i < job_counts[row % 4]; i++) {
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
		cr_expect_null(world_violation(w), "row %u, %u jobs: %s", row,
			       job_counts[row % 4], world_violation(w));
		world_free(w);
	}
}

/*
 * The owner is cut off from the store and from some workers, and is replaced;
 * the successor renews those workers' leases. To the old owner the workers are
 * silent and their leases expired, but it must not start their tasks elsewhere.
 */
Test(sched, replaced_owner_sees_silent_worker)
{
	struct world *w = world_new_settled(7);
	unsigned n, i;

	world_submit(w, other(w), JOB_A, &long_lived);
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
 * Long-running tasks run twice at the same time. A network partition cuts off
 * the owner with three workers, whose leases it goes on renewing. Its successor
 * is stopped as planned before it knows what runs there, and the third owner
 * must not take that release for one by an owner that knew.
 */
Test(sched, released_before_settled)
{
	struct world *w;
	unsigned n, next, i, k, row;

	for (row = 0; row < 14; row++) {
		w = world_new_settled(200 + row);
		world_submit(w, other(w), JOB_A, &long_lived);
		world_submit(w, other(w), JOB_B, &long_lived);
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
 * A network partition cuts off the owner with two workers. The workers' rows
 * expire, so the successor doesn't see them, while the old owner goes on
 * renewing their leases for a while. Their tasks may start elsewhere only when
 * no lease that the old owner gave can still be valid.
 */
Test(sched, cut_workers_have_no_rows)
{
	struct world *w = world_new_settled(8);
	unsigned n, i, k;

	world_submit(w, other(w), JOB_A, &long_lived);
	world_submit(w, other(w), JOB_B, &long_lived);
	world_run(w, 500);
	n = owner(w);
	world_cut_store(w, n, true);
	for (i = 0; i < 6; i++)
		for (k = 0; k < 4; k++)
			world_cut_worker(w, k, i, (i < 2) != (k == n));
	world_unlist_worker(w, 0, true);
	world_unlist_worker(w, 1, true);
	world_run(w, 3000);
	/* The owner changes again before the first successor has settled. */
	world_stop_vm(w, owner(w));
	world_run(w, 12000);
	check_free(w);
}

/*
 * Tasks run twice: a write that timed out is carried out seconds later, after a
 * newer one, and overwrites a job's progress with an older state. The ends of
 * its tasks were acknowledged because of the newer write, and the next owner
 * would start them again.
 */
Test(sched, late_writes)
{
	struct world *w;
	unsigned row, k;
	char id[17];

	for (row = 0; row < 10; row++) {
		w = world_new_settled(400 + row);
		world_set_store_mode(w, WORLD_STORE_LATE);
		for (k = 0; k < 3; k++) {
			snprintf(id, sizeof(id), "%016x", 0xa0 + k);
			world_set_store_mode(w, WORLD_STORE_OK);
			world_submit(w, other(w), id, &two_steps);
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
 * An operator sees one job waiting where many are. Jobs that the store has as
 * admitted have found no free capacity when their owner dies. The successor
 * must still count them as waiting, as it finds no run of them.
 */
Test(sched, waiting_after_takeover)
{
	static const struct world_job slow = {.tasks = 3, .task_ms = 20000};
	struct world *w = world_new_settled(60);
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

/*
 * During a long outage of the store, running tasks go on or end, but never run
 * twice.
 */
Test(sched, long_outage)
{
	struct world *w = world_new_settled(9);

	world_submit(w, other(w), JOB_A, &long_lived);
	world_run(w, 500);
	world_set_store_mode(w, WORLD_STORE_REFUSES);
	world_run(w, 12000);
	world_set_store_mode(w, WORLD_STORE_OK);
	world_run(w, 9000);
	cr_expect_geq(world_starts(w), 4);
	check_free(w);
}

/* While the store is down, callers are refused at once instead of waiting. */
Test(sched, refused_at_once)
{
	struct world *w = world_new_settled(10);
	uint64_t a;

	world_set_store_mode(w, WORLD_STORE_REFUSES);
	world_run(w, 500);
	a = world_submit(w, other(w), JOB_A, &quick);
	world_run(w, 1);
	cr_expect_eq(world_call_status(w, a), 503);
	world_set_store_mode(w, WORLD_STORE_OK);
	world_run(w, 500);
	cr_expect_eq(world_starts(w), 0, "a refused job has not run");
	check_free(w);
}

/*
 * The answer to the write of a job is lost. The caller gets 200 once a retry
 * has found the row, and the job exists once.
 */
Test(sched, lost_answer)
{
	struct world *w = world_new_settled(11);
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

/* Faults of workers: they drain, crash, fall silent or fail all their tasks. */
Test(sched, draining_worker_gets_nothing)
{
	struct world *w = world_new_settled(12);
	unsigned i, before;

	for (i = 0; i < 5; i++)
		world_drain_worker(w, i);
	world_run(w, 50);
	before = world_starts_of(w, 0);
	world_submit(w, 0, JOB_A, &two_steps);
	world_run(w, 3000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	cr_expect_eq(world_starts_of(w, 0), before);
	cr_expect_eq(world_starts_of(w, 5), 7);
	check_free(w);
}
Test(sched, worker_crashes)
{
	struct world *w = world_new_settled(13);
	unsigned i;

	world_submit(w, 0, JOB_A, &long_lived);
	world_run(w, 300);
	for (i = 0; i < 6; i++)
		world_crash_worker(w, i);
	world_run(w, 3000);
	cr_expect_eq(world_starts(w), 8, "%u", world_starts(w));
	check_free(w);
}
Test(sched, worker_is_silent)
{
	struct world *w = world_new_settled(14);
	unsigned k;

	world_submit(w, 0, JOB_A, &two_steps);
	world_run(w, 100);
	for (k = 0; k < 4; k++)
		world_cut_worker(w, k, 0, true);
	world_run(w, 9000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	check_free(w);
}

/*
 * A start that timed out may have reached a later process of a silent worker,
 * which would run the task a second time, so the task waits until no such run
 * is possible. A start that went over an old connection can't have reached
 * another process and must not wait.
 */
static const struct {
	const char *name;
	bool old_connections;
	int64_t silent_ms; /* while the worker with the starts is cut off */
	int64_t after_ms;
	const char *state;
} silent_start_rows[] = {
	{"any process", false, 16000, 9000, "running"},
	{"any process, after the wait", false, 16000, 15000, "completed"},
	{"any process, and the known one is back", false, 5000, 7000,
	 "completed"},
	{"only the known process", true, 16000, 9000, "completed"},
};
Test(sched, start_at_a_silent_worker)
{
	struct world *w;
	unsigned i, k;
	int64_t silent, after;

	for (i = 0; i < NELEMS(silent_start_rows); i++) {
		silent = silent_start_rows[i].silent_ms;
		after = silent_start_rows[i].after_ms;
		w = world_new_settled(17);
		if (silent_start_rows[i].old_connections)
			world_old_connections(w);
		world_set_lost_starts(w, 100);
		world_submit(w, 0, JOB_A, &quick);
		world_run(w, 20);
		/* The first worker got all of them. */
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
 * A task runs twice: the owner is suspended while the first answer of a
 * restarted worker's process is in its inbox, and derives the start of the
 * process from when it reads the answer. The process then seems to have started
 * after a start order that it got.
 */
Test(sched, birth_told_to_a_frozen_owner)
{
	struct world *w;
	unsigned row, i;

	for (row = 0; row < 60; row++) {
		w = world_new_settled(700 + row);
		world_run(w, 6000);
		for (i = 0; i < 6; i++)
			world_crash_worker(w, i);
		world_run(w, 310 + 30 * (row % 12));
		world_set_late_orders(w, 100);
		world_submit(w, other(w), JOB_A, &quick);
		world_run(w, 14 + 6 * (row / 12));
		world_unlist_worker(w, 0,
				    true); /* its tasks are placed elsewhere */
		world_freeze_vm(w, owner(w), 1250);
		world_run(w, 500);
		world_set_late_orders(w, 0);
		world_run(w, 14000);
		check_free(w);
	}
}

/*
 * A completed task runs again: a worker has more ends than it lists at once,
 * because none is acknowledged while the store is down, and a task in neither
 * of its lists is taken for lost.
 */
static const struct {
	const char *name;
	unsigned listed;
	bool kill; /* the owner; its successor sees only the first ends */
} truncated_list_rows[] = {
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

	for (i = 0; i < NELEMS(truncated_list_rows); i++) {
		w = world_new_settled(180 + i);
		world_set_ends_listed(w, truncated_list_rows[i].listed);
		world_submit(w, other(w), JOB_A, &many);
		world_run(w, 300);
		world_set_store_mode(w, WORLD_STORE_NO_ANSWER);
		world_run(w, 1500);
		if (truncated_list_rows[i].kill)
			world_kill_vm(w, owner(w));
		world_set_store_mode(w, WORLD_STORE_OK);
		world_run(w, 12000);
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed", "%s",
				 truncated_list_rows[i].name);
		cr_expect_eq(world_starts(w), 24, "%s: %u starts",
			     truncated_list_rows[i].name, world_starts(w));
		check_free(w);
	}
}

Test(sched, worker_fails_all)
{
	struct world *w = world_new_settled(15);

	world_fail_tasks(w, 0, true);
	world_submit(w, 0, JOB_A, &two_steps);
	world_submit(w, 0, JOB_B, &two_steps);
	world_submit(w, 0, JOB_C, &two_steps);
	world_run(w, 6000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	cr_expect_str_eq(world_job_state(w, JOB_B), "completed");
	cr_expect_str_eq(world_job_state(w, JOB_C), "completed");
	check_free(w);
}

/* Orders time out and are carried out seconds later. */
Test(sched, late_orders)
{
	struct world *w = world_new_settled(16);

	world_set_late_orders(w, 30);
	world_submit(w, 0, JOB_A, &two_steps);
	world_submit(w, 0, JOB_B, &long_lived);
	world_run(w, 15000);
	world_set_late_orders(w, 0);
	world_run(w, 5000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	check_free(w);
}

/*
 * Failed runs on two workers are reported to a successor in any order, and some
 * were counted before. A task that failed twice of three allowed attempts must
 * not be given up, and failures must not be counted twice or forgotten.
 */
Test(sched, failures_counted_once)
{
	int64_t at;

	for (at = 100; at < 1200; at += 50) {
		struct world *w = world_new_settled(17);

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

/* In a queue that needs advice, only workers with a ticket get tasks. */
Test(sched, advice)
{
	struct world *w = world_new_settled(30);

	world_require_advice(w);
	world_run(w, 20);
	world_submit(w, 0, JOB_A, &two_steps);
	world_submit(w, 0, JOB_B, &long_lived);
	world_run(w, 3000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed");
	cr_expect_eq(world_starts_of(w, 1), 0);
	cr_expect_eq(world_starts_of(w, 3), 0);
	cr_expect_eq(world_starts(w), 7 + 3, "one task has no eligible worker");
	check_free(w);
}

/* A maintenance wave handles every machine once, and never too many at once. */
Test(sched, wave)
{
	struct world *w = world_new_settled(18);

	world_submit(w, 0, JOB_A, &long_lived);
	world_submit(w, 0, JOB_B, &long_lived);
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
	world_submit(w, 0, JOB_A, &unspread);
	world_run(w, 500);
	world_start_wave(w, 2, 1);
	world_run(w, 25000);
	check_free(w);
}

/*
 * Two tasks of a long-running step are unavailable where one may be. A machine
 * is due for maintenance but busy, so the request is refused. Its worker is
 * replaced, the owner dies, and its successor's request succeeds. If the
 * successor goes by the worker that was recorded first, it takes the new one
 * for unaffected, counts its tasks as running until their leases end, and takes
 * a second machine.
 */
Test(sched, wave_after_busy)
{
	struct world *w;
	unsigned seed, i;

	for (seed = 60; seed < 66; seed++) {
		w = world_new_settled(seed);
		world_submit(w, 0, JOB_A, &long_lived);
		world_submit(w, 0, JOB_B, &long_lived);
		world_run(w, 500);
		world_set_machine_mode(w, WORLD_MACHINES_BUSY);
		world_start_wave(w, 6, 5);
		world_run(w, 2000);
		for (i = 0; i < 6; i++) {
			world_replace_worker(w, i);
			world_run(w, 1500);
		}
		world_submit(w, 0, JOB_C, &long_lived);
		world_run(w, 5000);
		world_kill_vm(w, owner(w));
		world_set_machine_mode(w, WORLD_MACHINES_OK);
		world_run(w, 25000);
		cr_expect_eq(world_maintained_count(w), 6, "seed %u", seed);
		cr_expect(world_wave_is_completed(w), "seed %u", seed);
		check_free(w);
	}
}

/*
 * Two VMs give orders about machines at the same time. In the middle of a wave
 * the owner is cut off from the store, and from the workers that would refuse
 * its epoch, and goes on while its successor takes over. Machines don't check
 * epochs, so the owner must stop by itself.
 */
Test(sched, replaced_owner_leaves_machines)
{
	struct world *w;
	unsigned n, i, row;

	for (row = 0; row < 12; row++) {
		w = world_new_settled(300 + row);
		world_submit(w, 0, JOB_A, &long_lived);
		world_run(w, 500);
		world_set_machine_mode(w, WORLD_MACHINES_SILENT);
		world_start_wave(w, 6, 6);
		world_run(w, 1700 + 90 * row);
		n = owner(w);
		world_cut_store(w, n, true);
		for (i = 0; i < 6; i++)
			world_cut_worker(w, n, i, true);
		world_run(w, 15000);
		world_set_machine_mode(w, WORLD_MACHINES_OK);
		world_run(w, 15000);
		check_free(w);
	}
}

/*
 * The owner is lost in the middle of a wave. Its successor asks again for
 * maintenance of machines that have had it, which succeeds. The tasks of the
 * new workers must go on and must not be started elsewhere.
 */
Test(sched, wave_changes_hands)
{
	int64_t at;

	for (at = 200; at < 4000; at += 350) {
		struct world *w = world_new_settled(20 + (uint64_t)at);

		world_submit(w, 0, JOB_A, &long_lived);
		world_submit(w, 0, JOB_B, &long_lived);
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
