#include "support-sim.h"

#include <criterion/criterion.h>

/* Tests of entry VMs that join a fleet in which others own the shards. */
static const struct sim_plan plan = {
	.seed = 7,
	.entries = 3,
	.dcs = 1,
	.slots = 8,
	.per_rack = 2,
	.pools = {{.budget = 1, .workers = 4}},
	.teams = {{1, 1000}},
	.reboot_ms = 10000,
};

/*
 * Guards against submissions that are refused because no VM decides them when
 * one joins: it is the preferred owner of a third of the shards from then on,
 * but gets them only after their owner has seen it for a while and has handed
 * them over.
 */
static const struct {
	const char *name;
	unsigned joining;  /* VMs that join at once */
	int64_t absent_ms; /* since the VMs that they replace were lost */
} join_rows[] = {
	{"one joins, another was lost lately", 1, 30000},
	{"two join, two were lost lately", 2, 30000},
	{"one joins, none is missed", 1, 700000},
	{"two join, none is missed", 2, 700000},
};
Test(join, submissions_go_to_who_still_owns)
{
	struct sim_job j = {.claimed = true, .run_ms = 20, .declared_ms = 20};
	unsigned row, i, refused;
	struct sim *s;

	for (row = 0; row < NELEMS(join_rows); row++) {
		s = sim_new(&plan);
		for (i = 0; i < join_rows[row].joining; i++)
			sim_entry_kill(s, 2 - i);
		sim_run(s, join_rows[row].absent_ms);
		for (i = 0; i < join_rows[row].joining; i++)
			sim_entry_boot(s, 2 - i);
		for (i = 0; i < 600; i++) {
			sim_submit(s, i % (i < 300 ? 1 : 3), &j);
			sim_run(s, 20);
		}
		sim_run(s, 5000);
		for (i = refused = 0; i < s->job_count; i++)
			refused += s->jobs[i].http_status != 202;
		cr_expect_eq(refused, 0, "%s: %u of %zu refused",
			     join_rows[row].name, refused, s->job_count);
		sim_free(s);
	}
}
