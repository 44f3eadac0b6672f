/*
 * Tests of the count of waiting jobs that all VMs report to callers while
 * owners, the store and workers fail. The world asks all VMs throughout and
 * knows what waits, see support-world.h: a VM that doesn't know the count may
 * refuse, but may not report too low a one.
 */
#include "support-world.h"

#include <criterion/criterion.h>

#define VMS 4
#define JOBS 50
#define FILLER "0fffffffffffffff"
#define ASK_MS 50
/* Capacity of two tasks, so that few jobs run at a time. */
#define LOW_LIMIT 4000

static const struct world_job one = {.tasks = 1, .task_ms = 2000};
/* The whole capacity of the pool. */
static const struct world_job filler = {.tasks = 48, .long_running = true};

enum fill {
	EMPTY,	 /* the pool has free capacity */
	LIMITED, /* the organisation's upper limit lets few tasks run */
	FILLED	 /* long-running tasks use the whole pool */
};

/*
 * Returns a world with an owner, in which new jobs must wait unless the fill is
 * EMPTY.
 */
static struct world *world_new_settled(uint64_t seed, enum fill fill)
{
	struct world *w = world_new(seed, VMS, WORLD_WORKERS);

	world_run(w, 2000);
	cr_assert_neq(world_owner(w), -1);
	if (fill == LIMITED)
		world_set_limit(w, LOW_LIMIT);
	if (fill == FILLED)
		world_submit(w, (unsigned)world_owner(w), FILLER, &filler);
	world_run(w, 3000);
	return w;
}

/* Returns the id of a job; the ids are spread over all parts of the table. */
static const char *job_id(unsigned i)
{
	static char id[17];

	snprintf(id, sizeof(id), "%x%015x", i % 16, i);
	return id;
}

/* Sets of VMs are bit masks. */
#define VM(n) (1U << (n))

/* Submits all jobs, through every VM except those of a set. */
static void submit_all(struct world *w, unsigned excluded)
{
	uint64_t calls[JOBS];
	unsigned i, vm = 0;

	for (i = 0; i < JOBS; i++) {
		do
			vm = (vm + 1) % VMS;
		while (excluded & VM(vm));
		calls[i] = world_submit(w, vm, job_id(i), &one);
	}
	world_run(w, 10);
	for (i = 0; i < JOBS; i++)
		cr_assert_eq(world_call_status(w, calls[i]), 200);
}

/*
 * Ends all faults, and checks that every VM then reports the count whenever it
 * is asked, and that all jobs are completed.
 */
static void check_recovered(struct world *w, const char *row)
{
	unsigned reported, refused, i, done = 0;

	world_refuse_starts(w, REFUSAL_NONE);
	world_set_lost_starts(w, 0);
	world_set_store_mode(w, WORLD_STORE_OK);
	world_set_store_delay(w, 0);
	world_set_page_rows(w, 0);
	for (i = 0; i < VMS; i++) {
		world_cut_store(w, i, false);
		world_set_vm_store_mode(w, i, WORLD_STORE_OK);
		world_set_vm_store_delay(w, i, 0);
		world_stall_reads(w, i, TABLE_JOBS, false);
		world_start_vm(w, i);
	}
	world_run(w, 6000);
	reported = world_counts_answered(w);
	refused = world_counts_refused(w);
	world_run(w, 1000);
	cr_expect_eq(world_counts_refused(w), refused,
		     "%s: refused after the faults", row);
	cr_expect_geq(world_counts_answered(w),
		      reported + VMS * (1000 / ASK_MS - 1),
		      "%s: not reported after the faults", row);
	world_set_limit(w, 0);
	world_call(w, 0, VERB_CANCEL, FILLER);
	world_run(w, 20000);
	for (i = 0; i < JOBS; i++)
		done += !strcmp(world_job_state(w, job_id(i)), "completed");
	cr_expect_eq(done, JOBS, "%s: %u jobs are completed", row, done);
	cr_log_info("%s: %u reported, %u refused", row,
		    world_counts_answered(w), world_counts_refused(w));
	cr_expect_null(world_violation(w), "%s: %s", row, world_violation(w));
	world_free(w);
}

/*
 * Fifty jobs have waited for six seconds when the owner is lost. Its successor
 * takes longer to read the store, which answers slowly and a few rows at a
 * time, than the interval of its heartbeats. Callers of any VM must not be told
 * the few jobs read so far as the count. The fault: a successor's heartbeats
 * published the count of a table that was still being read, 0 at first, to all
 * VMs; the first wrong answers came between OWNER_GAINED and OWNER_READY.
 */
Test(waiting, successor_reads_slowly)
{
	static const struct {
		const char *name;
		enum fill fill;
		int64_t slow_ms;
		unsigned page_rows;
		bool stops, freezes, returns;
	} rows[] = {
		{"killed, read fast", LIMITED, 0, 0},
		{"killed, one row a page", LIMITED, 300, 1},
		{"killed, two rows a page", FILLED, 250, 2},
		{"killed, slow, large pages", FILLED, 500, 0},
		{"killed, very slow", LIMITED, 600, 1},
		{"killed and started again", FILLED, 300, 1, .returns = true},
		{"stopped as planned", LIMITED, 300, 1, .stops = true},
		{"suspended", FILLED, 300, 1, .freezes = true},
	};
	struct world *w;
	unsigned i, lost;

	for (i = 0; i < NELEMS(rows); i++) {
		w = world_new_settled(700 + i, rows[i].fill);
		lost = (unsigned)world_owner(w);
		submit_all(w, 0);
		world_poll_counts(w, ASK_MS);
		world_run(w, 6000);
		world_set_store_delay(w, rows[i].slow_ms);
		world_set_page_rows(w, rows[i].page_rows);
		world_run(w, 1000);
		cr_expect_null(world_violation(w), "%s, before: %s",
			       rows[i].name, world_violation(w));
		if (rows[i].stops)
			world_stop_vm(w, lost);
		else if (rows[i].freezes)
			world_freeze_vm(w, lost, 6000);
		else
			world_kill_vm(w, lost);
		if (rows[i].returns)
			world_start_vm(w, lost);
		world_run(w, 9000);
		check_recovered(w, rows[i].name);
	}
}

/*
 * Fifty jobs are accepted, and heartbeats stop before the next one would have
 * counted them: the owner is lost, and no VM can take over for ten seconds. The
 * last published count becomes out of date then, and callers must not be told
 * it, nor by a VM that was suspended and reads the last heartbeat only then.
 * The fault: a count had no age and was reported without end; COUNT_TOLD showed
 * source=beat and an age of 5 s and more at each wrong answer.
 */
Test(waiting, nobody_follows)
{
	static const struct {
		const char *name;
		enum fill fill;
		bool killed;
		enum world_store_mode all;
		bool cut;
		bool suspends; /* one VM is suspended, and is not cut off */
	} rows[] = {
		{"killed, the others cut off", FILLED, true, WORLD_STORE_OK,
		 true},
		{"killed, the store refuses", FILLED, true,
		 WORLD_STORE_REFUSES},
		{"killed, the store is silent", LIMITED, true,
		 WORLD_STORE_NO_ANSWER},
		{"alive, all cut off", FILLED, false, WORLD_STORE_OK, true},
		{"alive, the store refuses", LIMITED, false,
		 WORLD_STORE_REFUSES},
		{"alive, the store loses answers", FILLED, false,
		 WORLD_STORE_LOSES_ANSWERS},
		{"killed, one suspended", FILLED, true, WORLD_STORE_OK, true,
		 true},
	};
	struct world *w;
	unsigned i, vm, lost, suspended, reported;

	for (i = 0; i < NELEMS(rows); i++) {
		w = world_new_settled(720 + i, rows[i].fill);
		lost = (unsigned)world_owner(w);
		suspended = (lost + 1) % VMS;
		world_poll_counts(w, ASK_MS);
		if (rows[i].suspends) {
			world_freeze_vm(w, suspended, 8000);
			world_run(w, 2500);
		}
		submit_all(w, VM(lost) | VM(suspended));
		if (rows[i].killed)
			world_kill_vm(w, lost);
		world_set_store_mode(w, rows[i].all);
		for (vm = 0; vm < VMS; vm++)
			world_cut_store(w, vm,
					rows[i].cut && !(rows[i].suspends &&
							 vm == suspended));
		/* The published count is valid for 2 s, with 1 s of margin. */
		world_run(w, 3000);
		reported = world_counts_answered(w);
		world_run(w, 7000);
		if (rows[i].all != WORLD_STORE_LOSES_ANSWERS &&
		    !rows[i].suspends)
			cr_expect_eq(world_counts_answered(w), reported,
				     "%s: reported for too long", rows[i].name);
		check_recovered(w, rows[i].name);
	}
}

/*
 * One VM, the owner or another, gets no heartbeats for ten seconds; meanwhile
 * fifty jobs are accepted through the others and wait. Its callers must not be
 * told the earlier count, neither while it is cut off nor right after it
 * resumes or is reconnected. A suspended VM first reads answers that were sent
 * before: they must not set its estimate of the store's clock back, which would
 * make the old count seem current.
 */
Test(waiting, one_does_not_hear)
{
	static const struct {
		const char *name;
		enum world_store_mode mode;
		bool cut, freezes, stalled, owns;
	} rows[] = {
		{"cut off", WORLD_STORE_OK, .cut = true},
		{"refused", WORLD_STORE_REFUSES},
		{"silent", WORLD_STORE_NO_ANSWER},
		{"suspended", WORLD_STORE_OK, .freezes = true},
		{"the owner's rows stall", WORLD_STORE_OK, .stalled = true},
		{"the owner cut off", WORLD_STORE_OK, .cut = true,
		 .owns = true},
		{"the owner refused", WORLD_STORE_REFUSES, .owns = true},
		{"the owner suspended", WORLD_STORE_OK, .freezes = true,
		 .owns = true},
	};
	struct world *w;
	unsigned i, vm;

	for (i = 0; i < NELEMS(rows); i++) {
		w = world_new_settled(740 + i, FILLED);
		vm = ((unsigned)world_owner(w) + !rows[i].owns) % VMS;
		world_poll_counts(w, ASK_MS);
		world_cut_store(w, vm, rows[i].cut);
		world_set_vm_store_mode(w, vm, rows[i].mode);
		world_stall_reads(w, vm, TABLE_OWNER, rows[i].stalled);
		if (rows[i].freezes)
			world_freeze_vm(w, vm, 12500);
		/* Answers to earlier requests may still arrive. */
		world_run(w, 2500);
		submit_all(w, VM(vm));
		world_run(w, 10000);
		world_stall_reads(w, vm, TABLE_OWNER, false);
		check_recovered(w, rows[i].name);
	}
}

/*
 * Fifty jobs are accepted and ordered to start, but all workers refuse every
 * start or never get it. No task has started, so all jobs wait. With a running
 * owner that the VMs hear from, every VM must report that; a successor, which
 * sees only that starts were ordered, must report the same or refuse. The
 * fault: the owner reported 0 to 2, as it counted a job as started from its
 * first order on, whatever the worker answered. No owner had changed, and each
 * job's starts had been refused.
 */
Test(waiting, no_start_is_taken)
{
	static const struct {
		const char *name;
		enum refusal why;
		unsigned lost_percent;
		bool killed;
	} rows[] = {
		{"unhealthy", REFUSAL_UNHEALTHY},
		{"no capacity", REFUSAL_CAPACITY},
		{"busy", REFUSAL_BUSY},
		{"invalid", REFUSAL_INVALID},
		{"lost on the way", REFUSAL_NONE, 100},
		{"unhealthy, the owner killed", REFUSAL_UNHEALTHY, 0, true},
		{"lost on the way, the owner killed", REFUSAL_NONE, 100, true},
	};
	struct world *w;
	unsigned i, starts;

	for (i = 0; i < NELEMS(rows); i++) {
		w = world_new_settled(760 + i, EMPTY);
		world_poll_counts(w, ASK_MS);
		world_refuse_starts(w, rows[i].why);
		world_set_lost_starts(w, rows[i].lost_percent);
		starts = world_starts(w);
		submit_all(w, 0);
		world_run(w, 6000);
		if (rows[i].killed)
			world_kill_vm(w, (unsigned)world_owner(w));
		else
			cr_expect_eq(world_counts_refused(w), 0, "%s: refused",
				     rows[i].name);
		world_run(w, 9000);
		cr_expect_eq(world_starts(w), starts);
		check_recovered(w, rows[i].name);
	}
}

/*
 * The owner's heartbeats are in time, but it reads the jobs' table late or not
 * at all, while fifty jobs are accepted through the other VMs. As it doesn't
 * know of them, no VM may report its count as current. The fault: all VMs did,
 * as the age of a heartbeat isn't the age of the table that it was counted
 * from, which OWNER_BEAT showed to be 5 s and more.
 */
Test(waiting, owner_reads_no_jobs)
{
	static const struct {
		const char *name;
		enum fill fill;
		bool stalled;
		int64_t slow_ms;
		unsigned page_rows;
		int64_t drop_every_ms;
	} rows[] = {
		{"reads get no answer", FILLED, true},
		{"reads get no answer, an upper limit", LIMITED, true},
		{"slow for the owner", FILLED, false, 500},
		{"at the edge of the timeout", FILLED, false, 690},
		{"history dropped repeatedly", FILLED, false, 0, 0, 100},
		{"history dropped, slow, small pages", FILLED, false, 350, 1,
		 300},
	};
	struct world *w;
	unsigned i, slow_owner;
	int64_t t, interval_ms;

	for (i = 0; i < NELEMS(rows); i++) {
		w = world_new_settled(780 + i, rows[i].fill);
		slow_owner = (unsigned)world_owner(w);
		world_poll_counts(w, ASK_MS);
		world_stall_reads(w, slow_owner, TABLE_JOBS, rows[i].stalled);
		world_set_vm_store_delay(w, slow_owner, rows[i].slow_ms);
		world_set_page_rows(w, rows[i].page_rows);
		interval_ms = rows[i].drop_every_ms ? rows[i].drop_every_ms
						    : 1000;
		world_run(w, 1000);
		if (rows[i].drop_every_ms)
			world_compact_history(w);
		submit_all(w, VM(slow_owner));
		for (t = 0; t < 10000; t += interval_ms) {
			if (rows[i].drop_every_ms)
				world_compact_history(w);
			world_run(w, interval_ms);
		}
		check_recovered(w, rows[i].name);
	}
}

/*
 * All VMs lose power while fifty jobs wait, and start together. Callers ask
 * from the first moment on: the heartbeat that the VMs find in the store is
 * from before the loss, or from a successor that is still reading. The fault:
 * they reported the earlier count, however long they had been off. The age of a
 * heartbeat goes by the store's clock, which makes such a count out of date.
 */
Test(waiting, all_lose_power)
{
	static const struct {
		const char *name;
		enum fill fill;
		int64_t waited_ms; /* before the loss */
		int64_t off_ms;
		int64_t slow_ms;
		unsigned page_rows;
	} rows[] = {
		{"had waited, short", FILLED, 6000, 100, 0, 0},
		{"had waited, short, slow store", LIMITED, 6000, 100, 300, 1},
		{"had waited, long, slow store", FILLED, 6000, 8000, 300, 1},
		{"just accepted, short", FILLED, 0, 100, 0, 0},
		{"just accepted, long", FILLED, 0, 6000, 0, 0},
		{"just accepted, long, limit", LIMITED, 0, 6000, 0, 0},
		{"just accepted, long, slow store", FILLED, 0, 6000, 300, 1},
	};
	struct world *w;
	unsigned i, vm;

	for (i = 0; i < NELEMS(rows); i++) {
		w = world_new_settled(800 + i, rows[i].fill);
		submit_all(w, 0);
		world_run(w, rows[i].waited_ms);
		for (vm = 0; vm < VMS; vm++)
			world_kill_vm(w, vm);
		world_run(w, rows[i].off_ms);
		world_set_store_delay(w, rows[i].slow_ms);
		world_set_page_rows(w, rows[i].page_rows);
		for (vm = 0; vm < VMS; vm++)
			world_start_vm(w, vm);
		world_poll_counts(w, ASK_MS);
		world_run(w, 9000);
		check_recovered(w, rows[i].name);
	}
}
