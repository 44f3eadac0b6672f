/*
 * Tests of the holds of workers for large tasks: the pure decisions in tables,
 * and a queue of small tasks beside a large one in a simulated world.
 */
#include "../sched-state.h"
#include "world-calm.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CORE 1000 /* thousandths */

/* Returns an amount of cores, and as many units of memory. */
static struct resources cores(int64_t n)
{
	return (struct resources){n * CORE, n, 0};
}

/* Guards against holds for tasks that any end makes room for. */
static const struct {
	const char *name;
	struct resources need, capacity;
	bool large;
} large_rows[] = {
	{"a small one", {4000, 8, 0}, {32000, 128, 0}, false},
	{"a third", {8000, 8, 0}, {24000, 128, 0}, false},
	{"half of the cores", {16000, 8, 0}, {32000, 128, 0}, true},
	{"half of the memory", {1000, 64, 0}, {32000, 128, 0}, true},
	{"one GPU of two", {1000, 8, 1}, {32000, 128, 2}, false},
	{"both GPUs", {1000, 8, 2}, {32000, 128, 2}, true},
};
Test(lookahead, what_is_large)
{
	size_t i;

	for (i = 0; i < NELEMS(large_rows); i++)
		cr_expect_eq(lookahead_is_large(large_rows[i].need,
						large_rows[i].capacity),
			     large_rows[i].large, "%s", large_rows[i].name);
}

/* Guards against holds that take a small pool, or much of a large one. */
static const struct {
	size_t workers;
	unsigned holds;
} limit_rows[] = {{1, 0},  {3, 0},   {4, 1},   {16, 1},
		  {62, 3}, {200, 8}, {3000, 8}};
Test(lookahead, holds_are_few)
{
	size_t i;

	for (i = 0; i < NELEMS(limit_rows); i++)
		cr_expect_eq(lookahead_holds_max(limit_rows[i].workers),
			     limit_rows[i].holds, "%zu workers",
			     limit_rows[i].workers);
}

/*
 * Guards against a task that overruns its estimate and is expected to end at
 * once, over and over.
 */
static const struct {
	int64_t elapsed, expected, left;
} end_rows[] = {
	{0, 900, 900},	 {300, 900, 600},   {600, 900, 300},
	{900, 900, 450}, {4000, 900, 2000}, {800, 900, 100},
};
Test(lookahead, when_a_task_ends)
{
	size_t i;

	for (i = 0; i < NELEMS(end_rows); i++)
		cr_expect_eq(lookahead_task_end(10000,
						10000 - end_rows[i].elapsed,
						end_rows[i].expected),
			     10000 + end_rows[i].left, "%zu", i);
}

/* Guards against a hold of a worker whose room comes late or never. */
static const struct {
	const char *name;
	int64_t room; /* cores */
	struct {
		int64_t at, cores;
	} ends[4];
	int64_t need;
	int64_t at, spare; /* expected */
} room_rows[] = {
	{"room now", 16, {{900, 8}}, 12, 100, 4},
	{"after one end", 4, {{900, 8}, {500, 8}}, 12, 500, 0},
	{"after two ends", 4, {{900, 8}, {500, 4}, {700, 4}}, 12, 700, 0},
	{"ends at one time", 4, {{500, 4}, {500, 8}, {700, 4}}, 8, 500, 8},
	{"never", 4, {{500, 4}}, 12, LOOKAHEAD_NEVER, 0},
	{"smaller than its tasks", -4, {{500, 8}, {600, 8}}, 12, 600, 0},
};
Test(lookahead, when_there_is_room)
{
	struct lookahead_end ends[4];
	struct resources spare;
	int64_t at;
	size_t i, n;

	for (i = 0; i < NELEMS(room_rows); i++) {
		for (n = 0; n < 4 && room_rows[i].ends[n].at; n++)
			ends[n] = (struct lookahead_end){
				room_rows[i].ends[n].at,
				cores(room_rows[i].ends[n].cores)};
		spare = cores(0);
		at = lookahead_room_at(cores(room_rows[i].room), 100, ends, n,
				       cores(room_rows[i].need), &spare);
		cr_expect_eq(at, room_rows[i].at, "%s: at %lld",
			     room_rows[i].name, (long long)at);
		cr_expect_eq(spare.cpu, room_rows[i].spare * CORE,
			     "%s: %lld spare", room_rows[i].name,
			     (long long)spare.cpu);
	}
}

/* Guards against small tasks that delay a held one, or wait without need. */
static const struct {
	const char *name;
	int64_t spare, need, end;
	bool starts;
} backfill_rows[] = {
	{"gone by then", 0, 4, 800, true},
	{"at that time", 0, 4, 1000, true},
	{"longer", 0, 4, 1001, false},
	{"longer, but beside it", 4, 4, 5000, true},
	{"stays, beside it", 4, 4, LOOKAHEAD_NEVER, true},
	{"stays", 2, 4, LOOKAHEAD_NEVER, false},
};
Test(lookahead, what_uses_the_gap)
{
	struct hold h = {.tasks = 1, .room_at = 1000};
	size_t i;

	for (i = 0; i < NELEMS(backfill_rows); i++) {
		h.spare = cores(backfill_rows[i].spare);
		cr_expect_eq(
			lookahead_leaves_room(&h, cores(backfill_rows[i].need),
					      backfill_rows[i].end),
			backfill_rows[i].starts, "%s", backfill_rows[i].name);
	}
}

/* Guards against a long-running task that waits for a hold's room. */
static const struct {
	const char *name;
	int64_t run_ms;
	bool starts;
} bound_rows[] = {
	{"gone by then", 800, true},
	{"longer", 1001, false},
	{"long-running", LOOKAHEAD_NEVER, true},
};
Test(lookahead, what_a_hold_binds)
{
	struct sched *s = calloc(1, sizeof(*s));
	struct worker w = {.hold = {.tasks = 1, .room_at = 1000, .pass = 1},
			   .row.capacity = cores(16),
			   .used = cores(12)};
	struct pool p = {.held = {&w}, .held_count = 1};
	size_t i;

	cr_assert_not_null(s);
	s->place_serial = 1;
	for (i = 0; i < NELEMS(bound_rows); i++)
		cr_expect_eq(lookahead_has_room(s, &p, cores(4),
						bound_rows[i].run_ms),
			     bound_rows[i].starts, "%s", bound_rows[i].name);
	free(s);
}

/* Submits a job that has its number in its id. */
static void submit(struct world *w, unsigned n, const struct world_job *job)
{
	char id[24];

	snprintf(id, sizeof(id), "%x00000000000%04x", n % 16, n);
	world_submit(w, n % WORLD_VMS, id, job);
}

/* Disables mechanisms on all VMs. */
static void disable(struct world *w, unsigned policies)
{
	unsigned i;

	for (i = 0; i < WORLD_VMS; i++)
		world_sched(w, i)->options.disabled |= policies;
}

/*
 * Runs a world in which small tasks come without a pause, and a large job after
 * a while.  Returns how long that job took, at most 6 s.
 */
static int64_t large_job_ms(struct world *w, const struct world_job *large)
{
	struct world_job small = {.tasks = 2};
	static const char id[] = "0000000000000fff";
	int64_t ms, asked_at = 1500;

	for (ms = 0; ms < asked_at + 6000; ms += 25) {
		if (ms == asked_at)
			world_submit(w, other(w), id, large);
		if (ms > asked_at &&
		    !strcmp(world_job_state(w, id), "completed"))
			break;
		small.task_ms = 500 + 137 * (ms / 25) % 400;
		submit(w, (unsigned)(ms / 25), &small);
		world_run(w, 25);
	}
	return ms - asked_at;
}

/*
 * Guards against a large task, or a gang, that waits while each piece of room
 * that becomes free is taken by a small task that came later.
 */
static const struct {
	const char *name;
	struct world_job large;
	int64_t most_ms;
} wait_rows[] = {
	{"most of a machine", {.tasks = 1, .task_ms = 500, .cpu = 14000}, 4500},
	{"half of a machine, twice",
	 {.tasks = 2, .task_ms = 500, .cpu = 8000},
	 4500},
	{"a gang",
	 {.tasks = 3, .task_ms = 500, .cpu = 5000, .gang = true},
	 4500},
};
Test(lookahead, a_large_task_finds_room)
{
	struct world *w;
	int64_t with, without;
	unsigned row;

	for (row = 0; row < NELEMS(wait_rows); row++) {
		w = world_new_settled(1900 + row);
		disable(w, 1U << POLICY_ADMISSION);
		with = large_job_ms(w, &wait_rows[row].large);
		cr_expect_null(world_violation(w), "%s: %s",
			       wait_rows[row].name, world_violation(w));
		cr_expect_gt(world_log_count(w, LOG_HOLD_MADE), 0, "%s",
			     wait_rows[row].name);
		world_free(w);
		w = world_new_settled(1900 + row);
		disable(w, 1U << POLICY_ADMISSION | 1U << POLICY_LOOKAHEAD);
		without = large_job_ms(w, &wait_rows[row].large);
		world_free(w);
		cr_log_info("%s: %lld ms, %lld ms without", wait_rows[row].name,
			    (long long)with, (long long)without);
		cr_expect(with <= wait_rows[row].most_ms && with < without,
			  "%s: %lld ms, %lld ms without", wait_rows[row].name,
			  (long long)with, (long long)without);
	}
}

/*
 * Guards against holds that take much of a small pool, or a worker of a pool
 * that has room soon anyway.
 */
static const struct {
	const char *name;
	unsigned workers, small_jobs;
	struct world_job large;
} no_hold_rows[] = {
	{"one worker", 1, 8, {.tasks = 1, .task_ms = 500, .cpu = 14000}},
	{"three workers", 3, 24, {.tasks = 1, .task_ms = 500, .cpu = 14000}},
};
Test(lookahead, no_hold_that_costs_more_than_it_gives)
{
	struct world_job small = {.tasks = 1, .task_ms = 3000};
	struct world *w;
	unsigned row, n;

	for (row = 0; row < NELEMS(no_hold_rows); row++) {
		w = world_new(1980 + row, WORLD_VMS, no_hold_rows[row].workers);
		world_run(w, 2000);
		disable(w, 1U << POLICY_ADMISSION);
		for (n = 0; n < no_hold_rows[row].small_jobs; n++)
			submit(w, n, &small);
		world_run(w, 300);
		world_submit(w, other(w), "0000000000000fff",
			     &no_hold_rows[row].large);
		world_run(w, 1500);
		cr_expect_eq(world_log_count(w, LOG_HOLD_MADE), 0, "%s",
			     no_hold_rows[row].name);
		world_free(w);
	}
}

/* What happens while a worker is held. */
enum trouble { TROUBLE_DRAIN, TROUBLE_CRASH, TROUBLE_OWNER_DIES };

/* Brings trouble about: to the worker that is held, or to the owner. */
static void bring_about(struct world *w, enum trouble trouble)
{
	unsigned n = owner(w);
	struct worker *k = world_sched(w, n)->workers;
	unsigned i = 0;
	char *id;

	while (k && !k->hold.tasks)
		k = k->hh.next;
	cr_assert_not_null(k, "no worker is held");
	id = bstr_cstr(k->id);
	cr_assert_eq(sscanf(id, "i-%u", &i), 1);
	free(id);
	switch (trouble) {
	case TROUBLE_DRAIN:
		world_drain_worker(w, i);
		break;
	case TROUBLE_CRASH:
		world_crash_worker(w, i);
		break;
	case TROUBLE_OWNER_DIES:
		world_kill_vm(w, n);
		break;
	}
}

/*
 * Guards against a large task that waits for a worker that has left, or for an
 * owner that is gone.
 */
static const struct {
	const char *name;
	enum trouble trouble;
} trouble_rows[] = {
	{"the held worker drains", TROUBLE_DRAIN},
	{"the held worker crashes", TROUBLE_CRASH},
	{"the owner dies", TROUBLE_OWNER_DIES},
};
Test(lookahead, a_hold_ends_with_its_worker_or_owner)
{
	static const struct world_job large = {
		.tasks = 1, .task_ms = 500, .cpu = 14000};
	static const char id[] = "0000000000000fff";
	struct world_job small = {.tasks = 1};
	struct world *w;
	unsigned row, n;
	bool done;

	for (row = 0; row < NELEMS(trouble_rows); row++) {
		w = world_new_settled(1950 + row);
		disable(w, 1U << POLICY_ADMISSION);
		for (n = 0; n < 48; n++) {
			small.task_ms = 1500 + 400 * (n % 8);
			submit(w, n, &small);
		}
		world_run(w, 300);
		world_submit(w, other(w), id, &large);
		world_run(w, 300);
		bring_about(w, trouble_rows[row].trouble);
		for (n = 0; n < 160; n++) {
			world_run(w, 50);
			done = !strcmp(world_job_state(w, id), "completed");
			if (done)
				break;
		}
		cr_expect(done, "%s: not done", trouble_rows[row].name);
		cr_expect_null(world_violation(w), "%s: %s",
			       trouble_rows[row].name, world_violation(w));
		world_free(w);
	}
}
