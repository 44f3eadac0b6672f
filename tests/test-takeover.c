/*
 * Tests of a takeover of the scheduling by a new owner: it must not use,
 * publish or overwrite what it has not read yet, nor use what is out of date.
 * A test whose comment describes a failure guards against that failure.
 */
#include "world-calm.h"

#include "../sched-state.h"

#define GATHER_MS 5000 /* rows to remove wait this long for others */
#define JOB_A "00000000000000aa"
#define JOB_B "10000000000000bb"

static const struct world_job quick = {.tasks = 3, .task_ms = 400};
static const struct world_job two_tasks = {
	.tasks = 2, .long_running = true, .max_per_worker = 1};
static const struct world_job four_tasks = {
	.tasks = 4, .long_running = true, .max_per_worker = 1};

/* Checks that no invariant was violated, and frees the world. */
static void check_free(struct world *w, const char *name, unsigned row)
{
	cr_expect_null(world_violation(w), "%s, row %u: %s", name, row,
		       world_violation(w));
	world_free(w);
}

/*
 * Cuts a VM off from the store and from the unused workers, and all other VMs
 * from the workers in use.
 */
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
 * An organisation runs twice what its limit allows. A network partition cuts
 * off the owner with two workers, which run all that the organisation may have.
 * The successor, or the one after it, must respect the ceilings that the old
 * owner stored. A heartbeat that is written before they are read, or before all
 * earlier leases have ended, must not drop them.
 */
static const struct {
	const char *name;
	enum table slow; /* its pages are late at the takeover */
	int64_t slow_ms;
	int64_t next_ms; /* until the successor dies; 0: it doesn't */
} ceiling_rows[] = {
	{"progress is read late", TABLE_PROGRESS, 650, 0},
	{"jobs are read late", TABLE_JOBS, 650, 0},
	{"the heartbeat is read late", TABLE_OWNER, 650, 0},
	{"the successor dies while it reads", TABLE_PROGRESS, 690, 500},
	{"the successor dies before it has read the heartbeat", TABLE_OWNER,
	 690, 500},
	{"the successor dies at the start", TABLE_JOBS, 0, 60},
	{"the successor dies before it has settled", TABLE_JOBS, 0, 500},
};
static void ceilings_at_takeover(unsigned row)
{
	struct world *w = world_new_settled(500 + row);
	unsigned n, next, k;

	world_set_limit(w, 4000);
	world_run(w, 2500);
	world_submit(w, other(w), JOB_A, &two_tasks);
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
 * Jobs are no longer started. While a successor reads the tables, the history
 * of the jobs' feed is dropped, so that the jobs are read again, and the
 * requested page of progress arrives meanwhile. The page must be requested
 * again, or the successor reads for ever, and isn't replaced because its
 * heartbeats go on.
 */
Test(takeover, history_gone_while_reading)
{
	struct world *w;
	unsigned n, k, row;
	uint64_t a;

	for (row = 0; row < 6; row++) {
		w = world_new_settled(520 + row);
		n = owner(w);
		world_set_page_delay(w, TABLE_PROGRESS, 350);
		world_set_page_delay(w, TABLE_WORKERS, 300);
		world_kill_vm(w, n);
		for (k = 0; k < 300 && world_owner(w) == -1; k++)
			world_run(w, 10);
		world_run(w, 20 + 20 * row);
		world_set_page_delay(w, TABLE_JOBS, 400);
		world_unlist_worker(
			w, 5,
			false); /* changes after the successor's request */
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
 * An old job runs a second time. Its rows are due for removal, and the store
 * refuses that or doesn't answer. Then the history of the feeds is dropped and
 * all jobs are read again, this one too. It must stay final as long as its row
 * may exist.
 */
Test(takeover, removal_fails)
{
	static const enum world_store_mode modes[] = {WORLD_STORE_REFUSES,
						      WORLD_STORE_NO_ANSWER};
	struct world *w;
	unsigned i;

	for (i = 0; i < NELEMS(modes); i++) {
		w = world_new_settled(540 + i);
		world_submit(w, other(w), JOB_A, &quick);
		world_run(w, 99500 + GATHER_MS);
		cr_assert_str_eq(world_job_state(w, JOB_A), "completed");
		/*
		 * The removal falls into an outage that is too short for leases
		 * to expire.
		 */
		world_set_store_mode(w, modes[i]);
		world_run(w, 4000);
		world_set_store_mode(w, WORLD_STORE_OK);
		world_run(w, 800);
		world_compact_history(w);
		world_run(w, 6000);
		cr_expect_eq(world_starts(w), 3, "%u starts, row %u",
			     world_starts(w), i);
		cr_expect_str_eq(world_job_state(w, JOB_A), "",
				 "its rows are removed, row %u", i);
		check_free(w, "removal", i);
	}
}

/*
 * An old job runs a second time. The history of the feeds is dropped and all
 * jobs are read again. This job's rows are removed after its page was read and
 * before the page arrives, and the page must not make it a new job.
 */
Test(takeover, removed_after_its_page)
{
	struct world *w;
	unsigned row;

	for (row = 0; row < 4; row++) {
		w = world_new_settled(550 + row);
		world_submit(w, other(w), JOB_A, &quick);
		world_run(w, 99800 + GATHER_MS + 250 * row);
		world_set_page_delay(w, TABLE_JOBS, 650);
		world_unlist_worker(
			w, 5, false); /* changes after the last revision read */
		world_compact_history(w);
		world_submit(w, other(w), JOB_B, &quick);
		world_run(w, 2500);
		world_set_page_delay(w, TABLE_JOBS, 0);
		world_run(w, 4000);
		cr_expect_eq(world_starts(w), 6, "%u starts, row %u",
			     world_starts(w), row);
		cr_expect_str_eq(world_job_state(w, JOB_A), "",
				 "its rows are removed, row %u", row);
		check_free(w, "page", row);
	}
}

/*
 * Tasks of a long-running job run twice at the same time. A heartbeat that
 * timed out is carried out seconds later and overwrites the row of known
 * workers with an older state, which lacks a worker that was recorded since.
 * That worker is cut off and its row has expired when the owner dies, but the
 * successor must know of it.
 */
Test(takeover, late_beat)
{
	static const struct world_job five_tasks = {
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
		/* The owner can't use this worker, but its successor can. */
		world_cut_worker(w, n, 0, true);
		world_run(w, 1500);
		world_submit(w, other(w), JOB_A, &five_tasks);
		world_run(w, 700);
		cr_assert_eq(owner(w), n);
		cr_assert_eq(world_starts_of(w, 1), 1, "row %u", row);
		world_unlist_worker(w, 1, true);
		for (k = 0; k < 4; k++)
			world_cut_worker(w, k, 1, k != n);
		world_run(w, 200);
		world_kill_vm(w, n);
		world_run(w, 9000);
		check_free(w, "late heartbeat", row);
	}
}

/*
 * A completed wave goes on, and tasks of a long-running job run twice at the
 * same time. A write of the wave's progress that timed out is carried out
 * seconds later; it lacks the machine that had maintenance since. All VMs
 * restart, and the next owner asks for maintenance of that machine again, which
 * succeeds, and takes the process that now runs there for ended.
 */
Test(takeover, late_wave_note)
{
	static const struct world_job five_tasks = {
		.tasks = 5, .long_running = true, .max_per_worker = 1};
	static const struct world_job many = {.tasks = 43,
					      .long_running = true};
	struct world *w;
	unsigned row, n, k;

	for (row = 0; row < 8; row++) {
		w = world_new_settled(600 + row);
		world_submit(w, other(w), JOB_A, &five_tasks);
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
		/*
		 * All VMs restart, as the running ones know more than the row
		 * has.
		 */
		for (k = 0; k < 4; k++)
			world_kill_vm(w, k);
		for (k = 0; k < 4; k++)
			world_start_vm(w, k);
		world_run(w, 16000);
		cr_expect(world_wave_is_completed(w), "row %u", row);
		check_free(w, "late wave row", row);
	}
}

/*
 * Tasks of a long-running job run twice at the same time. A claim of the
 * ownership that timed out is carried out seconds later. Meanwhile the owner
 * has resumed, and is then cut off with workers whose leases it goes on
 * renewing. The leases count from its last heartbeat, not from the one seen
 * before the claim was sent.
 */
Test(takeover, late_claim)
{
	struct world *w;
	unsigned row, n, k;

	for (row = 0; row < 24; row++) {
		w = world_new_settled(640 + row);
		world_submit(w, other(w), JOB_A, &four_tasks);
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
 * An organisation runs more than its limit, or a job is given up after one
 * failure where three are allowed: all VMs restart and read the configuration
 * last. The owner must wait for it.
 */
Test(takeover, configuration_is_read_late)
{
	static const struct world_job flaky = {
		.tasks = 1, .task_ms = 300, .failures = 2};
	struct world *w;
	unsigned row, k;

	for (row = 0; row < 4; row++) {
		w = world_new_settled(680 + row);
		world_set_limit(w, 4000);
		world_run(w, 2500);
		world_submit(w, 0, JOB_A, row % 2 ? &flaky : &four_tasks);
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
 * A pool never returns the machines it borrowed. The number of machines that
 * the operator gave each pool is taken from the first list, before any move. If
 * an owner moves a machine before these sizes are stored, and dies, its
 * successor derives wrong sizes from the changed list.
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
 * Jobs are no longer started. The store answers reads of a table to some VMs,
 * but not to the VM that takes over. That VM's heartbeats succeed, but it can't
 * read what it needs, and must let another VM own.
 */
Test(takeover, cannot_read)
{
	static const enum table tables[] = {TABLE_JOBS, TABLE_PROGRESS,
					    TABLE_WORKERS};
	struct world *w;
	unsigned row, n, k, reader;

	for (row = 0; row < 6; row++) {
		w = world_new_settled(720 + row);
		n = owner(w);
		reader = (n + 1 + row / 3) % 4;
		for (k = 0; k < 4; k++)
			world_stall_pages(w, k, tables[row % 3], k != reader);
		world_kill_vm(w, n);
		world_submit(w, reader, JOB_A, &quick);
		world_run(w, 20000);
		cr_expect_str_eq(world_job_state(w, JOB_A), "completed",
				 "row %u", row);
		check_free(w, "cannot read", row);
	}
}

/*
 * Tasks run a second time. They have ended, and the owner takes the machine
 * that they ran on for maintenance. The ends that its worker lists are lost
 * with it, while the commit that stores them has no answer yet. If the commit
 * is never carried out and the owner is lost, no record of the ends is left.
 */
Test(takeover, ends_are_written_before_their_machine_goes)
{
	struct world *w;
	unsigned row, n;

	for (row = 0; row < 24; row++) {
		w = world_new_settled(1300 + row);
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
		check_free(w, "stored before the machine is taken", row);
	}
}

/*
 * Waiting jobs are delayed by seconds although nothing failed. A heartbeat that
 * timed out is carried out late, while the next one is on its way to the store.
 * The owner's feed reports the first before the second is refused: the row's
 * revision is then no newer than the one the owner knows, but newer than the
 * second one's condition. The VM is still the owner.
 */
Test(takeover, late_beat_is_heard_first)
{
	struct world *w;
	unsigned row, n, k, lost = 0;

	for (row = 0; row < 60; row++) {
		w = world_new_settled(720 + row);
		n = owner(w);
		world_set_vm_store_mode(w, n, WORLD_STORE_LATE);
		world_run(w, 420);
		world_set_vm_store_mode(w, n, WORLD_STORE_OK);
		world_set_vm_store_delay(w, n, 200 + 100 * (row % 5));
		for (k = 0; k < 600 && owner(w) == n; k++)
			world_run(w, 10);
		lost += owner(w) != n;
		check_free(w, "feed is first", row);
	}
	cr_expect_eq(lost, 0, "%u owners of %u were replaced", lost, row);
}

/*
 * Standby machines that aren't needed are moved into a pool, at a cost. A
 * successor that hasn't recorded its workers, or hasn't reached them all,
 * counts only those it may use, so pools with plenty of capacity seem to have
 * too little for what runs there.
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
		cr_expect_eq(world_move_count(w), 0,
			     "%u moved before the takeover, row %u",
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
 * There is no scheduling although the owner is dead. The store drops the feeds'
 * history every half second, so that its rows are read in full again and again.
 * A heartbeat that a VM has read before must not count as a new one.
 */
Test(takeover, old_beat_is_no_sign_of_life)
{
	struct world *w;
	unsigned row, n, k;

	for (row = 0; row < 4; row++) {
		w = world_new_settled(860 + row);
		n = owner(w);
		world_kill_vm(w, n);
		for (k = 0; k < 16; k++) {
			world_unlist_worker(w, 5, k % 2 == 0); /* a change */
			world_run(w, 20);
			world_compact_history(w);
			world_run(w, 480);
		}
		cr_expect_neq(world_owner(w), -1, "no owner in 8 s, row %u",
			      row);
		world_run(w, 4000);
		cr_expect_neq(world_owner(w), -1, "no owner afterwards, row %u",
			      row);
		check_free(w, "old heartbeat", row);
	}
}

/*
 * Long-running tasks stop while VMs replace each other. A VM that reads
 * thousands of jobs for longer than an owner may be silent sends no heartbeat
 * meanwhile, and the next owner starts reading again from the beginning.
 */
Test(takeover, reading_a_long_book_is_no_silence)
{
	static const struct world_job one = {.tasks = 1, .task_ms = 60000};
	struct world *w;
	unsigned row, i;
	char id[24];

	for (row = 0; row < 4; row++) {
		w = world_new_settled(560 + row);
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
		check_free(w, "long read", row);
	}
}

/*
 * Kills the owner, or stops it as planned, and returns the time that its
 * successor takes to settle.
 */
static int64_t takeover_settle_ms(struct world *w, bool planned)
{
	unsigned n = owner(w), k;

	if (planned)
		world_stop_vm(w, n);
	else
		world_kill_vm(w, n);
	for (k = 0; k < 500 && world_owner(w) == (int)n; k++)
		world_run(w, 10);
	for (k = 0; k < 500 && world_owner(w) == -1; k++)
		world_run(w, 10);
	n = owner(w);
	for (k = 0; k < 1000 && !world_sched(w, n)->settled; k++)
		world_run(w, 10);
	return k * 10;
}

/*
 * A successor must not wait for the expiry of leases of processes that hold
 * none; where it can't know that, it must wait.
 */
static const struct {
	const char *name;
	unsigned replaced; /* workers that restarted under the old owner */
	bool late;	   /* one worker is listed only after the takeover */
	bool silent;	   /* a recorded worker is silent: a wait */
	bool leaves;	   /* it was empty and about to be moved: no wait */
	bool ended;	   /* one ended, and its row changes late: no wait */
	bool stopped;	   /* one ended right before a planned stop: no wait */
	bool twice; /* one ended, and soon another one, half a second before the
		     * owner is killed: no wait */
} settle_rows[] = {
	{"all answer", 0, false, false, false, false, false},
	{"processes that were replaced", 4, false, false, false, false, false},
	{"one that was not recorded", 0, true, false, false, false, false},
	{"one that was recorded and is silent", 0, false, true, false, false,
	 false},
	{"one that was about to be moved", 0, false, true, true, false, false},
	{"one that ended and is listed again", 0, false, false, false, true,
	 false},
	{"one that ended before a planned stop", 0, false, false, false, false,
	 true},
	{"two that ended shortly before", 0, false, false, false, false, false,
	 true},
};

/*
 * Cuts off a worker for good, and writes its row again when the owner knows
 * that it runs nothing any more.
 */
static void end_and_list_again(struct world *w, unsigned worker)
{
	unsigned k;

	for (k = 0; k < 4; k++)
		world_cut_worker(w, k, worker, true);
	world_unlist_worker(w, worker, true);
	world_run(w, 9000);
	world_unlist_worker(w, worker, false);
	world_run(w, 1500);
}

/* Cuts off a worker for good; the owner knows that it runs nothing any more. */
static void end_known(struct world *w, unsigned worker)
{
	struct sched *s = world_sched(w, owner(w));
	char id[16];
	unsigned k;

	for (k = 0; k < 4; k++)
		world_cut_worker(w, k, worker, true);
	snprintf(id, sizeof(id), "i-%u-0", worker);
	worker_set_gone(s, worker_find(s, bstr_lit(id)));
}

/* Ends a worker, and another one as soon as the first one's end is written. */
static void end_two(struct world *w)
{
	int64_t before = world_sched(w, owner(w))->workers_note_at;

	end_known(w, 1);
	while (world_sched(w, owner(w))->workers_note_at == before)
		world_run(w, 10);
	end_known(w, 0);
	world_run(w, 500);
}

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
	if (settle_rows[row].ended)
		end_and_list_again(w, 5);
	if (settle_rows[row].late)
		world_unlist_worker(w, 5, false);
	if (settle_rows[row].stopped)
		end_known(w, 0);
	if (settle_rows[row].twice)
		end_two(w);
	ms = takeover_settle_ms(w, settle_rows[row].stopped);
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

/*
 * Returns a world in which the route of a job was moved to the second pool
 * after the job's acceptance, and its two tasks run there.
 */
static struct world *world_new_moved(uint64_t seed, int64_t limit)
{
	struct world *w = world_new(seed, 4, 6);

	world_add_second_pool(w, 3);
	world_set_machine_mode(w, WORLD_MACHINES_BUSY);
	world_set_limit(w, limit);
	world_run(w, 2500);
	world_refuse_starts(w, REFUSAL_UNHEALTHY);
	world_submit(w, other(w), JOB_A, &two_tasks);
	world_run(w, 300);
	world_move_route(w, true);
	world_run(w, 2000);
	world_refuse_starts(w, REFUSAL_NONE);
	world_run(w, 1500);
	cr_assert_eq(world_starts_of(w, 3) + world_starts_of(w, 4) +
			     world_starts_of(w, 5),
		     2);
	cr_assert_eq(world_starts(w), 2);
	return w;
}

/* Cuts the workers of the second pool off from all VMs, or heals that. */
static void second_pool_cut(struct world *w, bool cut)
{
	unsigned k;

	for (k = 3; k < 6; k++)
		world_cut_worker_of_all(w, k, cut);
}

/*
 * Tasks of a long-running job run twice at the same time. They were started
 * while the route named another service than the one at the job's acceptance,
 * which it names again when a successor takes over. The successor can't reach
 * the workers that run them, and knew only of the services of the two moments.
 */
static const struct {
	const char *name;
	bool back_first;  /* the route is moved back before the takeover */
	bool back_second; /* it is moved back at this time after it */
	int64_t after_ms;
	unsigned starts; /* in all: none can run in the second pool */
} route_rows[] = {
	{"the route is moved back before", true, false, 0, 4},
	{"the route is moved back after it", false, true, 1500, 4},
	{"the route stays", false, false, 0, 2},
};
static void route_at_takeover(unsigned row)
{
	struct world *w = world_new_moved(1400 + row, 0);
	unsigned n = owner(w);

	if (route_rows[row].back_first) {
		world_move_route(w, false);
		world_run(w, 2000);
	}
	cr_assert_eq(owner(w), n);
	second_pool_cut(w, true);
	world_kill_vm(w, n);
	world_run(w, route_rows[row].after_ms);
	if (route_rows[row].back_second)
		world_move_route(w, false);
	world_run(w, 12000);
	cr_expect_eq(world_starts(w), route_rows[row].starts, "%u, %s",
		     world_starts(w), route_rows[row].name);
	check_free(w, route_rows[row].name, row);
}
Test(takeover, routes_that_change)
{
	unsigned i;

	for (i = 0; i < NELEMS(route_rows); i++)
		route_at_takeover(i);
}

/*
 * An organisation runs more than its limit. A job was cancelled whose tasks run
 * in a service that its route doesn't name any more. The successor hears of
 * them late; until then it must keep the job, and afterwards count them until
 * they have stopped. The job is cancelled before the owner is lost, or while
 * there is none.
 */
Test(takeover, routes_that_change_of_cancelled_jobs)
{
	struct world *w;
	unsigned row, n, k, vm;

	for (row = 0; row < 16; row++) {
		w = world_new_moved(1410 + row, 4000);
		n = owner(w);
		world_move_route(w, false);
		world_run(w, 2000);
		cr_assert_eq(owner(w), n);
		second_pool_cut(w, true);
		vm = other(w);
		if (row % 2)
			world_kill_vm(w, n);
		world_call(w, vm, VERB_CANCEL, JOB_A);
		world_run(w, 100);
		cr_assert_str_eq(world_job_state(w, JOB_A),
				 row % 2 ? "running" : "cancelled");
		if (row % 2 == 0)
			world_kill_vm(w, n);
		for (k = 0; k < 300 && world_owner(w) == -1; k++)
			world_run(w, 10);
		world_submit(w, vm, JOB_B, &quick);
		world_run(w, 300 + 30 * (row / 2));
		second_pool_cut(w, false);
		world_run(w, 8000);
		cr_expect_eq(world_starts(w), 5, "%u", world_starts(w));
		check_free(w, "cancelled", row);
	}
}

/*
 * Tasks run twice at the same time. An owner of a version that records no
 * services started them while the route named another one than at the job's
 * acceptance. Its successor finds the runs, the route is changed back, and the
 * next owner can't reach their workers.
 */
Test(takeover, routes_that_change_between_versions)
{
	struct world *w;
	struct job *j;
	unsigned row;

	for (row = 0; row < 4; row++) {
		w = world_new_moved(1440 + row, 0);
		j = sched_job_find(world_sched(w, owner(w)), JOB_A);
		json_decref(j->services);
		j->services = NULL;
		job_mark_dirty(world_sched(w, owner(w)), j);
		world_run(w, 300);
		world_kill_vm(w, owner(w));
		world_run(w, 8000);
		cr_assert_eq(world_starts(w), 2, "row %u", row);
		world_move_route(w, false);
		world_run(w, 2000);
		second_pool_cut(w, true);
		world_kill_vm(w, owner(w));
		world_run(w, 12000);
		check_free(w, "between versions", row);
	}
}

/*
 * Tasks of a long-running job run twice at the same time. The owner releases
 * the ownership, but the store doesn't carry that out, and the VM claims again
 * before any other. One of its workers is cut off since the release. The leases
 * that the VM granted until then count, not only those that were granted before
 * its first claim.
 */
Test(takeover, claims_again_after_a_lost_release)
{
	struct world *w;
	unsigned row, n, k;

	for (row = 0; row < 8; row++) {
		w = world_new_settled(1420 + row);
		n = owner(w);
		world_submit(w, other(w), JOB_A, &four_tasks);
		world_run(w, 8000 + 100 * row);
		cr_assert_eq(owner(w), n);
		cr_assert_eq(world_starts(w), 4);
		for (k = 0; k < 4; k++)
			if (k != n)
				world_kill_vm(w, k);
		for (k = 0; !world_starts_of(w, k); k++)
			;
		world_set_vm_store_mode(w, n, WORLD_STORE_NO_ANSWER);
		world_sched(w, n)->own.tokens_used_up = true;
		world_run(w, 50);
		world_cut_worker(w, n, k, true);
		world_set_vm_store_mode(w, n, WORLD_STORE_OK);
		world_run(w, 12000);
		cr_expect_eq(world_epoch(w), 2, "epoch %u", world_epoch(w));
		cr_expect_eq(world_starts(w), 5, "%u starts", world_starts(w));
		check_free(w, "lost release", row);
	}
}

/*
 * A task runs twice at the same time. A worker restarts under its id, and its
 * new process carries out a start whose deadline refers to the old clock: the
 * run holds the longest lease. The answer is lost, and the owner, which doesn't
 * know of the restart, releases the ownership as planned.
 */
Test(takeover, planned_stop_after_an_unanswered_start)
{
	static const struct world_job one = {.tasks = 1, .long_running = true};
	struct world *w;
	unsigned row, n, k, i;

	for (row = 0; row < 8; row++) {
		w = world_new_settled(1430 + row);
		n = owner(w);
		world_reset_polls(w);
		world_run(w, 8000);
		/* Only one worker can be used. */
		for (i = 0; i < 6; i++)
			if (i != 2)
				world_set_capacity(w, i, 0);
		world_run(w, 1500);
		world_lose_start_answers(w, true);
		world_crash_worker(w, 2);
		world_run(w, 310);
		world_submit(w, other(w), JOB_A, &one);
		for (k = 0; k < 100 && !world_starts(w); k++)
			world_run(w, 1);
		cr_expect_eq(world_starts(w), 1, "row %u", row);
		world_cut_worker_of_all(w, 2, true);
		world_run(w, 10 * row);
		world_stop_vm(w, n);
		for (i = 0; i < 6; i++)
			world_set_capacity(w, i, 16000);
		world_lose_start_answers(w, false);
		world_run(w, 12000);
		cr_expect_neq(owner(w), n, "row %u", row);
		cr_expect_eq(world_starts(w), 2, "row %u", row);
		check_free(w, "planned stop", row);
	}
}
