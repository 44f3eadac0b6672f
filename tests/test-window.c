/*
 * Tests of the window of starts: how many may be in flight, and which.
 */
#include "../sched-state.h"
#include "world-calm.h"

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
Test(window, starts_are_as_many_as_are_answered)
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
Test(window, what_the_window_held_back_is_started)
{
	static const struct world_job wide = {.tasks = 40, .task_ms = 300};
	struct world *w = world_new_settled(2050);
	unsigned n = owner(w), k;
	struct sched *s = world_sched(w, n);

	world_submit(w, other(w), "00000000000000aa", &wide);
	for (k = 0; k < 600; k++) {
		s->start_window = 4 * START_WINDOW_UNIT;
		cr_expect_leq(s->starts_in_flight, 5);
		world_run(w, 5);
	}
	cr_expect_eq(world_starts(w), 40);
	cr_expect_str_eq(world_job_state(w, "00000000000000aa"), "completed");
	world_check_free(w, "a small window");
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
Test(window, the_window_is_shared_by_the_pools)
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
		n = owner(w);
		s = world_sched(w, n);
		backlog.second_queue = share_rows[row].second_first;
		few.second_queue = !backlog.second_queue;
		for (k = 0; k < 480; k++) {
			if (k == 0)
				world_submit(w, other(w), "00000000000000aa",
					     &backlog);
			if (k == 40)
				world_submit(w, other(w), "00000000000000bb",
					     &few);
			s->start_window = START_WINDOW_UNIT;
			world_run(w, 5);
		}
		cr_expect_str_eq(world_job_state(w, "00000000000000bb"),
				 "completed", "%s", share_rows[row].name);
		world_check_free(w, share_rows[row].name);
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
Test(window, a_wait_has_the_reason_of_the_latest_pass)
{
	struct world_job wide = {.tasks = 100, .task_ms = 4000};
	const struct job *j;
	struct world *w;
	struct sched *s;
	unsigned row, k, n;

	for (row = 0; row < NELEMS(reason_rows); row++) {
		w = world_new_settled(2070 + row);
		n = owner(w);
		s = world_sched(w, n);
		wide.max_per_worker = reason_rows[row].max_per_worker;
		world_set_order_delay(w, 400);
		world_submit(w, other(w), "00000000000000aa", &wide);
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
		world_check_free(w, reason_rows[row].name);
	}
}
