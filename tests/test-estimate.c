/*
 * Tests of the estimates of run times: drawn jobs of parallel tasks are learnt
 * from and judged.  Nothing here knows of workers or a network.
 */
#include "../sched-state.h"

#include <criterion/criterion.h>
#include <math.h>
#include <stdlib.h>

#define WIDTH_MAX 64
#define JOBS_LEARNT 100
#define JOBS_JUDGED 2000
#define STRETCH 1.6
#define TARGET_MS 600

/* How the run times of a route are distributed, by logarithms. */
struct draw_row {
	const char *name;
	double step_spread;	/* between steps */
	double task_spread;	/* between the tasks of a step */
	double declared_spread; /* of the error of declarations */
	double tail_share, tail_factor;
	unsigned width;
};

/* A step of a job, as it really is. */
struct drawn_step {
	double ms[WIDTH_MAX];
	double declared_ms;
	double longest_ms;
};

/* Returns a uniformly distributed variable between 0 and 1. */
static double draw(void)
{
	return ((double)random() + 0.5) / ((double)RAND_MAX + 1);
}

/* Returns a standard normal variable. */
static double draw_normal(void)
{
	double size = sqrt(-2 * log(draw()));

	return size * cos(2 * M_PI * draw());
}

/* Draws the run times of a step whose typical task takes 1 s. */
static struct drawn_step draw_step(const struct draw_row *r)
{
	double level = log(1000) + r->step_spread * draw_normal();
	struct drawn_step st = {.longest_ms = 0};
	unsigned k;

	st.declared_ms = exp(level + r->declared_spread * draw_normal());
	for (k = 0; k < r->width; k++) {
		st.ms[k] = exp(level + r->task_spread * draw_normal());
		if (draw() < r->tail_share)
			st.ms[k] *= r->tail_factor;
		st.longest_ms = fmax(st.longest_ms, st.ms[k]);
	}
	return st;
}

/* Returns what is observed of a step that began all its tasks age_ms ago. */
static struct step_runs step_runs_at(const struct draw_row *r,
				     const struct drawn_step *st, double age_ms)
{
	struct step_runs runs = {.oldest_ms = (int64_t)age_ms};
	unsigned k;

	for (k = 0; k < r->width; k++) {
		if (st->ms[k] > age_ms) {
			runs.running++;
			runs.age_log_sum += log(age_ms);
			continue;
		}
		runs.ended++;
		runs.log_sum += log(st->ms[k]);
		if (st->ms[k] > (double)runs.longest_ms)
			runs.longest_ms = (int64_t)st->ms[k];
	}
	return runs;
}

/* Learns from drawn steps whose tasks end in the order of their run times. */
static void learn_steps(struct learnt_time *l, const struct draw_row *r)
{
	struct drawn_step st;
	struct step_runs runs;
	unsigned i, k;

	for (i = 0; i < JOBS_LEARNT; i++) {
		st = draw_step(r);
		runs = (struct step_runs){0};
		for (k = 0; k < r->width; k++)
			learnt_add(l, &runs, st.declared_ms, st.ms[k]);
	}
}

static int double_cmp(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/*
 * Guards against estimates by one typical task: a step of eight takes about
 * twice as long, and jobs in time were taken for late.
 */
static const struct draw_row draw_rows[] = {
	{"uneven tasks", 0, 0.5, 0.9, 0, 1, 8},
	{"uneven steps", 0.5, 0.3, 0.9, 0, 1, 8},
	{"good declarations", 0.5, 0.15, 0.2, 0, 1, 8},
	{"a heavy tail", 0.5, 0.15, 0.5, 0.03, 7, 8},
	{"one task", 0.5, 0.3, 0.9, 0, 1, 1},
	{"wide steps", 0.5, 0.3, 0.9, 0, 1, 32},
	{"even tasks", 0.5, 0, 0.9, 0, 1, 8},
};
Test(estimate, a_step_lasts_as_long_as_its_longest_task)
{
	static double ratios[JOBS_JUDGED];
	struct learnt_time l;
	struct drawn_step st;
	struct run_times e;
	struct step_runs runs;
	unsigned i, k;

	for (i = 0; i < NELEMS(draw_rows); i++) {
		srandom(11 + i);
		l = (struct learnt_time){.weight = 0};
		learn_steps(&l, &draw_rows[i]);
		for (k = 0; k < JOBS_JUDGED; k++) {
			st = draw_step(&draw_rows[i]);
			e = learnt_run_times(&l, st.declared_ms);
			runs = (struct step_runs){
				.pending = draw_rows[i].width};
			e = run_times_observed(&e, &runs);
			ratios[k] = (double)step_longest_ms(&e, &runs) /
				    st.longest_ms;
		}
		qsort(ratios, JOBS_JUDGED, sizeof(*ratios), double_cmp);
		cr_expect(ratios[JOBS_JUDGED / 2] > 0.8 &&
				  ratios[JOBS_JUDGED / 2] < 1.25,
			  "%s: %.2f", draw_rows[i].name,
			  ratios[JOBS_JUDGED / 2]);
	}
}

/*
 * Guards against a judgement that ignores what has run: when four fifths of a
 * step's longest task have passed, jobs that end after half to one and a half
 * of their objective are told apart, but for those within a tenth of it.
 */
Test(estimate, jobs_in_time_are_not_taken_for_late)
{
	unsigned i, k, wrong, missed;
	struct learnt_time l;
	struct drawn_step st;
	struct run_times e;
	struct step_runs runs;
	double takes, due, seen;

	for (i = 0; i < NELEMS(draw_rows); i++) {
		srandom(31 + i);
		l = (struct learnt_time){.weight = 0};
		learn_steps(&l, &draw_rows[i]);
		wrong = missed = 0;
		for (k = 0; k < JOBS_JUDGED; k++) {
			st = draw_step(&draw_rows[i]);
			e = learnt_run_times(&l, st.declared_ms);
			due = STRETCH * st.longest_ms + TARGET_MS;
			takes = due * (0.5 + draw());
			runs = step_runs_at(&draw_rows[i], &st,
					    st.longest_ms * 0.8);
			e = run_times_observed(&e, &runs);
			seen = STRETCH * (double)step_longest_ms(&e, &runs) +
			       TARGET_MS;
			wrong += takes <= due && takes > seen * 1.1;
			missed += takes > due && takes <= seen / 1.1;
		}
		cr_expect(wrong < JOBS_JUDGED / 20, "%s: %u taken for late",
			  draw_rows[i].name, wrong);
		cr_expect(missed < JOBS_JUDGED / 5, "%s: %u taken for in time",
			  draw_rows[i].name, missed);
	}
}

/* Guards against estimates that observed runs move the wrong way. */
static const struct {
	const char *name;
	struct run_times e;
	struct step_runs r;
	int64_t longest_min, longest_max, rest_min, rest_max;
} step_rows[] = {
	{"nothing learnt", {6.9, 0, 0}, {.pending = 8}, 990, 993, 990, 993},
	{"one task", {6.9, 0.2, 0.3}, {.pending = 1}, 985, 1000, 985, 1000},
	{"eight tasks",
	 {6.9, 0.2, 0.3},
	 {.pending = 8},
	 1450,
	 1550,
	 1450,
	 1550},
	{"all done",
	 {6.9, 0.2, 0.3},
	 {.ended = 8, .log_sum = 56, .longest_ms = 1300},
	 1300,
	 1300,
	 0,
	 0},
	{"done, and none observed",
	 {6.9, 0.2, 0.3},
	 {.unobserved = 8},
	 1450,
	 1550,
	 0,
	 0},
	{"one runs for three times as long",
	 {6.9, 0.2, 0.3},
	 {.running = 1, .age_log_sum = 8, .oldest_ms = 2981},
	 2981,
	 4500,
	 1,
	 1500},
	{"the others took half of it",
	 {6.9, 0.2, 0.3},
	 {.ended = 7, .log_sum = 7 * 6.2, .longest_ms = 500, .pending = 1},
	 500,
	 600,
	 480,
	 600},
	{"a pending task has failed",
	 {6.9, 0, 0},
	 {.pending = 1, .failed_ms = 700},
	 1690,
	 1693,
	 990,
	 993},
};
Test(estimate, observed_runs_count)
{
	int64_t longest, rest;
	struct run_times e;
	unsigned i;

	for (i = 0; i < NELEMS(step_rows); i++) {
		e = run_times_observed(&step_rows[i].e, &step_rows[i].r);
		longest = step_longest_ms(&e, &step_rows[i].r);
		rest = step_rest_ms(&e, &step_rows[i].r);
		cr_expect(longest >= step_rows[i].longest_min &&
				  longest <= step_rows[i].longest_max,
			  "%s: longest %lld", step_rows[i].name,
			  (long long)longest);
		cr_expect(rest >= step_rows[i].rest_min &&
				  rest <= step_rows[i].rest_max,
			  "%s: rest %lld", step_rows[i].name, (long long)rest);
	}
	cr_expect_eq(step_waves_ms(1500, 1000, 3), 3500);
}

static const struct answer once = {.clock = 4000};
static const struct answer twice = {.clock = 4000, .repeated = true};

/*
 * Guards against run times of which the owner saw only a part: an owner that
 * has taken over took all tasks of a route for shorter than they are.
 */
static const struct {
	const char *name;
	int64_t run_clock;
	bool run_is_part;
	const char *checkpoint;
	bool long_running;
	double weight; /* of what is learnt from its end at 5000 */
	int64_t longest_ms;
	const struct answer *start; /* NULL: its answer is not tested */
	enum run_phase phase;	    /* when that answer is handled */
} part_rows[] = {
	{"whole", 4000, false, "", false, 1, 1000},
	{"adopted", 4000, true, "", false, 0, 1000},
	{"not known when it began", 0, false, "", false, 0, 0},
	{"its start was answered", 0, false, "", false, 1, 1000, &once,
	 PHASE_STARTING},
	{"its start was sent twice", 0, false, "", false, 0, 1000, &twice,
	 PHASE_STARTING},
	{"listed before its start was answered", 3500, true, "", false, 0, 1500,
	 &once, PHASE_RUNNING},
	{"its start was answered late", 0, false, "", false, 0, 1000, &once,
	 PHASE_RUNNING},
	{"resumed", 4000, false, "half", false, 0, 1000},
	{"long-running", 4000, false, "", true, 0, 0},
};
Test(estimate, only_whole_runs_are_learnt)
{
	struct job_step st = {.count = 1, .estimated_ms = 900};
	struct job_body body = {.steps = &st, .step_count = 1};
	struct job job = {.body = &body, .route = bstr_lit("r")};
	struct step_runs runs;
	struct occurrence occ = {.job = &job, .runs = &runs};
	struct task t;
	struct sched s = {.now = 90000};
	unsigned i;

	for (i = 0; i < NELEMS(part_rows); i++) {
		t = (struct task){.occ = &occ,
				  .run_clock = part_rows[i].run_clock,
				  .run_is_part = part_rows[i].run_is_part,
				  .phase = part_rows[i].phase};
		if (part_rows[i].start)
			learn_run_started(&t, part_rows[i].start);
		t.checkpoint = bstr_lit(part_rows[i].checkpoint);
		st.long_running = part_rows[i].long_running;
		runs = (struct step_runs){0};
		learn_run_time(&s, &t, 5000);
		cr_expect_eq(s.learnt_times ? s.learnt_times->weight : 0,
			     part_rows[i].weight, "%s", part_rows[i].name);
		cr_expect_eq(runs.longest_ms, part_rows[i].longest_ms, "%s",
			     part_rows[i].name);
		learnt_times_free(&s);
	}
}

/*
 * Guards against machines that are called for later the more uneven the tasks
 * of a pool are, and against an objective that ignores the longest task.
 */
Test(estimate, uneven_tasks_lengthen_the_objective_not_the_slack)
{
	struct job_step st = {.count = 8, .estimated_ms = 1000};
	struct job_body body = {.steps = &st, .step_count = 1};
	struct job job = {.body = &body, .route = bstr_lit("r")};
	struct fleet_config none = {0};
	struct sched s = {.now = 90000, .config = &none, .config_serial = 1};
	struct step_runs runs = {0};
	struct occurrence occ = {.job = &job, .runs = &runs};
	struct task t = {.occ = &occ, .run_clock = 1};
	unsigned i;

	TAILQ_INIT(&job.occs);
	for (i = 0; i < 400; i++) {
		runs = i % 8 ? runs : (struct step_runs){0};
		learn_run_time(&s, &t, 1 + (i % 2 ? 700 : 1430));
	}
	job_estimate_update(&s, &job);
	cr_expect_geq(job_objective_ms(&s, &job), 1400);
	cr_expect_leq(job_objective_ms(&s, &job), 1900);
	cr_expect_leq(llabs(job.estimate.typical_ms - 1000), 60, "%lld",
		      (long long)job.estimate.typical_ms);
	cr_expect_eq(job_slack_ms(&s, &job), 0); /* stretch 1, no target */
	free(job.estimate.step_ms);
	free(job.estimate.remaining_ms);
	learnt_times_free(&s);
}
