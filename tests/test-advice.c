/*
 * Tests of placement tickets: which workers the advice service is asked about.
 */
#include "../sched-state.h"
#include "world-calm.h"

#define JOB_FILLS "a000000000000001"
#define JOB_QUICK "b000000000000001"

static const struct world_job quick = {.tasks = 1, .task_ms = 100};

/* Returns a world with a queue that needs tickets. */
static struct world *world_new_advised(uint64_t seed, unsigned workers,
				       unsigned first, unsigned end)
{
	struct world *w = world_new(seed, 4, workers);

	world_require_advice(w);
	world_set_advised(w, first, end);
	world_run(w, 3000);
	cr_assert_neq(world_owner(w), -1);
	return w;
}

/* A step waits for ever: its good workers are never asked about. */
static const struct {
	const char *name;
	unsigned workers, first, end; /* of the good ones */
	int64_t advice_ms;
	unsigned full; /* tasks that fill the first good workers */
	int64_t within_ms;
} rows[] = {
	{"among the first", 40, 5, 6, 1, 0, 1500},
	{"beyond the first request", 40, 36, 40, 1, 0, 1500},
	{"the last of many", 300, 299, 300, 1, 0, 2500},
	{"the first ones are full", 40, 0, 36, 1, 30 * 8, 2500},
	{"the service is slow", 300, 299, 300, 20, 0, 12000},
	{"longer than a request may take", 40, 39, 40, 150, 0, 30000},
};
Test(advice, a_good_worker_is_found_anywhere)
{
	struct world_job fills = {.long_running = true};
	struct world *w;
	unsigned i;

	for (i = 0; i < NELEMS(rows); i++) {
		w = world_new_advised(5300 + i, rows[i].workers, rows[i].first,
				      rows[i].end);
		world_set_advice_time(w, rows[i].advice_ms);
		fills.tasks = rows[i].full;
		if (fills.tasks)
			world_submit(w, 0, JOB_FILLS, &fills);
		world_run(w, 2000);
		cr_expect_eq(world_starts(w), rows[i].full, "%s: %u",
			     rows[i].name, world_starts(w));
		world_submit(w, 1, JOB_QUICK, &quick);
		world_run(w, rows[i].within_ms);
		cr_expect_str_eq(world_job_state(w, JOB_QUICK), "completed",
				 "%s", rows[i].name);
		world_check_free(w, rows[i].name);
	}
}

/* A good worker is lost, and those that were not asked about are good. */
Test(advice, another_one_is_found_after_a_loss)
{
	static const struct world_job lasting = {.tasks = 1,
						 .long_running = true};
	struct world *w = world_new_advised(5310, 40, 5, 6);

	world_submit(w, 0, JOB_FILLS, &lasting);
	world_run(w, 1000);
	cr_assert_eq(world_starts_of(w, 5), 1);
	world_set_advised(w, 36, 40);
	world_set_machine_presence(w, 5, WORLD_MACHINE_GONE);
	world_submit(w, 0, JOB_QUICK, &quick);
	world_run(w, 2500);
	cr_expect_str_eq(world_job_state(w, JOB_QUICK), "completed");
	world_check_free(w, "lost");
}

/* Steps for which no worker is good keep others from being asked about. */
Test(advice, steps_without_a_good_worker_ask_once)
{
	struct world *w = world_new_advised(5320, 150, 0, 0);
	unsigned i, calls;
	char id[JOB_ID_BYTES + 1];

	world_set_advice_time(w, 1);
	for (i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "c0000000000000%02u", i);
		world_submit(w, 0, id, &quick);
	}
	world_run(w, 10000);
	calls = world_advice_calls(w);
	cr_expect_geq(calls, 2 * 20);
	cr_expect_eq(world_log_count(w, LOG_ADVICE_NONE), 20);
	world_run(w, 5000);
	cr_expect_eq(world_advice_calls(w), calls);
	cr_expect_eq(world_starts(w), 0);
	/* A worker that joins is asked about. */
	world_set_advised(w, 7, 8);
	world_replace_worker(w, 7);
	world_run(w, 8000);
	cr_expect_eq(world_starts(w), 20, "%u", world_starts(w));
	world_check_free(w, "nobody is good");
}

/* Many waiting steps exceed the service's rate, or some are never served. */
Test(advice, many_steps_share_the_service)
{
	static const struct world_job small = {
		.tasks = 1, .task_ms = 100, .cpu = 500};
	struct world *w = world_new_advised(5330, 150, 149, 150);
	unsigned i, done = 0;
	char id[JOB_ID_BYTES + 1];

	world_set_advice_time(w, 1);
	for (i = 0; i < 100; i++) {
		snprintf(id, sizeof(id), "d0000000000000%02u", i);
		world_submit(w, 0, id, &small);
	}
	world_run(w, 25000);
	for (i = 0; i < 100; i++) {
		snprintf(id, sizeof(id), "d0000000000000%02u", i);
		done += !strcmp(world_job_state(w, id), "completed");
	}
	cr_expect_eq(done, 100, "%u", done);
	cr_expect_leq(world_advice_waiting_max(w), 4);
	world_check_free(w, "many steps");
}

/* Calls of an earlier ownership raise the limit of those in flight. */
Test(advice, late_answers_of_an_earlier_ownership_do_not_count)
{
	static const struct {
		uint64_t epoch;
		unsigned in_flight;
	} answers[] = {{6, 3}, {5, 3}, {4, 3}, {6, 2}};
	struct sched_options o = {.vm = bstr_lit("vm"), .seed = 1};
	struct request rq = {.purpose = FOR_ADVICE};
	struct sched *s = sched_new(&o);
	struct answer a = {0};
	unsigned i;

	s->own.epoch = 6;
	s->advice_calls_in_flight = 4;
	for (i = 0; i < NELEMS(answers); i++) {
		rq.epoch = answers[i].epoch;
		advice_answer(s, &rq, &a);
		cr_expect_eq(s->advice_calls_in_flight, answers[i].in_flight,
			     "answer %u", i);
	}
	sched_free(s);
}
