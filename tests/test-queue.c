#include "support-sim.h"

#include <criterion/criterion.h>
#include <string.h>

/*
 * Tests of the order in which jobs start, by their effects: one entry VM, one
 * pool of 4 workers with 8 slots each, and three teams, two of equal shares.
 */
#define SLOTS 32

static const struct sim_plan plan = {
	.seed = 3,
	.entries = 1,
	.dcs = 1,
	.slots = 8,
	.per_rack = 2,
	.pools = {{.budget = 2, .workers = 4}},
	.teams = {{1, 1000}, {1, 1000}, {3, 1000}},
	.reboot_ms = 10000,
};

enum work { QUICK, LONG, URGENT };

static unsigned submit(struct sim *s, unsigned team, enum work work,
		       int64_t declared_ms)
{
	struct sim_job j = {.team = team,
			    .label = work,
			    .urgent = work == URGENT,
			    .run_ms = work == LONG ? 60000 : 300,
			    .declared_ms = declared_ms};

	return sim_submit(s, 0, &j);
}

static void submit_many(struct sim *s, unsigned n, unsigned team,
			enum work work, int64_t declared_ms)
{
	while (n--)
		submit(s, team, work, declared_ms);
}

static int64_t wait_time(const struct sim *s, unsigned job)
{
	const struct sim_job *j = &s->jobs[job];

	return (j->started_at ? j->started_at : s->now) - j->submitted_at;
}

/* Running tasks of each team, counted at the workers. */
static int running[SIM_TEAMS];

static void task_started(struct sim *s, unsigned job, struct sim_worker *w)
{
	(void)w;
	running[s->jobs[job].team]++;
}

static void task_ended(struct sim *s, unsigned job, struct sim_worker *w)
{
	(void)w;
	running[s->jobs[job].team]--;
}

static struct sim *sim_start(void)
{
	struct sim *s = sim_new(&plan);

	memset(running, 0, sizeof(running));
	s->hooks.started = task_started;
	s->hooks.ended = task_ended;
	return s;
}

/*
 * All slots run long jobs, whatever run time these declared, and more are
 * queued.  Urgent and quick jobs still start in time.  Preempted jobs finish
 * later, and checkpoints keep their total run time from growing.
 */
Test(queue, starts_in_time_while_full)
{
	static const struct {
		enum work work;
		unsigned count;
		int64_t long_declared, max_wait_ms;
	} cases[] = {
		{URGENT, 1, 60000, 4200},  {URGENT, 4, 60000, 4200},
		{URGENT, 4, 600000, 4200}, {URGENT, 4, 6000, 4200},
		{URGENT, 4, 100, 4200},	   {QUICK, 1, 60000, 4200},
		{QUICK, 4, 60000, 4200},   {QUICK, 4, 100, 4200},
	};
	struct sim *s;
	unsigned i, k, first;

	for (i = 0; i < NELEMS(cases); i++) {
		s = sim_start();
		submit_many(s, 2 * SLOTS, 0, LONG, cases[i].long_declared);
		sim_run(s, 20000);
		first = (unsigned)s->job_count;
		submit_many(s, cases[i].count, 1, cases[i].work, 300);
		sim_run(s, 30000);
		for (k = first; k < s->job_count; k++)
			cr_expect(wait_time(s, k) <= cases[i].max_wait_ms,
				  "case %u: job %u waited %lld ms", i, k,
				  (long long)wait_time(s, k));
		cr_expect(s->checkpoints <= 2 * cases[i].count + 4,
			  "case %u: %u checkpoints", i,
			  (unsigned)s->checkpoints);
		sim_run(s, 240000);
		for (k = 0; k < s->job_count; k++) {
			cr_expect_eq(s->jobs[k].state, JOB_DONE, "case %u: %u",
				     i, k);
			cr_expect(s->jobs[k].total_run_ms <=
				  s->jobs[k].run_ms + 5);
			cr_expect(s->jobs[k].starts <= 4);
		}
		sim_free(s);
	}
}

/*
 * A stream of quick jobs could keep every slot for ever.  Long jobs of the same
 * team must start nevertheless, and quick jobs must not wait behind a backlog
 * of long ones.
 */
Test(queue, neither_starves)
{
	struct sim *s = sim_start();
	unsigned long_count = 8, i, late_count = 0, quick_count = 0;

	submit_many(s, 5, 0, QUICK, 300);
	sim_run(s, 2000); /* until run times are learnt */
	submit_many(s, long_count, 0, LONG, 60000);
	submit_many(s, 400, 0, QUICK, 300);
	for (i = 0; i < 600; i++) {
		/* 100 jobs a second use 30 slots */
		submit_many(s, 10, 0, QUICK, 300);
		if (i == 300)
			submit_many(s, 100, 0, LONG, 60000);
		sim_run(s, 100);
	}
	for (i = 5; i < 5 + long_count; i++)
		cr_expect(wait_time(s, i) < 60000, "long %u waited %lld", i,
			  (long long)wait_time(s, i));
	for (i = 5 + long_count + 400; i < s->job_count; i++) {
		if (s->jobs[i].label != QUICK)
			continue;
		quick_count++;
		late_count += wait_time(s, i) > 20000;
	}
	cr_expect(late_count * 100 < quick_count, "%u of %u late", late_count,
		  quick_count);
	sim_free(s);
}

/*
 * When all slots are in use, each team reaches its share within seconds, also
 * one that comes last while all slots run jobs of a minute; unused shares go to
 * the other teams.  A deviation of a quarter is accepted, since coming closer
 * would only preempt more tasks.
 */
Test(queue, shares_table)
{
	static const struct {
		int demand[3], expected[3];
	} cases[] = {
		{{200, 200, 200}, {6, 6, 19}}, {{200, 200, 0}, {16, 16, 0}},
		{{200, 0, 200}, {8, 0, 24}},   {{200, 4, 0}, {28, 4, 0}},
		{{200, 0, 0}, {32, 0, 0}},     {{2, 2, 200}, {2, 2, 28}},
	};
	int k, t, n;
	unsigned i;
	struct sim *s;

	for (i = 0; i < NELEMS(cases); i++) {
		s = sim_start();
		for (k = 0; k < 200; k++)
			for (t = 0; t < 3; t++)
				if (k < cases[i].demand[t])
					submit(s, (unsigned)t, LONG, 60000);
		sim_run(s, 20000);
		for (t = 0; t < 3; t++) {
			n = running[t];
			cr_expect(4 * n + 4 >= 3 * cases[i].expected[t] &&
					  4 * n <= 5 * cases[i].expected[t] + 4,
				  "case %u: team %d runs %d of %d", i, t, n,
				  cases[i].expected[t]);
		}
		sim_free(s);
	}
}

/*
 * An eighth of the slots is reserved for quick jobs as long as there were any
 * lately; otherwise long jobs get all slots.
 */
Test(queue, lends_what_it_keeps)
{
	static const struct {
		unsigned quick_count;
		int64_t wait;
		int expected;
	} cases[] = {{0, 12000, 32}, {1, 100, 28}, {1, 15000, 32}};
	struct sim *s;
	unsigned i;

	for (i = 0; i < NELEMS(cases); i++) {
		s = sim_start();
		submit_many(s, cases[i].quick_count, 1, QUICK, 300);
		sim_run(s, cases[i].wait ? 1000 : 0);
		submit_many(s, 2 * SLOTS, 0, LONG, 60000);
		sim_run(s, cases[i].wait);
		cr_expect_eq(running[0], cases[i].expected, "case %u: %d", i,
			     running[0]);
		sim_free(s);
	}
}
