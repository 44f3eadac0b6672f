/*
 * Planned stops of a scheduler's process: how long it takes.
 */
#include "../sched-state.h"
#include "support-world.h"

#include <criterion/criterion.h>

/*
 * Guards against a VM that was asked to end while it stood still and takes its
 * whole grace anew: it is killed in the midst of its calls.
 */
static const struct {
	int64_t frozen_ms;
	int64_t later_ms; /* that it is asked after it woke */
	int64_t ends_ms;  /* after that */
} pause_rows[] = {
	{0, 0, 4500},  {2500, 0, 2000}, {4500, 0, 40},
	{9000, 0, 40}, {4500, 600, 40}, {4500, 2000, 4500},
};
Test(stop, asked_while_it_stood_still)
{
	unsigned row, n;
	struct world *w;
	int64_t ms;

	for (row = 0; row < NELEMS(pause_rows); row++) {
		w = world_new(420 + row, WORLD_VMS, WORLD_WORKERS);
		world_run(w, 2000);
		n = (unsigned)world_owner(w);
		world_freeze_vm(w, n, pause_rows[row].frozen_ms);
		world_run(w,
			  pause_rows[row].frozen_ms + pause_rows[row].later_ms);
		world_stop_vm(w, n);
		for (ms = 0; ms < 9000 && world_sched(w, n); ms += 20)
			world_run(w, 20);
		cr_expect_geq(ms, pause_rows[row].ends_ms - 40, "row %u: %lld",
			      row, (long long)ms);
		cr_expect_leq(ms, pause_rows[row].ends_ms + 80, "row %u: %lld",
			      row, (long long)ms);
		cr_expect_null(world_violation(w), "%s", world_violation(w));
		world_free(w);
	}
}
