/*
 * Tests of moves and maintenance of machines: what late or missing answers do.
 */
#include "../sched-demand.h"
#include "world-calm.h"

#define JOB_A "00000000000000aa"
#define JOB_B "00000000000000bb"
#define POOL_WORKERS 3 /* of each pool of world_new_pools() */

/* Work of the second pool that its machines can't finish soon. */
static const struct world_job burst = {
	.tasks = 60, .task_ms = 500, .second_queue = true};

/* Returns a world with two pools of three machines each. */
static struct world *world_new_pools(uint64_t seed)
{
	struct world *w = world_new(seed, WORLD_VMS, WORLD_WORKERS);

	world_add_second_pool(w, WORLD_WORKERS - POOL_WORKERS);
	world_run(w, 4000);
	return w;
}

/* Returns the number of machines whose move is ordered and not answered. */
static unsigned moving_count(struct world *w)
{
	const struct sched *s = world_sched(w, owner(w));
	const struct machine *m;
	unsigned n = 0;

	for (m = s->machines; m; m = m->hh.next)
		n += s->now < m->moving_until;
	return n;
}

/*
 * Guards against an owner that takes the machine's next worker for the one that
 * the move or the maintenance ended, because the answer is processed when the
 * next one is at work already: its tasks would run twice, or it gets none.
 */
static const struct {
	const char *name;
	enum world_machine_mode mode;
	bool wave; /* maintenance instead of a move */
} answer_rows[] = {
	{"move, answered at once", WORLD_MACHINES_OK, false},
	{"move, answered late", WORLD_MACHINES_SLOW, false},
	{"maintenance, answered at once", WORLD_MACHINES_OK, true},
	{"maintenance, answered late", WORLD_MACHINES_SLOW, true},
};
Test(move, slow_answer_spares_the_next_worker)
{
	struct world *w;
	unsigned row;

	for (row = 0; row < NELEMS(answer_rows); row++) {
		w = world_new_pools(2180 + row);
		world_set_machine_mode(w, answer_rows[row].mode);
		if (answer_rows[row].wave)
			world_start_wave(w, 2, 1);
		else
			world_submit(w, (owner(w) + 1) % WORLD_VMS, JOB_A,
				     &burst);
		world_run(w, 14000);
		cr_expect_eq(world_eligible_count(w), WORLD_WORKERS, "%s: %u",
			     answer_rows[row].name, world_eligible_count(w));
		world_check_free(w, answer_rows[row].name);
	}
}

/*
 * Guards against a worker that gets no tasks until the owner changes, because
 * the platform answers that its machine is unknown or not of the wave.
 */
Test(move, worker_stays_in_use_if_its_wave_is_refused)
{
	static const enum world_machine_mode before[] = {WORLD_MACHINES_INVALID,
							 WORLD_MACHINES_BUSY,
							 WORLD_MACHINES_SILENT};
	struct world *w;
	unsigned row;

	for (row = 0; row < NELEMS(before); row++) {
		w = world_new_pools(2240 + row);
		world_set_machine_mode(w, before[row]);
		world_start_wave(w, 2, 1);
		world_run(w, 6000);
		world_set_machine_mode(w, WORLD_MACHINES_INVALID);
		world_run(w, 20000);
		cr_expect(world_wave_is_completed(w), "row %u", row);
		cr_expect_eq(world_eligible_count(w), WORLD_WORKERS,
			     "row %u: %u", row, world_eligible_count(w));
		world_check_free(w, "a refused wave");
	}
}

/* What else happens while a move has no answer. */
enum meanwhile {
	NOTHING,
	CRASH,	 /* the workers of the first pool restart under their ids */
	REPLACE, /* they restart under new ids */
	TAKEOVER /* the owner is lost */
};

/* Lets something happen to the workers of the first pool, or to the owner. */
static void meanwhile_apply(struct world *w, enum meanwhile what)
{
	unsigned k;

	for (k = 0; k < 3; k++) {
		if (what == CRASH)
			world_crash_worker(w, k);
		if (what == REPLACE)
			world_replace_worker(w, k);
	}
	if (what == TAKEOVER)
		world_kill_vm(w, owner(w));
}

/*
 * Guards against workers that get no tasks until the owner changes, because the
 * move of their machine got no answer; and against late or repeated moves that
 * end the tasks of workers that are used again.
 */
static const struct {
	const char *name;
	enum world_machine_mode mode;
	int64_t ms;
	enum meanwhile meanwhile;
	enum world_machine_mode then; /* the platform's next mode */
	int64_t then_ms;
	int64_t within_ms; /* from then on, until all workers are in use */
} silent_rows[] = {
	{"answered at once", WORLD_MACHINES_OK, 0, NOTHING, WORLD_MACHINES_OK,
	 0, 9000},
	{"one call gets no answer", WORLD_MACHINES_SILENT, 1000, NOTHING,
	 WORLD_MACHINES_OK, 0, 9000},
	{"none for ten seconds", WORLD_MACHINES_SILENT, 10000, NOTHING,
	 WORLD_MACHINES_OK, 0, 11000},
	{"none for long", WORLD_MACHINES_SILENT, 20500, NOTHING,
	 WORLD_MACHINES_OK, 0, 9000},
	{"no answer, then busy", WORLD_MACHINES_SILENT, 1000, NOTHING,
	 WORLD_MACHINES_BUSY, 14000, 9000},
	{"no answer, then no such machine", WORLD_MACHINES_SILENT, 1000,
	 NOTHING, WORLD_MACHINES_INVALID, 14000, 9000},
	{"the answers are lost", WORLD_MACHINES_LOSE_ANSWERS, 3000, NOTHING,
	 WORLD_MACHINES_OK, 0, 9000},
	{"carried out late", WORLD_MACHINES_LATE, 1000, NOTHING,
	 WORLD_MACHINES_OK, 0, 9000},
	{"carried out late, meanwhile busy", WORLD_MACHINES_LATE, 1000, NOTHING,
	 WORLD_MACHINES_BUSY, 3000, 9000},
	{"carried out late, but the first pool needs it", WORLD_MACHINES_LATE,
	 1000, NOTHING, WORLD_MACHINES_OK, 3500, 9000},
	{"the workers restart", WORLD_MACHINES_SILENT, 1000, CRASH,
	 WORLD_MACHINES_OK, 2000, 9000},
	{"the workers are replaced", WORLD_MACHINES_SILENT, 1000, REPLACE,
	 WORLD_MACHINES_OK, 1200, 9000},
	{"a takeover", WORLD_MACHINES_SILENT, 1000, TAKEOVER, WORLD_MACHINES_OK,
	 0, 13000},
};
Test(move, no_answer_and_the_worker_is_used_again)
{
	static const struct world_job wide = {.tasks = 40, .task_ms = 2500};
	struct world *w;
	unsigned row, k, vm;

	for (row = 0; row < NELEMS(silent_rows); row++) {
		w = world_new_pools(2200 + row);
		vm = (owner(w) + 1) % WORLD_VMS;
		world_set_machine_mode(w, silent_rows[row].mode);
		world_submit(w, vm, JOB_A, &burst);
		for (k = 0; k < 100 && !moving_count(w); k++)
			world_run(w, 5);
		cr_assert_gt(moving_count(w), 0, "%s", silent_rows[row].name);
		world_run(w, silent_rows[row].ms);
		meanwhile_apply(w, silent_rows[row].meanwhile);
		world_set_machine_mode(w, silent_rows[row].then);
		world_run(w, silent_rows[row].then_ms);
		world_submit(w, vm, JOB_B, &wide);
		world_run(w, silent_rows[row].within_ms);
		cr_expect_eq(world_eligible_count(w), WORLD_WORKERS, "%s: %u",
			     silent_rows[row].name, world_eligible_count(w));
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed", "%s",
				 silent_rows[row].name);
		cr_expect_str_eq(world_job_state(w, JOB_B), "completed", "%s",
				 silent_rows[row].name);
		world_check_free(w, silent_rows[row].name);
	}
}

/*
 * Guards against a successful move being taken for the end of the machine's
 * next worker, as an earlier call, of this owner or of another one, was carried
 * out without an answer: that worker goes on, and its tasks would run twice.
 */
static const struct {
	const char *name;
	enum world_machine_mode mode; /* at the first calls */
	int64_t ms;
} unanswered_rows[] = {
	{"refused", WORLD_MACHINES_BUSY, 500},
	{"the connection is closed", WORLD_MACHINES_CLOSE, 100},
	{"the answer is lost", WORLD_MACHINES_LOSE_ANSWERS, 100},
	{"the answer is late", WORLD_MACHINES_SLOW, 100},
	{"carried out late", WORLD_MACHINES_LATE, 1600},
	{"carried out very late", WORLD_MACHINES_LATE, 5900},
};
static const enum world_machine_mode later_modes[] = {
	WORLD_MACHINES_UP, WORLD_MACHINES_BUSY, WORLD_MACHINES_SILENT};
static const int64_t takeovers_ms[] = {0, 1, 900, 3000}; /* 0: none */
static void next_worker_after(unsigned row, unsigned mode, unsigned k)
{
	static const struct world_job back = {.tasks = 40, .task_ms = 900};
	struct world *w = world_new_pools(2300 + 100 * row + 10 * mode + k);
	unsigned i;

	world_set_machine_mode(w, unanswered_rows[row].mode);
	world_submit(w, (owner(w) + 1) % WORLD_VMS, JOB_A, &burst);
	for (i = 0; i < 100 && !world_log_count(w, LOG_MACHINE_MOVED); i++)
		world_run(w, 5);
	cr_assert_gt(world_log_count(w, LOG_MACHINE_MOVED), 0);
	world_run(w, unanswered_rows[row].ms);
	world_set_machine_mode(w, later_modes[mode]);
	world_run(w, takeovers_ms[k]);
	if (takeovers_ms[k])
		world_kill_vm(w, owner(w));
	world_run(w, 3500 - takeovers_ms[k]);
	world_set_machine_mode(w, WORLD_MACHINES_UP);
	world_run(w, 3000);
	/* The first pool wants its machines back. */
	world_submit(w, (owner(w) + 1) % WORLD_VMS, JOB_B, &back);
	world_run(w, 6000);
	cr_expect_null(world_violation(w), "%s, then %u, takeover %lld: %s",
		       unanswered_rows[row].name, mode,
		       (long long)takeovers_ms[k], world_violation(w));
	world_free(w);
}
Test(move, lost_answers_spare_the_next_worker)
{
	unsigned i, k, n;

	for (i = 0; i < NELEMS(unanswered_rows); i++)
		for (k = 0; k < NELEMS(later_modes); k++)
			for (n = 0; n < NELEMS(takeovers_ms); n++)
				next_worker_after(i, k, n);
}

/*
 * Guards against calling a machine for each long-running task that waits for
 * something else than room: after an outage many wait until their crashes are
 * durable, and the pools whose queues have grown get no machines meanwhile.
 */
static const struct {
	const char *name;
	unsigned tasks;
	int64_t store_delay_ms;
} waiting_rows[] = {
	{"the store is slow", 2, 400},
	{"the store is slower", 2, 550},
	{"many tasks", 6, 450},
};
Test(move, tasks_that_lack_no_room_call_no_machines)
{
	unsigned row, before, worker;
	struct world_job lasting;
	struct world *w;

	for (row = 0; row < NELEMS(waiting_rows); row++) {
		w = world_new_pools(2100 + row);
		lasting = (struct world_job){.tasks = waiting_rows[row].tasks,
					     .long_running = true};
		world_submit(w, 0, JOB_A, &lasting);
		world_run(w, 4000);
		before = world_move_count(w);
		world_set_store_delay(w, waiting_rows[row].store_delay_ms);
		for (worker = 0; worker < POOL_WORKERS; worker++)
			world_crash_worker(w, worker);
		world_run(w, 2500);
		cr_expect_eq(world_move_count(w), before, "%s: %u moves",
			     waiting_rows[row].name,
			     world_move_count(w) - before);
		world_check_free(w, waiting_rows[row].name);
	}
}

/*
 * Guards against a pool that seems to have less room and a longer queue than it
 * has, as idle machines behind a cut are moved away that were not counted: its
 * callers would be refused although there is room.
 */
Test(move, a_silent_machine_is_not_taken_off_the_room)
{
	struct world *w = world_new_pools(2150);
	struct sched *s = world_sched(w, owner(w));
	struct pool_load before, *p;
	unsigned taken = 0, silent = 0;
	struct pool_loads l;
	struct machine *m;
	struct worker *k;

	world_cut_workers(w, owner(w), 2, true);
	world_run(w, 4000);
	cr_assert_eq(world_sched(w, owner(w)), s);
	pool_loads_read(s, &l);
	for (m = s->machines; m; m = m->hh.next) {
		p = pool_load_find(&l, m->pool);
		k = worker_find(s, m->worker);
		if (!p || !k)
			continue;
		before = *p;
		pool_load_remove_machine(s, p, m, 1);
		taken += before.workers - p->workers;
		silent += !worker_is_healthy(s, k);
		cr_expect_eq(before.workers - p->workers,
			     worker_is_healthy(s, k));
		cr_expect_eq(before.workers - p->workers,
			     before.empty - p->empty);
		cr_expect_eq(before.cores - p->cores,
			     before.workers - p->workers);
	}
	cr_expect_eq(silent, 2);
	cr_expect_eq(taken, WORLD_WORKERS - 2);
	pool_loads_free(&l);
	world_check_free(w, "a silent machine is taken");
}
