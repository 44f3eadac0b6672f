#include "../sched-state.h"

#include <criterion/criterion.h>

/*
 * Guards against answers that lie long in the inbox of an owner short of
 * processor and make its workers seem to have begun new lives: their ends would
 * be listed anew, and a dead worker's tasks be kept for a second lease.
 */
static const struct {
	const char *name;
	int64_t clock; /* in an answer to a start that was sent at 9,050 */
	bool other;
} clock_rows[] = {
	{"answered at once, read 3 s later", 5160, false},
	{"answered late", 5700, false},
	{"a new life's", 120, true},
	{"not said", 0, false},
};
Test(order, age_of_an_answer_is_no_new_life)
{
	struct sched_effects out;
	struct sched_effect *fx;
	unsigned row;

	for (row = 0; row < NELEMS(clock_rows); row++) {
		struct sched s = {.now = 12100,
				  .effects = &out,
				  .options.lease_max_ms = 6000};
		struct worker w = {
			.clock = 5100, .clock_at = 9000, .same_process = true};
		struct request rq = {.purpose = FOR_START, .worker = &w};
		struct answer a = {.outcome = OUT_DONE,
				   .sent_at = 9050,
				   .clock = clock_rows[row].clock};

		TAILQ_INIT(&out);
		order_answer(&s, &rq, &a);
		cr_expect_eq(w.later_process_until > 0, clock_rows[row].other,
			     "%s", clock_rows[row].name);
		cr_expect_eq(w.same_process, !clock_rows[row].other, "%s",
			     clock_rows[row].name);
		while ((fx = TAILQ_FIRST(&out))) {
			TAILQ_REMOVE(&out, fx, entry);
			sched_effect_free(fx);
		}
	}
}
