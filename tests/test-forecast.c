/*
 * Tests of the forecast of what pools need: loads that come in turns, in a
 * burst, steadily or not at all.  Nothing here knows of workers or a network.
 */
#include "../sched-demand.h"

#include <criterion/criterion.h>
#include <math.h>

#define PASS_MS 100
#define CORE 1000.0 /* thousandths */

/* A load of one pool: arriving work, in cores, by the time. */
struct load_row {
	const char *name;
	double home;	  /* cores that the operator gave it */
	double high, low; /* cores arriving in the turn, and between turns */
	int64_t turn_ms, cycle_ms;
	double slack_ms;
	/* What is to hold after two cycles, at the start of the third turn. */
	double reserve_min, reserve_max;
};

/* Feeds a load into a demand for a while, from a time in its cycle on. */
static void load_run(struct sched *s, struct demand *d,
		     const struct load_row *r, int64_t ms)
{
	int64_t until = s->now + ms;

	while (s->now < until) {
		s->now += PASS_MS;
		d->arrived += PASS_MS * CORE *
			      (s->now % r->cycle_ms < r->turn_ms ? r->high
								 : r->low);
		demand_update(s, d, r->home * CORE);
	}
}

/* Returns a scheduler of which only what the forecast reads is set. */
static struct sched sched_of_moves(int64_t move_ms)
{
	return (struct sched){.options.move_ms = move_ms};
}

/*
 * Guards against a reserve that fits one load only: it has to follow from the
 * mean that was seen, the slack of the jobs and the time of a move.
 */
static const struct load_row reserve_rows[] = {
	{"turns of 4.5 s", 992, 1786, 22, 4500, 18000, 1200, 120, 200},
	{"turns of 3 s", 992, 1786, 22, 3000, 12000, 1200, 120, 200},
	{"turns of 40 s", 992, 1786, 22, 40000, 160000, 1200, 50, 300},
	{"jobs that can wait", 992, 1786, 22, 4500, 18000, 4000, 0, 0},
	{"jobs that can't", 992, 1786, 22, 4500, 18000, 250, 350, 500},
	{"steady", 500, 400, 400, 60000, 60000, 1200, 120, 140},
	{"nothing arrives", 900, 0, 0, 60000, 60000, 1200, 15, 40},
	{"a small pool", 16, 24, 1, 4500, 18000, 1200, 2, 3},
	{"3,000 workers", 20000, 48000, 500, 4500, 18000, 1200, 3000, 4500},
};
Test(forecast, the_reserve_follows_demand_and_slack)
{
	const struct load_row *r;
	struct service pool = {0};
	struct pool_load p = {.service = &pool};
	struct demand d;
	struct sched s;
	double reserve;
	size_t i;

	for (i = 0; i < NELEMS(reserve_rows); i++) {
		r = &reserve_rows[i];
		s = sched_of_moves(1500);
		d = (struct demand){.jobs = 1, .slack_ms = r->slack_ms};
		p.demand = &d;
		load_run(&s, &d, r, 2 * r->cycle_ms);
		reserve = pool_reserve_cores(&s, &p, 16 * CORE) / CORE - 16;
		cr_expect(reserve >= r->reserve_min &&
				  reserve <= r->reserve_max,
			  "%s: %.0f", r->name, reserve);
	}
}

/*
 * Guards against machines that are called for when the turn of a pool is half
 * over, and against some that are called for without need.
 */
static const struct {
	const char *name;
	struct load_row load;
	double cores;	   /* of the pool */
	double waiting_ms; /* of work, by its cores */
	int64_t after_ms;  /* since the start of a turn */
	double need_min, need_max;
} need_rows[] = {
	{"before the turn",
	 {"", 992, 1786, 22, 4500, 18000, 1500, 0, 0},
	 992,
	 0,
	 0,
	 0,
	 100},
	{"0.3 s into it",
	 {"", 992, 1786, 22, 4500, 18000, 1500, 0, 0},
	 992,
	 0,
	 300,
	 1200,
	 2200},
	{"0.6 s into it",
	 {"", 992, 1786, 22, 4500, 18000, 1500, 0, 0},
	 992,
	 100,
	 600,
	 2200,
	 4200},
	{"later, with enough machines",
	 {"", 992, 1786, 22, 4500, 18000, 1500, 0, 0},
	 2000,
	 0,
	 3000,
	 1700,
	 1800},
	{"1 s after it",
	 {"", 992, 1786, 22, 4500, 18000, 1500, 0, 0},
	 2000,
	 0,
	 5500,
	 20,
	 120},
	{"steady",
	 {"", 500, 400, 400, 1000, 1000, 1500, 0, 0},
	 500,
	 0,
	 3000,
	 390,
	 410},
	{"a queue without arrivals",
	 {"", 500, 0, 0, 1000, 1000, 1500, 0, 0},
	 500,
	 4000,
	 3000,
	 1400,
	 1500},
	{"jobs that can wait",
	 {"", 992, 1786, 22, 4500, 18000, 6000, 0, 0},
	 992,
	 100,
	 600,
	 1700,
	 2200},
};
Test(forecast, machines_are_called_for_in_time)
{
	const struct load_row *r;
	struct service pool = {0};
	struct pool_load p = {.service = &pool};
	struct demand d;
	struct sched s;
	double need;
	size_t i;

	for (i = 0; i < NELEMS(need_rows); i++) {
		r = &need_rows[i].load;
		s = sched_of_moves(1500);
		d = (struct demand){.jobs = 1, .slack_ms = r->slack_ms};
		p.demand = &d;
		p.cores = need_rows[i].cores * CORE;
		p.waiting_work = p.cores * need_rows[i].waiting_ms;
		load_run(&s, &d, r, 2 * r->cycle_ms - PASS_MS);
		load_run(&s, &d, r, need_rows[i].after_ms);
		need = pool_need_cores(&s, &p) / CORE;
		cr_expect(need >= need_rows[i].need_min &&
				  need <= need_rows[i].need_max,
			  "%s: %.0f", need_rows[i].name, need);
	}
}

/* Guards against a forecast that a pass in the same millisecond upsets. */
Test(forecast, passes_without_time_between_change_nothing)
{
	struct load_row r = {"", 100, 80, 80, 1000, 1000, 1500, 0, 0};
	struct sched s = sched_of_moves(1500);
	struct demand d = {0};
	double cores;

	load_run(&s, &d, &r, 3000);
	cores = d.cores;
	demand_update(&s, &d, 100 * CORE);
	cr_expect(fabs(d.cores - cores) < 1, "%.0f, %.0f", cores, d.cores);
}

/*
 * Guards against machines that stand idle in pools much larger than their
 * peaks need at once, and against a pool that gives away what the first jobs of
 * a peak, or its present load, need before others can come.
 */
static const struct {
	const char *name;	/* its peak, or its jobs */
	double home, high, low; /* as in struct load_row */
	int64_t turn_ms, cycle_ms;
	double slack_ms, slack_dev_ms;
	int64_t after_ms; /* since the start of a turn */
	unsigned jobs;	  /* seen */
	double keep_min, keep_max;
} keep_rows[] = {
	{"far above", 992, 1786, 22, 4500, 18000, 1200, 300, 9000, 32, 800,
	 992},
	{"its size", 2200, 2400, 100, 4500, 18000, 1500, 400, 9000, 32, 1000,
	 1400},
	{"in one", 2200, 2400, 100, 4500, 18000, 1500, 400, 3500, 32, 2200,
	 2200},
	{"can wait", 2200, 2400, 100, 4500, 18000, 4000, 400, 9000, 32, 700,
	 1100},
	{"can't", 2200, 2400, 100, 4500, 18000, 250, 0, 9000, 32, 2000, 2200},
	{"steady", 500, 400, 400, 60000, 60000, 1200, 0, 3000, 32, 500, 500},
	{"little", 500, 50, 50, 60000, 60000, 1200, 0, 3000, 32, 500, 500},
	{"for long", 500, 50, 50, 400000, 400000, 1200, 0, 3000, 32, 60, 300},
	{"no turn yet", 2200, 0, 100, 0, 18000, 1500, 400, 3000, 32, 2200,
	 2200},
	{"few jobs", 500, 400, 50, 4500, 18000, 1200, 0, 9000, 31, 500, 500},
	{"no size yet", 0, 50, 50, 60000, 60000, 1200, 0, 3000, 32, 0, 0},
};
Test(forecast, a_pool_keeps_what_its_next_peak_needs_at_once)
{
	struct service pool = {0};
	struct pool_load p = {.service = &pool};
	struct load_row r;
	struct demand d;
	struct sched s;
	double keep;
	size_t i;

	for (i = 0; i < NELEMS(keep_rows); i++) {
		r = (struct load_row){"",
				      keep_rows[i].home,
				      keep_rows[i].high,
				      keep_rows[i].low,
				      keep_rows[i].turn_ms,
				      keep_rows[i].cycle_ms,
				      keep_rows[i].slack_ms,
				      0,
				      0};
		s = sched_of_moves(1500);
		d = (struct demand){.jobs = keep_rows[i].jobs,
				    .slack_ms = keep_rows[i].slack_ms,
				    .slack_dev_ms = keep_rows[i].slack_dev_ms};
		p.demand = &d;
		p.home_size = (unsigned)r.home;
		load_run(&s, &d, &r, 2 * r.cycle_ms - PASS_MS);
		load_run(&s, &d, &r, keep_rows[i].after_ms);
		keep = pool_keep_cores(&s, &p, CORE) / CORE;
		cr_expect(keep >= keep_rows[i].keep_min &&
				  keep <= keep_rows[i].keep_max,
			  "%s: %.0f", keep_rows[i].name, keep);
	}
}
