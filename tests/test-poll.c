/*
 * Tests of the polls of workers: what they cost an owner, and an owner that
 * processes their answers late.
 */
#include "../sched-state.h"
#include "world-calm.h"

#include <stdio.h>

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
Test(poll, idle_workers_cost_little)
{
	const struct sched *s;
	unsigned row, k;
	uint64_t before, asked;
	struct world *w;

	for (row = 0; row < NELEMS(idle_rows); row++) {
		w = world_new(1900 + row, WORLD_VMS, idle_rows[row].workers);
		world_run(w, 5000);
		s = world_sched(w, owner(w));
		before = s->last_request;
		for (k = 0; k < 20; k++) {
			world_run(w, 200);
			cr_expect_eq(world_eligible_count(w),
				     idle_rows[row].workers, "%s",
				     idle_rows[row].name);
		}
		asked = (s->last_request - before) / 4;
		cr_expect_geq(asked, idle_rows[row].least, "%s: %u",
			      idle_rows[row].name, (unsigned)asked);
		cr_expect_leq(asked, idle_rows[row].most, "%s: %u",
			      idle_rows[row].name, (unsigned)asked);
		for (k = 0; k < WORLD_VMS; k++)
			world_cut_worker(w, k, 0, true);
		world_run(w, 2500);
		cr_expect_eq(world_eligible_count(w),
			     idle_rows[row].workers - 1, "%s",
			     idle_rows[row].name);
		world_check_free(w, idle_rows[row].name);
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
Test(poll, answers_wait_in_the_owners_inbox)
{
	static const struct world_job few = {.tasks = 20, .task_ms = 700};
	struct world *w;
	unsigned row, k, n;
	char id[20];

	for (row = 0; row < NELEMS(inbox_rows); row++) {
		w = world_new_settled(2400 + row);
		n = owner(w);
		for (k = 0; k < 6; k++) {
			snprintf(id, sizeof(id), "%016x", k + 1);
			world_submit(w, other(w), id, &few);
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
		world_check_free(w, inbox_rows[row].name);
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
Test(poll, a_late_owner_pauses_between_polls)
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
	unsigned n = owner(w), k;
	struct sched *s = world_sched(w, n);
	const struct worker *v;
	uint64_t before = lists_count(s);
	char id[24];

	for (k = 0; k < 1200; k++) {
		if (k % 2 == 0 && k < 600) {
			snprintf(id, sizeof(id), "%x000000000000%03x",
				 k / 2 % 16, k / 2);
			job.task_ms = 100 + 37 * (k / 2 % 16);
			world_submit(w, other(w), id, &job);
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
	world_check_free(w, name);
	return before;
}

/*
 * Guards against a pause that saves no polls, that loses ends, or at whose
 * expense leases are renewed later.
 */
Test(poll, a_late_owner_polls_less_and_renews_leases)
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
Test(poll, listed_again_is_counted_apart)
{
	static const struct world_job job = {.tasks = 40, .task_ms = 1500};
	const struct load *l;
	struct world *w;
	unsigned row;

	for (row = 0; row < NELEMS(repeat_rows); row++) {
		w = world_new_settled(2300 + row);
		world_submit(w, 0, "00000000000000aa", &job);
		world_run(w, 1000);
		world_sched(w, owner(w))->load.log_at =
			INT64_MAX; /* so that the counts aren't reset */
		world_set_store_delay(w, repeat_rows[row].store_delay_ms);
		world_run(w, 4000);
		l = &world_sched(w, owner(w))->load;
		cr_expect_eq(l->new_ends, 40, "%s: %u ends are new",
			     repeat_rows[row].name, l->new_ends);
		cr_expect_eq(l->ends > l->new_ends,
			     repeat_rows[row].listed_again, "%s: %u listed",
			     repeat_rows[row].name, l->ends);
		cr_expect_leq(l->new_runs, 40, "%s: %u runs are new",
			      repeat_rows[row].name, l->new_runs);
		world_check_free(w, repeat_rows[row].name);
	}
}
