/*
 * Tests of shares: which organisations are beyond theirs, how long each one's
 * queue takes in a pool, and who is refused.  Only the last test has a network,
 * a simulated one.
 */
#include "../sched-demand.h"
#include "support-world.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

/*
 * Guards against floods that are not seen, and against loads that are taken for
 * one: a burst of all organisations alike, a few jobs, a light organisation.
 * Each row submits jobs of up to three organisations at constant rates.
 */
static const struct {
	const char *name;
	struct {
		double weight, rate; /* rate: jobs per second */
	} organisations[3];
	int64_t ms;
	bool beyond[3];
} excess_rows[] = {
	{"as their weights", {{50, 30}, {30, 18}, {20, 12}}, 9000, {false}},
	{"a burst of all", {{50, 300}, {30, 180}, {20, 120}}, 9000, {false}},
	{"one floods", {{50, 240}, {30, 18}, {20, 12}}, 2000, {true}},
	{"a light one floods",
	 {{50, 30}, {45, 27}, {5, 30}},
	 4000,
	 {false, false, true}},
	{"two flood",
	 {{50, 30}, {10, 60}, {10, 60}},
	 4000,
	 {false, true, true}},
	{"one alone", {{50, 240}}, 9000, {false}},
	{"a few jobs more", {{50, 36}, {30, 16}, {20, 10}}, 9000, {false}},
	{"hardly any jobs", {{50, 3}, {50, 0.4}}, 9000, {false}},
	{"the others submit nothing", {{5, 240}, {95, 0}}, 9000, {false}},
};
Test(share, an_excess_is_a_part_of_all_jobs)
{
	struct share h[3];
	struct share_sums sums;
	double due[3], excess;
	unsigned row, i;
	int64_t now;

	for (row = 0; row < NELEMS(excess_rows); row++) {
		memset(h, 0, sizeof(h));
		memset(due, 0, sizeof(due));
		for (now = 1; now <= excess_rows[row].ms; now++)
			for (i = 0; i < 3; i++)
				for (due[i] +=
				     excess_rows[row].organisations[i].rate /
				     1000;
				     due[i] >= 1; due[i]--)
					share_add(&h[i], now);
		sums = (struct share_sums){0};
		for (i = 0; i < 3; i++)
			share_sum(&sums, &h[i],
				  excess_rows[row].organisations[i].weight,
				  now);
		for (i = 0; i < 3; i++) {
			excess = share_excess(
				&h[i], excess_rows[row].organisations[i].weight,
				&sums);
			cr_expect_eq(share_is_beyond(&h[i], excess),
				     excess_rows[row].beyond[i],
				     "%s: %u has %.2f", excess_rows[row].name,
				     i, excess);
		}
	}
}

/*
 * Guards against an organisation that counts as within its share as soon as its
 * callers are refused, and floods again.
 */
static const struct {
	const char *name;
	bool before;
	double excess, queue_ratio;
	bool beyond;
} state_rows[] = {
	{"much too much", false, 0.4, 0, true},
	{"little", false, 0.1, 0, false},
	{"a long queue is no excess", false, 0, 5, false},
	{"still too much", true, 0.1, 0, true},
	{"refused, and its queue is long", true, -0.2, 1.5, true},
	{"its queue is done", true, 0, 0.5, false},
};
Test(share, an_excess_ends_with_its_queue)
{
	struct share h;
	unsigned row;

	for (row = 0; row < NELEMS(state_rows); row++) {
		h = (struct share){.is_exceeded = state_rows[row].before,
				   .queue_ratio = state_rows[row].queue_ratio};
		cr_expect_eq(share_is_beyond(&h, state_rows[row].excess),
			     state_rows[row].beyond, "%s",
			     state_rows[row].name);
	}
}

/*
 * Guards against a queue of a small organisation that seems as long as that of
 * a flood, and against unused shares that nobody gets.  All queues together
 * take 10 s.
 */
static const struct {
	const char *name;
	size_t count;
	struct {
		double weight, work, drain_ms;
	} queues[3]; /* sorted by work / weight */
} drain_rows[] = {
	{"alone", 1, {{5, 700, 10000}}},
	{"equal", 2, {{1, 50, 10000}, {1, 50, 10000}}},
	{"small beside a flood", 2, {{1, 1, 200}, {1, 99, 10000}}},
	{"by weight", 2, {{3, 30, 4000}, {1, 70, 10000}}},
	{"a light one that floods", 2, {{9, 9, 1000}, {1, 91, 10000}}},
	{"what one leaves goes to the others",
	 3,
	 {{1, 10, 3000}, {1, 30, 7000}, {1, 60, 10000}}},
	{"no work at all", 1, {{1, 0, 0}}},
};
Test(share, each_queue_takes_what_its_share_allows)
{
	struct fair_queue q[3];
	unsigned row, i;

	for (row = 0; row < NELEMS(drain_rows); row++) {
		for (i = 0; i < drain_rows[row].count; i++)
			q[i] = (struct fair_queue){
				.weight = drain_rows[row].queues[i].weight,
				.work = drain_rows[row].queues[i].work};
		fair_drain(q, drain_rows[row].count, 10000);
		for (i = 0; i < drain_rows[row].count; i++)
			cr_expect_float_eq(q[i].drain_ms,
					   drain_rows[row].queues[i].drain_ms,
					   0.01, "%s: %u takes %.0f ms",
					   drain_rows[row].name, i,
					   q[i].drain_ms);
	}
}

/*
 * Guards against callers that are refused by a queue that is gone, while the
 * flood in another pool goes on.
 */
Test(share, a_queue_that_ends_is_not_published_again)
{
	struct world *w = world_new(2790, WORLD_VMS, WORLD_WORKERS);
	struct service service = {.name = bstr_lit("a-pool")};
	struct pool_load p = {.service = &service, .answered = 1};
	struct pool_loads l = {.list = &p, .count = 1};
	struct fair_queue q = {.drain_ms = 9000, .jobs = 1};
	struct sched *s;
	json_t *all;

	world_run(w, 4000);
	s = world_sched(w, (unsigned)world_owner(w));
	q.usage = usage_of(s, bstr_lit("flood"));
	q.objective_sum_ms = 1000;
	admission_set(s, service.name, 9000, 1000);
	admission_set_shares(s, service.name, &q, 1);
	all = admissions_write(s);
	cr_expect_eq(json_array_size(json_object_get(all, "a-pool")), 7);
	json_decref(all);
	s->shares_exceeded = 1;
	admission_set(s, service.name, 2000, 1000);
	fair_queues_update(s, &l, 8000);
	s->shares_exceeded = 0;
	all = admissions_write(s);
	cr_expect_eq(json_array_size(json_object_get(all, "a-pool")), 6);
	json_decref(all);
	world_free(w);
}

#define FLOOD_JOBS 200 /* of the organisation that floods */
#define SMALL_JOBS 10  /* of the other one, meanwhile */
#define STEP_MS 30     /* between the jobs of the flood */
/*
 * Small jobs that a takeover may make late: one comes every 600 ms, and it may
 * take 2.7 s.
 */
#define TAKEOVER_JOBS 4

/*
 * Guards against an overload by one organisation that makes the jobs of another
 * late, or has them refused, also when the owner dies in it.  Each job of the
 * flood takes 10 slots for a second, of 48 to 144; each small one takes one.
 */
static const struct {
	const char *name;
	bool disabled; /* the order by shares */
	bool owner_dies;
	unsigned small_min, small_max; /* in time, of SMALL_JOBS */
	bool flood_refused;
} flood_rows[] = {
	{"a flood", false, false, SMALL_JOBS, SMALL_JOBS, true},
	{"without shares", true, false, 0, SMALL_JOBS / 2, true},
	{"the owner dies", false, true, SMALL_JOBS - TAKEOVER_JOBS, SMALL_JOBS,
	 true},
};

/*
 * Submits the jobs of both organisations.  Sets in_time to the number of small
 * ones that are completed within their objective, and returns how many of the
 * flood are refused.
 */
static unsigned flood(struct world *w, unsigned vm, int dies, unsigned *in_time)
{
	static const struct world_job big = {.tasks = 10, .task_ms = 1000};
	static const struct world_job small = {
		.tasks = 1, .task_ms = 1000, .other_organisation = true};
	const unsigned every = FLOOD_JOBS / SMALL_JOBS;
	const unsigned objective = 2600 / STEP_MS; /* see world_config() */
	uint64_t calls[FLOOD_JOBS];
	char id[20], small_id[20];
	unsigned k, refused = 0;

	*in_time = 0;
	for (k = 0; k < FLOOD_JOBS + objective; k++) {
		snprintf(small_id, sizeof(small_id), "a%015x", k - objective);
		if (k >= objective && (k - objective) % every == 0)
			*in_time += !strcmp(world_job_state(w, small_id),
					    "completed");
		snprintf(small_id, sizeof(small_id), "a%015x", k);
		if (k < FLOOD_JOBS && k % every == 0)
			world_submit(w, vm, small_id, &small);
		snprintf(id, sizeof(id), "%016x", 1000 + 77 * k);
		if (k < FLOOD_JOBS)
			calls[k] = world_submit(w, vm, id, &big);
		if (dies != -1 && k == FLOOD_JOBS / 2)
			world_kill_vm(w, (unsigned)dies);
		world_run(w, STEP_MS);
	}
	for (k = 0; k < FLOOD_JOBS; k++)
		refused += world_call_status(w, calls[k]) == 503;
	return refused;
}

Test(share, a_flood_pays_for_its_excess)
{
	unsigned row, n, k, refused, in_time;
	struct world *w;

	for (row = 0; row < NELEMS(flood_rows); row++) {
		w = world_new(2800 + row, WORLD_VMS, WORLD_WORKERS);
		world_add_organisation(w);
		world_run(w, 4000);
		n = (unsigned)world_owner(w);
		for (k = 0; k < WORLD_VMS && flood_rows[row].disabled; k++)
			world_sched(w, k)->options.disabled |= 1U
							       << POLICY_SHARES;
		refused = flood(w, (n + 1) % WORLD_VMS,
				flood_rows[row].owner_dies ? (int)n : -1,
				&in_time);
		cr_expect_geq(in_time, flood_rows[row].small_min, "%s: %u",
			      flood_rows[row].name, in_time);
		cr_expect_leq(in_time, flood_rows[row].small_max, "%s: %u",
			      flood_rows[row].name, in_time);
		cr_expect_eq(refused > 0, flood_rows[row].flood_refused,
			     "%s: %u", flood_rows[row].name, refused);
		cr_expect_null(world_violation(w), "%s", world_violation(w));
		world_free(w);
	}
}

/*
 * Guards against an order that changes although the pools can run all jobs: an
 * excess of one organisation is at nobody's expense then.  Both have the same
 * weight and submit 70:30, for the time of some averages.
 */
static const struct {
	const char *name;
	unsigned tasks; /* of each job of the organisation with more */
	bool beyond;
} beside_rows[] = {
	{"beside empty pools", 1, false},
	{"beside full ones", 10, true},
};
Test(share, an_excess_counts_beside_an_overload)
{
	struct world_job big = {.task_ms = 1000};
	struct world_job small = {
		.tasks = 1, .task_ms = 200, .other_organisation = true};
	unsigned row, vm, k, beyond;
	struct world *w;
	char id[20];

	for (row = 0; row < NELEMS(beside_rows); row++) {
		w = world_new(2850 + row, WORLD_VMS, WORLD_WORKERS);
		world_add_organisation(w);
		world_run(w, 4000);
		vm = (unsigned)world_owner(w);
		big.tasks = beside_rows[row].tasks;
		for (k = beyond = 0; k < FLOOD_JOBS; k++) {
			snprintf(id, sizeof(id), "%016x", 1000 + 77 * k);
			world_submit(w, vm, id, k % 10 < 7 ? &big : &small);
			world_run(w, STEP_MS);
			beyond += world_sched(w, vm)->shares_exceeded > 0;
		}
		cr_expect_eq(beyond > 0, beside_rows[row].beyond, "%s: %u",
			     beside_rows[row].name, beyond);
		cr_expect_null(world_violation(w), "%s", world_violation(w));
		world_free(w);
	}
}
