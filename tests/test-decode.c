#include "../platform/platform.h"

#include <criterion/criterion.h>
#include <stdlib.h>

/*
 * Guards against a truncated list of ends that is taken for a complete one:
 * tasks whose ends follow in the next list would be started again.
 */
static const struct {
	size_t ends;
	bool truncated;
} list_rows[] = {
	{0, false},
	{1, false},
	{499, false},
	{500, true},
};
Test(decode, a_full_list_of_ends_is_no_whole_one)
{
	struct sched_event *ev;
	json_t *j, *ended;
	size_t row, i;

	for (row = 0; row < NELEMS(list_rows); row++) {
		ended = json_array();
		for (i = 0; i < list_rows[row].ends; i++)
			json_array_append_new(
				ended,
				json_pack("[I, s, I, s, s]", (json_int_t)i + 1,
					  "00000000000000aa.0.0.0",
					  (json_int_t)i + 1, "done", ""));
		j = json_pack("{s:I, s:[], s:o}", "clock_ms", (json_int_t)9,
			      "running", "ended", ended);
		ev = xcalloc(1, sizeof(*ev));
		ev->kind = EVENT_ANSWER;
		runs_read(j, &ev->answer);
		cr_expect_eq(ev->answer.ended_count, list_rows[row].ends);
		cr_expect_eq(ev->answer.ended_truncated,
			     list_rows[row].truncated, "%zu",
			     list_rows[row].ends);
		sched_event_free(ev);
		json_decref(j);
	}
}
