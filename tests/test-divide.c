/*
 * Tests of the division of the fleet's cores among pools that need more than
 * there are.  Nothing here knows of workers or a network.
 */
#include "../sched-demand.h"

#include <criterion/criterion.h>
#include <math.h>
#include <stdlib.h>

#define POOLS_MAX 4

/*
 * Guards against a pool with a long queue that takes all cores: also those that
 * others need for jobs that can still be in time, or at the start of a peak.
 */
static const struct {
	const char *name;
	double total;
	struct pool_claim claims[POOLS_MAX]; /* granted_cores: expected */
	bool divided;
} divide_rows[] = {
	{"nothing is needed", 1000, {{100, 0, 0, 0, 0, 0}}, false},
	{"all is met",
	 1000,
	 {{100, 10, 300, 0, 400, 400}, {50, 10, 100, 0, 200, 200}},
	 false},
	{"one pool needs several times the fleet",
	 1000,
	 {{100, 30, 5000, 0, 40000, 910},
	  {100, 30, 0, 0, 0, 30},
	  {100, 30, 0, 0, 0, 30},
	  {100, 30, 0, 0, 0, 30}},
	 true},
	{"all do, by size",
	 1000,
	 {{100, 30, 5000, 0, 9000, 250}, {300, 30, 4000, 0, 8000, 750}},
	 true},
	{"the next peak begins, the last one's queue is late",
	 1000,
	 {{100, 30, 50, 200, 40000, 400}, {100, 30, 600, 200, 900, 600}},
	 true},
	{"late work leaves what the next peak needs at once",
	 1000,
	 {{100, 30, 100, 300, 40000, 700}, {100, 30, 0, 300, 0, 300}},
	 true},
	{"peaks overlap, and one needs less than its part",
	 1000,
	 {{100, 30, 200, 0, 250, 200}, {100, 30, 3000, 0, 6000, 800}},
	 true},
	{"not even the reserves are there",
	 100,
	 {{100, 90, 500, 0, 500, 50}, {100, 90, 0, 0, 0, 50}},
	 true},
	{"no cores at all", 0, {{100, 30, 50, 0, 60, 0}}, true},
};
Test(divide, cores_go_first_to_jobs_that_can_be_in_time)
{
	struct pool_claim list[POOLS_MAX];
	const struct pool_claim *want;
	size_t i, k, n;

	for (i = 0; i < NELEMS(divide_rows); i++) {
		want = divide_rows[i].claims;
		for (n = 0; n < POOLS_MAX && want[n].weight > 0; n++)
			list[n] = want[n];
		cr_expect_eq(claims_divide(list, n, divide_rows[i].total),
			     divide_rows[i].divided, "%s", divide_rows[i].name);
		for (k = 0; k < n; k++)
			cr_expect(fabs(list[k].granted_cores -
				       want[k].granted_cores) < 0.5,
				  "%s: pool %zu: %.1f", divide_rows[i].name, k,
				  list[k].granted_cores);
	}
}

/* Guards against more cores granted than there are, with very many pools. */
Test(divide, grants_of_182_pools_add_up_to_the_fleet)
{
	struct pool_claim list[182];
	double total = 48e6, sum = 0;
	size_t i;

	for (i = 0; i < NELEMS(list); i++)
		list[i] = (struct pool_claim){.weight = 1 + (double)(i % 32),
					      .reserve_cores = 16000,
					      .in_time_cores = 1e4 * (double)i,
					      .all_cores = 1e6 * (double)i};
	cr_expect(claims_divide(list, NELEMS(list), total));
	for (i = 0; i < NELEMS(list); i++)
		sum += list[i].granted_cores;
	cr_expect(sum <= total && sum > total * 0.999, "%.0f", sum);
}

/* A pool of the fleet: 16 cores a machine. */
struct pool_row {
	unsigned home, workers, used; /* machines */
	double demand, peak;	      /* cores */
	double waiting, late;	      /* core-seconds */
	unsigned jobs;		      /* seen */
	double granted_min, granted_max;
};

/*
 * Guards against a division that starts without need, that is upset by work
 * that is late anyway, or that leaves machines in pools whose peaks a new owner
 * has not seen.
 */
static const struct {
	const char *name;
	unsigned standby; /* machines */
	bool divided;
	struct pool_row pools[2];
} fleet_rows[] = {
	{"a calm day",
	 10,
	 false,
	 {{60, 60, 20, 300, 900, 0, 0, 32, 0, 1e9},
	  {60, 60, 5, 50, 900, 0, 0, 32, 0, 1e9}}},
	{"a peak that the fleet holds",
	 60,
	 false,
	 {{60, 60, 60, 1300, 1300, 100, 0, 32, 0, 1e9},
	  {60, 60, 5, 50, 900, 0, 0, 32, 0, 1e9}}},
	{"a flood, the other pool between its peaks",
	 0,
	 true,
	 {{60, 100, 100, 6000, 6000, 20000, 0, 32, 1700, 1920},
	  {60, 20, 2, 20, 900, 0, 0, 32, 0, 220}}},
	{"the flood's rest is late, the other pool's peak begins",
	 0,
	 true,
	 {{60, 100, 100, 10, 6000, 20000, 20000, 32, 0, 1000},
	  {60, 20, 20, 1100, 900, 300, 0, 32, 900, 1920}}},
	{"both are flooded",
	 0,
	 true,
	 {{60, 100, 100, 6000, 6000, 20000, 9000, 32, 900, 1020},
	  {60, 20, 20, 6000, 6000, 20000, 9000, 32, 900, 1020}}},
	{"a new owner that has seen no peaks",
	 0,
	 true,
	 {{60, 60, 60, 10, 10, 20000, 20000, 32, 1600, 1920},
	  {60, 60, 2, 0, 0, 0, 0, 0, 0, 300}}},
	{"no machines are known yet",
	 0,
	 true,
	 {{60, 0, 0, 100, 100, 100, 0, 32, 0, 0},
	  {60, 0, 0, 0, 0, 0, 0, 0, 0, 0}}},
};

#define MACHINE_CORES 16e3

/* Sets the load of a pool. */
static void pool_set(struct pool_load *p, struct demand *d,
		     const struct pool_row *r)
{
	*d = (struct demand){.cores = r->demand * 1e3,
			     .mean_cores = r->home * MACHINE_CORES / 2,
			     .peak_cores = r->peak * 1e3,
			     .peak_known_at = INT64_MAX,
			     .jobs = r->jobs,
			     .slack_ms = 1300,
			     .slack_dev_ms = 300};
	p->routed = true;
	p->demand = d;
	p->home_size = r->home;
	p->workers = r->workers;
	p->cores = r->workers * MACHINE_CORES;
	p->used_cores = r->used * MACHINE_CORES;
	p->waiting_work = r->waiting * 1e6;
	p->late_work = r->late * 1e6;
	p->waiting_cores = r->waiting * 1e3;
}

Test(divide, what_pools_claim_follows_from_their_load)
{
	const struct service service = {0};
	struct demand d[2];
	struct pool_load p[2];
	struct pool_loads l;
	const struct pool_row *r;
	struct sched s;
	double granted;
	size_t i, k;

	for (i = 0; i < NELEMS(fleet_rows); i++) {
		s = (struct sched){.options.move_ms = 1500,
				   .cores_divided = fleet_rows[i].divided};
		l = (struct pool_loads){.list = p,
					.count = 2,
					.standby_cores = fleet_rows[i].standby *
							 MACHINE_CORES};
		for (k = 0; k < 2; k++) {
			p[k] = (struct pool_load){.service = &service};
			pool_set(&p[k], &d[k], &fleet_rows[i].pools[k]);
		}
		pools_divide(&s, &l, MACHINE_CORES);
		cr_expect_eq(l.divided, fleet_rows[i].divided, "%s",
			     fleet_rows[i].name);
		for (k = 0; k < 2 && l.divided; k++) {
			r = &fleet_rows[i].pools[k];
			granted = p[k].claim.granted_cores / 1e3;
			cr_expect(granted >= r->granted_min - 1 &&
					  granted <= r->granted_max + 1,
				  "%s: pool %zu: %.0f", fleet_rows[i].name, k,
				  granted);
		}
	}
}
