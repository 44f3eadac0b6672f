/*
 * A new owner of the scheduling and the facts it takes over: none is used,
 * published or written over before it was read, or when it is old.
 */
#include "world-calm.h"

#include "../sched-state.h"

#define JOB_A "00000000000000aa"
#define JOB_B "10000000000000bb"

static const struct world_job quick = {.tasks = 3, .task_ms = 400};
static const struct world_job pair = {
	.tasks = 2, .long_running = true, .max_per_worker = 1};
static const struct world_job four = {
	.tasks = 4, .long_running = true, .max_per_worker = 1};

/* Check that all was kept, and free the world. */
static void check_free(struct world *w, const char *name, unsigned row)
{
	cr_expect_null(world_violation(w), "%s, row %u: %s", name, row,
		       world_violation(w));
	world_free(w);
}

/* Cut a VM off from the store, and from all others the workers in use. */
static void cut_with_its_workers(struct world *w, unsigned n)
{
	unsigned i, k;

	world_cut_store(w, n, true);
	for (i = 0; i < 6; i++)
		for (k = 0; k < 4; k++)
			world_cut_worker(w, k, i,
					 (k == n) !=
						 (world_starts_of(w, i) > 0));
}

/*
 * An organisation runs twice what its limit allows.  A data centre is cut off
 * with the owner and two workers that run all the organisation may have.  The
 * successor, or the one after it, has to go by the ceilings that the owner cut
 * off has told: a beat written before they were read, or before all leases of
 * before have ended, must not leave them out.
 */
static const struct {
	const char *name;
	enum table slow; /* pages of it come late at the takeover */
	int64_t slow_ms;
	int64_t next_ms; /* the successor dies so long after it; 0: not */
} ceiling_rows[] = {
	{"progress is read late", TABLE_PROGRESS, 650, 0},
	{"jobs are read late", TABLE_JOBS, 650, 0},
	{"the beat is read late", TABLE_OWNER, 650, 0},
	{"the successor dies while it reads", TABLE_PROGRESS, 690, 500},
	{"the successor dies before it has read the beat", TABLE_OWNER, 690,
	 500},
	{"the successor dies as it begins", TABLE_JOBS, 0, 60},
	{"the successor dies before it has settled", TABLE_JOBS, 0, 500},
};
static void ceilings_at_takeover(unsigned row)
{
	struct world *w = calm(500 + row);
	unsigned n, next, k;

	world_set_limit(w, 4000);
	world_run(w, 2500);
	world_submit(w, other(w), JOB_A, &pair);
	world_run(w, 900);
	cr_assert_eq(world_starts(w), 2);
	world_set_page_delay(w, ceiling_rows[row].slow,
			     ceiling_rows[row].slow_ms);
	n = owner(w);
	cut_with_its_workers(w, n);
	for (k = 0; k < 300 && owner(w) == n; k++)
		world_run(w, 10);
	next = owner(w);
	cr_assert_neq(next, n);
	if (ceiling_rows[row].next_ms) {
		world_run(w, ceiling_rows[row].next_ms);
		world_set_page_delay(w, ceiling_rows[row].slow, 0);
		world_kill_vm(w, next);
	}
	for (k = 0; k == n || k == next; k++)
		;
	world_submit(w, k, JOB_B, &quick);
	world_run(w, 12000);
	check_free(w, ceiling_rows[row].name, row);
}
Test(takeover, ceilings_are_kept)
{
	unsigned i;

	for (i = 0; i < NELEMS(ceiling_rows); i++)
		ceilings_at_takeover(i);
}

/*
 * Nothing that callers submit begins any more.  While a successor reads, the
 * history of the jobs' feed goes, so that they are read anew; the page of
 * progress that was under way comes meanwhile.  It has to be asked for again,
 * or the successor reads for ever, and beats so that nobody replaces it.
 */
Test(takeover, history_gone_while_reading)
{
	struct world *w;
	unsigned n, k, row;
	uint64_t a;

	for (row = 0; row < 6; row++) {
		w = calm(520 + row);
		n = owner(w);
		world_set_page_delay(w, TABLE_PROGRESS, 350);
		world_set_page_delay(w, TABLE_WORKERS, 300);
		world_kill_vm(w, n);
		for (k = 0; k < 300 && world_owner(w) == -1; k++)
			world_run(w, 10);
		world_run(w, 20 + 20 * row);
		world_set_page_delay(w, TABLE_JOBS, 400);
		world_unlist_worker(w, 5,
				    false); /* a change of after it asked */
		world_compact_history(w);
		a = world_submit(w, other(w), JOB_A, &quick);
		world_run(w, 1500);
		world_set_page_delay(w, TABLE_JOBS, 0);
		world_run(w, 6000);
		cr_expect_eq(world_call_status(w, a), 200);
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed",
				 "row %u", row);
		check_free(w, "history", row);
	}
}

/*
 * A job of long ago runs a second time.  Its rows are to be removed, and the
 * store refuses that, or gives no answer; then the history of the feeds goes
 * and all jobs are read again, this one too.  It is final as long as its row
 * may be there.
 */
Test(takeover, removal_fails)
{
	static const enum world_store_mode modes[] = {WORLD_STORE_REFUSES,
						      WORLD_STORE_NO_ANSWER};
	struct world *w;
	unsigned i;

	for (i = 0; i < NELEMS(modes); i++) {
		w = calm(540 + i);
		world_submit(w, other(w), JOB_A, &quick);
		world_run(w, 99500);
		cr_assert_str_eq(world_job_state(w, JOB_A), "completed");
		/* Its removal falls into an outage too short to end leases. */
		world_set_store_mode(w, modes[i]);
		world_run(w, 4000);
		world_set_store_mode(w, WORLD_STORE_OK);
		world_run(w, 800);
		world_compact_history(w);
		world_run(w, 6000);
		cr_expect_eq(world_starts(w), 3, "%u starts, row %u",
			     world_starts(w), i);
		cr_expect_str_eq(world_job_state(w, JOB_A), "",
				 "it goes, row %u", i);
		check_free(w, "removal", i);
	}
}

/*
 * A job of long ago runs a second time.  The history of the feeds goes, all
 * jobs are read again, and this one's rows are removed between the reading of
 * its page and the page's arrival: the page must not make it a new job.
 */
Test(takeover, removed_after_its_page)
{
	struct world *w;
	unsigned row;

	for (row = 0; row < 4; row++) {
		w = calm(550 + row);
		world_submit(w, other(w), JOB_A, &quick);
		world_run(w, 99800 + 250 * row);
		world_set_page_delay(w, TABLE_JOBS, 650);
		world_unlist_worker(w, 5,
				    false); /* a change of after the last */
		world_compact_history(w);
		world_submit(w, other(w), JOB_B, &quick);
		world_run(w, 2500);
		world_set_page_delay(w, TABLE_JOBS, 0);
		world_run(w, 4000);
		cr_expect_eq(world_starts(w), 6, "%u starts, row %u",
			     world_starts(w), row);
		cr_expect_str_eq(world_job_state(w, JOB_A), "",
				 "it goes, row %u", row);
		check_free(w, "page", row);
	}
}

/*
 * The users of a lasting job get each answer twice.  A beat without an answer
 * is carried out seconds later and sets the row of noted workers back: a
 * worker that was noted since is not in it.  That one is cut off with its row
 * lapsed when the owner dies, and the successor must know of it.
 */
Test(takeover, late_beat)
{
	static const struct world_job five = {
		.tasks = 5, .long_running = true, .max_per_worker = 1};
	struct world *w;
	unsigned row, n, k;

	for (row = 0; row < 10; row++) {
		w = world_new(560 + row, 4, 6);
		world_unlist_worker(w, 1, true);
		world_unlist_worker(w, 5, true);
		world_run(w, 2000);
		n = owner(w);
		world_set_vm_store_mode(w, n, WORLD_STORE_LATE);
		world_unlist_worker(w, 5, false);
		world_run(w, 60);
		world_set_vm_store_mode(w, n, WORLD_STORE_OK);
		world_run(w, 900);
		world_unlist_worker(w, 1, false);
		world_run(w, 500);
		/* The owner can't use one, which its successor can. */
		world_cut_worker(w, n, 0, true);
		world_run(w, 1500);
		world_submit(w, other(w), JOB_A, &five);
		world_run(w, 700);
		cr_assert_eq(owner(w), n);
		cr_assert_eq(world_starts_of(w, 1), 1, "row %u", row);
		world_unlist_worker(w, 1, true);
		for (k = 0; k < 4; k++)
			world_cut_worker(w, k, 1, k != n);
		world_run(w, 200);
		world_kill_vm(w, n);
		world_run(w, 9000);
		check_free(w, "late beat", row);
	}
}

/*
 * The operator sees a wave run on that was completed, and the users of a
 * lasting job get each answer twice.  A note of the wave without an answer is
 * carried out seconds later: the machine that was done since is not in it.
 * All VMs start anew, the next owner calls for that machine again, which
 * succeeds, and takes the life that serves there now for ended.
 */
Test(takeover, late_wave_note)
{
	static const struct world_job five = {
		.tasks = 5, .long_running = true, .max_per_worker = 1};
	static const struct world_job many = {.tasks = 43,
					      .long_running = true};
	struct world *w;
	unsigned row, n, k;

	for (row = 0; row < 8; row++) {
		w = calm(600 + row);
		world_submit(w, other(w), JOB_A, &five);
		world_run(w, 500);
		n = owner(w);
		world_set_vm_store_mode(w, n, WORLD_STORE_LATE);
		world_start_wave(w, 1, 1);
		world_run(w, 60);
		world_set_vm_store_mode(w, n, WORLD_STORE_OK);
		world_run(w, 3200);
		cr_assert_eq(world_maintained_count(w), 1, "row %u", row);
		/* All workers are full, that of the machine too. */
		world_submit(w, other(w), JOB_B, &many);
		world_run(w, 500);
		cr_assert_eq(owner(w), n);
		cr_expect(world_wave_is_completed(w), "row %u", row);
		world_call(w, other(w), VERB_CANCEL, JOB_A);
		world_run(w, 50);
		/* Who follows knows better than the row: all start anew. */
		for (k = 0; k < 4; k++)
			world_kill_vm(w, k);
		for (k = 0; k < 4; k++)
			world_start_vm(w, k);
		world_run(w, 16000);
		cr_expect(world_wave_is_completed(w), "row %u", row);
		check_free(w, "late note", row);
	}
}

/*
 * The users of a lasting job get each answer twice.  A claim without an answer
 * is carried out seconds later.  Meanwhile the owner is at work again, and
 * then cut off with workers that it goes on renewing: their leases count from
 * its last beat, not from the one that was seen before the claim was sent.
 */
Test(takeover, late_claim)
{
	struct world *w;
	unsigned row, n, k;

	for (row = 0; row < 24; row++) {
		w = calm(640 + row);
		world_submit(w, other(w), JOB_A, &four);
		world_run(w, 500);
		n = owner(w);
		for (k = 0; k < 4; k++)
			if (k != n)
				world_set_vm_store_mode(w, k, WORLD_STORE_LATE);
		world_freeze_vm(w, n, 1900);
		world_run(w, 2000 + 100 * row);
		cut_with_its_workers(w, n);
		for (k = 0; k < 4000 && owner(w) == n; k++)
			world_run(w, 1);
		for (k = 0; k < 4; k++)
			world_set_vm_store_mode(w, k, WORLD_STORE_OK);
		world_run(w, 12000);
		cr_expect_neq(owner(w), n, "row %u", row);
		check_free(w, "late claim", row);
	}
}

/*
 * An organisation runs more than its limit, and a job is given up after one
 * failure where three are allowed: all VMs start anew and read the
 * configuration last.  The owner has to wait for it.
 */
Test(takeover, configuration_is_read_late)
{
	static const struct world_job flaky = {
		.tasks = 1, .task_ms = 300, .failures = 2};
	struct world *w;
	unsigned row, k;

	for (row = 0; row < 4; row++) {
		w = calm(680 + row);
		world_set_limit(w, 4000);
		world_run(w, 2500);
		world_submit(w, 0, JOB_A, row % 2 ? &flaky : &four);
		world_run(w, 40);
		for (k = 0; k < 4; k++)
			world_kill_vm(w, k);
		world_set_page_delay(w, TABLE_OPERATOR, row / 2 ? 600 : 2000);
		for (k = 0; k < 4; k++)
			world_start_vm(w, k);
		world_run(w, 9000);
		if (row % 2)
			cr_expect_str_eq(world_job_state(w, JOB_A), "completed",
					 "row %u", row);
		check_free(w, "configuration", row);
	}
}

/*
 * A pool never gives back what it was lent.  How many machines the operator
 * gave each pool is known from the first list, before anything was moved: an
 * owner that moves one before the store knows these sizes, and dies, leaves its
 * successor a list that shows others.
 */
Test(takeover, moves_wait_for_the_sizes)
{
	static const struct world_job wide = {.tasks = 90, .task_ms = 3000};
	struct world *w;
	unsigned row, n;

	for (row = 0; row < 4; row++) {
		w = world_new(700 + row, 4, 6);
		world_add_standby_pool(w, 3);
		world_run(w, 60);
		world_submit(w, other(w), JOB_A, &wide);
		world_run(w, 26 + row);
		n = owner(w);
		world_set_vm_store_mode(w, n, WORLD_STORE_REFUSES);
		world_run(w, 600);
		world_kill_vm(w, n);
		world_run(w, 9000);
		cr_expect_eq(world_home_size(w), 3, "%u, row %u",
			     world_home_size(w), row);
		cr_expect_gt(world_move_count(w), 0, "row %u", row);
		check_free(w, "sizes", row);
	}
}

/*
 * Nothing that callers submit begins any more.  The store serves a table to
 * some VMs and not to the one that takes over: it can beat, and never has read
 * what it needs.  It has to let another VM own.
 */
Test(takeover, cannot_read)
{
	static const enum table tables[] = {TABLE_JOBS, TABLE_PROGRESS,
					    TABLE_WORKERS};
	struct world *w;
	unsigned row, n, k, sees;

	for (row = 0; row < 6; row++) {
		w = calm(720 + row);
		n = owner(w);
		sees = (n + 1 + row / 3) % 4;
		for (k = 0; k < 4; k++)
			world_stall_pages(w, k, tables[row % 3], k != sees);
		world_kill_vm(w, n);
		world_submit(w, sees, JOB_A, &quick);
		world_run(w, 20000);
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed",
				 "row %u", row);
		check_free(w, "cannot read", row);
	}
}

/*
 * A caller's tasks run a second time.  They have ended, and the owner takes the
 * machine that they ran on: the ends that its worker lists go with it, while
 * the commit that writes them has no answer yet.  If it is never carried out
 * and the owner is lost, nobody knows that they were done.
 */
Test(takeover, ends_are_written_before_their_machine_goes)
{
	struct world *w;
	unsigned row, n;

	for (row = 0; row < 24; row++) {
		w = calm(1300 + row);
		n = owner(w);
		world_submit(w, other(w), JOB_A, &quick);
		world_run(w, 100);
		world_start_wave(w, 6, 6);
		world_run(w, 200 + 8 * row);
		world_set_vm_store_mode(w, n, WORLD_STORE_NO_ANSWER);
		world_run(w, 25);
		world_set_vm_store_mode(w, n, WORLD_STORE_OK);
		world_run(w, 500);
		world_kill_vm(w, n);
		world_run(w, 9000);
		check_free(w, "written before it goes", row);
	}
}

/*
 * All that waits is served seconds late, without anybody having failed.  A
 * beat without an answer is carried out late, while the next one is on its way
 * to the store.  The owner hears of the first by its own feed before it is told
 * that the second was refused: the row's revision is then not newer than what
 * it knows, but newer than what the second demanded.  It is still the owner.
 */
Test(takeover, late_beat_is_heard_first)
{
	struct world *w;
	unsigned row, n, k, lost = 0;

	for (row = 0; row < 60; row++) {
		w = calm(720 + row);
		n = owner(w);
		world_set_vm_store_mode(w, n, WORLD_STORE_LATE);
		world_run(w, 420);
		world_set_vm_store_mode(w, n, WORLD_STORE_OK);
		world_set_vm_store_delay(w, n, 200 + 100 * (row % 5));
		for (k = 0; k < 600 && owner(w) == n; k++)
			world_run(w, 10);
		lost += owner(w) != n;
		check_free(w, "heard first", row);
	}
	cr_expect_eq(lost, 0, "%u owners of %u were replaced", lost, row);
}

/*
 * Machines that are not needed are called up and paid for.  A successor has
 * not noted its workers yet, or has not heard them all, and counts only those
 * it may use: pools with room in plenty seem to have none for what runs there.
 */
Test(takeover, no_moves_before_workers_are_known)
{
	static const struct world_job little = {.tasks = 1, .task_ms = 8000};
	struct world *w;
	unsigned row;

	for (row = 0; row < 4; row++) {
		w = world_new(840 + row, 4, 6);
		world_add_standby_pool(w, 3);
		world_run(w, 4000);
		world_submit(w, other(w), JOB_A, &little);
		world_run(w, 1500);
		cr_expect_eq(world_move_count(w), 0, "%u moved before, row %u",
			     world_move_count(w), row);
		world_set_store_delay(w, row % 2 ? 300 : 0);
		world_run(w, 500);
		world_kill_vm(w, owner(w));
		world_run(w, 9000);
		cr_expect_eq(world_move_count(w), 0, "%u moved, row %u",
			     world_move_count(w), row);
		check_free(w, "moves", row);
	}
}

/*
 * Nobody schedules, although the owner is dead.  The store discards the feeds'
 * history each half second, so that its rows are read whole again and again:
 * a beat that was known before is no new sign of life.
 */
Test(takeover, old_beat_is_no_sign_of_life)
{
	struct world *w;
	unsigned row, n, k;

	for (row = 0; row < 4; row++) {
		w = calm(860 + row);
		n = owner(w);
		world_kill_vm(w, n);
		for (k = 0; k < 16; k++) {
			world_unlist_worker(w, 5, k % 2 == 0); /* a change */
			world_run(w, 20);
			world_compact_history(w);
			world_run(w, 480);
		}
		cr_expect_neq(world_owner(w), -1, "nobody in 8 s, row %u", row);
		world_run(w, 4000);
		cr_expect_neq(world_owner(w), -1, "nobody after, row %u", row);
		check_free(w, "old beat", row);
	}
}

/*
 * Lasting tasks stand still for as long as VMs replace each other: one that
 * reads thousands of jobs for longer than an owner may be silent does not beat
 * meanwhile, and the next one begins anew.
 */
Test(takeover, reading_a_long_book_is_no_silence)
{
	static const struct world_job one = {.tasks = 1, .task_ms = 60000};
	struct world *w;
	unsigned row, i;
	char id[24];

	for (row = 0; row < 4; row++) {
		w = calm(560 + row);
		for (i = 0; i < 320; i++) {
			snprintf(id, sizeof(id), "%x0000000000000%02x", i % 16,
				 i / 16);
			world_submit(w, i % 4, id, &one);
			world_run(w, 1);
		}
		world_run(w, 500);
		world_set_row_delay(w, 3 + row);
		world_kill_vm(w, owner(w));
		world_run(w, 12000);
		cr_expect_eq(world_epoch(w), 2, "row %u: epoch %u", row,
			     world_epoch(w));
		check_free(w, "long book", row);
	}
}

/* Have a successor own the scheduling; how long it then takes to settle. */
static int64_t settling_ms(struct world *w)
{
	unsigned n = owner(w), k;

	world_kill_vm(w, n);
	for (k = 0; k < 500 && world_owner(w) == -1; k++)
		world_run(w, 10);
	n = owner(w);
	for (k = 0; k < 1000 && !world_sched(w, n)->settled; k++)
		world_run(w, 10);
	return k * 10;
}

/* A successor waits, until no lease can hold, for a life it need not know. */
static const struct {
	const char *name;
	unsigned replaced; /* workers whose lives ended under the old owner */
	bool late;	   /* one is listed only after the takeover */
	bool silent;	   /* a noted worker can't be reached: it does wait */
	bool leaves;	   /* but not if it was empty and about to be moved */
} settle_rows[] = {
	{"all answer", 0, false, false, false},
	{"lives that were replaced", 4, false, false, false},
	{"one that nobody had noted", 0, true, false, false},
	{"one that was noted and is silent", 0, false, true, false},
	{"one that was about to be moved", 0, false, true, true},
};
static void settles_in_time(unsigned row)
{
	struct world *w = world_new(560 + row, 4, 6);
	unsigned i, k;
	int64_t ms;

	if (settle_rows[row].late) {
		world_unlist_worker(w, 5, true);
		for (k = 0; k < 4; k++)
			world_cut_worker(w, k, 5, true);
	}
	world_run(w, 2500);
	for (i = 0; i < settle_rows[row].replaced; i++) {
		world_replace_worker(w, i);
		world_run(w, 300);
	}
	if (settle_rows[row].leaves)
		worker_find(world_sched(w, owner(w)), bstr_lit("i-0-0"))
			->takedown_pending = true;
	world_run(w, 2500);
	for (k = 0; k < 4 && settle_rows[row].silent; k++)
		world_cut_worker(w, k, 0, true);
	if (settle_rows[row].late)
		world_unlist_worker(w, 5, false);
	ms = settling_ms(w);
	if (settle_rows[row].silent && !settle_rows[row].leaves)
		cr_expect_gt(ms, 3000, "%s", settle_rows[row].name);
	else
		cr_expect_lt(ms, 1500, "%s: %lld ms", settle_rows[row].name,
			     (long long)ms);
	check_free(w, settle_rows[row].name, row);
}
Test(takeover, settles_without_lives_that_hold_nothing)
{
	unsigned i;

	for (i = 0; i < NELEMS(settle_rows); i++)
		settles_in_time(i);
}
