/*
 * Tests of the progress of jobs in the store: rows that are bounded, and jobs
 * whose rows the store refuses.
 */
#include "../sched-state.h"
#include "world-calm.h"

#include <stdlib.h>

#define JOB_LARGE "a000000000000001"
#define JOB_QUICK "b000000000000001"
#define JOB_LATER "c000000000000001"

static const struct world_job lasting = {
	.tasks = 20, .long_running = true, .checkpoint_bytes = 4096};
static const struct world_job quick = {.tasks = 2, .task_ms = 200};

/* Returns a world where the progress of a lasting job takes several rows. */
static struct world *world_new_large(uint64_t seed)
{
	struct world *w = world_new_settled(seed);

	world_submit(w, other(w), JOB_LARGE, &lasting);
	world_run(w, 2500);
	cr_assert_eq(world_starts(w), lasting.tasks);
	/* A failed run has the progress written, with all checkpoints. */
	world_crash_worker(w, 0);
	world_run(w, 4500);
	return w;
}

/* One job's checkpoints keep every other job from starting. */
Test(progress, a_large_job_holds_up_no_other)
{
	struct world *w = world_new_large(5100);

	world_submit(w, other(w), JOB_QUICK, &quick);
	world_run(w, 2000);
	cr_expect_str_eq(world_job_state(w, JOB_QUICK), "completed");
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

/* Checkpoints beyond one row are lost with the owner and a worker. */
Test(progress, a_successor_has_all_checkpoints)
{
	struct world *w = world_new_large(5110);
	unsigned starts;

	starts = world_starts(w);
	world_kill_vm(w, owner(w));
	world_crash_worker(w, 1);
	world_crash_worker(w, 2);
	world_run(w, 12000);
	cr_expect_gt(world_starts(w), starts);
	cr_expect_eq(world_starts_anew(w), 0, "%u", world_starts_anew(w));
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

/* Rows beyond the first stay in the store when a job is final. */
Test(progress, a_final_job_leaves_no_further_rows)
{
	struct world *w = world_new_large(5120);

	cr_expect_gt(world_stored_rows(w, JOB_LARGE), 2);
	world_call(w, other(w), VERB_CANCEL, JOB_LARGE);
	world_run(w, 2000);
	cr_expect_str_eq(world_job_state(w, JOB_LARGE), "cancelled");
	/* The job, its cancellation, and one row of progress. */
	cr_expect_eq(world_stored_rows(w, JOB_LARGE), 3);
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

/* Times of a repeated job that can't run, all of them due. */
#define BEHIND_ROW                                                          \
	"{\"tenant\":\"org\",\"route\":\"q\",\"service\":\"pool\","         \
	"\"repeat\":60000,\"first_at\":1000,\"interval_ms\":1,\"steps\":[{" \
	"\"count\":2,\"cpu\":900000}]}"

/* The times of one job use up the owner's memory and a transaction's room. */
Test(progress, a_job_far_behind_holds_up_no_other)
{
	struct world *w = world_new_settled(5125);
	const struct job *j;

	world_expect_job(w, JOB_LARGE, &quick);
	world_put_row(w, TABLE_JOBS, JOB_LARGE, BEHIND_ROW);
	world_run(w, 500);
	world_submit(w, other(w), JOB_QUICK, &quick);
	world_run(w, 2000);
	cr_expect_str_eq(world_job_state(w, JOB_QUICK), "completed");
	j = sched_job_find(world_sched(w, owner(w)), JOB_LARGE);
	cr_assert(j);
	cr_expect_leq(j->open_tasks, OPEN_TASKS_MAX + 1);
	cr_expect_eq(world_log_count(w, LOG_PROGRESS_REFUSED), 0);
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

#define QUICK_ROW                                                   \
	"{\"tenant\":\"org\",\"route\":\"q\",\"service\":\"pool\"," \
	"\"steps\":[{\"count\":2,\"cpu\":2000}]}"
#define QUICK_PROGRESS                                                      \
	"{\"state\":\"running\",\"tenant\":\"org\",\"next\":1,\"times\":[{" \
	"\"k\":0,\"done\":\"00\",\"fails\":{},\"saved\":{}}]}"
#define LEFTOVER "{\"times\":[{\"k\":0,\"done\":\"03\"}]}"

/* Further rows of before, when an earlier version has owned, hide tasks. */
Test(progress, rows_of_another_revision_are_removed)
{
	struct world *w = world_new_settled(5127);

	world_expect_job(w, JOB_QUICK, &quick);
	world_put_row(w, TABLE_PROGRESS, JOB_QUICK "/00", LEFTOVER);
	world_put_row(w, TABLE_PROGRESS, JOB_QUICK, QUICK_PROGRESS);
	world_put_row(w, TABLE_JOBS, JOB_QUICK, QUICK_ROW);
	world_kill_vm(w, owner(w));
	world_run(w, 12000);
	cr_expect_str_eq(world_job_state(w, JOB_QUICK), "completed");
	cr_expect_eq(world_starts(w), quick.tasks);
	/* The job, and one row of progress. */
	cr_expect_eq(world_stored_rows(w, JOB_QUICK), 2);
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

/* A row that the store refuses for good holds up the commits of all jobs. */
Test(progress, a_refused_row_holds_up_no_other)
{
	struct world *w = world_new_settled(5130);
	unsigned i, starts;
	char id[JOB_ID_BYTES + 1];

	world_refuse_progress(w, JOB_LARGE, true);
	for (i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "b0000000000000%02u", i);
		world_submit(w, other(w), id, &quick);
		if (i == 10)
			world_submit(w, other(w), JOB_LARGE, &quick);
	}
	world_run(w, 4000);
	for (i = 0; i < 20; i++) {
		snprintf(id, sizeof(id), "b0000000000000%02u", i);
		cr_expect_str_eq(world_job_state(w, id), "completed", "%s", id);
	}
	cr_expect_geq(world_log_count(w, LOG_PROGRESS_REFUSED), 1);
	cr_expect_eq(world_starts(w), 20 * quick.tasks);
	world_refuse_progress(w, JOB_LARGE, false);
	world_run(w, 3000);
	starts = world_starts(w);
	cr_expect_str_eq(world_job_state(w, JOB_LARGE), "completed");
	cr_expect_eq(starts, 21 * quick.tasks);
	cr_expect_null(world_violation(w), "%s", world_violation(w));
	world_free(w);
}

/* Ways in which the owner changes while a job's progress is refused. */
static const struct {
	const char *name;
	bool killed;
	bool cancelled;
} refused_rows[] = {
	{"the owner stays", false, false},
	{"the owner is killed", true, false},
	{"the job is cancelled", false, true},
};

/*
 * Ends of a job whose progress is refused are acknowledged all the same, and
 * its tasks run again; or those of other jobs aren't either.
 */
Test(progress, ends_of_a_refused_job_wait)
{
	static const struct world_job long_tasks = {
		.tasks = 6, .more_tasks = 6, .task_ms = 4000};
	unsigned i, vm;
	uint64_t call;
	struct world *w;

	for (i = 0; i < NELEMS(refused_rows); i++) {
		w = world_new_settled(5140 + i);
		world_submit(w, other(w), JOB_LARGE, &long_tasks);
		world_run(w, 800);
		cr_assert_eq(world_starts(w), long_tasks.tasks);
		world_refuse_progress(w, JOB_LARGE, true);
		world_run(w, 4000);
		world_submit(w, other(w), JOB_QUICK, &quick);
		world_run(w, 2000);
		cr_expect_str_eq(world_job_state(w, JOB_QUICK), "completed",
				 "%s", refused_rows[i].name);
		vm = other(w);
		if (refused_rows[i].killed)
			world_kill_vm(w, owner(w));
		call = world_call(w, vm,
				  refused_rows[i].cancelled ? VERB_CANCEL
							    : VERB_STATE,
				  JOB_LARGE);
		world_run(w, 9000);
		cr_expect_eq(world_call_status(w, call), 200, "%s",
			     refused_rows[i].name);
		world_submit(w, other(w), JOB_LATER, &quick);
		world_run(w, 2000);
		cr_expect_str_eq(world_job_state(w, JOB_LATER), "completed",
				 "%s", refused_rows[i].name);
		world_refuse_progress(w, JOB_LARGE, false);
		world_run(w, 4000);
		cr_expect_str_eq(world_job_state(w, JOB_LARGE),
				 refused_rows[i].cancelled ? "cancelled"
							   : "completed",
				 "%s: %s", refused_rows[i].name,
				 world_job_state(w, JOB_LARGE));
		cr_expect_eq(world_starts(w),
			     long_tasks.tasks + long_tasks.more_tasks +
				     2 * quick.tasks,
			     "%s: %u", refused_rows[i].name, world_starts(w));
		cr_expect_null(world_violation(w), "%s: %s",
			       refused_rows[i].name, world_violation(w));
		world_free(w);
	}
}

/* Jobs whose rows are larger than one row of the store takes. */
static const struct {
	const char *name;
	unsigned tasks; /* in each of two steps */
	unsigned occurrences;
	unsigned checkpoint_bytes;
	unsigned failed_runs; /* of each task */
	unsigned crashed_runs;
	unsigned done_every; /* each of these tasks is done; 0: none */
	bool all_fit;	     /* else some checkpoints are left out */
} rows[] = {
	{"small", 2, 1, 16, 1, 1, 2, true},
	{"checkpoints", 2048, 1, 16, 0, 0, 3, true},
	{"failed runs", 2048, 1, 0, FAILED_RUNS_MAX, 0, 0, true},
	{"crashed runs", 2048, 1, 0, 0, CRASHED_RUNS_MAX, 0, true},
	{"all of it", 2048, 1, 16, FAILED_RUNS_MAX - 1, CRASHED_RUNS_MAX, 0,
	 false},
	{"occurrences", 1, 5000, 0, 0, 0, 2, true},
	{"occurrences with failures", 4, 500, 16, 2, 0, 3, true},
	{"long checkpoints", 2048, 1, 2000, 0, 0, 0, false},
	{"checkpoints longer than a row", 4, 1, 70000, 2, 0, 2, false},
};

/* Returns a job with two steps of this many tasks each. */
static struct job *job_new(unsigned tasks)
{
	char text[200];
	struct job *j;

	snprintf(text, sizeof(text),
		 "{\"tenant\":\"org\",\"route\":\"q\",\"service\":\"pool\","
		 "\"payload\":\"\",\"steps\":[{\"count\":%u},{\"count\":%u}]}",
		 tasks, tasks);
	j = job_row_read(JOB_LARGE, bstr_lit(text));
	cr_assert(j);
	j->status = JOB_STATUS_RUNNING;
	return j;
}

/* Fills in what is recorded of a task. */
static void task_fill(struct task *t, unsigned row, unsigned i)
{
	uint64_t run = 123456789012 + i;
	unsigned n;

	if (rows[row].checkpoint_bytes)
		t->checkpoint = bstr_printf("%-*u",
					    (int)rows[row].checkpoint_bytes, i);
	for (n = 0; n < rows[row].failed_runs; n++)
		t->failed_runs[t->failure_count++] = run + n;
	for (n = 0; n < rows[row].crashed_runs; n++)
		t->crashed_runs[t->crash_count++] = run + n;
	if (!rows[row].done_every || i % rows[row].done_every)
		return;
	task_set_phase(t, PHASE_DONE);
	t->occ->unfinished_in_step[t->step]--;
	t->occ->unfinished--;
}

/* Checks that a task was read as it was written. */
static void task_compare(const struct task *a, const struct task *b,
			 unsigned *left_out)
{
	cr_assert_eq(a->phase, b->phase);
	if (a->phase == PHASE_DONE)
		return;
	cr_assert_eq(a->failure_count, b->failure_count);
	cr_assert_arr_eq(a->failed_runs, b->failed_runs,
			 sizeof(a->failed_runs));
	cr_assert_eq(a->crash_count, b->crash_count);
	cr_assert_arr_eq(a->crashed_runs, b->crashed_runs,
			 sizeof(a->crashed_runs));
	if (a->checkpoint.bstr_len && !b->checkpoint.bstr_len)
		(*left_out)++;
	else
		cr_assert(bstr_eq(a->checkpoint, b->checkpoint));
}

/* Frees a job that no scheduler tracks. */
static void job_free(struct job *j)
{
	struct occurrence *o;

	while ((o = TAILQ_FIRST(&j->occs)))
		occurrence_free(o);
	bstr_free(&j->tenant);
	bstr_free(&j->route);
	bstr_free(&j->service);
	job_body_free(j->body);
	free(j);
}

/* A job's progress is longer than a row or a transaction may be. */
Test(progress, any_progress_fits_into_rows)
{
	const size_t row_bytes = ROW_BYTES_DEFAULT / 4 * 3;
	struct progress_rows p;
	struct occurrence *o, *x;
	struct job *j, *read;
	unsigned row, i, left_out;
	size_t k;

	for (row = 0; row < NELEMS(rows); row++) {
		j = job_new(rows[row].tasks);
		for (i = 0; i < rows[row].occurrences; i++) {
			job_make_occurrence(j, 3 * i);
			o = TAILQ_LAST(&j->occs, occurrence_list);
			for (k = 0; k < o->task_count; k++)
				task_fill(&o->tasks[k], row, (unsigned)k);
		}
		j->next_occurrence = 3 * i;
		p = progress_write(j, row_bytes);
		cr_expect_leq(p.count, PROGRESS_ROWS_MAX, "%s", rows[row].name);
		cr_expect_leq(p.bytes, PROGRESS_BYTES_MAX, "%s: %zu",
			      rows[row].name, p.bytes);
		for (k = 0; k < p.count; k++)
			cr_expect_leq(p.rows[k].bstr_len, row_bytes,
				      "%s: row %zu", rows[row].name, k);
		read = job_new(rows[row].tasks);
		cr_assert(progress_apply(read, p.rows[0]));
		for (k = 1; k < p.count; k++)
			cr_assert(progress_apply_more(read, p.rows[k]));
		cr_expect_eq(read->next_occurrence, j->next_occurrence);
		left_out = 0;
		x = TAILQ_FIRST(&read->occs);
		TAILQ_FOREACH(o, &j->occs, entry) {
			cr_assert(x, "%s", rows[row].name);
			cr_assert_eq(x->number, o->number);
			cr_assert_eq(x->unfinished, o->unfinished);
			for (i = 0; i < o->task_count; i++)
				task_compare(&o->tasks[i], &x->tasks[i],
					     &left_out);
			x = TAILQ_NEXT(x, entry);
		}
		cr_expect_null(x, "%s", rows[row].name);
		cr_expect_eq(left_out, p.left_out, "%s", rows[row].name);
		cr_expect_eq(left_out == 0, rows[row].all_fit, "%s: %u",
			     rows[row].name, left_out);
		progress_rows_free(&p);
		job_free(j);
		job_free(read);
	}
}

/* A rolling upgrade loses what an owner of the version before has recorded. */
Test(progress, a_row_of_the_version_before_is_read)
{
	static const char row[] =
		"{\"state\":\"running\",\"tenant\":\"org\",\"next\":2,"
		"\"times\":[{\"k\":1,\"done\":\"09\",\"fails\":{\"1\":[5,7]},"
		"\"saved\":{\"2\":\"abc\"},\"crashes\":{\"2\":[9]}}]}";
	struct job *j = job_new(2);
	const struct occurrence *o;

	cr_assert(progress_apply(j, bstr_lit(row)));
	o = TAILQ_FIRST(&j->occs);
	cr_assert(o);
	cr_expect_eq(j->next_occurrence, 2);
	cr_expect_eq(o->number, 1);
	cr_expect_eq(o->unfinished, 2);
	cr_expect_eq(o->tasks[0].phase, PHASE_DONE);
	cr_expect_eq(o->tasks[3].phase, PHASE_DONE);
	cr_expect_eq(o->tasks[1].failure_count, 2);
	cr_expect_eq(o->tasks[1].highest_run, 7);
	cr_expect_eq(o->tasks[2].crash_count, 1);
	cr_expect(bstr_eq_str(o->tasks[2].checkpoint, "abc"));
	job_free(j);
}
