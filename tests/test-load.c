/*
 * Tests of the scheduler under patterns of load and faults: a burst at a
 * takeover, overload, a large fleet, and an owner with little processor time.
 */
#include "../sched-state.h"
#include "world-calm.h"

#include <stdio.h>
#include <string.h>

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
		n = owner(w);
		world_submit(w, other(w), "00000000000000aa", &backlog);
		world_run(w, 20);
		world_kill_vm(w, n);
		for (k = 0; k < 400 && world_owner(w) == -1; k++)
			world_run(w, 10);
		world_run(w, 500);
		cr_expect_gt(world_move_count(w), 0, "%s",
			     burst_rows[row].name);
		world_check_free(w, burst_rows[row].name);
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
		world_check_free(w, "only jobs that fit start");
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
		world_check_free(w, "busy pools keep their machines");
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
		world_check_free(w, "slow answers of the feed");
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

/*
 * Guards against a successor that takes jobs for new that were submitted while
 * there was no owner.
 */
Test(load, jobs_wait_from_their_submission)
{
	static const struct world_job one = {.tasks = 1, .task_ms = 3000};
	struct world *w = world_new_settled(1960);
	unsigned old = (unsigned)world_owner(w), vm = (old + 1) % WORLD_VMS, k;
	const char *id = "00000000000000aa";
	int64_t waited_ms = 0;
	struct job *j = NULL;
	struct sched *s = NULL;

	world_kill_vm(w, old);
	world_submit(w, vm, id, &one);
	for (k = 0; !j && k < 800; k++) {
		world_run(w, 5);
		waited_ms += 5;
		if (world_owner(w) == -1 || world_owner(w) == (int)old)
			continue;
		s = world_sched(w, (unsigned)world_owner(w));
		j = sched_job_find(s, id);
	}
	cr_assert_not_null(j);
	cr_assert_gt(waited_ms, 1000, "the owner was replaced at once");
	cr_expect_leq(llabs(s->now - j->submitted_at - waited_ms), 100,
		      "%lld of %lld ms", (long long)(s->now - j->submitted_at),
		      (long long)waited_ms);
	world_check_free(w, "jobs submitted without an owner");
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
		world_check_free(w, beat_rows[row].name);
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
	world_check_free(w, "final jobs");
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
		world_check_free(w, turn_rows[row].name);
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
		world_check_free(w, slow_start_rows[row].name);
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
		world_check_free(w, "an end listed late");
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
		world_check_free(w, behind_rows[row / 10].name);
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
		world_check_free(w, walk_rows[row].name);
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
		world_check_free(w, room_rows[row].name);
	}
}

/*
 * Guards against a log that can't tell which queue's jobs were late and when:
 * an outage in the turn of one queue looks like a slow owner.
 */
Test(load, each_queue_with_jobs_is_logged)
{
	static const struct world_job quick = {.tasks = 1, .task_ms = 200};
	struct world *w = world_new_settled(1990);
	unsigned before = world_log_count(w, LOG_QUEUE_LOAD);

	world_run(w, 3000);
	cr_expect_eq(world_log_count(w, LOG_QUEUE_LOAD), before,
		     "a line without jobs");
	world_submit(w, 0, "00000000000000aa", &quick);
	world_run(w, 3000);
	cr_expect_geq(world_log_count(w, LOG_QUEUE_LOAD), before + 1);
	cr_expect_leq(world_log_count(w, LOG_QUEUE_LOAD), before + 2);
	world_check_free(w, "the queue's jobs are logged");
}
