/*
 * Tests of the ends that workers list: of runs that were given up, while the
 * next starts of their tasks may still be carried out.
 */
#include "../sched-state.h"
#include "world-calm.h"

#define JOB_A "00000000000000aa"
#define JOB_B "10000000000000bb"

/* Checks that no invariant was violated, and frees the world. */
static void check_free(struct world *w)
{
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

/*
 * Guards against a job that is never completed: workers list the ends of runs
 * that were given up, while the next starts of their tasks have no answer.
 */
static const struct {
	const char *name;
	unsigned workers; /* which are cut off, each with some tasks */
	unsigned tasks;	  /* of each worker */
	unsigned listed;  /* most ends in a list */
	int64_t within_ms;
} unanswered_rows[] = {
	{"one worker", 1, 1, 500, 2000},
	{"two workers", 2, 1, 500, 2000},
	{"three workers", 3, 1, 500, 2000},
	{"short lists, one worker", 1, 3, 1, 10000},
	{"short lists, two workers", 2, 3, 1, 10000},
	{"short lists, three workers", 3, 2, 1, 10000},
};
static void ends_beside_starts(unsigned row, int64_t shift_ms)
{
	const unsigned tasks = unanswered_rows[row].tasks;
	const struct world_job job = {.tasks = unanswered_rows[row].workers *
					       tasks,
				      .max_per_worker = tasks,
				      .task_ms = 300};
	struct world *w = world_new_settled(800);
	bool had_task[WORLD_WORKERS];
	unsigned k;

	world_set_ends_listed(w, unanswered_rows[row].listed);
	world_submit(w, other(w), JOB_A, &job);
	world_run(w, 60);
	for (k = 0; k < WORLD_WORKERS; k++) {
		had_task[k] = world_starts_of(w, k) > 0;
		if (had_task[k])
			world_cut_worker_of_all(w, k, true);
	}
	world_set_lost_starts(w, 100);
	while (!world_sched(w, owner(w))->starts_in_flight)
		world_run(w, 5);
	world_run(w, shift_ms);
	/* Only the workers with the ends can get the starts after these. */
	for (k = 0; k < WORLD_WORKERS; k++) {
		if (had_task[k])
			world_cut_worker_of_all(w, k, false);
		else
			world_drain_worker(w, k);
	}
	world_run(w, unanswered_rows[row].within_ms);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed",
			 "%s, shifted by %lld ms", unanswered_rows[row].name,
			 (long long)shift_ms);
	check_free(w);
}
Test(ends, ends_beside_unanswered_starts)
{
	unsigned row;
	int64_t shift_ms;

	for (row = 0; row < NELEMS(unanswered_rows); row++)
		for (shift_ms = 0; shift_ms < 400; shift_ms += 20)
			ends_beside_starts(row, shift_ms);
}

/* Returns a worker whose ends can't be acknowledged yet, or NULL. */
static const struct worker *worker_with_held_ends(struct world *w)
{
	const struct sched *s = world_sched(w, owner(w));
	const struct worker *k;

	for (k = s->workers; k; k = k->hh.next)
		if (k->ack_held)
			return k;
	return NULL;
}

/*
 * Guards against a job that is not completed although its ends are listed: they
 * stand behind the end of another job's task, whose next start has no answer.
 */
Test(ends, ends_behind_that_of_a_started_task)
{
	static const struct world_job first = {.tasks = 1, .task_ms = 300},
				      later = {.tasks = 3, .task_ms = 400};
	unsigned worker, seen = 0;
	int64_t shift_ms, ms;
	struct world *w;
	struct sched *s;

	for (shift_ms = 0; shift_ms < 400; shift_ms += 20) {
		w = world_new_settled(830);
		s = world_sched(w, owner(w));
		world_submit(w, other(w), JOB_A, &first);
		world_run(w, 20);
		world_submit(w, other(w), JOB_B, &later);
		world_run(w, 40);
		for (worker = 0; !world_starts_of(w, worker); worker++)
			;
		cr_assert_eq(world_starts_of(w, worker), 4);
		world_cut_worker_of_all(w, worker, true);
		world_set_lost_starts(w, 100);
		while (!s->starts_in_flight) {
			s->start_window = START_WINDOW_UNIT;
			world_run(w, 1);
		}
		world_run(w, shift_ms);
		world_cut_worker_of_all(w, worker, false);
		for (ms = 0; ms < 1500 && !worker_with_held_ends(w); ms++) {
			s->start_window = 0;
			world_run(w, 1);
		}
		world_run(w, 100);
		if (worker_with_held_ends(w)) {
			seen++;
			cr_expect_str_eq(world_job_state(w, JOB_B), "completed",
					 "shifted by %lld ms",
					 (long long)shift_ms);
		}
		world_set_lost_starts(w, 0);
		world_run(w, 6000);
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed",
				 "shifted by %lld ms", (long long)shift_ms);
		check_free(w);
	}
	cr_expect_gt(seen, 0, "no end was held");
}

/*
 * Guards against a start after the acknowledgement of the task's end: the task
 * was given up on a worker, and its next start went to a worker that had
 * restarted unnoticed, whose new process carries it out seconds later.  The
 * first worker lists the end meanwhile.
 */
static const struct {
	const char *name;
	bool silent; /* the restarted worker, instead of polled */
} late_start_rows[] = {
	{"the restart is noticed", false},
	{"the restarted worker is silent", true},
};

/* Returns the number of the worker that has the first task, or WORLD_WORKERS.
 */
static unsigned worker_with_task(struct world *w)
{
	const struct worker *k;

	for (k = world_sched(w, owner(w))->workers; k; k = k->hh.next)
		if (!TAILQ_EMPTY(&k->tasks))
			return (unsigned)(k->id.bstr_val[2] - '0');
	return WORLD_WORKERS;
}

/* Lets time pass while the owner starts nothing. */
static void no_start_run(struct world *w, int64_t ms)
{
	for (; ms > 0; ms--) {
		world_sched(w, owner(w))->start_window = 0;
		world_run(w, 1);
	}
}

static void end_before_late_start(unsigned row, int64_t shift_ms,
				  unsigned *seen)
{
	const struct world_job job = {.tasks = 1, .task_ms = 300};
	struct world *w = world_new_settled(820);
	unsigned first, k;

	world_submit(w, other(w), JOB_A, &job);
	world_run(w, 60);
	first = worker_with_task(w);
	world_cut_worker_of_all(w, first, true);
	no_start_run(w, 5000 + shift_ms);
	for (k = 0; k < WORLD_WORKERS; k++)
		if (k != first)
			world_crash_worker(w, k);
	no_start_run(w, 310);
	world_set_late_orders(w, 100);
	world_sched(w, owner(w))->start_window = START_WINDOW_INITIAL;
	world_run(w, 14);
	world_set_late_orders(w, 0);
	k = worker_with_task(w);
	if (k == WORLD_WORKERS) { /* all restarts were noticed, and nothing was
				     started */
		world_free(w);
		return;
	}
	++*seen;
	world_cut_worker_of_all(w, k, late_start_rows[row].silent);
	world_cut_worker_of_all(w, first, false);
	world_run(w, 20000);
	cr_expect_str_eq(world_job_state(w, JOB_A), "completed", "%s, by %lld",
			 late_start_rows[row].name, (long long)shift_ms);
	cr_expect_null(world_violation(w), "%s, by %lld ms: %s",
		       late_start_rows[row].name, (long long)shift_ms,
		       world_violation(w));
	world_free(w);
}
Test(ends, end_is_not_acknowledged_before_a_late_start)
{
	unsigned row, seen;
	int64_t shift_ms;

	for (row = 0; row < NELEMS(late_start_rows); row++) {
		seen = 0;
		for (shift_ms = 0; shift_ms < 700; shift_ms += 35)
			end_before_late_start(row, shift_ms, &seen);
		cr_expect_gt(seen, 0, "%s: no start was late",
			     late_start_rows[row].name);
	}
}

/*
 * Guards against a second run of a completed task after a planned change of the
 * owner: the successor acknowledges its end while the last start that the
 * earlier owner ordered is under way to a worker that it can't reach.
 */
Test(ends, a_successor_acknowledges_after_the_last_starts)
{
	static const struct world_job one = {.tasks = 1, .task_ms = 600};
	unsigned n, k, vm, worker, row;
	struct world *w;

	for (row = 0; row < 8; row++) {
		w = world_new_settled(820 + row);
		n = owner(w);
		world_submit(w, other(w), JOB_A, &one);
		world_run(w, 300);
		for (worker = 0; !world_starts_of(w, worker); worker++)
			;
		world_cut_worker_of_all(w, worker, true);
		world_set_order_delay(w, 700);
		while (!world_sched(w, n)->starts_in_flight)
			world_run(w, 5);
		for (vm = 0; vm < WORLD_VMS; vm++)
			for (k = 0; k < WORLD_WORKERS; k++)
				world_cut_worker(w, vm, k,
						 vm != n && k != worker);
		world_run(w, 20 * row);
		world_stop_vm(w, n);
		world_run(w, 3000);
		cr_expect_neq(owner(w), n);
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed",
				 "row %u", row);
		check_free(w);
	}
}

/*
 * Guards against a job that is open for ever: the VM's client reports no
 * outcome of a request, which the owner waits for.
 */
static const struct {
	const char *name;
	enum ask_kind kind;
	bool submit_later; /* when no more requests are lost */
	int64_t lost_ms;
	int64_t within_ms; /* of their end */
} outcome_rows[] = {
	{"starts", ASK_START, false, 100, 4000},
	{"polls", ASK_POLL, true, 1500, 10000},
	{"writes", ASK_TX, false, 30, 10000},
};
Test(ends, requests_without_an_outcome)
{
	static const struct world_job job = {.tasks = 3, .task_ms = 300};
	struct world *w;
	unsigned row;

	for (row = 0; row < NELEMS(outcome_rows); row++) {
		w = world_new_settled(860);
		if (!outcome_rows[row].submit_later)
			world_submit(w, other(w), JOB_A, &job);
		world_run(w, 8);
		world_lose_outcomes(w, outcome_rows[row].kind, true);
		world_run(w, outcome_rows[row].lost_ms);
		world_lose_outcomes(w, outcome_rows[row].kind, false);
		if (outcome_rows[row].submit_later)
			world_submit(w, other(w), JOB_A, &job);
		world_run(w, outcome_rows[row].within_ms);
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed", "%s",
				 outcome_rows[row].name);
		cr_expect_eq(world_starts(w), 3, "%s", outcome_rows[row].name);
		check_free(w);
	}
}
