#include "support-sim.h"

#include <criterion/criterion.h>
#include <string.h>

/*
 * Tests of upper limits under faults, with one team and two pools that share
 * its limit.
 */
static const struct sim_plan plan = {
	.seed = 5,
	.entries = 2,
	.dcs = 1,
	.slots = 8,
	.per_rack = 2,
	.pools = {{.budget = 1, .workers = 2}, {.budget = 1, .workers = 2}},
	.teams = {{1, 24}},
	.reboot_ms = 10000,
};

/*
 * An outage of the platform that starts right after a race for the team's row.
 */
struct outage {
	unsigned armed_after; /* this many writes of the row; 0: never */
	unsigned writes;
	int64_t from; /* simulated time; 0: no outage */
};

/* Returns true if a commit writes a team's row. */
static bool writes_allowance(const effect *fx)
{
	const fx_commit *c = &fx->effect_u.commit;
	u_int i;

	if (fx->kind != FX_COMMIT)
		return false;
	for (i = 0; i < c->writes.writes_len; i++)
		if (!strncmp(c->writes.writes_val[i].key.bstr_val, "allow/", 6))
			return true;
	return false;
}

/* Starts the outage at a given write, and drops all requests from then on. */
static enum sim_fault fault_inject(struct sim *s, const effect *fx)
{
	struct outage *o = s->arg;

	if (o->from)
		return SIM_DROP_REQUEST;
	if (o->armed_after && writes_allowance(fx) &&
	    ++o->writes == o->armed_after)
		o->from = s->now;
	return SIM_NO_FAULT;
}

static void submit(struct sim *s, unsigned entry, unsigned pool, unsigned n)
{
	struct sim_job j = {.pool = pool, .run_ms = 300, .declared_ms = 300};

	while (n--)
		sim_submit(s, entry, &j);
}

/*
 * Guards against a cell that starts no task of a team during an outage of the
 * platform, because another cell changed the team's row at the same time: the
 * row must be read again, which isn't possible. What the cell already holds
 * stays valid.
 */
Test(limit, a_lost_race_takes_nothing_away)
{
	unsigned writes, job, pool, first, started[2];
	struct outage o;
	struct sim *s;

	for (writes = 1; writes <= 4; writes++) {
		memset(&o, 0, sizeof(o));
		memset(started, 0, sizeof(started));
		s = sim_new(&plan);
		s->arg = &o;
		s->hooks.request = fault_inject;
		for (pool = 0; pool < 2; pool++)
			submit(s, pool, pool, 4);
		sim_run(s, 2000);
		o.armed_after = writes;
		for (pool = 0; pool < 2; pool++)
			submit(s, pool, pool, 20);
		sim_run(s, 8000);
		cr_assert(o.from, "%u writes: no race", writes);
		first = (unsigned)s->job_count;
		for (pool = 0; pool < 2; pool++)
			submit(s, pool, pool, 4);
		sim_run(s, 3000);
		for (job = first; job < s->job_count; job++)
			started[s->jobs[job].pool] += s->jobs[job].started_at >
						      0;
		for (pool = 0; pool < 2; pool++)
			cr_expect_eq(started[pool], 4, "%u writes, pool %u: %u",
				     writes, pool, started[pool]);
		sim_free(s);
	}
}
