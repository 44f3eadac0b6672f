/*
 * Tests of the scheduler under patterns of load and faults: a burst at a
 * takeover, overload, a large fleet, and an owner with little processor time.
 */
#include "../sched-state.h"
#include "support-world.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

/* Returns a world in which a VM owns the scheduling and knows the workers. */
static struct world *world_new_settled(uint64_t seed)
{
	struct world *w = world_new(seed, WORLD_VMS, WORLD_WORKERS);

	world_run(w, 2000);
	return w;
}

static void check_free(struct world *w, const char *name)
{
	cr_expect_null(world_violation(w), "%s: %s", name, world_violation(w));
	world_free(w);
}

/*
 * Guards against a burst that waits after a takeover until each worker has had
 * time to answer, although standby machines are free.
 */
static const struct {
	const char *name;
	unsigned silent; /* workers that can't be reached */
} burst_rows[] = {
	{"all answer", 0},
	{"one is silent", 1},
};
Test(load, machines_come_right_after_a_takeover)
{
	static const struct world_job backlog = {.tasks = 200, .task_ms = 2000};
	struct world *w;
	unsigned row, k, n;

	for (row = 0; row < NELEMS(burst_rows); row++) {
		w = world_new(1640 + row, WORLD_VMS, WORLD_WORKERS);
		world_add_standby_pool(w, 3);
		world_run(w, 4000);
		for (k = 0; k < WORLD_VMS && burst_rows[row].silent; k++)
			world_cut_worker(w, k, 0, true);
		n = (unsigned)world_owner(w);
		world_submit(w, (n + 1) % WORLD_VMS, "00000000000000aa",
			     &backlog);
		world_run(w, 20);
		world_kill_vm(w, n);
		for (k = 0; k < 400 && world_owner(w) == -1; k++)
			world_run(w, 10);
		world_run(w, 500);
		cr_expect_gt(world_move_count(w), 0, "%s",
			     burst_rows[row].name);
		check_free(w, burst_rows[row].name);
	}
}

/*
 * Guards against an overload in which all waiting jobs are stored as running:
 * the few that fit wait for thousands of writes, and a successor takes all of
 * them for running somewhere. The workers have capacity for 48 tasks, and each
 * waiting job has two.
 */
static const struct {
	unsigned running_tasks; /* tasks of a job that runs meanwhile */
	unsigned most;		/* of 30 jobs that may start beside it */
} begin_rows[] = {
	{22, 13},
	{34, 7},
	{44, 2},
};
Test(load, only_what_has_room_begins)
{
	static const struct world_job two_tasks = {.tasks = 2, .task_ms = 4000};
	unsigned row, k, started;
	struct world_job job;
	struct world *w;
	char id[24];

	for (row = 0; row < NELEMS(begin_rows); row++) {
		w = world_new_settled(1680 + row);
		job = (struct world_job){.tasks = begin_rows[row].running_tasks,
					 .task_ms = 9000};
		world_submit(w, 0, "00000000000000aa", &job);
		world_run(w, 500);
		for (k = 0; k < 30; k++) {
			snprintf(id, sizeof(id), "%x0000000000000%02x", k % 16,
				 k);
			world_submit(w, k % WORLD_VMS, id, &two_tasks);
		}
		world_run(w, 1000);
		for (k = started = 0; k < 30; k++) {
			snprintf(id, sizeof(id), "%x0000000000000%02x", k % 16,
				 k);
			started += !strcmp(world_job_state(w, id), "running");
		}
		cr_expect_geq(started, 1, "row %u: no job has started", row);
		cr_expect_leq(started, begin_rows[row].most,
			      "row %u: %u jobs have started", row, started);
		check_free(w, "only jobs that fit start");
	}
}

/*
 * Guards against pools that take machines from each other while all queues are
 * overloaded: a machine that is empty for a moment leaves a pool with a
 * backlog, and is lost for the time of a move.
 */
Test(load, busy_pools_lend_nothing)
{
	static const struct world_job backlog = {.tasks = 200, .task_ms = 2000};
	static const struct world_job second_backlog = {
		.tasks = 120, .task_ms = 2000, .second_queue = true};
	unsigned row, before;
	struct world *w;

	for (row = 0; row < 4; row++) {
		w = world_new(1700 + row, WORLD_VMS, WORLD_WORKERS);
		world_add_second_pool(w, 3);
		world_run(w, 4000);
		/*
		 * The store is slow, so all workers stay empty until jobs
		 * start.
		 */
		world_set_store_delay(w, 150 + 100 * (int64_t)row);
		world_submit(w, 0, "00000000000000aa", &backlog);
		world_submit(w, 1, "00000000000000bb", &second_backlog);
		/*
		 * A machine may move before the owner has read the second job.
		 */
		world_run(w, 300 + 100 * (int64_t)row);
		before = world_move_count(w);
		world_run(w, 5000);
		cr_expect_eq(world_move_count(w), before,
			     "row %u: %u moves more", row,
			     world_move_count(w) - before);
		check_free(w, "busy pools keep their machines");
	}
}

/*
 * Guards against an owner with little processor time that abandons each long
 * answer of the jobs' feed and requests it again: it would read no more jobs
 * and cancels.
 */
Test(load, slow_answers_of_the_feed_come_at_last)
{
	static const struct world_job one = {.tasks = 1, .task_ms = 200};
	static const int64_t slow_ms[] = {0, 900, 1500, 3000};
	struct world *w;
	unsigned row;

	for (row = 0; row < NELEMS(slow_ms); row++) {
		w = world_new_settled(1720 + row);
		world_set_feed_delay(w, TABLE_JOBS, slow_ms[row]);
		world_submit(w, 0, "00000000000000aa", &one);
		world_run(w, 14000);
		cr_expect_str_eq(world_job_state(w, "00000000000000aa"),
				 "completed", "%lld ms",
				 (long long)slow_ms[row]);
		check_free(w, "slow answers of the feed");
	}
}

/*
 * Guards against repeated jobs whose runs all but the first are taken for late:
 * each is due by its own scheduled time.
 */
Test(load, repeated_jobs_are_due_by_their_times)
{
	struct job_body body = {
		.repeat_count = 5, .first_at = 50000, .interval_ms = 2000};
	struct job job = {.arrived = 0, .body = &body, .route = BSTR_NONE};
	struct fleet_config none = {0};
	struct sched s = {.now = 9000, .wall = 59000, .config = &none};
	struct occurrence occ = {.job = &job};
	unsigned k;

	for (k = 0; k < 5; k++) {
		occ.number = k;
		cr_expect_eq(occurrence_due_at(&s, &occ, 700),
			     2000 * (int64_t)k + 700, "time %u", k);
	}
}

/* Returns the number of workers that the owner would place tasks on. */
static unsigned eligible_count(struct world *w)
{
	const struct sched *s = world_sched(w, (unsigned)world_owner(w));
	const struct worker *k;
	unsigned n = 0;

	for (k = s->workers; k; k = k->hh.next)
		n += worker_is_eligible(s, k);
	return n;
}

/*
 * Guards against polls of a large, mostly idle fleet that use up the owner's
 * processor time, and against workers that seem lost between polls.
 */
static const struct {
	const char *name;
	unsigned workers;
	unsigned least; /* requests per second, the store's included */
	unsigned most;
} idle_rows[] = {
	{"a few are polled often", 6, 10, 40},
	{"many are polled seldom", 1000, 500, 800},
};
Test(load, idle_workers_cost_little)
{
	const struct sched *s;
	unsigned row, k;
	uint64_t before, asked;
	struct world *w;

	for (row = 0; row < NELEMS(idle_rows); row++) {
		w = world_new(1900 + row, WORLD_VMS, idle_rows[row].workers);
		world_run(w, 5000);
		s = world_sched(w, (unsigned)world_owner(w));
		before = s->last_request;
		for (k = 0; k < 20; k++) {
			world_run(w, 200);
			cr_expect_eq(eligible_count(w), idle_rows[row].workers,
				     "%s", idle_rows[row].name);
		}
		asked = (s->last_request - before) / 4;
		cr_expect_geq(asked, idle_rows[row].least, "%s: %u",
			      idle_rows[row].name, (unsigned)asked);
		cr_expect_leq(asked, idle_rows[row].most, "%s: %u",
			      idle_rows[row].name, (unsigned)asked);
		for (k = 0; k < WORLD_VMS; k++)
			world_cut_worker(w, k, 0, true);
		world_run(w, 2500);
		cr_expect_eq(eligible_count(w), idle_rows[row].workers - 1,
			     "%s", idle_rows[row].name);
		check_free(w, idle_rows[row].name);
	}
}

/*
 * Guards against reads by every VM of each of the owner's heartbeats, which
 * come as often as limits are raised and workers join.
 */
static const struct {
	const char *name;
	double cores; /* of the VM that reads the heartbeats */
	unsigned least;
	unsigned most; /* requests per second, with a heartbeat every 20 ms */
} beat_rows[] = {
	{"a VM that would claim early reads each", 0.5, 20, 60},
	{"a VM that would claim late does not", 0.12, 2, 8},
};
Test(load, beats_are_not_asked_for_by_all)
{
	uint64_t before, asked;
	unsigned row, k, n, vm;
	struct world *w;

	for (row = 0; row < NELEMS(beat_rows); row++) {
		w = world_new_settled(1950 + row);
		n = (unsigned)world_owner(w);
		vm = (n + 1) % WORLD_VMS;
		world_set_cores(w, vm, beat_rows[row].cores);
		world_kill_vm(w, vm);
		world_start_vm(w, vm);
		world_run(w, 2000);
		before = world_sched(w, vm)->last_request;
		for (k = 0; k < 200; k++) {
			world_sched(w, n)->own.heartbeat_at = 0;
			world_run(w, 20);
		}
		cr_assert_eq(world_owner(w), (int)n);
		asked = (world_sched(w, vm)->last_request - before) / 4;
		cr_expect_geq(asked, beat_rows[row].least, "%s: %u",
			      beat_rows[row].name, (unsigned)asked);
		cr_expect_leq(asked, beat_rows[row].most, "%s: %u",
			      beat_rows[row].name, (unsigned)asked);
		check_free(w, beat_rows[row].name);
	}
}

/*
 * Guards against a successor that runs placement a tenth as often as it could
 * because of many final jobs, which it keeps until it knows what runs on a
 * silent worker.
 */
Test(load, final_jobs_space_no_looks)
{
	static const struct world_job tiny = {.tasks = 1, .task_ms = 20};
	struct world *w = world_new_settled(1980);
	unsigned n = (unsigned)world_owner(w), k;
	const struct sched *s;
	int64_t most = 0;
	char id[20];

	for (k = 0; k < 600; k++) {
		snprintf(id, sizeof(id), "%016x", k + 1);
		world_submit(w, (n + 1) % WORLD_VMS, id, &tiny);
		world_run(w, 20);
	}
	world_run(w, 3000);
	for (k = 0; k < WORLD_VMS; k++)
		world_cut_worker(w, k, 0, true);
	world_kill_vm(w, n);
	for (k = 0; k < 400 && world_owner(w) == -1; k++)
		world_run(w, 10);
	s = world_sched(w, (unsigned)world_owner(w));
	world_run(w, 1000);
	cr_assert(!s->settled);
	cr_assert_gt(HASH_COUNT(s->jobs), 500);
	for (k = 0; k < 500; k++) {
		world_run(w, 1);
		if (s->place_at - s->now > most)
			most = s->place_at - s->now;
	}
	cr_expect_leq(most, 1, "%lld ms", (long long)most);
	check_free(w, "final jobs");
}

/*
 * Guards against a queue with a backlog that waits for machines beside hundreds
 * of idle ones, because a fleet of a thousand moves no more machines at once
 * than one of fifty.
 */
static const struct {
	const char *name;
	unsigned workers;
	unsigned least; /* moves in the first second */
} turn_rows[] = {
	{"a small fleet", 40, 10},
	{"a large fleet", 1000, 200},
};
Test(load, machines_follow_a_turn_at_the_fleets_pace)
{
	static const struct world_job backlog = {
		.tasks = 2000, .task_ms = 3000, .second_queue = true};
	struct world *w;
	unsigned row, n;

	for (row = 0; row < NELEMS(turn_rows); row++) {
		n = turn_rows[row].workers;
		w = world_new(2000 + row, WORLD_VMS, n);
		world_add_second_pool(w, n / 20);
		world_run(w, 5000);
		n = (unsigned)world_owner(w);
		world_submit(w, (n + 1) % WORLD_VMS, "00000000000000aa",
			     &backlog);
		world_run(w, 1300);
		cr_expect_geq(world_move_count(w), turn_rows[row].least,
			      "%s: %u", turn_rows[row].name,
			      world_move_count(w));
		check_free(w, turn_rows[row].name);
	}
}

/*
 * Guards against machines that move to a pool in which an owner short of
 * processor time can't start tasks on those that it has.
 */
static const struct {
	const char *name;
	unsigned window;      /* starts that may be in flight */
	unsigned least, most; /* moves */
} slow_start_rows[] = {
	{"the owner starts all at once", 1000, 40, 1000},
	{"the owner starts 160 a second", 32, 0, 0},
};
Test(load, machines_follow_only_work_that_can_start)
{
	static const struct world_job first = {
		.tasks = 150, .task_ms = 500, .second_queue = true};
	static const struct world_job backlog = {
		.tasks = 700, .task_ms = 500, .second_queue = true};
	unsigned row, n, k, before;
	struct world *w;

	for (row = 0; row < NELEMS(slow_start_rows); row++) {
		w = world_new(2020 + row, WORLD_VMS, 400);
		world_add_second_pool(w, 50);
		world_run(w, 5000);
		world_set_order_delay(w, 200);
		n = (unsigned)world_owner(w);
		world_submit(w, (n + 1) % WORLD_VMS, "00000000000000aa",
			     &first);
		for (k = before = 0; k < 600; k++) {
			world_sched(w, n)->start_window =
				slow_start_rows[row].window * START_WINDOW_UNIT;
			if (k == 400) {
				before = world_move_count(w);
				world_submit(w, (n + 1) % WORLD_VMS,
					     "00000000000000bb", &backlog);
			}
			world_run(w, 5);
		}
		n = world_move_count(w) - before;
		cr_expect_geq(n, slow_start_rows[row].least, "%s: %u",
			      slow_start_rows[row].name, n);
		cr_expect_leq(n, slow_start_rows[row].most, "%s: %u",
			      slow_start_rows[row].name, n);
		check_free(w, slow_start_rows[row].name);
	}
}

/*
 * Guards against an owner with little processor time that sends more orders
 * than it can process the answers of: all time out, and the cost of that keeps
 * it overloaded.  And against an owner with enough of it that starts next to
 * nothing because a few workers answer late.
 */
static const struct {
	const char *name;
	unsigned answers; /* one per ms */
	unsigned each;	  /* each how manieth is late, the others take 20 ms */
	int64_t ms;	  /* delay until those are processed */
	unsigned least;	  /* starts that may be in flight then */
	unsigned most;
} window_rows[] = {
	{"answers in time", 4000, 1, 20, 1000, 1100},
	{"answers come late", 400, 1, 300, 100, 200},
	{"late for long", 4000, 1, 300, 64, 64},
	{"one worker in twenty is slow", 4000, 20, 300, 900, 1100},
	{"one worker in five is slow", 4000, 5, 300, 800, 1100},
};
Test(load, starts_are_as_many_as_are_answered)
{
	struct sched_options o = {.vm = bstr_lit("vm0"),
				  .zone = bstr_lit("east")};
	struct sched *s;
	unsigned row, k;

	for (row = 0; row < NELEMS(window_rows); row++) {
		s = sched_new(&o);
		s->now = 1000000;
		s->starts_in_flight = 300;
		for (k = 0; k < window_rows[row].answers; k++) {
			s->now++;
			if (s->starts_in_flight * START_WINDOW_UNIT >
			    s->start_window)
				s->starts_in_flight--;
			start_window_update(s, k % window_rows[row].each
						       ? 20
						       : window_rows[row].ms);
		}
		s->starts_in_flight = window_rows[row].most;
		cr_expect(start_window_is_full(s), "%s: %u",
			  window_rows[row].name, s->start_window);
		s->starts_in_flight = window_rows[row].least - 1;
		cr_expect(!start_window_is_full(s), "%s: %u",
			  window_rows[row].name, s->start_window);
		s->starts_in_flight = 0;
		sched_free(s);
	}
}

/*
 * Guards against a start that is never sent: pending tasks must be placed again
 * when the window has space.
 */
Test(load, what_the_window_held_back_is_started)
{
	static const struct world_job wide = {.tasks = 40, .task_ms = 300};
	struct world *w = world_new_settled(2050);
	unsigned n = (unsigned)world_owner(w), k;
	struct sched *s = world_sched(w, n);

	world_submit(w, (n + 1) % WORLD_VMS, "00000000000000aa", &wide);
	for (k = 0; k < 600; k++) {
		s->start_window = 4 * START_WINDOW_UNIT;
		cr_expect_leq(s->starts_in_flight, 5);
		world_run(w, 5);
	}
	cr_expect_eq(world_starts(w), 40);
	cr_expect_str_eq(world_job_state(w, "00000000000000aa"), "completed");
	check_free(w, "a small window");
}

/*
 * Guards against a pool that stays empty beside its pending tasks while another
 * pool's backlog uses the whole window of starts in every placement pass.
 */
static const struct {
	const char *name;
	bool second_first; /* the backlog is the second pool's */
} share_rows[] = {
	{"the backlog is the first pool's", false},
	{"the backlog is the second pool's", true},
};
Test(load, the_window_is_shared_by_the_pools)
{
	struct world_job backlog = {.tasks = 100, .task_ms = 1000};
	struct world_job few = {.tasks = 3, .task_ms = 1000};
	struct world *w;
	struct sched *s;
	unsigned row, k, n;

	for (row = 0; row < NELEMS(share_rows); row++) {
		w = world_new(2060 + row, WORLD_VMS, WORLD_WORKERS);
		world_add_second_pool(w, 3);
		world_run(w, 4000);
		world_set_order_delay(w, 100);
		n = (unsigned)world_owner(w);
		s = world_sched(w, n);
		backlog.second_queue = share_rows[row].second_first;
		few.second_queue = !backlog.second_queue;
		for (k = 0; k < 480; k++) {
			if (k == 0)
				world_submit(w, (n + 1) % WORLD_VMS,
					     "00000000000000aa", &backlog);
			if (k == 40)
				world_submit(w, (n + 1) % WORLD_VMS,
					     "00000000000000bb", &few);
			s->start_window = START_WINDOW_UNIT;
			world_run(w, 5);
		}
		cr_expect_str_eq(world_job_state(w, "00000000000000bb"),
				 "completed", "%s", share_rows[row].name);
		check_free(w, share_rows[row].name);
	}
}

/*
 * Guards against a queue that seems short because its jobs keep the reason of
 * an earlier wait, or name the suitability of workers when all are full.
 */
static const struct {
	const char *name;
	unsigned window; /* starts that may be in flight */
	unsigned max_per_worker;
	enum pending_reason reason;
} reason_rows[] = {
	{"the window is full", 4, 0, PENDING_WINDOW},
	{"all workers are full", 1000, 0, PENDING_CAPACITY},
	{"few may run on each worker", 1000, 2, PENDING_CONSTRAINTS},
};
Test(load, a_wait_has_the_reason_of_the_latest_pass)
{
	struct world_job wide = {.tasks = 100, .task_ms = 4000};
	const struct job *j;
	struct world *w;
	struct sched *s;
	unsigned row, k, n;

	for (row = 0; row < NELEMS(reason_rows); row++) {
		w = world_new_settled(2070 + row);
		n = (unsigned)world_owner(w);
		s = world_sched(w, n);
		wide.max_per_worker = reason_rows[row].max_per_worker;
		world_set_order_delay(w, 400);
		world_submit(w, (n + 1) % WORLD_VMS, "00000000000000aa", &wide);
		for (k = 0; k < 160; k++) {
			s->start_window = reason_rows[row].window *
					  START_WINDOW_UNIT;
			world_run(w, 5);
		}
		j = TAILQ_FIRST(&s->jobs_by_arrival);
		cr_assert(j && j->placed);
		cr_expect_eq(j->pending_reason, reason_rows[row].reason,
			     "%s: %d", reason_rows[row].name,
			     j->pending_reason);
		check_free(w, reason_rows[row].name);
	}
}

/* Returns the number of workers whose ends can't be acknowledged yet. */
static unsigned ends_held_count(struct world *w)
{
	const struct sched *s = world_sched(w, (unsigned)world_owner(w));
	const struct worker *k;
	unsigned n = 0;

	for (k = s->workers; k; k = k->hh.next)
		n += k->ack_held;
	return n;
}

/*
 * Guards against a second run of a completed task by an owner whose starts wait
 * in its HTTP client: the task was given up on a silent worker, which lists its
 * end while the next start is in flight. The seeds shift the times of polls.
 */
Test(load, an_end_waits_for_the_start_under_way)
{
	static const struct world_job one = {.tasks = 1, .task_ms = 600};
	unsigned n, k, vm, worker, seed, held = 0;
	const struct sched *s;
	struct world *w;

	for (seed = 2100; seed < 2130; seed++) {
		w = world_new_settled(seed);
		n = (unsigned)world_owner(w);
		s = world_sched(w, n);
		world_run(w, 17 * (seed - 2100));
		world_submit(w, (n + 1) % WORLD_VMS, "00000000000000aa", &one);
		world_run(w, 300);
		for (worker = 0; !world_starts_of(w, worker); worker++)
			;
		for (vm = 0; vm < WORLD_VMS; vm++)
			world_cut_worker(w, vm, worker, true);
		world_set_order_delay(w, 700);
		for (k = 0; k < 2000 && !s->starts_in_flight; k++)
			world_run(w, 5);
		cr_assert_lt(k, 2000, "given up and started again");
		for (vm = 0; vm < WORLD_VMS; vm++)
			world_cut_worker(w, vm, worker, false);
		for (k = 0; k < 140 && s->starts_in_flight; k++) {
			world_run(w, 5);
			held += ends_held_count(w);
		}
		world_run(w, 6000);
		cr_expect_str_eq(world_job_state(w, "00000000000000aa"),
				 "completed", "seed %u", seed);
		check_free(w, "an end listed late");
	}
	cr_expect_gt(held, 0, "no end came while a start was in flight");
}

/*
 * Guards against a second run of a completed task whose end is in a worker's
 * list behind one that waits for a start in flight: a given-up worker answers
 * again, and the task is started before its end is processed. The window lets
 * one start be in flight, so all given-up tasks but the first wait for it.
 */
static const struct {
	const char *name;
	bool answers_lost; /* those of all starts but the first */
	unsigned listed;   /* most ends in a list */
} behind_rows[] = {
	{"the starts were answered", false, 500},
	{"starts had no answer", true, 500},
	{"short lists", false, 2},
	{"short lists, starts had no answer", true, 2},
};

/* Runs a world in which one start can be in flight. */
static void one_start_run(struct world *w, struct sched *s, int64_t ms)
{
	int64_t until = s->now + ms;

	while (s->now < until) {
		s->start_window = START_WINDOW_UNIT;
		world_run(w, 5);
	}
}

Test(load, no_start_of_a_task_whose_end_waits_behind_another)
{
	static const struct world_job first = {.tasks = 1, .task_ms = 400};
	static const struct world_job others = {.tasks = 5, .task_ms = 900};
	unsigned n, k, vm, worker, row, seed;
	struct world *w;
	struct sched *s;

	for (row = 0; row < NELEMS(behind_rows) * 10; row++) {
		seed = row % 10;
		w = world_new(2300 + seed, WORLD_VMS, 2);
		world_run(w, 2000 + 17 * (int64_t)seed);
		world_set_ends_listed(w, behind_rows[row / 10].listed);
		n = (unsigned)world_owner(w);
		s = world_sched(w, n);
		world_submit(w, (n + 1) % WORLD_VMS, "00000000000000aa",
			     &first);
		for (k = 0; k < 100 && !world_starts(w); k++)
			world_run(w, 1);
		world_run(w, 5);
		world_lose_start_answers(w, behind_rows[row / 10].answers_lost);
		worker = !world_starts_of(w, 0);
		world_submit(w, (n + 1) % WORLD_VMS, "00000000000000bb",
			     &others);
		for (k = 0; k < 100 && world_starts(w) < 6; k++)
			world_run(w, 1);
		for (vm = 0; vm < WORLD_VMS; vm++)
			world_cut_worker(w, vm, worker, true);
		world_run(w, 900);
		world_lose_start_answers(w, false);
		world_set_order_delay(w, 700);
		for (k = 0; k < 1000 && !s->starts_in_flight; k++)
			one_start_run(w, s, 5);
		cr_assert_lt(k, 1000, "given up and started again");
		for (vm = 0; vm < WORLD_VMS; vm++)
			world_cut_worker(w, vm, worker, false);
		one_start_run(w, s, 9000);
		cr_expect_leq(world_starts(w), 7, "%s, seed %u: %u",
			      behind_rows[row / 10].name, seed,
			      world_starts(w));
		cr_expect_str_eq(world_job_state(w, "00000000000000bb"),
				 "completed", "%s", behind_rows[row / 10].name);
		check_free(w, behind_rows[row / 10].name);
	}
}

/*
 * Guards against an owner that starts tasks again, or no more, because it
 * processes the answers of workers late: it takes sound workers for silent,
 * while the store's answers come at once.
 */
static const struct {
	const char *name;
	int64_t ms; /* that each answer waits */
	bool answers_lost;
} inbox_rows[] = {
	{"in time", 0, false},
	{"half a second", 500, false},
	{"longer than a worker may be silent", 1500, false},
	{"nearly as long as a lease", 3200, false},
	{"longer than a lease", 3500, false},
	{"half a second, starts had no answer", 500, true},
	{"longer than a lease, starts had no answer", 3500, true},
};
Test(load, answers_wait_in_the_owners_inbox)
{
	static const struct world_job few = {.tasks = 20, .task_ms = 700};
	struct world *w;
	unsigned row, k, n;
	char id[20];

	for (row = 0; row < NELEMS(inbox_rows); row++) {
		w = world_new_settled(2400 + row);
		n = (unsigned)world_owner(w);
		for (k = 0; k < 6; k++) {
			snprintf(id, sizeof(id), "%016x", k + 1);
			world_submit(w, (n + 1) % WORLD_VMS, id, &few);
			world_run(w, 300);
			world_set_inbox_delay(w, n, inbox_rows[row].ms);
			world_lose_start_answers(w,
						 inbox_rows[row].answers_lost);
			world_run(w, 400);
		}
		world_set_inbox_delay(w, n, 0);
		world_lose_start_answers(w, false);
		world_run(w, 20000);
		for (k = 0; k < 6; k++) {
			snprintf(id, sizeof(id), "%016x", k + 1);
			cr_expect_str_eq(world_job_state(w, id), "completed",
					 "%s", inbox_rows[row].name);
		}
		check_free(w, inbox_rows[row].name);
	}
}

/*
 * Guards against an owner short of processor time that polls a busy worker for
 * each end, against pauses while answers come in time, and against a pause
 * where tasks may be unknown or a machine is waited for.
 */
static const struct {
	const char *name;
	int64_t ms; /* time until each start is answered */
	unsigned answers;
	int64_t silence_ms; /* since the last answer */
	bool unsettled, truncated, takedown, draining, idle;
	int64_t least, most; /* of the pause, in ms */
} pause_rows[] = {
	{.name = "no start yet"},
	{.name = "prompt", .ms = 3, .answers = 400},
	{.name = "another region", .ms = 45, .answers = 400},
	{.name = "one late answer", .ms = 700, .answers = 1},
	{.name = "late", .ms = 100, .answers = 400, .least = 120, .most = 125},
	{.name = "later", .ms = 149, .answers = 400, .least = 240, .most = 250},
	{.name = "timeouts",
	 .ms = 790,
	 .answers = 400,
	 .least = 240,
	 .most = POLL_PAUSE_MAX_MS},
	{.name = "long ago", .ms = 790, .answers = 400, .silence_ms = 1000},
	{.name = "not settled", .ms = 790, .answers = 400, .unsettled = true},
	{.name = "ends cut", .ms = 790, .answers = 400, .truncated = true},
	{.name = "takedown", .ms = 790, .answers = 400, .takedown = true},
	{.name = "draining", .ms = 790, .answers = 400, .draining = true},
	{.name = "idle", .ms = 790, .answers = 400, .idle = true},
};
Test(load, a_late_owner_pauses_between_polls)
{
	struct sched_options o = {.vm = bstr_lit("vm0"),
				  .zone = bstr_lit("east")};
	struct task task = {.phase = PHASE_RUNNING};
	struct worker w;
	struct sched *s;
	unsigned row, k;
	int64_t pause;

	for (row = 0; row < NELEMS(pause_rows); row++) {
		s = sched_new(&o);
		s->now = 1000000;
		s->settled = !pause_rows[row].unsettled;
		w = (struct worker){
			.ends_truncated = pause_rows[row].truncated,
			.takedown_pending = pause_rows[row].takedown};
		w.row.draining = pause_rows[row].draining;
		TAILQ_INIT(&w.tasks);
		if (!pause_rows[row].idle)
			TAILQ_INSERT_TAIL(&w.tasks, &task, worker_entry);
		for (k = 0; k < pause_rows[row].answers; k++, s->now++)
			start_window_update(s, pause_rows[row].ms);
		s->now += pause_rows[row].silence_ms;
		pause = poll_pause_end(s, &w) - s->now;
		cr_expect_geq(pause, pause_rows[row].least, "%s: %lld",
			      pause_rows[row].name, (long long)pause);
		cr_expect_leq(pause, pause_rows[row].most, "%s: %lld",
			      pause_rows[row].name, (long long)pause);
		sched_free(s);
	}
}

/* Returns the number of lists that an owner received. */
static uint64_t lists_count(const struct sched *s)
{
	const struct worker *k;
	uint64_t n = 0;

	for (k = s->workers; k; k = k->hh.next)
		n += k->list_count;
	return n;
}

/*
 * Runs 300 jobs with a task each, of different lengths, while starts seem to be
 * answered in answer_ms. Returns the number of polls that were answered.
 */
static uint64_t paused_world_polls(int64_t answer_ms, const char *name)
{
	struct world_job job = {.tasks = 1};
	struct world *w = world_new_settled(2080);
	unsigned n = (unsigned)world_owner(w), k;
	struct sched *s = world_sched(w, n);
	const struct worker *v;
	uint64_t before = lists_count(s);
	char id[24];

	for (k = 0; k < 1200; k++) {
		if (k % 2 == 0 && k < 600) {
			snprintf(id, sizeof(id), "%x000000000000%03x",
				 k / 2 % 16, k / 2);
			job.task_ms = 100 + 37 * (k / 2 % 16);
			world_submit(w, (n + 1) % WORLD_VMS, id, &job);
		}
		s->start_answer_us = 1000 * answer_ms;
		s->start_answer_expires = s->now + 1000;
		world_run(w, 5);
		for (v = s->workers; v; v = v->hh.next)
			cr_expect_lt(s->now - v->answered_at,
				     POLL_WAIT_MAX_MS + 200, "%s", name);
	}
	for (k = 0; k < 300; k++) {
		snprintf(id, sizeof(id), "%x000000000000%03x", k % 16, k);
		cr_expect_str_eq(world_job_state(w, id), "completed", "%s %s",
				 name, id);
	}
	cr_expect_eq(world_starts(w), 300, "%s: %u", name, world_starts(w));
	before = lists_count(s) - before;
	check_free(w, name);
	return before;
}

/*
 * Guards against a pause that saves no polls, that loses ends, or at whose
 * expense leases are renewed later.
 */
Test(load, a_late_owner_polls_less_and_renews_leases)
{
	uint64_t prompt = paused_world_polls(3, "prompt");
	uint64_t late = paused_world_polls(START_SLOW_MS, "late");

	cr_expect_lt(4 * late, 3 * prompt, "%llu polls, %llu",
		     (unsigned long long)late, (unsigned long long)prompt);
}

/*
 * Guards against counts in OWNER_LOAD that don't tell ends listed again from
 * new ones: in an overload it then can't be seen what polls cost.
 */
static const struct {
	const char *name;
	int64_t store_delay_ms;
	bool listed_again;
} repeat_rows[] = {
	{"the store answers at once", 0, false},
	{"commits take longer than a poll", 900, true},
};
Test(load, listed_again_is_counted_apart)
{
	static const struct world_job job = {.tasks = 40, .task_ms = 1500};
	const struct load *l;
	struct world *w;
	unsigned row;

	for (row = 0; row < NELEMS(repeat_rows); row++) {
		w = world_new_settled(2300 + row);
		world_submit(w, 0, "00000000000000aa", &job);
		world_run(w, 1000);
		world_sched(w, (unsigned)world_owner(w))->load.log_at =
			INT64_MAX; /* so that the counts aren't reset */
		world_set_store_delay(w, repeat_rows[row].store_delay_ms);
		world_run(w, 4000);
		l = &world_sched(w, (unsigned)world_owner(w))->load;
		cr_expect_eq(l->new_ends, 40, "%s: %u ends are new",
			     repeat_rows[row].name, l->new_ends);
		cr_expect_eq(l->ends > l->new_ends,
			     repeat_rows[row].listed_again, "%s: %u listed",
			     repeat_rows[row].name, l->ends);
		cr_expect_leq(l->new_runs, 40, "%s: %u runs are new",
			      repeat_rows[row].name, l->new_runs);
		check_free(w, repeat_rows[row].name);
	}
}

/*
 * Guards against placement passes that go through all open jobs, most of which
 * run and have nothing to place: the starts of those that wait come late.
 */
static const struct {
	const char *name;
	unsigned running; /* jobs of one task */
	unsigned waiting; /* jobs beyond the room of the workers */
} walk_rows[] = {
	{"nothing waits", 30, 0},
	{"one job waits", 48, 1},
	{"five jobs wait", 48, 5},
};
Test(load, passes_walk_only_jobs_with_pending_tasks)
{
	static const struct world_job lasting = {.tasks = 1, .task_ms = 60000};
	unsigned row, k, before, passes;
	struct sched *s;
	struct world *w;
	char id[20];

	for (row = 0; row < NELEMS(walk_rows); row++) {
		w = world_new_settled(2320 + row);
		s = world_sched(w, (unsigned)world_owner(w));
		for (k = 0; k < walk_rows[row].running + walk_rows[row].waiting;
		     k++) {
			snprintf(id, sizeof(id), "%016x", k + 1);
			world_submit(w, k % WORLD_VMS, id, &lasting);
			world_run(w, 20);
		}
		world_run(w, 3000);
		cr_assert_eq(world_starts(w), walk_rows[row].running);
		s->load = (struct load){.log_at = INT64_MAX};
		s->place_due = true;
		before = world_starts(w);
		world_run(w, 3000);
		passes = s->load.place_passes;
		cr_expect_geq(passes, 1);
		cr_expect_eq(s->load.walked_jobs,
			     passes * walk_rows[row].waiting,
			     "%s: %u jobs in %u passes", walk_rows[row].name,
			     s->load.walked_jobs, passes);
		cr_expect_eq(world_starts(w), before);
		check_free(w, walk_rows[row].name);
	}
}

/*
 * Guards against free resources of a pool that differ from those of its
 * workers: jobs that fit would wait, or be stored as begun without room.
 */
Test(load, the_room_of_a_pool_is_that_of_its_workers)
{
	static struct sched s;
	struct worker workers[7], *list[7], *w;
	struct pool p = {.workers = list, .count = NELEMS(list)}, fresh;
	struct resources need, room;
	unsigned seed = 77, k, taken = 0;

	for (k = 0; k < 20000; k++) {
		if (k % 40 == 0) {
			memset(workers, 0, sizeof(workers));
			for (size_t i = 0; i < p.count; i++) {
				w = list[i] = &workers[i];
				w->row.capacity = (struct resources){
					rand_r(&seed) % 6, rand_r(&seed) % 4,
					rand_r(&seed) % 3};
				/* One worker may hold more than it has. */
				w->used.cpu = i ? 0 : rand_r(&seed) % 8;
			}
			pool_measure(&s, &p);
		}
		w = list[(unsigned)rand_r(&seed) % p.count];
		need = (struct resources){rand_r(&seed) % 3, rand_r(&seed) % 2,
					  rand_r(&seed) % 2};
		room = worker_free_room(w);
		if (!resources_fit(need, room))
			continue;
		taken++;
		pool_take_room(&p, room, need);
		w->used = resources_add(w->used, need);
		if (p.max_is_stale)
			pool_measure(&s, &p);
		fresh = p;
		pool_measure(&s, &fresh);
		cr_assert(!memcmp(&p.total_room, &fresh.total_room,
				  sizeof(p.total_room)));
		cr_assert(!memcmp(&p.max_room, &fresh.max_room,
				  sizeof(p.max_room)));
		cr_assert(!memcmp(&p.max_holders, &fresh.max_holders,
				  sizeof(p.max_holders)));
	}
	cr_expect_gt(taken, 2000, "%u", taken);
}

/*
 * Guards against passes that read the free room of all workers of a pool after
 * each step that they place: an owner short of processor time starts less.
 */
static const struct {
	const char *name;
	unsigned jobs; /* of one task */
	unsigned workers;
} room_rows[] = {
	{"a small pool", 30, 6},
	{"a large pool", 400, 200},
};
Test(load, a_pass_reads_the_room_of_workers_once)
{
	static const struct world_job job = {.tasks = 1, .task_ms = 60000};
	unsigned row, k, passes;
	struct sched *s;
	struct world *w;
	char id[20];

	for (row = 0; row < NELEMS(room_rows); row++) {
		w = world_new(2340 + row, WORLD_VMS, room_rows[row].workers);
		world_run(w, 6000);
		s = world_sched(w, (unsigned)world_owner(w));
		s->load = (struct load){.log_at = INT64_MAX};
		for (k = 0; k < room_rows[row].jobs; k++) {
			snprintf(id, sizeof(id), "%016x", k + 1);
			world_submit(w, k % WORLD_VMS, id, &job);
		}
		world_run(w, 3000);
		cr_expect_eq(world_starts(w), room_rows[row].jobs, "%u",
			     world_starts(w));
		passes = s->load.place_passes;
		cr_expect_leq(s->load.measured_rooms,
			      (passes + room_rows[row].jobs / 4) *
				      room_rows[row].workers,
			      "%s: %u rooms in %u passes", room_rows[row].name,
			      s->load.measured_rooms, passes);
		check_free(w, room_rows[row].name);
	}
}
