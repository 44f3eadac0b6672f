/*
 * Tests of moves and maintenance of machines: what late or missing answers do.
 */
#include "../sched-state.h"
#include "support-world.h"

#include <criterion/criterion.h>

#define JOB_A "00000000000000aa"

/* Work of the second pool that its machines can't finish soon. */
static const struct world_job burst = {
	.tasks = 60, .task_ms = 500, .second_queue = true};

static void check_free(struct world *w, const char *name)
{
	cr_expect_null(world_violation(w), "%s: %s", name, world_violation(w));
	world_free(w);
}

/* Returns a world with two pools of three machines each. */
static struct world *world_new_pools(uint64_t seed)
{
	struct world *w = world_new(seed, WORLD_VMS, WORLD_WORKERS);

	world_add_second_pool(w, 3);
	world_run(w, 4000);
	return w;
}

static unsigned owner(struct world *w)
{
	int n = world_owner(w);

	cr_assert_neq(n, -1, "nobody owns the scheduling");
	return (unsigned)n;
}

/* Returns the number of workers that the owner would place tasks on. */
static unsigned eligible_count(struct world *w)
{
	const struct sched *s = world_sched(w, owner(w));
	const struct worker *k;
	unsigned n = 0;

	for (k = s->workers; k; k = k->hh.next)
		n += worker_is_eligible(s, k);
	return n;
}

/*
 * Guards against an owner that takes the machine's next worker for the one that
 * the move or the maintenance ended, because the answer is processed when the
 * next one is at work already: its tasks would run twice, or it gets none.
 */
static const struct {
	const char *name;
	enum world_machine_mode mode;
	bool wave; /* maintenance instead of a move */
} answer_rows[] = {
	{"move, answered at once", WORLD_MACHINES_OK, false},
	{"move, answered late", WORLD_MACHINES_SLOW, false},
	{"maintenance, answered at once", WORLD_MACHINES_OK, true},
	{"maintenance, answered late", WORLD_MACHINES_SLOW, true},
};
Test(move, slow_answer_spares_the_next_worker)
{
	struct world *w;
	unsigned row;

	for (row = 0; row < NELEMS(answer_rows); row++) {
		w = world_new_pools(2180 + row);
		world_set_machine_mode(w, answer_rows[row].mode);
		if (answer_rows[row].wave)
			world_start_wave(w, 2, 1);
		else
			world_submit(w, (owner(w) + 1) % WORLD_VMS, JOB_A,
				     &burst);
		world_run(w, 14000);
		cr_expect_eq(eligible_count(w), WORLD_WORKERS, "%s: %u",
			     answer_rows[row].name, eligible_count(w));
		check_free(w, answer_rows[row].name);
	}
}
