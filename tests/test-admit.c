/*
 * What a queue can't do in time is refused at once, and nothing else is.
 */
#include "../sched-state.h"
#include "support-world.h"

#include <criterion/criterion.h>
#include <stdio.h>

/*
 * Guards against a request without the time for an exchange with the store that
 * is held until its caller has gone, and may be stored then.
 */
static const struct {
	int64_t patience_ms;
	int status;
	const char *state; /* of the job after that */
} time_rows[] = {
	{3000, 200, "completed"},
	{300, 200, "completed"},
	{100, 503, ""},
	{5, 503, ""},
	{0, 503, ""},
};
Test(admit, without_time_it_is_refused_at_once)
{
	static const struct world_job one = {.tasks = 1, .task_ms = 200};
	struct world *w;
	uint64_t call;
	unsigned row;

	for (row = 0; row < NELEMS(time_rows); row++) {
		w = world_new(2340 + row, WORLD_VMS, WORLD_WORKERS);
		world_run(w, 4000);
		world_patience(w, time_rows[row].patience_ms);
		call = world_submit(w, 0, "00000000000000aa", &one);
		if (time_rows[row].status == 503)
			cr_expect_eq(world_status(w, call), 503, "at once");
		world_run(w, 2000);
		cr_expect_eq(world_status(w, call), time_rows[row].status,
			     "row %u: %d", row, world_status(w, call));
		cr_expect_str_eq(world_state(w, "00000000000000aa"),
				 time_rows[row].state, "row %u", row);
		cr_expect_null(world_broken(w), "%s", world_broken(w));
		world_free(w);
	}
}
