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
