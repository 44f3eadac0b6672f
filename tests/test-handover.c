/*
 * Tests of hand-overs: an owner that its workers hardly answer releases the
 * ownership to a VM that can serve them, and a VM that has lost the ownership
 * lets others claim first.
 */
#include "world-calm.h"

#define JOB_A "00000000000000aa"

static const struct world_job quick = {.tasks = 3, .task_ms = 400};

/* Checks that no invariant was violated, and frees the world. */
static void check_free(struct world *w, const char *name, unsigned row)
{
	cr_expect_null(world_violation(w), "%s, row %u: %s", name, row,
		       world_violation(w));
	world_free(w);
}

/*
 * Tasks wait and callers are refused while other VMs could serve them. The
 * owner's heartbeats succeed, but it gets the workers' answers too late, or
 * none. It must hand over to a VM that can reach the workers, and must not
 * where that is of no use: each hand-over costs a reading of all tables.
 */
static const struct {
	const char *name;
	unsigned vms, workers;
	int64_t late_ms;   /* the owner gets answers this much later */
	unsigned cut;	   /* workers that the owner can't reach */
	unsigned silent;   /* workers that no VM can reach */
	bool store_down;   /* the store answers nobody */
	int64_t freeze_ms; /* the owner is suspended and nobody claims */
	int64_t fault_ms;
	unsigned drained; /* workers that are about to leave */
	bool replaced;	  /* another VM owns before the faults end */
	unsigned epoch_max;
} unreached_rows[] = {
	{"slow owner", 4, 6, 3000, 0, 0, false, 0, 9000, 0, true, 2},
	{"slow owner of many", 4, 60, 3000, 0, 0, false, 0, 9000, 0, true, 2},
	{"owner cut off from all", 4, 6, 0, 6, 0, false, 0, 9000, 0, true, 2},
	{"owner cut off from nearly all", 4, 20, 0, 19, 0, false, 0, 9000, 0,
	 true, 2},
	{"owner cut off from half", 4, 6, 0, 3, 0, false, 0, 9000, 0, false, 1},
	{"all workers dead", 4, 6, 0, 0, 6, false, 0, 20000, 0, false, 3},
	{"all workers dead for longer", 4, 6, 0, 0, 6, false, 0, 60000, 0,
	 false, 3},
	{"one worker dead", 4, 6, 0, 0, 1, false, 0, 20000, 0, false, 1},
	{"the only worker dead", 4, 1, 0, 0, 1, false, 0, 20000, 0, false, 1},
	{"no worker", 4, 0, 0, 0, 0, false, 0, 20000, 0, false, 1},
	{"store down too", 4, 6, 0, 0, 6, true, 0, 9000, 0, false, 1},
	{"owner suspended", 4, 6, 0, 0, 0, false, 5000, 5000, 0, false, 1},
	{"one VM, slow", 1, 6, 3000, 0, 0, false, 0, 20000, 0, false, 3},
	{"workers that leave", 4, 6, 0, 0, 6, false, 0, 9000, 6, false, 1},
};

/* Begins the faults of a row, or ends them. */
static void unreached_fault(struct world *w, unsigned row, unsigned n, bool on)
{
	unsigned k;

	world_set_worker_delay(w, n, on ? unreached_rows[row].late_ms : 0);
	world_cut_workers(w, n, unreached_rows[row].cut, on);
	for (k = 0; on && k < unreached_rows[row].drained; k++)
		world_drain_worker(w, k);
	if (unreached_rows[row].silent)
		world_cut_workers_of_all(w, unreached_rows[row].silent, on);
	if (unreached_rows[row].store_down)
		world_set_store_mode(w, on ? WORLD_STORE_NO_ANSWER
					   : WORLD_STORE_OK);
	if (!unreached_rows[row].freeze_ms)
		return;
	if (on)
		world_freeze_vm(w, n, unreached_rows[row].freeze_ms);
	for (k = 0; k < unreached_rows[row].vms; k++)
		world_cut_store(w, k, on && k != n);
}
static void workers_unreached(unsigned row)
{
	struct world *w = world_new(900 + row, unreached_rows[row].vms,
				    unreached_rows[row].workers);
	const char *name = unreached_rows[row].name;
	unsigned n;

	world_run(w, 3000);
	n = owner(w);
	cr_assert_eq(world_epoch(w), 1, "%s", name);
	unreached_fault(w, row, n, true);
	world_run(w, 1500);
	world_submit(w, (n + 1) % unreached_rows[row].vms, JOB_A, &quick);
	world_run(w, unreached_rows[row].fault_ms - 1500);
	if (unreached_rows[row].replaced) {
		cr_expect_neq(owner(w), n, "%s: not replaced", name);
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed", "%s",
				 name);
	}
	cr_expect_leq(world_epoch(w), unreached_rows[row].epoch_max,
		      "%s: epoch %u", name, world_epoch(w));
	unreached_fault(w, row, n, false);
	world_run(w, 9000);
	if (unreached_rows[row].workers && !unreached_rows[row].store_down &&
	    !unreached_rows[row].freeze_ms && !unreached_rows[row].drained)
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed", "%s",
				 name);
	cr_expect_leq(world_epoch(w), unreached_rows[row].epoch_max,
		      "%s: epoch %u afterwards", name, world_epoch(w));
	check_free(w, name, row);
}
Test(handover, owner_that_reaches_no_workers_hands_over)
{
	unsigned i;

	for (i = 0; i < NELEMS(unreached_rows); i++)
		workers_unreached(i);
}

/*
 * Guards against an owner whose heartbeats succeed, but that starts nothing for
 * longer than urgent work may wait until it hands over.
 */
static const struct {
	const char *name;
	unsigned workers;
	unsigned cut;	  /* workers that the owner can't reach */
	int64_t late_ms;  /* the owner gets answers this much later */
	int64_t joins_ms; /* a worker is replaced by a new one at this interval;
			   * 0: none */
} slow_rows[] = {
	{"too late answers", 6, 0, 3000, 0},
	{"too late answers, many workers", 60, 0, 3000, 0},
	{"no answers", 60, 60, 0, 0},
	{"hardly any answers", 60, 56, 0, 0},
	{"a fifth of the answers", 60, 48, 0, 0},
	{"too late answers, a large fleet", 1100, 0, 3000, 0},
	{"too late answers, workers join", 60, 0, 3000, 100},
	{"no answers, workers join", 60, 60, 0, 100},
};
#define URGENT_START_MAX_MS 4200
#define RUN_MS 20
Test(handover, slow_owner_hands_over_in_time)
{
	struct world *w;
	unsigned row, n;
	int64_t ms;

	for (row = 0; row < NELEMS(slow_rows); row++) {
		w = world_new(960 + row, 4, slow_rows[row].workers);
		world_run(w, 3000);
		n = owner(w);
		world_set_worker_delay(w, n, slow_rows[row].late_ms);
		world_cut_workers(w, n, slow_rows[row].cut, true);
		for (ms = 0; ms < 9000 && world_owner(w) == (int)n;
		     ms += RUN_MS) {
			world_run(w, RUN_MS);
			if (slow_rows[row].joins_ms &&
			    ms % slow_rows[row].joins_ms == 0)
				world_replace_worker(
					w, (unsigned)(ms /
						      slow_rows[row].joins_ms) %
						   slow_rows[row].workers);
		}
		cr_expect_leq(ms, URGENT_START_MAX_MS, "%s: %lld ms",
			      slow_rows[row].name, (long long)ms);
		check_free(w, slow_rows[row].name, row);
	}
}

/*
 * Guards against a VM that was replaced because it was too slow to write
 * heartbeats, and claims again as soon as the ownership is free: it would start
 * nothing for seconds.
 */
Test(handover, replaced_owner_lets_others_claim_first)
{
	struct world *w;
	unsigned row, n, next;

	for (row = 0; row < 8; row++) {
		w = world_new_settled(980 + row);
		n = owner(w);
		world_cut_store(w, n, true);
		world_run(w, 2500);
		next = owner(w);
		cr_assert_neq(next, n, "row %u: not replaced", row);
		world_cut_store(w, n, false);
		world_run(w, 3000);
		if (row % 2)
			world_stop_vm(w, next);
		else
			world_kill_vm(w, next);
		world_run(w, 3000);
		cr_expect_neq(owner(w), n, "row %u", row);
		check_free(w, "replaced owner", row);
	}
}

/*
 * Guards against work that nobody owns where the VM that was replaced is the
 * only one left.
 */
Test(handover, replaced_owner_claims_if_no_other_does)
{
	struct world *w;
	unsigned n, k;

	w = world_new_settled(990);
	n = owner(w);
	world_cut_store(w, n, true);
	world_run(w, 2500);
	cr_assert_neq(owner(w), n, "not replaced");
	world_cut_store(w, n, false);
	world_run(w, 3000);
	for (k = 0; k < 4; k++)
		if (k != n)
			world_kill_vm(w, k);
	world_run(w, 4000);
	cr_expect_eq(owner(w), n);
	check_free(w, "only VM left", 0);
}

/*
 * Tasks wait although other VMs could start them. The VM that takes over gets
 * the workers' answers too late from the start, so no worker has ever answered
 * it. It must hand over as well.
 */
Test(handover, successor_that_reaches_no_workers_hands_over)
{
	struct world *w;
	unsigned row, n, next, k;

	for (row = 0; row < 4; row++) {
		w = world_new_settled(940 + row);
		n = owner(w);
		for (k = 0; k < 4; k++)
			world_set_worker_delay(w, k, 3000);
		world_kill_vm(w, n);
		for (k = 0; k < 300 && world_owner(w) == -1; k++)
			world_run(w, 10);
		next = owner(w);
		for (k = 0; k < 4; k++)
			if (k != next)
				world_set_worker_delay(w, k, 0);
		world_submit(w, other(w) == n ? (n + 1) % 4 : other(w), JOB_A,
			     &quick);
		world_run(w, 9000);
		cr_expect_neq(owner(w), next, "row %u", row);
		cr_expect_eq(world_epoch(w), 3, "row %u: epoch %u", row,
			     world_epoch(w));
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed",
				 "row %u", row);
		check_free(w, "slow successor", row);
	}
}
