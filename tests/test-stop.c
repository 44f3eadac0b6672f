/*
 * Tests of how long the planned stop of a scheduler's process takes.
 */
#include "../sched-state.h"
#include "support-world.h"

#include <criterion/criterion.h>

/*
 * Guards against a VM that is asked to stop while it is frozen and, once
 * resumed, takes the whole grace period again: it would be killed with calls
 * pending.
 */
static const struct {
	int64_t frozen_ms;
	int64_t delay_ms;    /* from its resumption to the request to stop */
	int64_t expected_ms; /* from the request to its exit */
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
			  pause_rows[row].frozen_ms + pause_rows[row].delay_ms);
		world_stop_vm(w, n);
		for (ms = 0; ms < 9000 && world_sched(w, n); ms += 20)
			world_run(w, 20);
		cr_expect_geq(ms, pause_rows[row].expected_ms - 40,
			      "row %u: %lld", row, (long long)ms);
		cr_expect_leq(ms, pause_rows[row].expected_ms + 80,
			      "row %u: %lld", row, (long long)ms);
		cr_expect_null(world_violation(w), "%s", world_violation(w));
		world_free(w);
	}
}
